//! Versions never go back, and reach everybody in time.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::version::{
    Contact, Fetch, Readiness, Stamp, Standing, Tracker, Verdict, Version, WATCHERS_PER_DOMAIN,
    is_watcher, poll_interval,
};
use fireflyhoist_standin::fleet::{Fleet, domain, host};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn version(revision: u64) -> Version {
    Version::of(revision, &format!("revision = {revision}"))
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A workspace that operators removed is served again. The platform comes back after hours and
/// serves what it held before; the text in force must stay.
#[test]
fn a_platform_stale_for_hours_reverts_nothing() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.offer(version(7), Ok(())), Verdict::Adopt);
    for _ in 0..1_000 {
        assert_eq!(tracker.offer(version(5), Ok(())), Verdict::Older);
    }
    assert_eq!(tracker.in_force(), Some(version(7)));
    assert_eq!(tracker.offer(version(8), Ok(())), Verdict::Adopt);
}

/// An operator's typing error empties the fleet. The text is refused whole and told, the one in
/// force stays, and it is not fetched again and again from peers.
#[test]
fn an_invalid_text_is_refused_and_told() {
    let mut tracker = Tracker::default();
    tracker.offer(version(1), Ok(()));
    assert_eq!(tracker.offer(version(2), Err("line 3".into())), Verdict::Refused);
    assert_eq!(tracker.in_force(), Some(version(1)));
    assert_eq!(tracker.refusal().map(|(v, why)| (*v, why.as_str())), Some((version(2), "line 3")));
    assert!(!tracker.wants(version(2).stamp()));
    tracker.offer(version(3), Ok(()));
    assert_eq!(tracker.refusal(), None, "a newer text in force makes the refusal history");
}

/// Half of the fleet serves one text and half the other. Two operators published at once under one
/// revision; all must end with the same one, and be able to say so.
#[test]
fn two_operators_at_once_end_alike_and_are_told() {
    let (a, b) = (Version::of(4, "one"), Version::of(4, "two"));
    let ends = [[a, b], [b, a]].map(|order| {
        let mut tracker = Tracker::default();
        for offered in order {
            tracker.offer(offered, Ok(()));
        }
        (tracker.in_force(), tracker.conflict())
    });
    assert_eq!(ends[0].0, ends[1].0);
    assert_eq!(ends[0].1, Some((a.min(b), a.max(b))));
    assert_eq!(ends[1].1, ends[0].1);
}

/// The same with a fleet: each text enters on another side of a cut that then heals.
#[test]
fn a_partition_that_heals_ends_with_one_version() {
    let mut fleet = Fleet::open(16, 1);
    fleet.run(seconds(3));
    fleet.nodes[8..].iter_mut().for_each(|node| node.group = 1);
    let (a, b) = (Version::of(4, "one"), Version::of(4, "two"));
    fleet.offer(0, a);
    fleet.offer(15, b);
    fleet.run(seconds(60));
    assert_eq!(fleet.nodes[1].book.in_force(), Some(a));
    assert_eq!(fleet.nodes[14].book.in_force(), Some(b));
    fleet.nodes.iter_mut().for_each(|node| node.group = 0);
    assert!(fleet.until(seconds(60), |fleet| fleet.all_have(a.max(b))).is_some());
}

/// Half of the fleet follows a new text and half does not for a minute. Only one watcher reads it;
/// all 330 must have it within 11 s.
#[test]
fn a_text_read_by_one_watcher_is_in_force_everywhere_within_eleven_seconds() {
    let mut fleet = Fleet::open(330, 2);
    fleet.run(seconds(3));
    fleet.offer(17, version(9));
    let took = fleet.until(seconds(11), |fleet| fleet.all_have(version(9)));
    assert!(took.is_some(), "not in force everywhere after 11 s");
}

/// A new entry serves what the fleet gave up hours ago. The platform is stale; peers know better,
/// and must be asked first, and what they announce must be in force here before it serves.
#[test]
fn a_new_process_asks_peers_before_it_trusts_a_stale_platform() {
    let mut readiness = Readiness::open(Time::ZERO);
    readiness.set_platform(Contact::Answered);
    let (old, new) = (version(5).stamp(), version(7).stamp());
    assert_eq!(readiness.standing(Time::ZERO, old), Standing::AskingPeers);
    readiness.set_peers(Contact::Answered);
    readiness.note_announced(new);
    assert_eq!(readiness.standing(Time::ZERO, old), Standing::Behind);
    assert_eq!(readiness.standing(Time::ZERO, new), Standing::Ready);
}

/// Requests are refused for a moment by every entry whenever a text is published or a host listed.
/// A process that serves must go on while it learns of more.
#[test]
fn a_process_that_serves_goes_on_while_news_comes() {
    let mut readiness = Readiness::open(Time::ZERO);
    readiness.set_platform(Contact::Answered);
    readiness.set_peers(Contact::Silent);
    assert_eq!(readiness.standing(Time::ZERO, version(5).stamp()), Standing::Ready);
    readiness.set_peers(Contact::Pending);
    readiness.note_announced(version(6).stamp());
    assert_eq!(readiness.standing(Time::ZERO, version(5).stamp()), Standing::Ready);
}

/// With the platform down for hours, a replaced host must be able to serve: peers suffice. With
/// neither it would serve nothing it can vouch for.
#[test]
fn peers_suffice_and_neither_does_not() {
    let late = Time::ZERO + seconds(10);
    let text = version(5).stamp();
    let mut readiness = Readiness::open(Time::ZERO);
    readiness.set_platform(Contact::Silent);
    assert_eq!(readiness.standing(late, text), Standing::Alone);
    readiness.set_peers(Contact::Answered);
    assert_eq!(readiness.standing(late, Stamp::default()), Standing::NoVersion);
    assert_eq!(readiness.standing(late, text), Standing::Ready);
}

/// The platform refuses calls as the fleet grows. Only two processes of a domain watch, whatever
/// its size, and when they go others follow.
#[test]
fn watchers_are_few_and_replaced() {
    for size in [8, 330] {
        let in_domain: Vec<id::Host> =
            (0..size).filter(|n| domain(*n) == domain(0)).map(host).collect();
        let watching = |members: &[id::Host]| -> Vec<id::Host> {
            members.iter().filter(|h| is_watcher(h, &domain(0), members)).cloned().collect()
        };
        let first = watching(&in_domain);
        assert_eq!(first.len(), WATCHERS_PER_DOMAIN.min(in_domain.len()));
        let left: Vec<id::Host> =
            in_domain.iter().filter(|h| !first.contains(h)).cloned().collect();
        assert_eq!(watching(&left).len(), WATCHERS_PER_DOMAIN.min(left.len()));
    }
}

/// Polls of all non-watchers together stay at one rate, whatever their number, and drift apart.
#[test]
fn polls_grow_more_slowly_than_the_fleet() {
    let mut random = StdRng::seed_from_u64(1);
    let mut mean = |size: usize| {
        let total: f64 = (0..200).map(|_| poll_interval(size, &mut random).as_secs_f64()).sum();
        size as f64 / (total / 200.0)
    };
    let (small, large) = (mean(8), mean(330));
    assert!(small < 1.0 && large < 2.2, "{small} and {large} polls a second");
    let drawn: BTreeSet<Duration> = (0..50).map(|_| poll_interval(8, &mut random)).collect();
    assert!(drawn.len() > 40, "processes started together poll together");
}

/// A fetch never ends since the neighbour died in the midst of it; another must be asked.
#[test]
fn a_fetch_moves_on_from_a_silent_neighbour() {
    let mut fetch = Fetch::default();
    let stamp = version(3).stamp();
    assert!(fetch.start(Time::ZERO, &host(1), stamp));
    assert!(!fetch.start(Time::ZERO + seconds(1), &host(2), stamp), "one at a time");
    assert!(fetch.start(Time::ZERO + seconds(2), &host(2), stamp), "the next after patience");
    assert!(!fetch.accept(Time::ZERO + seconds(2), &host(1), stamp), "late answers are dropped");
    assert!(fetch.accept(Time::ZERO + seconds(2), &host(2), stamp));
}

proptest! {
    /// Whatever order texts arrive in, the one in force never decreases and ends as the maximum.
    #[test]
    fn versions_never_go_back(offers in prop::collection::vec((0..6u64, 0..3u8, any::<bool>()), 1..60)) {
        let mut tracker = Tracker::default();
        let mut newest = None;
        for (revision, text, valid) in offers {
            let offered = Version::of(revision, &format!("{revision}{text}{valid}"));
            let before = tracker.in_force();
            let validity = if valid { Ok(()) } else { Err("wrong".into()) };
            tracker.offer(offered, validity);
            if valid {
                newest = newest.max(Some(offered));
            }
            prop_assert!(tracker.in_force() >= before);
            prop_assert_eq!(tracker.in_force(), newest);
        }
    }

    /// The short form orders as the whole does.
    #[test]
    fn stamps_order_as_versions(a in 0..4u64, b in 0..4u64, x: u16, y: u16) {
        let (a, b) = (Version::of(a, &x.to_string()), Version::of(b, &y.to_string()));
        prop_assert_eq!(a.cmp(&b), a.stamp().cmp(&b.stamp()));
    }
}
