//! Which targets may receive new work, while the registry that lists them comes and goes.
//!
//! Each target renews an entry in a registry; the entry is its lease. **Failure:** the registry is
//! away, entries lapse meanwhile although their targets live, and an entry host that believed the
//! first list after its return would refuse every request with all targets free. **Guard:** after
//! an outage, what is missing stays usable until [`REJOIN`] has passed, in which live targets are
//! listed again; what is still missing then is gone.
//!
//! A target that said that it drains never comes back under the same name, whatever an older
//! reading says: readings of different sources overtake each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;
use crate::time::Time;

/// How long after a registry's return its list may lack live targets. The users' letter gives two
/// seconds; the rest covers the way of the reading.
pub const REJOIN: Duration = Duration::from_millis(2_300);

/// How long the name of a target that left is remembered, against older readings that still list
/// it: longer than any reading is old.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// One back end as its registry entry describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name in decisions.
    pub id: id::Target,
    /// Its name on the wire; a restart changes it.
    pub instance: SmolStr,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: id::Domain,
    /// Whether it takes new work.
    pub state: State,
}

/// Something that a registry tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// An entry was written.
    Put(Target),
    /// An entry is gone.
    Gone(id::Target),
}

/// All targets known, and how far each is to be believed.
#[derive(Debug, Default)]
pub struct Leases {
    live: BTreeMap<id::Target, Entry>,
    /// Targets that left, where they were known, and when.
    left: BTreeMap<id::Target, (Option<Target>, Time)>,
    revision: u64,
    /// Until when entries may be missing unjustly.
    rejoin: Time,
}

#[derive(Debug)]
struct Entry {
    target: Target,
    /// Set while the registry lacks it shortly after an outage.
    doubted: bool,
}

impl Leases {
    /// The registry's revision at which this view last changed; older lists are ignored.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that the registry answers again after it did not.
    pub fn outage_over(&mut self, now: Time) {
        self.rejoin = now + REJOIN;
    }

    /// Takes in one change at a revision; returns whether anything is different now.
    pub fn change(&mut self, now: Time, revision: u64, change: Change) -> bool {
        let changed = match change {
            Change::Put(target) => self.put(now, target),
            Change::Gone(id) => self.miss(now, &id),
        };
        self.note(revision, changed)
    }

    /// Takes in a whole list read at `revision`; returns whether anything is different now.
    pub fn list(&mut self, now: Time, revision: u64, targets: Vec<Target>) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed: BTreeSet<id::Target> = targets.iter().map(|t| t.id.clone()).collect();
        let mut changed = false;
        for target in targets {
            changed |= self.put(now, target);
        }
        let known = self.live.keys();
        let missing: Vec<id::Target> = known.filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            changed |= self.miss(now, &id);
        }
        self.note(revision, changed)
    }

    /// Drops what stayed missing; returns whether anything was.
    pub fn expire(&mut self, now: Time) -> bool {
        self.left.retain(|_, (_, since)| now.since(*since) < REMEMBERED);
        if now < self.rejoin {
            return false;
        }
        let doubted = self.live.iter().filter(|(_, entry)| entry.doubted);
        let late: Vec<id::Target> = doubted.map(|(id, _)| id.clone()).collect();
        late.iter().for_each(|id| self.remove(now, id));
        !late.is_empty()
    }

    /// Notes that a target itself says that it leaves.
    pub fn leave(&mut self, id: &id::Target) -> bool {
        let Some(entry) = self.live.get_mut(id) else { return false };
        let changed = entry.target.state == State::Ready;
        entry.target.state = State::Draining;
        changed
    }

    /// A target that is listed, or was a short while ago: it may go on with what it has, and its
    /// answers are still to be taken from it.
    pub fn get(&self, id: &id::Target) -> Option<&Target> {
        let live = self.live.get(id).map(|entry| &entry.target);
        live.or_else(|| self.left.get(id).and_then(|(target, _)| target.as_ref()))
    }

    /// Whether a target takes new work.
    pub fn is_ready(&self, id: &id::Target) -> bool {
        self.live.get(id).is_some_and(|entry| entry.target.state == State::Ready)
    }

    /// All targets known, those that drain included.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.live.values().map(|entry| &entry.target)
    }

    /// Targets of one service that take new work.
    pub fn ready<'a>(&'a self, service: &'a id::Service) -> impl Iterator<Item = &'a Target> {
        self.all().filter(move |t| t.service == *service && t.state == State::Ready)
    }

    fn note(&mut self, revision: u64, changed: bool) -> bool {
        if changed {
            self.revision = self.revision.max(revision);
        }
        changed
    }

    fn put(&mut self, now: Time, mut target: Target) -> bool {
        if self.left.contains_key(&target.id) {
            return false;
        }
        let known = self.live.get(&target.id).map(|entry| &entry.target);
        if known.is_some_and(|known| known.state == State::Draining) {
            target.state = State::Draining;
        }
        if target.state == State::Draining && known.is_none() {
            self.left.insert(target.id.clone(), (Some(target), now));
            return false;
        }
        let changed = known != Some(&target);
        self.live.insert(target.id.clone(), Entry { target, doubted: false });
        changed
    }

    /// Takes in that the registry lacks an entry.
    fn miss(&mut self, now: Time, id: &id::Target) -> bool {
        match self.live.get_mut(id) {
            Some(entry) if now < self.rejoin && entry.target.state == State::Ready => {
                entry.doubted = true;
                false
            }
            Some(_) => {
                self.remove(now, id);
                true
            }
            None => false,
        }
    }

    fn remove(&mut self, now: Time, id: &id::Target) {
        let target = self.live.remove(id).map(|entry| entry.target);
        self.left.entry(id.clone()).or_insert((target, now));
    }
}
