//! Leases for owners of engines that ignore fencing numbers.

use std::time::Duration;

use fireflyhoist_policy::id::{Host, Target};
use fireflyhoist_policy::order::fence::Mark;
use fireflyhoist_policy::order::lease::{Ask, DRIFT, Promiser, Quorum, Refused, SPAN, WRITE};
use fireflyhoist_policy::time::Time;
use proptest::prelude::*;

fn host(n: usize) -> Host {
    format!("entry-{n}").parse().expect("a name")
}

fn engine() -> Target {
    "t1".parse().expect("a name")
}

fn mark(version: u64) -> Mark {
    Mark::of(version, &[]).expect("fits")
}

fn ask(steward: usize, version: u64) -> Ask {
    Ask { engine: engine(), steward: host(steward), mark: mark(version) }
}

/// A host that has run long enough to grant leases.
fn promiser() -> (Promiser, Time) {
    (Promiser::open(Time::ZERO), Time::ZERO + SPAN)
}

/// Two entries consider themselves an engine's owner, one of them with a newer version. Guards
/// against the older one's order being in flight while the newer one writes, and arriving last: the
/// engine would get the old model.
#[test]
fn a_host_promises_one_steward_at_a_time() {
    let (mut promiser, now) = promiser();
    assert_eq!(promiser.ask(now, mark(1), &ask(0, 1)), Ok(()));
    assert_eq!(promiser.ask(now, mark(1), &ask(1, 2)), Err(Refused::Taken));
    assert_eq!(promiser.ask(now + SPAN, mark(1), &ask(1, 2)), Ok(()));
}

/// An entry grants a lease, is killed and starts again on the same address within a second. If it
/// granted at once, a second majority would form while the first is still valid.
#[test]
fn a_process_that_just_started_promises_nothing_for_one_span() {
    let mut promiser = Promiser::open(Time::ZERO);
    let almost = Time::ZERO + (SPAN - Duration::from_millis(1));
    assert_eq!(promiser.ask(almost, mark(1), &ask(0, 1)), Err(Refused::Young));
    assert_eq!(promiser.ask(Time::ZERO + SPAN, mark(1), &ask(0, 1)), Ok(()));
}

/// An owner that was partitioned still follows an old version and requests a lease to load the old
/// model.
#[test]
fn a_steward_with_an_older_version_is_refused() {
    let (mut promiser, now) = promiser();
    assert_eq!(promiser.ask(now, mark(2), &ask(0, 1)), Err(Refused::Behind));
}

/// A host on the far side of a partition grants a lease to version 2 before it has that version
/// itself. The partition changes, and an owner with version 1 asks the same host, which itself
/// still follows version 1.
#[test]
fn a_host_that_promised_a_newer_version_refuses_the_older() {
    let (mut promiser, now) = promiser();
    assert_eq!(promiser.ask(now, mark(1), &ask(0, 2)), Ok(()));
    assert_eq!(promiser.ask(now + SPAN, mark(1), &ask(1, 1)), Err(Refused::Behind));
}

/// An owner collects its grants and is paused before it writes. Another one orders the next version
/// meanwhile; when the first resumes, its write would restore the old model.
#[test]
fn a_steward_that_paused_before_its_write_no_longer_may() {
    let mut quorum = Quorum::open(Time::ZERO, (0..3).map(host));
    (0..2).for_each(|n| quorum.grant(&host(n)));
    assert!(quorum.permits(Time::ZERO + (SPAN - WRITE - DRIFT)));
    assert!(!quorum.permits(Time::ZERO + (SPAN - WRITE)));
}

/// A partition leaves two of five hosts on one side. They may not order, and grants of hosts that
/// are not on the published list do not count.
#[test]
fn a_minority_of_the_published_hosts_may_not_order() {
    let mut quorum = Quorum::open(Time::ZERO, (0..5).map(host));
    [0, 1, 7, 8].into_iter().for_each(|n| quorum.grant(&host(n)));
    assert!(!quorum.permits(Time::ZERO));
    quorum.grant(&host(2));
    assert!(quorum.permits(Time::ZERO));
}

#[derive(Clone, Debug)]
enum Event {
    Ask { steward: usize, host: usize },
    Open { steward: usize },
    Restart { host: usize },
    Jump { host: usize },
    Pass { millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0usize..2, 0usize..3).prop_map(|(steward, host)| Event::Ask { steward, host }),
        2 => (0usize..2).prop_map(|steward| Event::Open { steward }),
        1 => (0usize..3).prop_map(|host| Event::Restart { host }),
        1 => (0usize..3).prop_map(|host| Event::Jump { host }),
        2 => (0u64..3000).prop_map(|millis| Event::Pass { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    /// Two owners may never write at once, whatever the requests, restarts and delays.
    #[test]
    fn two_stewards_never_hold_an_engine_together(
        events in prop::collection::vec(event(), 0..60),
        versions in prop::array::uniform2(1u64..3),
    ) {
        let mut now = Time::ZERO + SPAN * 10;
        let mut hosts: Vec<Promiser> = (0..3).map(|_| Promiser::open(Time::ZERO)).collect();
        let open = |now| Quorum::open(now, (0..3).map(host));
        let mut quorums = [open(now), open(now)];
        for event in events {
            match event {
                Event::Open { steward } => quorums[steward] = open(now),
                Event::Restart { host } => hosts[host] = Promiser::open(now),
                Event::Jump { host } => hosts[host].distrust(now),
                Event::Pass { millis } => now = now + Duration::from_millis(millis),
                Event::Ask { steward, host: at } => {
                    let ask = ask(steward, versions[steward]);
                    if hosts[at].ask(now, mark(1), &ask).is_ok() {
                        quorums[steward].grant(&host(at));
                    }
                }
            }
            let both = quorums.iter().all(|quorum| quorum.permits(now));
            prop_assert!(!both, "both may write at {now}");
        }
    }
}
