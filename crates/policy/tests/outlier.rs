//! Slow and failing targets are ejected, within bounds, and come back slowly.

use std::time::Duration;

use fireflyhoist_policy::id::Target;
use fireflyhoist_policy::outlier::{Cause, Detector, EJECTION, RAMP, Sample};
use fireflyhoist_policy::time::Time;
use proptest::prelude::*;

fn target(n: usize) -> Target {
    format!("t{n}").parse().expect("a name")
}

fn open(count: usize) -> Detector {
    let mut detector = Detector::open();
    let targets: Vec<Target> = (0..count).map(target).collect();
    detector.set_targets(&targets);
    detector
}

/// Feeds each target one latency every 100 ms from `from` on.
fn feed(detector: &mut Detector, from: Time, rounds: u64, latency: impl Fn(usize) -> u64) -> Time {
    let count = detector.weights(from).count();
    let mut now = from;
    for _ in 0..rounds {
        now = now + Duration::from_millis(100);
        for n in 0..count {
            let sample = Sample::Latency(Duration::from_millis(latency(n)));
            detector.record(now, &target(n), sample);
        }
    }
    now
}

/// One accelerator throttles and its engine takes ten times as long. Its report looks like any
/// other's, so a twelfth of all supervisors watch a crawling roster until it is ejected.
#[test]
fn a_slow_target_is_ejected_and_the_others_are_not() {
    let mut detector = open(12);
    let now = feed(&mut detector, Time::ZERO, 40, |n| if n == 3 { 200 } else { 20 });
    assert_eq!(detector.weight(now, &target(3)), 0.0);
    assert_eq!(detector.ejected(now), 1);
    let ejection = detector.ejection(now, &target(3)).expect("operators are told why");
    assert_eq!(ejection.cause, Cause::Slow);
    assert_eq!(detector.ejection(now, &target(4)), None);
}

/// One long prompt slows an engine for half a second. Ejecting it would throw its warm cache away
/// and push its load onto the others for nothing.
#[test]
fn a_target_slow_for_less_than_the_grace_period_stays() {
    let mut detector = open(12);
    let now = feed(&mut detector, Time::ZERO, 20, |_| 20);
    let now = feed(&mut detector, now, 5, |n| if n == 3 { 200 } else { 20 });
    let now = feed(&mut detector, now, 20, |_| 20);
    assert_eq!(detector.ejected(now), 0);
}

/// An engine refuses every request at once. It is always the least loaded, so it draws more and
/// more of them until three failures in a row put it out.
#[test]
fn a_target_that_fails_fast_is_ejected() {
    let mut detector = open(12);
    (0..3).for_each(|_| detector.record(Time::ZERO, &target(0), Sample::Failed));
    assert_eq!(detector.weight(Time::ZERO, &target(0)), 0.0);
    let ejection = detector.ejection(Time::ZERO, &target(0)).expect("operators are told why");
    assert_eq!((ejection.cause, ejection.until), (Cause::Failing, Time::ZERO + EJECTION));
}

/// A link between domains stalls and everything behind it fails. Ejecting all that fails would
/// leave nothing, or pile the whole load on the two targets that happened to answer.
#[test]
fn ejection_is_ignored_when_most_look_bad() {
    let mut detector = open(12);
    for n in 0..10 {
        (0..5).for_each(|_| detector.record(Time::ZERO, &target(n), Sample::Failed));
    }
    assert!((0..12).all(|n| detector.weight(Time::ZERO, &target(n)) == 1.0));
}

/// Five of twelve engines fail at once. With all five out, the seven left carry nearly twice
/// their load and the next one tips over; the cap keeps the ejections to a third.
#[test]
fn no_more_than_the_cap_are_out_at_once() {
    let mut detector = open(12);
    for n in 0..5 {
        (0..5).for_each(|_| detector.record(Time::ZERO, &target(n), Sample::Failed));
    }
    assert_eq!(detector.ejected(Time::ZERO), 4);
}

/// The target recovers. Returned at full weight, it would be flooded with a cold cache, look slow
/// again and flap.
#[test]
fn a_target_returns_slowly_and_a_still_slow_one_goes_for_longer() {
    let mut detector = open(12);
    (0..3).for_each(|_| detector.record(Time::ZERO, &target(0), Sample::Failed));
    let back = Time::ZERO + EJECTION;
    assert!(detector.weight(back, &target(0)) < 0.2);
    let half = detector.weight(back + RAMP / 2, &target(0));
    assert!(half > 0.4 && half < 0.7, "{half}");
    assert_eq!(detector.weight(back + RAMP, &target(0)), 1.0);
    (0..3).for_each(|_| detector.record(back, &target(0), Sample::Failed));
    assert_eq!(detector.weight(back + EJECTION, &target(0)), 0.0);
}

proptest! {
    /// Whatever is observed, more than half of the targets stay usable.
    #[test]
    fn most_targets_always_stay_usable(
        count in 1usize..8,
        samples in prop::collection::vec((0usize..8, 0u64..500, any::<bool>(), 0u64..2000), 0..120),
    ) {
        let mut detector = open(count);
        let mut now = Time::ZERO;
        for (n, millis, failed, step) in samples {
            now = now + Duration::from_millis(step);
            let latency = Sample::Latency(Duration::from_millis(millis));
            detector.record(now, &target(n % count), if failed { Sample::Failed } else { latency });
            let usable = detector.weights(now).filter(|(_, weight)| *weight > 0.0).count();
            prop_assert!(usable * 2 >= count, "{usable} of {count}");
        }
    }
}
