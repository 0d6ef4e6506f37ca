//! How fast one steward's loads may draw on the weight store.
//!
//! **Load pattern.** A version changes a model and dozens of engines want a hundred gibibytes each.
//!
//! **Without it.** All draw at once, each at a small part of the store's rate, and none serves
//! until nearly all have finished.
//!
//! **Figures.** The published rate is divided by how many of the published engines each steward
//! has, so the parts sum to one without a word between stewards. One load may begin at once and
//! each that follows waits until the one before it is paid for; a process that has just started
//! owes nothing, so a restart can begin at most one load early.

use crate::id;
use crate::order::steward;
use crate::time::Time;
use crate::unit::{Bytes, Share};

/// The share of the weight store's rate that `own` may use.
///
/// It counts engines, not stewards: an entry with three engines to load needs three times the
/// rate of one with a single engine.
pub fn share(own: &id::Host, members: &[id::Host], engines: &[id::Target]) -> Share {
    if engines.is_empty() {
        return Share::new(0.0);
    }
    let mine = engines.iter().filter(|engine| steward::of(engine, members) == Some(own)).count();
    Share::new(mine as f64 / engines.len() as f64)
}

/// Spaces out the loads of one steward.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    free_at: Time,
}

impl Pacer {
    /// Opens a pacer that owes nothing.
    pub fn open() -> Self {
        Self::default()
    }

    /// Whether a load may begin.
    pub fn is_free(&self, now: Time) -> bool {
        now >= self.free_at
    }

    /// Takes the time that a load of `weights` costs at `rate` bytes a second.
    ///
    /// Without a published rate nothing is known that must be kept to, and the load is free.
    pub fn take(&mut self, now: Time, weights: Bytes, rate: f64) {
        if rate > 0.0 {
            let seconds = weights.get() as f64 / rate;
            let micros = (seconds * 1e6).min(1e15) as u64;
            self.free_at = now.max(self.free_at) + std::time::Duration::from_micros(micros);
        }
    }
}
