//! Half load, and every two minutes ten seconds of four times the engines' best.

use std::time::Duration;

use crate::patterns::build::Plan;
use crate::patterns::mix;
use crate::scene::Scene;

/// Twelve engines, eight entries.
pub(super) fn scene(seed: u64) -> Scene {
    Plan {
        engines: 12,
        entries: 8,
        lag: Duration::from_millis(1_500),
        sources: mix::rosters(Duration::from_secs(30)),
        load: |secs| if secs % 120.0 < 10.0 { 4.0 } else { 0.5 },
        peak: 4.0,
        window: (120, 600),
        horizon: 660,
    }
    .scene(seed)
}
