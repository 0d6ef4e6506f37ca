//! How requests around planned work ended.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;
use smol_str::SmolStr;

use super::{Manner, Record, Rolled, Stop};
use crate::ledger::IN_FORCE;

/// How long after its last byte a whole request counts as read by its entry.
const READ: Duration = Duration::from_millis(200);

/// How long after its entry a caller may see that an answer has ended, and that the next request on
/// the connection is served.
const SEEN: Duration = Duration::from_millis(100);

/// How a request ended.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) enum Outcome {
    /// With a whole answer of success.
    #[display("whole")]
    Whole,
    /// With a status that says that it did not run.
    #[display("refused {_0}")]
    Refused(SmolStr),
    /// With another failure.
    #[display("{_0} {_1}")]
    Failed(u16, SmolStr),
    /// Without a complete answer, although its entry had read it.
    #[display("cut")]
    Cut,
    /// The same, when the answer that began before a drain was longer than it.
    #[display("longer than the drain")]
    Longer,
    /// The same, at the timeout of its route.
    #[display("at its timeout")]
    TimedOut,
    /// Without having been read.
    #[display("unread")]
    Unread,
    /// Nothing ended it in time.
    #[display("hung")]
    Hung,
}

impl Record {
    /// Returns how a request ended.
    pub(crate) fn outcome(&self, rolled: &Rolled) -> Outcome {
        let Rolled { sent, to, unread, status, whole, hung, ref request, .. } = *rolled;
        let reason = || rolled.refusal.as_ref().map_or("none".into(), |one| one.reason.clone());
        match status {
            Some(200) if whole => return Outcome::Whole,
            Some(408 | 421 | 429 | 503) if whole => return Outcome::Refused(reason()),
            Some(status) if whole => return Outcome::Failed(status, reason()),
            _ if hung => return Outcome::Hung,
            _ => {}
        }
        let read = sent.is_some_and(|sent| !unread && to > sent + READ);
        match status.is_some() || self.reached.contains(request) || read {
            true if self.is_longer(rolled) => Outcome::Longer,
            true if self.is_at_timeout(rolled) => Outcome::TimedOut,
            true => Outcome::Cut,
            false => Outcome::Unread,
        }
    }

    /// Whether an answer began before its entry was stopped, and its target worked on it until the
    /// last sixth of the grace period or longer.
    fn is_longer(&self, rolled: &Rolled) -> bool {
        let late = |stop: &Stop| stop.from + self.grace.mul_f64(5.0 / 6.0);
        let is_longer = |stop: &Stop| {
            let works = self.finished.get(&rolled.request).is_none_or(|at| *at >= late(stop));
            rolled.from < stop.from && rolled.to >= late(stop) && works
        };
        self.stop(rolled).is_some_and(is_longer)
    }

    /// Whether a request had taken as long as the text allowed under which it was accepted: the last
    /// one that was published before it, or one that was not yet in force at each entry.
    pub(crate) fn is_at_timeout(&self, rolled: &Rolled) -> bool {
        let accepted = rolled.sent.unwrap_or(rolled.from).max(rolled.from);
        let newest = self.timeouts.iter().rposition(|(at, _)| *at + IN_FORCE <= rolled.from);
        let may_hold = &self.timeouts[newest.unwrap_or(0)..];
        let may_hold = may_hold.iter().filter(|(at, _)| *at <= accepted);
        let shortest = may_hold.map(|(_, timeout)| *timeout).min();
        let early = if rolled.manner == Manner::Pipelined { SEEN } else { Duration::ZERO };
        shortest.is_some_and(|timeout| rolled.to + early >= rolled.from + timeout)
    }

    /// Returns the stop of a request's entry that falls in it.
    pub(crate) fn stop(&self, rolled: &Rolled) -> Option<&Stop> {
        let falls = |stop: &&Stop| {
            stop.entry == rolled.entry && stop.from <= rolled.to && rolled.from <= stop.ended
        };
        self.stops.iter().find(falls)
    }
}

/// Requests by kind and outcome.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    grace: Duration,
    delay: Duration,
    kinds: BTreeMap<String, BTreeMap<Outcome, usize>>,
}

impl Counts {
    /// Counts the requests of a run.
    pub(crate) fn of(record: &Record) -> Self {
        let Record { grace, delay, .. } = *record;
        let mut counts = Self { grace, delay, kinds: BTreeMap::new() };
        for rolled in &record.requests {
            let kind = format!("{:?}, {}", rolled.kind, rolled.manner);
            let drain = if record.stop(rolled).is_some() { " in a drain" } else { "" };
            let of_kind = counts.kinds.entry(format!("{kind}{drain}")).or_default();
            *of_kind.entry(record.outcome(rolled)).or_default() += 1;
        }
        counts
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (grace, delay) = (self.grace.as_secs(), self.delay.as_millis());
        write!(f, ", {grace} s to drain, own timers {delay} ms late at most")?;
        for (kind, outcomes) in &self.kinds {
            write!(f, "\n  {kind}:")?;
            for (nth, (outcome, count)) in outcomes.iter().enumerate() {
                write!(f, "{} {count} {outcome}", if nth == 0 { "" } else { "," })?;
            }
        }
        Ok(())
    }
}
