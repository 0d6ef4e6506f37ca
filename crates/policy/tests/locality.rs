//! Placement by failure domain: the share of requests sent to another one, and what they wait.

#[path = "support/uneven_fleet.rs"]
mod uneven_fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{Gate, Listing, Outcome, Settings, TargetUpdate, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::placement::CHOICES_FRESH;
use fireflyhoist_policy::time::Time;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use uneven_fleet::{Counting, Demand, Measured, Plan, domain, lookup, run, target};
use xxhash_rust::xxh3::xxh3_64;
use yare::parameterized;

/// Runs of each plan, whose means are compared.
const RUNS: u64 = 6;

/// The means of several runs of one plan.
struct Means {
    remote: f64,
    wait_ms: f64,
    long_ms: f64,
    slow: f64,
}

fn means(plan: Plan) -> Means {
    let runs: Vec<Measured> = (0..RUNS).map(|seed| run(plan, seed)).collect();
    let mean = |of: &dyn Fn(&Measured) -> f64| runs.iter().map(of).sum::<f64>() / RUNS as f64;
    Means {
        remote: mean(&Measured::remote_share),
        wait_ms: mean(&Measured::mean_wait),
        long_ms: mean(&|run| run.long_wait() as f64),
        slow: mean(&|run| run.slow as f64 / run.sent as f64),
    }
}

fn compare(plan: Plan) -> (Means, Means) {
    let (without, with) = (means(Plan { locality: false, ..plan }), means(plan));
    println!(
        "remote {:.3} {:.3}, mean wait {:.1} {:.1} ms, exceeded by 5 in 100 {:.0} {:.0} ms, slow {:.3} {:.3}",
        without.remote,
        with.remote,
        without.wait_ms,
        with.wait_ms,
        without.long_ms,
        with.long_ms,
        without.slow,
        with.slow
    );
    (without, with)
}

/// Guards against requests that cross to another failure domain without need, and against ones that
/// wait longer because they do not.
#[parameterized(
    even = { Plan::generations(), 0.4 },
    swinging = { Plan { demand: Demand::Swinging(4_000), ..Plan::generations() }, 0.45 },
    half_of_the_callers_move = { Plan { demand: Demand::Moving(15_000), ..Plan::generations() }, 0.45 },
    busy = { Plan { per_s: 100.0, ..Plan::generations() }, 0.5 },
    busy_and_swinging = {
        Plan { per_s: 100.0, demand: Demand::Swinging(4_000), ..Plan::generations() }, 0.5
    },
    few_targets_in_one_domain = { Plan { in_first_domain: 8, ..Plan::generations() }, 0.5 },
    plain = { Plan::plain(), 0.25 },
    plain_and_swinging = { Plan { demand: Demand::Swinging(4_000), ..Plan::plain() }, 0.3 },
    plain_and_moving = { Plan { demand: Demand::Moving(15_000), ..Plan::plain() }, 0.3 },
    plain_and_busy = { Plan { per_s: 300.0, ..Plan::plain() }, 0.65 },
    plain_and_few_in_one_domain = {
        Plan { in_first_domain: 1, per_s: 200.0, ..Plan::plain() }, 0.5
    },
)]
fn fewer_requests_cross_and_none_wait_for_it(plan: Plan, part: f64) {
    let (without, with) = compare(plan);
    assert!(with.remote < part * without.remote, "{} of {}", with.remote, without.remote);
    assert!(
        with.wait_ms <= 1.15 * without.wait_ms + 1.0,
        "{} of {}",
        with.wait_ms,
        without.wait_ms
    );
    assert!(
        with.long_ms <= 1.1 * without.long_ms + 10.0,
        "{} of {}",
        with.long_ms,
        without.long_ms
    );
}

/// Guards against callers of a domain that wait or are refused when its targets are lost.
#[parameterized(
    generations = { Plan::generations() },
    plain = { Plan { per_s: 200.0, ..Plan::plain() } },
)]
fn requests_cross_at_once_where_the_targets_of_a_domain_are_lost(plan: Plan) {
    let (without, with) = compare(Plan { lost_at_ms: Some(15_000), ..plan });
    assert!(with.wait_ms <= 1.2 * without.wait_ms + 1.0, "{} of {}", with.wait_ms, without.wait_ms);
    let (sent, before) = (run(plan, 1).sent, run(Plan { locality: false, ..plan }, 1).sent);
    assert!(sent * 10 >= before * 9, "{sent} of {before} sent");
}

/// Guards against a slow plain target that gets more requests because it is near: each entry sees it
/// idle again and again, since only its own requests there are known to it.
#[parameterized(
    twice_as_slow = { 2.0, 118.0 },
    thrice_as_slow = { 3.0, 118.0 },
    slow_and_busy = { 2.0, 200.0 },
)]
fn a_slow_plain_target_gets_no_more_for_being_near(slow: f64, per_s: f64) {
    let (without, with) = compare(Plan { slow, per_s, ..Plan::plain() });
    assert!(with.slow <= without.slow, "{} of {}", with.slow, without.slow);
}

/// Guards against decisions that differ from those of earlier releases where the switch is off, or
/// where the domain of the entry is unknown. The digests were taken on the code before targets had
/// domains.
#[parameterized(
    generations = { Plan::generations(), 0xfb14_312b_b809_aa29 },
    overload = {
        Plan { per_s: 100.0, lost_at_ms: Some(15_000), ..Plan::generations() }, 0x33e9_6e6a_a533_a9ec
    },
    plain = { Plan { slow: 3.0, per_s: 300.0, ..Plan::plain() }, 0x38ef_f392_af87_2df2 },
)]
fn decisions_are_unchanged_without_the_switch(plan: Plan, digest: u64) {
    for plan in
        [Plan { locality: false, ..plan }, Plan { locality: true, has_domains: false, ..plan }]
    {
        let order: Vec<String> = run(plan, 1).order.iter().map(ToString::to_string).collect();
        assert_eq!(xxh3_64(order.join(",").as_bytes()), digest);
    }
}

fn gate(targets: usize) -> Gate {
    let settings =
        Settings { share: false, choices: CHOICES_FRESH, locality: true, ..Settings::default() };
    let mut gate = Gate::open(settings);
    gate.set_own_domain(Some(domain(0)));
    let listed = |nth| Listing { cordoned: false, domain: Some(domain(nth % 5)) };
    let updates: Vec<TargetUpdate> = (0..targets)
        .map(|nth| TargetUpdate { target: target(nth), listed: Some(listed(nth)) })
        .collect();
    gate.update_targets(Time::ZERO, &updates);
    gate
}

/// Guards against a placement whose cost grows with the number of targets, also where none of the
/// own domain may be used.
#[parameterized(
    all_usable = { false },
    own_domain_unusable = { true },
)]
fn the_cost_of_a_placement_does_not_grow_with_the_targets(own_suspended: bool) {
    let now = Time::ZERO + Duration::from_secs(1);
    let draws = |targets: usize| {
        let mut gate = gate(targets);
        for nth in (0..targets).step_by(5).filter(|_| own_suspended) {
            gate.suspend(now, &target(nth), Duration::from_secs(60), Exclusion::Limited);
        }
        let mut rng = Counting::new(3);
        for number in 0..200 {
            let verdict = gate.offer(now, &mut rng, lookup(number, now));
            assert!(matches!(verdict, Verdict::Send(_)), "{verdict:?}");
        }
        rng.count as f64 / 200.0
    };
    let (few, many) = (draws(60), draws(6_000));
    println!("{few} and {many} random numbers for a placement");
    assert!(many <= few + 2.0 && many < 25.0, "{many} for 6,000 targets, {few} for 60");
}

/// Guards against an index of the near targets that no longer fits the list of targets after changes:
/// a request would be sent to a target that is gone, or counted as sent to the wrong domain.
#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
)]
fn the_domains_of_targets_are_kept_through_changes(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut gate = gate(0);
    let mut listed: BTreeMap<id::Target, Option<id::Domain>> = BTreeMap::new();
    let mut running: Vec<u128> = Vec::new();
    for step in 0..6_000_u64 {
        let now = Time::ZERO + Duration::from_millis(step * 20);
        match rng.random_range(0..12) {
            0..3 => {
                let name = target(rng.random_range(0..20));
                let known = rng.random_bool(0.8).then(|| domain(rng.random_range(0..3)));
                let update = rng.random_bool(0.6).then_some(known);
                let listing = update.clone().map(|domain| Listing { cordoned: false, domain });
                gate.update_targets(now, &[TargetUpdate { target: name.clone(), listed: listing }]);
                match update {
                    Some(domain) => listed.insert(name, domain),
                    None => listed.remove(&name),
                };
            }
            3 if step % 40 == 0 => {
                gate.set_targets(now, listed.keys().cloned().collect());
                let known = |(name, domain): (&id::Target, &Option<id::Domain>)| {
                    domain.clone().map(|domain| (name.clone(), domain))
                };
                gate.set_domains(&listed.iter().filter_map(known).collect());
            }
            4..8 => {
                let request = lookup(u128::from(step), now);
                if let Verdict::Send(target) = gate.offer(now, &mut rng, request) {
                    let near = listed[&target] == Some(domain(0));
                    let placement = gate.placement(id::Request::new(u128::from(step)));
                    assert_eq!(placement.map(|placement| placement.near), Some(near), "{target}");
                    running.push(u128::from(step));
                }
            }
            _ => {
                if let Some(at) = (0..running.len()).choose(&mut rng) {
                    let request = id::Request::new(running.swap_remove(at));
                    gate.finish(now, request, Outcome::Whole);
                }
            }
        }
    }
}

/// Guards against an entry that keeps sending to targets of its own domain although they are
/// cordoned or suspended.
#[test]
fn unusable_targets_are_not_preferred() {
    let now = Time::ZERO + Duration::from_secs(1);
    let mut gate = gate(10);
    gate.set_cordoned(now, &[target(0)].into());
    gate.suspend(now, &target(5), Duration::from_secs(60), Exclusion::Resting);
    let mut rng = SmallRng::seed_from_u64(1);
    for number in 0..100 {
        let verdict = gate.offer(now, &mut rng, lookup(number, now));
        let Verdict::Send(sent) = verdict else { panic!("{verdict:?}") };
        assert!(sent != target(0) && sent != target(5), "{sent}");
    }
}
