//! Targets that ask for rest.

use std::time::Duration;

use fireflyhoist_policy::lease::{Start, State, Target};
use fireflyhoist_policy::rest::{self, MAX_REST, Rests};
use fireflyhoist_policy::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn target(name: &str, start: u64) -> Target {
    Target {
        id: name.parse().expect("name"),
        instance: name.into(),
        service: "pages".parse().expect("name"),
        address: "127.0.0.1:1".parse().expect("address"),
        domain: "hala-a".parse().expect("name"),
        state: State::Ready,
        renewal: 1,
        cold_ms: 0,
        slots: 0,
        software: None,
        start: Some(Start::new(start)),
    }
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A shorter rest that is asked for later ends the longer one.
#[test]
fn the_rest_that_ends_last_is_in_force() {
    let mut rests = Rests::default();
    let a = target("a", 1);
    assert!(rests.record(at(0), &a, seconds(3)));
    assert!(!rests.record(at(500), &a, seconds(1)));
    assert_eq!(rests.remaining(at(1_000), &a), seconds(2));
    assert!(rests.record(at(1_000), &a, seconds(5)));
    assert_eq!(rests.remaining(at(1_000), &a), seconds(5));
    assert!(rests.remaining(at(6_000), &a).is_zero());
    assert!(!rests.record(at(7_000), &a, Duration::ZERO), "no rest at all");
}

/// A target that has restarted, or another, is left out because of a rest that is not its own.
#[test]
fn another_instance_does_not_rest() {
    let mut rests = Rests::default();
    rests.record(at(0), &target("a", 1), seconds(3));
    assert!(rests.remaining(at(100), &target("a", 2)).is_zero());
    assert!(rests.remaining(at(100), &target("b", 1)).is_zero());
}

/// A target is lost to callers because it asked for years.
#[test]
fn a_rest_has_a_maximum() {
    let mut rests = Rests::default();
    rests.record(at(0), &target("a", 1), Duration::MAX);
    assert_eq!(rests.remaining(at(0), &target("a", 1)), MAX_REST);
}

/// All entries return to a target in the moment in which its rest is over.
#[test]
fn entries_return_one_after_another() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut delays: Vec<u128> =
        (0..300).map(|_| rest::return_after(&mut rng, seconds(3)).as_millis()).collect();
    delays.sort_unstable();
    assert!(delays[0] >= 3_000 && delays[299] <= 3_500);
    let most = delays.chunk_by(|a, b| a / 50 == b / 50).map(<[u128]>::len).max();
    assert!(most < Some(60), "{most:?} of 300 entries return within 50 ms");
}
