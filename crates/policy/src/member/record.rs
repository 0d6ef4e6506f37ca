//! The record of one member, and the order that decides which of two records holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::member::host_list::Entry;

/// The status of a member as others see it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Messages arrive from it, directly or through other members.
    #[default]
    Alive,
    /// Neither a neighbour nor the members that it asked for a probe get an answer.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
}

/// The record of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its host.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The address on which it serves callers.
    pub http: SocketAddr,
    /// The address on which it serves other daemons.
    pub peer: SocketAddr,
    /// Raised by the member alone; 0 for a published host from which no message is known.
    pub incarnation: u64,
    /// Its status.
    pub status: Status,
    /// Whether it announces that it serves callers.
    pub ready: bool,
    /// Whether it announces that it accepts no new work.
    pub leaving: bool,
}

impl Record {
    /// Creates the record of a published host from which no message is known.
    pub(crate) fn unseen(entry: &Entry) -> Self {
        Self {
            host: entry.host.clone(),
            domain: entry.domain.clone(),
            http: entry.http,
            peer: entry.peer,
            incarnation: 0,
            status: Status::Alive,
            ready: false,
            leaving: false,
        }
    }

    /// Returns whether this record replaces `other`, which is about the same host.
    ///
    /// The greater incarnation wins, since only the member itself raises it; within one incarnation
    /// the worse status wins. The order is total, so all members converge whatever the order in
    /// which records arrive.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}
