//! When capacity for requests that are late already can be expected.
//!
//! A request that was refused and is sent again is late, and gets only capacity that others leave
//! ([`crate::shedding`]). That becomes free in moments, when an engine joins or several answers end
//! at once, and which of the waiting requests of all entries gets it is chance. How long there has
//! been none says little: in simulations, a third of those that came after 16 s without any were
//! served within the next 16 s. What tells is how many late requests began lately for the time that
//! all of them together waited.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// Window of the moving averages, in seconds: several periods of demand, which varies within 15 s.
const WINDOW_S: f64 = 60.0;

/// Starts that are added to those observed, so that a short time without any proves nothing.
const PRIOR_STARTS: f64 = 0.5;

/// Expected number of starts within the time that a request can wait, below which it is not
/// expected to begin. In simulations with one rate for all ranks, 8 % of those refused at 1.5 times
/// what fits would have been served, and 11 % with a bound of 0.2.
const MIN_STARTS: f64 = 0.1;

/// Measures how soon late requests of one rank begin; see the [module](self).
#[derive(Clone, Debug, Default)]
struct Rate {
    /// Late requests that began.
    starts: f64,
    /// Seconds that late requests waited, summed over the requests.
    waited: f64,
}

impl Rate {
    fn mean_wait(&self) -> f64 {
        self.waited / (self.starts + PRIOR_STARTS)
    }
}

/// Measures how soon late requests begin, by rank; see the [module](self).
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    rates: BTreeMap<u8, Rate>,
    at: Time,
}

impl Forecast {
    /// Advances the clock, where these numbers of late requests by rank waited since the last call.
    pub fn advance(&mut self, now: Time, waiting: impl Iterator<Item = (u8, usize)>) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        let keep = (-passed / WINDOW_S).exp();
        for rate in self.rates.values_mut() {
            rate.starts *= keep;
            rate.waited *= keep;
        }
        for (rank, count) in waiting {
            self.rates.entry(rank).or_default().waited += passed * count as f64;
        }
    }

    /// Records that a late request of this rank was sent.
    pub fn record_start(&mut self, rank: u8) {
        self.rates.entry(rank).or_default().starts += 1.0;
    }

    /// Returns the mean time until a late request of this rank begins, if one that can wait for
    /// `time_left` is not expected to.
    pub fn refuse(&self, rank: u8, time_left: Duration) -> Option<Duration> {
        let wait = self.wait(rank);
        (time_left < wait.mul_f64(MIN_STARTS)).then_some(wait)
    }

    /// Returns the mean time until a late request of this rank begins, at most a day.
    pub fn wait(&self, rank: u8) -> Duration {
        let seconds = self.rates.get(&rank).map_or(0.0, Rate::mean_wait);
        Duration::from_secs_f64(seconds.min(86_400.0))
    }
}
