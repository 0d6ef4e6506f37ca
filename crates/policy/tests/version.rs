//! Versions never go back, and reach every process in time.

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

/// A platform that is reachable again after hours may serve an old text. The text in force must
/// stay, or a workspace that operators removed is served again.
#[test]
fn stale_platform_reverts_nothing() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.offer(version(7), Ok(())), Verdict::Adopt);
    for _ in 0..1_000 {
        assert_eq!(tracker.offer(version(5), Ok(())), Verdict::Older);
    }
    assert_eq!(tracker.in_force(), Some(version(7)));
    assert_eq!(tracker.offer(version(8), Ok(())), Verdict::Adopt);
}

/// A text with an error must be refused as a whole and reported, the one in force must stay, and
/// peers must not be asked for the refused text again and again.
#[test]
fn invalid_text_is_refused_and_reported() {
    let mut tracker = Tracker::default();
    tracker.offer(version(1), Ok(()));
    assert_eq!(tracker.offer(version(2), Err("line 3".into())), Verdict::Refused);
    assert_eq!(tracker.in_force(), Some(version(1)));
    assert_eq!(tracker.refusal().map(|(v, why)| (*v, why.as_str())), Some((version(2), "line 3")));
    assert!(!tracker.wants(version(2).stamp()));
    tracker.offer(version(3), Ok(()));
    assert_eq!(tracker.refusal(), None, "a newer text in force hides the refusal");
}

/// Two operators may publish different texts under one revision. All processes must choose the same
/// text and report the conflict.
#[test]
fn concurrent_texts_resolve_alike_and_are_reported() {
    let (a, b) = (Version::of(4, "one"), Version::of(4, "two"));
    let results = [[a, b], [b, a]].map(|order| {
        let mut tracker = Tracker::default();
        for offered in order {
            tracker.offer(offered, Ok(()));
        }
        (tracker.in_force(), tracker.conflict())
    });
    assert_eq!(results[0].0, results[1].0);
    assert_eq!(results[0].1, Some((a.min(b), a.max(b))));
    assert_eq!(results[1].1, results[0].1);
}

/// The same in a fleet: the two texts enter on different sides of a partition, which then heals.
#[test]
fn healed_partition_ends_with_one_version() {
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

/// When a single watcher reads a new text, all 330 members must have it in force within 11 s.
#[test]
fn text_read_by_one_watcher_is_in_force_everywhere_within_eleven_seconds() {
    let mut fleet = Fleet::open(330, 2);
    fleet.run(seconds(3));
    fleet.offer(17, version(9));
    let took = fleet.until(seconds(11), |fleet| fleet.all_have(version(9)));
    assert!(took.is_some(), "not in force everywhere after 11 s");
}

/// With a stale platform, a new process must ask its peers before it serves, and the version that
/// they announce must be in force first. Otherwise it serves a text that the fleet replaced hours
/// ago.
#[test]
fn new_process_asks_peers_before_it_trusts_a_stale_platform() {
    let mut readiness = Readiness::open(Time::ZERO);
    readiness.set_platform(Contact::Answered);
    let (old, new) = (version(5).stamp(), version(7).stamp());
    assert_eq!(readiness.standing(Time::ZERO, old), Standing::AskingPeers);
    readiness.set_peers(Contact::Answered);
    readiness.note_announced(new);
    assert_eq!(readiness.standing(Time::ZERO, old), Standing::Behind);
    assert_eq!(readiness.standing(Time::ZERO, new), Standing::Ready);
}

/// A process that serves must stay ready while it learns of newer versions. Otherwise every entry
/// refuses requests for a moment whenever a text is published or a host is listed.
#[test]
fn ready_process_stays_ready_while_versions_arrive() {
    let mut readiness = Readiness::open(Time::ZERO);
    readiness.set_platform(Contact::Answered);
    readiness.set_peers(Contact::Silent);
    assert_eq!(readiness.standing(Time::ZERO, version(5).stamp()), Standing::Ready);
    readiness.set_peers(Contact::Pending);
    readiness.note_announced(version(6).stamp());
    assert_eq!(readiness.standing(Time::ZERO, version(5).stamp()), Standing::Ready);
}

/// While the platform is down, peers are enough for a replaced host to serve. With neither, it has
/// no version known to be current and must not serve.
#[test]
fn peers_alone_suffice_for_readiness() {
    let late = Time::ZERO + seconds(10);
    let text = version(5).stamp();
    let mut readiness = Readiness::open(Time::ZERO);
    readiness.set_platform(Contact::Silent);
    assert_eq!(readiness.standing(late, text), Standing::Alone);
    readiness.set_peers(Contact::Answered);
    assert_eq!(readiness.standing(late, Stamp::default()), Standing::NoVersion);
    assert_eq!(readiness.standing(late, text), Standing::Ready);
}

/// The platform limits calls as the fleet grows, so only two processes of a domain watch, whatever
/// its size. When they end, others replace them.
#[test]
fn watchers_are_bounded_and_replaced() {
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

/// The polls of all non-watchers together keep one rate, whatever their number, and drift apart.
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

/// A neighbour may die during a fetch. Another one must be asked after the timeout, or the fetch
/// never ends.
#[test]
fn fetch_switches_from_a_silent_neighbour() {
    let mut fetch = Fetch::default();
    let stamp = version(3).stamp();
    assert!(fetch.start(Time::ZERO, &host(1), stamp));
    assert!(!fetch.start(Time::ZERO + seconds(1), &host(2), stamp), "one at a time");
    assert!(
        fetch.start(Time::ZERO + seconds(2), &host(2), stamp),
        "another neighbour after the timeout"
    );
    assert!(!fetch.accept(Time::ZERO + seconds(2), &host(1), stamp), "late answers are dropped");
    assert!(fetch.accept(Time::ZERO + seconds(2), &host(2), stamp));
}

proptest! {
    /// Whatever the order in which texts arrive, the version in force never decreases and ends as
    /// the maximum.
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

    /// Stamps have the same order as versions.
    #[test]
    fn stamps_order_as_versions(a in 0..4u64, b in 0..4u64, x: u16, y: u16) {
        let (a, b) = (Version::of(a, &x.to_string()), Version::of(b, &y.to_string()));
        prop_assert_eq!(a.cmp(&b), a.stamp().cmp(&b.stamp()));
    }
}
