//! The one place where the daemon reads a clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

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

/// Seconds since the Unix epoch, for what outlives this process; never for deadlines.
pub(crate) fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}
