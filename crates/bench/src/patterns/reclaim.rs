//! A quarter of the engines is taken back in the middle of its generations.

use std::time::Duration;

use crate::patterns::build::{Plan, at};
use crate::patterns::mix;
use crate::scene::{Change, Scene};

/// When the engines go, in seconds; the host list says so eight seconds later.
pub const RECLAIMED: u64 = 300;

/// Twelve engines at 65 in 100 of their best, then nine at 87 in 100.
pub(super) fn scene(seed: u64) -> Scene {
    let mut scene = Plan {
        engines: 12,
        entries: 8,
        lag: Duration::from_millis(1_500),
        sources: mix::pages(),
        load: |_| 0.65,
        peak: 0.65,
        window: (60, 900),
        horizon: 900,
    }
    .scene(seed);
    scene.changes = (0..3).map(|engine| (at(RECLAIMED), Change::Leave(engine * 4))).collect();
    scene
}
