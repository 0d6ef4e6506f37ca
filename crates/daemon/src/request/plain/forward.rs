//! Forwards a call to the issuer of its ticket: once, over one hop, marked by a header.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::ticket::Ticket;
use fireflyhoist_text::Service;
use fireflyhoist_wire::caller::{FORWARDED_HEADER, TICKET_HEADER, WORKSPACE_HEADER};
use ntex::http::Method;
use ntex::http::header::{AUTHORIZATION, CONTENT_TYPE};
use ntex::time::{sleep, timeout};
use ntex::util::Bytes;
use ntex::web::HttpResponse;

use crate::connection::{answer, unpooled};
use crate::process::Worker;
use crate::request::plain::message::{Message, end_to_end, patience};
use crate::request::refuse;

/// Timeout of a liveness check of the issuer. An entry that works may stall for more than a second.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between liveness checks while the reply is outstanding.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for the issuer's own error response to arrive after its target has timed out.
const REPLY_MARGIN: Duration = Duration::from_secs(1);

/// The largest reply that is returned to the caller, in bytes.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Forwards the call to the issuer; responds with `ran: unknown` as soon as the issuer is gone or
/// fails a liveness check.
pub(crate) async fn call(
    worker: &Worker,
    service: &Service,
    message: &Message,
    ticket: &Ticket,
    body: Bytes,
) -> HttpResponse {
    let hosts = worker.process.hosts();
    let issuer = hosts.hosts.iter().find(|host| host.name == ticket.issuer);
    let Some(address) = issuer.and_then(|host| host.entry).map(|entry| entry.http) else {
        return refuse::respond(&refuse::issuer_gone());
    };
    let pending = send(worker, message, address, body);
    let pending = timeout(patience(service) + REPLY_MARGIN, pending);
    tokio::select! {
        reply = pending => reply.ok().flatten(),
        // The kernel of a paused issuer accepts the connection and the call, and no reply arrives.
        // Whether the issuer runs the call once it resumes is unknown.
        () = unresponsive(worker, address) => None,
    }
    .unwrap_or_else(|| {
        log::warn!(request:% = message.request, issuer:% = ticket.issuer; "issuer gone");
        refuse::respond(&refuse::issuer_gone())
    })
}

async fn send(
    worker: &Worker,
    message: &Message,
    address: SocketAddr,
    body: Bytes,
) -> Option<HttpResponse> {
    let mut request =
        unpooled(&worker.client, message.method.clone(), address, &message.entry_path);
    for (name, value) in &message.headers {
        request.headers_mut().append(name.clone(), value.clone());
    }
    if let Some(value) = &message.authorization {
        request = request.set_header(AUTHORIZATION, value.clone());
    }
    let own = worker.process.settings.host.as_str();
    let request = request
        .set_header(WORKSPACE_HEADER, message.workspace.as_str())
        .set_header(FORWARDED_HEADER, own);
    debug_assert!(request.headers().contains_key(TICKET_HEADER), "the ticket goes along");
    let response = request.send_body(body).await.ok()?;
    let response = answer::check(&message.method, response).ok()?;
    let mut reply = HttpResponse::build(response.status());
    for (name, value) in &end_to_end(response.headers()) {
        if *name != CONTENT_TYPE {
            reply.header(name.clone(), value.clone());
        }
    }
    if let Some(value) = response.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok()) {
        reply.content_type(value.to_owned());
    }
    let body = response.body().limit(MAX_REPLY_BYTES).await.ok()?;
    Some(reply.body(body))
}

/// Returns once a liveness check of the issuer fails or times out.
async fn unresponsive(worker: &Worker, address: SocketAddr) {
    loop {
        let check = unpooled(&worker.client, Method::GET, address, "/healthz").send();
        let Ok(Ok(response)) = timeout(ALIVE_TIMEOUT, check).await else { return };
        if answer::check(&Method::GET, response).is_err() {
            return;
        }
        sleep(ALIVE_INTERVAL).await;
    }
}
