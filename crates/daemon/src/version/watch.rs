//! Reads the platform again and again and hands what it says to the process.

use std::time::Duration;

use fireflyhoist_text::{Text, Version};
use fireflyhoist_wire::platform::Hosts;

use crate::process::Worker;
use crate::version::Snapshot;

/// How long one read may take before it counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait between reads.
const INTERVAL: Duration = Duration::from_millis(500);

/// The largest value that the platform holds.
const MAX_VALUE: usize = 1 << 20;

pub(crate) async fn run(worker: Worker) {
    loop {
        if let Some(hosts) = hosts(&worker).await {
            worker.process.set_hosts(hosts);
        }
        if let Some(snapshot) = text(&worker).await {
            worker.process.adopt(snapshot);
        }
        ntex::time::sleep(INTERVAL).await;
    }
}

async fn hosts(worker: &Worker) -> Option<Hosts> {
    let body = read(worker, "/v1/hosts").await?;
    serde_json::from_slice(&body).ok()
}

async fn text(worker: &Worker) -> Option<Snapshot> {
    let body = read(worker, "/v1/text").await?;
    match Text::parse_bytes(&body) {
        Ok(text) => {
            let source = std::str::from_utf8(&body).ok()?;
            Some(Snapshot { version: Version::of(text.revision, source), text })
        }
        Err(fault) => {
            worker.process.refuse_text(fault.to_string());
            None
        }
    }
}

async fn read(worker: &Worker, path: &str) -> Option<Vec<u8>> {
    let url = format!("http://{}{path}", worker.process.settings.platform);
    let response = worker.client.get(url).timeout(READ_TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = response.body().limit(MAX_VALUE + 1).await.ok()?;
    Some(body.to_vec())
}
