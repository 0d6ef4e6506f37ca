//! Preference for targets in the failure domain of the entry.
//!
//! A request to another failure domain costs latency, and bytes between the domains. So a placement
//! compares targets of the own domain and others, and a target in another domain counts with
//! [`REMOTE_LOAD`] more load than it has: it is chosen where those of the own domain are fuller by
//! that amount, and at once where the own domain has no target that takes the request. There is no
//! threshold and no memory of earlier choices, so that a domain whose demand rises by half, or whose
//! targets are lost, uses the others with the next request.
//!
//! Being near must not attract requests to a plain target that is slow or whose queue is full. An
//! entry knows only its own requests at a plain target, so it compares the time that its answers
//! take with that of all targets of the service.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

/// Load that a target in another failure domain counts more, as a part of its capacity.
///
/// The memory of an ordinary answer is about a tenth of an engine's, so an engine in the own domain
/// is preferred with one more answer, but not where a prompt waits for prefill there, which counts as
/// a fifth to a quarter of an engine. One request is a sixth of a plain target with six places, so a
/// plain target in the own domain is not preferred with one more request.
pub const REMOTE_LOAD: f64 = 0.1;

/// Targets of the own domain that are tried for each one that is to be compared. If most of them are
/// full, trying all costs time that grows with their number, and the targets of all domains are
/// drawn next in any case.
const TRIES: usize = 4;

/// Mean answer time of a target, as a multiple of that of the service, above which it is not
/// preferred for being near. Answers of equal targets differ by less than that in the mean of the
/// last eight.
const SLOW_FACTOR: f64 = 1.25;

/// Difference of these means in seconds that is never slow: delays of the scheduler at the entry's host
/// make as much.
const SLOW_MARGIN_S: f64 = 0.005;

/// Weight of a new answer in the mean answer time of a target, so that about the last eight count.
const TARGET_SMOOTHING: f64 = 1.0 / 8.0;

/// Weight of a new answer in the mean answer time of the service, so that about the last 64 count.
const SERVICE_SMOOTHING: f64 = 1.0 / 64.0;

/// Returns how many of `choices` targets are drawn in the own domain: half.
pub(crate) fn near_choices(choices: usize) -> usize {
    choices / 2
}

/// Returns how many targets of the own domain are tried to find so many that have room.
pub(crate) fn near_tries(choices: usize) -> usize {
    choices * TRIES
}

/// The mean time of the answers of one target or of all targets of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    /// In seconds; zero before the first answer.
    seconds: f64,
}

impl Mean {
    fn record(&mut self, took: Duration, smoothing: f64) {
        let took = took.as_secs_f64();
        let part = if self.seconds > 0.0 { smoothing } else { 1.0 };
        self.seconds += (took - self.seconds) * part;
    }

    /// Records an answer of a target.
    pub(crate) fn record_target(&mut self, took: Duration) {
        self.record(took, TARGET_SMOOTHING);
    }

    /// Records an answer of any target of a service.
    pub(crate) fn record_service(&mut self, took: Duration) {
        self.record(took, SERVICE_SMOOTHING);
    }

    /// Returns whether the answers of a target with this mean take clearly longer than `usual`. A
    /// target without an answer counts as usual.
    pub(crate) fn is_slow(&self, usual: &Self) -> bool {
        self.seconds > SLOW_FACTOR * usual.seconds + SLOW_MARGIN_S
    }
}

/// The targets of the own domain, by their positions in the list of all targets of a gate.
///
/// Every operation takes constant time, so that neither a placement nor a change of one target costs
/// more in a fleet of many targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    list: Vec<usize>,
    /// Where each position stands in `list`.
    places: HashMap<usize, usize>,
}

impl Index {
    /// Adds or removes a target.
    pub(crate) fn set(&mut self, at: usize, is_near: bool) {
        match (is_near, self.places.get(&at).copied()) {
            (true, None) => {
                self.places.insert(at, self.list.len());
                self.list.push(at);
            }
            (false, Some(place)) => {
                self.places.remove(&at);
                self.list.swap_remove(place);
                if let Some(moved) = self.list.get(place) {
                    self.places.insert(*moved, place);
                }
            }
            _ => {}
        }
    }

    /// Records that the target at `at` was removed, and that the one at `last` took its position.
    pub(crate) fn swap_remove(&mut self, at: usize, last: usize) {
        self.set(at, false);
        if at != last && self.places.contains_key(&last) {
            self.set(last, false);
            self.set(at, true);
        }
    }

    /// Returns the number of targets in the own domain.
    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    /// Draws a target that none of the `drawn` draws before this one returned.
    pub(crate) fn draw(&mut self, rng: &mut impl Rng, drawn: usize) -> usize {
        let other = rng.random_range(drawn..self.list.len());
        self.list.swap(drawn, other);
        for place in [drawn, other] {
            self.places.insert(self.list[place], place);
        }
        self.list[drawn]
    }
}

impl FromIterator<usize> for Index {
    fn from_iter<T: IntoIterator<Item = usize>>(positions: T) -> Self {
        let mut index = Self::default();
        positions.into_iter().for_each(|at| index.set(at, true));
        index
    }
}
