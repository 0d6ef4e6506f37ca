//! What several entries saw of one target, so that all stop using one that fails.
//!
//! Pattern: a target takes connections and fails whatever is sent, and many entries use it. Where
//! each waits for failures in a row of its own, the fleet loses that many times its entries. Here
//! the failures of all count together. As much care is taken as by one entry alone: whoever is
//! answered says so too, one entry's word is never enough, nor is that of one failure domain to the
//! others, since its own link may be what fails.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Time;

/// How long an outcome counts: one of many targets is met about once a second by a whole fleet.
pub const WINDOW: Duration = Duration::from_secs(10);

/// How long after a failure others have had the time to say that the target answers them: to hear of
/// it, to be answered by one that is met several times a second, and to say so.
pub const CONFIRMATION_DELAY: Duration = Duration::from_secs(1);

/// Failures of different entries, with no answer after the first, that condemn a target.
const QUORUM: usize = 2;

/// Outcomes that are kept for one target; a busy one has enough of them within a fraction of
/// [`WINDOW`].
const MAX_OBSERVATIONS: usize = 64;

/// Between two words that a target answers: enough to outweigh single failures.
const SHARE_INTERVAL: Duration = Duration::from_millis(300);

/// Whose word an outcome is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Observer {
    /// The entry.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// How one request ended at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It failed.
    Failed,
}

#[derive(Clone, Debug)]
struct Observation {
    at: Time,
    /// `None` for this entry's own.
    observer: Option<Observer>,
    outcome: Outcome,
}

/// Outcomes at one target, by all entries.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    observations: VecDeque<Observation>,
    last_shared: Option<Time>,
}

impl Observations {
    /// Takes in an outcome of this entry; whether the others should hear of it.
    ///
    /// Only requests that begin to be answered count as answered: a target that fails whatever is
    /// new may go on with what it runs.
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

    /// Takes in an outcome of another entry.
    pub fn record_peer(&mut self, now: Time, observer: Observer, outcome: Outcome) {
        self.evict_expired(now);
        self.push(Observation { at: now, observer: Some(observer), outcome });
    }

    /// Whether different entries saw it fail, and none was answered since.
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

    /// Whether anything is known.
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
