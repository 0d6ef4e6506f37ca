//! The retry budget: how many second attempts one entry may make for a service.
//!
//! **Load pattern.** A service fails for a while (engines reclaimed, a link cut) or is
//! overloaded, and every attempt that fails asks for another.
//!
//! **Without it.** Retries multiply the load at the very moment when there is least room, and the
//! service stays down after the cause is gone.
//!
//! **Figures.** Each success earns [`EARNED`] of a retry, so that retries stay under a tenth of
//! what is sent, the bound that the users' overload run sets. [`BURST`] retries may be saved up: an
//! engine that dies cuts about that many streams of one entry at once, and each may try elsewhere.

/// What one success earns, in retries.
pub const EARNED: f64 = 0.1;

/// The most retries that may be saved up.
pub const BURST: f64 = 10.0;

/// Entries among which a deployment's bound on retries is divided at least. No list of entries is
/// published, and dividing by those that seem alive would let both sides of a partition spend the whole.
pub const PARTS: usize = 16;

/// How a budget fills.
///
/// Where operators bound the retries of all entries together, each entry takes its part of the
/// burst, so that no window sums above the whole, whoever else is alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// What one success earns, in retries.
    pub earned: f64,
    /// The most retries that may be saved up.
    pub burst: f64,
}

impl Terms {
    /// One entry's part of a bound on the retries of all, where at most `entries` have been seen to carry
    /// the traffic.
    pub fn part(earned: f64, burst: f64, entries: usize) -> Self {
        Self { earned, burst: burst / entries.max(PARTS) as f64 }
    }
}

impl Default for Terms {
    fn default() -> Self {
        Self { earned: EARNED, burst: BURST }
    }
}

/// Retries left for one service at one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    left: f64,
    terms: Terms,
}

impl Budget {
    /// Opens a full budget: a process that just started meets failures of others, too.
    pub fn open() -> Self {
        Self::of(Terms::default())
    }

    /// Opens a full budget on other terms than the usual ones.
    pub fn of(terms: Terms) -> Self {
        Self { left: terms.burst, terms }
    }

    /// Goes on with other terms; what was saved up beyond them is lost.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
        self.left = self.left.min(terms.burst);
    }

    /// Notes that an attempt succeeded.
    pub fn earn(&mut self) {
        self.left = (self.left + self.terms.earned).min(self.terms.burst);
    }

    /// Takes one retry, or says that none is left.
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
        Self::open()
    }
}
