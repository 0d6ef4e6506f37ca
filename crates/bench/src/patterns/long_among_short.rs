//! Two workspaces ask for whole registers, thousands of tokens each and more than the engines
//! can do, while eight others ask for lines.

use std::time::Duration;

use fireflyhoist_policy::gate::Class;

use crate::lengths::Lengths;
use crate::patterns::build::Plan;
use crate::scene::{Scene, Source};

const LONG: Lengths = Lengths { median: 2_000.0, sigma: 0.8, limit: 16_384 };
const SHORT: Lengths = Lengths { median: 60.0, sigma: 0.6, limit: 512 };

/// The share of requests that are long; by tokens they are nine tenths of the load.
const LONG_REQUESTS: f64 = 0.2;

fn sources() -> Vec<(Source, f64)> {
    let source = |workspace: usize, lengths, watched| Source {
        workspace,
        class: Class::Live,
        prompt: 150,
        shared: 150,
        templates: 1,
        lengths,
        patience: Duration::from_secs(60),
        watched,
    };
    let long = (0..2).map(|at| (source(at, LONG, false), LONG_REQUESTS / 2.0));
    let short = (2..10).map(|at| (source(at, SHORT, true), (1.0 - LONG_REQUESTS) / 8.0));
    long.chain(short).collect()
}

/// Twelve engines, six entries, load of 1.2 in all.
pub(super) fn scene(seed: u64) -> Scene {
    Plan {
        engines: 12,
        entries: 6,
        lag: Duration::from_millis(1_500),
        sources: sources(),
        load: |_| 1.2,
        peak: 1.2,
        window: (60, 600),
        horizon: 600,
    }
    .scene(seed)
}

/// The same short ones at the same times, and no long ones.
pub(super) fn alone(seed: u64) -> Scene {
    let mut scene = scene(seed);
    scene.arrivals.retain(|arrival| arrival.watched);
    scene
}
