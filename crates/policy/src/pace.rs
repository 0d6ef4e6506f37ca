//! How many streams an engine may run so that each still gets its tokens in time.
//!
//! Load pattern: an engine with memory to spare whose steps grow long, because it is slow or its
//! streams are many and small. Without this every stream on it falls behind the objective, and
//! new ones go on being sent there.
//!
//! Additive increase, multiplicative decrease over the measured time between tokens: one more
//! stream each second while below the objective, a tenth fewer when above it. Two seconds between
//! decreases let streams that are already running show the effect of the last one.

use std::time::Duration;

use crate::time::Time;

/// The part of the objective at which the bound shrinks. The objective is for the slowest in
/// twenty gaps; the mean over sixteen tokens hides these, and lies a quarter below them.
const HIGH: f64 = 0.75;

/// What a decrease leaves.
const DECREASE: f64 = 0.9;

/// Time between decreases.
const HOLD: Duration = Duration::from_secs(2);

/// Streams gained in a second below the objective.
const INCREASE: f64 = 1.0;

/// The bound never falls below this, so that an engine can show that it has recovered.
const LEAST: f64 = 2.0;

/// Weight of one sample in the running mean; ten samples are half a second of a busy engine.
const WEIGHT: f64 = 0.1;

/// The bound on one engine.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    mean: f64,
    bound: Option<f64>,
    changed: Time,
}

impl Pace {
    /// Takes in that a stream's tokens came `gap` apart while `streams` ran.
    pub fn sample(&mut self, now: Time, gap: Duration, streams: u32, objective: Duration) {
        let gap = gap.as_secs_f64();
        self.mean = if self.mean == 0.0 { gap } else { self.mean + WEIGHT * (gap - self.mean) };
        let high = objective.as_secs_f64() * HIGH;
        if self.mean > high && now.since(self.changed) > HOLD {
            let from = self.bound(now).min(f64::from(streams));
            self.bound = Some((from * DECREASE).max(LEAST));
            self.changed = now;
        }
    }

    /// How many streams the engine may run now.
    pub fn bound(&self, now: Time) -> f64 {
        match self.bound {
            Some(bound) => bound + INCREASE * now.since(self.changed).as_secs_f64(),
            None => f64::INFINITY,
        }
    }

    /// The mean time between tokens, in seconds; zero while unknown.
    pub fn mean(&self) -> f64 {
        self.mean
    }
}
