//! The one entry that decides for all what a target gets: one that names a limit, or that is cold.
//!
//! Counted by each entry for itself, a target gets its limit once for each; divided among them, an entry
//! with all the traffic can't use it, and with a limit below one request a second for each nobody may send.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::cold;
use crate::id;
use crate::time::Time;
use crate::unit::RequestRate;

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

/// What the seconds of a bucket and of its target may differ by, as a part of the most in a second: requests
/// take unlike long from the entry that decides to the target.
const JITTER: f64 = 0.1;

/// The part of the most in a second at which requests may follow each other, where a bucket holds one only.
const SPACED: f64 = 0.85;

/// A rate at which nothing is sent.
const NEVER: f64 = 1e-9;

/// What a target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// The limit that it names.
    pub named: Option<RequestRate>,
    /// What it may get because it is cold.
    pub cold: Option<cold::Terms>,
}

/// How a bucket fills.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Requests a second.
    rate: f64,
    /// Requests that it holds at most.
    saved: f64,
}

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

    fn fill(&mut self, now: Time, pace: Pace) {
        let earned = pace.rate * now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + earned).min(pace.saved);
        self.promised = (self.promised - earned).max(0.0);
        self.filled = now;
    }

    /// Takes one, or says when to ask again; those that are told so come one after the other.
    fn take(&mut self, now: Time, pace: Pace) -> Option<Duration> {
        self.fill(now, pace);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        let wait = (1.0 - self.tokens + self.promised) / pace.rate.max(NEVER);
        // Below one a second one promise alone would outlast the longest wait.
        if pace.rate > 1.0 {
            self.promised += 1.0;
        }
        Some(Duration::from_secs_f64(wait.min(LONGEST.as_secs_f64())))
    }
}

/// Decides for all entries what is sent to targets that take only so much.
///
/// One entry keeps a target's bucket, so the bound is exact wherever traffic comes in. Entries that
/// can't reach each other keep one on each side: each side takes the part of the limit that it has of
/// the entries that were alive lately, and a little more, since some of the others are gone.
#[derive(Debug, Default)]
pub struct Buckets {
    buckets: HashMap<id::Target, Bucket>,
    /// How many entries were alive, and since when, the earliest first.
    alive: VecDeque<(Time, usize)>,
    /// From when it knows the other entries.
    settled: Time,
}

impl Buckets {
    /// The keeper of an entry that knows the others from a time on. Before, each of several that start
    /// together would decide for all, so it lets nothing through to targets that crash above a bound.
    pub fn settled_from(settled: Time) -> Self {
        Self { settled, ..Self::default() }
    }

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

    /// The part of the entries that this side has.
    fn part(&self) -> f64 {
        let now = self.alive.back().map_or(1, |(_, count)| *count);
        let most = self.alive.iter().map(|(_, count)| *count).max().unwrap_or(1);
        now as f64 / most.max(1) as f64
    }

    fn named(&self, limit: RequestRate) -> Pace {
        let rate = (limit.get() * (HALVES * self.part()).min(1.0)).max(LEAST);
        Pace { rate, saved: SAVED.0 + SAVED.1 * rate }
    }

    /// A target that is cold crashes above its bound, so both halves of a fleet together must keep it: of a
    /// bound too small to be divided the larger half has one request.
    fn cold(&self, now: Time, terms: &cold::Terms) -> Pace {
        let part = self.part();
        let shared = (terms.most() * part).floor();
        let most = if part > 0.5 { shared.max(terms.most().min(1.0)) } else { shared };
        if most < 1.0 || now < self.settled {
            return Pace { rate: 0.0, saved: 0.0 };
        }
        let rate = (terms.per_s.get() * part).min(SPACED * most);
        let spare = (1.0 - JITTER) * most - rate;
        Pace { rate, saved: (SAVED.0 + SAVED.1 * rate).min(spare).max(1.0) }
    }

    fn pace(&self, now: Time, allowance: &Allowance) -> Option<Pace> {
        let named = allowance.named.map(|limit| self.named(limit));
        let cold = allowance.cold.map(|terms| self.cold(now, &terms));
        let stricter =
            |a: Pace, b: Pace| Pace { rate: a.rate.min(b.rate), saved: a.saved.min(b.saved) };
        match (named, cold) {
            (Some(named), Some(cold)) => Some(stricter(named, cold)),
            (named, cold) => named.or(cold),
        }
    }

    /// Grants one request to a target, or says when to ask again.
    pub fn try_send(
        &mut self,
        now: Time,
        target: &id::Target,
        allowance: &Allowance,
    ) -> Option<Duration> {
        let pace = self.pace(now, allowance)?;
        self.bucket(now, target).take(now, pace)
    }

    /// Counts a request that is sent in any case.
    pub fn spend(&mut self, now: Time, target: &id::Target, allowance: &Allowance) {
        let Some(pace) = self.pace(now, allowance) else { return };
        let bucket = self.bucket(now, target);
        bucket.fill(now, pace);
        bucket.tokens -= 1.0;
    }

    fn bucket(&mut self, now: Time, target: &id::Target) -> &mut Bucket {
        self.buckets.entry(target.clone()).or_insert_with(|| Bucket::open(now))
    }

    /// Forgets targets that take all that comes.
    pub fn keep(&mut self, limited: impl Fn(&id::Target) -> bool) {
        self.buckets.retain(|target, _| limited(target));
    }
}
