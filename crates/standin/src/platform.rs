//! A stand-in platform: publishes the text and the host list, which the system can only read.
//!
//! Operators' pipelines and tests publish through [`Platform::publish`] and
//! [`Platform::set_hosts`], or with `PUT` on the paths under `/operator/`, where faults are set and
//! calls counted as well.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fireflyhoist_wire::platform::{Hosts, SEQUENCE_HEADER, Watch};
use ntex::web::{self, HttpResponse, ServiceConfig};
use parking_lot::RwLock;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::Running;
use crate::serve;

/// How long each answer takes under [`Fault::Slow`]: longer than a daemon waits for a plain read.
const SLOW: Duration = Duration::from_secs(3);

/// The longest that a watch waits, whatever its caller asks.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// What is wrong with the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Every read fails.
    Down,
    /// Reads show what was published when this fault began.
    Stale,
    /// Every read takes seconds.
    Slow,
}

/// One published value; its sequence grows with each change.
#[derive(Clone, Debug, Default)]
struct Value {
    sequence: u64,
    body: String,
}

#[derive(Clone, Debug, Default)]
struct Values {
    text: Value,
    hosts: Value,
}

/// What the platform publishes at the moment.
#[derive(Debug)]
pub struct Platform {
    values: RwLock<Values>,
    frozen: RwLock<Values>,
    fault: RwLock<Fault>,
    changed: watch::Sender<u64>,
    reads: AtomicU64,
}

#[derive(Clone, Copy, Debug)]
enum Key {
    Text,
    Hosts,
}

impl Platform {
    /// Listens on `listen` and serves until killed.
    pub fn bind(listen: SocketAddr) -> io::Result<(Running, Arc<Self>)> {
        let platform = Arc::new(Self {
            values: RwLock::default(),
            frozen: RwLock::default(),
            fault: RwLock::default(),
            changed: watch::Sender::new(0),
            reads: AtomicU64::new(0),
        });
        let state = Arc::clone(&platform);
        let running = serve::bind(listen, move |config| routes(config, &state))?;
        Ok((running, platform))
    }

    /// Publishes a text.
    pub fn publish(&self, text: &str) {
        self.put(Key::Text, text.to_owned());
    }

    /// Publishes a host list.
    pub fn set_hosts(&self, hosts: Hosts) {
        self.put(Key::Hosts, serde_json::to_string(&hosts).unwrap_or_default());
    }

    /// Breaks or mends it; watches that wait notice at once.
    pub fn set_fault(&self, fault: Fault) {
        *self.frozen.write() = self.values.read().clone();
        *self.fault.write() = fault;
        self.changed.send_modify(|count| *count += 1);
    }

    /// How many calls readers made, a waiting watch counted as one.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    fn put(&self, key: Key, body: String) {
        {
            let mut values = self.values.write();
            let value = match key {
                Key::Text => &mut values.text,
                Key::Hosts => &mut values.hosts,
            };
            *value = Value { sequence: value.sequence + 1, body };
        }
        self.changed.send_modify(|count| *count += 1);
    }

    fn get(&self, key: Key) -> Value {
        let stale = *self.fault.read() == Fault::Stale;
        let values = if stale { self.frozen.read() } else { self.values.read() };
        match key {
            Key::Text => values.text.clone(),
            Key::Hosts => values.hosts.clone(),
        }
    }

    /// Answers a read, or waits for a change first where the reader asks for that.
    async fn read(&self, key: Key, watch: Watch) -> HttpResponse {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let mut changes = self.changed.subscribe();
        let wait = Duration::from_millis(watch.wait_ms).min(LONGEST_WAIT);
        let end = tokio::time::Instant::now() + wait;
        loop {
            let fault = *self.fault.read();
            if fault == Fault::Down {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if fault == Fault::Slow {
                ntex::time::sleep(SLOW).await;
            }
            let value = self.get(key);
            if watch.after != Some(value.sequence) {
                return respond(value);
            }
            if !matches!(tokio::time::timeout_at(end, changes.changed()).await, Ok(Ok(()))) {
                return HttpResponse::NotModified().finish();
            }
        }
    }
}

fn respond(value: Value) -> HttpResponse {
    let mut response = match value.body.is_empty() {
        true => HttpResponse::NotFound(),
        false => HttpResponse::Ok(),
    };
    response.header(SEQUENCE_HEADER, value.sequence.to_string()).body(value.body)
}

type State = web::types::State<Arc<Platform>>;

async fn text(platform: State, watch: web::types::Query<Watch>) -> HttpResponse {
    platform.read(Key::Text, watch.into_inner()).await
}

async fn hosts(platform: State, watch: web::types::Query<Watch>) -> HttpResponse {
    platform.read(Key::Hosts, watch.into_inner()).await
}

async fn put_text(platform: State, body: String) -> HttpResponse {
    platform.publish(&body);
    HttpResponse::NoContent().finish()
}

async fn put_hosts(platform: State, body: web::types::Json<Hosts>) -> HttpResponse {
    platform.set_hosts(body.into_inner());
    HttpResponse::NoContent().finish()
}

async fn put_fault(platform: State, body: web::types::Json<Fault>) -> HttpResponse {
    platform.set_fault(body.into_inner());
    HttpResponse::NoContent().finish()
}

async fn reads(platform: State) -> HttpResponse {
    HttpResponse::Ok().body(platform.reads().to_string())
}

fn routes(config: &mut ServiceConfig, platform: &Arc<Platform>) {
    config
        .state(Arc::clone(platform))
        .state(web::types::PayloadConfig::new(2 << 20))
        .state(web::types::JsonConfig::default().limit(2 << 20))
        .route("/v1/text", web::get().to(text))
        .route("/v1/hosts", web::get().to(hosts))
        .route("/operator/text", web::put().to(put_text))
        .route("/operator/hosts", web::put().to(put_hosts))
        .route("/operator/fault", web::put().to(put_fault))
        .route("/operator/reads", web::get().to(reads));
}
