//! How much of an engine's free room one entry may take without asking the others.
//!
//! Load pattern: several entries see the same old report and each sends into the room that it
//! shows (`lag`, `burst`). Without shares that room is filled as many times as there are entries.
//!
//! The room that a report shows is divided by the entries of the *published* list, never by those
//! who seem alive: two halves of a partition divide by the same number, so their shares together
//! never pass one. What an entry's own answers free is its own again at once, which keeps a full
//! engine full however old reports are. An entry that holds more than its equal part gives a
//! little of each to the rest, so that holdings move towards equal in bounded steps.

use crate::time::Time;

/// How fast a share may grow after the list shrank. A list that is read late at some entries
/// leaves them dividing by the old number for some seconds; growing by a fifth of the difference
/// each second is slower than that, and shrinking is at once.
const GROWTH: f64 = 0.2;

/// What an entry above its equal part keeps of what its answers free. A tenth given up moves an
/// engine's holdings half way to equal within about seven answers' time.
const KEPT_ABOVE: f64 = 0.9;

/// The part of an engine that its first feeder has; the other entries divide the rest. With equal
/// parts an eighth of a nearly full engine's free room is less than one answer needs, and the room
/// stays free while all eight wait.
const FIRST: f64 = 0.5;

/// One entry's share of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    part: f64,
    wanted: f64,
    changed: Time,
}

impl Default for Share {
    fn default() -> Self {
        Self::open(1.0)
    }
}

/// The share of entry `own` of `entries` in target `at` of the targets in order of their names.
///
/// Over all entries these sum to one for every target, whatever each of them sees of the others.
/// An entry that the list doesn't name has none of its own; it is given the smallest share, since
/// a list that lags may name it a moment later.
pub fn part(at: usize, own: Option<usize>, entries: usize) -> f64 {
    let entries = entries.max(1);
    if entries == 1 {
        return 1.0;
    }
    match own == Some(at % entries) {
        true => FIRST,
        false => (1.0 - FIRST) / (entries - 1) as f64,
    }
}

impl Share {
    /// A share that is in force from the beginning.
    pub fn open(part: f64) -> Self {
        Self { part, wanted: part, changed: Time::ZERO }
    }

    /// Follows a new list: down at once, up in bounded steps.
    pub fn set(&mut self, now: Time, wanted: f64) {
        let part = self.get(now);
        *self = Self { part: part.min(wanted), wanted, changed: now };
    }

    /// The share now, from 0 to 1.
    pub fn get(&self, now: Time) -> f64 {
        let passed = now.since(self.changed).as_secs_f64();
        let grown = self.part + (self.wanted - self.part) * GROWTH * passed;
        grown.min(self.wanted)
    }

    /// What an entry that holds `own` of `total` keeps of what its answers free.
    pub fn kept(&self, now: Time, own: f64, total: f64) -> f64 {
        if own > total * self.get(now) { KEPT_ABOVE } else { 1.0 }
    }
}

/// What an entry may send to one engine beyond what it has sent since the report.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Free as this entry sees it now: the report, what it sent since and what it freed since.
    pub free: f64,
    /// What it sent since the report was taken.
    pub sent: f64,
    /// What its own answers freed since then.
    pub freed: f64,
    /// Its share.
    pub share: f64,
    /// What it keeps of what it freed.
    pub kept: f64,
}

impl Claim {
    /// `share` of the room at the report's time, plus what was freed and kept, less what was sent.
    pub fn allowance(&self) -> f64 {
        let at_report = (self.free + self.sent - self.freed).max(0.0);
        let pool = at_report + (1.0 - self.kept) * self.freed;
        self.free - (1.0 - self.share) * pool
    }
}
