//! Helpers that read and write single headers, for implementations of [`crate::platform::Dialect`].

use std::time::{Duration, SystemTime};

use ntex::http::header::{DATE, HeaderName, HeaderValue, RETRY_AFTER};
use ntex::http::{HeaderMap, StatusCode};

use crate::platform::Resumed;

/// Blanks around the value of a header, which are no part of it (RFC 9110, section 5.5).
const BLANKS: [char; 2] = [' ', '\t'];

/// Returns a header's value as text without the blanks around it; `None` where the header is absent or
/// its value is not UTF-8.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = std::str::from_utf8(headers.get(name)?.as_bytes()).ok()?;
    Some(value.trim_matches(BLANKS))
}

/// Returns the value of a header that stands for this text, in UTF-8; `None` where none does: the
/// text holds control characters, or blanks around it, which its receiver would remove.
pub fn value(text: &str) -> Option<HeaderValue> {
    let is_kept = text.trim_matches(BLANKS) == text;
    HeaderValue::from_bytes(text.as_bytes()).ok().filter(|_| is_kept)
}

/// Returns a header's value as a whole number; `None` where the header is absent or its value is
/// not a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Returns which attempt a request takes up again, as the header of this name says.
pub fn resumed(headers: &HeaderMap, name: &str) -> Resumed {
    Resumed::parse(headers.get_all(name).map(|value| value.to_str().ok().map(str::trim)))
}

/// Returns how long a response with status 503 asks to be left alone; `None` where it does not, or
/// where its `Retry-After` is neither a number of seconds, with or without a fraction, nor a date.
///
/// A date is compared with that of the response, since the clocks of hosts differ.
pub fn rest(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = text(headers, RETRY_AFTER.as_str())?;
    if let Ok(seconds) = value.parse::<f64>() {
        // A number that is too large for a duration means the longest one.
        return match seconds >= 0.0 {
            true => Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)),
            false => None,
        };
    }
    let date = |value: &str| httpdate::parse_http_date(value).ok();
    let sent_at = text(headers, DATE.as_str()).and_then(date).unwrap_or_else(SystemTime::now);
    date(value)?.duration_since(sent_at).ok()
}

/// Sets a header and replaces its old value.
///
/// A text that no value stands for is left out and logged; see [`value`]. Texts are addresses, numbers,
/// and names that came in as headers, in the registry or in the configuration text.
pub fn set(headers: &mut HeaderMap, name: &'static str, text: &str) {
    match value(text) {
        Some(value) => headers.insert(HeaderName::from_static(name), value),
        None => {
            log::warn!(header = name; "header skipped because its value is invalid; correct the name in the text")
        }
    }
}
