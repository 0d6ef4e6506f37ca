//! What the platform publishes: the text and the list of hosts. Both can only be read.

use std::net::SocketAddr;

use fireflyhoist_policy::id;
use serde::{Deserialize, Serialize};

/// Whether a host stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is in service.
    #[default]
    Live,
    /// It will be taken back.
    Leaving,
}

/// Where the entry of a host listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listen {
    /// For callers.
    pub http: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
}

/// One target that a host runs, for services that take their targets from the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// The service it serves.
    pub service: id::Service,
    /// The target.
    pub target: id::Target,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it stays.
    #[serde(default)]
    pub state: State,
    /// Present on entry hosts only.
    #[serde(default)]
    pub entry: Option<Listen>,
    /// Targets that it runs.
    #[serde(default)]
    pub serves: Vec<Serving>,
}

/// The answer of `GET /v1/hosts`, which lags behind reality.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// Grows with each change of the list.
    pub sequence: u64,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// The header that carries a value's sequence, which grows with each change of the value.
pub const SEQUENCE_HEADER: &str = "x-sequence";

/// The query of a read: with `after` the answer is 304 while the sequence is still that, and with
/// `wait_ms` the platform waits so long for a change before it says so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// The sequence that the reader has.
    pub after: Option<u64>,
    /// Milliseconds to wait for another.
    pub wait_ms: u64,
}
