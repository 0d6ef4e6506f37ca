//! The franchise's day: supervisors watch answers arrive; load climbs to nine tenths of the
//! engines' best in the morning and again in the afternoon.

use std::time::Duration;

use crate::patterns::build::Plan;
use crate::patterns::mix;
use crate::scene::Scene;

/// Ten engines, six entries; half an hour stands for the day.
pub(super) fn scene(seed: u64) -> Scene {
    Plan {
        engines: 10,
        entries: 6,
        lag: Duration::from_millis(1_500),
        sources: mix::rosters(Duration::from_secs(10)),
        load: |secs| match secs as u64 {
            0..120 => 0.4,
            300..720 => 0.9,
            1_080..1_500 => 0.9,
            1_620.. => 0.3,
            _ => 0.6,
        },
        peak: 0.9,
        window: (300, 720),
        horizon: 1_800,
    }
    .scene(seed)
}
