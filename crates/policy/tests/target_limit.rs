//! Limits that targets advertise, in requests a second.

#[path = "support/limited_fleet.rs"]
mod limited_fleet;

use std::time::Duration;

use fireflyhoist_policy::target_limit::{Advertisement, Limits};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::token_bucket::{Allowance, Buckets};
use fireflyhoist_policy::unit::RequestRate;
use limited_fleet::{ENFORCED_FROM, Fault, Scenario, Simulation, Traffic, target};
use yare::parameterized;

/// The most requests that a target may get within four seconds.
fn max_allowed(limit: f64) -> f64 {
    1.5 * limit * 4.0 + 5.0
}

/// The fraction of its limit that a target must get when more requests arrive.
const MIN_UTILIZATION: f64 = 0.9;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn rate(rate: f64) -> Advertisement {
    Advertisement::Limit(RequestRate::new(rate))
}

fn scenario(entries: usize, requests_per_second: f64, limit: fn(u64) -> Option<f64>) -> Scenario {
    let (traffic, fault) = (Traffic::AllEntries, Fault::None);
    Scenario { entries, requests_per_second, limit, traffic, fault, seconds: 40 }
}

/// Guards against each entry applying a limit on its own, however traffic is spread over the
/// entries.
#[parameterized(
    two_entries = { 2, 40.0, Traffic::AllEntries, Fault::None },
    many_entries = { 195, 40.0, Traffic::AllEntries, Fault::None },
    overload_at_many = { 195, 400.0, Traffic::AllEntries, Fault::None },
    single_entry = { 195, 40.0, Traffic::OneEntry, Fault::None },
    rotating_entry = { 195, 40.0, Traffic::Rotating, Fault::None },
    entries_join = { 40, 40.0, Traffic::AllEntries, Fault::EntriesJoin },
)]
fn target_receives_its_limit(
    entries: usize,
    requests_per_second: f64,
    traffic: Traffic,
    fault: Fault,
) {
    let scenario =
        Scenario { traffic, fault, ..scenario(entries, requests_per_second, |_| Some(5.0)) };
    let results = Simulation::new(scenario).run();
    let (max, utilization) =
        (results.max_in_window(ENFORCED_FROM), results.between(10, 40) as f64 / (5.0 * 30.0));
    println!(
        "{max} in four seconds, {utilization:.3} of the limit used, {} sent elsewhere",
        results.sent_elsewhere
    );
    assert!(max as f64 <= max_allowed(5.0));
    assert!(utilization >= MIN_UTILIZATION, "{utilization}");
}

/// Guards against a limit being exceeded when its bucket is created anew or exists on both sides of
/// a partition.
#[parameterized(
    partition = { Fault::Partition, 0.9 },
    owner_restarts = { Fault::Restarts, 0.7 },
)]
fn limit_holds_during_partitions_and_restarts(fault: Fault, min: f64) {
    let scenario = Scenario { fault, ..scenario(30, 60.0, |_| Some(5.0)) };
    let results = Simulation::new(scenario).run();
    let (max, utilization) =
        (results.max_in_window(ENFORCED_FROM), results.between(10, 40) as f64 / (5.0 * 30.0));
    println!("{max} in four seconds, {utilization:.3} of the limit used");
    assert!(max as f64 <= max_allowed(5.0));
    assert!(utilization >= min, "{utilization}");
}

/// Guards against shares below one request a second that add up to several, or to none.
#[test]
fn limit_below_one_a_second_is_enforced_and_used() {
    let results = Simulation::new(scenario(195, 40.0, |_| Some(0.5))).run();
    assert!(results.max_in_window(ENFORCED_FROM) as f64 <= max_allowed(0.5));
    assert!(
        results.between(10, 40) as f64 >= MIN_UTILIZATION * 0.5 * 30.0,
        "{}",
        results.between(10, 40)
    );
}

/// Guards against a decrease that takes effect late, and an increase or removal that never does.
#[test]
fn changed_limit_takes_effect() {
    let limit = |second| match second {
        0..15 => Some(5.0),
        15..25 => Some(2.0),
        25..33 => Some(20.0),
        _ => None,
    };
    let results = Simulation::new(scenario(60, 60.0, limit)).run();
    let low = results.between(17, 25);
    assert!(low as f64 <= max_allowed(2.0) * 2.0, "{low}");
    let high = results.between(26, 33);
    assert!(high as f64 >= MIN_UTILIZATION * 20.0 * 7.0, "{high}");
    let free = results.between(34, 40);
    assert!(free as f64 >= 0.95 * 60.0 * 6.0, "{free}");
}

/// Guards against a target with a limit of zero being abandoned or overloaded.
#[test]
fn target_with_a_zero_limit_is_probed() {
    let results = Simulation::new(scenario(60, 60.0, |_| Some(0.0))).run();
    let all = results.between(10, 40);
    assert!((3..=8).contains(&all), "{all}");
    assert!(results.max_in_window(ENFORCED_FROM) as f64 <= max_allowed(0.0));
}

/// Guards against an answer that arrives out of order clearing a limit that is in force.
#[test]
fn answer_to_an_older_request_clears_no_limit() {
    let (mut limits, target) = (Limits::default(), target("t-1", None));
    assert!(limits.record_answer(at(100), &target, at(50), rate(5.0)));
    assert!(!limits.record_answer(at(110), &target, at(40), Advertisement::Absent));
    assert_eq!(limits.limit(&target.id), Some(RequestRate::new(5.0)));
    assert!(limits.record_answer(at(200), &target, at(150), Advertisement::Absent));
    assert_eq!(limits.limit(&target.id), None);
}

/// Guards against an invalid limit clearing or setting a limit.
#[parameterized(
    text = { "few" },
    negative = { "-3" },
    not_a_number = { "NaN" },
    infinite = { "inf" },
    absurd = { "1e300" },
    empty = { "" },
)]
fn invalid_limit_is_ignored(text: &str) {
    let (mut limits, target) = (Limits::default(), target("t-1", None));
    assert_eq!(Advertisement::parse(text), Advertisement::Invalid);
    assert!(!limits.record_answer(at(10), &target, at(5), Advertisement::parse(text)));
    limits.record_answer(at(100), &target, at(50), rate(5.0));
    assert!(!limits.record_answer(at(200), &target, at(150), Advertisement::parse(text)));
    assert_eq!(limits.limit(&target.id), Some(RequestRate::new(5.0)));
}

/// Guards against the limit of an earlier start being applied to a target that restarted.
#[test]
fn restart_clears_the_limit() {
    let (mut limits, old) = (Limits::default(), target("t-1", Some(1)));
    let new = target("t-1", Some(2));
    limits.record_answer(at(100), &old, at(50), rate(5.0));
    limits.retain(|_| Some(&new));
    assert_eq!(limits.limit(&old.id), None);
    // An update about the old start arrives late.
    let mut other = Limits::default();
    other.record_answer(at(100), &old, at(50), rate(5.0));
    limits.record_answer(at(200), &new, at(150), rate(9.0));
    limits.apply(at(300), other.take_updates(at(100)));
    assert_eq!(limits.limit(&new.id), Some(RequestRate::new(9.0)));
}

/// Guards against an outdated update of another entry replacing a newer limit.
#[test]
fn latest_update_wins() {
    let (mut limits, target) = (Limits::default(), target("t-1", None));
    let mut other = Limits::default();
    other.record_answer(at(100), &target, at(90), rate(5.0));
    limits.record_answer(at(400), &target, at(390), rate(2.0));
    limits.apply(at(500), other.all_updates(at(500)));
    assert_eq!(limits.limit(&target.id), Some(RequestRate::new(2.0)));
    other.apply(at(500), limits.all_updates(at(500)));
    assert_eq!(other.limit(&target.id), Some(RequestRate::new(2.0)));
}

/// Guards against deferred requests all returning at the same moment.
#[test]
fn deferred_requests_are_spaced() {
    let (mut buckets, target) = (Buckets::default(), target("t-1", None));
    let allowance = Allowance { advertised: Some(RequestRate::new(10.0)), cold: None };
    let waits: Vec<Duration> =
        (0..8).filter_map(|_| buckets.try_send(at(1_000), &target.id, &allowance)).collect();
    assert_eq!(waits.len(), 8);
    assert!(
        waits.windows(2).all(|pair| pair[1] >= pair[0] + Duration::from_millis(99)),
        "{waits:?}"
    );
}
