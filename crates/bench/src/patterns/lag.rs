//! Reports five seconds late at eight entries that cannot see one another's sends.

use std::time::Duration;

use crate::patterns::build::Plan;
use crate::patterns::mix;
use crate::scene::Scene;

/// Twelve engines at 95 in 100 of their best.
pub(super) fn scene(seed: u64) -> Scene {
    Plan {
        engines: 12,
        entries: 8,
        lag: Duration::from_secs(5),
        sources: mix::rosters(Duration::from_secs(60)),
        load: |_| 0.95,
        peak: 0.95,
        window: (60, 900),
        horizon: 900,
    }
    .scene(seed)
}
