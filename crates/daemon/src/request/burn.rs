//! `GET /v1/burn`: burn rates of the service-level objectives, as callers of this host see them.

use fireflyhoist_wire::status::{Burn, ServiceBurn};
use ntex::web::{self, HttpResponse};

use crate::process::Worker;

pub(crate) async fn get(worker: web::types::State<Worker>) -> HttpResponse {
    let process = &worker.process;
    let snapshot = process.snapshot();
    let services = snapshot.iter().flat_map(|snapshot| &snapshot.text.services);
    let services = services.map(|service| ServiceBurn {
        service: service.name.clone(),
        readings: process.burn().readings(&service.name, &service.objective.burn()),
    });
    let host = process.settings.host.clone();
    HttpResponse::Ok().json(&Burn { host, services: services.collect() })
}
