//! When an entry tells the others what it holds.
//!
//! **Load pattern** (`steady sends`): an entry begins a generation every 50 to 100 ms for as long
//! as the day lasts. What was sent is told soon, or several entries fill the same room; and
//! heartbeats must keep their time meanwhile, or whoever hears nothing else takes the entry for
//! dead.
//!
//! **Without it.** A timer that is set anew after each send never runs out. On the larger of the
//! users' deployments the two strongest hosts of each failure domain begin some fifteen generations
//! a second each: the hosts that stand by, which are told only by the timer, closed their links
//! about once a second and read the registry instead, and 3,755 of the 4,127 calls of a day were
//! theirs. **With it** the timer has a time of its own that no send moves.

use std::time::Duration;

use crate::time::Time;

/// Time between heartbeats of actives. What is held at each engine is at most this old plus the
/// way, so that two entries rarely fill the same room; a prompt takes longer to be read.
pub const INTERVAL: Duration = Duration::from_millis(150);

/// How soon the others hear of a generation that was sent; those sent meanwhile go along.
///
/// The failure: within one heartbeat several entries fill the same room of an engine, which then
/// preempts what it began. A heartbeat of its own for each costs a few frames a second.
pub const COALESCE_DELAY: Duration = Duration::from_millis(15);

/// Heartbeats of actives for each one between an active and a leaf, which carries little traffic.
const LEAF_DIVISOR: u32 = 2;

/// Whom a heartbeat goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// The actives.
    Actives,
    /// The actives, and the leaves as well.
    All,
}

/// The times of one entry's heartbeats.
#[derive(Debug)]
pub struct Schedule {
    due: Time,
    count: u32,
}

impl Schedule {
    /// Begins with a heartbeat one [`INTERVAL`] from now.
    pub fn open(now: Time) -> Self {
        Self { due: now + INTERVAL, count: 0 }
    }

    /// How long no heartbeat is due.
    pub fn wait(&self, now: Time) -> Duration {
        self.due.since(now)
    }

    /// The heartbeat that is due now, if one is.
    ///
    /// After a pause of the process the next one is due a whole [`INTERVAL`] later: the ones that were
    /// missed would all say the same.
    pub fn take_due(&mut self, now: Time) -> Option<Recipients> {
        if now < self.due {
            return None;
        }
        self.due = now + INTERVAL;
        self.count = self.count.wrapping_add(1);
        Some(if self.count.is_multiple_of(LEAF_DIVISOR) {
            Recipients::All
        } else {
            Recipients::Actives
        })
    }
}
