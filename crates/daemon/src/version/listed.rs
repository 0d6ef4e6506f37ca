//! Targets of services that take them from the platform's host list.

use fireflyhoist_text::{Role, Service, Target};
use fireflyhoist_wire::platform::{Host, Hosts, Serving};

/// Gives a service with `targets_from` the targets that hosts are listed to run for it.
pub(crate) fn fill(service: Service, hosts: &Hosts) -> Service {
    if service.targets_from.is_none() {
        return service;
    }
    let serving = hosts.hosts.iter().flat_map(|host| host.serves.iter().map(move |s| (host, s)));
    let own = serving.filter(|(_, serving)| serving.service == service.name);
    let targets = own.map(|(host, serving)| target(host, serving)).collect();
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
