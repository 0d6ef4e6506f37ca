//! Which entries are alive, as they announce it to each other: a full list when a link opens, and
//! changes after that.
//!
//! A full list over each link at each change costs bytes that grow at least with the square of the
//! fleet, and is worst when all entries start together. Changes are therefore numbered: an entry
//! that missed one detects the gap and requests the full list.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::id;
use crate::topology::Member;

/// A live member, as announced by an entry that has a link to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// The member.
    pub member: Member,
    /// Whether it accepts new callers.
    pub ready: bool,
    /// Whether it reaches no target; see [`crate::isolation`].
    #[serde(default)]
    pub isolated: bool,
}

/// The changes between two numbers of one publisher. An update that starts from 0 is the full list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The number that the update starts from.
    since: u64,
    /// The number that the update leads to.
    number: u64,
    /// Members that are new or have changed.
    put: Vec<Presence>,
    /// Members that are gone.
    gone: Vec<id::Host>,
}

impl Update {
    /// Returns the number of members in the update.
    pub fn count(&self) -> usize {
        self.put.len() + self.gone.len()
    }
}

/// An update does not follow the one before it. Requesting the full list closes the gap.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("update starts from {since}, but the last one applied is {known}; request the full list")]
pub struct GapError {
    /// The number that the update starts from.
    pub since: u64,
    /// The number of the last update that was applied.
    pub known: u64,
}

/// The list that one entry announces.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    number: u64,
    published: BTreeMap<id::Host, Presence>,
}

impl Publisher {
    /// Sets the live members and returns the update for all subscribers that have the list so far;
    /// `None` if nothing has changed.
    pub fn update(&mut self, alive: impl IntoIterator<Item = Presence>) -> Option<Update> {
        let alive: BTreeMap<id::Host, Presence> =
            alive.into_iter().map(|one| (one.member.host.clone(), one)).collect();
        let differs = |one: &&Presence| self.published.get(&one.member.host) != Some(*one);
        let put: Vec<Presence> = alive.values().filter(differs).cloned().collect();
        let gone: Vec<id::Host> =
            self.published.keys().filter(|host| !alive.contains_key(*host)).cloned().collect();
        if put.is_empty() && gone.is_empty() {
            return None;
        }
        let since = self.number;
        self.number += 1;
        self.published = alive;
        Some(Update { since, number: self.number, put, gone })
    }

    /// Returns the full list, for an entry that has received nothing yet or has missed an update.
    pub fn snapshot(&self) -> Update {
        let put = self.published.values().cloned().collect();
        Update { since: 0, number: self.number, put, gone: Vec::new() }
    }
}

/// The list of one publisher, as received by another entry.
#[derive(Clone, Debug, Default)]
pub struct Subscriber {
    number: u64,
    alive: BTreeMap<id::Host, Presence>,
}

impl Subscriber {
    /// Applies an update.
    ///
    /// Returns an error, and changes nothing, if the update does not follow the last one.
    pub fn apply(&mut self, update: Update) -> Result<(), GapError> {
        let Update { since, number, put, gone } = update;
        if since == 0 {
            self.alive.clear();
        } else if since != self.number {
            return Err(GapError { since, known: self.number });
        }
        self.number = number;
        gone.iter().for_each(|host| drop(self.alive.remove(host)));
        self.alive.extend(put.into_iter().map(|one| (one.member.host.clone(), one)));
        Ok(())
    }

    /// Returns the members that the publisher announces as alive.
    pub fn alive(&self) -> impl Iterator<Item = &Presence> {
        self.alive.values()
    }
}
