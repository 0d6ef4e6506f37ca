//! Which targets may receive new work, while the registry that lists them comes and goes.
//!
//! Each target renews an entry in a registry; the entry is its lease. **Failure:** the registry is
//! away, entries lapse meanwhile although their targets live, and an entry host that believed the
//! first list after its return would refuse every request with all targets free. **Guard:** after
//! an outage, what is missing stays usable until [`REJOIN`] has passed, in which live targets are
//! listed again; what is still missing then is gone.
//!
//! An outage in which calls hang is noticed by nobody: the watch that waits through it is answered
//! afterwards, with the removal of everything. So a reading that takes away more than half of the
//! targets at once is taken for the end of an outage as well.
//!
//! A target that said that it drains never comes back under the same name, whatever an older
//! reading says: readings of different sources overtake each other. One that was removed without a
//! word comes back with a renewal newer than any seen before, since only a live target renews: it
//! was cut off from the registry for longer than its lease, and without it a service whose targets
//! all were so stays refused although they are free. `docs/INCIDENTS.md` has the day.
//!
//! A target may start again under the name that it had, and says when it started. The newer start is
//! another target but for its name: it takes work though the one before drained, its renewals count
//! anew, and whatever ran there is lost.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::cold;
use crate::id;
use crate::position::Position;
use crate::time::Time;

/// How long after a registry's return its list may lack live targets. The users' letter gives two
/// seconds; the rest covers the way of the reading.
pub const REJOIN: Duration = Duration::from_millis(2_300);

/// How long the name of a target that left is remembered, against older readings that still list
/// it: longer than any reading is old.
const REMEMBERED: Duration = Duration::from_secs(60);

/// By how much two readings may differ of when a target stops being cold.
const COLD_SLACK: Duration = Duration::from_millis(500);

/// The fewest targets that are taken for lapsed together: two may well leave at once.
const LAPSED_TOGETHER: usize = 3;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// When a target started, in milliseconds since 1970 by its own clock; only compared with other
/// starts of the same target.
#[derive(
    Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Start(u64);

impl Start {
    /// The start so many milliseconds after 1970.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }
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
    /// How many times it had renewed its entry when it was read; grows for as long as it lives.
    #[serde(default)]
    pub renewal: u64,
    /// When it started, where it says so.
    #[serde(default)]
    pub start: Option<Start>,
    /// For how many milliseconds it stayed cold when it was read.
    #[serde(default)]
    pub cold_ms: u64,
}

impl Target {
    /// How the start of this reading stands to that of another: greater where it started again
    /// since. Readings that say nothing of it are taken to be of one start.
    fn started(&self, other: &Self) -> Ordering {
        match (self.start, other.start) {
            (Some(own), Some(theirs)) => own.cmp(&theirs),
            _ => Ordering::Equal,
        }
    }

    /// Whether this target started again since `other` was read.
    pub fn is_restart_of(&self, other: &Self) -> bool {
        self.started(other) == Ordering::Greater
    }

    /// Whether two readings say the same but for renewals and the time for which it stays cold.
    fn is_like(&self, other: &Self) -> bool {
        let (renewal, cold_ms) = (self.renewal, self.cold_ms);
        *self == Self { renewal, cold_ms, ..other.clone() }
    }
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
    left: BTreeMap<id::Target, Left>,
    /// Where the view stands.
    position: Position,
    /// Until when entries may be missing unjustly.
    rejoin: Time,
    /// Targets that have started again since this was last asked.
    restarted: Vec<id::Target>,
}

#[derive(Debug)]
struct Entry {
    target: Target,
    /// Where the reading stood that lacked it, shortly after an outage.
    doubted: Option<Position>,
    /// Until when it is cold.
    cold: Time,
}

/// A target that left, as it was last known.
#[derive(Debug)]
struct Left {
    target: Target,
    since: Time,
    /// Where the reading stood that lacked it.
    position: Position,
}

impl Left {
    /// Whether a reading shows that it lives after all.
    fn returns(&self, position: Position, read: &Target) -> bool {
        match read.started(&self.target) {
            Ordering::Less => return false,
            Ordering::Greater => return true,
            Ordering::Equal => {}
        }
        let silent = self.target.state == State::Ready && read.state == State::Ready;
        silent && position > self.position && read.renewal > self.target.renewal
    }
}

impl Leases {
    /// Where in the registry's history this view last changed; older lists are ignored.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Notes that the registry answers again after it did not.
    pub fn outage_over(&mut self, now: Time) {
        self.rejoin = now + REJOIN;
    }

    /// Takes in one change at a position; returns whether anything is different now. One of an earlier
    /// era says nothing.
    pub fn change(&mut self, now: Time, position: Position, change: Change) -> bool {
        if self.position.has_later_era_than(position) {
            return false;
        }
        let changed = match change {
            Change::Put(target) => self.put(now, position, target),
            Change::Gone(id) => self.miss(now, position, &id),
        };
        self.note(position, changed)
    }

    /// Takes in all changes of one reading; returns those after which anything is different.
    pub fn changes(&mut self, now: Time, position: Position, changes: Vec<Change>) -> Vec<Change> {
        let gone = changes.iter().filter_map(|change| match change {
            Change::Gone(id) => Some(id),
            Change::Put(_) => None,
        });
        let gone: Vec<&id::Target> = gone.collect();
        self.doubt_if_most(now, &gone);
        let news = changes.into_iter().filter(|change| self.change(now, position, change.clone()));
        news.collect()
    }

    /// Takes in a whole list read at `position`; returns whether anything is different now.
    ///
    /// The first list of a later era is of a registry that came back from a copy: what it lacks may have
    /// been written since and is about to be written again.
    pub fn list(&mut self, now: Time, position: Position, targets: Vec<Target>) -> bool {
        if position < self.position {
            return false;
        }
        let restored = position.has_later_era_than(self.position) && !self.live.is_empty();
        if restored {
            self.outage_over(now);
        }
        let before = self.position;
        self.position = self.position.max(Position::new(position.era(), 0));
        let listed: BTreeSet<id::Target> = targets.iter().map(|t| t.id.clone()).collect();
        let known = self.live.keys();
        let missing: Vec<id::Target> = known.filter(|id| !listed.contains(id)).cloned().collect();
        self.doubt_if_most(now, &missing.iter().collect::<Vec<_>>());
        let mut changed = false;
        for target in targets {
            changed |= self.put(now, position, target);
        }
        for id in missing {
            changed |= self.miss(now, position, &id);
        }
        self.note(position, changed || position.has_later_era_than(before))
    }

    /// Takes a reading for the end of an outage where it lacks most of the targets.
    fn doubt_if_most(&mut self, now: Time, missing: &[&id::Target]) {
        let ready = |id: &&&id::Target| self.is_ready(id);
        let lapsed = missing.iter().filter(ready).count();
        let all = self.all().filter(|target| target.state == State::Ready).count();
        if lapsed >= LAPSED_TOGETHER && lapsed * 2 > all {
            self.outage_over(now);
        }
    }

    /// Drops what stayed missing; returns whether anything was.
    pub fn expire(&mut self, now: Time) -> bool {
        self.left.retain(|_, left| now.since(left.since) < REMEMBERED);
        if now < self.rejoin {
            return false;
        }
        let doubted = self.live.iter().filter_map(|(id, entry)| Some((id.clone(), entry.doubted?)));
        let late: Vec<(id::Target, Position)> = doubted.collect();
        for (id, position) in &late {
            self.remove(now, *position, id);
            // Whoever has not read this itself learns from the position that it stands behind.
            self.note(*position, true);
        }
        !late.is_empty()
    }

    /// The targets that have started again under their names since this was last asked.
    pub fn take_restarted(&mut self) -> Vec<id::Target> {
        std::mem::take(&mut self.restarted)
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
        live.or_else(|| self.left.get(id).map(|left| &left.target))
    }

    /// Whether a target has ended without saying that it leaves: it is listed no more, or has started
    /// again.
    pub fn has_ended(&self, target: &Target) -> bool {
        match self.live.get(&target.id) {
            Some(entry) => entry.target.is_restart_of(target),
            None => self.get(&target.id).is_none_or(|left| left.state != State::Draining),
        }
    }

    /// Whether a target takes new work.
    pub fn is_ready(&self, id: &id::Target) -> bool {
        self.live.get(id).is_some_and(|entry| entry.target.state == State::Ready)
    }

    /// For how long a target is cold still.
    pub fn cold(&self, now: Time, id: &id::Target) -> Duration {
        self.live.get(id).map_or(Duration::ZERO, |entry| entry.cold.since(now))
    }

    /// Takes in that a target is cold; returns whether that was not known. What is said of another start
    /// says nothing.
    pub fn note_cold(&mut self, now: Time, word: &cold::Word) -> bool {
        let Some(entry) = self.live.get_mut(&word.target) else { return false };
        let until = now + Duration::from_millis(word.left);
        if entry.target.start != word.start || until <= entry.cold.max(now) + COLD_SLACK {
            return false;
        }
        entry.cold = until;
        true
    }

    /// All targets as of now, for an entry that knows none.
    pub fn listing(&self, now: Time) -> Vec<Target> {
        let left = |entry: &Entry| u64::try_from(entry.cold.since(now).as_millis());
        let one = |entry: &Entry| Target {
            cold_ms: left(entry).unwrap_or(u64::MAX),
            ..entry.target.clone()
        };
        self.live.values().map(one).collect()
    }

    /// All targets known, those that drain included.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.live.values().map(|entry| &entry.target)
    }

    /// Targets of one service that take new work.
    pub fn ready<'a>(&'a self, service: &'a id::Service) -> impl Iterator<Item = &'a Target> {
        self.all().filter(move |t| t.service == *service && t.state == State::Ready)
    }

    fn note(&mut self, position: Position, changed: bool) -> bool {
        if changed {
            self.position = self.position.max(position);
        }
        changed
    }

    fn put(&mut self, now: Time, position: Position, mut target: Target) -> bool {
        match self.left.get(&target.id) {
            Some(left) if left.returns(position, &target) => {
                self.left.remove(&target.id);
            }
            Some(_) => return false,
            None => {}
        }
        let known = self.live.get(&target.id).map(|entry| &entry.target);
        if known.is_some_and(|known| known.is_restart_of(&target)) {
            return false;
        }
        // Nothing that was read of an earlier start holds.
        if known.is_some_and(|known| target.is_restart_of(known)) {
            self.restarted.push(target.id.clone());
        }
        let known = known.filter(|known| !target.is_restart_of(known));
        if known.is_some_and(|known| known.state == State::Draining) {
            target.state = State::Draining;
        }
        if target.state == State::Draining && known.is_none() {
            self.left.insert(target.id.clone(), Left { target, since: now, position });
            return false;
        }
        let changed = known.is_none_or(|known| !known.is_like(&target));
        let renewal = known.map_or(0, |known| known.renewal);
        let older = target.renewal < renewal;
        target.renewal = target.renewal.max(renewal);
        let before = self.live.get(&target.id).map_or(Time::ZERO, |entry| entry.cold);
        let read = now + Duration::from_millis(target.cold_ms);
        let colder = target.cold_ms > 0 && read > before.max(now) + COLD_SLACK;
        let cold = if older { before } else { read };
        self.live.insert(target.id.clone(), Entry { target, doubted: None, cold });
        changed || colder
    }

    /// Takes in that the registry lacks an entry.
    fn miss(&mut self, now: Time, position: Position, id: &id::Target) -> bool {
        match self.live.get_mut(id) {
            Some(entry) if now < self.rejoin && entry.target.state == State::Ready => {
                entry.doubted = Some(position);
                false
            }
            Some(_) => {
                self.remove(now, position, id);
                true
            }
            None => false,
        }
    }

    fn remove(&mut self, now: Time, position: Position, id: &id::Target) {
        if let Some(entry) = self.live.remove(id) {
            let left = Left { target: entry.target, since: now, position };
            self.left.entry(id.clone()).or_insert(left);
        }
    }
}
