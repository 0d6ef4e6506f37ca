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
const MOST: f64 = 1e6;

/// By which part a limit must have changed for the others to be told.
const NEWS: f64 = 0.1;

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
            Ok(rate) if (0.0..=MOST).contains(&rate.get()) => Self::Limit(rate),
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
struct Named {
    start: Option<Start>,
    limit: Option<RequestRate>,
    at: Time,
    /// What the others were last told.
    told: Option<RequestRate>,
}

/// Limits that targets have named.
#[derive(Debug, Default)]
pub struct Limits {
    named: HashMap<id::Target, Named>,
    news: Vec<id::Target>,
}

impl Limits {
    /// Takes in what the answer to a request says that was sent at `sent`; returns whether the limit
    /// is another than before.
    ///
    /// An answer without a limit lifts one only where its request was sent after that was named:
    /// answers overtake each other.
    pub fn answered(
        &mut self,
        now: Time,
        target: &Target,
        sent: Time,
        said: Advertisement,
    ) -> bool {
        let known = self.named.get(&target.id).filter(|named| !is_older(named.start, target.start));
        let limit = match (said, known) {
            (Advertisement::Invalid, _) | (Advertisement::Absent, None) => return false,
            (Advertisement::Absent, Some(known)) if known.limit.is_none() || sent <= known.at => {
                return false;
            }
            (Advertisement::Absent, Some(_)) => None,
            (Advertisement::Limit(rate), _) => Some(rate),
        };
        let before = known.and_then(|known| known.limit);
        let told = known.and_then(|known| known.told);
        let named = Named { start: target.start, limit, at: now, told };
        self.named.insert(target.id.clone(), named);
        if is_news(told, limit) && !self.news.contains(&target.id) {
            self.news.push(target.id.clone());
        }
        before != limit
    }

    /// Takes in what another entry heard; returns the words that were news.
    pub fn hear(&mut self, now: Time, words: Vec<Update>) -> Vec<Update> {
        words.into_iter().filter(|word| self.take(now, word)).collect()
    }

    fn take(&mut self, now: Time, word: &Update) -> bool {
        let at = now - Duration::from_millis(word.age_ms);
        if let Some(known) = self.named.get(&word.target) {
            let later = is_older(word.start, known.start);
            let older = !is_older(known.start, word.start) && at <= known.at;
            if later || older {
                return false;
            }
        }
        let before = self.limit(&word.target);
        let named = Named { start: word.start, limit: word.limit, at, told: word.limit };
        self.named.insert(word.target.clone(), named);
        is_news(before, word.limit)
    }

    /// What a target takes, where it names a limit.
    pub fn limit(&self, target: &id::Target) -> Option<RequestRate> {
        self.named.get(target)?.limit
    }

    /// Targets that name a limit.
    pub fn limited(&self) -> usize {
        self.named.values().filter(|named| named.limit.is_some()).count()
    }

    /// Forgets targets that are listed no more, and what earlier starts of others said.
    pub fn keep<'a>(&mut self, listed: impl Fn(&id::Target) -> Option<&'a Target>) {
        self.named.retain(|id, named| {
            listed(id).is_some_and(|target| !is_older(named.start, target.start))
        });
    }

    /// What others should hear of since this was last asked.
    pub fn take_news(&mut self, now: Time) -> Vec<Update> {
        let news = std::mem::take(&mut self.news);
        for target in &news {
            if let Some(named) = self.named.get_mut(target) {
                named.told = named.limit;
            }
        }
        news.iter().filter_map(|target| self.word(now, target)).collect()
    }

    /// All limits that are named, for an entry that knows none.
    pub fn all(&self, now: Time) -> Vec<Update> {
        let limited = self.named.iter().filter(|(_, named)| named.limit.is_some());
        limited.filter_map(|(target, _)| self.word(now, target)).collect()
    }

    /// What is known of one target.
    pub fn word(&self, now: Time, target: &id::Target) -> Option<Update> {
        let named = self.named.get(target)?;
        let age_ms = u64::try_from(now.since(named.at).as_millis()).unwrap_or(u64::MAX);
        Some(Update { target: target.clone(), start: named.start, limit: named.limit, age_ms })
    }
}

/// Whether one start is known to be before another.
fn is_older(one: Option<Start>, other: Option<Start>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one < other)
}

/// Whether a limit differs so much from what was told that others should hear of it.
fn is_news(told: Option<RequestRate>, limit: Option<RequestRate>) -> bool {
    match (told, limit) {
        (Some(told), Some(limit)) => {
            (told.get() - limit.get()).abs() > NEWS * told.get().max(limit.get())
        }
        (told, limit) => told.is_some() != limit.is_some(),
    }
}
