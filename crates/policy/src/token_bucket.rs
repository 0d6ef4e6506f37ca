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
const MIN_REQUESTS_PER_SECOND: f64 = 0.2;

/// Requests that a target may get at once after it has got fewer than it takes, and the time whose
/// requests may come on top.
const BURST_REQUESTS: f64 = 1.0;

/// The time whose requests may come on top of [`BURST_REQUESTS`].
const BURST_SECONDS: f64 = 0.5;

/// The longest that an entry stays away from a target before it asks again.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// For how long entries that were alive count among those that may be sending: as long as failure
/// domains lose each other.
const PARTITION_WINDOW: Duration = Duration::from_secs(300);

/// What both halves of a fleet that can't reach each other may send together, in limits.
const PARTITION_FACTOR: f64 = 1.3;

/// What the seconds of a bucket and of its target may differ by, as a part of the most in a second: requests
/// take unlike long from the entry that decides to the target.
const JITTER_RATIO: f64 = 0.1;

/// The part of the most in a second at which requests may follow each other, where a bucket holds one only.
const MAX_REFILL_RATIO: f64 = 0.85;

/// A rate at which nothing is sent.
const MIN_DIVISOR: f64 = 1e-9;

/// What a target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// The limit that it names.
    pub advertised: Option<RequestRate>,
    /// What it may get because it is cold.
    pub cold: Option<cold::Limit>,
}

/// How a bucket fills.
#[derive(Clone, Copy, Debug)]
struct Refill {
    /// Requests a second.
    rate: f64,
    /// Requests that it holds at most.
    burst: f64,
}

/// What may still be sent to one target.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tokens: f64,
    filled_at: Time,
    /// Requests that were told to come back and have not.
    deferred: f64,
}

impl Bucket {
    fn new(now: Time) -> Self {
        Self { filled_at: now, ..Self::default() }
    }

    fn add_tokens(&mut self, now: Time, refill: Refill) {
        let earned = refill.rate * now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(refill.burst);
        self.deferred = (self.deferred - earned).max(0.0);
        self.filled_at = now;
    }

    /// Takes one, or says when to ask again; those that are told so come one after the other.
    fn try_take(&mut self, now: Time, refill: Refill) -> Option<Duration> {
        self.add_tokens(now, refill);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        let wait = (1.0 - self.tokens + self.deferred) / refill.rate.max(MIN_DIVISOR);
        // Below one a second one promise alone would outlast the longest wait.
        if refill.rate > 1.0 {
            self.deferred += 1.0;
        }
        Some(Duration::from_secs_f64(wait.min(MAX_WAIT.as_secs_f64())))
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
    alive_counts: VecDeque<(Time, usize)>,
    /// From when it knows the other entries.
    membership_known_at: Time,
}

impl Buckets {
    /// The keeper of an entry that knows the others from a time on. Before, each of several that start
    /// together would decide for all, so it lets nothing through to targets that crash above a bound.
    pub fn with_membership_known_at(membership_known_at: Time) -> Self {
        Self { membership_known_at, ..Self::default() }
    }

    /// Notes how many entries are alive.
    pub fn set_alive(&mut self, now: Time, count: usize) {
        if self.alive_counts.back().is_none_or(|(_, last)| *last != count) {
            self.alive_counts.push_back((now, count));
        }
        // Each count lasts until the next one.
        while self.alive_counts.get(1).is_some_and(|(next, _)| now.since(*next) >= PARTITION_WINDOW)
        {
            self.alive_counts.pop_front();
        }
    }

    /// The part of the entries that this side has.
    fn fleet_fraction(&self) -> f64 {
        let current = self.alive_counts.back().map_or(1, |(_, count)| *count);
        let peak = self.alive_counts.iter().map(|(_, count)| *count).max().unwrap_or(1);
        current as f64 / peak.max(1) as f64
    }

    fn advertised_refill(&self, limit: RequestRate) -> Refill {
        let rate = (limit.get() * (PARTITION_FACTOR * self.fleet_fraction()).min(1.0))
            .max(MIN_REQUESTS_PER_SECOND);
        Refill { rate, burst: BURST_REQUESTS + BURST_SECONDS * rate }
    }

    /// A target that is cold crashes above its bound, so both halves of a fleet together must keep it: of a
    /// bound too small to be divided the larger half has one request.
    fn cold_refill(&self, now: Time, limit: &cold::Limit) -> Refill {
        let fraction = self.fleet_fraction();
        let shared = (limit.max_per_second() * fraction).floor();
        let max = if fraction > 0.5 { shared.max(limit.max_per_second().min(1.0)) } else { shared };
        if max < 1.0 || now < self.membership_known_at {
            return Refill { rate: 0.0, burst: 0.0 };
        }
        let rate = (limit.per_s.get() * fraction).min(MAX_REFILL_RATIO * max);
        let spare = (1.0 - JITTER_RATIO) * max - rate;
        Refill { rate, burst: (BURST_REQUESTS + BURST_SECONDS * rate).min(spare).max(1.0) }
    }

    fn refill(&self, now: Time, allowance: &Allowance) -> Option<Refill> {
        let advertised = allowance.advertised.map(|limit| self.advertised_refill(limit));
        let cold = allowance.cold.map(|limit| self.cold_refill(now, &limit));
        let stricter =
            |a: Refill, b: Refill| Refill { rate: a.rate.min(b.rate), burst: a.burst.min(b.burst) };
        match (advertised, cold) {
            (Some(advertised), Some(cold)) => Some(stricter(advertised, cold)),
            (advertised, cold) => advertised.or(cold),
        }
    }

    /// Grants one request to a target, or says when to ask again.
    pub fn try_send(
        &mut self,
        now: Time,
        target: &id::Target,
        allowance: &Allowance,
    ) -> Option<Duration> {
        let refill = self.refill(now, allowance)?;
        self.bucket(now, target).try_take(now, refill)
    }

    /// Counts a request that is sent in any case.
    pub fn spend(&mut self, now: Time, target: &id::Target, allowance: &Allowance) {
        let Some(refill) = self.refill(now, allowance) else { return };
        let bucket = self.bucket(now, target);
        bucket.add_tokens(now, refill);
        bucket.tokens -= 1.0;
    }

    fn bucket(&mut self, now: Time, target: &id::Target) -> &mut Bucket {
        self.buckets.entry(target.clone()).or_insert_with(|| Bucket::new(now))
    }

    /// Forgets targets that take all that comes.
    pub fn retain(&mut self, is_limited: impl Fn(&id::Target) -> bool) {
        self.buckets.retain(|target, _| is_limited(target));
    }
}
