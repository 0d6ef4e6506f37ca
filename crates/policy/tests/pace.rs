//! The pace of targets: its estimate, how entries share it, and placement by it.

#[path = "support/engine_fleet.rs"]
mod engine_fleet;

use std::time::Duration;

use engine_fleet::{
    EVENT_TOKENS, Fault, LONGEST_PAUSE, Results, Scenario, Simulation, gate, request,
};
use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{Gate, Outcome, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::load::{Load, Peers};
use fireflyhoist_policy::pace::{Estimate, Figures, Regime, Usual};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn run(scenario: Scenario) -> Results {
    Simulation::new(scenario).run()
}

/// Guards against prompts at slow engines that interrupt long answers, where engines differ and slow
/// down at times.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn more_long_answers_are_in_time(seed: u64) {
    let scenario = Scenario { seed, ..Scenario::default() };
    let before = run(Scenario { pause_aware: false, ..scenario });
    let after = run(scenario);
    println!("{seed} before {:?} {:?}", before.long, before.short);
    println!("{seed} after {:?} {:?}", after.long, after.short);
    assert!(after.long.paused * 2 < before.long.paused, "{:?} {:?}", after.long, before.long);
    assert!(after.long.in_time > before.long.in_time, "{:?} {:?}", after.long, before.long);
    assert!(after.short.in_time * 20 >= before.short.in_time * 19, "{:?}", after.short);
}

/// Guards against wrong or missing figures of others that make placement worse than without them.
#[parameterized(wrong_figures = { Fault::WrongFigures }, silence = { Fault::Silence })]
fn faults_of_others_do_no_harm(fault: Fault) {
    let scenario = Scenario { fault, ..Scenario::default() };
    let before = run(Scenario { pause_aware: false, ..scenario });
    let after = run(scenario);
    println!("{fault:?} before {:?} {:?}", before.long, before.short);
    println!("{fault:?} after {:?} {:?}", after.long, after.short);
    assert!(after.long.in_time > before.long.in_time, "{:?} {:?}", after.long, before.long);
    assert!(after.short.in_time * 10 >= before.short.in_time * 9, "{:?}", after.short);
}

/// Guards against other decisions where targets are even, or where no route bounds pauses.
#[parameterized(
    even = { false, Some(LONGEST_PAUSE) },
    without_bound = { true, None },
)]
fn decisions_are_the_same(uneven: bool, longest_pause: Option<Duration>) {
    let scenario = Scenario { uneven, longest_pause, seconds: 15, ..Scenario::default() };
    let before = run(Scenario { pause_aware: false, ..scenario });
    assert!(before.sends.len() > 150, "{}", before.sends.len());
    assert_eq!(run(scenario).sends, before.sends);
}

/// Teaches what is usual: a time per token of 8 ms, and twice as much with prompts.
fn usual() -> Usual {
    let (mut usual, mut estimate) = (Usual::default(), Estimate::default());
    for nth in 0..100 {
        let (regime, ms) = if nth % 2 == 0 { (Regime::Decode, 8) } else { (Regime::Prefill, 16) };
        estimate.record(at(nth), &mut usual, regime, Duration::from_millis(ms));
    }
    usual
}

/// Returns the pace in microseconds.
fn pace(estimate: &Estimate, now: Time) -> u64 {
    (estimate.pace(now, &usual()).expect("a usual pace") * 1e6) as u64
}

fn figures(us: u64, count: u32) -> Figures {
    Figures { sum: us * u64::from(count), count, ..Figures::default() }
}

/// Guards against one long pause, by a migration or a caller's connection, that makes a target look
/// slow for good.
#[test]
fn a_single_pause_marks_a_slowdown_and_not_the_pace() {
    let (mut usual, mut estimate) = (usual(), Estimate::default());
    for nth in 0..12 {
        estimate.record(at(nth), &mut usual, Regime::Decode, Duration::from_millis(4));
    }
    assert!(estimate.record(at(20), &mut usual, Regime::Decode, Duration::from_millis(90)));
    assert!(estimate.is_slowed(at(200)) && !estimate.is_slowed(at(300)));
    assert!((3_900..4_700).contains(&pace(&estimate, at(300))), "{}", pace(&estimate, at(300)));
    assert!(estimate.refresh_slowdown(at(300)));
}

/// Guards against figures of a silent link that are believed for good.
#[test]
fn figures_of_a_silent_link_decay() {
    let mut estimate = Estimate::default();
    let slow = Figures { slowed: 1, ..figures(16_000, 24) };
    estimate.set_others(at(0), slow);
    assert!(pace(&estimate, at(0)) > 15_000 && estimate.is_slowed(at(100)));
    estimate.set_others(at(10_000), slow);
    assert!(pace(&estimate, at(20_000)) < 9_000 && !estimate.is_slowed(at(10_100)));
}

/// Guards against the pace of an earlier start of a target, known here or announced by others.
#[test]
fn a_restart_begins_anew() {
    let (mut usual, mut estimate) = (usual(), Estimate::default());
    for nth in 0..24 {
        estimate.record(at(nth), &mut usual, Regime::Decode, Duration::from_millis(16));
    }
    estimate.set_others(at(0), figures(16_000, 24));
    estimate.reset();
    estimate.set_others(at(30), figures(16_000, 24));
    assert!((7_500..8_500).contains(&pace(&estimate, at(30))));
    estimate.set_others(at(40), figures(4_000, 24));
    assert!(pace(&estimate, at(40)) < 5_000);
}

/// Guards against one entry with wrong figures that decides for all.
#[parameterized(too_slow = { 10_000_000 }, too_fast = { 1 })]
fn one_entry_with_wrong_figures_changes_little(wrong: u64) {
    let target: id::Target = "t".parse().expect("a name");
    let mut peers = Peers::default();
    for (nth, us) in [8_000, 8_400, wrong].into_iter().enumerate() {
        let load = Load { pace: figures(us, 24), ..Load::none(&target) };
        peers.replace(&format!("entry-{nth}").parse().expect("a name"), vec![load]);
    }
    let total = peers.total(&target).pace;
    assert!((8_000..=8_400).contains(&total.mean().expect("figures")), "{total:?}");
    let mut estimate = Estimate::default();
    estimate.set_others(at(0), figures(wrong, 24));
    assert!((2_000..=32_000).contains(&pace(&estimate, at(0))));
}

/// Guards against a link to an entry of the earlier release, which sends and knows no pace.
#[test]
fn loads_without_figures_are_those_of_the_earlier_release() {
    let load = Load::none(&"t".parse().expect("a name"));
    let text = serde_json::to_string(&load).expect("serializable");
    assert!(!text.contains("pace"), "{text}");
    assert_eq!(serde_json::from_str::<Load>(&text).expect("readable"), load);
}

/// Creates a gate that knows a fast target 0 and slow others, the second half of them with answers
/// that can be interrupted there.
fn taught(targets: usize) -> Gate {
    let mut gate = gate(true, Some(LONGEST_PAUSE), targets);
    let mut rng = SmallRng::seed_from_u64(1);
    let sent = gate.offer(at(0), &mut rng, request(0, true, at(0), Duration::from_secs(4)));
    assert!(matches!(sent, Verdict::Send(_)));
    for nth in 1..=80 {
        let produced = Tokens::new(nth * u64::from(EVENT_TOKENS));
        // Every fourth interval is twice as long, so that predictions allow for it.
        let ms = nth * 36 + nth / 4 * 36;
        gate.progress(at(ms), id::Request::new(0), produced);
    }
    gate.finish(at(4_000), id::Request::new(0), Outcome::Whole);
    for nth in 0..targets {
        let us = if nth == 0 { 3_000 } else { 9_000 };
        let others = Figures { interruptible: u32::from(nth > 0) * 3, ..figures(us, 24) };
        gate.set_pace(at(4_000), &engine_fleet::target(nth), others);
    }
    gate.poll(at(4_000), &mut rng);
    gate
}

/// Guards against a request that waits for a better target and blocks those behind it, and against
/// one that waits until it is late.
#[test]
fn a_request_that_can_wait_blocks_no_other() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut gate = taught(6);
    let now = at(4_001);
    gate.suspend(now, &engine_fleet::target(0), Duration::from_secs(9), Exclusion::Limited);
    assert_eq!(gate.targets_at_risk(now), 5);
    let mut offer = |gate: &mut Gate, id: u128, objective_ms: u64| {
        let objective = Duration::from_millis(objective_ms);
        gate.offer(now, &mut rng, request(id, false, now, objective))
    };
    assert_eq!(offer(&mut gate, 1, 1_500), Verdict::Wait);
    assert!(matches!(offer(&mut gate, 2, 850), Verdict::Send(_)));
    assert_eq!(offer(&mut gate, 3, 1_700), Verdict::Wait);
    assert_eq!(offer(&mut gate, 4, 1_550), Verdict::Wait);
    let mut sent = |ms: u64| -> Vec<u128> {
        gate.poll(at(ms), &mut rng).into_iter().map(|(request, _)| request.get()).collect()
    };
    assert_eq!(sent(4_350), [0; 0]);
    assert_eq!(sent(4_420), [1]);
    // Request 4 stands behind request 3, which waits.
    assert_eq!(sent(4_470), [4]);
    assert_eq!(sent(4_620), [3]);
}

/// Counts the random numbers that a placement takes, which are those of the targets it looks at.
struct Counting(SmallRng, u32);

impl RngCore for Counting {
    fn next_u32(&mut self) -> u32 {
        self.1 += 1;
        self.0.next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        self.1 += 1;
        self.0.next_u64()
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        self.0.fill_bytes(bytes);
    }
}

/// Guards against work and announcements that grow with the fleet.
#[parameterized(
    two = { 2, 12 },
    thirty = { 30, 180 },
    many = { 195, 1_170 },
    most = { 1_000, 6_000 },
)]
fn cost_does_not_grow_with_the_fleet(entries: usize, targets: usize) {
    let mut gate = taught(targets);
    let mut rng = Counting(SmallRng::seed_from_u64(3), 0);
    let now = at(4_010);
    gate.offer(now, &mut rng, request(1, true, now, Duration::from_millis(100)));
    assert!(rng.1 <= 2 * 40, "{} targets looked at", rng.1);
    // One target where an answer ended lately, one where an answer runs.
    assert!(gate.holdings().count() <= 2);
    let mut peers = Peers::default();
    let host = |nth: usize| format!("entry-{nth}").parse().expect("a name");
    for nth in 0..entries {
        let load = |at| Load { pace: figures(8_000, 24), ..Load::none(&engine_fleet::target(at)) };
        peers.replace(&host(nth), (nth * 6..nth * 6 + 6).map(load).collect());
    }
    let changed = Load { pace: figures(9_000, 24), ..Load::none(&engine_fleet::target(0)) };
    assert_eq!(peers.replace(&host(0), vec![changed]).len(), 6);
}
