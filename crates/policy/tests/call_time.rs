//! How long calls of a route are expected to take.

use std::time::Duration;

use fireflyhoist_policy::call_time::CallTimes;
use fireflyhoist_policy::time::Time;
use yare::parameterized;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the times of a route, of which one call after the other took this long, and when the last
/// one ended.
fn ended(each: &[u64]) -> (CallTimes, Time) {
    let (mut times, mut now) = (CallTimes::default(), Time::ZERO);
    for took in each {
        let call = times.begin(now);
        now = now + ms(*took);
        times.end(call, now, true);
    }
    (times, now)
}

/// Guards against calls being taken for short because most are, and against repeatable calls being
/// refused because one took long.
#[parameterized(
    unknown = { &[], false, None },
    too_few = { &[10, 10, 10], false, None },
    equal = { &[1_000; 4], false, Some(1_000) },
    longest = { &[10, 10, 10, 3_000, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10], false, Some(3_000) },
    one_in_sixteen = { &[10, 10, 10, 3_000, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10], true, Some(10) },
    one_in_four = { &[10, 10, 10, 3_000], true, Some(3_000) },
)]
fn calls_that_ended_count(each: &[u64], repeatable: bool, expected: Option<u64>) {
    let (times, now) = ended(each);
    let found = times.expected(now, repeatable).ended;
    match expected.map(ms) {
        None => assert_eq!(found, None),
        Some(expected) => {
            let found = found.expect("known");
            assert!(found > expected && found <= expected.mul_f64(1.05) + ms(100), "{found:?}");
        }
    }
}

/// Guards against a route being taken for slow for ever.
#[test]
fn old_calls_do_not_count() {
    let (mut times, mut now) = ended(&[3_000; 8]);
    for _ in 0..64 {
        let call = times.begin(now);
        now = now + ms(10);
        times.end(call, now, true);
    }
    assert!(times.expected(now, false).ended.is_some_and(|expected| expected < ms(200)));
}

/// Guards against calls being taken for short until the first of those ends that take longer.
#[test]
fn calls_that_run_count_before_they_end() {
    let (mut times, now) = ended(&[10; 64]);
    for number in 0..20 {
        times.begin(now + ms(100) * number);
    }
    assert!(times.expected(now + ms(2_000), false).running >= ms(2_000));
}

/// Guards against all calls of a route being refused because some hang at a target that has ended.
#[test]
fn calls_that_hang_do_not_count_while_others_end() {
    let (mut times, mut now) = ended(&[10; 64]);
    for number in 0..200 {
        let call = times.begin(now);
        now = now + ms(10);
        if number % 20 > 0 {
            times.end(call, now, true);
        }
    }
    let running = times.expected(now, false).running;
    assert!(running < ms(500), "{running:?}");
}

/// Guards against the time until a failure being taken for that of an answer.
#[test]
fn calls_without_an_answer_do_not_count() {
    let mut times = CallTimes::default();
    for _ in 0..8 {
        let call = times.begin(Time::ZERO);
        times.end(call, Time::ZERO + ms(1), false);
    }
    assert_eq!(times.expected(Time::ZERO + ms(1), false).ended, None);
    assert!(times.is_idle());
}
