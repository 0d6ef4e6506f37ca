//! `GET /v1/status`: this host and the fleet as it sees it.

use fireflyhoist_policy::id;
use fireflyhoist_text::{Service, Target as Declared, Version};
use fireflyhoist_wire::platform::{Host, Hosts, State};
use fireflyhoist_wire::status::{InForce, Member, Status, Target};
use ntex::web::{self, HttpResponse};
use smol_str::ToSmolStr;

use crate::process::{Process, Worker};
use crate::request::ejected;

pub(crate) async fn get(worker: web::types::State<Worker>) -> HttpResponse {
    let mut status = status(&worker.process);
    ejected::mark(&worker.process, &mut status);
    HttpResponse::Ok().json(&status)
}

fn status(process: &Process) -> Status {
    let hosts = process.hosts();
    let snapshot = process.snapshot();
    let services = snapshot.iter().flat_map(|snapshot| &snapshot.text.services);
    Status {
        host: process.settings.host.clone(),
        domain: process.settings.domain.clone(),
        leaving: process.is_leaving(),
        in_force: snapshot.as_ref().map(|snapshot| in_force(snapshot.version)),
        refused: process.refused(),
        open: process.open_requests(),
        members: members(process, &hosts),
        targets: services.flat_map(|service| targets(&hosts, service)).collect(),
    }
}

fn in_force(version: Version) -> InForce {
    InForce { revision: version.revision(), version: version.to_smolstr() }
}

/// The entry hosts of the published list; of itself a host knows more than the list does.
fn members(process: &Process, hosts: &Hosts) -> Vec<Member> {
    let own = &process.settings.host;
    let entries = hosts.hosts.iter().filter(|host| host.entry.is_some());
    let member = |host: &Host| {
        let leaving = host.state == State::Leaving || (host.name == *own && process.is_leaving());
        let known = process.snapshot().filter(|_| host.name == *own);
        Member {
            host: host.name.clone(),
            domain: host.domain.clone(),
            state: if leaving { "leaving".into() } else { "live".into() },
            address: host.entry.map(|entry| entry.http),
            in_force: known.map(|snapshot| in_force(snapshot.version)),
        }
    };
    entries.map(member).collect()
}

fn targets(hosts: &Hosts, service: &Service) -> Vec<Target> {
    let leaving =
        |host: &id::Host| hosts.hosts.iter().any(|h| h.name == *host && h.state == State::Leaving);
    let one = |target: &Declared| Target {
        name: target.name.clone(),
        service: service.name.clone(),
        host: target.host.clone(),
        unused: leaving(&target.host).then(|| "its host is leaving".into()),
    };
    service.targets.iter().map(one).collect()
}
