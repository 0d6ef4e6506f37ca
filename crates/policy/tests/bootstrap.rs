//! Hundreds of entries start at the same moment and need what the registry holds.

use std::time::Duration;

use fireflyhoist_policy::bootstrap::{
    Bootstrap, MAX_LAG, Peers, READ_DEADLINE, Source, TRANSFER_GRACE,
};
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

/// Guards against seeds sending the list of targets to every entry that starts, which takes a seed
/// with a narrow link as long as there are entries and targets: however many entries start, seeds
/// send it to those that become active.
#[test]
fn seeds_send_the_list_to_actives_only() {
    const ACTIVES: usize = 30;
    const HEARTBEAT: Duration = Duration::from_millis(300);
    const TRANSFER: Duration = Duration::from_millis(100);
    for entries in [150, 300, 600, 1_000] {
        let mut sent_by_seeds = 0;
        for nth in 0..entries {
            // The seeds have the list from the start; heartbeats of different peers interleave.
            let seed_at = HEARTBEAT.mul_f64(nth as f64 / entries as f64);
            if nth < ACTIVES {
                assert!(Source::Own.is_due(Duration::ZERO));
                sent_by_seeds += 1;
                continue;
            }
            // An active has it one heartbeat and a transfer later, and announces it to its leaves.
            let active_at = HEARTBEAT + TRANSFER + seed_at / 2;
            let offers = (0..3).map(|beat| (seed_at + HEARTBEAT * beat, Source::Other));
            let mut offers: Vec<_> = offers.chain([(active_at, Source::Own)]).collect();
            offers.sort_by_key(|(at, _)| *at);
            let (_, source) = offers
                .into_iter()
                .find(|(at, source)| source.is_due(at.saturating_sub(seed_at)))
                .expect("some peer offers it");
            sent_by_seeds += usize::from(source == Source::Other);
        }
        assert_eq!(sent_by_seeds, ACTIVES, "of {entries} entries");
    }
}

/// An entry whose actives do not offer the list requests it from another peer.
#[test]
fn any_peer_is_a_source_after_the_lag() {
    assert!(!Source::Other.is_due(MAX_LAG - Duration::from_millis(1)));
    assert!(Source::Other.is_due(MAX_LAG));
}
