//! Requests that were refused and are sent again to any entry.

use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::resubmission::{Fingerprint, Ledger};
use fireflyhoist_policy::time::Time;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn fingerprint(workspace: &str, path: &str, body: &str) -> Fingerprint {
    let workspace: id::Workspace = workspace.parse().expect("a name");
    Fingerprint::of(Some(&workspace), path, body.as_bytes())
}

/// Guards against a refused request counting as new when its caller retries it at another entry. It
/// would go before requests that can still be on time, although its own answer is late already.
#[test]
fn retried_request_keeps_its_first_arrival() {
    let mut ledger = Ledger::default();
    let draft = fingerprint("w", "/drafts/1", "a bracket");
    ledger.record(at(1_600), draft, at(0));
    assert_eq!(ledger.since(at(7_000), draft), Some(at(0)));
    // A second refusal does not change the time of the first arrival.
    ledger.record(at(8_000), draft, at(7_000));
    assert_eq!(ledger.since(at(20_000), draft), Some(at(0)));
}

/// Guards against another request, or the same one of another workspace, being taken for a refused
/// one.
#[test]
fn only_same_request_of_same_workspace_is_recognized() {
    let mut ledger = Ledger::default();
    ledger.record(at(0), fingerprint("w", "/drafts/1", "a bracket"), at(0));
    for other in [
        fingerprint("v", "/drafts/1", "a bracket"),
        fingerprint("w", "/drafts/2", "a bracket"),
        fingerprint("w", "/drafts/1", "a hinge"),
        fingerprint("w", "/drafts/", "1a bracket"),
    ] {
        assert_eq!(ledger.since(at(10), other), None);
    }
}

/// Guards against an identical request an hour later being treated as late, and against refusals
/// being kept forever.
#[test]
fn refusal_expires() {
    let mut ledger = Ledger::default();
    let draft = fingerprint("w", "/drafts/1", "a bracket");
    ledger.record(at(0), draft, at(0));
    assert_eq!(ledger.since(at(31_000), draft), None);
}

/// Guards against a burst of refusals filling the memory of a small host; the oldest are evicted.
#[test]
fn number_of_refusals_is_bounded() {
    let mut ledger = Ledger::default();
    let one = |n: u64| fingerprint("w", "/drafts/", &n.to_string());
    (0..20_000).for_each(|n| ledger.record(at(n / 10), one(n), at(0)));
    let known = (0..20_000).filter(|n| ledger.since(at(2_000), one(*n)).is_some()).count();
    assert_eq!(known, 8_192);
    assert!(ledger.since(at(2_000), one(19_999)).is_some());
}
