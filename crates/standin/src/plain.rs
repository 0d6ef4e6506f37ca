//! A stand-in plain service: echoes method, path and body, and counts its calls.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::Running;
use crate::serve;

/// What the service remembers.
#[derive(Debug, Default)]
pub struct Plain {
    calls: AtomicU64,
}

impl Plain {
    /// Listens on `listen` and serves until killed.
    pub fn bind(listen: SocketAddr) -> io::Result<(Running, Arc<Self>)> {
        let plain = Arc::new(Self::default());
        let state = Arc::clone(&plain);
        let running = serve::bind(listen, move |config| {
            config.state(Arc::clone(&state)).route("/{path}*", web::to(echo));
        })?;
        Ok((running, plain))
    }

    /// How many calls ran.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

async fn echo(
    plain: web::types::State<Arc<Plain>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    plain.calls.fetch_add(1, Ordering::Relaxed);
    let mut out = format!("{} {}\n", request.method(), request.uri()).into_bytes();
    out.extend_from_slice(&body);
    HttpResponse::Ok().content_type("text/plain").body(out)
}
