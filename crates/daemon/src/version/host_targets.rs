//! Resolves the targets of services that take them from the platform's host list.

use std::collections::BTreeSet;

use fireflyhoist_text::{Role, Service, Target};
use fireflyhoist_wire::platform::{Host, Hosts, Serving, State};

/// Returns a service whose targets, if it sets `targets_from`, are those that listed hosts serve.
pub(crate) fn resolve(service: Service, hosts: &Hosts) -> Service {
    if service.targets_from.is_none() {
        return service;
    }
    let live = hosts.hosts.iter().filter(|host| host.state == State::Live);
    let leaving = hosts.hosts.iter().filter(|host| host.state == State::Leaving);
    let serving = live.chain(leaving).flat_map(|host| host.serves.iter().map(move |s| (host, s)));
    let mut seen = BTreeSet::new();
    // During a replacement the list names a target on both its old and its new host. Live hosts
    // come first, so the new one is kept: two targets with one name would mix up their load
    // reports, and the old one is about to be removed.
    let unique = serving
        .filter(|(_, serving)| serving.service == service.name)
        .filter(|(_, serving)| seen.insert(&serving.target));
    let targets = unique.map(|(host, serving)| target(host, serving)).collect();
    Service { targets, ..service }
}

fn target(host: &Host, serving: &Serving) -> Target {
    Target {
        name: serving.target.clone(),
        host: host.name.clone(),
        address: serving.address,
        role: Role::default(),
    }
}
