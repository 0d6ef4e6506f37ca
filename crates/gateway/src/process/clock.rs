//! The clock of a process, by which its shared state decides.

use std::time::Instant;

use fireflyhoist_policy::time::Time;

/// The time since the process started, by the monotonic clock, because the time of day may jump.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that is at zero now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(self) -> Time {
        Time::from_micros(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
