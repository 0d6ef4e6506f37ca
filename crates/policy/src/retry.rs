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

/// Retries left for one service at one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// Opens a full budget: a process that just started meets failures of others, too.
    pub fn open() -> Self {
        Self { left: BURST }
    }

    /// Notes that an attempt succeeded.
    pub fn earn(&mut self) {
        self.left = (self.left + EARNED).min(BURST);
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
