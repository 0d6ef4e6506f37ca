//! Recognizes requests that were refused before and are sent again, at any entry.
//!
//! Under overload requests are refused, and their callers retry after the time they were given, at
//! any entry. Measured from the first attempt their answers are late already, whenever they begin.
//! Treated as new, such a request would take a place that another request needs to be on time; that
//! one would then be refused and retried late in turn.
//!
//! So an entry that refuses a request announces it to the others, with the time since when it has
//! been waiting. A retry is recognized by a fingerprint of its content and workspace, and its
//! objective counts from the first attempt.
//!
//! Nothing is stored: an entry that starts knows no refused requests and takes retries for new
//! requests.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::id;
use crate::time::Time;

/// How long a refused request is remembered. Callers wait at most a third of their patience before
/// they retry, and the longest patience in use is 39 s.
const TTL: Duration = Duration::from_secs(30);

/// Maximum number of requests that are remembered, about 40 bytes each; the oldest are evicted
/// first.
const MAX_REQUESTS: usize = 8_192;

/// Identifies a request by its content and workspace, as a 64-bit hash. The probability of a
/// collision among the few thousand requests that are refused at a time is below 10^-12.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(workspace: Option<&id::Workspace>, path: &str, body: &[u8]) -> Self {
        Self::of_parts(workspace, path, [body])
    }

    /// Returns the fingerprint of a request with its body in parts.
    pub fn of_parts<'a>(
        workspace: Option<&id::Workspace>,
        path: &str,
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hash = Xxh3::new();
        hash.update(workspace.map_or("", |workspace| workspace.as_str()).as_bytes());
        hash.update(&[0]);
        hash.update(path.as_bytes());
        hash.update(&[0]);
        body.into_iter().for_each(|part| hash.update(part));
        Self(hash.digest())
    }
}

/// The earlier attempts of a request that its caller sends again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resubmission {
    /// When it was first received.
    pub since: Time,
    /// How often it was refused.
    pub refusals: u32,
}

/// A refused request.
#[derive(Clone, Copy, Debug)]
struct Entry {
    resubmission: Resubmission,
    /// When its latest refusal was recorded.
    recorded: Time,
}

/// Requests that any entry refused recently.
#[derive(Debug, Default)]
pub struct Ledger {
    refused: HashMap<Fingerprint, Entry>,
    /// The same requests by the time of the latest refusal.
    eviction: BTreeSet<(Time, Fingerprint)>,
}

impl Ledger {
    /// Records the refusal of a request that was first received at `since`.
    pub fn record(&mut self, now: Time, fingerprint: Fingerprint, since: Time) {
        let earlier = self.refused.get(&fingerprint).copied();
        if let Some(Entry { recorded, .. }) = earlier {
            self.eviction.remove(&(recorded, fingerprint));
        }
        let (since, refusals) = match earlier.map(|entry| entry.resubmission) {
            Some(known) => (known.since.min(since), known.refusals.saturating_add(1)),
            None => (since, 1),
        };
        let resubmission = Resubmission { since, refusals };
        self.refused.insert(fingerprint, Entry { resubmission, recorded: now });
        self.eviction.insert((now, fingerprint));
        self.evict(now);
    }

    /// Returns when a request was first received that has been refused before; `None` for others.
    pub fn since(&self, now: Time, fingerprint: Fingerprint) -> Option<Time> {
        self.find(now, fingerprint).map(|resubmission| resubmission.since)
    }

    /// Returns the earlier attempts of a request that has been refused before; `None` for others.
    pub fn find(&self, now: Time, fingerprint: Fingerprint) -> Option<Resubmission> {
        let entry = self.refused.get(&fingerprint)?;
        (now.since(entry.recorded) < TTL).then_some(entry.resubmission)
    }

    fn evict(&mut self, now: Time) {
        while let Some((recorded, fingerprint)) = self.eviction.first().copied() {
            if self.eviction.len() <= MAX_REQUESTS && now.since(recorded) < TTL {
                return;
            }
            self.eviction.remove(&(recorded, fingerprint));
            self.refused.remove(&fingerprint);
        }
    }
}
