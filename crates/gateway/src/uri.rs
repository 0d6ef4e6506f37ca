//! Text that others chose, such as keys and names, as a part of a path or a query.

use std::borrow::Cow;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// All but the unreserved characters of RFC 3986, section 2.3.
const RESERVED: AsciiSet = NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// The same without the slash, which stands for itself in a query.
const RESERVED_IN_QUERY: AsciiSet = RESERVED.remove(b'/');

/// Encodes a segment of a path.
///
/// The segments `.` and `..` can't be encoded: servers may remove them in any form.
pub fn segment(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, &RESERVED)
}

/// Encodes a value in a query.
///
/// Blanks become `%20`, which servers that read a query as a form and those that read it as RFC 3986
/// has it decode alike, unlike `+`.
pub fn query_value(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, &RESERVED_IN_QUERY)
}

/// Returns the first value of this name in a query of a caller, read as a form.
pub fn query_parameter<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let mut parameters = form_urlencoded::parse(query.as_bytes());
    parameters.find_map(|(key, value)| (key == name).then_some(value))
}
