//! What targets say they take, of all entries together.
//!
//! Pattern `named-limits`: a target in need names in its answers how many requests a second
//! it takes. Each entry that reads it tells the others, and asks the one that keeps the target's
//! [`Keeper`] bucket before it sends there. Counted by each for itself, a target gets the limit once
//! for each entry; divided among them, an entry with all the traffic can't use it.

use std::collections::{HashMap, VecDeque};
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
pub enum Said {
    /// It names none.
    #[default]
    Nothing,
    /// It takes so much.
    Limit(RequestRate),
    /// It names something that is no rate, which says nothing about the one before.
    Unreadable,
}

impl Said {
    /// Reads a limit as it is named.
    pub fn parse(text: &str) -> Self {
        match RequestRate::from_str(text.trim()) {
            Ok(rate) if (0.0..=MOST).contains(&rate.get()) => Self::Limit(rate),
            _ => Self::Unreadable,
        }
    }
}

/// What entries tell each other of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The target.
    pub target: id::Target,
    /// Which start of it.
    pub start: Option<Start>,
    /// What it takes; `None` where it names no limit any more.
    pub limit: Option<RequestRate>,
    /// How many milliseconds ago it said so.
    pub age: u64,
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
pub struct Book {
    named: HashMap<id::Target, Named>,
    news: Vec<id::Target>,
}

impl Book {
    /// Takes in what the answer to a request says that was sent at `sent`; returns whether the limit
    /// is another than before.
    ///
    /// An answer without a limit lifts one only where its request was sent after that was named:
    /// answers overtake each other.
    pub fn answered(&mut self, now: Time, target: &Target, sent: Time, said: Said) -> bool {
        let known = self.named.get(&target.id).filter(|named| !is_older(named.start, target.start));
        let limit = match (said, known) {
            (Said::Unreadable, _) | (Said::Nothing, None) => return false,
            (Said::Nothing, Some(known)) if known.limit.is_none() || sent <= known.at => {
                return false;
            }
            (Said::Nothing, Some(_)) => None,
            (Said::Limit(rate), _) => Some(rate),
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
    pub fn hear(&mut self, now: Time, words: Vec<Word>) -> Vec<Word> {
        words.into_iter().filter(|word| self.take(now, word)).collect()
    }

    fn take(&mut self, now: Time, word: &Word) -> bool {
        let at = now - Duration::from_millis(word.age);
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
    pub fn take_news(&mut self, now: Time) -> Vec<Word> {
        let news = std::mem::take(&mut self.news);
        for target in &news {
            if let Some(named) = self.named.get_mut(target) {
                named.told = named.limit;
            }
        }
        news.iter().filter_map(|target| self.word(now, target)).collect()
    }

    /// All limits that are named, for an entry that knows none.
    pub fn all(&self, now: Time) -> Vec<Word> {
        let limited = self.named.iter().filter(|(_, named)| named.limit.is_some());
        limited.filter_map(|(target, _)| self.word(now, target)).collect()
    }

    /// What is known of one target.
    pub fn word(&self, now: Time, target: &id::Target) -> Option<Word> {
        let named = self.named.get(target)?;
        let age = u64::try_from(now.since(named.at).as_millis()).unwrap_or(u64::MAX);
        Some(Word { target: target.clone(), start: named.start, limit: named.limit, age })
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

/// Requests a second that are sent to a target that takes none: one now and then shows when it takes
/// some again.
const LEAST: f64 = 0.2;

/// Requests that a target may get at once after it has got fewer than it takes, and the time whose
/// requests may come on top.
const SAVED: (f64, f64) = (1.0, 0.5);

/// The longest that an entry stays away from a target before it asks again.
const LONGEST: Duration = Duration::from_secs(1);

/// For how long entries that were alive count among those that may be sending: as long as failure
/// domains lose each other.
const SENDING: Duration = Duration::from_secs(300);

/// What both halves of a fleet that can't reach each other may send together, in limits.
const HALVES: f64 = 1.3;

/// What may still be sent to one target.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tokens: f64,
    filled: Time,
    /// Requests that were told to come back and have not.
    promised: f64,
}

impl Bucket {
    fn open(now: Time) -> Self {
        Self { filled: now, ..Self::default() }
    }

    fn fill(&mut self, now: Time, rate: f64) {
        let earned = rate * now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + earned).min(SAVED.0 + SAVED.1 * rate);
        self.promised = (self.promised - earned).max(0.0);
        self.filled = now;
    }

    /// Takes one, or says when to ask again; those that are told so come one after the other.
    fn take(&mut self, now: Time, rate: f64) -> Option<Duration> {
        self.fill(now, rate);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        let wait = (1.0 - self.tokens + self.promised) / rate;
        self.promised += 1.0;
        Some(Duration::from_secs_f64(wait.min(LONGEST.as_secs_f64())))
    }
}

/// Decides for all entries what is sent to targets that name a limit.
///
/// One entry keeps a target's bucket, so the bound is exact wherever traffic comes in. Entries that
/// can't reach each other keep one on each side: each side takes the part of the limit that it has of
/// the entries that were alive lately, and a little more, since some of the others are gone.
#[derive(Debug, Default)]
pub struct Keeper {
    buckets: HashMap<id::Target, Bucket>,
    /// How many entries were alive, and since when, the earliest first.
    alive: VecDeque<(Time, usize)>,
}

impl Keeper {
    /// Notes how many entries are alive.
    pub fn set_alive(&mut self, now: Time, count: usize) {
        if self.alive.back().is_none_or(|(_, last)| *last != count) {
            self.alive.push_back((now, count));
        }
        // Each count lasts until the next one.
        while self.alive.get(1).is_some_and(|(next, _)| now.since(*next) >= SENDING) {
            self.alive.pop_front();
        }
    }

    /// The part of a limit that is this side's.
    fn part(&self) -> f64 {
        let now = self.alive.back().map_or(1, |(_, count)| *count);
        let most = self.alive.iter().map(|(_, count)| *count).max().unwrap_or(1);
        (HALVES * now as f64 / most.max(1) as f64).min(1.0)
    }

    fn rate(&self, limit: RequestRate) -> f64 {
        (limit.get() * self.part()).max(LEAST)
    }

    /// Grants one request to a target, or says when to ask again.
    pub fn try_send(
        &mut self,
        now: Time,
        target: &id::Target,
        limit: RequestRate,
    ) -> Option<Duration> {
        let rate = self.rate(limit);
        self.bucket(now, target).take(now, rate)
    }

    /// Counts a request that is sent in any case.
    pub fn spend(&mut self, now: Time, target: &id::Target, limit: RequestRate) {
        let rate = self.rate(limit);
        let bucket = self.bucket(now, target);
        bucket.fill(now, rate);
        bucket.tokens -= 1.0;
    }

    fn bucket(&mut self, now: Time, target: &id::Target) -> &mut Bucket {
        self.buckets.entry(target.clone()).or_insert_with(|| Bucket::open(now))
    }

    /// Forgets targets that name no limit any more.
    pub fn keep(&mut self, limited: impl Fn(&id::Target) -> bool) {
        self.buckets.retain(|target, _| limited(target));
    }
}
