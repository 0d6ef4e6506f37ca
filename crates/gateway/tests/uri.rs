//! Text of others as a part of a path or a query.

use std::borrow::Cow;

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::platform::{Dialect, EngineApi};
use fireflyhoist_gateway::uri::{query_parameter, query_value, segment};
use proptest::prelude::*;

/// Returns the first value of a query as a server reads it by the letter of RFC 3986.
fn read_as_uri(query: &str) -> Cow<'_, str> {
    let (_, value) = query.split('&').next().and_then(|pair| pair.split_once('=')).expect("a pair");
    percent_encoding::percent_decode_str(value).decode_utf8().expect("text")
}

proptest! {
    /// Guards against a text that ends a value or means another one: servers read it unchanged, as
    /// a form and by the letter of RFC 3986.
    #[test]
    fn a_value_stands_for_itself(text in any::<String>()) {
        let query = format!("a={}&b=1", query_value(&text));
        let uri: ntex::http::Uri = format!("/p?{query}").parse().expect("a request target");
        prop_assert_eq!(uri.query(), Some(query.as_str()));
        prop_assert_eq!(query_parameter(&query, "a"), Some(Cow::from(&text)));
        prop_assert_eq!(query_parameter(&query, "b"), Some(Cow::from("1")));
        prop_assert_eq!(read_as_uri(&query), text);
    }

    /// Guards against a text that ends a segment of a path or begins another one.
    #[test]
    fn a_segment_stands_for_itself(text in any::<String>()) {
        let path = format!("/p/{}/q", segment(&text));
        let uri: ntex::http::Uri = path.parse().expect("a request target");
        prop_assert_eq!((uri.path(), uri.query()), (path.as_str(), None));
        let segments: Vec<&str> = path.split('/').collect();
        prop_assert_eq!(segments.len(), 4);
        let decoded = percent_encoding::percent_decode_str(segments[2]).decode_utf8();
        prop_assert_eq!(decoded.expect("text"), text);
    }
}

/// Keys without such characters are sent as they are.
#[test]
fn plain_keys_are_sent_as_they_are() {
    assert_eq!(query_value("servers/i-7f3a91c2_.~").to_string(), "servers/i-7f3a91c2_.~");
    assert_eq!(query_parameter("name=x&zone=a%2Bb+c", "zone").as_deref(), Some("a+b c"));
    assert_eq!(query_parameter("name=x", "zone"), None);
}

/// Guards against a name of a copy, or an id that a caller chose, that ends its segment of the path of
/// a call to an engine, or means another one.
#[test]
fn calls_to_engines_name_what_they_mean() {
    let name = "a/b?c#d%2F é";
    let encoded = "a%2Fb%3Fc%23d%252F%20%C3%A9";
    let to = ([127, 0, 0, 1], 80).into();
    assert_eq!(Native::move_run(name, to, true).path, format!("/v1/runs/{encoded}/move"));
    assert_eq!(Native::delete_copy(name).path, format!("/v1/copies/{encoded}"));
    assert_eq!(Native::move_run("r-1", to, true).path, "/v1/runs/r-1/move");
}

/// Guards against a failure domain that is not found by its callers, who encode its name.
#[test]
fn a_failure_domain_is_decoded() {
    let domain = |query| Native::entries_query("/v1/entries", query);
    assert_eq!(domain("domain=hala%2Da&x=1").as_deref(), Some("hala-a"));
    assert_eq!(domain("x=domain=b").as_deref(), Some(""));
    assert_eq!(Native::entries_query("/v1/other", "domain=b"), None);
}
