//! What the platform publishes: the text and the list of hosts. Both can only be read.

use std::net::SocketAddr;

use fireflyhoist_policy::id;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

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

/// A host list whose hosts are not decoded yet.
#[derive(Deserialize)]
struct RawHosts<'a> {
    sequence: u64,
    #[serde(borrow)]
    hosts: Vec<&'a RawValue>,
}

impl Hosts {
    /// Decodes a list, and returns it with the errors of hosts that cannot be decoded and are left out.
    ///
    /// # Errors
    ///
    /// Fails if it is no list of hosts at all.
    pub fn decode(body: &[u8]) -> Result<(Self, Vec<serde_json::Error>), serde_json::Error> {
        let text = String::from_utf8_lossy(body);
        let raw: RawHosts<'_> = serde_json::from_str(&text)?;
        let (mut hosts, mut errors) = (Vec::new(), Vec::new());
        for host in raw.hosts {
            match serde_json::from_str(host.get()) {
                Ok(host) => hosts.push(host),
                Err(error) => errors.push(error),
            }
        }
        Ok((Self { sequence: raw.sequence, hosts }, errors))
    }
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
