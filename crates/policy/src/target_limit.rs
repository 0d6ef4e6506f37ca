//! What targets say they take, of all entries together.
//!
//! Pattern `named-limits`: a target in need names in its answers how many requests a second it takes.
//! Each entry that reads it tells the others, and asks the one that
//! [keeps the target's bucket](crate::token_bucket) before it sends there.

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::{Start, Target};
use crate::time::Time;
use crate::unit::RequestRate;

/// A larger limit is none.
const MAX_LIMIT_PER_SECOND: f64 = 1e6;

/// By which part a limit must have changed for the others to be told.
const ANNOUNCE_THRESHOLD: f64 = 0.1;

/// What one answer says of its target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Advertisement {
    /// It names none.
    #[default]
    Absent,
    /// It takes so much.
    Limit(RequestRate),
    /// It names something that is no rate, which says nothing about the one before.
    Invalid,
}

impl Advertisement {
    /// Reads a limit as it is named.
    pub fn parse(text: &str) -> Self {
        match RequestRate::from_str(text.trim()) {
            Ok(rate) if (0.0..=MAX_LIMIT_PER_SECOND).contains(&rate.get()) => Self::Limit(rate),
            _ => Self::Invalid,
        }
    }
}

/// What entries tell each other of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The target.
    pub target: id::Target,
    /// Which start of it.
    pub start: Option<Start>,
    /// What it takes; `None` where it names no limit any more.
    pub limit: Option<RequestRate>,
    /// How many milliseconds ago it said so.
    #[serde(rename = "age")]
    pub age_ms: u64,
}

/// What one target said last.
#[derive(Clone, Copy, Debug)]
struct Record {
    start: Option<Start>,
    limit: Option<RequestRate>,
    advertised_at: Time,
    /// What the others were last told.
    announced: Option<RequestRate>,
}

/// Limits that targets have named.
#[derive(Debug, Default)]
pub struct Limits {
    records: HashMap<id::Target, Record>,
    pending: Vec<id::Target>,
}

impl Limits {
    /// Takes in what the answer to a request says that was sent at `sent`; returns whether the limit
    /// is another than before.
    ///
    /// An answer without a limit lifts one only where its request was sent after that was named:
    /// answers overtake each other.
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

    /// Takes in what another entry heard; returns the words that were news.
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

    /// What a target takes, where it names a limit.
    pub fn limit(&self, target: &id::Target) -> Option<RequestRate> {
        self.records.get(target)?.limit
    }

    /// Targets that name a limit.
    pub fn limited_count(&self) -> usize {
        self.records.values().filter(|record| record.limit.is_some()).count()
    }

    /// Forgets targets that are listed no more, and what earlier starts of others said.
    pub fn retain<'a>(&mut self, listed: impl Fn(&id::Target) -> Option<&'a Target>) {
        self.records.retain(|id, record| {
            listed(id).is_some_and(|target| !is_earlier_start(record.start, target.start))
        });
    }

    /// What others should hear of since this was last asked.
    pub fn take_updates(&mut self, now: Time) -> Vec<Update> {
        let pending = std::mem::take(&mut self.pending);
        for target in &pending {
            if let Some(record) = self.records.get_mut(target) {
                record.announced = record.limit;
            }
        }
        pending.iter().filter_map(|target| self.to_update(now, target)).collect()
    }

    /// All limits that are named, for an entry that knows none.
    pub fn all_updates(&self, now: Time) -> Vec<Update> {
        let limited = self.records.iter().filter(|(_, record)| record.limit.is_some());
        limited.filter_map(|(target, _)| self.to_update(now, target)).collect()
    }

    /// What is known of one target.
    pub fn to_update(&self, now: Time, target: &id::Target) -> Option<Update> {
        let record = self.records.get(target)?;
        let age_ms = u64::try_from(now.since(record.advertised_at).as_millis()).unwrap_or(u64::MAX);
        Some(Update { target: target.clone(), start: record.start, limit: record.limit, age_ms })
    }
}

/// Whether one start is known to be before another.
fn is_earlier_start(one: Option<Start>, other: Option<Start>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one < other)
}

/// Whether a limit differs so much from what was told that others should hear of it.
fn should_announce(announced: Option<RequestRate>, limit: Option<RequestRate>) -> bool {
    match (announced, limit) {
        (Some(announced), Some(limit)) => {
            (announced.get() - limit.get()).abs()
                > ANNOUNCE_THRESHOLD * announced.get().max(limit.get())
        }
        (announced, limit) => announced.is_some() != limit.is_some(),
    }
}
