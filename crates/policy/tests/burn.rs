//! Service-level burn rates: what is counted, over which windows, and which level it raises.

use std::time::Duration;

use fireflyhoist_policy::burn::{Count, History, Level, Measure, Objective, Progress, Tally};
use fireflyhoist_policy::time::Time;

const OBJECTIVE: Objective = Objective {
    first_token: Duration::from_millis(340),
    between_tokens: Duration::from_millis(57),
    late_share: 0.05,
    stalled_share: 0.01,
    preempted_share: 0.01,
    refused_share: 0.01,
};

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

fn minutes(minutes: u64) -> Time {
    at(minutes * 60_000)
}

fn level(history: &History, now: Time, measure: Measure) -> Level {
    let readings = history.readings(now, &OBJECTIVE);
    readings.iter().find(|r| r.measure == measure).expect("a reading of every measure").level()
}

/// An answer with a late first token, one late token that is no stall, and a stall of three seconds
/// in which its engine preempts it.
#[test]
fn one_answer_counts_for_each_measure() {
    let mut progress = Progress::new(OBJECTIVE, at(0));
    for millis in [400, 450, 550, 3_550] {
        progress.record_token(at(millis));
    }
    progress.record_preemption();
    progress.record_preemption();
    let tally = progress.finish(at(3_560));
    assert_eq!(tally.get(Measure::FirstToken), Count { total: 1, bad: 1 });
    assert_eq!(tally.get(Measure::BetweenTokens), Count { total: 3, bad: 2 });
    assert_eq!(tally.get(Measure::Stall), Count { total: 3_160_000, bad: 2_943_000 });
    assert_eq!(tally.get(Measure::Preemption), Count { total: 1, bad: 1 });
    assert_eq!(tally.get(Measure::Refusal), Count { total: 1, bad: 0 });
}

/// Guards against a hang going uncounted: an answer that hangs until its caller cancels it never
/// sends the token that would end the gap.
#[test]
fn answer_that_hangs_until_cancelled_is_stalled() {
    let mut progress = Progress::new(OBJECTIVE, at(0));
    progress.record_token(at(100));
    let tally = progress.finish(at(60_100));
    assert_eq!(tally.get(Measure::Stall), Count { total: 60_000_000, bad: 59_943_000 });
}

/// Guards against an alert outlasting its cause. Ten bad minutes stay in the window of an hour, so
/// that with the long window alone the alert would last for most of an hour.
#[test]
fn alert_ends_soon_after_its_cause() {
    let mut history = History::default();
    for minute in 0..30 {
        (0..100).for_each(|_| {
            history.record(minutes(minute), Tally::plain(&OBJECTIVE, Duration::ZERO))
        });
    }
    assert_eq!(level(&history, minutes(29), Measure::Refusal), Level::Ok);
    for minute in 30..40 {
        (0..100).for_each(|_| history.record(minutes(minute), Tally::refused()));
    }
    assert_eq!(level(&history, minutes(39), Measure::Refusal), Level::Fast);
    for minute in 40..46 {
        (0..100).for_each(|_| {
            history.record(minutes(minute), Tally::plain(&OBJECTIVE, Duration::ZERO))
        });
    }
    assert_ne!(level(&history, minutes(46), Measure::Refusal), Level::Fast);
}

/// Guards against an alert on a few requests: one refusal of two at night is far over budget, but
/// no incident.
#[test]
fn few_requests_raise_no_level() {
    let mut history = History::default();
    history.record(minutes(1), Tally::refused());
    history.record(minutes(1), Tally::plain(&OBJECTIVE, Duration::ZERO));
    assert_eq!(level(&history, minutes(1), Measure::Refusal), Level::Ok);
}

#[test]
fn slots_expire_over_an_idle_day() {
    let mut history = History::default();
    (0..200).for_each(|_| history.record(minutes(0), Tally::refused()));
    let readings = history.readings(minutes(24 * 60), &OBJECTIVE);
    assert!(readings.iter().all(|r| r.windows.iter().all(|c| c.total == 0)), "{readings:?}");
}

#[test]
fn readings_of_two_hosts_are_summed() {
    let mut history = History::default();
    history.record(minutes(0), Tally::refused());
    let mut one = history.readings(minutes(0), &OBJECTIVE);
    one[4].merge(&history.readings(minutes(0), &OBJECTIVE)[4]);
    assert_eq!(one[4].windows[0], Count { total: 2, bad: 2 });
    assert_eq!(one[4].burn_rates()[0].round(), 100.0);
}
