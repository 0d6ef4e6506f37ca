//! Who is alive, as entries tell it each other: a list when a link opens, then changes.
//!
//! Pattern: a whole list to each link at each change costs bytes that grow with the square of the
//! fleet and more, and is worst when all entries start together. Changes are numbered; whoever
//! misses one sees the gap and asks for the list.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::id;
use crate::topology::Member;

/// A member that is alive, as one that has a link to it says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// The member.
    pub member: Member,
    /// Whether it takes new callers.
    pub ready: bool,
}

/// What changed between two numbers of one teller; from 0 it is the whole list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The number that the change starts from.
    since: u64,
    /// The number that it leads to.
    number: u64,
    /// Members that are new or differ.
    put: Vec<Presence>,
    /// Members that are gone.
    gone: Vec<id::Host>,
}

impl Update {
    /// How many members it names.
    pub fn count(&self) -> usize {
        self.put.len() + self.gone.len()
    }
}

/// An update that does not follow the one before it; the whole list closes the gap.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("update {since} follows {known}; the whole list must be asked for")]
pub struct GapError {
    /// The number that the update starts from.
    pub since: u64,
    /// The number known here.
    pub known: u64,
}

/// What one entry tells.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    number: u64,
    published: BTreeMap<id::Host, Presence>,
}

impl Publisher {
    /// Takes in who is alive now; what to tell everyone that was told the list before.
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

    /// The whole list, for an entry that was told nothing yet or has missed something.
    pub fn snapshot(&self) -> Update {
        let put = self.published.values().cloned().collect();
        Update { since: 0, number: self.number, put, gone: Vec::new() }
    }
}

/// What one entry was told by another.
#[derive(Clone, Debug, Default)]
pub struct Subscriber {
    number: u64,
    alive: BTreeMap<id::Host, Presence>,
}

impl Subscriber {
    /// Takes in an update.
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

    /// Who is said to be alive.
    pub fn alive(&self) -> impl Iterator<Item = &Presence> {
        self.alive.values()
    }
}
