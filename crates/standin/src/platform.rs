//! A stand-in platform: publishes the text and the host list, which the system can only read.
//!
//! Operators' pipelines and tests publish through [`Platform::publish`] and
//! [`Platform::set_hosts`], or with `PUT` on the paths under `/operator/`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use fireflyhoist_wire::platform::Hosts;
use ntex::web::{self, HttpResponse, ServiceConfig};
use parking_lot::RwLock;

use crate::Running;
use crate::serve;

/// What the platform publishes at the moment.
#[derive(Debug, Default)]
pub struct Platform {
    text: RwLock<String>,
    hosts: RwLock<Hosts>,
    reads: AtomicU64,
}

impl Platform {
    /// Listens on `listen` and serves until killed.
    pub fn bind(listen: SocketAddr) -> io::Result<(Running, Arc<Self>)> {
        let platform = Arc::new(Self::default());
        let state = Arc::clone(&platform);
        let running = serve::bind(listen, move |config| routes(config, &state))?;
        Ok((running, platform))
    }

    /// Publishes a text.
    pub fn publish(&self, text: &str) {
        text.clone_into(&mut self.text.write());
    }

    /// Publishes a host list.
    pub fn set_hosts(&self, hosts: Hosts) {
        *self.hosts.write() = hosts;
    }

    /// How many calls readers made.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }
}

async fn text(platform: web::types::State<Arc<Platform>>) -> HttpResponse {
    platform.reads.fetch_add(1, Ordering::Relaxed);
    let text = platform.text.read().clone();
    if text.is_empty() {
        return HttpResponse::NotFound().finish();
    }
    HttpResponse::Ok().content_type("application/toml").body(text)
}

async fn hosts(platform: web::types::State<Arc<Platform>>) -> HttpResponse {
    platform.reads.fetch_add(1, Ordering::Relaxed);
    HttpResponse::Ok().json(&*platform.hosts.read())
}

async fn put_text(platform: web::types::State<Arc<Platform>>, body: String) -> HttpResponse {
    platform.publish(&body);
    HttpResponse::NoContent().finish()
}

async fn put_hosts(
    platform: web::types::State<Arc<Platform>>,
    body: web::types::Json<Hosts>,
) -> HttpResponse {
    platform.set_hosts(body.into_inner());
    HttpResponse::NoContent().finish()
}

fn routes(config: &mut ServiceConfig, platform: &Arc<Platform>) {
    config
        .state(Arc::clone(platform))
        .state(web::types::PayloadConfig::new(2 << 20))
        .state(web::types::JsonConfig::default().limit(2 << 20))
        .route("/v1/text", web::get().to(text))
        .route("/v1/hosts", web::get().to(hosts))
        .route("/operator/text", web::put().to(put_text))
        .route("/operator/hosts", web::put().to(put_hosts));
}
