//! Targets that asked for rest: they turned a request away and named the time for which they want
//! nothing more from this entry.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use smol_str::SmolStr;

use crate::id;
use crate::lease::{Start, Target};
use crate::time::Time;

/// The longest rest that is granted. A target that asks for more is likely mistaken, and would be
/// lost to callers.
pub const MAX_REST: Duration = Duration::from_secs(3_600);

/// The part of a rest by which entries at most spread their return, and its maximum.
const SPREAD: u32 = 4;
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// The targets that rest from this entry.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    rests: BTreeMap<id::Target, Rest>,
}

#[derive(Clone, Debug)]
struct Rest {
    /// The instance that asked; another at its address does not rest.
    instance: SmolStr,
    start: Option<Start>,
    until: Time,
}

impl Rest {
    fn is_of(&self, target: &Target) -> bool {
        self.instance == target.instance && self.start == target.start
    }
}

impl Rests {
    /// Records that a target asked for a rest of this length at `now`. An earlier rest that ends
    /// later stays in force. Returns whether this one does.
    pub fn record(&mut self, now: Time, target: &Target, rest: Duration) -> bool {
        self.rests.retain(|_, known| known.until > now);
        let until = now + rest.min(MAX_REST);
        if until <= now || self.remaining(now, target) >= until.since(now) {
            return false;
        }
        let (instance, start) = (target.instance.clone(), target.start);
        self.rests.insert(target.id.clone(), Rest { instance, start, until });
        true
    }

    /// Returns how long a target still rests; zero if it does not.
    pub fn remaining(&self, now: Time, target: &Target) -> Duration {
        let rest = self.rests.get(&target.id).filter(|rest| rest.is_of(target));
        rest.map_or(Duration::ZERO, |rest| rest.until.since(now))
    }
}

/// Returns after which time requests are sent again to a target that rests for `rest`: a little
/// later, so that entries do not all return at once.
pub fn return_after(rng: &mut impl Rng, rest: Duration) -> Duration {
    let rest = rest.min(MAX_REST);
    let spread = (rest / SPREAD).min(MAX_SPREAD);
    rest + spread.mul_f64(rng.random_range(0.0..=1.0))
}
