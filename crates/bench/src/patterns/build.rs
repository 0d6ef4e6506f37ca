//! Common steps of making a scene.

use std::time::Duration;

use fireflyhoist_policy::time::Time;
use fireflyhoist_standin::batch::Shape;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::scene::{Arrival, Mix, Scene, Source, merged};

/// `secs` seconds after the origin.
pub(super) fn at(secs: u64) -> Time {
    Time::ZERO + Duration::from_secs(secs)
}

/// What a pattern sets; the rest follows from the sources.
pub(super) struct Plan<F> {
    pub(super) engines: usize,
    pub(super) entries: usize,
    pub(super) lag: Duration,
    pub(super) sources: Vec<(Source, f64)>,
    /// Load as a share of the engines' best, over time in seconds.
    pub(super) load: F,
    /// The highest value of `load`.
    pub(super) peak: f64,
    pub(super) window: (u64, u64),
    pub(super) horizon: u64,
}

impl<F: Fn(f64) -> f64> Plan<F> {
    /// Makes the scene for a seed.
    pub(super) fn scene(self, seed: u64) -> Scene {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let engines = vec![Shape::default(); self.engines];
        let mix = Mix::of(&self.sources, &mut rng);
        let best = mix.best(&engines);
        let rate = best / mix.length;
        let arrivals = self.arrivals(rate, &mut rng);
        // What an operator would set: room for average prompts and twice the average answer.
        let fixed = Shape::default().memory as f64 / (mix.prompt + 2.0 * mix.length);
        Scene {
            engines,
            entries: self.entries,
            lag: self.lag,
            every: Duration::from_secs(1),
            list_lag: Duration::from_secs(8),
            arrivals,
            changes: Vec::new(),
            horizon: at(self.horizon),
            window: (at(self.window.0), at(self.window.1)),
            best,
            fixed: fixed as usize,
        }
    }

    fn arrivals(&self, rate: f64, rng: &mut ChaCha8Rng) -> Vec<Arrival> {
        let span = (Time::ZERO, at(self.horizon));
        let mut parts = Vec::new();
        for (source, share) in &self.sources {
            let of = |load: f64| rate * share * load;
            let rate = |time: Time| of((self.load)(time.as_secs_f64()));
            parts.push(source.arrivals(span, of(self.peak), self.entries, rate, rng));
        }
        merged(parts)
    }
}
