//! The retry budget: how many retries one entry may make for a service.
//!
//! While a service fails (engines reclaimed, a link cut) or is overloaded, every failed attempt
//! asks for a retry. Unbounded retries multiply the load exactly when there is the least headroom,
//! and keep the service down after the cause is gone.
//!
//! Each success adds [`PER_SUCCESS`] of a retry, which keeps retries below a tenth of all attempts,
//! the limit that operators set for overload. The budget holds at most [`BURST`] retries: an engine
//! that dies cuts about that many streams of one entry at once, and each of them may be retried
//! elsewhere.

/// Retries that one success adds to the budget.
pub const PER_SUCCESS: f64 = 0.1;

/// Maximum number of retries in the budget.
pub const BURST: f64 = 10.0;

/// Least number of entries by which a bound on the retries of all entries is divided. No list of
/// entries is published, and if the bound were divided by the number that seem alive, both sides of
/// a partition could spend all of it.
pub const MIN_ENTRIES: usize = 16;

/// How a budget fills.
///
/// If operators bound the retries of all entries together, each entry gets its share of the burst,
/// so that the sum over any window stays within the bound, whichever entries are alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries that one success adds to the budget.
    pub per_success: f64,
    /// Maximum number of retries in the budget.
    pub burst: f64,
}

impl Limits {
    /// Returns one entry's share of a bound on the retries of all entries, where at most `entries`
    /// have been seen to carry traffic.
    pub fn share(per_success: f64, burst: f64, entries: usize) -> Self {
        Self { per_success, burst: burst / entries.max(MIN_ENTRIES) as f64 }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { per_success: PER_SUCCESS, burst: BURST }
    }
}

/// The retries left to one entry for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    left: f64,
    limits: Limits,
}

impl Budget {
    /// Creates a full budget with default limits. It is full because targets may also fail while
    /// the process has just started.
    pub fn new() -> Self {
        Self::with_limits(Limits::default())
    }

    /// Creates a full budget with these limits.
    pub fn with_limits(limits: Limits) -> Self {
        Self { left: limits.burst, limits }
    }

    /// Changes the limits and drops retries beyond the new burst.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.left = self.left.min(limits.burst);
    }

    /// Records that an attempt succeeded.
    pub fn record_success(&mut self) {
        self.left = (self.left + self.limits.per_success).min(self.limits.burst);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        let granted = self.left >= 1.0;
        if granted {
            self.left -= 1.0;
        }
        granted
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}
