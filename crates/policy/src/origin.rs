//! Which version of an engine's software began a stream.
//!
//! What engines of two versions write doesn't fit together, and engines don't check it. A stream of
//! which the caller has received an event therefore goes on only at the version that brought it,
//! also where the caller takes it up again at another entry.
//!
//! The entry that delivers the first event keeps the stream's [`Origin`] and sends it to
//! [`COPIES`] active entries that are chosen by [rendezvous](crate::rendezvous) hashing of the
//! stream's [`Key`], so that one of them is left if the entry is lost together with others. It sends
//! it again while the stream lasts, since those entries may be replaced. An entry at which a stream
//! is taken up asks the same ones. A stream whose origin nobody knows is not sent: that one version
//! is listed now does not show that another one did not leave a moment ago.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::id;
use crate::lease::{Software, Target};
use crate::rendezvous;
use crate::time::Time;

/// How many other entries keep the origin of a stream.
pub const COPIES: usize = 3;

/// How long an origin is kept after it was last sent or the stream ended. Callers come back within a
/// third of the time that they have left.
pub const TTL: Duration = Duration::from_secs(60);

/// How often the origins of open streams are sent again.
pub const REFRESH: Duration = Duration::from_secs(20);

/// Most origins that are kept, about 60 bytes each; the oldest are dropped first.
pub const MAX_ORIGINS: usize = 65_536;

/// Most streams of one workspace whose origin an entry asks others for in one second.
const MAX_LOOKUPS: u32 = 256;

/// Most streams in one second for which an entry asks all others, since those that should know the
/// origin don't.
const MAX_WIDE_LOOKUPS: u32 = 16;

/// The time for which lookups are counted.
const LOOKUP_WINDOW: Duration = Duration::from_secs(1);

/// Identifies an attempt that began a stream, as a hash of its workspace and id, so that no workspace
/// learns anything of the streams of another.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Key(u64);

impl Key {
    /// Returns the key of an attempt.
    pub fn of(workspace: Option<&id::Workspace>, request: &str) -> Self {
        let mut hash = Xxh3::new();
        hash.update(workspace.map_or("", |workspace| workspace.as_str()).as_bytes());
        hash.update(&[0]);
        hash.update(request.as_bytes());
        Self(hash.digest())
    }
}

/// The service whose engine began a stream, and the version of that engine's software.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: id::Service,
    /// The version.
    pub software: Software,
}

/// Streams of one origin, as entries tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The origin.
    pub origin: Origin,
    /// The streams.
    pub keys: Vec<Key>,
    /// Whether this replaces what was told of them before.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub corrected: bool,
}

/// At which engines a stream may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Constraint {
    /// At any: its caller has received no event.
    #[default]
    Free,
    /// At those of this version.
    Version(Software),
    /// At none, since the version that began it is not known.
    Unknown,
}

impl Constraint {
    /// Returns the constraint of a stream that runs at a target of this version.
    pub fn to(software: Option<&Software>) -> Self {
        software.cloned().map_or(Self::Unknown, Self::Version)
    }

    /// Returns whether the stream may run at a target.
    pub fn allows(&self, target: &Target) -> bool {
        match self {
            Self::Free => true,
            Self::Version(software) => target.software.as_ref() == Some(software),
            Self::Unknown => false,
        }
    }
}

/// Returns the entries that keep the origin of a stream, among those that can.
pub fn keepers(key: Key, entries: &[id::Host]) -> Vec<&id::Host> {
    let ranked = rendezvous::rank(&key.to_string(), entries, |host| host.as_str());
    ranked.into_iter().take(COPIES).collect()
}

/// The origin of a stream.
#[derive(Clone, Debug)]
struct Known {
    origin: Arc<Origin>,
    /// Whether it replaces one that was told first.
    corrected: bool,
}

/// An origin, and when it was last heard of.
#[derive(Clone, Debug)]
struct Record {
    known: Known,
    at: Time,
}

/// The origins of streams that this entry knows.
#[derive(Debug, Default)]
pub struct Ledger {
    records: HashMap<Key, Record>,
    /// When each record was made or renewed, the oldest first.
    order: VecDeque<(Time, Key)>,
    /// The streams that this entry relays now.
    open: HashMap<Key, Known>,
    /// The origins in use; many streams share one.
    origins: Vec<Arc<Origin>>,
}

impl Ledger {
    /// Records that this entry has delivered the first event of a stream.
    pub fn begin(&mut self, now: Time, key: Key, origin: Origin) {
        let known = self.learn(now, key, origin, false);
        self.open.insert(key, known);
    }

    /// Replaces the origin of a stream that this entry relays: its engine had started again before it
    /// began the stream.
    pub fn correct(&mut self, now: Time, key: Key, origin: Origin) {
        let known = self.learn(now, key, origin, true);
        self.open.insert(key, known);
    }

    /// Records that this entry no longer relays a stream, which its caller may take up.
    pub fn end(&mut self, now: Time, key: Key) {
        if let Some(known) = self.open.remove(&key) {
            self.renew(now, key, known);
        }
    }

    /// Applies what another entry tells.
    pub fn apply(&mut self, now: Time, updates: Vec<Update>) {
        for Update { origin, keys, corrected } in updates {
            for key in keys {
                self.learn(now, key, origin.clone(), corrected);
            }
        }
    }

    /// Returns the origin of a stream, if it is known.
    pub fn get(&self, now: Time, key: Key) -> Option<Origin> {
        if let Some(known) = self.open.get(&key) {
            return Some(Origin::clone(&known.origin));
        }
        let record = self.records.get(&key).filter(|record| now.since(record.at) < TTL)?;
        Some(Origin::clone(&record.known.origin))
    }

    /// Returns the streams that this entry relays now, their origins, and whether these were corrected.
    pub fn open(&self) -> impl Iterator<Item = (Key, &Origin, bool)> {
        self.open.iter().map(|(key, known)| (*key, &*known.origin, known.corrected))
    }

    /// Returns the number of origins that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records an origin. What is known already is replaced only by its correction: a stream begins
    /// once.
    fn learn(&mut self, now: Time, key: Key, origin: Origin, corrected: bool) -> Known {
        let record = self.records.get(&key).filter(|record| now.since(record.at) < TTL);
        let known = match record.map(|record| &record.known) {
            Some(known) if known.corrected || !corrected => known.clone(),
            _ => Known { origin: self.shared(origin), corrected },
        };
        self.renew(now, key, known.clone());
        known
    }

    fn renew(&mut self, now: Time, key: Key, known: Known) {
        self.records.insert(key, Record { known, at: now });
        self.order.push_back((now, key));
        while let Some((at, key)) = self.order.front().copied() {
            let expired = now.since(at) >= TTL;
            if !expired && self.order.len() <= MAX_ORIGINS {
                break;
            }
            self.order.pop_front();
            if self.records.get(&key).is_some_and(|record| record.at == at) {
                self.records.remove(&key);
            }
        }
    }

    fn shared(&mut self, origin: Origin) -> Arc<Origin> {
        if let Some(known) = self.origins.iter().find(|known| ***known == origin) {
            return Arc::clone(known);
        }
        self.origins.retain(|known| Arc::strong_count(known) > 1);
        let new = Arc::new(origin);
        self.origins.push(Arc::clone(&new));
        new
    }
}

/// Origins that are due to be sent to other entries.
#[derive(Debug, Default)]
pub struct Outbox {
    /// By entry, the streams of each origin, and whether that is corrected.
    due: BTreeMap<id::Host, BTreeMap<(Origin, bool), Vec<Key>>>,
}

impl Outbox {
    /// Adds an origin for an entry.
    pub fn push(&mut self, to: id::Host, key: Key, origin: Origin, corrected: bool) {
        self.due.entry(to).or_default().entry((origin, corrected)).or_default().push(key);
    }

    /// Takes all that is due.
    pub fn take(&mut self) -> Vec<(id::Host, Vec<Update>)> {
        let update = |((origin, corrected), keys)| Update { origin, keys, corrected };
        let updates =
            |due: BTreeMap<(Origin, bool), Vec<Key>>| due.into_iter().map(update).collect();
        std::mem::take(&mut self.due).into_iter().map(|(to, due)| (to, updates(due))).collect()
    }
}

/// Bounds how often an entry asks others for origins: attempts may be named that never existed.
#[derive(Debug, Default)]
pub struct Lookups {
    began_at: Time,
    by_workspace: HashMap<Option<id::Workspace>, u32>,
    wide: u32,
}

impl Lookups {
    /// Takes one lookup of a workspace at the entries that should know; returns whether it may be
    /// made.
    pub fn try_take(&mut self, now: Time, workspace: Option<&id::Workspace>) -> bool {
        self.begin_window(now);
        let taken = self.by_workspace.entry(workspace.cloned()).or_default();
        *taken += 1;
        *taken <= MAX_LOOKUPS
    }

    /// Takes one lookup at all other entries; returns whether it may be made.
    pub fn try_take_wide(&mut self, now: Time) -> bool {
        self.begin_window(now);
        self.wide += 1;
        self.wide <= MAX_WIDE_LOOKUPS
    }

    fn begin_window(&mut self, now: Time) {
        if now.since(self.began_at) >= LOOKUP_WINDOW {
            *self = Self { began_at: now, ..Self::default() };
        }
    }
}
