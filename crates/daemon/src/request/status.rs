//! `GET /v1/status`: the state of this host and its view of the fleet.

use fireflyhoist_policy::member::{Record, Status as Seen};
use fireflyhoist_text::{Service, Target as Declared, Version};
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
    let snapshot = process.snapshot();
    let services = snapshot.iter().flat_map(|snapshot| &snapshot.text.services);
    Status {
        host: process.settings.host.clone(),
        domain: process.settings.domain.clone(),
        leaving: process.is_leaving(),
        in_force: snapshot.as_ref().map(|snapshot| in_force(snapshot.version)),
        refused: process.refused(),
        open: process.open_requests(),
        members: members(process),
        targets: services.flat_map(|service| targets(process, service)).collect(),
    }
}

fn in_force(version: Version) -> InForce {
    InForce { revision: version.revision(), version: version.to_smolstr() }
}

/// Returns the entry hosts known from the published list or from peers.
fn members(process: &Process) -> Vec<Member> {
    let own = &process.settings.host;
    let member = |record: Record| {
        let known = process.snapshot().filter(|_| record.host == *own);
        Member {
            state: state(process, &record).into(),
            address: Some(record.http),
            in_force: known.map(|snapshot| in_force(snapshot.version)),
            host: record.host,
            domain: record.domain,
        }
    };
    process.control.members().into_iter().map(member).collect()
}

fn state(process: &Process, record: &Record) -> &'static str {
    match record.status {
        Seen::Dead => "dead",
        Seen::Suspect => "suspect",
        Seen::Alive if process.control.is_leaving(&record.host) => "leaving",
        Seen::Alive if record.host == process.settings.host && process.is_leaving() => "leaving",
        Seen::Alive => "live",
    }
}

fn targets(process: &Process, service: &Service) -> Vec<Target> {
    let one = |target: &Declared| Target {
        name: target.name.clone(),
        service: service.name.clone(),
        host: target.host.clone(),
        unused: process.control.is_leaving(&target.host).then(|| "its host is leaving".into()),
    };
    service.targets.iter().map(one).collect()
}
