//! Retries and hedges stay a small part of what is sent.

use std::time::Duration;

use fireflyhoist_policy::{hedge, retry};
use yare::parameterized;

/// Every engine is down for ten minutes and each of 10,000 requests wants a second attempt. Without
/// a budget the service would get twice its load while it has least room.
#[test]
fn retries_of_a_service_that_is_down_stop_at_the_burst() {
    let mut budget = retry::Budget::open();
    let retries = (0..10_000).filter(|_| budget.try_take()).count();
    assert_eq!(retries, retry::BURST as usize);
}

/// Half of all attempts fail for a long time. Retries stay under a tenth of all sends, and those
/// that are refused one hear so at once.
#[test]
fn retries_of_a_service_that_half_fails_stay_under_a_tenth() {
    let mut budget = retry::Budget::open();
    let (mut first, mut again) = (0, 0);
    for n in 0..20_000 {
        first += 1;
        match n % 2 == 0 {
            true => budget.earn(),
            false => again += u32::from(budget.try_take()),
        }
    }
    assert!(f64::from(again) < 0.1 * f64::from(first + again), "{again} of {first}");
    assert!(again > 900, "the budget is also used: {again}");
}

/// Guards against entries spending more than a bound that holds for all, where more carry the traffic
/// than it is divided by.
#[parameterized(few = { 2 }, as_many_as_parts = { 16 }, many = { 30 }, all = { 195 })]
fn retries_of_all_entries_stay_within_their_bound(entries: usize) {
    let terms = retry::Terms::part(0.1, 430.0, entries);
    let spent = || {
        let mut budget = retry::Budget::of(terms);
        (0..1_000).filter(|_| budget.try_take()).count()
    };
    assert!((0..entries).map(|_| spent()).sum::<usize>() <= 430);
}

fn seen(count: u64, latency: impl Fn(u64) -> u64) -> hedge::Budget {
    let mut budget = hedge::Budget::open();
    for n in 0..count {
        budget.sent();
        budget.answered(Duration::from_millis(latency(n)));
    }
    budget
}

/// A search page's lookup meets a stalled target. It is sent a second time once it is slower than
/// nineteen in twenty of the latest.
#[test]
fn a_hedge_waits_for_the_latest_95th_percentile() {
    let mut budget = seen(400, |n| if n % 20 == 0 { 300 } else { 10 });
    let delay = budget.delay().expect("enough was seen");
    assert!(delay >= Duration::from_millis(10) && delay < Duration::from_millis(300), "{delay:?}");
    assert!(budget.try_take());
}

/// The whole service slows down. If each slow lookup were sent twice, the hedges alone would hold
/// it down.
#[test]
fn hedges_stay_within_their_budget_when_all_lookups_are_slow() {
    let mut budget = seen(0, |_| 0);
    let mut hedged = 0;
    for _ in 0..10_000 {
        budget.sent();
        hedged += u32::from(budget.try_take());
    }
    assert!(hedged <= 500, "{hedged}");
}

#[test]
fn nothing_is_hedged_before_enough_is_known() {
    assert_eq!(seen(10, |_| 10).delay(), None);
}
