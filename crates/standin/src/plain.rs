//! A stand-in plain service: echoes method, path and body, and counts its calls.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::Running;
use crate::fault::{Fault, Order, Switch};
use crate::serve;

/// What [`Fault::Slow`] multiplies.
const SLOW_UNIT: Duration = Duration::from_millis(10);

/// What the service remembers.
#[derive(Debug, Default)]
pub struct Plain {
    calls: AtomicU64,
    fault: Switch,
}

impl Plain {
    /// Listens on `listen` and serves until killed.
    pub fn bind(listen: SocketAddr) -> io::Result<(Running, Arc<Self>)> {
        let plain = Arc::new(Self::default());
        let state = Arc::clone(&plain);
        let running = serve::bind(listen, move |config| {
            config
                .state(Arc::clone(&state))
                .route("/fault", web::put().to(fault))
                .route("/{path}*", web::to(echo));
        })?;
        Ok((running, plain))
    }

    /// How many calls ran.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, order: Option<Order>) {
        self.fault.set(order);
    }
}

async fn fault(
    plain: web::types::State<Arc<Plain>>,
    order: web::types::Json<Option<Order>>,
) -> HttpResponse {
    plain.set_fault(order.into_inner());
    HttpResponse::NoContent().finish()
}

async fn echo(
    plain: web::types::State<Arc<Plain>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let fault = plain.fault.strikes(|_| true);
    if fault == Some(Fault::Refuse) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    plain.calls.fetch_add(1, Ordering::Relaxed);
    match fault {
        Some(Fault::LoseReply) => std::future::pending().await,
        Some(Fault::Slow { by }) => ntex::time::sleep(SLOW_UNIT * by).await,
        _ => {}
    }
    let mut out = format!("{} {}\n", request.method(), request.uri()).into_bytes();
    out.extend_from_slice(&body);
    HttpResponse::Ok().content_type("text/plain").body(out)
}
