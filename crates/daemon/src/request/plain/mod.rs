//! `/s/NAME/...`: calls to plain services.
//!
//! Idempotent calls are streamed both ways and retried until the first byte of a reply; other calls
//! are run at most once, by the issuer of their ticket.

mod at_most_once;
mod forward;
mod idempotent;
mod message;

use std::rc::Rc;

use fireflyhoist_policy::gate::Request;
use fireflyhoist_policy::id;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_text::{Kind, Service};
use ntex::http::Method;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::process::Worker;
use crate::request::plain::message::{BodyError, Message, Upload};
use crate::request::{entries, refuse};

pub(crate) use at_most_once::issue;

/// The largest body of a call, in bytes; larger uploads belong in an object store.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// The largest body, in bytes, that is buffered so that the call can be retried or sent by a task
/// of its own.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

pub(crate) async fn call(
    worker: web::types::State<Worker>,
    http: HttpRequest,
    path: web::types::Path<(String, String)>,
    payload: web::types::Payload,
) -> HttpResponse {
    let open = Rc::new(worker.process.track_request());
    // Small bodies are read first: a response before the body is read closes the connection, and the
    // caller sees a failed write instead of the error response.
    let upload = match Upload::open(&http, payload).await {
        Ok(upload) => upload,
        Err(BodyError::TooLarge) => return refuse::too_large(MAX_BODY_BYTES),
        Err(BodyError::Broken) => return refuse::bad_request("bad-body", "send the whole body"),
    };
    let Some(snapshot) = worker.process.serving() else {
        return refuse::not_ready();
    };
    let workspace = match crate::request::auth::workspace(&snapshot.text, &http) {
        Ok(workspace) => workspace,
        Err(error) => return refuse::auth(&error),
    };
    let service = path.0.parse().ok().and_then(|name| snapshot.text.service(&name));
    let Some(service) = service.filter(|s| s.kind == Kind::Plain) else {
        return refuse::not_found("no plain service has this name; see the operators' text");
    };
    let message = Message::open(&http, workspace, &service.name, &path.1);
    if !service.idempotent && !is_safe(http.method()) {
        return at_most_once::call(&worker, service, message, upload, open).await;
    }
    if worker.process.is_leaving() {
        return refuse::leaving(entries::list(&worker.process, message.workspace.as_str()));
    }
    idempotent::call(&worker, service, message, upload, open).await
}

/// Whether the method is safe (RFC 9110, section 9.2.1); safe calls never need a ticket.
fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

fn admission(worker: &Worker, service: &Service, message: &Message) -> Request {
    Request {
        id: message.request,
        workspace: message.workspace.clone(),
        class: service.class,
        rank: 0,
        prompt: Tokens::default(),
        limit: Tokens::default(),
        prefix: 0,
        objective: worker.process.clock.now() + message::patience(service),
        deadline: worker.process.clock.now() + message::patience(service),
        retry: false,
        avoid: None,
    }
}

fn address(service: &Service, target: &id::Target) -> Option<std::net::SocketAddr> {
    service.targets.iter().find(|t| t.name == *target).map(|t| t.address)
}
