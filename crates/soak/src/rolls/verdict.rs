//! What is promised around planned work.

use std::time::Duration;

use super::counts::Outcome;
use super::plan::REFERENCE;
use super::{Record, Rolled, Stop};
use crate::ledger::{Kind, Violation};
use crate::plan::LEAD;

/// The part of what is served without planned work that must be served around it: as much as must be
/// served once all faults are over.
const SERVED: f64 = 0.95;

/// Requests that are enough for a comparison.
const COMPARED: usize = 50;

/// From the end of a process until the one in its place owes service.
const RESTART: Duration = Duration::from_millis(2_300);

/// How late a process may be seen to have ended.
const SEEN_ENDED: Duration = Duration::from_millis(250);

/// Returns what was broken in a run with planned work, of which the last began before `end`.
pub(crate) fn violations(record: &Record, end: Duration) -> Vec<Violation> {
    let mut broken = Vec::new();
    record.requests.iter().for_each(|rolled| check(record, rolled, &mut broken));
    for Stop { entry, from, ended } in &record.stops {
        if *ended > *from + record.grace + SEEN_ENDED {
            let evidence = format!("entry {entry} ended {:?} after its SIGTERM", *ended - *from);
            let promise = "a process ends in its grace period";
            broken.push(Violation { promise, at: *ended, evidence });
        }
    }
    compare(record, end, &mut broken);
    broken
}

fn check(record: &Record, rolled: &Rolled, broken: &mut Vec<Violation>) {
    let outcome = record.outcome(rolled);
    let stop = record.stop(rolled);
    let reached = record.reached.contains(&rolled.request);
    let mut note = |promise| {
        let Rolled { request, kind, manner, entry, from, sent, to, status, length, .. } = rolled;
        let spans = [("sent", *sent), ("ended", Some(*to))].map(|(what, at)| match (stop, at) {
            (_, None) => format!("never {what}"),
            (None, Some(at)) => {
                format!("{what} {:.3} s after it began", (at - *from).as_secs_f64())
            }
            (Some(stop), Some(at)) => {
                let after = at.as_secs_f64() - stop.from.as_secs_f64();
                format!("{what} {after:.3} s after SIGTERM")
            }
        });
        let finished = record.finished.get(request).map(Duration::as_secs_f64);
        let evidence = format!(
            "{request} ({kind:?}, {manner}, entry {entry}): {outcome}, status {status:?}, {length} \
             bytes, {}, at a target: {reached}, complete there at {finished:?}",
            spans.join(", "),
        );
        broken.push(Violation { promise, at: *from, evidence });
    };
    if matches!(outcome, Outcome::Cut | Outcome::Hung) {
        note("what an entry read ends whole or is refused");
    }
    if reached && rolled.refusal.as_ref().is_some_and(|refusal| refusal.not_run) {
        note("what is refused as not run reached no target");
    }
    let soon = !record.is_at_timeout(rolled);
    let ends_with_process = record.stops.iter().any(|stop| {
        stop.entry == rolled.entry && stop.from <= rolled.to && rolled.opened <= stop.ended
    });
    if !ends_with_process && !rolled.unread && outcome == Outcome::Unread {
        note("an entry that is not stopped closes no connection in use");
    }
    let failed = matches!(outcome, Outcome::Failed(502, _));
    if stop.is_none() && (failed || soon && matches!(outcome, Outcome::Failed(504, _))) {
        note("a stall ends no answer");
    }
}

/// Requests, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    asked: usize,
    served: usize,
}

impl Share {
    /// Counts requests that were read.
    fn of(record: &Record, is_counted: impl Fn(&Rolled) -> bool) -> Self {
        let mut share = Self::default();
        for rolled in record.requests.iter().filter(|rolled| is_counted(rolled)) {
            let outcome = record.outcome(rolled);
            share.asked += usize::from(outcome != Outcome::Unread);
            share.served += usize::from(outcome == Outcome::Whole);
        }
        share
    }

    fn get(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// Compares what is served around planned work with what is before it: all requests at entries that are
/// not stopped, and lookups in the first half of a drain, which end in it whatever their targets do.
fn compare(record: &Record, end: Duration, broken: &mut Vec<Violation>) {
    let begins = LEAD + REFERENCE;
    let is_before = |rolled: &Rolled| rolled.from >= LEAD && rolled.to < begins;
    let is_lookup = |rolled: &Rolled| matches!(rolled.kind, Kind::Safe | Kind::Unsafe);
    let stops = |rolled: &Rolled| {
        let own = record.stops.iter().filter(|stop| stop.entry == rolled.entry);
        let falls = |stop: &&Stop| stop.from <= rolled.to && rolled.from <= stop.ended + RESTART;
        own.filter(falls).copied().collect::<Vec<_>>()
    };
    let is_beside =
        |rolled: &Rolled| rolled.from >= begins && rolled.from < end && stops(rolled).is_empty();
    let in_first_half = |rolled: &Rolled| {
        let is_early =
            |stop: &Stop| rolled.from >= stop.from && rolled.from < stop.from + record.grace / 2;
        is_lookup(rolled) && stops(rolled).iter().any(is_early)
    };
    let shares = [
        (
            "as much is served beside planned work",
            Share::of(record, is_before),
            Share::of(record, is_beside),
        ),
        (
            "as many lookups are served in a drain",
            Share::of(record, |rolled| is_before(rolled) && is_lookup(rolled)),
            Share::of(record, in_first_half),
        ),
    ];
    for (promise, before, around) in shares {
        let enough = before.asked >= COMPARED && around.asked >= COMPARED;
        if enough && around.get() < SERVED * before.get() {
            let evidence = format!(
                "{} of {}, before {} of {}",
                around.served, around.asked, before.served, before.asked
            );
            broken.push(Violation { promise, at: begins, evidence });
        }
    }
}
