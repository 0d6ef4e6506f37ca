//! What members say to one another about membership.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::member::{Notice, Record};
use crate::version::Stamp;

/// The most records in one message: at about 120 bytes each they keep a frame under 2 KB.
pub const MAX_RECORDS: usize = 16;

/// A sign of life with whatever news fits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// A hash of the sender's table, by which lost news is noticed.
    pub table: u64,
    /// The version in force at the sender.
    pub stamp: Stamp,
    /// Whether it answers a heartbeat; answers are not answered.
    pub reply: bool,
    /// Records that changed, at most [`MAX_RECORDS`].
    pub records: Vec<Record>,
    /// Hosts that the platform's list newly says are leaving, or back.
    pub notices: Vec<Notice>,
}

/// One message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// Please ask after this host for me.
    Probe {
        /// The host that fell silent.
        target: id::Host,
    },
    /// Are you there? Somebody asks.
    Ping {
        /// Who asks.
        on_behalf: id::Host,
    },
    /// I am here.
    Pong {
        /// Who asked.
        on_behalf: id::Host,
    },
    /// The host that you asked after is there.
    Reached {
        /// That host.
        target: id::Host,
    },
    /// Please send your table from here on.
    Sync {
        /// The last host of the page before.
        after: Option<id::Host>,
    },
    /// Part of a table.
    Page {
        /// At most [`MAX_RECORDS`] records in the order of hosts.
        records: Vec<Record>,
        /// Whether more follow.
        more: bool,
    },
}
