//! Failure domains that are cordoned: nothing new is sent to their targets.
//!
//! Operators set and lift cordons in the registry. Each entry holds the whole set together with where
//! in the registry's history it was read, and the newest reading wins, whoever did it: a removal is
//! news just as much as a beginning. `docs/DESIGN.md` has the section "Cordons".

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::REJOIN_GRACE;
use crate::position::Position;
use crate::time::Time;

/// How long the targets of a domain count as cold after its cordon was lifted, whatever their leases
/// say: a lease is renewed each second or so, and what it said before is old.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The most domains that are kept; a registry with more is not an operator's work.
pub const MAX_DOMAINS: usize = 1_024;

/// What a registry tells of one domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It is cordoned.
    Set(id::Domain),
    /// It is no more.
    Lifted(id::Domain),
}

/// What entries tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Where in the registry's history the set was read.
    #[serde(rename = "at")]
    pub position: Position,
    /// The domains that are cordoned. Those that a registry lacked as it came back from a copy have the
    /// milliseconds for which they still count.
    pub domains: BTreeMap<id::Domain, Option<u64>>,
}

/// The cordons that one entry knows.
#[derive(Clone, Debug, Default)]
pub struct Cordons {
    /// Where the set was read; `None` before the first reading.
    position: Option<Position>,
    /// When it was first known here.
    known_since: Time,
    /// The domains that are cordoned, and until when where the registry lacked them as it came back.
    domains: BTreeMap<id::Domain, Option<Time>>,
    /// When cordons were lifted that are not [settled](SETTLE_TIME) yet.
    lifted: BTreeMap<id::Domain, Time>,
}

impl Cordons {
    /// Whether it is known which domains are cordoned.
    pub fn is_known(&self) -> bool {
        self.position.is_some()
    }

    /// Where the set was read.
    pub fn position(&self) -> Position {
        self.position.unwrap_or_default()
    }

    /// Whether nothing new is sent to a domain.
    pub fn contains(&self, domain: &id::Domain) -> bool {
        self.domains.contains_key(domain)
    }

    /// The domains that get nothing new.
    pub fn all(&self) -> impl Iterator<Item = &id::Domain> {
        self.domains.keys()
    }

    /// For how long the targets of a domain count as cold because its cordon was lifted just now.
    pub fn settle_remaining(&self, now: Time, domain: &id::Domain) -> Duration {
        self.lifted
            .get(domain)
            .map_or(Duration::ZERO, |lifted_at| (*lifted_at + SETTLE_TIME).since(now))
    }

    /// Takes in all cordons as read at a position; returns whether the set is another now.
    ///
    /// The first list of a later era is of a registry that came back from a copy: a cordon that it lacks
    /// may be about to be written again, so it counts for as long as that takes.
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

    /// Takes in changes that were read at a position; returns whether the set is another now.
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

    /// Takes in what another entry tells; returns whether the set is another now.
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

    /// What others should hear of again and again: cordons there are, or were a short while ago, and that
    /// there are none where that has just become known here. Whoever has just been linked hears
    /// [all](Self::to_update).
    pub fn heartbeat_update(&self, now: Time) -> Option<Update> {
        let is_new = now.since(self.known_since) < SETTLE_TIME;
        let announce = is_new || !self.domains.is_empty() || !self.lifted.is_empty();
        announce.then(|| self.to_update(now)).flatten()
    }

    /// What others should hear of; `None` before the first reading.
    pub fn to_update(&self, now: Time) -> Option<Update> {
        let remaining_ms =
            |until: Time| u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX);
        let domains =
            self.domains.iter().map(|(domain, until)| (domain.clone(), until.map(remaining_ms)));
        Some(Update { position: self.position?, domains: domains.collect() })
    }

    /// Drops what stayed missing after the registry's return; returns whether anything was.
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
