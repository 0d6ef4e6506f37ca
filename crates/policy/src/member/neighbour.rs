//! The state of one neighbour: when a heartbeat is due, when to probe it, when to suspect it and
//! when to request its table.

use std::time::Duration;

use crate::member::{PROBE_TIMEOUT, SILENCE_TIMEOUT};
use crate::time::Time;

/// How long two tables may differ before a sync is requested: updates in flight need no sync.
const SYNC_DELAY: Duration = Duration::from_secs(3);

/// The shortest time between two syncs with one neighbour, so that a lasting difference costs
/// little.
const SYNC_INTERVAL: Duration = Duration::from_secs(20);

/// The result of a check for silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Nothing is to be done.
    Healthy,
    /// The neighbour is silent and is to be probed through other members.
    Probe,
    /// No probe has reached the neighbour in time.
    Suspect,
}

/// The state of one neighbour.
#[derive(Clone, Debug)]
pub(crate) struct Neighbour {
    last_received: Time,
    probed_at: Option<Time>,
    last_sent: Option<Time>,
    flush_requested: bool,
    differs_since: Option<Time>,
    last_sync: Option<Time>,
    unreachable: bool,
}

impl Neighbour {
    pub(crate) fn open(now: Time) -> Self {
        Self {
            last_received: now,
            probed_at: None,
            last_sent: None,
            flush_requested: false,
            differs_since: None,
            last_sync: None,
            unreachable: false,
        }
    }

    pub(crate) fn received(&mut self, now: Time) {
        self.last_received = now;
        self.probed_at = None;
        self.unreachable = false;
    }

    /// Handles a report that another member reached the neighbour. It has [`SILENCE_TIMEOUT`] to
    /// send a message over a new link.
    pub(crate) fn confirmed_alive(&mut self, now: Time) {
        self.received(now);
    }

    /// Restarts the timeout for silence, and makes a heartbeat due.
    pub(crate) fn reset_timers(&mut self, now: Time) {
        self.received(now);
        self.last_sent = None;
    }

    /// Handles a failed link, which counts as if the neighbour had been silent for
    /// [`SILENCE_TIMEOUT`].
    pub(crate) fn link_failed(&mut self, now: Time) {
        self.unreachable = true;
        if self.probed_at.is_none() {
            self.last_received = self.last_received.min(now - SILENCE_TIMEOUT);
        }
    }

    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    pub(crate) fn check(&mut self, now: Time) -> Health {
        match self.probed_at {
            None if now.since(self.last_received) >= SILENCE_TIMEOUT => {
                self.probed_at = Some(now);
                Health::Probe
            }
            Some(probed_at) if now.since(probed_at) >= PROBE_TIMEOUT => Health::Suspect,
            _ => Health::Healthy,
        }
    }

    /// Makes the next frame due after the flush interval instead of the heartbeat interval.
    pub(crate) fn request_flush(&mut self) {
        self.flush_requested = true;
    }

    /// Makes a frame due at the next poll, however recently the last one was sent.
    pub(crate) fn send_immediately(&mut self) {
        self.last_sent = None;
    }

    /// Returns whether to send a frame now; `pending` says whether updates are queued. A frame that
    /// is due counts as sent.
    pub(crate) fn take_due(
        &mut self,
        now: Time,
        pending: bool,
        heartbeat: Duration,
        flush: Duration,
    ) -> bool {
        let wait = if pending || self.flush_requested { flush } else { heartbeat };
        let due = self.last_sent.is_none_or(|last_sent| now.since(last_sent) >= wait);
        if due {
            self.last_sent = Some(now);
            self.flush_requested = false;
        }
        due
    }

    /// Returns whether to request the neighbour's table. `differs` says whether the two tables
    /// differ; `at_once` skips the delay for a process that knows no other member.
    pub(crate) fn should_sync(&mut self, now: Time, differs: bool, at_once: bool) -> bool {
        if !differs {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let lasting = at_once || now.since(since) >= SYNC_DELAY;
        let recent = self.last_sync.is_some_and(|last_sync| now.since(last_sync) < SYNC_INTERVAL);
        if !lasting || recent {
            return false;
        }
        self.last_sync = Some(now);
        true
    }
}
