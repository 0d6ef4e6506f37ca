//! HTTP handlers: routing, reading requests, admission and responses.

mod auth;
mod body;
mod burn;
mod completion;
mod ejected;
mod entries;
mod metrics;
mod plain;
mod refuse;
mod relay;
mod response;
mod status;
mod version;

use fireflyhoist_policy::id;
use fireflyhoist_wire::caller::WORKSPACE_HEADER;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

use crate::process::Worker;

/// The largest completion request, in bytes; above the size of a long manifest page's text.
const MAX_COMPLETION_BYTES: usize = 1 << 20;

/// The workspace of requests that do not name one.
const DEFAULT_WORKSPACE: &str = "default";

pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .state(web::types::JsonConfig::default().limit(MAX_COMPLETION_BYTES))
        .state(web::types::PayloadConfig::new(MAX_COMPLETION_BYTES))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics::get))
        .route("/v1/status", web::get().to(status::get))
        .route("/v1/version", web::get().to(version::get))
        .route("/v1/burn", web::get().to(burn::get))
        .route("/v1/entries", web::get().to(entries::get))
        .route("/v1/tickets", web::post().to(plain::issue))
        .route("/v1/completions", web::post().to(completion::post))
        .route("/s/{service}/{path}*", web::to(plain::call));
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(worker: web::types::State<Worker>) -> HttpResponse {
    if worker.process.is_leaving() {
        return HttpResponse::ServiceUnavailable().body("leaving\n");
    }
    match worker.process.serving() {
        Some(snapshot) => HttpResponse::Ok().body(format!("ready version={}\n", snapshot.version)),
        None => {
            let standing = worker.process.standing();
            HttpResponse::ServiceUnavailable().body(format!("not ready: {standing}\n"))
        }
    }
}

/// Returns the workspace that the request names, or the default one.
///
/// Fails where the name is not valid.
fn workspace(request: &HttpRequest) -> Result<id::Workspace, id::NameError> {
    let named = request.headers().get(WORKSPACE_HEADER).and_then(|value| value.to_str().ok());
    named.unwrap_or(DEFAULT_WORKSPACE).parse()
}
