//! Helpers that read and write single headers, for implementations of [`crate::platform::Dialect`].

use ntex::http::HeaderMap;
use ntex::http::header::{HeaderName, HeaderValue};

/// Returns a header's value as trimmed text; `None` where the header is absent or its value is not
/// text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Returns a header's value as a whole number; `None` where the header is absent or its value is
/// not a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Sets a header and replaces its old value.
///
/// A value that is not allowed in a header is left out and logged. Values are addresses, numbers
/// and names that came in as headers or in the configuration text.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => headers.insert(HeaderName::from_static(name), value),
        Err(_) => {
            log::warn!(header = name; "header skipped because its value is invalid; correct the name in the text")
        }
    }
}
