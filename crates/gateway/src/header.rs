//! Reading and writing single headers, for implementations of [`crate::platform::Dialect`].

use ntex::http::HeaderMap;
use ntex::http::header::{HeaderName, HeaderValue};

/// A header's value as text; `None` where it is absent or no text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// A header's value as a whole number; `None` where it is none.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Sets a header, in place of any that stands.
///
/// A value that no header may hold is left out: values are addresses, numbers and names that came
/// in as headers or as text of the operators.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => headers.insert(HeaderName::from_static(name), value),
        Err(_) => log::warn!(header = name; "value left out; correct the name in the text"),
    }
}
