//! Pattern `cold-return`: targets that come back cold, and look emptiest to every entry.

#[path = "support/cold_fleet.rs"]
mod cold_fleet;

use std::time::Duration;

use cold_fleet::{Plan, Traffic, Trouble, Way, World};
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

fn plan(members: usize, per_s: f64, margin: f64, traffic: Traffic) -> Plan {
    Plan { members, per_s, margin, traffic, ..Plan::default() }
}

/// The most that a target may get in one second.
fn bound(plan: &Plan) -> f64 {
    plan.per_s * plan.excess + plan.margin
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
    }
}

/// Guards against a cold target getting its bound once for each entry, or for each side of a partition.
#[parameterized(
    two_entries = { plan(2, 1.0, 0.0, Traffic::Everywhere) },
    many_entries = { plan(195, 1.0, 0.0, Traffic::Everywhere) },
    one_entry_has_all = { plan(195, 1.0, 0.0, Traffic::OneEntry) },
    traffic_moves = { plan(195, 1.0, 0.0, Traffic::Moving) },
    narrow = { plan(30, 0.7, 0.0, Traffic::Everywhere) },
    with_a_margin = { plan(30, 1.0, 5.0, Traffic::Everywhere) },
    five_a_second = { plan(30, 5.0, 2.0, Traffic::Everywhere) },
    fifty_a_second = { Plan { asked: 3_000.0, ..plan(195, 50.0, 5.0, Traffic::Everywhere) } },
    half_the_targets = { Plan { targets: 7, ..plan(30, 2.0, 1.0, Traffic::Everywhere) } },
    double_the_rate = { Plan { asked: 400.0, ..plan(30, 2.0, 1.0, Traffic::Everywhere) } },
    partition = { Plan { trouble: Trouble::Partition, ..plan(30, 4.0, 0.0, Traffic::Everywhere) } },
    tight_partition = { Plan { trouble: Trouble::Partition, ..plan(30, 1.0, 0.0, Traffic::Everywhere) } },
    a_small_side = { Plan { trouble: Trouble::SmallSide, ..plan(30, 1.0, 0.0, Traffic::Everywhere) } },
    restarts = { Plan { trouble: Trouble::Restarts, ..plan(30, 1.0, 0.0, Traffic::Everywhere) } },
)]
fn a_cold_target_gets_no_more_than_its_bound(plan: Plan) {
    let seen = World::open(plan).play();
    let (most, used) = (seen.most(), seen.used(&plan));
    println!(
        "{most} in a second of {:.1}, {used:.2} used, {} questions, {:?} at most",
        bound(&plan),
        seen.questions,
        seen.longest
    );
    assert!(most as f64 <= bound(&plan), "{most} in a second");
}

/// Guards against cold targets that nobody uses where more is asked than they take.
#[parameterized(
    one_a_second = { plan(30, 1.0, 0.0, Traffic::Everywhere), 0.5 },
    one_a_second_at_one_entry = { plan(195, 1.0, 0.0, Traffic::OneEntry), 0.5 },
    five_a_second = { plan(30, 5.0, 2.0, Traffic::Everywhere), 0.8 },
    fifty_a_second = { Plan { asked: 3_000.0, ..plan(195, 50.0, 5.0, Traffic::Everywhere) }, 0.8 },
)]
fn a_cold_target_gets_most_of_what_it_takes(plan: Plan, least: f64) {
    let used = World::open(plan).play().used(&plan);
    assert!(used >= least, "{used}");
}

/// Guards against requests that wait for leave where the bound is wide.
#[test]
fn below_the_bound_nothing_waits() {
    let wide = Plan { asked: 60.0, ..plan(30, 32.0, 5.0, Traffic::Everywhere) };
    let seen = World::open(wide).play();
    println!("{:?} at most, {} elsewhere", seen.longest, seen.elsewhere);
    assert_eq!(seen.elsewhere, 0);
    assert!(seen.longest <= Duration::from_millis(50), "{:?}", seen.longest);
}

/// Shows what the other ways would send: a part for each entry, and a ramp that asks nobody.
#[parameterized(
    parts_of_two = { Way::Parts, 2, Traffic::Everywhere },
    parts_of_many = { Way::Parts, 195, Traffic::Everywhere },
    parts_at_one_entry = { Way::Parts, 195, Traffic::OneEntry },
    ramp = { Way::Ramp, 30, Traffic::Everywhere },
)]
fn other_ways_pass_the_bound_or_leave_targets_unused(way: Way, members: usize, traffic: Traffic) {
    let plan = Plan { way, ..plan(members, 1.0, 0.0, traffic) };
    let seen = World::open(plan).play();
    println!("{way:?} of {members}: {} in a second, {:.2} used", seen.most(), seen.used(&plan));
    assert!(seen.most() as f64 > bound(&plan) || seen.used(&plan) < 0.5);
}

/// Guards against a target that may get nothing being tried now and then.
#[test]
fn a_bound_below_one_request_lets_none_through() {
    let terms = Limit { per_s: RequestRate::new(0.2), excess: 1.5, margin: 0.0 };
    let allowance = Allowance { advertised: None, cold: Some(terms) };
    let mut keeper = Buckets::default();
    let id = target(0, 1, 1).id;
    let granted = (0..600).filter(|s| keeper.try_send(at(s * 100), &id, &allowance).is_none());
    assert_eq!(granted.count(), 0);
}

/// Guards against a bound that is gone by as soon as a target also names a limit.
#[test]
fn of_two_bounds_the_stricter_holds() {
    let id = target(0, 1, 1).id;
    let cold = Limit { per_s: RequestRate::new(1.0), excess: 1.5, margin: 0.0 };
    for (named, cold) in [(Some(50.0), cold), (Some(1.0), Limit { margin: 50.0, ..cold })] {
        let allowance = Allowance { advertised: named.map(RequestRate::new), cold: Some(cold) };
        let mut keeper = Buckets::default();
        let mut granted = 0;
        for ms in 0..10_000 {
            granted += usize::from(keeper.try_send(at(ms), &id, &allowance).is_none());
        }
        assert!((7..=11).contains(&granted), "{granted}");
    }
}

/// Guards against a target that is cold again, or that started again, being taken for warm, and against
/// one that is warm being kept for cold by an old reading.
#[test]
fn leases_say_how_long_a_target_is_cold() {
    let mut leases = Leases::default();
    let id = target(0, 1, 1).id;
    leases.apply_list(at(0), Position::new(0, 1), vec![target(6_000, 1, 1)]);
    assert_eq!(leases.cold_remaining(at(2_000), &id), Duration::from_secs(4));
    let put = |cold, renewal, start| vec![Change::Put(target(cold, renewal, start))];
    // Each renewal says the same, which is no news.
    assert!(leases.apply_changes(at(2_000), Position::new(0, 2), put(4_100, 2, 1)).is_empty());
    assert_eq!(leases.snapshot(at(3_000))[0].cold_ms, 3_100);
    assert_eq!(leases.cold_remaining(at(7_000), &id), Duration::ZERO);
    // Cold again without a restart, and after one.
    assert_eq!(leases.apply_changes(at(8_000), Position::new(0, 3), put(5_000, 3, 1)).len(), 1);
    assert!(leases.apply_changes(at(8_500), Position::new(0, 4), put(0, 2, 1)).is_empty());
    assert_eq!(leases.cold_remaining(at(9_000), &id), Duration::from_secs(4));
    assert_eq!(leases.apply_changes(at(9_000), Position::new(0, 5), put(0, 4, 1)).len(), 0);
    assert_eq!(leases.cold_remaining(at(9_000), &id), Duration::ZERO);
    assert_eq!(leases.apply_changes(at(9_500), Position::new(0, 6), put(6_000, 1, 2)).len(), 1);
    assert_eq!(leases.cold_remaining(at(9_500), &id), Duration::from_secs(6));
}

/// Guards against an entry that decides not knowing what the one that asks knows.
#[test]
fn what_another_entry_says_of_a_cold_target_is_taken_in() {
    let mut leases = Leases::default();
    leases.apply_list(at(0), Position::new(0, 1), vec![target(0, 1, 1)]);
    let word = |start| Update {
        target: target(0, 1, 1).id,
        start: Some(Start::new(start)),
        remaining_ms: 3_000,
    };
    assert!(!leases.apply_cold_update(at(0), &word(2)));
    assert!(leases.apply_cold_update(at(0), &word(1)));
    assert!(!leases.apply_cold_update(at(0), &word(1)));
    assert_eq!(leases.cold_remaining(at(1_000), &word(1).target), Duration::from_secs(2));
}
