//! Failure domains that are cordoned: nothing new is sent to their targets.
//!
//! Operators set and lift cordons in the registry. Each entry holds the whole set together with where
//! in the registry's history it was read, and the newest reading wins, whoever did it: a removal is
//! news just as much as a beginning. `docs/DESIGN.md` has the section "Cordons".

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::REJOIN;
use crate::position::Position;
use crate::time::Time;

/// How long the targets of a domain count as cold after its cordon was lifted, whatever their leases
/// say: a lease is renewed each second or so, and what it said before is old.
pub const SETTLING: Duration = Duration::from_secs(3);

/// The most domains that are kept; a registry with more is not an operator's work.
pub const BOUND: usize = 1_024;

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
pub struct Word {
    /// Where in the registry's history the set was read.
    pub at: Position,
    /// The domains that are cordoned. Those that a registry lacked as it came back from a copy have the
    /// milliseconds for which they still count.
    pub domains: BTreeMap<id::Domain, Option<u64>>,
}

/// The cordons that one entry knows.
#[derive(Clone, Debug, Default)]
pub struct Cordons {
    /// Where the set was read; `None` before the first reading.
    at: Option<Position>,
    /// When it was first known here.
    learned: Time,
    /// The domains that are cordoned, and until when where the registry lacked them as it came back.
    domains: BTreeMap<id::Domain, Option<Time>>,
    /// When cordons were lifted that are not [settled](SETTLING) yet.
    lifted: BTreeMap<id::Domain, Time>,
}

impl Cordons {
    /// Whether it is known which domains are cordoned.
    pub fn is_known(&self) -> bool {
        self.at.is_some()
    }

    /// Where the set was read.
    pub fn at(&self) -> Position {
        self.at.unwrap_or_default()
    }

    /// Whether nothing new is sent to a domain.
    pub fn has(&self, domain: &id::Domain) -> bool {
        self.domains.contains_key(domain)
    }

    /// The domains that get nothing new.
    pub fn all(&self) -> impl Iterator<Item = &id::Domain> {
        self.domains.keys()
    }

    /// For how long the targets of a domain count as cold because its cordon was lifted just now.
    pub fn settles(&self, now: Time, domain: &id::Domain) -> Duration {
        self.lifted.get(domain).map_or(Duration::ZERO, |at| (*at + SETTLING).since(now))
    }

    /// Takes in all cordons as read at a position; returns whether the set is another now.
    ///
    /// The first list of a later era is of a registry that came back from a copy: a cordon that it lacks
    /// may be about to be written again, so it counts for as long as that takes.
    pub fn list(&mut self, now: Time, at: Position, listed: BTreeSet<id::Domain>) -> bool {
        if self.is_older(at) {
            return false;
        }
        let restored = self.at.is_some_and(|known| at.has_later_era_than(known));
        let mut new: BTreeMap<id::Domain, Option<Time>> =
            listed.into_iter().take(BOUND).map(|domain| (domain, None)).collect();
        for (domain, until) in &self.domains {
            let until = if restored { Some(now + REJOIN) } else { *until };
            if until.is_some_and(|until| until > now) {
                new.entry(domain.clone()).or_insert(until);
            }
        }
        self.know(now, at);
        self.replace(now, new)
    }

    /// Takes in changes that were read at a position; returns whether the set is another now.
    pub fn change(&mut self, now: Time, at: Position, changes: &[Change]) -> bool {
        if !self.is_known() || self.is_older(at) {
            return false;
        }
        self.at = Some(at);
        let mut new = self.domains.clone();
        for change in changes {
            match change {
                Change::Set(domain) if new.len() < BOUND => {
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
    pub fn hear(&mut self, now: Time, word: Word) -> bool {
        if self.at.is_some_and(|known| known >= word.at) {
            return false;
        }
        self.know(now, word.at);
        let until = |left: u64| now + Duration::from_millis(left);
        let new = word.domains.into_iter().take(BOUND);
        let new = new.map(|(domain, left)| (domain, left.map(until))).collect();
        self.replace(now, new)
    }

    /// What others should hear of again and again: cordons there are, or were a short while ago, and that
    /// there are none where that has just become known here. Whoever has just been linked hears
    /// [all](Self::word).
    pub fn news(&self, now: Time) -> Option<Word> {
        let learned = now.since(self.learned) < SETTLING;
        let news = learned || !self.domains.is_empty() || !self.lifted.is_empty();
        news.then(|| self.word(now)).flatten()
    }

    /// What others should hear of; `None` before the first reading.
    pub fn word(&self, now: Time) -> Option<Word> {
        let left = |until: Time| u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX);
        let domains = self.domains.iter().map(|(domain, until)| (domain.clone(), until.map(left)));
        Some(Word { at: self.at?, domains: domains.collect() })
    }

    /// Drops what stayed missing after the registry's return; returns whether anything was.
    pub fn expire(&mut self, now: Time) -> bool {
        self.lifted.retain(|_, at| now.since(*at) < SETTLING);
        let mut new = self.domains.clone();
        new.retain(|_, until| until.is_none_or(|until| until > now));
        self.replace(now, new)
    }

    fn know(&mut self, now: Time, at: Position) {
        if self.at.replace(at).is_none() {
            self.learned = now;
        }
    }

    fn is_older(&self, at: Position) -> bool {
        self.at.is_some_and(|known| at < known)
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
