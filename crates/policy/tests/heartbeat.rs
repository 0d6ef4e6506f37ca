//! Heartbeats keep their interval while generations begin all the time.

use std::time::Duration;

use fireflyhoist_policy::heartbeat::{COALESCE_DELAY, INTERVAL, Recipients, Schedule};
use fireflyhoist_policy::time::Time;
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// An entry that begins a generation every 50 ms wakes its heartbeat loop each time. If that moved
/// the next regular heartbeat, it would never be sent: after 0.9 s of silence the leaves close
/// their links and read the registry themselves.
#[parameterized(
    idle = { 10_000 },
    some = { 140 },
    steady = { 50 },
    rush = { 3 },
)]
fn leaves_get_heartbeats_however_often_an_entry_sends(every_ms: u64) {
    let mut schedule = Schedule::open(at(0));
    let (mut now, mut sent) = (at(0), at(0));
    let mut received = vec![now];
    while now < at(3_000) {
        let wakeup = now + schedule.wait(now);
        // A send wakes the loop earlier, and sends that follow within the delay are coalesced.
        now = if sent < wakeup { sent.max(now) + COALESCE_DELAY } else { wakeup };
        while sent <= now {
            sent = sent + Duration::from_millis(every_ms);
        }
        if schedule.take_due(now) == Some(Recipients::All) {
            received.push(now);
        }
    }
    let longest = received.windows(2).map(|pair| pair[1].since(pair[0])).max();
    assert!(received.len() >= 8, "{} heartbeats in 3 s", received.len());
    assert!(longest <= Some(2 * (INTERVAL + COALESCE_DELAY)), "{longest:?}");
}

/// After a pause of seconds a process sends one heartbeat, not one for each that it missed.
#[test]
fn missed_heartbeats_are_not_caught_up() {
    let mut schedule = Schedule::open(at(0));
    assert!(schedule.take_due(at(5_000)).is_some());
    assert_eq!(schedule.take_due(at(5_010)), None);
    assert_eq!(schedule.wait(at(5_010)), INTERVAL - Duration::from_millis(10));
}

/// Guards against a leaf that wakes for heartbeats which it does not send: it wakes once for each,
/// and they are as far apart as those that it receives.
#[test]
fn a_leaf_wakes_for_its_heartbeats_only() {
    let (mut leaf, mut active) = (Schedule::open(at(0)), Schedule::open(at(0)));
    let (mut now, mut wakeups, mut sent) = (at(0), 0, 0);
    while now < at(30_000) {
        now = now + leaf.wait(now);
        wakeups += 1;
        sent += usize::from(leaf.take_due_as_leaf(now));
    }
    let (mut now, mut received) = (at(0), 0);
    while now < at(30_000) {
        now = now + active.wait(now);
        received += usize::from(active.take_due(now) == Some(Recipients::All));
    }
    assert_eq!(wakeups, sent);
    assert!(sent.abs_diff(received) <= 1, "{sent} sent, {received} received");
}
