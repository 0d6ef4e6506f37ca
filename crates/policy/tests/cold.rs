//! Limits of cold targets, which are the least loaded in the view of every entry.

#[path = "support/cold_fleet.rs"]
mod cold_fleet;

use std::time::Duration;

use cold_fleet::{Fault, Scenario, Simulation, Strategy, Traffic};
use fireflyhoist_policy::cold::{Limit, Update};
use fireflyhoist_policy::lease::{Change, Leases, Start, State, Target};
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::token_bucket::{Allowance, Buckets};
use fireflyhoist_policy::unit::RequestRate;
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn scenario(entries: usize, per_s: f64, margin: f64, traffic: Traffic) -> Scenario {
    Scenario { entries, per_s, margin, traffic, ..Scenario::default() }
}

/// The most requests that a target may get in one second.
fn max_allowed(scenario: &Scenario) -> f64 {
    scenario.per_s * scenario.excess + scenario.margin
}

fn target(cold_ms: u64, renewal: u64, start: u64) -> Target {
    Target {
        id: "t-1".parse().expect("a name"),
        instance: "t-1".into(),
        service: "gen".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".parse().expect("a name"),
        state: State::Ready,
        renewal,
        start: Some(Start::new(start)),
        cold_ms,
        slots: 0,
        software: None,
    }
}

/// Guards against a cold target getting its limit once for each entry, or for each side of a
/// partition.
#[parameterized(
    two_entries = { scenario(2, 1.0, 0.0, Traffic::AllEntries) },
    many_entries = { scenario(195, 1.0, 0.0, Traffic::AllEntries) },
    single_entry = { scenario(195, 1.0, 0.0, Traffic::OneEntry) },
    rotating_entry = { scenario(195, 1.0, 0.0, Traffic::Rotating) },
    below_one_a_second = { scenario(30, 0.7, 0.0, Traffic::AllEntries) },
    with_a_margin = { scenario(30, 1.0, 5.0, Traffic::AllEntries) },
    five_a_second = { scenario(30, 5.0, 2.0, Traffic::AllEntries) },
    fifty_a_second = {
        Scenario { requests_per_second: 3_000.0, ..scenario(195, 50.0, 5.0, Traffic::AllEntries) }
    },
    half_the_targets = { Scenario { targets: 7, ..scenario(30, 2.0, 1.0, Traffic::AllEntries) } },
    double_the_rate = {
        Scenario { requests_per_second: 400.0, ..scenario(30, 2.0, 1.0, Traffic::AllEntries) }
    },
    partition = {
        Scenario { fault: Fault::Partition, ..scenario(30, 4.0, 0.0, Traffic::AllEntries) }
    },
    tight_partition = {
        Scenario { fault: Fault::Partition, ..scenario(30, 1.0, 0.0, Traffic::AllEntries) }
    },
    uneven_partition = {
        Scenario { fault: Fault::UnevenPartition, ..scenario(30, 1.0, 0.0, Traffic::AllEntries) }
    },
    restarts = {
        Scenario { fault: Fault::Restarts, ..scenario(30, 1.0, 0.0, Traffic::AllEntries) }
    },
)]
fn cold_target_never_exceeds_its_limit(scenario: Scenario) {
    let results = Simulation::new(scenario).run();
    let (max, utilization) = (results.max_per_second(), results.utilization(&scenario));
    println!(
        "{max} in a second of {:.1}, {utilization:.2} used, {} requests to owners, {:?} at most",
        max_allowed(&scenario),
        results.owner_requests,
        results.max_wait
    );
    assert!(max as f64 <= max_allowed(&scenario), "{max} in a second");
}

/// Guards against an owner that has not learned yet that a target is cold granting all that others
/// ask for.
#[parameterized(
    two_entries = { 2, Fault::None },
    four_entries = { 4, Fault::None },
    thirty_entries = { 30, Fault::None },
    many_entries = { 300, Fault::None },
    restarts = { 30, Fault::Restarts },
    partition = { 30, Fault::Partition },
)]
fn owner_that_learns_late_grants_no_more(entries: usize, fault: Fault) {
    for lag in [100, 500, 1_000, 3_000] {
        let lag = Duration::from_millis(lag);
        let scenario = Scenario { lag, fault, ..scenario(entries, 4.0, 2.0, Traffic::AllEntries) };
        let max = Simulation::new(scenario).run().max_per_second();
        println!("{max} in a second of {:.1}, within {lag:?}", max_allowed(&scenario));
        assert!(max as f64 <= max_allowed(&scenario), "{max} in a second, within {lag:?}");
    }
}

/// Guards against each of several owners that follow each other granting what it saved up meanwhile.
#[parameterized(
    two_entries = { 2 },
    four_entries = { 4 },
    thirty_entries = { 30 },
    many_entries = { 300 },
)]
fn owners_in_turn_grant_no_more(entries: usize) {
    for lasts in [100, 300, 700, 1_000] {
        check_max_per_second(entries, Fault::OwnerChanges(Duration::from_millis(lasts)));
    }
}

/// Guards against entries that were stopped using permits of the time before.
#[parameterized(
    two_entries = { 2 },
    four_entries = { 4 },
    thirty_entries = { 30 },
    many_entries = { 300 },
)]
fn entries_that_were_stopped_send_no_more(entries: usize) {
    for lasts in [200, 500, 1_000, 2_000] {
        check_max_per_second(entries, Fault::Stops(Duration::from_millis(lasts)));
    }
}

fn check_max_per_second(entries: usize, fault: Fault) {
    for (per_s, margin) in [(4.0, 2.0), (1.0, 0.0), (20.0, 5.0)] {
        let rate = 30.0 * per_s * entries.min(10) as f64;
        let scenario = Scenario {
            fault,
            requests_per_second: rate,
            ..scenario(entries, per_s, margin, Traffic::AllEntries)
        };
        let max = Simulation::new(scenario).run().max_per_second();
        let allowed = scenario.per_s * scenario.excess + scenario.margin;
        println!("{max} in a second of {allowed:.1}, {fault:?}");
        assert!(max as f64 <= allowed, "{max} in a second of {allowed:.1}, {fault:?}");
    }
}

/// Guards against cold targets that stay unused although more requests arrive than they take.
#[parameterized(
    one_a_second = { scenario(30, 1.0, 0.0, Traffic::AllEntries), 0.5 },
    one_a_second_at_one_entry = { scenario(195, 1.0, 0.0, Traffic::OneEntry), 0.5 },
    five_a_second = { scenario(30, 5.0, 2.0, Traffic::AllEntries), 0.8 },
    fifty_a_second = {
        Scenario { requests_per_second: 3_000.0, ..scenario(195, 50.0, 5.0, Traffic::AllEntries) },
        0.8
    },
)]
fn cold_target_receives_most_of_its_limit(scenario: Scenario, min: f64) {
    let utilization = Simulation::new(scenario).run().utilization(&scenario);
    assert!(utilization >= min, "{utilization}");
}

/// Guards against requests that wait although the limit is far above the request rate.
#[test]
fn requests_below_the_limit_do_not_wait() {
    let wide =
        Scenario { requests_per_second: 60.0, ..scenario(30, 32.0, 5.0, Traffic::AllEntries) };
    let results = Simulation::new(wide).run();
    println!("{:?} at most, {} sent elsewhere", results.max_wait, results.sent_elsewhere);
    assert_eq!(results.sent_elsewhere, 0);
    assert!(results.max_wait <= Duration::from_millis(50), "{:?}", results.max_wait);
}

/// Shows that the alternatives fail: static shares for each entry, and a ramp without an owner.
#[parameterized(
    static_shares_of_two = { Strategy::StaticShares, 2, Traffic::AllEntries },
    static_shares_of_many = { Strategy::StaticShares, 195, Traffic::AllEntries },
    static_shares_at_one_entry = { Strategy::StaticShares, 195, Traffic::OneEntry },
    ramp = { Strategy::Ramp, 30, Traffic::AllEntries },
)]
fn other_strategies_exceed_or_underuse_the_limit(
    strategy: Strategy,
    entries: usize,
    traffic: Traffic,
) {
    let scenario = Scenario { strategy, ..scenario(entries, 1.0, 0.0, traffic) };
    let results = Simulation::new(scenario).run();
    println!(
        "{strategy:?} of {entries}: {} in a second, {:.2} used",
        results.max_per_second(),
        results.utilization(&scenario)
    );
    assert!(
        results.max_per_second() as f64 > max_allowed(&scenario)
            || results.utilization(&scenario) < 0.5
    );
}

/// Guards against occasional probes of a target that may get no request at all.
#[test]
fn limit_below_one_request_grants_none() {
    let limit = Limit { per_s: RequestRate::new(0.2), excess: 1.5, margin: 0.0 };
    let allowance = Allowance { advertised: None, cold: Some(limit) };
    let mut buckets = Buckets::default();
    let id = target(0, 1, 1).id;
    let granted = (0..600).filter(|s| buckets.try_send(at(s * 100), &id, &allowance).is_none());
    assert_eq!(granted.count(), 0);
}

/// Guards against the limit of a cold target being dropped when the target also advertises a limit.
#[test]
fn stricter_of_two_limits_applies() {
    let id = target(0, 1, 1).id;
    let cold = Limit { per_s: RequestRate::new(1.0), excess: 1.5, margin: 0.0 };
    for (advertised, cold) in [(Some(50.0), cold), (Some(1.0), Limit { margin: 50.0, ..cold })] {
        let allowance =
            Allowance { advertised: advertised.map(RequestRate::new), cold: Some(cold) };
        let mut buckets = Buckets::default();
        let mut granted = 0;
        for ms in 0..10_000 {
            granted += usize::from(buckets.try_send(at(ms), &id, &allowance).is_none());
        }
        assert!((7..=11).contains(&granted), "{granted}");
    }
}

/// Guards against a target that is cold again, or that restarted, counting as warm, and against a
/// warm target counting as cold because of an old reading.
#[test]
fn leases_track_the_remaining_cold_time() {
    let mut leases = Leases::default();
    let id = target(0, 1, 1).id;
    leases.apply_list(at(0), Position::new(0, 1), vec![target(6_000, 1, 1)]);
    assert_eq!(leases.cold_remaining(at(2_000), &id), Duration::from_secs(4));
    let put = |cold, renewal, start| vec![Change::Put(target(cold, renewal, start))];
    // Each renewal reports the same end of the cold time, which is no change.
    assert!(leases.apply_changes(at(2_000), Position::new(0, 2), put(4_100, 2, 1)).is_empty());
    assert_eq!(leases.snapshot(at(3_000))[0].cold_ms, 3_100);
    assert_eq!(leases.cold_remaining(at(7_000), &id), Duration::ZERO);
    // The target is cold again without a restart, and after one.
    assert_eq!(leases.apply_changes(at(8_000), Position::new(0, 3), put(5_000, 3, 1)).len(), 1);
    assert!(leases.apply_changes(at(8_500), Position::new(0, 4), put(0, 2, 1)).is_empty());
    assert_eq!(leases.cold_remaining(at(9_000), &id), Duration::from_secs(4));
    assert_eq!(leases.apply_changes(at(9_000), Position::new(0, 5), put(0, 4, 1)).len(), 0);
    assert_eq!(leases.cold_remaining(at(9_000), &id), Duration::ZERO);
    assert_eq!(leases.apply_changes(at(9_500), Position::new(0, 6), put(6_000, 1, 2)).len(), 1);
    assert_eq!(leases.cold_remaining(at(9_500), &id), Duration::from_secs(6));
}

/// Guards against refusals after an outage of the registry, in which targets could not renew their
/// entries: read again, these still say how long the targets were cold before it.
#[test]
fn an_entry_that_is_read_again_does_not_make_its_target_cold() {
    let mut leases = Leases::default();
    let id = target(0, 1, 1).id;
    leases.apply_list(at(0), Position::new(0, 1), vec![target(3_000, 7, 1)]);
    assert!(!leases.apply_list(at(10_000), Position::new(0, 2), vec![target(3_000, 7, 1)]));
    assert_eq!(leases.cold_remaining(at(10_000), &id), Duration::ZERO);
    assert!(leases.apply_list(at(11_000), Position::new(0, 3), vec![target(3_000, 8, 1)]));
    assert_eq!(leases.cold_remaining(at(11_000), &id), Duration::from_secs(3));
}

/// Guards against an owner that does not know that a target is cold although the asking entry does.
#[test]
fn cold_update_of_another_entry_is_applied() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), Position::new(0, 1), vec![target(0, 1, 1)]);
    let update = |start| Update {
        target: target(0, 1, 1).id,
        start: Some(Start::new(start)),
        remaining_ms: 3_000,
        per_s: None,
    };
    assert!(!leases.apply_cold_update(at(0), &update(2)));
    assert!(leases.apply_cold_update(at(0), &update(1)));
    assert!(!leases.apply_cold_update(at(0), &update(1)));
    assert_eq!(leases.cold_remaining(at(1_000), &update(1).target), Duration::from_secs(2));
}
