//! Heavy-tailed answer lengths, which no policy is told.

use rand::Rng;
use rand_distr::{Distribution, LogNormal};

/// A log-normal length, cut at the caller's limit.
#[derive(Clone, Copy, Debug)]
pub struct Lengths {
    /// Half of the answers are shorter, in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm; 1 makes one answer in a hundred ten times the median.
    pub sigma: f64,
    /// The most tokens that the caller allows.
    pub limit: u64,
}

impl Lengths {
    /// Draws one.
    pub fn draw(&self, rng: &mut impl Rng) -> u64 {
        let drawn = LogNormal::new(self.median.ln(), self.sigma).map(|law| law.sample(rng));
        (drawn.unwrap_or(self.median) as u64).clamp(1, self.limit)
    }
}
