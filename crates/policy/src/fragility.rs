//! Targets that crash if they have to reject too many requests for want of room.
//!
//! The targets of a service say so together, with the number of requests that each of them can reject
//! in one second. Where that number is small, to send less once requests were rejected is too late:
//! entries do not know of each other's in time. The entry that owns a target therefore grants each
//! request to it while that lasts. It grants one only while those that may still be rejected and those
//! that were rejected within the last second are fewer than the target can reject.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Time;

/// How long a service counts as fragile after one of its targets said so.
const HOLD: Duration = Duration::from_secs(5);

/// How often an entry that hears it announces it to others.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// How long rejections count: a second, and the delay with which the owner hears of them.
const REJECTION_WINDOW: Duration = Duration::from_millis(1_300);

/// The time after which a request that was not granted may be granted.
const RETRY: Duration = Duration::from_millis(20);

/// How long a grant counts whose end is not reported, such as that of an entry that was killed.
const GRANT_TTL: Duration = Duration::from_secs(5);

/// How many requests a target can reject in one second.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tolerance(u32);

/// A tolerance that is not a number, or negative.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a number of requests; send digits")]
pub struct ToleranceError;

impl Tolerance {
    /// Creates a tolerance.
    pub const fn new(count: u32) -> Self {
        Self(count)
    }

    /// Returns how many requests may be rejected. One request must be sent to learn whether there is
    /// room again.
    fn count(self) -> usize {
        self.0.max(1) as usize
    }
}

impl std::str::FromStr for Tolerance {
    type Err = ToleranceError;

    fn from_str(text: &str) -> Result<Self, ToleranceError> {
        let number: f64 = text.trim().parse().map_err(|_| ToleranceError)?;
        match number >= 0.0 {
            // Saturates where the number is larger than any target has requests.
            true => Ok(Self(number as u32)),
            false => Err(ToleranceError),
        }
    }
}

/// The tolerance of the targets of one service, as entries announce it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The service.
    pub service: id::Service,
    /// The tolerance.
    pub tolerance: Tolerance,
    /// How many milliseconds ago a target said it.
    #[serde(rename = "age")]
    pub age_ms: u64,
}

/// The fragile services, as known to one entry.
#[derive(Clone, Debug, Default)]
pub struct Services {
    said: BTreeMap<id::Service, Said>,
}

#[derive(Clone, Copy, Debug)]
struct Said {
    tolerance: Tolerance,
    at: Time,
    announced_at: Option<Time>,
}

impl Services {
    /// Records what an answer of a target says, and returns the update that is to be announced; `None`
    /// where others have heard it recently.
    pub fn record(
        &mut self,
        now: Time,
        service: &id::Service,
        tolerance: Tolerance,
    ) -> Option<Update> {
        let changed = self.set(now, service, tolerance);
        let said = self.said.get_mut(service)?;
        let recent = |at: Time| now.since(at) < ANNOUNCE_INTERVAL;
        if !changed && said.announced_at.is_some_and(recent) {
            return None;
        }
        said.announced_at = Some(now);
        Some(Update { service: service.clone(), tolerance: said.tolerance, age_ms: 0 })
    }

    /// Applies the update of another entry, and returns whether it is new enough to be passed on.
    pub fn apply(&mut self, now: Time, update: &Update) -> bool {
        let at = now - Duration::from_millis(update.age_ms);
        let before = self.said.get(&update.service).copied();
        let changed = self.set(at, &update.service, update.tolerance);
        let extends = |known: Said| at.since(known.at) >= ANNOUNCE_INTERVAL / 2;
        changed || before.is_none_or(extends)
    }

    /// Returns the tolerance of the targets of a service; `None` if it is not fragile.
    pub fn tolerance(&self, now: Time, service: &id::Service) -> Option<Tolerance> {
        let said = self.said.get(service).filter(|said| now.since(said.at) < HOLD)?;
        Some(said.tolerance)
    }

    /// Sets what a target said at a time, and returns whether that differs from what was known. Of
    /// different values that are said at one time the smallest counts.
    fn set(&mut self, at: Time, service: &id::Service, tolerance: Tolerance) -> bool {
        let known = self.said.get(service).filter(|said| at.since(said.at) < HOLD).copied();
        let (announced_at, differs) = match known {
            Some(known) if known.at > at => return false,
            Some(known)
                if known.tolerance < tolerance && at.since(known.at) < ANNOUNCE_INTERVAL =>
            {
                return false;
            }
            Some(known) => (known.announced_at, known.tolerance != tolerance),
            None => (None, true),
        };
        self.said.insert(service.clone(), Said { tolerance, at, announced_at });
        differs
    }
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The target accepted it.
    Accepted,
    /// The target rejected it for want of room.
    Rejected,
    /// Neither is known.
    Unknown,
}

/// The grants of the entry that owns fragile targets.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    targets: HashMap<id::Target, State>,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// The requests that were granted and have not ended, the earliest first.
    granted: VecDeque<Grant>,
    /// When requests were rejected, within [`REJECTION_WINDOW`].
    rejected: VecDeque<Time>,
    /// The requests that the target has shown to have room for since its room shrank; `None` if it
    /// has not.
    proven: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    at: Time,
    /// The requests at the target, with this one. If it is accepted, there is room for as many.
    rank: usize,
}

impl State {
    fn expire(&mut self, now: Time) {
        while self.granted.front().is_some_and(|grant| now.since(grant.at) >= GRANT_TTL) {
            self.granted.pop_front();
        }
        while self.rejected.front().is_some_and(|at| now.since(*at) >= REJECTION_WINDOW) {
            self.rejected.pop_front();
        }
    }

    /// Returns the requests that the target has room for with certainty: one at least, if it is no
    /// engine.
    ///
    /// Of those that were granted when one was accepted, some had ended already, since the owner hears
    /// of it late; a quarter is left out for them.
    fn certain(&self, slots: usize) -> usize {
        let known = |proven: usize| (proven - proven.div_ceil(4)).max(1);
        self.proven.map_or(slots, known).min(slots)
    }

    /// Returns when to ask again for a request that may not be sent now.
    fn retry(&self, now: Time) -> Duration {
        let oldest = self.rejected.front().filter(|_| self.granted.is_empty());
        oldest.map_or(RETRY, |at| (*at + REJECTION_WINDOW).since(now).max(RETRY))
    }
}

impl Grants {
    /// Grants a request to a target with `slots`, or returns the time after which to ask again.
    ///
    /// For an engine `slots` is 0, and a grant ends when the answer begins: how many requests it has
    /// room for depends on their size. Other targets get no more than they have slots.
    pub fn try_grant(
        &mut self,
        now: Time,
        target: &id::Target,
        slots: usize,
        tolerance: Tolerance,
    ) -> Option<Duration> {
        let state = self.targets.entry(target.clone()).or_default();
        state.expire(now);
        let rank = state.granted.len() + 1;
        let uncertain = rank.saturating_sub(state.certain(slots));
        let may_be_rejected = uncertain + state.rejected.len();
        if (slots > 0 && rank > slots) || (uncertain > 0 && may_be_rejected > tolerance.count()) {
            return Some(state.retry(now));
        }
        state.granted.push_back(Grant { at: now, rank });
        None
    }

    /// Records how a request ended that was granted.
    pub fn release(&mut self, now: Time, target: &id::Target, slots: usize, ending: Ending) {
        let Some(state) = self.targets.get_mut(target) else { return };
        state.expire(now);
        match ending {
            Ending::Unknown => {
                state.granted.pop_front();
            }
            Ending::Accepted => {
                let rank = state.granted.pop_front().map_or(0, |grant| grant.rank);
                state.proven = state.proven.map(|proven| proven.max(rank));
            }
            Ending::Rejected => {
                let count = state.granted.len();
                // Of several, the one that was granted last found the least room.
                state.granted.pop_back();
                state.rejected.push_back(now);
                if count <= state.certain(slots) {
                    // Its room has shrunk. What it accepted before proves nothing.
                    state.proven = Some(0);
                    state.granted.iter_mut().for_each(|grant| grant.rank = 0);
                }
            }
        }
    }

    /// Drops the state of targets that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&id::Target) -> bool) {
        self.targets.retain(|target, _| listed(target));
    }
}
