//! Helpers that read and write single headers, for implementations of [`crate::platform::Dialect`].

use std::time::{Duration, SystemTime};

use ntex::http::header::{DATE, HeaderName, HeaderValue, RETRY_AFTER};
use ntex::http::{HeaderMap, StatusCode};

use crate::platform::Resumed;

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
