//! Replies of the registry and of engines that break off, in the product's own format.

use fireflyhoist_gateway::native::{Copied, Listing, Native, Report};
use fireflyhoist_gateway::platform::{EngineApi, Moved, Registry, Resource};
use fireflyhoist_policy::lease::{Change, Start};
use ntex::http::StatusCode;

/// Returns the beginnings of a JSON text, without the empty one and all of it.
fn prefixes(text: &str) -> impl Iterator<Item = &str> {
    (1..text.len()).filter_map(|end| text.get(..end))
}

/// Guards against a list that breaks off and is taken for one with fewer targets, which would count as
/// gone.
#[test]
fn a_truncated_list_says_nothing() {
    let gone = ["e-1", "e-2"].map(|name| Change::Gone(name.parse().expect("a name")));
    let listing = Listing { revision: 7, targets: gone.to_vec(), ..Listing::default() };
    let whole = serde_json::to_string(&listing).expect("JSON");
    assert!(Native::decode_list(Resource::Targets, whole.as_bytes()).is_ok());
    for part in prefixes(&whole) {
        assert!(Native::decode_list(Resource::Targets, part.as_bytes()).is_err(), "{part}");
        assert!(Native::decode_watch(Resource::Targets, part.as_bytes()).is_err(), "{part}");
    }
}

/// Guards against a report that breaks off and is taken for that of an engine that stays, or of another
/// start.
#[test]
fn a_truncated_report_says_nothing() {
    let report = Report { leaving: true, start: Some(Start::new(1_700_000_000_000)) };
    let whole = serde_json::to_string(&report).expect("JSON");
    for part in prefixes(&whole) {
        assert_eq!(Native::report_start(part.as_bytes()), None, "{part}");
        assert!(!Native::is_draining(StatusCode::OK, part.as_bytes()), "{part}");
    }
}

/// Guards against the reply to a call that stopped a run being taken for a refusal that did not stop it,
/// where it breaks off before the name of the copy.
#[test]
fn a_truncated_reply_to_a_move_is_unclear() {
    let whole = serde_json::to_string(&Copied { copy: Some("c-1".into()) }).expect("JSON");
    for status in [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE] {
        for part in prefixes(&whole) {
            assert_eq!(Native::decode_move(status, part.as_bytes()), Moved::Unclear, "{part}");
        }
    }
}
