//! `GET /v1/version`: the configuration version in force on this host, as a short response.

use fireflyhoist_wire::status::{Brief, InForce};
use ntex::web::{self, HttpResponse};
use smol_str::ToSmolStr;

use crate::process::Worker;

pub(crate) async fn get(worker: web::types::State<Worker>) -> HttpResponse {
    let process = &worker.process;
    let version = process.snapshot().map(|snapshot| snapshot.version);
    HttpResponse::Ok().json(&Brief {
        host: process.settings.host.clone(),
        in_force: version
            .map(|version| InForce { revision: version.revision(), version: version.to_smolstr() }),
        refused: process.refused(),
    })
}
