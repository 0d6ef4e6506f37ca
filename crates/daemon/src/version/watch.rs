//! Reads the text and the host list from the platform: a few watchers long-poll, the other
//! processes poll slowly.

use std::time::Duration;

use fireflyhoist_policy::version::Contact;
use fireflyhoist_wire::platform::{Hosts, SEQUENCE_HEADER};
use ntex::client::ClientResponse;
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{Method, StatusCode};

use crate::connection::answer;
use crate::process::Worker;

/// The timeout of one read, in addition to its long-poll time.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a watcher's read waits at the platform for a change; each read counts as a call.
const LONG_POLL: Duration = Duration::from_secs(25);

/// The initial backoff after a read that failed or changed nothing; it doubles each time.
const BACKOFF: Duration = Duration::from_millis(250);

/// The maximum backoff; a recovered platform must be noticed well within the 11 s that operators
/// are promised.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How often a process that is no watcher checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum size of a value at the platform, in bytes.
const MAX_VALUE: usize = 1 << 20;

/// The key of a value that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Key {
    Text,
    Hosts,
}

/// The result of one read.
#[derive(Debug)]
enum Answer {
    /// The value differs from the one read before.
    Changed { sequence: Option<u64>, body: Vec<u8> },
    /// The value is the same as before, or nothing is published yet.
    Unchanged { sequence: Option<u64> },
    /// The platform cannot be reached or its answer is invalid.
    Failed,
}

/// Reads one value repeatedly until the process stops.
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
        // A stale platform has another sequence number than the one asked after, so it answers
        // each long poll at once. Backing off whenever nothing changed prevents a busy loop.
        backoff = if changed { BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
        pause(&worker, watching, backoff).await;
    }
}

/// Waits between reads: for the jittered backoff, and if not a watcher also for the poll interval.
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

/// Applies a value. Returns whether it changed anything.
fn apply(worker: &Worker, key: Key, body: &[u8]) -> bool {
    match key {
        Key::Text => {
            let changed = worker.process.apply_published_text(body);
            record_contact(worker, key, Contact::Answered);
            changed
        }
        Key::Hosts => match Hosts::decode(body) {
            Ok((hosts, errors)) => {
                let changed = worker.process.set_hosts(hosts);
                if let Some(error) = errors.first() {
                    let (skipped, reason) = (errors.len(), format!("{error:.200}"));
                    log::warn!(skipped = skipped, error = reason; "hosts skipped; correct what publishes the list");
                }
                changed
            }
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
        Ok(response) => match answer::check(&Method::GET, response) {
            Ok(response) => answer(response, after).await,
            Err(_) => Answer::Failed,
        },
        Err(_) => Answer::Failed,
    }
}

async fn answer(response: ClientResponse, after: Option<u64>) -> Answer {
    let header = response.headers().get(SEQUENCE_HEADER);
    let sequence = header.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    // A text has no end of its own, so the end of a connection may leave out its last targets.
    let headers = response.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    match response.status() {
        StatusCode::OK if !is_framed => Answer::Failed,
        StatusCode::OK => match response.body().limit(MAX_VALUE + 1).await {
            Ok(body) => Answer::Changed { sequence, body: body.to_vec() },
            Err(_) => Answer::Failed,
        },
        StatusCode::NOT_MODIFIED => Answer::Unchanged { sequence: after },
        StatusCode::NOT_FOUND => Answer::Unchanged { sequence },
        _ => Answer::Failed,
    }
}
