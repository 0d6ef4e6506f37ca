//! The co-operative's night: members upload in three waves, more than the engines can do at once,
//! and every page must be whole by the morning.

use std::time::Duration;

use crate::patterns::build::Plan;
use crate::patterns::mix;
use crate::scene::Scene;

/// Fifteen engines, six entries; half an hour stands for the night.
pub(super) fn scene(seed: u64) -> Scene {
    Plan {
        engines: 15,
        entries: 6,
        lag: Duration::from_millis(1_500),
        sources: mix::pages(),
        load: |secs| match secs as u64 {
            0..300 => 2.0,
            600..900 => 2.0,
            1_200..1_500 => 2.0,
            _ => 0.3,
        },
        peak: 2.0,
        window: (120, 1_800),
        horizon: 1_800,
    }
    .scene(seed)
}
