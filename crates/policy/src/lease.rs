//! Which targets may receive new work, based on their leases in a registry that may be unavailable.
//!
//! Each target renews an entry in a registry; the entry is its lease. While the registry is
//! unavailable, leases expire although their targets are alive. An entry host that trusted the
//! first list after the registry's return would refuse every request with all targets free. After
//! an outage, missing targets therefore stay usable for [`REJOIN_GRACE`], in which live targets are
//! listed again. Those still missing at its end are removed.
//!
//! An outage in which calls hang produces no errors: a watch that waits through it is answered
//! afterwards, with the removal of everything. A reading that removes more than half of the targets
//! at once is therefore treated as the end of an outage as well.
//!
//! A target that announced that it drains never returns under the same name, whatever an older
//! reading says, since readings of different sources may arrive out of order. A target that was
//! removed without such an announcement returns with a renewal newer than any seen before, since
//! only a live target renews: it was cut off from the registry for longer than its lease. Otherwise
//! a service whose targets were all cut off in this way would stay refused although they are free.
//!
//! A target may restart under the same name and reports when it started. A newer start counts as a
//! different target with the same name: it takes work even if the previous start was draining, its
//! renewals are counted anew, and whatever ran on the previous start is lost.

use std::cmp::Ordering;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error, FromStr};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::cold;
use crate::id;
use crate::origin;
use crate::position::Position;
use crate::time::Time;

/// How long missing targets stay usable after the registry returns. A list may lack live targets
/// for two seconds; the rest allows for the delay of the reading.
pub const REJOIN_GRACE: Duration = Duration::from_millis(2_300);

/// How long the name of a removed target is kept, so that older readings that still list it do not
/// bring it back. No reading is older than this.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// How long a service counts as one with versions after the last target with a version was known: as
/// long as the origin of a stream is kept.
const VERSIONED_TTL: Duration = origin::TTL;

/// By how much two readings may differ in when a target stops being cold without counting as a
/// change.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

/// The fewest targets that count as expired together; two may leave at once in normal operation.
const MASS_LAPSE_MIN_TARGETS: usize = 3;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Ready,
    /// It finishes its current work and takes no more.
    Draining,
}

/// When a target started, in milliseconds since the Unix epoch by its own clock. It is only
/// compared with other starts of the same target.
#[derive(
    Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Start(u64);

impl Start {
    /// Creates a start from milliseconds since the Unix epoch.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn millis(self) -> u64 {
        self.0
    }
}

/// A version that this many targets have at most is left to the streams that it began, which can go
/// on nowhere else, while other targets have room for new ones.
const SCARCE_TARGETS: usize = 2;

/// The longest version of software that is kept, in bytes; it bounds what is kept for each stream.
const MAX_SOFTWARE_BYTES: usize = 64;

/// The version is too long to be kept.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the version has {length} bytes; shorten it to at most 64")]
pub struct SoftwareError {
    /// The length found, in bytes.
    length: usize,
}

/// The version of a target's software. Versions have no order, and two are equal only if their texts
/// are. Targets whose registry knows no versions all have the empty one.
#[derive(
    Clone, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Software(SmolStr);

impl FromStr for Software {
    type Err = SoftwareError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.len() {
            0..=MAX_SOFTWARE_BYTES => Ok(Self(text.into())),
            length => Err(SoftwareError { length }),
        }
    }
}

impl TryFrom<SmolStr> for Software {
    type Error = SoftwareError;

    fn try_from(text: SmolStr) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Software> for SmolStr {
    fn from(software: Software) -> Self {
        software.0
    }
}

/// Returns whether this is the version of targets whose registry knows no versions.
fn is_empty(software: &Software) -> bool {
    software.0.is_empty()
}

/// One target as described by its registry entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name in decisions.
    pub id: id::Target,
    /// Its name on the wire; a restart changes it.
    pub instance: SmolStr,
    /// The service that it belongs to.
    pub service: id::Service,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it takes new work.
    pub state: State,
    /// How many times it had renewed its lease when this was read; increases for as long as it
    /// lives.
    #[serde(default)]
    pub renewal: u64,
    /// When it started, if it reports this.
    #[serde(default)]
    pub start: Option<Start>,
    /// For how many milliseconds it was still cold when this was read.
    #[serde(default)]
    pub cold_ms: u64,
    /// How many requests it runs at one time; 0 if this is not known.
    #[serde(default)]
    pub slots: u32,
    /// The version of its software; `None` if it is not known, as in a list of an entry of an
    /// earlier release.
    #[serde(default)]
    pub software: Option<Software>,
}

impl Target {
    /// Compares the start of this reading with that of another; `Greater` if the target restarted
    /// in between. Readings without a start are assumed to be of the same start.
    fn cmp_start(&self, other: &Self) -> Ordering {
        match (self.start, other.start) {
            (Some(own), Some(theirs)) => own.cmp(&theirs),
            _ => Ordering::Equal,
        }
    }

    /// Returns whether this target restarted after `other` was read.
    pub fn is_restart_of(&self, other: &Self) -> bool {
        self.cmp_start(other) == Ordering::Greater
    }

    /// Returns whether two readings are equal except for renewals and the remaining cold time.
    fn is_equivalent(&self, other: &Self) -> bool {
        let (renewal, cold_ms) = (self.renewal, self.cold_ms);
        *self == Self { renewal, cold_ms, ..other.clone() }
    }
}

/// A change of one lease in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The lease was written.
    Put(Target),
    /// The lease is gone.
    Gone(id::Target),
}

/// The leases of all known targets.
#[derive(Debug, Default)]
pub struct Leases {
    live: BTreeMap<id::Target, Lease>,
    /// Live leases that a reading within the grace period lacked.
    missing: BTreeSet<id::Target>,
    tombstones: BTreeMap<id::Target, Tombstone>,
    /// The names of tombstones in the order of their creation, so that old ones are found without a
    /// scan.
    tombstone_order: VecDeque<(Time, id::Target)>,
    /// The registry position of the last change.
    position: Position,
    /// The end of the grace period in which missing leases may belong to live targets.
    grace_until: Time,
    /// Targets that have restarted since the last [`Leases::take_restarted`].
    restarted: Vec<id::Target>,
    /// Targets whose address has changed since the last [`Leases::take_moved`].
    moved: BTreeSet<id::Target>,
    /// Targets that may have begun or ceased to take new work since the last
    /// [`Leases::take_changed`].
    changed: BTreeSet<id::Target>,
    versions: Versions,
    /// When a target of each service was last known that has a version, or whose version is unknown.
    versioned_at: BTreeMap<id::Service, Time>,
}

/// The targets that take new work, by service and version.
#[derive(Debug, Default)]
struct Versions {
    targets: BTreeMap<(id::Service, Option<Software>), BTreeSet<id::Target>>,
    /// Where each target stands in `targets`.
    index: BTreeMap<id::Target, (id::Service, Option<Software>)>,
}

impl Versions {
    /// Sets the service and version of a target; `None` where it takes no new work.
    fn set(&mut self, id: &id::Target, of: Option<(id::Service, Option<Software>)>) {
        let before = match &of {
            Some(of) => self.index.insert(id.clone(), of.clone()),
            None => self.index.remove(id),
        };
        if before == of {
            return;
        }
        if let Some(before) = before
            && let Some(targets) = self.targets.get_mut(&before)
        {
            targets.remove(id);
            if targets.is_empty() {
                self.targets.remove(&before);
            }
        }
        if let Some(of) = of {
            self.targets.entry(of).or_default().insert(id.clone());
        }
    }

    /// Returns the versions of a service, with the targets of each.
    fn of<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> impl Iterator<Item = (Option<&'a Software>, &'a BTreeSet<id::Target>)> {
        let from = self.targets.range((service.clone(), None)..);
        let own = from.take_while(move |((of, _), _)| of == service);
        own.map(|((_, software), targets)| (software.as_ref(), targets))
    }
}

/// The lease of a target that is listed, or missing within the grace period.
#[derive(Debug)]
struct Lease {
    target: Target,
    /// The position of the reading that lacked the lease, if that was within the grace period.
    missing_at: Option<Position>,
    /// When the target stops being cold.
    cold_until: Time,
}

/// The last known state of a target that was removed or is draining.
#[derive(Debug)]
struct Tombstone {
    target: Target,
    created_at: Time,
    /// The position of the reading that lacked the target or had it draining.
    position: Position,
}

impl Tombstone {
    /// Returns whether a reading shows that the target is alive after all.
    fn is_superseded_by(&self, position: Position, read: &Target) -> bool {
        match read.cmp_start(&self.target) {
            Ordering::Less => return false,
            Ordering::Greater => return true,
            Ordering::Equal => {}
        }
        let lapsed = self.target.state == State::Ready && read.state == State::Ready;
        lapsed && position > self.position && read.renewal > self.target.renewal
    }
}

impl Leases {
    /// Returns the registry position at which these leases last changed; older lists are ignored.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Starts the grace period for missing leases, when the registry answers again after an outage.
    pub fn start_grace(&mut self, now: Time) {
        self.grace_until = now + REJOIN_GRACE;
    }

    /// Applies one change that was read at `position`, and returns whether anything changed.
    /// Changes of an earlier era are ignored.
    pub fn apply_change(&mut self, now: Time, position: Position, change: Change) -> bool {
        if self.position.has_later_era_than(position) {
            return false;
        }
        let changed = match change {
            Change::Put(target) => self.put(now, position, target),
            Change::Gone(id) => self.mark_missing(now, position, &id),
        };
        self.advance_position(position, changed)
    }

    /// Applies all changes of one reading, and returns those that had an effect.
    pub fn apply_changes(
        &mut self,
        now: Time,
        position: Position,
        changes: Vec<Change>,
    ) -> Vec<Change> {
        let gone = changes.iter().filter_map(|change| match change {
            Change::Gone(id) => Some(id),
            Change::Put(_) => None,
        });
        let gone: Vec<&id::Target> = gone.collect();
        self.start_grace_if_most_lapsed(now, &gone);
        let applied =
            changes.into_iter().filter(|change| self.apply_change(now, position, change.clone()));
        applied.collect()
    }

    /// Applies a full list that was read at `position`, and returns whether anything changed.
    ///
    /// The first list of a later era comes from a registry that was restored from a copy. Leases
    /// that it lacks may have been written after the copy was made and are about to be written
    /// again, so the grace period starts.
    pub fn apply_list(&mut self, now: Time, position: Position, targets: Vec<Target>) -> bool {
        if position < self.position {
            return false;
        }
        let restored = position.has_later_era_than(self.position) && !self.live.is_empty();
        if restored {
            self.start_grace(now);
        }
        let before = self.position;
        self.position = self.position.max(Position::new(position.era(), 0));
        let listed: BTreeSet<id::Target> = targets.iter().map(|t| t.id.clone()).collect();
        let known = self.live.keys();
        let missing: Vec<id::Target> = known.filter(|id| !listed.contains(id)).cloned().collect();
        self.start_grace_if_most_lapsed(now, &missing.iter().collect::<Vec<_>>());
        let mut changed = false;
        for target in targets {
            changed |= self.put(now, position, target);
        }
        for id in missing {
            changed |= self.mark_missing(now, position, &id);
        }
        self.advance_position(position, changed || position.has_later_era_than(before))
    }

    /// Starts the grace period if a reading lacks most of the ready targets, which is treated as
    /// the end of an outage.
    fn start_grace_if_most_lapsed(&mut self, now: Time, missing: &[&id::Target]) {
        let ready = |id: &&&id::Target| self.is_ready(id);
        let lapsed = missing.iter().filter(ready).count();
        if lapsed < MASS_LAPSE_MIN_TARGETS {
            return;
        }
        let all = self.all().filter(|target| target.state == State::Ready).count();
        if lapsed * 2 > all {
            self.start_grace(now);
        }
    }

    /// Removes targets that are still missing at the end of the grace period, and returns whether
    /// there were any. The cost does not depend on the number of targets that are listed.
    pub fn expire(&mut self, now: Time) -> bool {
        self.expire_tombstones(now);
        if now < self.grace_until {
            return false;
        }
        let missing = std::mem::take(&mut self.missing);
        let missing_at = |id: &id::Target| self.live.get(id).and_then(|lease| lease.missing_at);
        let expired: Vec<(id::Target, Position)> =
            missing.into_iter().filter_map(|id| missing_at(&id).map(|at| (id, at))).collect();
        for (id, position) in &expired {
            self.remove(now, *position, id);
            // The new position shows entries that have not read the registry themselves that they
            // are behind.
            self.advance_position(*position, true);
        }
        !expired.is_empty()
    }

    fn expire_tombstones(&mut self, now: Time) {
        while let Some((created_at, id)) = self.tombstone_order.front()
            && now.since(*created_at) >= TOMBSTONE_TTL
        {
            // A newer tombstone may have taken its place.
            if self.tombstones.get(id).is_some_and(|last| last.created_at == *created_at) {
                self.tombstones.remove(id);
            }
            self.tombstone_order.pop_front();
        }
    }

    /// Takes the targets that may have begun or ceased to take new work since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<id::Target> {
        std::mem::take(&mut self.changed)
    }

    /// Takes the targets whose address has changed since the last call.
    pub fn take_moved(&mut self) -> BTreeSet<id::Target> {
        std::mem::take(&mut self.moved)
    }

    /// Takes the targets that have restarted under their names since the last call.
    pub fn take_restarted(&mut self) -> Vec<id::Target> {
        std::mem::take(&mut self.restarted)
    }

    /// Marks a target as draining because it announced so itself, and returns whether it is listed as
    /// ready until now. What an earlier start announced does not apply to the present one.
    pub fn mark_draining(&mut self, announced_by: &Target) -> bool {
        let id = &announced_by.id;
        let Some(lease) = self.live.get_mut(id) else {
            if let Some(tombstone) = self.tombstones.get_mut(id)
                && !tombstone.target.is_restart_of(announced_by)
            {
                tombstone.target.state = State::Draining;
            }
            return false;
        };
        if lease.target.state == State::Draining || lease.target.is_restart_of(announced_by) {
            return false;
        }
        lease.target.state = State::Draining;
        self.changed.insert(id.clone());
        self.versions.set(id, None);
        true
    }

    /// Returns the targets of one version of a service that take new work.
    pub fn of_version(&self, service: &id::Service, software: &Software) -> BTreeSet<id::Target> {
        let mut versions = self.versions.of(service);
        let of = versions.find(|(known, _)| *known == Some(software));
        of.map(|(_, targets)| targets.clone()).unwrap_or_default()
    }

    /// Returns whether the targets of a service have no versions, and none has had one since streams
    /// began that still run.
    pub fn is_unversioned(&self, now: Time, service: &id::Service) -> bool {
        let versioned_at = self.versioned_at.get(service);
        if versioned_at.is_some_and(|at| now.since(*at) < VERSIONED_TTL) {
            return false;
        }
        let mut versions = self.versions.of(service).peekable();
        versions.peek().is_some() && versions.all(|(software, _)| software.is_some_and(is_empty))
    }

    /// Records that a target was known at `now`, if it has a version or its version is unknown.
    fn record_version(&mut self, now: Time, target: &Target) {
        if !target.software.as_ref().is_some_and(is_empty) {
            self.versioned_at.insert(target.service.clone(), now);
        }
    }

    /// Does the same for a target that is listed and about to change.
    fn record_listed_version(&mut self, now: Time, id: &id::Target) {
        let Some(Lease { target, .. }) = self.live.get(id) else { return };
        if !target.software.as_ref().is_some_and(is_empty) {
            self.versioned_at.insert(target.service.clone(), now);
        }
    }

    /// Returns the targets of those versions of a service that few targets have, if it has several.
    pub fn scarce(&self, service: &id::Service) -> BTreeSet<id::Target> {
        let versions: Vec<_> = self.versions.of(service).map(|(_, targets)| targets).collect();
        if versions.len() < 2 {
            return BTreeSet::new();
        }
        let scarce = versions.into_iter().filter(|targets| targets.len() <= SCARCE_TARGETS);
        scarce.flatten().cloned().collect()
    }

    /// Returns a target that is listed or was until recently. A removed target may still be
    /// working, and its remaining answers are read from it.
    pub fn get(&self, id: &id::Target) -> Option<&Target> {
        let live = self.live.get(id).map(|lease| &lease.target);
        live.or_else(|| self.tombstones.get(id).map(|tombstone| &tombstone.target))
    }

    /// Returns whether a target ended without announcing that it drains: it is not listed any more,
    /// or has restarted.
    pub fn has_ended(&self, target: &Target) -> bool {
        match self.live.get(&target.id) {
            Some(lease) => lease.target.is_restart_of(target),
            None => self.get(&target.id).is_none_or(|last| last.state != State::Draining),
        }
    }

    /// Returns whether a target takes new work.
    pub fn is_ready(&self, id: &id::Target) -> bool {
        self.live.get(id).is_some_and(|lease| lease.target.state == State::Ready)
    }

    /// Returns for how long a target is still cold.
    pub fn cold_remaining(&self, now: Time, id: &id::Target) -> Duration {
        self.live.get(id).map_or(Duration::ZERO, |lease| lease.cold_until.since(now))
    }

    /// Applies an update that a target is cold, and returns whether this is new. Updates about
    /// another start are ignored.
    pub fn apply_cold_update(&mut self, now: Time, update: &cold::Update) -> bool {
        let Some(lease) = self.live.get_mut(&update.target) else { return false };
        let until = now + Duration::from_millis(update.remaining_ms);
        if lease.target.start != update.start || until <= lease.cold_until.max(now) + COLD_TOLERANCE
        {
            return false;
        }
        lease.cold_until = until;
        true
    }

    /// Returns all targets with their current remaining cold time, for an entry that knows none.
    pub fn snapshot(&self, now: Time) -> Vec<Target> {
        let remaining_ms = |lease: &Lease| u64::try_from(lease.cold_until.since(now).as_millis());
        let current = |lease: &Lease| Target {
            cold_ms: remaining_ms(lease).unwrap_or(u64::MAX),
            ..lease.target.clone()
        };
        self.live.values().map(current).collect()
    }

    /// Returns all known targets, including those that are draining.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.live.values().map(|lease| &lease.target)
    }

    /// Returns the targets of one service that take new work.
    pub fn ready<'a>(&'a self, service: &'a id::Service) -> impl Iterator<Item = &'a Target> {
        self.all().filter(move |t| t.service == *service && t.state == State::Ready)
    }

    fn advance_position(&mut self, position: Position, changed: bool) -> bool {
        if changed {
            self.position = self.position.max(position);
        }
        changed
    }

    fn put(&mut self, now: Time, position: Position, mut target: Target) -> bool {
        self.record_version(now, &target);
        self.record_listed_version(now, &target.id);
        match self.tombstones.get(&target.id) {
            Some(tombstone) if tombstone.is_superseded_by(position, &target) => {
                self.tombstones.remove(&target.id);
            }
            Some(_) => return false,
            None => {}
        }
        let known = self.live.get(&target.id).map(|lease| &lease.target);
        if known.is_some_and(|known| known.is_restart_of(&target)) {
            return false;
        }
        // Nothing that was read about an earlier start applies to this one.
        if known.is_some_and(|known| target.is_restart_of(known)) {
            self.restarted.push(target.id.clone());
        }
        if known.is_some_and(|known| target.address != known.address) {
            self.moved.insert(target.id.clone());
        }
        let known = known.filter(|known| !target.is_restart_of(known));
        if known.is_some_and(|known| known.state == State::Draining) {
            target.state = State::Draining;
        }
        if target.software.is_none() {
            target.software = known.and_then(|known| known.software.clone());
        }
        if target.state == State::Draining && known.is_none() {
            // The draining start may follow one that was ready.
            self.changed.insert(target.id.clone());
            self.tombstone_order.push_back((now, target.id.clone()));
            self.tombstones
                .insert(target.id.clone(), Tombstone { target, created_at: now, position });
            return false;
        }
        let changed = known.is_none_or(|known| !known.is_equivalent(&target));
        let renewal = known.map_or(0, |known| known.renewal);
        // An entry that was not written since says how long its target was cold then.
        let outdated = renewal > 0 && target.renewal <= renewal;
        target.renewal = target.renewal.max(renewal);
        let before = self.live.get(&target.id).map_or(Time::ZERO, |lease| lease.cold_until);
        let advertised = now + Duration::from_millis(target.cold_ms);
        let cold_extended =
            !outdated && target.cold_ms > 0 && advertised > before.max(now) + COLD_TOLERANCE;
        let cold_until = if outdated { before } else { advertised };
        if changed {
            self.changed.insert(target.id.clone());
        }
        self.missing.remove(&target.id);
        let ready = target.state == State::Ready;
        let version = ready.then(|| (target.service.clone(), target.software.clone()));
        self.versions.set(&target.id, version);
        self.live.insert(target.id.clone(), Lease { target, missing_at: None, cold_until });
        changed || cold_extended
    }

    /// Records that the registry lacks a lease.
    fn mark_missing(&mut self, now: Time, position: Position, id: &id::Target) -> bool {
        match self.live.get_mut(id) {
            Some(lease) if now < self.grace_until && lease.target.state == State::Ready => {
                lease.missing_at = Some(position);
                self.missing.insert(id.clone());
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
        self.record_listed_version(now, id);
        if let Some(lease) = self.live.remove(id) {
            self.missing.remove(id);
            self.changed.insert(id.clone());
            self.versions.set(id, None);
            let tombstone = Tombstone { target: lease.target, created_at: now, position };
            if let Entry::Vacant(vacant) = self.tombstones.entry(id.clone()) {
                self.tombstone_order.push_back((now, id.clone()));
                vacant.insert(tombstone);
            }
        }
    }
}
