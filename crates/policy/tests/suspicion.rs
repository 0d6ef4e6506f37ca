//! Features that crash engines are found and held, and sound requests that share the others are not.

#[path = "support/part_simulation.rs"]
mod part_simulation;

use std::time::Duration;

use fireflyhoist_policy::feature::Feature;
use fireflyhoist_policy::lease::{State, Target};
use fireflyhoist_policy::poison::{Decision, Incarnation};
use fireflyhoist_policy::suspicion::{Ledger, MAX_FEATURES, SUSPECT_CRASHES, Update};
use fireflyhoist_policy::time::Time;
use part_simulation::{CRASHES, Plan, STABLE, play};
use yare::parameterized;

/// Sends with the part that may follow once the bound holds.
const MAX_LATE_SENDS: usize = 3;

/// Longest time in which sound requests may be held back.
const MAX_HOLD: Duration = Duration::from_secs(5);

const SEEDS: u64 = 10;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_secs(60) + Duration::from_millis(ms)
}

fn engine(nth: usize) -> Incarnation {
    Incarnation::of(&Target {
        id: format!("e-{nth}").parse().expect("a name"),
        instance: "e".into(),
        service: "pages".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "d-1".parse().expect("a name"),
        state: State::Ready,
        renewal: 1,
        start: None,
        cold_ms: 0,
        slots: 0,
        software: None,
    })
}

/// A ledger that has seen engines crash on runs with these parts, half a second apart.
fn crashed(runs: &[&[&str]]) -> Ledger {
    let mut ledger = Ledger::default();
    for (nth, parts) in runs.iter().enumerate() {
        let when = at(500 * nth as u64);
        ledger.record_crash(when, when, engine(nth), &features(parts));
    }
    ledger
}

fn features(parts: &[&str]) -> Vec<Feature> {
    parts.iter().map(|part| Feature::part(part)).collect()
}

fn is_held(ledger: &Ledger, now: Time, parts: &[&str]) -> bool {
    ledger.decide(now, &features(parts)) != Decision::Allow
}

/// Guards against a part that ends one engine after the other because no two of its requests are
/// alike and they are spread over all entries.
#[parameterized(
    one = { 1, 10.0 },
    two = { 2, 10.0 },
    six = { 6, 10.0 },
    thirty = { 30, 10.0 },
    many = { 195, 10.0 },
    rarely = { 6, 0.5 },
    often = { 6, 30.0 },
)]
fn a_part_is_held_at_all_entries(entries: usize, bad_per_s: f64) {
    for seed in 0..SEEDS {
        let plan = Plan { entries, bad_per_s, ..Plan::default() };
        let seen = play(seed, plan);
        assert!(seen.late_sends() <= MAX_LATE_SENDS, "seed {seed}: {}", seen.late_sends());
        assert!(seen.crashes.len() >= SUSPECT_CRASHES, "it was played");
    }
}

/// Guards against sound requests that begin less often while the bad ones keep coming.
#[parameterized(
    other_parts_differ = { false },
    a_part_is_always_beside = { true },
)]
fn sound_requests_begin_beside_bad_ones(always_beside: bool) {
    for seed in 0..SEEDS {
        let seen = play(seed, Plan { always_beside, ..Plan::default() });
        let fifth = seen.crashes.get(CRASHES - 1).copied().unwrap_or(at(0));
        let share = seen.sound_share(fifth + 2 * STABLE);
        assert!(share > 0.5, "seed {seed}: {share}");
        assert!(seen.longest_refusal() < MAX_HOLD, "seed {seed}: {:?}", seen.longest_refusal());
    }
}

/// Guards against holding sound requests back because engines crash for other reasons: a rack, a
/// failure domain, one engine after the other, or all at once.
#[parameterized(
    rack = { &[(2_000, 4)] },
    domain = { &[(2_000, 10), (8_000, 10)] },
    one_by_one = { &[(2_000, 1), (2_500, 2), (3_000, 3), (3_500, 4), (4_000, 5), (4_500, 6)] },
    all = { &[(2_000, 30), (12_000, 30)] },
)]
fn chance_crashes_hold_nothing_for_long(crashes: &[(u64, usize)]) {
    let chance_crashes: Vec<_> =
        crashes.iter().map(|(at, count)| (Duration::from_millis(*at), *count)).collect();
    for seed in 0..SEEDS {
        let chance_crashes = chance_crashes.clone();
        let seen = play(seed, Plan { bad_per_s: 0.0, chance_crashes, ..Plan::default() });
        assert!(seen.longest_refusal() < MAX_HOLD, "seed {seed}: {:?}", seen.longest_refusal());
        let after = seen.sound_share(at(20_000));
        assert!(after > 0.99, "seed {seed}: {after}");
    }
}

/// Guards against holding a sound part that is always beside the bad one, once a sound request shows
/// that it crashes nothing; and before that against holding requests with one of the two alone.
#[test]
fn a_suspect_holds_only_with_what_accounts_for_the_same_crashes() {
    let mut ledger = crashed(&[&["a", "bad"], &["a", "bad"], &["a", "bad"]]);
    let now = at(2_000);
    assert!(is_held(&ledger, now, &["a", "bad", "c"]));
    assert!(!is_held(&ledger, now, &["a"]) && !is_held(&ledger, now, &["bad"]));
    ledger.record_first_event(now, &features(&["a", "c"]));
    assert!(is_held(&ledger, now, &["bad"]), "it accounts for them alone");
    assert!(is_held(&ledger, now, &["a", "bad"]) && !is_held(&ledger, now, &["a", "c"]));
}

/// Guards against holding back what ran on a failure domain when its engines crashed at once.
#[test]
fn crashes_at_one_moment_count_as_one() {
    let mut ledger = Ledger::default();
    for nth in 0..10 {
        let when = at(3 * nth as u64);
        ledger.record_crash(when, when, engine(nth), &features(&["a"]));
    }
    assert!(!is_held(&ledger, at(100), &["a"]));
}

/// Guards against two bad parts that hide each other.
#[test]
fn two_bad_parts_are_held() {
    let bad: &[&[&str]] = &[&["x"], &["y", "x"], &["y"], &["x"], &["y"]];
    let ledger = crashed(bad);
    let now = at(3_000);
    assert!(is_held(&ledger, now, &["x"]) && is_held(&ledger, now, &["y", "z"]));
    assert!(!is_held(&ledger, now, &["z"]));
}

/// Guards against a part that is tried for ever, and one that is never tried again though it crashed
/// engines by chance.
#[test]
fn trials_of_a_part_are_few_and_a_first_event_ends_its_hold() {
    let mut ledger = crashed(&[&["bad"], &["bad"], &["bad"]]);
    let (mut trials, mut now) = (0, at(2_000));
    while now < at(600_000) {
        if ledger.try_trial(now, &features(&["bad"])) == Decision::Trial {
            trials += 1;
            let crash = now + Duration::from_millis(400);
            ledger.record_crash(crash, crash, engine(100 + trials), &features(&["bad"]));
        }
        now = now + Duration::from_millis(100);
    }
    assert!((2..=4).contains(&trials), "{trials} trials");
    assert!(is_held(&ledger, now, &["bad"]));
    ledger.record_first_event(now, &features(&["bad"]));
    assert!(!is_held(&ledger, now, &["bad"]));
}

/// Guards against two trials at one time.
#[test]
fn a_trial_is_granted_once() {
    let mut ledger = crashed(&[&["bad"], &["bad"], &["bad"]]);
    let now = at(2_000);
    assert_eq!(ledger.try_trial(now, &features(&["bad"])), Decision::Trial);
    let mut other = crashed(&[&["bad"], &["bad"], &["bad"]]);
    assert!(other.apply(now, &ledger.take_updates(now)));
    for ledger in [&ledger, &other] {
        assert!(matches!(ledger.decide(now, &features(&["bad"])), Decision::Refuse(_)));
    }
}

/// Guards against an entry that has started after the crashes counting them as one.
#[test]
fn an_entry_that_started_later_counts_crashes_alike() {
    let known = crashed(&[&["bad"], &["bad"], &["bad"]]);
    let mut new = Ledger::default();
    let started = Time::ZERO + Duration::from_millis(10);
    assert!(new.apply(started, &known.snapshot(at(30_000), 10)));
    assert!(is_held(&new, started, &["bad"]));
}

/// Guards against an event that came before a crash was known clearing nothing, since the entry that
/// saw it had no crash to clear then.
#[test]
fn an_event_clears_crashes_that_are_told_later() {
    let mut ledger = Ledger::default();
    ledger.record_first_event(at(1_000), &features(&["a"]));
    for nth in 0..3 {
        let crash =
            Update::Crash { incarnation: engine(nth), features: features(&["a"]), age: 500 };
        ledger.apply(at(1_100 + 100 * nth as u64), &[crash]);
    }
    assert!(ledger.is_empty());
    assert!(matches!(ledger.take_updates(at(1_500))[..], [Update::Cleared { .. }, ..]));
}

/// Guards against parts by the million that push a held one out.
#[test]
fn many_parts_evict_no_held_one() {
    let mut ledger = crashed(&[&["bad"], &["bad"], &["bad"]]);
    for nth in 0..2 * MAX_FEATURES {
        let when = at(5_000 + nth as u64);
        let part = format!("p-{nth}");
        ledger.record_crash(when, when, engine(1_000 + nth), &features(&[&part]));
    }
    assert!(ledger.len() <= MAX_FEATURES && ledger.suspects() == 1);
    assert!(is_held(&ledger, at(20_000), &["bad"]));
}
