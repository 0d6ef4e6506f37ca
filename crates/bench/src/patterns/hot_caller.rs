//! One workspace asks for one and a half times what all engines can do, while nine others ask for
//! half of it as on any day.

use std::time::Duration;

use crate::patterns::build::Plan;
use crate::patterns::mix;
use crate::scene::Scene;

/// The hot workspace's share of all requests.
const HOT: f64 = 0.75;

/// Twelve engines, eight entries, a load of 2 in all.
pub(super) fn scene(seed: u64) -> Scene {
    let mut sources = mix::rosters(Duration::from_secs(30));
    let others = (sources.len() - 1) as f64;
    for (at, (source, share)) in sources.iter_mut().enumerate() {
        source.watched = at > 0;
        *share = if at > 0 { (1.0 - HOT) / others } else { HOT };
    }
    Plan {
        engines: 12,
        entries: 8,
        lag: Duration::from_millis(1_500),
        sources,
        load: |_| 2.0,
        peak: 2.0,
        window: (60, 600),
        horizon: 600,
    }
    .scene(seed)
}

/// The same others at the same times, and no hot one.
pub(super) fn alone(seed: u64) -> Scene {
    let mut scene = scene(seed);
    scene.arrivals.retain(|arrival| arrival.watched);
    scene
}
