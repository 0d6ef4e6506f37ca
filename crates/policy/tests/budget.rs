//! Budgets keep retries and hedges a small share of all attempts.

use std::time::Duration;

use fireflyhoist_policy::{hedge, retry};
use yare::parameterized;

/// Guards against retries doubling the load of a service whose engines are all down, when each of
/// 10,000 requests asks for a second attempt.
#[test]
fn retries_stop_at_burst_while_service_is_down() {
    let mut budget = retry::Budget::new();
    let retries = (0..10_000).filter(|_| budget.try_take()).count();
    assert_eq!(retries, retry::BURST as usize);
}

/// Guards against retries exceeding a tenth of all attempts while half of the attempts fail for a
/// long time. A refused retry is refused at once.
#[test]
fn retries_stay_below_a_tenth_while_half_of_attempts_fail() {
    let mut budget = retry::Budget::new();
    let (mut first, mut retries) = (0, 0);
    for n in 0..20_000 {
        first += 1;
        match n % 2 == 0 {
            true => budget.record_success(),
            false => retries += u32::from(budget.try_take()),
        }
    }
    assert!(f64::from(retries) < 0.1 * f64::from(first + retries), "{retries} of {first}");
    assert!(retries > 900, "the budget is also used: {retries}");
}

/// Guards against the entries together exceeding a bound on all their retries because more entries
/// carry traffic than the bound is divided by.
#[parameterized(few = { 2 }, as_many_as_shares = { 16 }, many = { 30 }, all = { 195 })]
fn retries_of_all_entries_stay_within_bound(entries: usize) {
    let limits = retry::Limits::share(0.1, 430.0, entries);
    let spent = || {
        let mut budget = retry::Budget::with_limits(limits);
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

/// A lookup at a stalled target is hedged once it is slower than 95 % of the latest lookups.
#[test]
fn hedge_waits_for_latest_95th_percentile() {
    let mut budget = seen(400, |n| if n % 20 == 0 { 300 } else { 10 });
    let delay = budget.delay().expect("enough was seen");
    assert!(delay >= Duration::from_millis(10) && delay < Duration::from_millis(300), "{delay:?}");
    assert!(budget.try_take());
}

/// Guards against hedges keeping a service overloaded: if all lookups are slow and each were sent
/// twice, the load would double.
#[test]
fn hedges_stay_within_budget_when_all_lookups_are_slow() {
    let mut budget = seen(0, |_| 0);
    let mut hedged = 0;
    for _ in 0..10_000 {
        budget.sent();
        hedged += u32::from(budget.try_take());
    }
    assert!(hedged <= 500, "{hedged}");
}

#[test]
fn nothing_is_hedged_before_enough_samples() {
    assert_eq!(seen(10, |_| 10).delay(), None);
}
