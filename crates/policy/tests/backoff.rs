//! Calls of a registry that does not answer while hundreds of entries wait for it.

use std::time::Duration;

use fireflyhoist_policy::backoff::{PRIMARIES, Role, STANDBY_WINDOW, delay, initial_delay};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

/// How long the registry does not answer.
const OUTAGE: Duration = Duration::from_secs(8);

/// Number of entries that serve callers in a large fleet.
const ACTIVES: usize = 15;

/// Returns the number of calls by which one entry asks for one kind of data during the outage.
fn calls(role: Role, random: &mut StdRng) -> usize {
    let (mut now, mut calls) = (initial_delay(role, random.random()), 0);
    while now < OUTAGE {
        calls += 1;
        now += delay(role, calls, random.random());
    }
    calls
}

fn calls_of_fleet(fleet: usize, random: &mut StdRng) -> usize {
    let role = |nth: usize| match nth {
        nth if nth < PRIMARIES => Role::Primary,
        nth if nth < ACTIVES => Role::Secondary,
        _ => Role::Standby,
    };
    // Configuration and targets are read by separate calls.
    (0..fleet).map(|nth| calls(role(nth), random) + calls(role(nth), random)).sum()
}

/// Guards against the whole fleet calling the registry during an outage.
#[parameterized(
    one_hundred = { 100 },
    large = { 195 },
    larger = { 300 },
)]
fn calls_during_outage_do_not_grow_with_fleet(fleet: usize) {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let of_actives = calls_of_fleet(ACTIVES, &mut random);
        let of_all = calls_of_fleet(fleet, &mut random);
        assert!(of_all < 300, "{of_all} calls of {fleet}");
        assert!(of_all < of_actives + 40, "{of_all} calls of {fleet}, {of_actives} of its actives");
    }
}

/// Guards against the end of an outage going unnoticed for a second or more.
#[test]
fn primary_calls_at_least_every_second() {
    for failures in 1..100 {
        assert!(delay(Role::Primary, failures, 0.999_999) < Duration::from_secs(1));
    }
}

/// Guards against a registry that refuses all active entries never being called by the others.
#[test]
fn standby_entries_call_within_window() {
    let mut random = StdRng::seed_from_u64(1);
    let delays = (0..180).map(|_| initial_delay(Role::Standby, random.random()));
    let first = delays.min().expect("some");
    assert!(first < STANDBY_WINDOW / 2, "the first calls after {first:?}");
    assert!(initial_delay(Role::Standby, 0.999_999) <= STANDBY_WINDOW);
}
