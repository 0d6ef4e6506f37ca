//! Which entry a request for a permit goes to, so that one entry grants all permits of a key.
//!
//! The owner of a key is the active entry with the highest [rendezvous](crate::rendezvous) weight.
//! Each entry knows all actives, but while links are replaced it may have no link to the owner. If
//! it asked the best one that it has a link to, several owners would grant the whole limit of a
//! target at the same time. So another active relays its request, and where the owner can't be
//! reached in this way, nobody grants it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::id;
use crate::rendezvous;
use crate::time::Time;

/// How long after it was asked for a permit may be used. The owner spaces its permits such that
/// requests which are sent up to this much later than others still keep to the limit of a cold target;
/// see [`token_bucket`](crate::token_bucket).
const GRANT_TTL: Duration = Duration::from_millis(150);

/// Where a request for a permit goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This entry is the owner and decides.
    Own,
    /// The request is sent to this entry, which decides or relays it.
    Send(id::Host),
    /// The owner can't be reached now.
    Unreachable,
}

/// The active entries, as one entry knows them.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// This entry, which is active.
    pub own: &'a id::Host,
    /// All active entries that are alive, with or without a link.
    pub actives: &'a BTreeSet<id::Host>,
    /// The entries that this one has a link to.
    pub linked: &'a BTreeSet<id::Host>,
}

impl View<'_> {
    /// Returns where a request of this entry or of one of its leaves goes.
    pub fn route(&self, key: &str) -> Route {
        let ranked = self.ranked(key);
        let Some(owner) = ranked.first().filter(|owner| **owner != self.own) else {
            return Route::Own;
        };
        if self.linked.contains(*owner) {
            return Route::Send((*owner).clone());
        }
        let mut relays = ranked.iter().filter(|host| self.linked.contains(**host));
        relays.next().map_or(Route::Unreachable, |relay| Route::Send((*relay).clone()))
    }

    /// Returns whether this entry decides on the permits of a key.
    pub fn owns(&self, key: &str) -> bool {
        self.ranked(key).first().is_none_or(|owner| *owner == self.own)
    }

    /// Returns where a request of another active entry goes. It is relayed only to an owner of a
    /// higher weight, so that it never comes back, however views differ.
    pub fn relay(&self, key: &str) -> Route {
        let ranked = self.ranked(key);
        match ranked.first() {
            Some(owner) if *owner != self.own && self.linked.contains(*owner) => {
                Route::Send((*owner).clone())
            }
            Some(owner) if *owner != self.own => Route::Unreachable,
            _ => Route::Own,
        }
    }

    /// Returns the actives in the order of their weights, this entry among them.
    fn ranked(&self, key: &str) -> Vec<&id::Host> {
        let mut hosts: Vec<&id::Host> = self.actives.iter().collect();
        if !self.actives.contains(self.own) {
            hosts.push(self.own);
        }
        rendezvous::rank(key, &hosts, |host| host.as_str()).into_iter().copied().collect()
    }
}

/// Returns the owner of a key among the active entries; `None` if there are none.
pub fn owner<'a>(key: &str, actives: &'a BTreeSet<id::Host>) -> Option<&'a id::Host> {
    let hosts: Vec<&id::Host> = actives.iter().collect();
    rendezvous::rank(key, &hosts, |host| host.as_str()).first().map(|host| **host)
}

/// A permit that was granted.
///
/// An entry may be stopped between its question and the use of the answer, or wait for a connection.
/// Used late, the permit would come on top of those that the owner has granted since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Grant {
    asked_at: Time,
}

impl Grant {
    /// Creates a permit that was asked for at this time.
    pub const fn new(asked_at: Time) -> Self {
        Self { asked_at }
    }

    /// Returns whether it may be used at `now`.
    pub fn is_current(self, now: Time) -> bool {
        now.since(self.asked_at) <= GRANT_TTL
    }
}
