//! Draws the planned work of a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::text::Change;
use crate::Size;
use crate::backend::SERVICES;
use crate::entry::GRACE_S;
use crate::plan::{BACKENDS, Fault, LEAD, Planned};

/// The time before the first work, which what is served later is compared with. Targets stall in it
/// as they do later.
pub(crate) const REFERENCE: Duration = Duration::from_secs(4);

/// A longer time to drain, in which answers with stalls can end.
const LONG_GRACE_S: u64 = 8;

/// Returns the source of all draws. It differs from those of other faults.
fn source(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed.rotate_left(36))
}

/// Returns how long entries have to drain.
pub(crate) fn grace(seed: u64, size: Size) -> Duration {
    let long = size.rolls && source(seed).random_bool(0.7);
    Duration::from_secs(if long { LONG_GRACE_S } else { GRACE_S })
}

/// Draws stalls of targets from the beginning on, and work from [`REFERENCE`] on until `end`.
pub(crate) fn draw(seed: u64, size: Size, end: Duration) -> Vec<Planned> {
    let mut rng = source(seed);
    // The draw of the grace period.
    let _ = rng.random_bool(0.7);
    let mut faults = stalls(&mut rng, end + grace(seed, size));
    let mut at = LEAD + REFERENCE;
    let mut work = Work { rng, size, faults: Vec::new() };
    work.roll(at, size.processes);
    while at < end {
        at += Duration::from_millis(work.rng.random_range(400..2_500));
        match work.rng.random_range(0..6) {
            0..2 => {
                let count = work.rng.random_range(1..=size.processes);
                work.roll(at, count);
            }
            2 => work.reloads(at),
            3..5 => work.texts(at),
            _ => {
                work.texts(at);
                work.reloads(at);
            }
        }
    }
    faults.extend(work.faults);
    faults
}

/// Draws times in which targets stall: those of a service or of all, some or each of them. They do not
/// overlap, so that no target stalls for longer than one of them.
fn stalls(rng: &mut ChaCha8Rng, end: Duration) -> Vec<Planned> {
    let (mut at, mut faults) = (LEAD, Vec::new());
    while at < end {
        let span = Duration::from_millis(rng.random_range(1_000..1_300));
        let service = rng.random_range(0..=SERVICES.len());
        let count = if rng.random_bool(0.5) { BACKENDS } else { rng.random_range(1..BACKENDS) };
        for slot in 0..SERVICES.len() * BACKENDS {
            let (of, nth) = (slot % SERVICES.len(), slot / SERVICES.len());
            if (of == service || service == SERVICES.len()) && nth < count {
                faults.push(Planned { at, span, fault: Fault::Stall(slot) });
            }
        }
        at += Duration::from_millis(rng.random_range(1_600..4_000));
    }
    faults
}

struct Work {
    rng: ChaCha8Rng,
    size: Size,
    faults: Vec<Planned>,
}

impl Work {
    fn push(&mut self, at: Duration, fault: Fault) {
        self.faults.push(Planned { at, span: Duration::ZERO, fault });
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Stops entries one after the other, some right after a new text.
    fn roll(&mut self, mut at: Duration, count: usize) {
        let first = self.rng.random_range(0..self.size.processes);
        for nth in 0..count {
            if self.rng.random_bool(0.3) {
                self.change(at);
                at += self.millis(1..50);
            }
            self.push(at, Fault::Term((first + nth) % self.size.processes));
            at += self.millis(300..1_000);
        }
    }

    /// Reloads entries in series, some of them twice.
    fn reloads(&mut self, mut at: Duration) {
        for _ in 0..self.rng.random_range(2..6) {
            let entry = self.rng.random_range(0..self.size.processes);
            self.push(at, Fault::Reload(entry));
            at += self.millis(0..300);
        }
    }

    /// Changes the text, half of the time twice within 50 ms.
    fn texts(&mut self, at: Duration) {
        self.change(at);
        if self.rng.random_bool(0.5) {
            let again = at + self.millis(0..50);
            self.change(again);
        }
    }

    fn change(&mut self, at: Duration) {
        let change = Change::ALL[self.rng.random_range(0..Change::ALL.len())];
        self.push(at, Fault::Change(change));
    }
}
