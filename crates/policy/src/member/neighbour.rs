//! One neighbour: when it was heard, when to beat, when to ask after it and when to suspect it.

use std::time::Duration;

use crate::member::{PROBE, SILENCE};
use crate::time::Time;

/// How long tables may differ before one is asked for: news in flight needs no repair.
const DIFFERENCE: Duration = Duration::from_secs(3);

/// Between two repairs of a difference that persists, so that a lasting one stays cheap.
const REPAIR: Duration = Duration::from_secs(20);

/// What to do about a neighbour's silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing.
    Fine,
    /// Ask others after it.
    Ask,
    /// Nobody reached it.
    Suspect,
}

/// One neighbour.
#[derive(Clone, Debug)]
pub(crate) struct Neighbour {
    heard: Time,
    asked: Option<Time>,
    beaten: Option<Time>,
    flushed: bool,
    differs: Option<Time>,
    repaired: Option<Time>,
    broken: bool,
}

impl Neighbour {
    pub(crate) fn open(now: Time) -> Self {
        Self {
            heard: now,
            asked: None,
            beaten: None,
            flushed: false,
            differs: None,
            repaired: None,
            broken: false,
        }
    }

    pub(crate) fn heard(&mut self, now: Time) {
        self.heard = now;
        self.asked = None;
        self.broken = false;
    }

    /// Another member reached it: it has the time of one silence to be heard over a new link.
    pub(crate) fn vouched(&mut self, now: Time) {
        self.heard(now);
    }

    /// Silence counts from now on only.
    pub(crate) fn forgive(&mut self, now: Time) {
        self.heard(now);
        self.beaten = None;
    }

    /// Its link broke: as good as a silence.
    pub(crate) fn doubted(&mut self, now: Time) {
        self.broken = true;
        if self.asked.is_none() {
            self.heard = self.heard.min(now - SILENCE);
        }
    }

    pub(crate) fn is_broken(&self) -> bool {
        self.broken
    }

    pub(crate) fn verdict(&mut self, now: Time) -> Verdict {
        match self.asked {
            None if now.since(self.heard) >= SILENCE => {
                self.asked = Some(now);
                Verdict::Ask
            }
            Some(asked) if now.since(asked) >= PROBE => Verdict::Suspect,
            _ => Verdict::Fine,
        }
    }

    /// The next flush need not wait for the heartbeat.
    pub(crate) fn hasten(&mut self) {
        self.flushed = true;
    }

    /// The next poll sends, whatever was sent just before.
    pub(crate) fn hurry(&mut self) {
        self.beaten = None;
    }

    /// Whether to send now, with `pending` news to tell.
    pub(crate) fn take_due(
        &mut self,
        now: Time,
        pending: bool,
        heartbeat: Duration,
        flush: Duration,
    ) -> bool {
        let wait = if pending || self.flushed { flush } else { heartbeat };
        let due = self.beaten.is_none_or(|beaten| now.since(beaten) >= wait);
        if due {
            self.beaten = Some(now);
            self.flushed = false;
        }
        due
    }

    /// Whether to ask for its table, given that the two differ or not; `at_once` for a process that
    /// knows nobody.
    pub(crate) fn compare(&mut self, now: Time, differs: bool, at_once: bool) -> bool {
        if !differs {
            self.differs = None;
            return false;
        }
        let since = *self.differs.get_or_insert(now);
        let lasting = at_once || now.since(since) >= DIFFERENCE;
        let spared = self.repaired.is_some_and(|repaired| now.since(repaired) < REPAIR);
        if !lasting || spared {
            return false;
        }
        self.repaired = Some(now);
        true
    }
}
