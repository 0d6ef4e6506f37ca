//! Predicted memory of running answers.

use crate::length::Distribution;

/// Points of a curve, in tokens that each running answer produces until then. The last steps are
/// wide, since only the highest point matters and it comes early.
pub const STEPS_AHEAD: [u64; STEPS] = [0, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192];

const STEPS: usize = 10;

/// Tokens held at each step of [`STEPS_AHEAD`]: the mean and the variance.
///
/// Answers end independently, so means and variances add up. Some twenty answers of thousands of
/// tokens in one engine deviate from their mean by a tenth of its memory, a hundred short ones by a
/// hundredth; the variance distinguishes the two, and a fixed margin cannot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Curve {
    mean: [f32; STEPS],
    variance: [f32; STEPS],
}

impl Curve {
    /// Returns the curve of one answer: at each step, what it would hold then, times the
    /// probability that it still runs.
    pub fn of(law: &Distribution, prompt: u64, produced: u64, limit: u64) -> Self {
        let survived = law.survival(produced.max(1)).max(f32::MIN_POSITIVE);
        let mut curve = Self::default();
        for (at, ahead) in STEPS_AHEAD.into_iter().enumerate() {
            let then = produced + ahead;
            if ahead > 0 && then > limit {
                break;
            }
            let runs = (law.survival(then.max(1)) / survived).min(1.0);
            let held = (prompt + then) as f32;
            curve.mean[at] = held * runs;
            curve.variance[at] = held * held * runs * (1.0 - runs);
        }
        curve
    }

    /// Returns the curve of a reservation: the whole limit, held to the end.
    pub fn reserved(prompt: u64, limit: u64) -> Self {
        Self { mean: [(prompt + limit) as f32; STEPS], variance: [0.0; STEPS] }
    }

    /// Adds another curve.
    pub fn add(&mut self, other: &Self) {
        self.mean.iter_mut().zip(other.mean).for_each(|(mine, other)| *mine += other);
        self.variance.iter_mut().zip(other.variance).for_each(|(mine, other)| *mine += other);
    }

    /// Subtracts another curve; rounding never leaves a negative value.
    pub fn remove(&mut self, other: &Self) {
        let less = |mine: &mut f32, other: f32| *mine = (*mine - other).max(0.0);
        self.mean.iter_mut().zip(other.mean).for_each(|(mine, other)| less(mine, other));
        self.variance.iter_mut().zip(other.variance).for_each(|(mine, other)| less(mine, other));
    }

    /// Scales the curve to `now` tokens at its first step.
    ///
    /// An empty curve, as in a process that has not sent anything yet, becomes a constant one: if
    /// such a process took what others hold for nothing, it would flood full engines.
    pub fn scaled_to(&self, now: f32) -> Self {
        if self.mean[0] <= 0.0 {
            return Self { mean: [now; STEPS], variance: [0.0; STEPS] };
        }
        let factor = now / self.mean[0].max(1.0);
        Self {
            mean: self.mean.map(|value| value * factor),
            variance: self.variance.map(|value| value * factor),
        }
    }

    /// Returns the highest mean.
    pub fn peak(&self) -> f32 {
        self.mean.iter().copied().fold(0.0, f32::max)
    }

    /// Returns the highest point of the sum of three curves, at `sigmas` standard deviations above
    /// the mean.
    pub fn peak_of(parts: [&Self; 3], sigmas: f32) -> f32 {
        let at = |step: usize| {
            let mean: f32 = parts.iter().map(|part| part.mean[step]).sum();
            let variance: f32 = parts.iter().map(|part| part.variance[step]).sum();
            mean + sigmas * variance.sqrt()
        };
        (0..STEPS).map(at).fold(0.0, f32::max)
    }

    /// Returns the tokens held now.
    pub fn now(&self) -> f32 {
        self.mean[0]
    }
}
