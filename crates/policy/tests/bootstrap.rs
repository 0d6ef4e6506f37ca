//! Hundreds of entries start at the same moment and need what the registry holds.

use std::time::Duration;

use fireflyhoist_policy::bootstrap::{Bootstrap, Peers, READ_DEADLINE, TRANSFER_GRACE};
use fireflyhoist_policy::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

/// The time from the read of one entry until the result has passed its seed and reached the others.
const PROPAGATION_DELAY: Duration = Duration::from_millis(500);

const STEP: Duration = Duration::from_millis(10);

fn at(span: Duration) -> Time {
    Time::ZERO + span
}

/// Returns how many of `size` entries read when they are linked to seeds that cannot, and when the
/// first of them does.
fn readers(size: usize, seed: u64) -> (usize, Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let waiting: Vec<Bootstrap> =
        (0..size).map(|_| Bootstrap::member(Time::ZERO, random.random())).collect();
    let mut first = None;
    let mut span = Duration::ZERO;
    loop {
        let due = waiting.iter().filter(|one| one.is_due(at(span), Peers::Uninformed)).count();
        if due > 0 {
            first.get_or_insert(span);
        }
        if let Some(first) = first
            && span >= first + PROPAGATION_DELAY
        {
            return (due, first);
        }
        span += STEP;
    }
}

/// A fleet whose seeds cannot read the registry must not read it with every entry.
#[parameterized(
    small = { 6 },
    grown = { 60 },
    large = { 195 },
    larger = { 300 },
    largest = { 1_000 },
)]
fn few_read_where_no_seed_can(size: usize) {
    for seed in 0..50 {
        let (readers, first) = readers(size, seed);
        assert!(readers <= 20, "{readers} of {size} read");
        assert!(first <= READ_DEADLINE, "the first reads after {first:?}");
    }
}

/// An entry must not wait forever for peers that have nothing.
#[test]
fn every_entry_reads_eventually() {
    for draw in [0.0, 0.5, 0.999_999] {
        let entry = Bootstrap::member(Time::ZERO, draw);
        assert!(entry.is_due(at(READ_DEADLINE), Peers::None));
        assert!(entry.is_due(at(READ_DEADLINE), Peers::Uninformed));
        assert!(entry.is_due(at(READ_DEADLINE + TRANSFER_GRACE), Peers::Informed));
    }
}

/// An entry must not read what a peer is about to send.
#[test]
fn no_entry_reads_while_a_peer_is_informed() {
    for draw in [0.0, 0.5, 0.999_999] {
        let entry = Bootstrap::member(Time::ZERO, draw);
        assert!(!entry.is_due(at(TRANSFER_GRACE - STEP), Peers::Informed));
    }
}

/// Seeds must not wait, or all entries of a fleet would wait for each other.
#[test]
fn seeds_read_at_once() {
    let seed = Bootstrap::seed(Time::ZERO);
    assert!(
        [Peers::None, Peers::Uninformed, Peers::Informed]
            .iter()
            .all(|p| seed.is_due(Time::ZERO, *p))
    );
}
