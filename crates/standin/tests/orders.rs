//! Stewards against an engine, with orders lost, doubled, late and given by two at once.

use std::time::Duration;

use fireflyhoist_policy::order::desired::{Fencing, Role, Setup};
use fireflyhoist_policy::order::fence::{Epoch, FenceError};
use fireflyhoist_policy::order::plan::{Action, Observed, Order, decide};
use fireflyhoist_policy::time::Time;
use fireflyhoist_standin::order::Orders;
use proptest::prelude::*;

const LOAD: Duration = Duration::from_secs(2);

fn mark(version: u64) -> Epoch {
    Epoch::of(version, &[]).expect("fits")
}

fn setup(version: u64) -> Setup {
    let model = "scribe".parse().expect("a name");
    Setup { model, version: format!("{version}").into(), adapters: vec![], role: Role::Both }
}

/// What a steward of `version` orders after it read `observed`.
fn order(fencing: Fencing, version: u64, observed: &Observed) -> Option<Order> {
    match decide(&setup(version), fencing, mark(version), observed).ok()? {
        Action::Nothing => None,
        Action::Load(order) | Action::RaiseFence(order) => Some(order),
    }
}

fn round(engine: &mut Orders, fencing: Fencing, version: u64, now: Time) {
    if let Some(order) = order(fencing, version, &engine.observe(now)) {
        let _ = engine.take(now, &order);
    }
}

fn heading(engine: &mut Orders, now: Time) -> Option<Setup> {
    let observed = engine.observe(now);
    observed.loading.or(observed.holds)
}

/// A partition makes two entries of one version the steward of one engine. Both read it and both
/// order; if the engine loaded twice, its members would wait twice as long.
#[test]
fn two_stewards_of_one_version_load_an_engine_once() {
    let mut engine = Orders::open(Fencing::Checked, LOAD);
    let observed = engine.observe(Time::ZERO);
    let first = order(Fencing::Checked, 1, &observed).expect("an order");
    let second = order(Fencing::Checked, 1, &observed).expect("an order");
    assert_eq!(engine.take(Time::ZERO, &first), Ok(()));
    assert!(engine.take(Time::ZERO, &second).is_err());
    assert_eq!((engine.loads(), engine.refused()), (1, 1));
}

/// A partition leaves one steward with version 1 while the other has version 2. Taking turns, they
/// would load the engine back and forth until the partition heals.
#[test]
fn two_stewards_of_two_versions_end_with_the_newer() {
    let mut engine = Orders::open(Fencing::Checked, LOAD);
    for second in 0..60 {
        let now = Time::ZERO + Duration::from_secs(second);
        round(&mut engine, Fencing::Checked, 1, now);
        round(&mut engine, Fencing::Checked, 2, now);
    }
    assert_eq!(engine.loads(), 2);
    assert_eq!(heading(&mut engine, Time::ZERO + Duration::from_secs(60)), Some(setup(2)));
    let behind = decide(&setup(1), Fencing::Checked, mark(1), &engine.observe(Time::ZERO));
    assert_eq!(behind, Err(FenceError::Outdated));
}

/// A steward reads the engine, is paused for a minute and wakes with its order of version 1 in
/// hand. Meanwhile version 2 was loaded; the member whose page is under way would lose it.
#[test]
fn a_steward_that_paused_and_woke_is_refused_by_the_engine() {
    let mut engine = Orders::open(Fencing::Checked, LOAD);
    let asleep = order(Fencing::Checked, 1, &engine.observe(Time::ZERO)).expect("an order");
    round(&mut engine, Fencing::Checked, 2, Time::ZERO);
    let awake = Time::ZERO + Duration::from_secs(60);
    assert!(engine.take(awake, &asleep).is_err());
    assert_eq!(heading(&mut engine, awake), Some(setup(2)));
}

/// Versions 5 and 7 want the same of an engine and version 6 wanted another model. A steward that
/// slept through version 7 orders what version 6 wanted.
#[test]
fn a_version_in_between_cannot_come_back() {
    let mut engine = Orders::open(Fencing::Checked, LOAD);
    let first = order(Fencing::Checked, 5, &engine.observe(Time::ZERO)).expect("an order");
    assert_eq!(engine.take(Time::ZERO, &first), Ok(()));
    let observed = engine.observe(Time::ZERO);
    let asleep = order(Fencing::Checked, 6, &observed).expect("an order");
    let again = decide(&setup(5), Fencing::Checked, mark(7), &observed);
    let Ok(Action::RaiseFence(claim)) = again else { panic!("{again:?}") };
    assert_eq!(engine.take(Time::ZERO, &claim), Ok(()));
    assert!(engine.take(Time::ZERO, &asleep).is_err());
    assert_eq!(engine.loads(), 1);
}

/// The connection is cut before the order arrives, and the steward cannot tell. Left at that, the
/// engine would serve the old model until the next version.
#[yare::parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn an_order_that_is_lost_is_given_again(fencing: Fencing) {
    let mut engine = Orders::open(fencing, LOAD);
    let lost = order(fencing, 1, &engine.observe(Time::ZERO));
    assert!(lost.is_some());
    round(&mut engine, fencing, 1, Time::ZERO + Duration::from_secs(1));
    assert_eq!(heading(&mut engine, Time::ZERO + Duration::from_secs(1)), Some(setup(1)));
}

/// The reply is lost and the order arrives twice. Loading twice would take the engine out for
/// twice as long.
#[yare::parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn an_order_that_is_doubled_loads_once(fencing: Fencing) {
    let mut engine = Orders::open(fencing, LOAD);
    let order = order(fencing, 1, &engine.observe(Time::ZERO)).expect("an order");
    let _ = engine.take(Time::ZERO, &order);
    let _ = engine.take(Time::ZERO + LOAD, &order);
    assert_eq!(engine.loads(), 1);
}

/// An order of version 1 lies in a buffer and arrives after that of version 2. An engine that
/// checks refuses it; one that does not takes it, and the next round puts version 2 back.
#[yare::parameterized(checked = { Fencing::Checked, 1 }, ignored = { Fencing::Ignored, 3 })]
fn an_order_that_comes_late_is_refused_or_repaired(fencing: Fencing, loads: u64) {
    let mut engine = Orders::open(fencing, LOAD);
    let late = order(fencing, 1, &engine.observe(Time::ZERO)).expect("an order");
    round(&mut engine, fencing, 2, Time::ZERO);
    let _ = engine.take(Time::ZERO + LOAD, &late);
    round(&mut engine, fencing, 2, Time::ZERO + LOAD);
    assert_eq!(heading(&mut engine, Time::ZERO + LOAD), Some(setup(2)));
    assert_eq!(engine.loads(), loads);
}

#[derive(Clone, Debug)]
enum Event {
    Read { steward: usize },
    Order { steward: usize },
    Deliver { at: usize, keep: bool },
    Lose { at: usize },
    Learn { steward: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0usize..3).prop_map(|steward| Event::Read { steward }),
        3 => (0usize..3).prop_map(|steward| Event::Order { steward }),
        3 => (0usize..8, any::<bool>()).prop_map(|(at, keep)| Event::Deliver { at, keep }),
        1 => (0usize..8).prop_map(|at| Event::Lose { at }),
        1 => (0usize..3).prop_map(|steward| Event::Learn { steward }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    /// Three stewards read, sleep, order, and learn of versions in any order, and the network
    /// loses, doubles, delays and crosses what they send: an engine that checks never goes back.
    #[test]
    fn an_engine_that_checks_never_goes_back(events in prop::collection::vec(event(), 0..80)) {
        let mut engine = Orders::open(Fencing::Checked, LOAD);
        let mut versions = [1u64; 3];
        let mut read = [const { None::<Observed> }; 3];
        let mut sent: Vec<Order> = Vec::new();
        for event in events {
            match event {
                Event::Read { steward } => read[steward] = Some(engine.observe(Time::ZERO)),
                Event::Learn { steward } => versions[steward] += 1,
                Event::Order { steward } => {
                    let observed = read[steward].as_ref();
                    let version = versions[steward];
                    sent.extend(observed.and_then(|o| order(Fencing::Checked, version, o)));
                }
                Event::Deliver { at, keep } if at < sent.len() => {
                    let order = if keep { sent[at].clone() } else { sent.remove(at) };
                    let _ = engine.take(Time::ZERO, &order);
                }
                Event::Lose { at } if at < sent.len() => drop(sent.remove(at)),
                Event::Deliver { .. } | Event::Lose { .. } => {}
            }
        }
        let marks: Vec<Epoch> = engine.taken().iter().map(|order| order.fence.epoch()).collect();
        prop_assert!(marks.is_sorted(), "{marks:?}");
    }
}
