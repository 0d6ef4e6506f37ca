//! The pace of targets, which is their time per token, and how long a prompt interrupts the answers
//! that run there.
//!
//! Engines of one service can differ by a factor of two, and one may be slower for some tenths of a
//! second. An answer is on time only if no pause in it is longer than its route allows. While an
//! engine computes a prompt each of its steps takes about twice as long, so that a prompt at a slow
//! engine can make every answer there late, and one at a fast engine makes none late.
//!
//! [`Usual`] holds what is usual for a service, [`Estimate`] what is known of one target. Both learn
//! from the time between the events of running answers. Entries announce [`Figures`] to each other,
//! since one entry has few answers at a target.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Intervals of a target that are kept; their median is its pace as this entry sees it.
const SAMPLES: usize = 24;

/// Intervals from which on the pace of a target is good enough to detect a slowdown.
const MIN_SAMPLES: f64 = 3.0;

/// Intervals of the service below which nothing is predicted.
const MIN_USUAL_SAMPLES: u32 = 32;

/// Targets whose median is usual, at least.
const MIN_TARGETS: usize = 3;

/// Intervals without prompts with which one with prompts is compared, at least.
const MIN_DECODE_SAMPLES: usize = 4;

/// Intervals with which the usual pace counts in the estimate of a target.
const PRIOR_SAMPLES: f64 = 2.0;

/// Interval above which a target is in a slowdown, as a multiple of its pace.
const SLOWDOWN_FACTOR: f64 = 1.6;

/// How long a target is in a slowdown after an interval that showed it.
const SLOWDOWN: Duration = Duration::from_millis(250);

/// How long the announcement of a slowdown holds, which covers some heartbeats.
const ANNOUNCED_SLOWDOWN: Duration = Duration::from_millis(400);

/// Time constants at which own intervals and announced figures lose their weight. The figures of a
/// silent link are old after seconds. Own intervals describe a target until it is replaced.
const OWN_DECAY: Duration = Duration::from_secs(20);
const ANNOUNCED_DECAY: Duration = Duration::from_secs(4);

/// How long a target is announced after the last interval at it.
pub(crate) const RECENT: Duration = Duration::from_secs(5);

/// Observed paces are taken as at most this many times longer or shorter than the usual one.
const MAX_RATIO: f64 = 4.0;

/// Ratio of the times per token with and without a prompt until enough intervals are known, and its
/// bounds.
const DEFAULT_PREFILL_RATIO: f64 = 2.0;
const PREFILL_RATIO: (f64, f64) = (1.0, 6.0);

/// Quantile of the ratio of interval to pace that predictions use, and the bounds of the spread. An
/// interval longer than four times its pace is a migration or a preemption.
const SPREAD_QUANTILE: f64 = 0.98;
const SPREAD: (f64, f64) = (1.0, 4.0);

/// Longest interval per token that is recorded; a longer one is a fault of the path.
const MAX_INTERVAL_S: f64 = 1.0;

/// Smallest and largest step of a running quantile, as a fraction of its value.
const STEP: (f64, f64) = (0.02, 0.25);

/// Ratio of the slowest to the fastest pace from which on targets are uneven. Batches of different
/// sizes alone make engines differ by a factor of 1.2 to 1.4.
pub(crate) const UNEVEN_RATIO: f64 = 1.5;

/// Part of the longest pause above which a predicted pause puts answers at risk.
const RISK_FRACTION: f64 = 0.6;

/// How many times an answer counts during a slowdown.
const SLOWDOWN_RISK: u32 = 4;

/// Whether prompts were computed at a target between two events of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regime {
    /// It only generated tokens.
    Decode,
    /// It also computed prompts.
    Prefill,
    /// Prompts waited during a part of the interval only.
    Mixed,
}

impl Regime {
    /// Returns the regime of an interval, given whether prompts waited at its begin and at its end.
    pub fn between(at_begin: bool, at_end: bool) -> Self {
        match (at_begin, at_end) {
            (true, true) => Self::Prefill,
            (false, false) => Self::Decode,
            _ => Self::Mixed,
        }
    }
}

/// A running quantile by stochastic approximation: it moves by a fraction of its value with each
/// sample, so that it follows changes and one sample has little influence.
#[derive(Clone, Copy, Debug, Default)]
struct Quantile {
    value: f64,
    count: u32,
}

impl Quantile {
    fn record(&mut self, sample: f64, quantile: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.value = sample;
            return;
        }
        let step = (1.0 / f64::from(self.count)).clamp(STEP.0, STEP.1);
        let direction = if sample > self.value { quantile } else { quantile - 1.0 };
        self.value *= 1.0 + step * direction;
    }
}

/// What is usual for the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Usual {
    /// Time per token of all intervals without prompts.
    decode: Quantile,
    /// Median of the paces of targets.
    targets: Option<f64>,
    /// Intervals with prompts, as multiples of those without at the same target.
    prefill: Quantile,
    spread: Quantile,
}

impl Usual {
    /// Returns the median time per token in seconds while no prompt is computed; `None` until enough
    /// intervals are known.
    ///
    /// It is the median of the targets rather than of the intervals where some targets are known:
    /// fast targets yield more intervals, and the median of intervals alternates between the paces
    /// of two groups of targets.
    pub fn pace(&self) -> Option<f64> {
        (self.decode.count >= MIN_USUAL_SAMPLES).then(|| self.targets.unwrap_or(self.decode.value))
    }

    /// Sets the observed paces of targets, whose median is usual.
    pub fn set_targets(&mut self, mut paces: Vec<f64>) {
        if paces.len() < MIN_TARGETS {
            return;
        }
        let middle = paces.len() / 2;
        self.targets = Some(*paces.select_nth_unstable_by(middle, f64::total_cmp).1);
    }

    /// Returns how many times as long a token takes while a prompt is computed.
    pub fn prefill_ratio(&self) -> f64 {
        if self.prefill.count < MIN_USUAL_SAMPLES {
            return DEFAULT_PREFILL_RATIO;
        }
        self.prefill.value.clamp(PREFILL_RATIO.0, PREFILL_RATIO.1)
    }

    /// Returns how many times its pace an interval can take.
    pub fn spread(&self) -> f64 {
        self.spread.value.clamp(SPREAD.0, SPREAD.1)
    }

    /// Returns the pause in the answers of a target of this pace while a prompt is computed there,
    /// where an event holds `tokens` tokens.
    pub fn pause(&self, pace: f64, tokens: u32) -> Duration {
        let pause = f64::from(tokens) * pace * self.prefill_ratio() * self.spread();
        Duration::try_from_secs_f64(pause).unwrap_or(Duration::MAX)
    }
}

/// What one or several entries observe at a target.
///
/// Figures of several entries add, and what one entry contributes to the count is bounded by the
/// number of intervals that it keeps. Field names are short in frames, since heartbeats carry figures
/// of each target in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Figures {
    /// Sum of the observed times per token without prompts, in microseconds, each weighted with its
    /// number of intervals.
    #[serde(rename = "s")]
    pub sum: u64,
    /// Number of intervals.
    #[serde(rename = "n")]
    pub count: u32,
    /// Number of entries that see the target in a slowdown.
    #[serde(rename = "d")]
    pub slowed: u32,
    /// Running answers that are still on time and can be interrupted.
    #[serde(rename = "i")]
    pub interruptible: u32,
}

impl Figures {
    /// Adds the figures of another entry on the same target.
    pub fn add(&mut self, other: &Self) {
        self.sum = self.sum.saturating_add(other.sum);
        self.count = self.count.saturating_add(other.count);
        self.slowed = self.slowed.saturating_add(other.slowed);
        self.interruptible = self.interruptible.saturating_add(other.interruptible);
    }

    /// Returns whether nothing is known or running.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the mean time per token in microseconds; `None` without intervals.
    pub fn mean(&self) -> Option<u64> {
        self.sum.checked_div(u64::from(self.count))
    }

    /// Replaces the sum so that the mean is the weighted median of the means of several entries,
    /// which have been added up here: one entry with wrong figures among three changes little. Of
    /// two equal halves the shorter time counts.
    pub(crate) fn set_median<'a>(&mut self, entries: impl Iterator<Item = &'a Self>) {
        let mut means: Vec<(u64, u32)> =
            entries.filter_map(|entry| Some((entry.mean()?, entry.count))).collect();
        if means.len() < 2 {
            return;
        }
        means.sort_unstable();
        let total: u64 = means.iter().map(|(_, count)| u64::from(*count)).sum();
        let mut below = 0;
        for (mean, count) in means {
            below += u64::from(count);
            if below * 2 >= total {
                self.sum = mean.saturating_mul(u64::from(self.count));
                return;
            }
        }
    }
}

/// What the latest event of an answer showed about its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sighting {
    /// The pause before it was longer than the route allows.
    pub long_pause: bool,
    /// A slowdown began or ended, which other entries should learn soon.
    pub slowdown_changed: bool,
}

/// What is known of the pace of one target.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// Recent own intervals per token in seconds, scaled to [`Regime::Decode`], and whether they
    /// were observed in it.
    intervals: VecDeque<(f64, bool)>,
    /// Their median.
    median: f64,
    /// Median of those that were observed without prompts; `None` while they are few.
    decode_median: Option<f64>,
    observed_at: Time,
    slowed_until: Time,
    /// Whether this entry announces a slowdown.
    is_slowed: bool,
    others: Figures,
    /// When the figures of other entries changed last; `None` before the first change.
    others_at: Option<Time>,
    others_slowed_until: Time,
    /// Own running answers that are on time and can be interrupted.
    interruptible: u32,
}

impl Estimate {
    /// Records an own interval per token; returns whether this entry's view of a slowdown changed.
    pub fn record(
        &mut self,
        now: Time,
        usual: &mut Usual,
        regime: Regime,
        interval: Duration,
    ) -> bool {
        let interval = interval.as_secs_f64();
        if interval <= 0.0 || interval > MAX_INTERVAL_S {
            return self.refresh_slowdown(now);
        }
        // A mixed interval is compared as one with prompts, and not kept.
        let ratio = if regime == Regime::Decode { 1.0 } else { usual.prefill_ratio() };
        let scaled = interval / ratio;
        if let Some(pace) = self.pace(now, usual) {
            if regime != Regime::Mixed {
                usual.spread.record(scaled / pace, SPREAD_QUANTILE);
            }
            if self.weights(now).iter().sum::<f64>() >= MIN_SAMPLES
                && scaled > SLOWDOWN_FACTOR * pace
            {
                self.slowed_until = now + SLOWDOWN;
            }
        }
        match regime {
            Regime::Decode => usual.decode.record(interval, 0.5),
            Regime::Prefill => {
                if let Some(decode) = self.decode_median {
                    usual.prefill.record(interval / decode, 0.5);
                }
            }
            Regime::Mixed => return self.refresh_slowdown(now),
        }
        if self.intervals.len() >= SAMPLES {
            self.intervals.pop_front();
        }
        self.intervals.push_back((scaled, regime == Regime::Decode));
        self.median = median(self.intervals.iter().map(|(scaled, _)| *scaled)).unwrap_or(scaled);
        let decode = || self.intervals.iter().filter(|(_, decode)| *decode);
        self.decode_median = match decode().count() >= MIN_DECODE_SAMPLES {
            true => median(decode().map(|(interval, _)| *interval)),
            false => None,
        };
        self.observed_at = now;
        self.refresh_slowdown(now)
    }

    /// Ends the slowdown that this entry announces once its time is over; returns whether it changed.
    pub fn refresh_slowdown(&mut self, now: Time) -> bool {
        let is_slowed = now < self.slowed_until;
        std::mem::replace(&mut self.is_slowed, is_slowed) != is_slowed
    }

    /// Sets what other entries observe. Figures that have not changed keep their age.
    pub fn set_others(&mut self, now: Time, others: Figures) {
        if others == self.others {
            return;
        }
        self.others_slowed_until =
            if others.slowed > 0 { now + ANNOUNCED_SLOWDOWN } else { Time::ZERO };
        self.others = others;
        self.others_at = Some(now);
    }

    /// Forgets the pace, because the target is another one from now on. What other entries have
    /// announced so far counts no more.
    pub fn reset(&mut self) {
        *self = Self { others: self.others, interruptible: self.interruptible, ..Self::default() };
    }

    /// Changes the number of own running answers that can be interrupted.
    pub(crate) fn add_interruptible(&mut self, change: i32) {
        self.interruptible = self.interruptible.saturating_add_signed(change);
    }

    /// Returns what this entry announces.
    pub fn figures(&self) -> Figures {
        let count = u32::try_from(self.intervals.len()).unwrap_or_default();
        Figures {
            sum: (self.median * 1e6) as u64 * u64::from(count),
            count,
            slowed: u32::from(self.is_slowed),
            interruptible: self.interruptible,
        }
    }

    /// Returns the weights of own intervals and of those of other entries.
    fn weights(&self, now: Time) -> [f64; 2] {
        let decay = |since: Time, constant: Duration| {
            (-now.since(since).as_secs_f64() / constant.as_secs_f64()).exp()
        };
        let own = self.intervals.len() as f64 * decay(self.observed_at, OWN_DECAY);
        let others = self
            .others_at
            .map_or(0.0, |at| f64::from(self.others.count) * decay(at, ANNOUNCED_DECAY));
        [own, others]
    }

    /// Returns the time per token in seconds without prompts; `None` while nothing is usual.
    ///
    /// It is the mean of own and announced paces and the usual one, by their numbers of intervals.
    /// So a target without recent intervals has the usual pace.
    pub fn pace(&self, now: Time, usual: &Usual) -> Option<f64> {
        let usual = usual.pace()?;
        let (sum, weight) = self.weighted(now, usual);
        Some((sum + PRIOR_SAMPLES * usual) / (weight + PRIOR_SAMPLES))
    }

    /// Returns the time per token as observed, without the usual one; `None` while it is not known
    /// well enough to tell the target from others.
    pub fn observed(&self, now: Time, usual: &Usual) -> Option<f64> {
        let (sum, weight) = self.weighted(now, usual.pace()?);
        (weight >= 2.0 * MIN_SAMPLES).then(|| sum / weight)
    }

    /// Returns the weighted sum of own and announced paces, and the weight.
    fn weighted(&self, now: Time, usual: f64) -> (f64, f64) {
        let [own, others] = self.weights(now);
        let bounded = |pace: f64| pace.clamp(usual / MAX_RATIO, usual * MAX_RATIO);
        let announced = self.others.mean().map_or(usual, |mean| mean as f64 / 1e6);
        (own * bounded(self.median) + others * bounded(announced), own + others)
    }

    /// Returns whether this entry or another sees the target in a slowdown.
    pub fn is_slowed(&self, now: Time) -> bool {
        now < self.slowed_until || now < self.others_slowed_until
    }

    /// Returns the running answers of all entries that can be interrupted.
    pub fn interruptible(&self) -> u32 {
        self.interruptible.saturating_add(self.others.interruptible)
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len() / 2;
    let in_bounds = middle < values.len();
    in_bounds.then(|| *values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

/// What placement compares with the pace of a target.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// The longest pause that the routes of the service allow.
    pub longest_pause: Duration,
    /// Tokens of one event.
    pub event_tokens: u32,
}

impl Bound {
    /// Returns whether a prompt at a target of this pace can cause a pause that is too long.
    pub fn is_exceeded(&self, usual: &Usual, pace: f64) -> bool {
        usual.pause(pace, self.event_tokens) > self.longest_pause.mul_f64(RISK_FRACTION)
    }

    /// Returns the answers that a prompt sent to a target puts at risk. An answer counts several
    /// times during a slowdown, in which most of the pauses that are too long occur.
    pub fn risk(&self, now: Time, usual: &Usual, estimate: &Estimate) -> u32 {
        let interruptible = estimate.interruptible();
        match estimate.pace(now, usual) {
            Some(pace) if interruptible > 0 && self.is_exceeded(usual, pace) => {
                let factor = if estimate.is_slowed(now) { SLOWDOWN_RISK } else { 1 };
                interruptible.saturating_mul(factor)
            }
            _ => 0,
        }
    }
}
