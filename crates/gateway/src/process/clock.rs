//! The one place where a process reads a clock.

use std::time::Instant;

use fireflyhoist_policy::time::Time;

/// Time since the process began, by the steady clock: the time of day may jump.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts at zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The time now.
    pub fn now(self) -> Time {
        Time::from_micros(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
