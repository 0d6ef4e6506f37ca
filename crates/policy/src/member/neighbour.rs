//! One neighbour: when it was heard, when to beat, when to ask after it and when to suspect it.

use std::time::Duration;

use crate::member::{PROBE_TIMEOUT, SILENCE_TIMEOUT};
use crate::time::Time;

/// How long tables may differ before one is asked for: news in flight needs no repair.
const SYNC_DELAY: Duration = Duration::from_secs(3);

/// Between two repairs of a difference that persists, so that a lasting one stays cheap.
const SYNC_INTERVAL: Duration = Duration::from_secs(20);

/// What to do about a neighbour's silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Nothing.
    Healthy,
    /// Ask others after it.
    Probe,
    /// Nobody reached it.
    Suspect,
}

/// One neighbour.
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

    /// Another member reached it: it has the time of one silence to be heard over a new link.
    pub(crate) fn confirmed_alive(&mut self, now: Time) {
        self.received(now);
    }

    /// Silence counts from now on only.
    pub(crate) fn reset_timers(&mut self, now: Time) {
        self.received(now);
        self.last_sent = None;
    }

    /// Its link broke: as good as a silence.
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

    /// The next flush need not wait for the heartbeat.
    pub(crate) fn request_flush(&mut self) {
        self.flush_requested = true;
    }

    /// The next poll sends, whatever was sent just before.
    pub(crate) fn send_immediately(&mut self) {
        self.last_sent = None;
    }

    /// Whether to send now, with `pending` news to tell.
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

    /// Whether to ask for its table, given that the two differ or not; `at_once` for a process that
    /// knows nobody.
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
