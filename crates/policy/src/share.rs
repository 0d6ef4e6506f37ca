//! The part of an engine's free memory that one entry may use without asking the others.
//!
//! Several entries see the same old report, and each sends into the free memory that it shows.
//! Without shares that memory is filled once by each entry.
//!
//! The free memory in a report is divided by the number of entries in the *published* list, never
//! by the number that seem alive: both sides of a network partition divide by the same number, so
//! their shares together never exceed one. What an entry's own answers free is available to it
//! again at once, which keeps a full engine full however old its reports are. An entry that holds
//! more than its equal part gives up a little of what it frees to the others, so that holdings
//! converge in bounded steps.

use crate::time::Time;

/// Part of the difference by which a share grows in a second after the list has become shorter.
/// Entries that read the new list late divide by the old number for some seconds, and this growth
/// is slower than that; a share shrinks at once.
const GROWTH_PER_SECOND: f64 = 0.2;

/// Part of what its answers free that an entry above its equal part keeps. With a tenth given up,
/// holdings at an engine move half way to equal within about seven times the duration of an answer.
const RETAINED_ABOVE: f64 = 0.9;

/// Share of an engine's primary entry; the other entries divide the rest. With eight equal shares,
/// an eighth of the free memory of a nearly full engine is less than one answer needs, and that
/// memory stays free while all eight wait.
const PRIMARY: f64 = 0.5;

/// The share of one entry in one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    part: f64,
    published: f64,
    changed: Time,
}

impl Default for Share {
    fn default() -> Self {
        Self::open(1.0)
    }
}

/// Returns the share of entry `own` of `entries` in target `at` of the targets in order of their
/// names.
///
/// Over all entries of the list these sum to one for every target, regardless of what each entry
/// sees of the others. An entry that the list does not name gets the smallest share, since a list
/// that lags may name it a moment later.
pub fn part(at: usize, own: Option<usize>, entries: usize) -> f64 {
    let entries = entries.max(1);
    if entries == 1 {
        return 1.0;
    }
    match own == Some(at % entries) {
        true => PRIMARY,
        false => (1.0 - PRIMARY) / (entries - 1) as f64,
    }
}

impl Share {
    /// Creates a share that applies at once.
    pub fn open(part: f64) -> Self {
        Self { part, published: part, changed: Time::ZERO }
    }

    /// Sets the share of a new list. A smaller one applies at once; a larger one is approached in
    /// bounded steps.
    pub fn set(&mut self, now: Time, published: f64) {
        let part = self.get(now);
        *self = Self { part: part.min(published), published, changed: now };
    }

    /// Returns the present share, from 0 to 1.
    pub fn get(&self, now: Time) -> f64 {
        let passed = now.since(self.changed).as_secs_f64();
        let grown = self.part + (self.published - self.part) * GROWTH_PER_SECOND * passed;
        grown.min(self.published)
    }

    /// Returns the part of what its answers free that an entry keeps, if it holds `own` of `total`
    /// tokens.
    pub fn retained(&self, now: Time, own: f64, total: f64) -> f64 {
        if own > total * self.get(now) { RETAINED_ABOVE } else { 1.0 }
    }
}

/// What one entry may send to one engine, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Free memory as seen by this entry: that of the report, less what it sent since and plus what
    /// it freed since.
    pub free: f64,
    /// What the entry sent since the report was taken.
    pub sent: f64,
    /// What its answers freed since the report was taken.
    pub freed: f64,
    /// Its share of the engine, from 0 to 1.
    pub share: f64,
    /// The part of `freed` that it keeps, from 0 to 1.
    pub retained: f64,
}

impl Claim {
    /// Returns `share` of the memory that was free at the time of the report, plus what was freed
    /// since and is kept, less what was sent since.
    pub fn allowance(&self) -> f64 {
        let at_report = (self.free + self.sent - self.freed).max(0.0);
        let pool = at_report + (1.0 - self.retained) * self.freed;
        self.free - (1.0 - self.share) * pool
    }
}
