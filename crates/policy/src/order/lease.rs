//! Majority leases for ordering an engine that ignores fencing numbers.
//!
//! Each published host grants an engine to one owner at a time for [`TTL`] and rejects other owners
//! meanwhile. An owner with grants from a majority of the *published* hosts is the only one until
//! they expire, since any two majorities share a host. Grants are kept in memory only and expire by
//! themselves, so there is no log, no election and no operator action. Without a majority only
//! orders wait; requests are never affected.
//!
//! Four rules prevent two owners from ordering at once, or an old model from being restored:
//! - A restarted process may have granted a lease that it no longer remembers, which would allow
//!   two owners at once. It grants nothing until one whole TTL has passed.
//! - An owner that was paused may act on an expired lease and restore an old model.
//!   [`Quorum::permits`] is checked again right before the write, counts from before the first
//!   request was sent, and reserves [`WRITE_TIMEOUT`] for the order to arrive.
//! - An owner with an old version may send requests to hosts with a newer one, and would undo the
//!   newer version. Hosts reject an owner whose version is older than theirs.
//! - A host may grant a lease to a version that it does not follow yet. If it then granted one to
//!   the older version that it still follows, the old model could be restored after the partition
//!   changes. The host therefore remembers the newest epoch it has granted, a single number, and
//!   rejects older ones.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::id;
use crate::order::fence::Epoch;
use crate::time::Time;

/// How long a grant lasts: enough to ask a majority, read the engine and write, and short against
/// the 11 s within which a version must be in force.
pub const TTL: Duration = Duration::from_secs(4);

/// How long an order may take to arrive; this is reserved at the end of the TTL.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// How far two clocks may drift apart within one TTL; far above the 500 ppm of a poor crystal.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(100);

/// An owner's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The engine to be ordered.
    pub engine: id::Target,
    /// The host that requests the lease.
    #[serde(rename = "steward")]
    pub owner: id::Host,
    /// The epoch of the version that the owner follows.
    #[serde(rename = "mark")]
    pub epoch: Epoch,
}

/// Why a host does not grant a lease.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The host's process has just started and may have granted a lease before.
    #[display("this entry has just started; retry after one lease TTL")]
    Young,
    /// Another owner holds the lease.
    #[display("another entry holds the lease; retry after it has expired")]
    Taken,
    /// The host knows a newer version than the owner's.
    #[display("this entry knows a newer version; retry when that one is in force")]
    Behind,
}

#[derive(Clone, Debug)]
struct Grant {
    owner: id::Host,
    expires: Time,
}

/// The grants of one host.
#[derive(Debug)]
pub struct Voter {
    grants_from: Time,
    newest_epoch: Epoch,
    grants: HashMap<id::Target, Grant>,
}

impl Voter {
    /// Creates the state of a process that starts at `now`.
    pub fn open(now: Time) -> Self {
        Self { grants_from: now + TTL, newest_epoch: Epoch::default(), grants: HashMap::new() }
    }

    /// Grants nothing for one TTL from `now`. It is called when the process detects that its clock
    /// jumped, and then cannot tell which of its grants are still valid.
    pub fn suspend(&mut self, now: Time) {
        self.grants_from = now + TTL;
    }

    /// Answers a request; `own` is the epoch of the version that this host follows.
    ///
    /// # Errors
    ///
    /// [`Rejection`] where this host does not grant the lease.
    pub fn vote(&mut self, now: Time, own: Epoch, request: &Request) -> Result<(), Rejection> {
        if now < self.grants_from {
            return Err(Rejection::Young);
        }
        self.newest_epoch = self.newest_epoch.max(own);
        if request.epoch < self.newest_epoch {
            return Err(Rejection::Behind);
        }
        self.grants.retain(|_, grant| now < grant.expires);
        if self.grants.get(&request.engine).is_some_and(|grant| grant.owner != request.owner) {
            return Err(Rejection::Taken);
        }
        self.newest_epoch = request.epoch;
        let grant = Grant { owner: request.owner.clone(), expires: now + TTL };
        self.grants.insert(request.engine.clone(), grant);
        Ok(())
    }
}

/// The grants that an owner has collected for one request.
#[derive(Clone, Debug)]
pub struct Quorum {
    requested_at: Time,
    published: BTreeSet<id::Host>,
    granted: BTreeSet<id::Host>,
}

impl Quorum {
    /// Starts collecting grants of the `published` hosts; `now` must be read before the first
    /// request is sent.
    pub fn open(now: Time, published: impl IntoIterator<Item = id::Host>) -> Self {
        Self {
            requested_at: now,
            published: published.into_iter().collect(),
            granted: BTreeSet::new(),
        }
    }

    /// Records a grant; a host that is not published is ignored.
    pub fn grant(&mut self, host: &id::Host) {
        if self.published.contains(host) {
            self.granted.insert(host.clone());
        }
    }

    /// Returns whether an order that is written now arrives while a majority of grants is still
    /// valid.
    pub fn permits(&self, now: Time) -> bool {
        let majority = self.granted.len() * 2 > self.published.len();
        majority && now + WRITE_TIMEOUT + MAX_CLOCK_DRIFT <= self.requested_at + TTL
    }
}
