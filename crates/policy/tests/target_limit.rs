//! Pattern `named-limits`: targets that name how many requests a second they take.

#[path = "support/limited_fleet.rs"]
mod limited_fleet;

use std::time::Duration;

use fireflyhoist_policy::target_limit::{Advertisement, Limits};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::token_bucket::{Allowance, Buckets};
use fireflyhoist_policy::unit::RequestRate;
use limited_fleet::{Plan, STABLE, Traffic, Trouble, World, target};
use yare::parameterized;

/// The bound in a span of four seconds.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * 4.0 + 5.0
}

/// The part of its limit that a target must get where more is asked.
const USED: f64 = 0.9;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn rate(rate: f64) -> Advertisement {
    Advertisement::Limit(RequestRate::new(rate))
}

fn plan(members: usize, asked: f64, limit: fn(u64) -> Option<f64>) -> Plan {
    let (traffic, trouble) = (Traffic::Everywhere, Trouble::None);
    Plan { members, asked, limit, traffic, trouble, seconds: 40 }
}

/// Guards against a limit being kept by each entry for itself, whichever entries have the traffic.
#[parameterized(
    two_entries = { 2, 40.0, Traffic::Everywhere, Trouble::None },
    many_entries = { 195, 40.0, Traffic::Everywhere, Trouble::None },
    much_asked_of_many = { 195, 400.0, Traffic::Everywhere, Trouble::None },
    one_entry_has_all = { 195, 40.0, Traffic::OneEntry, Trouble::None },
    traffic_moves = { 195, 40.0, Traffic::Moving, Trouble::None },
    entries_join = { 40, 40.0, Traffic::Everywhere, Trouble::Joins },
)]
fn a_target_gets_what_it_takes(members: usize, asked: f64, traffic: Traffic, trouble: Trouble) {
    let plan = Plan { traffic, trouble, ..plan(members, asked, |_| Some(5.0)) };
    let seen = World::open(plan).play();
    let (most, used) = (seen.most(STABLE), seen.between(10, 40) as f64 / (5.0 * 30.0));
    println!("{most} in four seconds, {used:.3} of the limit used, {} elsewhere", seen.elsewhere);
    assert!(most as f64 <= allowed(5.0));
    assert!(used >= USED, "{used}");
}

/// Guards against the limit being passed where its bucket starts anew or stands on both sides.
#[parameterized(
    partition = { Trouble::Partition, 0.9 },
    restarts_of_the_one_that_decides = { Trouble::Restarts, 0.7 },
)]
fn a_limit_holds_while_entries_are_cut_off_or_restarted(trouble: Trouble, least: f64) {
    let plan = Plan { trouble, ..plan(30, 60.0, |_| Some(5.0)) };
    let seen = World::open(plan).play();
    let (most, used) = (seen.most(STABLE), seen.between(10, 40) as f64 / (5.0 * 30.0));
    println!("{most} in four seconds, {used:.3} of the limit used");
    assert!(most as f64 <= allowed(5.0));
    assert!(used >= least, "{used}");
}

/// Guards against shares under one request a second adding up to several, or to none.
#[test]
fn a_limit_below_one_a_second_is_kept_and_used() {
    let seen = World::open(plan(195, 40.0, |_| Some(0.5))).play();
    assert!(seen.most(STABLE) as f64 <= allowed(0.5));
    assert!(seen.between(10, 40) as f64 >= USED * 0.5 * 30.0, "{}", seen.between(10, 40));
}

/// Guards against a limit that falls being kept to late, and one that rises or is gone not at all.
#[test]
fn a_limit_that_changes_is_followed() {
    let limit = |second| match second {
        0..15 => Some(5.0),
        15..25 => Some(2.0),
        25..33 => Some(20.0),
        _ => None,
    };
    let seen = World::open(plan(60, 60.0, limit)).play();
    let low = seen.between(17, 25);
    assert!(low as f64 <= allowed(2.0) * 2.0, "{low}");
    let high = seen.between(26, 33);
    assert!(high as f64 >= USED * 20.0 * 7.0, "{high}");
    let free = seen.between(34, 40);
    assert!(free as f64 >= 0.95 * 60.0 * 6.0, "{free}");
}

/// Guards against a target that takes nothing being forgotten, or hammered.
#[test]
fn a_target_that_takes_none_is_asked_now_and_then() {
    let seen = World::open(plan(60, 60.0, |_| Some(0.0))).play();
    let all = seen.between(10, 40);
    assert!((3..=8).contains(&all), "{all}");
    assert!(seen.most(STABLE) as f64 <= allowed(0.0));
}

/// Guards against an answer that was overtaken lifting a limit that is in force.
#[test]
fn an_older_answer_lifts_nothing() {
    let (mut limits, target) = (Limits::default(), target("t-1", None));
    assert!(limits.record_answer(at(100), &target, at(50), rate(5.0)));
    assert!(!limits.record_answer(at(110), &target, at(40), Advertisement::Absent));
    assert_eq!(limits.limit(&target.id), Some(RequestRate::new(5.0)));
    assert!(limits.record_answer(at(200), &target, at(150), Advertisement::Absent));
    assert_eq!(limits.limit(&target.id), None);
}

/// Guards against what cannot be read ending a limit or naming one.
#[parameterized(
    word = { "few" },
    negative = { "-3" },
    not_a_number = { "NaN" },
    infinite = { "inf" },
    absurd = { "1e300" },
    empty = { "" },
)]
fn what_cannot_be_read_says_nothing(text: &str) {
    let (mut limits, target) = (Limits::default(), target("t-1", None));
    assert_eq!(Advertisement::parse(text), Advertisement::Invalid);
    assert!(!limits.record_answer(at(10), &target, at(5), Advertisement::parse(text)));
    limits.record_answer(at(100), &target, at(50), rate(5.0));
    assert!(!limits.record_answer(at(200), &target, at(150), Advertisement::parse(text)));
    assert_eq!(limits.limit(&target.id), Some(RequestRate::new(5.0)));
}

/// Guards against a target that started again being held to what it said before.
#[test]
fn a_restart_names_no_limit() {
    let (mut limits, old) = (Limits::default(), target("t-1", Some(1)));
    let new = target("t-1", Some(2));
    limits.record_answer(at(100), &old, at(50), rate(5.0));
    limits.retain(|_| Some(&new));
    assert_eq!(limits.limit(&old.id), None);
    // What others heard of the old start comes later.
    let mut other = Limits::default();
    other.record_answer(at(100), &old, at(50), rate(5.0));
    limits.record_answer(at(200), &new, at(150), rate(9.0));
    limits.apply(at(300), other.take_updates(at(100)));
    assert_eq!(limits.limit(&new.id), Some(RequestRate::new(9.0)));
}

/// Guards against the word of an entry that heard nothing since overruling a newer one.
#[test]
fn the_latest_word_counts() {
    let (mut limits, target) = (Limits::default(), target("t-1", None));
    let mut other = Limits::default();
    other.record_answer(at(100), &target, at(90), rate(5.0));
    limits.record_answer(at(400), &target, at(390), rate(2.0));
    limits.apply(at(500), other.all_updates(at(500)));
    assert_eq!(limits.limit(&target.id), Some(RequestRate::new(2.0)));
    other.apply(at(500), limits.all_updates(at(500)));
    assert_eq!(other.limit(&target.id), Some(RequestRate::new(2.0)));
}

/// Guards against all that were sent away coming back in the same moment.
#[test]
fn those_sent_away_come_back_one_after_the_other() {
    let (mut keeper, target) = (Buckets::default(), target("t-1", None));
    let allowance = Allowance { advertised: Some(RequestRate::new(10.0)), cold: None };
    let waits: Vec<Duration> =
        (0..8).filter_map(|_| keeper.try_send(at(1_000), &target.id, &allowance)).collect();
    assert_eq!(waits.len(), 8);
    assert!(
        waits.windows(2).all(|pair| pair[1] >= pair[0] + Duration::from_millis(99)),
        "{waits:?}"
    );
}
