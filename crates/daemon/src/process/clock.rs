//! The wall clock; the monotonic clock is the gateway's.

use std::time::{SystemTime, UNIX_EPOCH};

pub(crate) use fireflyhoist_gateway::Clock;

/// Returns the seconds since the Unix epoch.
///
/// For timestamps that outlive this process; deadlines use the monotonic clock.
pub(crate) fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}
