//! Limits how fast the loads that one owner starts draw on the weight store.
//!
//! When a version changes a model, dozens of engines may each have to load a hundred gibibytes. If
//! all loaded at once, each would get a small part of the store's rate, and none would serve until
//! nearly all had finished.
//!
//! The published rate is divided in proportion to the engines that each owner has, so that the
//! shares sum to one without coordination between owners. The first load may start at once; each
//! later one waits for as long as the loads before it take at the owner's share of the rate. The
//! pacer starts without any wait, so a restarted process can begin at most one load early.

use crate::id;
use crate::order::owner;
use crate::time::Time;
use crate::unit::{Bytes, Share};

/// Returns the share of the weight store's rate that the host `own` may use.
///
/// It is proportional to engines, not to owners: an entry with three engines to load needs three
/// times the rate of one with a single engine.
pub fn share(own: &id::Host, members: &[id::Host], engines: &[id::Target]) -> Share {
    if engines.is_empty() {
        return Share::new(0.0);
    }
    let owned = engines.iter().filter(|engine| owner::of(engine, members) == Some(own)).count();
    Share::new(owned as f64 / engines.len() as f64)
}

/// Spaces out the loads of one owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    next_start: Time,
}

impl Pacer {
    /// Creates a pacer whose first load may start at once.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns whether a load may start now.
    pub fn may_start(&self, now: Time) -> bool {
        now >= self.next_start
    }

    /// Delays the next load by the time that a load of `weights` takes at `rate` bytes per second.
    ///
    /// A `rate` of zero means that no rate is published; loads are not delayed then.
    pub fn charge(&mut self, now: Time, weights: Bytes, rate: f64) {
        if rate > 0.0 {
            let seconds = weights.get() as f64 / rate;
            let micros = (seconds * 1e6).min(1e15) as u64;
            self.next_start = now.max(self.next_start) + std::time::Duration::from_micros(micros);
        }
    }
}
