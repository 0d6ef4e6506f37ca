//! Leases for owners of engines that ignore fencing numbers.

use std::time::Duration;

use fireflyhoist_policy::id::{Host, Target};
use fireflyhoist_policy::order::fence::Epoch;
use fireflyhoist_policy::order::lease::{
    MAX_CLOCK_DRIFT, Quorum, Rejection, Request, TTL, Voter, WRITE_TIMEOUT,
};
use fireflyhoist_policy::time::Time;
use proptest::prelude::*;

fn host(n: usize) -> Host {
    format!("entry-{n}").parse().expect("a name")
}

fn engine() -> Target {
    "t1".parse().expect("a name")
}

fn epoch(version: u64) -> Epoch {
    Epoch::of(version, &[]).expect("fits")
}

fn request(owner: usize, version: u64) -> Request {
    Request { engine: engine(), owner: host(owner), epoch: epoch(version) }
}

/// A host that has run long enough to grant leases.
fn voter() -> (Voter, Time) {
    (Voter::open(Time::ZERO), Time::ZERO + TTL)
}

/// Two entries consider themselves an engine's owner, one of them with a newer version. Guards
/// against the older one's order being in flight while the newer one writes, and arriving last: the
/// engine would get the old model.
#[test]
fn host_grants_one_owner_at_a_time() {
    let (mut voter, now) = voter();
    assert_eq!(voter.vote(now, epoch(1), &request(0, 1)), Ok(()));
    assert_eq!(voter.vote(now, epoch(1), &request(1, 2)), Err(Rejection::Taken));
    assert_eq!(voter.vote(now + TTL, epoch(1), &request(1, 2)), Ok(()));
}

/// An entry grants a lease, is killed and starts again on the same address within a second. If it
/// granted at once, a second majority would form while the first is still valid.
#[test]
fn new_process_grants_nothing_for_one_ttl() {
    let mut voter = Voter::open(Time::ZERO);
    let almost = Time::ZERO + (TTL - Duration::from_millis(1));
    assert_eq!(voter.vote(almost, epoch(1), &request(0, 1)), Err(Rejection::Young));
    assert_eq!(voter.vote(Time::ZERO + TTL, epoch(1), &request(0, 1)), Ok(()));
}

/// An owner that was partitioned still follows an old version and requests a lease to load the old
/// model.
#[test]
fn owner_with_an_older_version_is_rejected() {
    let (mut voter, now) = voter();
    assert_eq!(voter.vote(now, epoch(2), &request(0, 1)), Err(Rejection::Behind));
}

/// A host on the far side of a partition grants a lease to version 2 before it has that version
/// itself. The partition changes, and an owner with version 1 asks the same host, which itself
/// still follows version 1.
#[test]
fn host_that_granted_a_newer_version_rejects_older_ones() {
    let (mut voter, now) = voter();
    assert_eq!(voter.vote(now, epoch(1), &request(0, 2)), Ok(()));
    assert_eq!(voter.vote(now + TTL, epoch(1), &request(1, 1)), Err(Rejection::Behind));
}

/// An owner collects its grants and is paused before it writes. Another one orders the next version
/// meanwhile; when the first resumes, its write would restore the old model.
#[test]
fn paused_owner_may_not_write_after_expiry() {
    let mut quorum = Quorum::open(Time::ZERO, (0..3).map(host));
    (0..2).for_each(|n| quorum.grant(&host(n)));
    assert!(quorum.permits(Time::ZERO + (TTL - WRITE_TIMEOUT - MAX_CLOCK_DRIFT)));
    assert!(!quorum.permits(Time::ZERO + (TTL - WRITE_TIMEOUT)));
}

/// A partition leaves two of five hosts on one side. They may not order, and grants of hosts that
/// are not on the published list do not count.
#[test]
fn minority_of_published_hosts_may_not_order() {
    let mut quorum = Quorum::open(Time::ZERO, (0..5).map(host));
    [0, 1, 7, 8].into_iter().for_each(|n| quorum.grant(&host(n)));
    assert!(!quorum.permits(Time::ZERO));
    quorum.grant(&host(2));
    assert!(quorum.permits(Time::ZERO));
}

#[derive(Clone, Debug)]
enum Event {
    Request { owner: usize, host: usize },
    Reopen { owner: usize },
    Restart { host: usize },
    ClockJump { host: usize },
    Elapse { millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0usize..2, 0usize..3).prop_map(|(owner, host)| Event::Request { owner, host }),
        2 => (0usize..2).prop_map(|owner| Event::Reopen { owner }),
        1 => (0usize..3).prop_map(|host| Event::Restart { host }),
        1 => (0usize..3).prop_map(|host| Event::ClockJump { host }),
        2 => (0u64..3000).prop_map(|millis| Event::Elapse { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    /// Two owners may never write at once, whatever the requests, restarts and delays.
    #[test]
    fn two_owners_never_hold_an_engine_at_once(
        events in prop::collection::vec(event(), 0..60),
        versions in prop::array::uniform2(1u64..3),
    ) {
        let mut now = Time::ZERO + TTL * 10;
        let mut hosts: Vec<Voter> = (0..3).map(|_| Voter::open(Time::ZERO)).collect();
        let open = |now| Quorum::open(now, (0..3).map(host));
        let mut quorums = [open(now), open(now)];
        for event in events {
            match event {
                Event::Reopen { owner } => quorums[owner] = open(now),
                Event::Restart { host } => hosts[host] = Voter::open(now),
                Event::ClockJump { host } => hosts[host].suspend(now),
                Event::Elapse { millis } => now = now + Duration::from_millis(millis),
                Event::Request { owner, host: at } => {
                    let request = request(owner, versions[owner]);
                    if hosts[at].vote(now, epoch(1), &request).is_ok() {
                        quorums[owner].grant(&host(at));
                    }
                }
            }
            let both = quorums.iter().all(|quorum| quorum.permits(now));
            prop_assert!(!both, "both may write at {now}");
        }
    }
}
