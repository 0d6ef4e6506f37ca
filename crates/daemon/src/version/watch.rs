//! Asks the platform for the text and the host list: few processes watch, the others poll slowly.

use std::time::Duration;

use fireflyhoist_policy::version::Contact;
use fireflyhoist_wire::platform::{Hosts, SEQUENCE_HEADER};
use ntex::client::ClientResponse;
use ntex::http::StatusCode;

use crate::process::Worker;

/// How long one read may take before it counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a watch waits at the platform for a change; each counts as a call.
const LONG_POLL: Duration = Duration::from_secs(25);

/// How long to wait after a read that failed or told nothing new, twice as long each time.
const BACKOFF: Duration = Duration::from_millis(250);

/// The longest such wait: a platform that is back is noticed well within the 11 s that operators
/// are promised.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How often a process that does not watch looks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The largest value that the platform holds.
const MAX_VALUE: usize = 1 << 20;

/// What the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Key {
    Text,
    Hosts,
}

/// What one read told.
#[derive(Debug)]
enum Answer {
    /// Another value than before.
    Changed { sequence: Option<u64>, body: Vec<u8> },
    /// The same as before, or that nothing is published yet.
    Unchanged { sequence: Option<u64> },
    /// Nothing: it cannot be reached or is broken.
    Failed,
}

/// Reads one value until the process stops.
pub(crate) async fn run(worker: Worker, key: Key) {
    let mut after = None;
    let mut backoff = BACKOFF;
    while !worker.process.is_stopped() {
        let watching = worker.process.control.is_watcher();
        let wait = if watching && after.is_some() { LONG_POLL } else { Duration::ZERO };
        let changed = match fetch(&worker, key, after, wait).await {
            Answer::Changed { sequence, body } => {
                after = sequence;
                apply(&worker, key, &body)
            }
            Answer::Unchanged { sequence } => {
                let changed = sequence != after;
                after = sequence;
                record_contact(&worker, key, Contact::Answered);
                changed || !wait.is_zero()
            }
            Answer::Failed => {
                record_contact(&worker, key, Contact::Silent);
                false
            }
        };
        // The failure: a stale platform differs from what the watch asks after and answers it at
        // once, again and again. Whatever tells nothing new is contact ever more slowly.
        backoff = if changed { BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
        pause(&worker, watching, backoff).await;
    }
}

/// Waits between reads: briefly as a watcher, else for a share of the fleet's rate.
async fn pause(worker: &Worker, watching: bool, backoff: Duration) {
    let jitter = backoff.mul_f64(rand::random::<f64>());
    ntex::time::sleep(backoff / 2 + jitter).await;
    if watching {
        return;
    }
    let mut left = worker.process.control.poll_interval();
    while !left.is_zero() && !worker.process.control.is_watcher() && !worker.process.is_stopped() {
        let step = left.min(ROLE_CHECK_INTERVAL);
        ntex::time::sleep(step).await;
        left -= step;
    }
}

fn record_contact(worker: &Worker, key: Key, contact: Contact) {
    if key == Key::Text {
        worker.process.control.set_platform_contact(contact);
    }
}

/// Hands a value on; whether it told anything new.
fn apply(worker: &Worker, key: Key, body: &[u8]) -> bool {
    match key {
        Key::Text => {
            let changed = worker.process.apply_published_text(body);
            record_contact(worker, key, Contact::Answered);
            changed
        }
        Key::Hosts => match serde_json::from_slice::<Hosts>(body) {
            Ok(hosts) => worker.process.set_hosts(hosts),
            Err(error) => {
                log::warn!(error:% = error; "host list refused; correct what publishes it");
                false
            }
        },
    }
}

async fn fetch(worker: &Worker, key: Key, after: Option<u64>, wait: Duration) -> Answer {
    let path = match key {
        Key::Text => "text",
        Key::Hosts => "hosts",
    };
    let platform = worker.process.settings.platform;
    let mut url = format!("http://{platform}/v1/{path}?wait_ms={}", wait.as_millis());
    if let Some(after) = after {
        url.push_str(&format!("&after={after}"));
    }
    match worker.client.get(url).timeout(READ_TIMEOUT + wait).send().await {
        Ok(response) => answer(response, after).await,
        Err(_) => Answer::Failed,
    }
}

async fn answer(response: ClientResponse, after: Option<u64>) -> Answer {
    let header = response.headers().get(SEQUENCE_HEADER);
    let sequence = header.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    match response.status() {
        StatusCode::OK => match response.body().limit(MAX_VALUE + 1).await {
            Ok(body) => Answer::Changed { sequence, body: body.to_vec() },
            Err(_) => Answer::Failed,
        },
        StatusCode::NOT_MODIFIED => Answer::Unchanged { sequence: after },
        StatusCode::NOT_FOUND => Answer::Unchanged { sequence },
        _ => Answer::Failed,
    }
}
