//! Adaptive limit on the number of streams of one engine, so that each gets its tokens in time.
//!
//! An engine may have free memory while its steps grow long, because it is slow or runs many small
//! streams. Without a limit every stream on it misses the objective for the time between tokens,
//! while new ones are still sent there.
//!
//! The limit follows additive increase, multiplicative decrease over the measured time between
//! tokens: one more stream a second while it is below the objective, a tenth fewer when it is
//! above. Two seconds between decreases let the running streams show the effect of the last one.

use std::time::Duration;

use crate::time::Time;

/// Share of the objective above which the limit decreases. The objective holds for the 95th
/// percentile of gaps. The mean over sixteen tokens hides the slowest gaps and is a quarter lower.
const DECREASE_THRESHOLD: f64 = 0.75;

/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.9;

/// Time between decreases.
const DECREASE_INTERVAL: Duration = Duration::from_secs(2);

/// Streams by which the limit increases each second.
const INCREASE_PER_S: f64 = 1.0;

/// Lowest limit, which lets an engine show that it has recovered.
const MIN_LIMIT: f64 = 2.0;

/// Weight of one sample in the moving average; a busy engine yields ten samples in half a second.
const SMOOTHING: f64 = 0.1;

/// Limits the streams of one engine.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Moving average of the time between tokens, in seconds.
    mean: f64,
    /// The limit after the last decrease; `None` before the first.
    limit: Option<f64>,
    decreased: Time,
}

impl Limiter {
    /// Records that the tokens of a stream came `gap` apart while `streams` were running.
    pub fn sample(&mut self, now: Time, gap: Duration, streams: u32, objective: Duration) {
        let gap = gap.as_secs_f64();
        self.mean = if self.mean == 0.0 { gap } else { self.mean + SMOOTHING * (gap - self.mean) };
        let threshold = objective.as_secs_f64() * DECREASE_THRESHOLD;
        if self.mean > threshold && now.since(self.decreased) > DECREASE_INTERVAL {
            let from = self.limit(now).min(f64::from(streams));
            self.limit = Some((from * DECREASE_FACTOR).max(MIN_LIMIT));
            self.decreased = now;
        }
    }

    /// Returns the number of streams that the engine may run now.
    pub fn limit(&self, now: Time) -> f64 {
        match self.limit {
            Some(limit) => limit + INCREASE_PER_S * now.since(self.decreased).as_secs_f64(),
            None => f64::INFINITY,
        }
    }

    /// Returns the mean time between tokens in seconds; zero while unknown.
    pub fn mean(&self) -> f64 {
        self.mean
    }
}
