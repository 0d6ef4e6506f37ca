//! The desired setup of each engine by the version in force.

use std::net::SocketAddr;

use fireflyhoist_policy::id;
use fireflyhoist_policy::order::desired::{self, Engine, Fencing, Setup};
use fireflyhoist_policy::unit::Bytes;
use fireflyhoist_text::{Kind, Model, Service, Target, Text};
use fireflyhoist_wire::platform::{Hosts, State};

/// The number of bytes in a gibibyte.
pub(crate) const GIB: u64 = 1 << 30;

/// Returns the engines to order: those of services that name a model of the text, on hosts that are
/// not listed as leaving.
///
/// An unlisted host may run its engine outside this platform, so only the state "leaving" excludes
/// an engine, as it does for requests.
pub(crate) fn engines(text: &Text, hosts: &Hosts) -> Vec<Engine> {
    let models = text.services.iter().filter(|service| service.kind == Kind::Model);
    let declared = models.flat_map(|service| {
        let model = service.model.as_ref().and_then(|name| text.model(name));
        model.into_iter().flat_map(move |model| {
            service.targets.iter().map(move |target| declared(service, target, model))
        })
    });
    let leaving =
        |host: &id::Host| hosts.hosts.iter().any(|h| h.name == *host && h.state == State::Leaving);
    desired::engines(declared, |host| !leaving(host))
}

fn declared(service: &Service, target: &Target, model: &Model) -> Engine {
    Engine {
        target: target.name.clone(),
        host: target.host.clone(),
        service: service.name.clone(),
        setup: Setup {
            model: model.name.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            role: target.role,
        },
        fencing: if service.checks_fence { Fencing::Checked } else { Fencing::Ignored },
        weights: Bytes::new(u64::from(model.weights_gib) * GIB),
    }
}

/// Returns the address of an engine's target, or `None` if the text does not declare it.
pub(crate) fn address(text: &Text, engine: &Engine) -> Option<SocketAddr> {
    let service = text.service(&engine.service)?;
    service.targets.iter().find(|target| target.name == engine.target).map(|t| t.address)
}
