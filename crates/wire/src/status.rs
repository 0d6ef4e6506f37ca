//! What a daemon tells operators of itself and of the fleet as it sees it.

use std::net::SocketAddr;

use fireflyhoist_policy::burn::Reading;
use fireflyhoist_policy::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One service of [`Burn`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: id::Service,
    /// One reading for each measure.
    pub readings: Vec<Reading>,
}

/// The answer of `GET /v1/burn`: what callers of one host received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// The host that answers.
    pub host: id::Host,
    /// Each service of the version in force.
    pub services: Vec<ServiceBurn>,
}

/// The version that a host has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The revision.
    pub revision: u64,
    /// Revision and digest as logs show them.
    pub version: SmolStr,
}

/// One entry host as the answering host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// `live`, `suspect`, `leaving` or `dead`.
    pub state: SmolStr,
    /// Where it serves callers, where known.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// The version that it was last heard to have in force; absent where nothing was heard.
    #[serde(default)]
    pub in_force: Option<InForce>,
}

/// One target as the answering host uses it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The target.
    pub name: id::Target,
    /// Its service.
    pub service: id::Service,
    /// The host it runs on.
    pub host: id::Host,
    /// Why it receives no new work; absent where it does.
    #[serde(default)]
    pub unused: Option<SmolStr>,
}

/// The answer of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host that answers.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The version in force here; absent before the first.
    #[serde(default)]
    pub in_force: Option<InForce>,
    /// Why the text read last was refused; absent where it was not.
    #[serde(default)]
    pub refused: Option<String>,
    /// Requests in progress here.
    pub open: usize,
    /// Entry hosts.
    pub members: Vec<Member>,
    /// Targets.
    pub targets: Vec<Target>,
}

/// The answer of `GET /v1/version`: the little that following a publication needs.
///
/// A status names every target and member; asked of each member twice a second it would cost a node
/// of the design size hundreds of times its budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brief {
    /// The host that answers.
    pub host: id::Host,
    /// The version in force here; absent before the first.
    #[serde(default)]
    pub in_force: Option<InForce>,
    /// Why the text read last was refused; absent where it was not.
    #[serde(default)]
    pub refused: Option<String>,
}
