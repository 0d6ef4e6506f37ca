//! One engine of twelve becomes five times as slow, and its load report does not say so.

use std::time::Duration;

use crate::patterns::build::{Plan, at};
use crate::patterns::mix;
use crate::scene::{Change, Scene};

/// When the engine slows down, in seconds.
const SLOW_FROM: u64 = 60;

/// How many times as long its steps take.
const FACTOR: f64 = 5.0;

/// Twelve engines, eight entries, a load of 0.7: the other eleven can carry it.
pub(super) fn scene(seed: u64) -> Scene {
    let mut scene = alone(seed);
    scene.changes.push((at(SLOW_FROM), Change::Slow(3, FACTOR)));
    scene
}

/// The same requests, and no slow engine.
pub(super) fn alone(seed: u64) -> Scene {
    Plan {
        engines: 12,
        entries: 8,
        lag: Duration::from_millis(1_500),
        sources: mix::rosters(Duration::from_secs(30)),
        load: |_| 0.7,
        peak: 0.7,
        window: (60, 600),
        horizon: 600,
    }
    .scene(seed)
}
