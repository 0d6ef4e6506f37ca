//! What is known of one member, and which of two sayings about it holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::member::host_list::Entry;

/// How a member is seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It is heard, directly or through others.
    #[default]
    Alive,
    /// A neighbour and those it asked hear nothing from it.
    Suspect,
    /// It did not refute in time.
    Dead,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its host.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it serves callers.
    pub http: SocketAddr,
    /// Where it serves other daemons.
    pub peer: SocketAddr,
    /// Raised by the member alone; 0 for a published host that was never heard of.
    pub incarnation: u64,
    /// How it is seen.
    pub status: Status,
    /// It says that it serves.
    pub ready: bool,
    /// It says that it takes no new work.
    pub leaving: bool,
}

impl Record {
    /// A host that was published and not heard of yet.
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

    /// Whether this saying holds against `other` about the same host.
    ///
    /// The greater incarnation holds, since only the member itself raises it; within one, the worse
    /// status does. That order is total, so members converge whatever the order of arrival.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}
