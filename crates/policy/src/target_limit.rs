//! Limits that targets advertise, in requests a second from all entries together.
//!
//! An overloaded target advertises its limit in its answers. Each entry that receives such an
//! answer announces the limit to the others, and asks the entry that owns the target's [token
//! bucket](crate::token_bucket) before it sends there.

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::{Start, Target};
use crate::time::Time;
use crate::unit::RequestRate;

/// The largest limit, in requests a second; a larger one is invalid.
const MAX_LIMIT_PER_SECOND: f64 = 1e6;

/// The relative change from which on a limit is announced to other entries.
const ANNOUNCE_THRESHOLD: f64 = 0.1;

/// What one answer says about the limit of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Advertisement {
    /// The answer has no limit.
    #[default]
    Absent,
    /// The target takes this many requests a second.
    Limit(RequestRate),
    /// The answer has a limit that is not a valid rate; the previous limit stays in force.
    Invalid,
}

impl Advertisement {
    /// Parses the limit in an answer.
    pub fn parse(text: &str) -> Self {
        match RequestRate::from_str(text.trim()) {
            Ok(rate) if (0.0..=MAX_LIMIT_PER_SECOND).contains(&rate.get()) => Self::Limit(rate),
            _ => Self::Invalid,
        }
    }
}

/// The limit of one target, as entries announce it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The target.
    pub target: id::Target,
    /// The start of the target that this is about, if the target reports its start.
    pub start: Option<Start>,
    /// The limit; `None` if the target no longer advertises one.
    pub limit: Option<RequestRate>,
    /// How many milliseconds ago the target advertised it.
    #[serde(rename = "age")]
    pub age_ms: u64,
}

/// The last advertisement of one target.
#[derive(Clone, Copy, Debug)]
struct Record {
    start: Option<Start>,
    limit: Option<RequestRate>,
    advertised_at: Time,
    /// The limit that was last announced to other entries.
    announced: Option<RequestRate>,
}

/// Limits that targets advertise, as known to one entry.
#[derive(Debug, Default)]
pub struct Limits {
    records: HashMap<id::Target, Record>,
    pending: Vec<id::Target>,
}

impl Limits {
    /// Records what the answer to a request says about the limit of its target, and returns whether
    /// the limit changed.
    ///
    /// Answers may arrive out of order, so an answer without a limit clears a limit only if its
    /// request was sent, at `sent_at`, after the limit was received.
    pub fn record_answer(
        &mut self,
        now: Time,
        target: &Target,
        sent_at: Time,
        advertised: Advertisement,
    ) -> bool {
        let known = self
            .records
            .get(&target.id)
            .filter(|record| !is_earlier_start(record.start, target.start));
        let limit = match (advertised, known) {
            (Advertisement::Invalid, _) | (Advertisement::Absent, None) => return false,
            (Advertisement::Absent, Some(known))
                if known.limit.is_none() || sent_at <= known.advertised_at =>
            {
                return false;
            }
            (Advertisement::Absent, Some(_)) => None,
            (Advertisement::Limit(rate), _) => Some(rate),
        };
        let before = known.and_then(|known| known.limit);
        let announced = known.and_then(|known| known.announced);
        let record = Record { start: target.start, limit, advertised_at: now, announced };
        self.records.insert(target.id.clone(), record);
        if should_announce(announced, limit) && !self.pending.contains(&target.id) {
            self.pending.push(target.id.clone());
        }
        before != limit
    }

    /// Applies updates of another entry, and returns those that differ enough from what was known
    /// to be passed on.
    pub fn apply(&mut self, now: Time, updates: Vec<Update>) -> Vec<Update> {
        updates.into_iter().filter(|update| self.apply_one(now, update)).collect()
    }

    fn apply_one(&mut self, now: Time, update: &Update) -> bool {
        let advertised_at = now - Duration::from_millis(update.age_ms);
        if let Some(known) = self.records.get(&update.target) {
            let from_earlier_start = is_earlier_start(update.start, known.start);
            let outdated = !is_earlier_start(known.start, update.start)
                && advertised_at <= known.advertised_at;
            if from_earlier_start || outdated {
                return false;
            }
        }
        let before = self.limit(&update.target);
        let record = Record {
            start: update.start,
            limit: update.limit,
            advertised_at,
            announced: update.limit,
        };
        self.records.insert(update.target.clone(), record);
        should_announce(before, update.limit)
    }

    /// Returns the limit of a target, if it advertises one.
    pub fn limit(&self, target: &id::Target) -> Option<RequestRate> {
        self.records.get(target)?.limit
    }

    /// Returns how many targets advertise a limit.
    pub fn limited_count(&self) -> usize {
        self.records.values().filter(|record| record.limit.is_some()).count()
    }

    /// Drops the limits of targets that are not listed any more, and those that an earlier start of
    /// a target advertised.
    pub fn retain<'a>(&mut self, listed: impl Fn(&id::Target) -> Option<&'a Target>) {
        self.records.retain(|id, record| {
            listed(id).is_some_and(|target| !is_earlier_start(record.start, target.start))
        });
    }

    /// Takes the updates to announce to other entries since the last call.
    pub fn take_updates(&mut self, now: Time) -> Vec<Update> {
        let pending = std::mem::take(&mut self.pending);
        for target in &pending {
            if let Some(record) = self.records.get_mut(target) {
                record.announced = record.limit;
            }
        }
        pending.iter().filter_map(|target| self.to_update(now, target)).collect()
    }

    /// Returns an update for each advertised limit, for an entry that knows none.
    pub fn all_updates(&self, now: Time) -> Vec<Update> {
        let limited = self.records.iter().filter(|(_, record)| record.limit.is_some());
        limited.filter_map(|(target, _)| self.to_update(now, target)).collect()
    }

    /// Returns the update for one target; `None` if nothing is known about its limit.
    pub fn to_update(&self, now: Time, target: &id::Target) -> Option<Update> {
        let record = self.records.get(target)?;
        let age_ms = u64::try_from(now.since(record.advertised_at).as_millis()).unwrap_or(u64::MAX);
        Some(Update { target: target.clone(), start: record.start, limit: record.limit, age_ms })
    }
}

/// Returns whether one start is known to be earlier than another.
fn is_earlier_start(one: Option<Start>, other: Option<Start>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one < other)
}

/// Returns whether a limit differs enough from the one last announced to be announced again.
fn should_announce(announced: Option<RequestRate>, limit: Option<RequestRate>) -> bool {
    match (announced, limit) {
        (Some(announced), Some(limit)) => {
            (announced.get() - limit.get()).abs()
                > ANNOUNCE_THRESHOLD * announced.get().max(limit.get())
        }
        (announced, limit) => announced.is_some() != limit.is_some(),
    }
}
