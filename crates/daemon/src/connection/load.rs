//! Polls the engines' load reports, which the gates use for admission.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_text::Kind;
use fireflyhoist_wire::engine::Load;
use futures_util::future::join_all;
use ntex::http::Method;

use crate::connection::answer;
use crate::process::Worker;

/// The interval between polls; well below the seconds by which reports lag anyway.
const INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of one poll of an engine.
const TIMEOUT: Duration = Duration::from_millis(400);

pub(crate) async fn run(worker: Worker) {
    loop {
        poll_engines(&worker).await;
        ntex::time::sleep(INTERVAL).await;
    }
}

async fn poll_engines(worker: &Worker) {
    let Some(snapshot) = worker.process.snapshot() else { return };
    let models = snapshot.text.services.iter().filter(|s| s.kind == Kind::Model);
    let reads = models.flat_map(|service| {
        service.targets.iter().map(async |target| {
            let load = read(worker, target.address).await;
            if let (Some(load), Some(gate)) = (load, worker.process.gate(&service.name)) {
                gate.apply_report(&target.name, &load.report, Duration::from_millis(load.age_ms));
            }
        })
    });
    join_all(reads).await;
}

async fn read(worker: &Worker, address: SocketAddr) -> Option<Load> {
    let url = format!("http://{address}/v1/load");
    let response = worker.client.get(url).timeout(TIMEOUT).send().await.ok()?;
    let response = answer::check(&Method::GET, response).ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().await.ok()
}
