//! Cordoned failure domains, as entries read and announce them.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflyhoist_policy::cordon::{Change, Cordons, MAX_DOMAINS, SETTLE_TIME};
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::REJOIN_GRACE;
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::time::Time;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn domain(name: &str) -> id::Domain {
    name.parse().expect("a name")
}

fn set(names: &[&str]) -> BTreeSet<id::Domain> {
    names.iter().map(|name| domain(name)).collect()
}

fn cordoned(cordons: &Cordons) -> BTreeSet<id::Domain> {
    cordons.all().cloned().collect()
}

/// Guards against an older reading, or an older update of a peer, replacing a newer one.
#[test]
fn newest_position_wins() {
    let mut cordons = Cordons::default();
    assert!(!cordons.is_known());
    assert!(cordons.apply_list(at(0), Position::new(0, 10), set(&["a"])));
    assert!(!cordons.apply_list(at(1), Position::new(0, 9), set(&[])));
    let mut other = Cordons::default();
    other.apply_update(at(2), cordons.to_update(at(2)).expect("the set is known"));
    assert!(other.apply_changes(at(3), Position::new(0, 12), &[Change::Lifted(domain("a"))]));
    assert!(!other.apply_update(at(4), cordons.to_update(at(4)).expect("the set is known")));
    assert_eq!(cordoned(&other), set(&[]));
    assert!(cordons.apply_update(at(5), other.to_update(at(5)).expect("the set is known")));
    assert!(!cordons.apply_changes(at(6), Position::new(0, 11), &[Change::Set(domain("b"))]));
    assert_eq!(cordoned(&cordons), set(&[]));
}

/// Guards against entries that never agree because they receive readings and updates in different
/// orders.
#[test]
fn three_hundred_entries_converge() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut entries = vec![Cordons::default(); 300];
    entries.iter_mut().for_each(|one| _ = one.apply_list(at(0), Position::new(0, 1), set(&[])));
    let mut registry = BTreeSet::new();
    for revision in 2..60 {
        let one = domain(["a", "b", "c", "d", "e"][rng.random_range(0..5)]);
        let change = match registry.remove(&one) {
            true => Change::Lifted(one),
            false => {
                registry.insert(one.clone());
                Change::Set(one)
            }
        };
        // Two entries read the change, a late one reads the whole list, and updates pass between
        // random pairs.
        let now = at(revision * 100);
        for nth in [0, 1] {
            entries[nth].apply_changes(
                now,
                Position::new(0, revision),
                std::slice::from_ref(&change),
            );
        }
        let late = rng.random_range(2..300);
        entries[late].apply_list(now, Position::new(0, revision), registry.clone());
        for _ in 0..200 {
            let (from, to) = (rng.random_range(0..300), rng.random_range(0..300));
            let update = entries[from].to_update(now).expect("the set is known");
            entries[to].apply_update(now, update);
        }
    }
    let mut order: Vec<usize> = (2..300).collect();
    order.shuffle(&mut rng);
    let update = entries[0].to_update(at(7_000)).expect("the set is known");
    for nth in order {
        entries[nth].apply_update(at(7_000), update.clone());
    }
    assert!(entries.iter().all(|one| cordoned(one) == registry));
}

/// Guards against a restored registry that lacks a cordon opening the domain at once, either at the
/// entry that reads it or at one that receives its update.
#[test]
fn cordon_outlives_a_restore_for_the_grace_period() {
    let (mut reader, mut receiver) = (Cordons::default(), Cordons::default());
    reader.apply_list(at(0), Position::new(0, 50), set(&["a", "b"]));
    assert!(!reader.apply_list(at(1_000), Position::new(1, 20), set(&["b"])));
    receiver.apply_update(at(1_100), reader.to_update(at(1_100)).expect("the set is known"));
    let grace_ms = u64::try_from(REJOIN_GRACE.as_millis()).expect("milliseconds");
    for one in [&mut reader, &mut receiver] {
        assert!(!one.expire(at(900 + grace_ms)));
        assert_eq!(cordoned(one), set(&["a", "b"]));
        assert!(one.expire(at(1_200 + grace_ms)));
        assert_eq!(cordoned(one), set(&["b"]));
    }
    // A cordon that is written again in time stays.
    let mut again = Cordons::default();
    again.apply_list(at(0), Position::new(0, 50), set(&["a"]));
    again.apply_list(at(1_000), Position::new(1, 20), set(&[]));
    again.apply_changes(at(1_500), Position::new(1, 21), &[Change::Set(domain("a"))]);
    again.expire(at(60_000));
    assert_eq!(cordoned(&again), set(&["a"]));
}

/// Guards against a domain counting as warm right after its cordon was lifted.
#[test]
fn domain_counts_as_cold_after_its_cordon_is_lifted() {
    let mut cordons = Cordons::default();
    cordons.apply_list(at(0), Position::new(0, 1), set(&["a"]));
    assert_eq!(cordons.settle_remaining(at(0), &domain("a")), Duration::ZERO);
    cordons.apply_changes(at(1_000), Position::new(0, 2), &[Change::Lifted(domain("a"))]);
    assert_eq!(cordons.settle_remaining(at(1_000), &domain("a")), SETTLE_TIME);
    assert_eq!(cordons.settle_remaining(at(1_000) + SETTLE_TIME, &domain("a")), Duration::ZERO);
}

/// Guards against heartbeats that repeat forever what all entries know, and against ones that leave
/// out a lifted cordon.
#[test]
fn lifted_cordon_is_announced_until_settled() {
    let mut cordons = Cordons::default();
    cordons.apply_list(at(0), Position::new(0, 1), set(&[]));
    let settled = at(0) + SETTLE_TIME;
    assert!(cordons.heartbeat_update(settled).is_none() && cordons.to_update(settled).is_some());
    cordons.apply_changes(at(10), Position::new(0, 2), &[Change::Set(domain("a"))]);
    assert!(cordons.heartbeat_update(at(60_000)).is_some());
    cordons.apply_changes(at(60_000), Position::new(0, 3), &[Change::Lifted(domain("a"))]);
    cordons.expire(at(62_000));
    let update = cordons.heartbeat_update(at(62_000)).expect("a lift is announced");
    assert!(update.domains.is_empty());
    cordons.expire(at(60_000) + SETTLE_TIME);
    assert!(cordons.heartbeat_update(at(60_000) + SETTLE_TIME).is_none());
}

/// Guards against entries that start together never learning that there are no cordons: the peers
/// that updated them did not know it yet.
#[test]
fn empty_set_is_announced_after_the_first_reading() {
    let (mut reader, mut receiver) = (Cordons::default(), Cordons::default());
    assert!(reader.heartbeat_update(at(0)).is_none());
    reader.apply_list(at(1_000), Position::new(0, 1), set(&[]));
    receiver.apply_update(at(1_200), reader.heartbeat_update(at(1_200)).expect("an update is due"));
    assert!(receiver.is_known() && receiver.heartbeat_update(at(1_300)).is_some());
}

/// Guards against registry entries of another writer filling the memory.
#[test]
fn number_of_domains_is_bounded() {
    let mut cordons = Cordons::default();
    let many = (0..5_000).map(|nth| domain(&format!("d-{nth}"))).collect();
    cordons.apply_list(at(0), Position::new(0, 1), many);
    for nth in 0..5_000 {
        let change = Change::Set(domain(&format!("e-{nth}")));
        cordons.apply_changes(at(1), Position::new(0, 2), &[change]);
    }
    assert_eq!(cordons.all().count(), MAX_DOMAINS);
}
