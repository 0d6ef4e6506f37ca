//! Callers that compete for too few engines at several entries, in virtual time.

#[path = "support/scarce_fleet.rs"]
mod scarce_fleet;

use std::time::Duration;

use fireflyhoist_policy::time::Time;
use scarce_fleet::{Call, Fleet, Load, long, short};
use yare::parameterized;

fn load() -> Load {
    Load {
        entries: 8,
        engines: 18,
        seconds: 80,
        demand: 1.5,
        kinds: [short(0), long(2)],
        shrinks: true,
        large_rank: None,
        ranks: true,
        probes: 0.0,
        seed: 1,
    }
}

fn part<'a>(calls: impl Iterator<Item = &'a Call>, holds: impl Fn(&Call) -> bool) -> f64 {
    let calls: Vec<&Call> = calls.collect();
    calls.iter().filter(|call| holds(call)).count() as f64 / calls.len().max(1) as f64
}

/// Returns the part that was served of the calls that `of` selects, among those that began early
/// enough to end within the run.
fn served(load: &Load, calls: &[Call], of: impl Fn(&Call) -> bool) -> f64 {
    let until = Time::ZERO + Duration::from_secs(load.seconds.saturating_sub(40));
    part(calls.iter().filter(|call| call.first < until && of(call)), |call| call.placed.is_some())
}

/// Guards against a kind, a workspace or the requests with the largest prompts being passed over
/// under overload and while engines are lost.
#[parameterized(
    demand_0_8 = { Load { demand: 0.8, ..load() } },
    demand_1_0 = { Load { demand: 1.0, ..load() } },
    demand_1_2 = { Load { demand: 1.2, ..load() } },
    demand_2_0 = { Load { demand: 2.0, ..load() } },
    equal = { Load { kinds: [short(1), long(1)], ..load() } },
    inverted = { Load { kinds: [short(2), long(0)], ..load() } },
    urgent_workspace = { Load { large_rank: Some(0), kinds: [short(2), long(2)], ..load() } },
    steady_engines = { Load { shrinks: false, ..load() } },
)]
fn none_is_passed_over(load: Load) {
    let calls = Fleet::run(load.clone());
    let kind = |kind: usize| served(&load, &calls, |call| call.kind == kind);
    let large = |kind: usize| served(&load, &calls, |call| call.kind == kind && call.is_large);
    let all = served(&load, &calls, |_| true);
    for nth in 0..2 {
        assert!(large(nth) >= kind(nth) / 2.0, "kind {nth}: {} of {}", large(nth), kind(nth));
    }
    for workspace in 0..24 {
        let own = served(&load, &calls, |call| call.workspace == workspace);
        assert!(own >= all / 4.0, "workspace {workspace}: {own} of {all}");
    }
    let [one, two] = load.kinds.map(|kind| kind.rank);
    let (urgent, other) = if one <= two { (kind(0), kind(1)) } else { (kind(1), kind(0)) };
    assert!(urgent >= other - 0.05, "urgent {urgent}, others {other}");
}

/// Guards against callers that come back being sent away again and again, or being sent away
/// although they would have been served. Callers that are sent away by the forecast wait here
/// nevertheless, to see what becomes of them.
#[parameterized(
    two_entries = { Load { entries: 2, ..load() } },
    eight_entries = { Load { demand: 1.3, ..load() } },
    thirty_entries = { Load { entries: 30, engines: 12, demand: 3.0, ..load() } },
)]
fn returning_callers_are_told_in_time(load: Load) {
    let returned = |load: &Load| {
        let calls = Fleet::run(load.clone());
        let until = Time::ZERO + Duration::from_secs(load.seconds - 20);
        let returned = |call: &Call| call.attempts.get(1).is_some_and(|at| *at < until);
        calls.into_iter().filter(returned).collect::<Vec<_>>()
    };
    let (with, without) = (returned(&load), returned(&Load { ranks: false, ..load.clone() }));
    let probes = returned(&Load { probes: 1.0, ..load });
    let is_served = |call: &Call| call.placed.is_some();
    let is_at_once = |call: &Call, nth: usize| call.refused.get(nth) == call.attempts.get(nth);
    let third = |call: &Call| call.attempts.len() > 2 && is_at_once(call, 2);
    let served = (part(with.iter(), is_served), part(without.iter(), is_served));
    let wrong = part(probes.iter().filter(|call| call.is_probe), is_served);
    assert!(with.len() > 100, "{}", with.len());
    assert!(!with.iter().any(third), "a caller is sent away at once three times");
    assert!(served.0 >= served.1, "{served:?}");
    assert!(wrong <= 0.1, "{wrong} of those sent away would have been served");
}
