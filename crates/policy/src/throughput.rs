//! The throughput of a queue, from which waiting times and retry times are estimated.

use std::time::Duration;

use crate::time::Time;

/// Window of the moving average, in seconds: long enough to hold some tens of answers at one entry,
/// short enough to show a lost engine before the shortest timeout of a caller has passed.
const WINDOW_S: f64 = 20.0;

/// Number of requests that must have left the queue before the rate is used; their lengths differ
/// by up to ten times.
const MIN_REQUESTS: f64 = 4.0;

/// Measures how much work leaves one queue, in tokens a second.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Tokens that left the queue.
    work: f64,
    /// Requests that left the queue.
    requests: f64,
    /// Seconds for which the queue was not empty.
    time: f64,
    at: Time,
}

impl Meter {
    /// Advances the clock. Time counts only while requests are waiting, since an empty queue does
    /// not show how fast it could drain.
    pub fn advance(&mut self, now: Time, waiting: bool) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        if waiting && passed > 0.0 {
            let keep = (-passed / WINDOW_S).exp();
            self.work *= keep;
            self.requests *= keep;
            self.time = self.time * keep + passed;
        }
    }

    /// Records a request of this much work that left the queue.
    pub fn record(&mut self, tokens: f64) {
        self.work += tokens;
        self.requests += 1.0;
    }

    /// Takes back the record of a request that has returned to the queue.
    pub fn take_back(&mut self, tokens: f64) {
        self.work = (self.work - tokens).max(0.0);
        self.requests = (self.requests - 1.0).max(0.0);
    }

    /// Returns the rate in tokens a second; `None` until enough requests and time are recorded.
    pub fn rate(&self) -> Option<f64> {
        (self.time > 1.0 && self.requests >= MIN_REQUESTS).then(|| (self.work / self.time).max(1.0))
    }

    /// Returns the time until this much work has left the queue, at most a day; `None` while the
    /// rate is unknown.
    pub fn wait(&self, tokens: f64) -> Option<Duration> {
        let seconds = (tokens / self.rate()?).min(86_400.0);
        Some(Duration::from_secs_f64(seconds))
    }
}
