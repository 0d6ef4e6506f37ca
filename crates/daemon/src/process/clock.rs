//! The time of day; the steady clock is the gateway's.

use std::time::{SystemTime, UNIX_EPOCH};

pub(crate) use fireflyhoist_gateway::Clock;

/// Seconds since the Unix epoch, for what outlives this process; never for deadlines.
pub(crate) fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}
