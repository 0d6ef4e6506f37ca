//! How fast a queue drains, by which waits are foretold and retries are timed.

use std::time::Duration;

use crate::time::Time;

/// Over how long the rate is averaged: long enough to hold some tens of answers at one entry,
/// short enough that a lost engine shows before the shortest patience in use has passed.
const WINDOW: f64 = 20.0;

/// Requests that must have left before the rate is believed; their lengths differ tenfold.
const NEEDED: f64 = 4.0;

/// The measured drain of one queue, in tokens of work a second.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    work: f64,
    taken: f64,
    time: f64,
    at: Time,
}

impl Drain {
    /// Lets time pass; it counts only where the queue was not empty, since an idle queue says
    /// nothing about how fast it could drain.
    pub fn pass(&mut self, now: Time, waiting: bool) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        if waiting && passed > 0.0 {
            let keep = (-passed / WINDOW).exp();
            self.work *= keep;
            self.taken *= keep;
            self.time = self.time * keep + passed;
        }
    }

    /// Counts work that left the queue.
    pub fn take(&mut self, tokens: f64) {
        self.work += tokens;
        self.taken += 1.0;
    }

    /// Tokens of work a second, or `None` while too little has been seen to tell.
    pub fn rate(&self) -> Option<f64> {
        (self.time > 1.0 && self.taken >= NEEDED).then(|| (self.work / self.time).max(1.0))
    }

    /// How long `tokens` of work take to leave.
    pub fn wait(&self, tokens: f64) -> Option<Duration> {
        let seconds = (tokens / self.rate()?).min(86_400.0);
        Some(Duration::from_secs_f64(seconds))
    }
}
