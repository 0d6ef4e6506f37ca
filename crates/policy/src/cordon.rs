//! Cordoned failure domains, whose targets get no new requests.
//!
//! Operators set and lift cordons in the registry. Each entry holds the whole set together with the
//! registry position at which it was read. The set with the newest position wins, whichever entry
//! read it, so that lifted cordons spread in the same way as new ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::REJOIN_GRACE;
use crate::position::Position;
use crate::time::Time;

/// How long the targets of a domain count as cold after its cordon was lifted, whatever their
/// leases say: leases are renewed about once a second, so their cold state may be out of date.
/// Heartbeats also announce a lift, and the first set that was read, for this long.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The most domains that are kept, to bound memory. Operators do not cordon as many; a registry
/// that lists more has another writer.
pub const MAX_DOMAINS: usize = 1_024;

/// A change of one cordon in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The domain was cordoned.
    Set(id::Domain),
    /// The cordon of the domain was lifted.
    Lifted(id::Domain),
}

/// The set of cordoned domains, as entries announce it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The registry position at which the set was read.
    #[serde(rename = "at")]
    pub position: Position,
    /// The cordoned domains. A domain that was missing after the registry was restored from a copy
    /// has the number of milliseconds for which it still counts as cordoned.
    pub domains: BTreeMap<id::Domain, Option<u64>>,
}

/// The cordons known to one entry.
#[derive(Clone, Debug, Default)]
pub struct Cordons {
    /// The registry position of the set; `None` before the first reading.
    position: Option<Position>,
    /// When this entry first knew the set.
    known_since: Time,
    /// The cordoned domains. A domain that was missing after the registry was restored has the time
    /// until which it still counts as cordoned.
    domains: BTreeMap<id::Domain, Option<Time>>,
    /// When cordons were lifted, for those within the last [`SETTLE_TIME`].
    lifted: BTreeMap<id::Domain, Time>,
}

impl Cordons {
    /// Returns whether the set has been read, here or by another entry.
    pub fn is_known(&self) -> bool {
        self.position.is_some()
    }

    /// Returns the registry position of the set; the default position before the first reading.
    pub fn position(&self) -> Position {
        self.position.unwrap_or_default()
    }

    /// Returns whether a domain is cordoned.
    pub fn contains(&self, domain: &id::Domain) -> bool {
        self.domains.contains_key(domain)
    }

    /// Returns the cordoned domains.
    pub fn all(&self) -> impl Iterator<Item = &id::Domain> {
        self.domains.keys()
    }

    /// Returns for how long the targets of a domain still count as cold because its cordon was
    /// lifted; zero if it was not lifted recently.
    pub fn settle_remaining(&self, now: Time, domain: &id::Domain) -> Duration {
        self.lifted
            .get(domain)
            .map_or(Duration::ZERO, |lifted_at| (*lifted_at + SETTLE_TIME).since(now))
    }

    /// Applies the full list of cordons that was read at `position`, and returns whether the set of
    /// cordoned domains changed.
    ///
    /// The first list of a later era comes from a registry that was restored from an older copy. A
    /// cordon that is missing there may be about to be written again, so it stays in force for
    /// [`REJOIN_GRACE`].
    pub fn apply_list(
        &mut self,
        now: Time,
        position: Position,
        listed: BTreeSet<id::Domain>,
    ) -> bool {
        if self.is_stale(position) {
            return false;
        }
        let restored = self.position.is_some_and(|known| position.is_after(known));
        let mut new: BTreeMap<id::Domain, Option<Time>> =
            listed.into_iter().take(MAX_DOMAINS).map(|domain| (domain, None)).collect();
        for (domain, until) in &self.domains {
            let until = if restored { Some(now + REJOIN_GRACE) } else { *until };
            if until.is_some_and(|until| until > now) {
                new.entry(domain.clone()).or_insert(until);
            }
        }
        self.set_position(now, position);
        self.replace(now, new)
    }

    /// Applies changes that were read at `position`, and returns whether the set of cordoned
    /// domains changed. Does nothing before the first full list.
    pub fn apply_changes(&mut self, now: Time, position: Position, changes: &[Change]) -> bool {
        if !self.is_known() || self.is_stale(position) {
            return false;
        }
        self.position = Some(position);
        let mut new = self.domains.clone();
        for change in changes {
            match change {
                Change::Set(domain) if new.len() < MAX_DOMAINS => {
                    new.insert(domain.clone(), None);
                }
                Change::Set(_) => {}
                Change::Lifted(domain) => {
                    new.remove(domain);
                }
            }
        }
        self.replace(now, new)
    }

    /// Applies the set of another entry if it is newer, and returns whether the set of cordoned
    /// domains changed.
    pub fn apply_update(&mut self, now: Time, update: Update) -> bool {
        if self.position.is_some_and(|known| known >= update.position) {
            return false;
        }
        self.set_position(now, update.position);
        let until = |remaining_ms: u64| now + Duration::from_millis(remaining_ms);
        let new = update.domains.into_iter().take(MAX_DOMAINS);
        let new = new.map(|(domain, remaining_ms)| (domain, remaining_ms.map(until))).collect();
        self.replace(now, new)
    }

    /// Returns the update to announce in each heartbeat: while any domain is cordoned, for
    /// [`SETTLE_TIME`] after a cordon was lifted, and for as long after the set was first known,
    /// since it may be empty. `None` otherwise. An entry whose link has just opened gets
    /// [`Self::to_update`] in any case.
    pub fn heartbeat_update(&self, now: Time) -> Option<Update> {
        let is_new = now.since(self.known_since) < SETTLE_TIME;
        let announce = is_new || !self.domains.is_empty() || !self.lifted.is_empty();
        announce.then(|| self.to_update(now)).flatten()
    }

    /// Returns the set as an update for other entries; `None` before the first reading.
    pub fn to_update(&self, now: Time) -> Option<Update> {
        let remaining_ms =
            |until: Time| u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX);
        let domains =
            self.domains.iter().map(|(domain, until)| (domain.clone(), until.map(remaining_ms)));
        Some(Update { position: self.position?, domains: domains.collect() })
    }

    /// Drops cordons that are still missing at the end of their grace period after a restore, and
    /// returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        self.lifted.retain(|_, lifted_at| now.since(*lifted_at) < SETTLE_TIME);
        let mut new = self.domains.clone();
        new.retain(|_, until| until.is_none_or(|until| until > now));
        self.replace(now, new)
    }

    fn set_position(&mut self, now: Time, position: Position) {
        if self.position.replace(position).is_none() {
            self.known_since = now;
        }
    }

    fn is_stale(&self, position: Position) -> bool {
        self.position.is_some_and(|known| position < known)
    }

    fn replace(&mut self, now: Time, new: BTreeMap<id::Domain, Option<Time>>) -> bool {
        let changed = !self.domains.keys().eq(new.keys());
        for domain in self.domains.keys().filter(|domain| !new.contains_key(*domain)) {
            self.lifted.insert(domain.clone(), now);
        }
        self.lifted.retain(|domain, _| !new.contains_key(domain));
        self.domains = new;
        changed
    }
}
