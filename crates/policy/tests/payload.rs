//! Which bodies and answers yield where the memory for all of them is short.

use std::time::Duration;

use fireflyhoist_policy::payload::{Account, Budget, Refused, SMALL, STALL};
use fireflyhoist_policy::time::Time;
use proptest::prelude::*;

const MB: usize = 1 << 20;
const CAPACITY: usize = 16 * MB;

/// The part of the capacity that large accounts may use.
const LARGE_LIMIT: usize = 12 * MB;

const START: Time = Time::ZERO;

/// Opens an account that waits for its caller, with so many bytes.
fn waiting(budget: &mut Budget, bytes: usize, now: Time) -> Account {
    let account = budget.open(now);
    budget.reserve(account, bytes, now).expect("room");
    budget.set_evictable(account, true, now);
    account
}

/// Guards against the next caller being refused for those that have stalled.
#[test]
fn the_largest_stalled_account_yields() {
    let mut budget = Budget::new(CAPACITY);
    let small = waiting(&mut budget, 4 * MB, START);
    let large = waiting(&mut budget, 6 * MB, START);
    let next = budget.open(START);
    assert_eq!(budget.reserve(next, 4 * MB, START), Err(Refused::Full));
    let later = START + STALL;
    assert_eq!(budget.reserve(next, 4 * MB, later), Ok(()));
    assert_eq!(budget.take_evicted(), [large]);
    assert_eq!(budget.reserve(large, 1, later), Err(Refused::Evicted));
    assert_eq!(budget.reserve(small, 1, later), Ok(()));
    assert_eq!(budget.used(), 8 * MB + 1);
}

/// Guards against an account that loses its memory although its caller sends or reads.
#[test]
fn an_account_that_moves_stays() {
    let mut budget = Budget::new(CAPACITY);
    let moving = waiting(&mut budget, 10 * MB, START);
    let next = budget.open(START);
    for nth in 1..100 {
        let now = START + Duration::from_millis(100) * nth;
        budget.record_moved(moving, 512, now);
        assert_eq!(budget.reserve(next, 4 * MB, now), Err(Refused::Full));
    }
    assert!(budget.take_evicted().is_empty());
}

/// Guards against callers that hold memory for as long as they send a byte from time to time.
#[test]
fn a_byte_from_time_to_time_is_a_stall() {
    let mut budget = Budget::new(CAPACITY);
    let trickling = waiting(&mut budget, 10 * MB, START);
    let mut now = START;
    for _ in 0..10 {
        now = now + Duration::from_millis(100);
        budget.record_moved(trickling, 1, now);
    }
    let next = budget.open(now);
    assert_eq!(budget.reserve(next, 4 * MB, now), Ok(()));
    assert_eq!(budget.take_evicted(), [trickling]);
}

/// Guards against answers that are dropped while their target, and not their caller, is slow.
#[test]
fn an_account_that_does_not_wait_for_its_caller_stays() {
    let mut budget = Budget::new(CAPACITY);
    let sent = waiting(&mut budget, 10 * MB, START);
    budget.set_evictable(sent, false, START);
    let next = budget.open(START);
    let later = START + STALL * 10;
    assert_eq!(budget.reserve(next, 4 * MB, later), Err(Refused::Full));
}

/// Guards against small requests that find no room while large ones move.
#[test]
fn small_accounts_have_room_of_their_own() {
    let mut budget = Budget::new(CAPACITY);
    let large = budget.open(START);
    budget.reserve(large, LARGE_LIMIT, START).expect("room");
    assert_eq!(budget.reserve(large, 1, START), Err(Refused::Full));
    for _ in 0..(CAPACITY - LARGE_LIMIT) / SMALL {
        let small = budget.open(START);
        assert_eq!(budget.reserve(small, SMALL, START), Ok(()));
    }
    let next = budget.open(START);
    assert_eq!(budget.reserve(next, 1, START), Err(Refused::Full));
    // A large one that waits for its caller yields to a small one, moving or not.
    budget.set_evictable(large, true, START);
    assert_eq!(budget.reserve(next, 1, START), Ok(()));
    assert_eq!(budget.take_evicted(), [large]);
}

/// Guards against the next caller waiting behind all callers that read nothing.
#[test]
fn the_newest_account_that_waits_is_first() {
    let mut budget = Budget::new(CAPACITY);
    let held = budget.open(START);
    budget.reserve(held, LARGE_LIMIT, START).expect("room");
    let accounts: Vec<_> = (0..3).map(|_| budget.open(START)).collect();
    accounts.iter().for_each(|account| budget.set_waiting(*account, true));
    budget.close(held);
    assert_eq!(budget.reserve(accounts[0], MB, START), Err(Refused::Full));
    assert_eq!(budget.reserve(accounts[0], SMALL, START), Ok(()));
    assert_eq!(budget.reserve(accounts[2], MB, START), Ok(()));
    budget.set_waiting(accounts[2], false);
    assert_eq!(budget.reserve(accounts[1], MB, START), Ok(()));
    budget.close(accounts[1]);
    assert_eq!(budget.reserve(accounts[0], MB, START), Ok(()));
}

/// Guards against a body of the largest legal size that is refused in calm.
#[test]
fn one_account_may_use_all_that_is_for_large_ones() {
    let mut budget = Budget::new(CAPACITY);
    let account = budget.open(START);
    for _ in 0..LARGE_LIMIT / (64 << 10) {
        assert_eq!(budget.reserve(account, 64 << 10, START), Ok(()));
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Reserve(usize, usize),
    Release(usize, usize),
    Evictable(usize, bool),
    Moved(usize, usize),
    Close(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let nth = 0..12_usize;
    prop_oneof![
        Just(Step::Open),
        (nth.clone(), 0..6 * MB).prop_map(|(nth, bytes)| Step::Reserve(nth, bytes)),
        (nth.clone(), 0..6 * MB).prop_map(|(nth, bytes)| Step::Release(nth, bytes)),
        (nth.clone(), any::<bool>()).prop_map(|(nth, evictable)| Step::Evictable(nth, evictable)),
        (nth.clone(), 0..4_096_usize).prop_map(|(nth, bytes)| Step::Moved(nth, bytes)),
        nth.prop_map(Step::Close),
        (0..1_000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Guards against memory that is counted twice or forgotten, in any order of calls.
    #[test]
    fn accounts_never_exceed_the_capacity(steps in prop::collection::vec(step(), 1..200)) {
        let mut budget = Budget::new(CAPACITY);
        let mut accounts = Vec::new();
        let mut now = START;
        for step in steps {
            let account = |nth: usize| accounts.get(nth).copied();
            match step {
                Step::Open => accounts.push(budget.open(now)),
                Step::Reserve(nth, bytes) => {
                    if let Some(account) = account(nth) {
                        let _ = budget.reserve(account, bytes, now);
                    }
                }
                Step::Release(nth, bytes) => {
                    account(nth).into_iter().for_each(|account| budget.release(account, bytes));
                }
                Step::Evictable(nth, evictable) => account(nth)
                    .into_iter()
                    .for_each(|account| budget.set_evictable(account, evictable, now)),
                Step::Moved(nth, bytes) => account(nth)
                    .into_iter()
                    .for_each(|account| budget.record_moved(account, bytes, now)),
                Step::Close(nth) => {
                    if nth < accounts.len() {
                        budget.close(accounts.remove(nth));
                    }
                }
                Step::Wait(ms) => now = now + Duration::from_millis(ms),
            }
            prop_assert!(budget.used() <= CAPACITY);
        }
        accounts.into_iter().for_each(|account| budget.close(account));
        prop_assert_eq!(budget.used(), 0);
    }
}
