//! Limits of a workspace hold over all entries together.

use std::time::Duration;

use fireflyhoist_policy::id::{Host, Workspace};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::{TokenRate, Tokens};
use fireflyhoist_policy::workspace_limit::{Limit, Limits, Part};
use proptest::prelude::*;

fn hosts(count: usize) -> Vec<Host> {
    (0..count).map(|n| format!("entry-{n}").parse().expect("a name")).collect()
}

fn workspace() -> Workspace {
    "archive".parse().expect("a name")
}

fn entry(own: &Host, published: &[Host], limit: Limit) -> Limits {
    let mut limits = Limits::new();
    limits.set(Time::ZERO, &workspace(), limit, Part::of(&workspace(), own, published));
    limits
}

/// Guards against a workspace getting its limit once for each entry when it opens streams through
/// all eight entries, so that the requests of others wait behind it.
#[test]
fn stream_limit_holds_across_all_entries() {
    let published = hosts(8);
    let limit = Limit { streams: Some(10), rate: None };
    let mut open = 0;
    for own in &published {
        let mut limits = entry(own, &published, limit);
        open += (0..100).filter(|_| limits.admit(Time::ZERO, &workspace()).is_ok()).count();
    }
    assert_eq!(open, 10);
}

/// Guards against equal parts, with which a workspace that uses only the entry to which it is
/// directed would get an eighth of its limit.
#[test]
fn first_ranked_entry_has_half_of_the_limit() {
    let published = hosts(8);
    let ranked = fireflyhoist_policy::rendezvous::rank("archive", &published, Host::as_str);
    assert_eq!(Part::of(&workspace(), ranked[0], &published).streams(10), 5);
}

/// Guards against answers of tens of thousands of tokens that overdraw the limit without
/// consequence. Such an answer is finished, but new streams are refused until the debt is refilled,
/// and the refusal says when that is.
#[test]
fn refusal_lasts_until_overdrawn_tokens_are_refilled() {
    let published = hosts(1);
    let limit = Limit { streams: None, rate: Some(TokenRate::new(100.0)) };
    let mut limits = entry(&published[0], &published, limit);
    assert_eq!(limits.admit(Time::ZERO, &workspace()), Ok(()));
    limits.spend(Time::ZERO, &workspace(), Tokens::new(3000));
    let wait = limits.admit(Time::ZERO, &workspace()).expect_err("overdrawn");
    assert!(wait > Duration::from_secs(19) && wait < Duration::from_secs(22), "{wait:?}");
    assert_eq!(limits.admit(Time::ZERO + wait, &workspace()), Ok(()));
}

/// Guards against a workspace getting two parts at once when a host has dropped out of the
/// published list but does not know it yet and still uses its part.
#[test]
fn part_shrinks_at_once_and_grows_gradually() {
    let published = hosts(2);
    let limit = Limit { streams: Some(100), rate: None };
    let own = &published[0];
    let mut limits = entry(own, &published, limit);
    let count = |limits: &mut Limits, now| {
        let open = (0..200).filter(|_| limits.admit(now, &workspace()).is_ok()).count();
        (0..open).for_each(|_| limits.release(&workspace()));
        open
    };
    assert_eq!(count(&mut limits, Time::ZERO), 50);
    let alone = Part::of(&workspace(), own, &published[..1]);
    limits.set(Time::ZERO, &workspace(), limit, alone);
    assert_eq!(count(&mut limits, Time::ZERO), 50);
    let later = Time::ZERO + Duration::from_secs(2);
    assert_eq!(count(&mut limits, later), 60);
    limits.set(later, &workspace(), limit, Part::of(&workspace(), own, &published));
    assert_eq!(count(&mut limits, later), 50);
}

proptest! {
    /// Guards against host lists or limits for which the parts of all entries do not sum to the
    /// whole.
    #[test]
    fn parts_sum_to_one(count in 1usize..40, streams in 0u32..500, name in "[a-z]{1,8}") {
        let workspace: Workspace = name.parse().expect("a name");
        let published = hosts(count);
        let parts = published.iter().map(|own| Part::of(&workspace, own, &published));
        let parts: Vec<Part> = parts.collect();
        let share: f64 = parts.iter().map(|part| part.share().get()).sum();
        prop_assert!((share - 1.0).abs() < 1e-9);
        prop_assert_eq!(parts.iter().map(|part| part.streams(streams)).sum::<u32>(), streams);
    }
}
