//! 24 workspaces of sizes of 1/n ask for 1.4 times what all engines can do. The largest uses another
//! entry each second.

use std::time::Duration;

use crate::patterns::build::Plan;
use crate::patterns::mix;
use crate::scene::{Scene, Source};

const WORKSPACES: usize = 24;

/// Twelve engines, twelve entries.
pub(super) fn scene(seed: u64) -> Scene {
    let all: f64 = (1..=WORKSPACES).map(|n| 1.0 / n as f64).sum();
    let Some((first, _)) = mix::rosters(Duration::from_secs(20)).into_iter().next() else {
        unreachable!("a mix has workspaces")
    };
    let source = |workspace| Source { workspace, watched: workspace > 0, ..first.clone() };
    let sources = (0..WORKSPACES).map(|at| (source(at), 1.0 / (at + 1) as f64 / all)).collect();
    let mut scene = Plan {
        engines: 12,
        entries: 12,
        lag: Duration::from_millis(150),
        sources,
        load: |_| 1.4,
        peak: 1.4,
        window: (60, 300),
        horizon: 300,
    }
    .scene(seed);
    scene.every = Duration::from_millis(150);
    for arrival in scene.arrivals.iter_mut().filter(|arrival| !arrival.watched) {
        arrival.entry = arrival.at.as_secs_f64() as usize % scene.entries;
    }
    scene
}
