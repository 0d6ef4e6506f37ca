//! The one place where the daemon reads a clock.

use std::time::Instant;

use fireflyhoist_policy::time::Time;

/// Time since the process began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { origin: Instant::now() }
    }

    pub(crate) fn now(self) -> Time {
        Time::from_micros(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
