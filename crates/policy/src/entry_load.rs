//! Which entries callers are told to use where some carry more than they can.
//!
//! Callers choose evenly among the entries that the directory lists, while hosts differ by a factor of
//! five in processor time. Each entry measures its [`Pressure`], the requests and the processor time
//! that it carries as a part of what its host can, and announces it to the others. A directory leaves
//! an entry out of some of its answers: the part of the answers grows while the entry is above
//! [`HIGH`] and shrinks while it is below [`LOW`]; in between it stays.
//!
//! All entries learn of a pressure at the same time, and callers keep an answer for one to three
//! seconds. If each answer left out every entry above a limit, all callers would leave such an entry
//! together and return together some seconds later. With a part of the answers that changes slowly,
//! the load settles between the two limits instead.
//!
//! An entry is left out only as long as others have room: where all of them together carry more than
//! the limits, these are raised, so that only entries well above the others are left out. An entry
//! that announces nothing is listed in every answer.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Time;

/// Pressure above which an entry is left out of more answers. A host at nine tenths of its processor
/// time forwards events late whenever several arrive together.
pub const HIGH: Pressure = Pressure(850);

/// Pressure below which an entry is left out of fewer answers. The distance to [`HIGH`] is more than a
/// directory changes in the time that it takes to see the effect.
pub const LOW: Pressure = Pressure(600);

/// Open requests that a host of one core carries. An open answer has an event every 30 to 40 ms, and
/// forwarding one takes some 50 microseconds, so that 600 answers take most of a core.
pub const OPEN_PER_CORE: f64 = 600.0;

/// Pressure above the mean of all entries from which one counts as overloaded where all are.
const MIN_EXCESS: f64 = 0.05;

/// Part of the answers by which one entry is left out more or less each second, where its pressure is
/// 1 or 0.
///
/// Callers see an answer for up to three seconds, and long answers end after some seven. With four
/// times as much, an entry with a third of the power that an even share needs is left out completely
/// before the effect is seen, and the load swings.
const RATE_PER_S: f64 = 0.05;

/// How far the trend of a pressure is extended. Long answers end some five seconds after their callers
/// have left; without it an entry that all callers have left already is left out still further, and
/// the load swings for a minute.
const LOOK_AHEAD: Duration = Duration::from_secs(5);

/// Time over which the trend of a pressure is taken.
const TREND_SPAN: Duration = Duration::from_secs(1);

/// The most that the rate is multiplied by where the pressure is far above the limit.
const MAX_URGENCY: f64 = 3.0;

/// Part of the answers below which an entry counts as listed again.
const MIN_PART: f64 = 0.02;

/// The most entries of which a leaf is told that they are left out; half of the actives of a large
/// fleet. It bounds the size of heartbeats.
pub const MAX_ANNOUNCED: usize = 16;

/// Time in which a change of the load shows in the measured pressure.
const SMOOTHING: Duration = Duration::from_secs(1);

/// The longest time between two updates that counts in full. After a longer one the process was
/// paused, and what was announced before is out of date.
const MAX_STEP: Duration = Duration::from_secs(1);

/// What an entry carries, as a part of what it can carry, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Pressure(u16);

impl Pressure {
    /// Returns the pressure of a part, rounded to thousandths.
    pub fn from_part(part: f64) -> Self {
        Self((part * 1e3).round().clamp(0.0, f64::from(u16::MAX)) as u16)
    }

    /// Returns it as a part of what the entry can carry.
    pub fn part(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

impl fmt::Display for Pressure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// A text that is not a pressure.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("pressure is not a number from 0 to 65.535; write it as a part, such as 0.850")]
pub struct PressureError;

impl FromStr for Pressure {
    type Err = PressureError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let part: f64 = text.parse().map_err(|_| PressureError)?;
        let valid = (0.0..=f64::from(u16::MAX) / 1e3).contains(&part);
        valid.then(|| Self::from_part(part)).ok_or(PressureError)
    }
}

/// What an entry carries at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Requests in progress.
    pub open: usize,
    /// Processor time that the process has used since its start; `None` if it is not known.
    pub processor: Option<Duration>,
    /// The power of the host in cores.
    pub power: f64,
}

/// Measures the pressure of one entry.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    previous: Option<(Time, Sample)>,
    open: f64,
    processor: f64,
}

impl Meter {
    /// Records what the entry carries.
    pub fn record(&mut self, now: Time, sample: Sample) {
        let Some((at, before)) = self.previous.replace((now, sample)) else { return };
        let span = now.since(at).as_secs_f64();
        if span <= 0.0 || sample.power <= 0.0 {
            return;
        }
        let weight = 1.0 - (-span / SMOOTHING.as_secs_f64()).exp();
        let open = sample.open as f64 / (OPEN_PER_CORE * sample.power);
        self.open += (open - self.open) * weight;
        let used = sample.processor.zip(before.processor);
        let used = used.map_or(0.0, |(now, before)| now.saturating_sub(before).as_secs_f64());
        self.processor += (used / span / sample.power - self.processor) * weight;
    }

    /// Returns the pressure as of the last sample.
    pub fn pressure(&self) -> Pressure {
        Pressure::from_part(self.open.max(self.processor))
    }
}

/// What a ready entry announces.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The entry.
    pub host: id::Host,
    /// The power of its host in cores.
    pub power: f64,
    /// Its pressure.
    pub pressure: Pressure,
}

/// The entries that a directory leaves out of answers, each with the part of the answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Exclusions(BTreeMap<id::Host, f64>);

impl Exclusions {
    /// Returns whether every entry is listed in all answers.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of entries that are left out of answers.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the [`MAX_ANNOUNCED`] entries with the largest parts, of which other entries are told.
    #[must_use]
    pub fn announced(&self) -> Self {
        let mut largest: Vec<(&id::Host, &f64)> = self.0.iter().collect();
        largest.sort_by(|a, b| b.1.total_cmp(a.1));
        let largest = largest.into_iter().take(MAX_ANNOUNCED);
        Self(largest.map(|(host, part)| (host.clone(), *part)).collect())
    }

    /// Removes the entries that one answer leaves out from those that may be listed; at most half of
    /// them.
    pub fn retain<T>(
        &self,
        rng: &mut impl Rng,
        ready: &mut Vec<T>,
        host: impl Fn(&T) -> &id::Host,
    ) {
        let mut left_out: Vec<(f64, usize)> = Vec::new();
        for (at, one) in ready.iter().enumerate().filter(|_| !self.is_empty()) {
            // A part that another entry announced may be any number, or none.
            if let Some(part) = self.0.get(host(one)).filter(|part| **part > 0.0)
                && rng.random_bool(part.min(1.0))
            {
                left_out.push((*part, at));
            }
        }
        // The bound keeps the entries that are nearest to what they can carry.
        left_out.sort_by(|a, b| b.0.total_cmp(&a.0));
        left_out.truncate(ready.len() / 2);
        let left_out: BTreeSet<usize> = left_out.into_iter().map(|(_, at)| at).collect();
        let mut at = 0;
        ready.retain(|_| {
            at += 1;
            !left_out.contains(&(at - 1))
        });
    }
}

/// An entry that has begun to be left out of answers, or is in all of them again.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The entry.
    pub host: id::Host,
    /// Its pressure; `None` if it announces none any more.
    pub pressure: Option<Pressure>,
    /// Whether it is left out of answers.
    pub left_out: bool,
}

/// The entries that one directory leaves out of a part of its answers.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    updated: Option<Time>,
    exclusions: Exclusions,
    /// The mean pressure of each entry in the last [`TREND_SPAN`] or so.
    means: BTreeMap<id::Host, f64>,
}

impl Selection {
    /// Applies what the ready entries announce, and returns what has changed, for the log.
    pub fn update(&mut self, now: Time, announced: &[Announcement]) -> Vec<Change> {
        let step = self.updated.map_or(Duration::ZERO, |at| now.since(at)).min(MAX_STEP);
        self.updated = Some(now);
        let power: f64 = announced.iter().map(|one| one.power).sum();
        let carried: f64 = announced.iter().map(|one| one.power * one.pressure.part()).sum();
        let mean = if power > 0.0 { carried / power } else { 0.0 };
        // Measured processor time does not exceed the power, so that a limit of 1 or more would never
        // be reached while others have room.
        let high = HIGH.part().max(mean + ((1.0 - mean) / 2.0).max(MIN_EXCESS));
        let low = high - (HIGH.part() - LOW.part());
        let weight = 1.0 - (-step.as_secs_f64() / TREND_SPAN.as_secs_f64()).exp();
        let mut means = BTreeMap::new();
        let mut parts = BTreeMap::new();
        let mut changes = Vec::new();
        for one in announced {
            let before = self.exclusions.0.remove(&one.host).unwrap_or_default();
            let pressure = one.pressure.part();
            let lately = self.means.remove(&one.host).unwrap_or(pressure);
            let lately = lately + (pressure - lately) * weight;
            let trend = (pressure - lately) / TREND_SPAN.as_secs_f64();
            let expected = pressure + trend * LOOK_AHEAD.as_secs_f64();
            means.insert(one.host.clone(), lately);
            let urgency = urgency(pressure, expected, (low, high));
            let part = (before + RATE_PER_S * urgency * step.as_secs_f64()).clamp(0.0, 1.0);
            // A part that shrinks below the minimum ends; one that begins to grow starts there.
            let part = match urgency > 0.0 {
                true => part.max(MIN_PART),
                false if part < MIN_PART => 0.0,
                false => part,
            };
            if (before > 0.0) != (part > 0.0) {
                let (host, pressure) = (one.host.clone(), Some(one.pressure));
                changes.push(Change { host, pressure, left_out: part > 0.0 });
            }
            if part > 0.0 {
                parts.insert(one.host.clone(), part);
            }
        }
        self.means = means;
        let gone = std::mem::replace(&mut self.exclusions.0, parts).into_keys();
        changes.extend(gone.map(|host| Change { host, pressure: None, left_out: false }));
        changes
    }

    /// Returns the entries that are left out of answers.
    pub fn exclusions(&self) -> &Exclusions {
        &self.exclusions
    }
}

/// Returns how fast the part of the answers grows (above 0) or shrinks (below 0), as a multiple of the
/// rate. It does not change where the pressure is expected between the limits without a change.
fn urgency(pressure: f64, expected: f64, (low, high): (f64, f64)) -> f64 {
    let (least, most) = (pressure.min(expected), pressure.max(expected));
    if least > high {
        ((least - high) / (1.0 - HIGH.part())).min(MAX_URGENCY)
    } else if most < low {
        (most - low) / low
    } else {
        0.0
    }
}
