//! Twice what the engines can do for ten minutes, then back to seven tenths.

use std::time::Duration;

use crate::patterns::build::Plan;
use crate::patterns::mix;
use crate::scene::Scene;

/// When the overload begins and ends, in seconds.
pub const OVERLOAD: (u64, u64) = (180, 780);

/// Twelve engines, eight entries.
pub(super) fn scene(seed: u64) -> Scene {
    Plan {
        engines: 12,
        entries: 8,
        lag: Duration::from_millis(1_500),
        sources: mix::rosters(Duration::from_secs(20)),
        load: |secs| {
            let over = (OVERLOAD.0..OVERLOAD.1).contains(&(secs as u64));
            if over { 2.0 } else { 0.7 }
        },
        peak: 2.0,
        window: (OVERLOAD.0 + 30, OVERLOAD.1),
        horizon: 1_020,
    }
    .scene(seed)
}
