//! Pattern `steady sends`: heartbeats keep their time while generations begin all the while.

use std::time::Duration;

use fireflyhoist_policy::heartbeat::{COALESCE_DELAY, INTERVAL, Recipients, Schedule};
use fireflyhoist_policy::time::Time;
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// An entry begins a generation every 50 ms. Each wakes the heartbeats; where that moves the next
/// ordinary one, it never comes, the hosts that stand by hear nothing for 0.9 s, close their links
/// and ask the registry themselves.
#[parameterized(
    idle = { 10_000 },
    some = { 140 },
    steady = { 50 },
    rush = { 3 },
)]
fn leaves_hear_an_entry_however_often_it_sends(every_ms: u64) {
    let mut schedule = Schedule::open(at(0));
    let (mut now, mut sent) = (at(0), at(0));
    let mut received = vec![now];
    while now < at(3_000) {
        let wakeup = now + schedule.wait(now);
        // A send wakes earlier, and those of the next moment are waited for.
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

/// A process that was paused for seconds owes one heartbeat, not one for each that it missed.
#[test]
fn a_pause_is_not_made_up_for() {
    let mut schedule = Schedule::open(at(0));
    assert!(schedule.take_due(at(5_000)).is_some());
    assert_eq!(schedule.take_due(at(5_010)), None);
    assert_eq!(schedule.wait(at(5_010)), INTERVAL - Duration::from_millis(10));
}
