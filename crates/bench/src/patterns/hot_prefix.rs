//! Every franchise sends one and the same long form: half of all prompts begin alike.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::patterns::build::Plan;
use crate::patterns::mix;
use crate::scene::Scene;

/// The hot prefix, which no workspace uses otherwise.
const PREFIX: u64 = 1_000_000;

/// Its share of all requests.
const HOT: f64 = 0.5;

/// Twelve engines, eight entries, a load of 0.8.
pub(super) fn scene(seed: u64) -> Scene {
    let mut scene = Plan {
        engines: 12,
        entries: 8,
        lag: Duration::from_millis(1_500),
        sources: mix::rosters(Duration::from_secs(30)),
        load: |_| 0.8,
        peak: 0.8,
        window: (60, 600),
        horizon: 600,
    }
    .scene(seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for arrival in &mut scene.arrivals {
        if rng.random_bool(HOT) {
            arrival.prefix = PREFIX;
        }
    }
    scene
}
