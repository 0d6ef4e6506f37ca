//! When an entry sends heartbeats, which carry what it has in flight at each engine.
//!
//! An entry may begin a generation every 50 to 100 ms for a whole day. The others must learn of it
//! soon, or several entries fill the same free capacity of an engine; meanwhile regular heartbeats
//! must keep their interval, or entries that receive nothing else consider the sender dead.
//!
//! A timer that is reset by each send never expires. In a large fleet, the two strongest hosts of
//! each failure domain begin some fifteen generations a second each. With such a timer the leaves,
//! which receive only regular heartbeats, closed their links about once a second and read the
//! registry instead, which caused 3,755 of the 4,127 registry calls of a day.
//! The schedule is therefore independent of sends.

use std::time::Duration;

use crate::time::Time;

/// The time between two heartbeats to actives. What an entry knows of another's in-flight requests
/// is at most this old plus the network delay, so that two entries rarely fill the same capacity; a
/// prompt takes longer to be prefilled.
pub const INTERVAL: Duration = Duration::from_millis(150);

/// The delay before the others are notified of a generation that was sent; generations sent during
/// it share the notification.
///
/// Within one heartbeat interval several entries would fill the same free capacity of an engine,
/// which then preempts what it has begun. Extra heartbeats for these notifications cost a few
/// frames a second.
pub const COALESCE_DELAY: Duration = Duration::from_millis(15);

/// Every how many heartbeats the leaves get one too; the links between actives and leaves carry
/// little traffic.
const LEAF_DIVISOR: u32 = 2;

/// The recipients of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All linked actives.
    Actives,
    /// All linked actives and leaves.
    All,
}

/// The schedule of one entry's heartbeats.
#[derive(Debug)]
pub struct Schedule {
    due: Time,
    count: u32,
}

impl Schedule {
    /// Creates a schedule whose first heartbeat is due one [`INTERVAL`] after `now`.
    pub fn open(now: Time) -> Self {
        Self { due: now + INTERVAL, count: 0 }
    }

    /// Returns the time until the next heartbeat is due.
    pub fn wait(&self, now: Time) -> Duration {
        self.due.since(now)
    }

    /// Returns the recipients of the heartbeat that is due, or `None` if none is due.
    ///
    /// After a pause of the process one heartbeat is due, and the next one a whole [`INTERVAL`]
    /// later: the missed ones would all carry the same state.
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

    /// Returns whether a heartbeat of a leaf is due. A leaf sends heartbeats as rarely as it
    /// receives them, and has no reason to wake in between.
    pub fn take_due_as_leaf(&mut self, now: Time) -> bool {
        let due = now >= self.due;
        if due {
            self.due = now + INTERVAL * LEAF_DIVISOR;
        }
        due
    }
}
