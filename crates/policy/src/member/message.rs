//! Messages that members exchange about membership.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::member::{Notice, Record};
use crate::version::Stamp;

/// The largest number of records in one message. At about 120 bytes each, 16 records keep a frame
/// under 2 KB.
pub const MAX_RECORDS: usize = 16;

/// A periodic heartbeat, which also carries queued membership updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// A hash of the sender's table; the receiver compares it with its own to detect lost updates.
    pub table: u64,
    /// The stamp of the version in force at the sender.
    pub stamp: Stamp,
    /// Whether this answers a heartbeat. A reply is never answered itself.
    pub reply: bool,
    /// Records that changed, at most [`MAX_RECORDS`].
    pub records: Vec<Record>,
    /// Hosts that a newer platform list reports as leaving, or as no longer leaving.
    pub notices: Vec<Notice>,
}

/// One message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// Asks the receiver to probe a host on behalf of the sender.
    Probe {
        /// The host that went silent.
        target: id::Host,
    },
    /// A probe of the receiver, sent on behalf of another member.
    Ping {
        /// The member that requested the probe.
        on_behalf: id::Host,
    },
    /// The answer to a [`Message::Ping`].
    Pong {
        /// The member that requested the probe.
        on_behalf: id::Host,
    },
    /// Reports that a host which the receiver asked to have probed has answered.
    Reached {
        /// The host that answered.
        target: id::Host,
    },
    /// Requests the next page of the receiver's table.
    Sync {
        /// The last host of the previous page; `None` for the first page.
        after: Option<id::Host>,
    },
    /// One page of a table.
    Page {
        /// At most [`MAX_RECORDS`] records, ordered by host.
        records: Vec<Record>,
        /// Whether more pages follow.
        more: bool,
    },
}
