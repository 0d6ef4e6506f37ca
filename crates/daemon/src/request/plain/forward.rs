//! Passing a call on to the issuer of its ticket: one hop, marked, and never twice.

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

use crate::connection::unpooled;
use crate::process::Worker;
use crate::request::plain::message::{Message, end_to_end, patience};
use crate::request::refuse;

/// How long an issuer may take to say that it is alive; a hundred times what it takes.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// How often it is asked while it has not replied.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for the issuer's own refusal to arrive, after the patience that it grants its target.
const MARGIN: Duration = Duration::from_secs(1);

/// The largest reply that is passed back.
const MAX_REPLY: usize = 8 << 20;

/// Hands the call to the issuer; `ran: unknown` at once where that is gone or does not answer.
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
    let passed = passed(worker, message, address, body);
    let passed = timeout(patience(service) + MARGIN, passed);
    tokio::select! {
        reply = passed => reply.ok().flatten(),
        // Guards against an issuer that is paused: its kernel takes the connection and the call,
        // and nothing ever comes back. Whether it runs the call when it wakes, nobody can tell.
        () = silenced(worker, address) => None,
    }
    .unwrap_or_else(|| {
        log::warn!(request:% = message.request, issuer:% = ticket.issuer; "issuer gone");
        refuse::respond(&refuse::issuer_gone())
    })
}

async fn passed(
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
    let mut reply = HttpResponse::build(response.status());
    for (name, value) in &end_to_end(response.headers()) {
        if *name != CONTENT_TYPE {
            reply.header(name.clone(), value.clone());
        }
    }
    if let Some(value) = response.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok()) {
        reply.content_type(value.to_owned());
    }
    let body = response.body().limit(MAX_REPLY).await.ok()?;
    Some(reply.body(body))
}

/// Returns once the issuer does not say in time that it is alive.
async fn silenced(worker: &Worker, address: SocketAddr) {
    loop {
        let asked = unpooled(&worker.client, Method::GET, address, "/healthz").send();
        match timeout(ALIVE_TIMEOUT, asked).await {
            Ok(Ok(_)) => sleep(ALIVE_INTERVAL).await,
            Ok(Err(_)) | Err(()) => return,
        }
    }
}
