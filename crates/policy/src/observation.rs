//! Request outcomes at one target, shared among entries so that all of them stop using a failing
//! one.
//!
//! A target may accept connections and fail every request while many entries use it. If each entry
//! waited for consecutive failures of its own, the fleet would lose that many requests per entry.
//! Failures seen by different entries are therefore counted together. To be as careful as a single
//! entry would be, entries share answers too, and neither one entry nor, for entries of other
//! domains, one failure domain is enough: the link of the observer may be what fails.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Time;

/// How long an outcome counts. Where there are many targets, the whole fleet together sends each of
/// them about one request a second.
pub const WINDOW: Duration = Duration::from_secs(10);

/// The shortest time between the first failure and an ejection. It lets other entries receive the
/// failure, get an answer from a target that gets several requests a second, and share it.
pub const CONFIRMATION_DELAY: Duration = Duration::from_secs(1);

/// The number of failures of different entries, with no answer after the first, that makes a target
/// count as failing.
const QUORUM: usize = 2;

/// The number of outcomes kept for one target. A busy target exceeds it within a fraction of
/// [`WINDOW`].
const MAX_OBSERVATIONS: usize = 64;

/// The shortest time between two shared answers of one target: often enough to outweigh single
/// failures.
const SHARE_INTERVAL: Duration = Duration::from_millis(300);

/// The entry that observed an outcome.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Observer {
    /// The host of the entry.
    pub host: id::Host,
    /// The failure domain of the host.
    pub domain: id::Domain,
}

/// How one request ended at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target began to answer.
    Answered,
    /// The request failed.
    Failed,
}

#[derive(Clone, Debug)]
struct Observation {
    at: Time,
    /// `None` for an observation of this entry.
    observer: Option<Observer>,
    outcome: Outcome,
}

/// The recent outcomes at one target, by all entries.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    observations: VecDeque<Observation>,
    last_shared: Option<Time>,
}

impl Observations {
    /// Records an outcome of this entry and returns whether to share it with the others.
    ///
    /// A request counts as answered when its answer begins. What a target does with requests
    /// already in flight does not count, since a target that fails every new request may still
    /// complete those.
    pub fn record_own(&mut self, now: Time, outcome: Outcome) -> bool {
        self.evict_expired(now);
        let has_failures =
            self.observations.iter().any(|observation| observation.outcome == Outcome::Failed);
        if outcome == Outcome::Answered {
            if !has_failures
                || self
                    .last_shared
                    .is_some_and(|last_shared| now.since(last_shared) < SHARE_INTERVAL)
            {
                return false;
            }
            self.last_shared = Some(now);
        }
        self.push(Observation { at: now, observer: None, outcome });
        true
    }

    /// Records an outcome of another entry.
    pub fn record_peer(&mut self, now: Time, observer: Observer, outcome: Outcome) {
        self.evict_expired(now);
        self.push(Observation { at: now, observer: Some(observer), outcome });
    }

    /// Returns whether enough different entries had requests fail, the first at least
    /// [`CONFIRMATION_DELAY`] ago, and none had one answered since. If this entry saw no failure
    /// itself, the others must belong to at least two failure domains.
    pub fn is_failing(&self, now: Time) -> bool {
        let counts = |observation: &&Observation| {
            observation.outcome == Outcome::Failed && now.since(observation.at) <= WINDOW
        };
        let failed: Vec<&Observation> = self.observations.iter().rev().take_while(counts).collect();
        let first = failed.last().map(|observation| observation.at);
        if failed.len() < QUORUM || first.is_none_or(|first| now.since(first) < CONFIRMATION_DELAY)
        {
            return false;
        }
        let own = failed.iter().any(|observation| observation.observer.is_none());
        let observers = || failed.iter().filter_map(|observation| observation.observer.as_ref());
        let others: BTreeSet<&id::Host> = observers().map(|observer| &observer.host).collect();
        let domains: BTreeSet<&id::Domain> = observers().map(|observer| &observer.domain).collect();
        if own { !others.is_empty() } else { others.len() >= QUORUM && domains.len() >= QUORUM }
    }

    /// Returns whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    fn push(&mut self, observation: Observation) {
        if self.observations.len() == MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        self.observations.push_back(observation);
    }

    fn evict_expired(&mut self, now: Time) {
        while self
            .observations
            .front()
            .is_some_and(|observation| now.since(observation.at) > WINDOW)
        {
            self.observations.pop_front();
        }
    }
}
