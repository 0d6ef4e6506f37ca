//! `GET /metrics`: the metrics of this process.

use fireflyhoist_wire::platform::State;
use ntex::web::{self, HttpResponse};

use crate::process::Worker;
use crate::process::metrics::Levels;

pub(crate) async fn get(worker: web::types::State<Worker>) -> HttpResponse {
    let process = &worker.process;
    let hosts = process.hosts();
    let live = |host: &&fireflyhoist_wire::platform::Host| {
        host.entry.is_some() && host.state == State::Live
    };
    let levels = Levels {
        open: process.open_requests(),
        revision: process.snapshot().map_or(0, |snapshot| snapshot.version.revision()),
        leaving: process.is_leaving(),
        refused: process.refused().is_some(),
        hosts: hosts.hosts.iter().filter(live).count(),
    };
    let page = process.burn().metrics().page(levels);
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(page)
}
