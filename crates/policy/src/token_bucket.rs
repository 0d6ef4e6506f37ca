//! Token buckets for targets that take a limited rate of requests: those that advertise a limit,
//! and those that are cold.
//!
//! Each target has one entry, its owner, that holds its bucket and decides for all entries. If each
//! entry counted for itself, a target would get its limit once for each entry. If the limit were
//! divided among them, an entry with all the traffic could not use it, and with less than one
//! request a second for each, none could send at all.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::cold;
use crate::id;
use crate::time::Time;
use crate::unit::RequestRate;

/// The lowest rate for an advertised limit, in requests a second. Even a target that takes none
/// gets an occasional request, whose answer shows when it takes some again.
const MIN_REQUESTS_PER_SECOND: f64 = 0.2;

/// Requests that a bucket holds in addition to those of [`BURST_SECONDS`], for a target that has
/// received less than its limit.
const BURST_REQUESTS: f64 = 1.0;

/// Seconds' worth of requests that a bucket holds in addition to [`BURST_REQUESTS`].
const BURST_SECONDS: f64 = 0.5;

/// The longest time for which an entry must not use a target before it asks again.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// For how long an entry that was alive counts as one that may still be sending. Failure domains
/// may lose contact with each other for this long.
const PARTITION_WINDOW: Duration = Duration::from_secs(300);

/// What both sides of a partition may send together to a target that advertises a limit, as a
/// multiple of that limit.
const PARTITION_FACTOR: f64 = 1.3;

/// The fraction of a cold target's maximum in any second that its bucket leaves free. Requests take
/// different times from the owner's decision to the target, so that the target may get more in one
/// second than the bucket granted in one.
const JITTER_RATIO: f64 = 0.1;

/// The highest refill rate for a cold target, as a fraction of its maximum in any second: the rate
/// at which requests follow each other if the bucket holds only one.
const MAX_REFILL_RATIO: f64 = 0.85;

/// The time after which an entry asks again for a request to a cold target whose limit neither it nor
/// the owner knows.
const UNKNOWN_LIMIT_RETRY: Duration = Duration::from_millis(300);

/// The lowest rate to divide by, in requests a second; stands for a rate of zero.
const MIN_DIVISOR: f64 = 1e-9;

/// The limits of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// The limit that it advertises.
    pub advertised: Option<RequestRate>,
    /// The limit that applies because it is cold.
    pub cold: Option<cold::Limit>,
}

impl Allowance {
    /// Returns the same with the stricter of its limit and another for while the target is cold.
    pub fn with_cold(self, cold: Option<cold::Limit>) -> Self {
        Self { cold: cold::Limit::strictest(self.cold, cold), ..self }
    }
}

/// How a bucket is refilled.
#[derive(Clone, Copy, Debug)]
struct Refill {
    /// Requests a second.
    rate: f64,
    /// The most requests that the bucket holds.
    burst: f64,
}

/// The token bucket of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tokens: f64,
    filled_at: Time,
    /// Requests that were deferred and have not been repeated yet.
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

    /// Takes a token, or returns how long to wait before asking again. Requests that are deferred
    /// get increasing waits, so that they return one after the other.
    fn try_take(&mut self, now: Time, refill: Refill) -> Option<Duration> {
        self.add_tokens(now, refill);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        let wait = (1.0 - self.tokens + self.deferred) / refill.rate.max(MIN_DIVISOR);
        // At one request a second or less, a single deferred request would already outlast
        // `MAX_WAIT`.
        if refill.rate > 1.0 {
            self.deferred += 1.0;
        }
        Some(Duration::from_secs_f64(wait.min(MAX_WAIT.as_secs_f64())))
    }
}

/// The token buckets of the targets that this entry owns.
///
/// With one owner for each target the limit is exact, wherever traffic comes in. During a partition
/// each side has an owner of its own. Each side then uses the same fraction of the limit as it has
/// of the entries that were alive recently. For an advertised limit it uses a little more, since
/// some of the missing entries are gone rather than cut off.
#[derive(Debug, Default)]
pub struct Buckets {
    buckets: HashMap<id::Target, Bucket>,
    /// How many entries were alive and since when, earliest first.
    alive_counts: VecDeque<(Time, usize)>,
    /// The time from which this entry knows the other entries; see
    /// [`Buckets::with_membership_known_at`].
    membership_known_at: Time,
}

impl Buckets {
    /// Creates the buckets of an entry that knows the other entries from `membership_known_at` on.
    /// Several entries that start together each consider themselves the owner until then, so no
    /// requests to cold targets, which crash above their limit, are granted before.
    pub fn with_membership_known_at(membership_known_at: Time) -> Self {
        Self { membership_known_at, ..Self::default() }
    }

    /// Records how many entries are alive.
    pub fn set_alive(&mut self, now: Time, count: usize) {
        if self.alive_counts.back().is_none_or(|(_, last)| *last != count) {
            self.alive_counts.push_back((now, count));
        }
        // A count holds until the next one begins.
        while self.alive_counts.get(1).is_some_and(|(next, _)| now.since(*next) >= PARTITION_WINDOW)
        {
            self.alive_counts.pop_front();
        }
    }

    /// Returns the fraction of the recently alive entries that this side of a partition has.
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

    /// Returns the refill for a cold target. Such a target crashes above its limit, so both sides
    /// of a partition together must stay within it. Of a limit that is too small to be divided, the
    /// larger side gets one request in any second.
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

    /// Grants one request to a target by returning `None`, or returns how long to wait before
    /// asking again. A target without a limit gets any request.
    pub fn try_send(
        &mut self,
        now: Time,
        target: &id::Target,
        allowance: &Allowance,
    ) -> Option<Duration> {
        let refill = self.refill(now, allowance)?;
        self.bucket(now, target).try_take(now, refill)
    }

    /// Grants one request to a target that the asking entry knows to be cold, with the limit `asked`.
    ///
    /// The owner may not have learned yet that the target is cold, or that there is such a target. A
    /// request is counted against the limit that the asking entry knows then. It is never granted
    /// without a limit, since each of the other entries would get its requests granted as well.
    pub fn try_cold_send(
        &mut self,
        now: Time,
        target: &id::Target,
        allowance: &Allowance,
        asked: Option<cold::Limit>,
    ) -> Option<Duration> {
        match allowance.with_cold(asked) {
            Allowance { cold: None, .. } => Some(UNKNOWN_LIMIT_RETRY),
            allowance => self.try_send(now, target, &allowance),
        }
    }

    /// Counts a request that is sent regardless of the limit.
    pub fn spend(&mut self, now: Time, target: &id::Target, allowance: &Allowance) {
        let Some(refill) = self.refill(now, allowance) else { return };
        let bucket = self.bucket(now, target);
        bucket.add_tokens(now, refill);
        bucket.tokens -= 1.0;
    }

    fn bucket(&mut self, now: Time, target: &id::Target) -> &mut Bucket {
        self.buckets.entry(target.clone()).or_insert_with(|| Bucket::new(now))
    }

    /// Drops the buckets of targets that this entry no longer owns. Called whenever owners may have
    /// changed.
    ///
    /// Another entry grants requests to them meanwhile. A bucket that filled up in this time would
    /// grant the same requests once more when this entry becomes the owner again.
    pub fn retain_owned(&mut self, owns: impl Fn(&id::Target) -> bool) {
        self.buckets.retain(|target, _| owns(target));
    }

    /// Drops the buckets of targets for which `is_limited` returns false.
    pub fn retain(&mut self, is_limited: impl Fn(&id::Target) -> bool) {
        self.buckets.retain(|target, _| is_limited(target));
    }
}
