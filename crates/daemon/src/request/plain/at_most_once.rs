//! Calls that are not idempotent: run at most once, by the issuer of their ticket.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use fireflyhoist_policy::gate::Outcome;
use fireflyhoist_policy::idempotency::{Claim, Outcome as CallOutcome};
use fireflyhoist_policy::ticket::{LIFETIME, Ticket};
use fireflyhoist_text::{Kind, Service};
use fireflyhoist_wire::caller::{Purpose, REPLAYED_HEADER, REQUEST_HEADER, Ticket as Issued};
use fireflyhoist_wire::problem::{Problem, Ran};
use ntex::client::ClientResponse;
use ntex::http::header::CONTENT_TYPE;
use ntex::http::{Method, StatusCode};
use ntex::time::timeout;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use tokio::sync::oneshot;

use crate::connection::{answer, unpooled, unwritten};
use crate::process::tickets::StoredReply;
use crate::process::{InFlight, Worker};
use crate::request::plain::message::{BodyError, Message, Upload, end_to_end, patience};
use crate::request::plain::{MAX_BUFFERED_BYTES, address, admission, forward};
use crate::request::{entries, refuse};

/// Targets that are tried for a call while no connection can be opened.
const MAX_CONNECTS: u32 = 3;

/// The largest reply that is accepted from a target, in bytes.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// `POST /v1/tickets`: issues a ticket for one call to a plain service.
pub(crate) async fn issue(
    worker: web::types::State<Worker>,
    http: HttpRequest,
    body: web::types::Json<Purpose>,
) -> HttpResponse {
    let Some(snapshot) = worker.process.serving() else {
        return refuse::not_ready();
    };
    let workspace = match crate::request::auth::workspace(&snapshot.text, &http) {
        Ok(workspace) => workspace,
        Err(error) => return refuse::auth(&error),
    };
    if worker.process.is_leaving() {
        return refuse::leaving(entries::list(&worker.process, workspace.as_str()));
    }
    let service = body.service.parse().ok().and_then(|name| snapshot.text.service(&name));
    let Some(service) = service.filter(|s| s.kind == Kind::Plain) else {
        return refuse::not_found("no plain service has this name; see the operators' text");
    };
    let ticket = worker.process.tickets.issue();
    HttpResponse::Ok().json(&Issued {
        ticket: ticket.write(&worker.process.key, &workspace, &service.name),
        expires_in_ms: u64::try_from(LIFETIME.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Handles a call with a ticket: runs it here if this process issued the ticket, else forwards it.
pub(crate) async fn call(
    worker: &Worker,
    service: &Service,
    message: Message,
    upload: Upload,
    open: Rc<InFlight>,
) -> HttpResponse {
    let Some(text) = message.ticket() else { return refuse::ticket_needed() };
    let key = &worker.process.key;
    let ticket = match Ticket::read(key, &message.workspace, &service.name, text) {
        Ok(ticket) => ticket,
        Err(error) => return refuse::ticket(&error.to_string()),
    };
    let body = match upload.read().await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return refuse::too_large(MAX_BUFFERED_BYTES as u64),
        Err(BodyError::Broken) => return refuse::bad_request("bad-body", "send the whole body"),
    };
    let tickets = &worker.process.tickets;
    if !tickets.issued(&ticket) {
        // The ticket is of an earlier run of this host, or was forwarded to a host that did not
        // issue it. The outcome of its call is lost, so the call must not run.
        if tickets.names_this_host(&ticket) || message.forwarded() {
            return refuse::respond(&refuse::issuer_gone());
        }
        return forward::call(worker, service, &message, &ticket, body).await;
    }
    if worker.process.is_leaving() && !tickets.contains(&ticket) {
        return refuse::leaving(entries::list(&worker.process, message.workspace.as_str()));
    }
    claim_and_run(worker, service, message, ticket, body, open).await
}

async fn claim_and_run(
    worker: &Worker,
    service: &Service,
    message: Message,
    ticket: Ticket,
    body: Bytes,
    open: Rc<InFlight>,
) -> HttpResponse {
    let request = message.request;
    match worker.process.tickets.claim(&ticket, digest(&message, &body)) {
        Claim::Run => {}
        Claim::Running => return refuse::respond(&refuse::still_running()),
        Claim::Ran(CallOutcome::Unknown) => return refuse::target_failed(Ran::Unknown),
        Claim::Ran(CallOutcome::Replied { status, reply: None }) => {
            return refuse::respond(&refuse::already_ran(status));
        }
        Claim::Ran(CallOutcome::Replied { status, reply: Some(stored) }) => {
            return replay(status, stored);
        }
        Claim::Mismatch => return refuse::respond(&refuse::mismatched_ticket()),
        Claim::Expired => return refuse::respond(&refuse::expired_ticket()),
        Claim::Full => return refuse::respond(&refuse::ledger_full()),
    }
    // The call runs in a task of its own: a handler is dropped when its caller disconnects, the
    // outcome would never be recorded, and each retry would find the ticket still running.
    let (sender, receiver) = oneshot::channel();
    let run = Run { worker: worker.clone(), service: service.clone(), message, ticket, body };
    ntex::rt::spawn(async move {
        drop(sender.send(run.run().await));
        drop(open);
    })
    .detach();
    match receiver.await {
        Ok(Ok(reply)) => reply.respond(request),
        Ok(Err(problem)) => refuse::respond(&problem),
        Err(_) => refuse::target_failed(Ran::Unknown),
    }
}

/// Hashes the parts that identify a call: method, path and body.
fn digest(message: &Message, body: &Bytes) -> u64 {
    let mut hasher = DefaultHasher::new();
    (message.method.as_str(), &message.path, &body[..]).hash(&mut hasher);
    hasher.finish()
}

fn replay(status: u16, stored: StoredReply) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = HttpResponse::build(status);
    if let Some(content_type) = stored.content_type {
        response.content_type(content_type);
    }
    response.header(REPLAYED_HEADER, "true").body(stored.body)
}

/// A reply that was read completely.
struct Reply {
    status: StatusCode,
    headers: ntex::http::HeaderMap,
    body: Bytes,
}

impl Reply {
    async fn read(method: &Method, response: ClientResponse) -> Option<Self> {
        let response = answer::check(method, response).ok()?;
        let status = response.status();
        let headers = end_to_end(response.headers());
        let body = response.body().limit(MAX_REPLY_BYTES).await.ok()?;
        Some(Self { status, headers, body })
    }

    fn to_stored(&self) -> StoredReply {
        let content_type = self.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        StoredReply { content_type: content_type.map(str::to_owned), body: self.body.clone() }
    }

    fn respond(self, request: fireflyhoist_policy::id::Request) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        for (name, value) in &self.headers {
            response.header(name.clone(), value.clone());
        }
        response.header(REQUEST_HEADER, request.to_string()).body(self.body)
    }
}

/// The only run of a claimed call.
struct Run {
    worker: Worker,
    service: Service,
    message: Message,
    ticket: Ticket,
    body: Bytes,
}

impl Run {
    async fn run(self) -> Result<Reply, Problem> {
        let tickets = &self.worker.process.tickets;
        match self.send().await {
            Ok(reply) => {
                let status = reply.status.as_u16();
                let outcome = CallOutcome::Replied { status, reply: Some(reply.to_stored()) };
                tickets.complete(&self.ticket, outcome, reply.body.len());
                Ok(reply)
            }
            Err(problem) if problem.ran == Ran::No => {
                tickets.release(&self.ticket);
                Err(problem)
            }
            Err(problem) => {
                tickets.complete(&self.ticket, CallOutcome::Unknown, 0);
                Err(problem)
            }
        }
    }

    async fn send(&self) -> Result<Reply, Problem> {
        let Self { worker, service, message, body, .. } = self;
        let gate = worker.process.gate(&service.name);
        let gate = gate.ok_or_else(|| refuse::failed(Ran::No))?;
        let watch = worker.process.burn().watch(service);
        let mut admission = admission(worker, service, message);
        for _ in 0..MAX_CONNECTS {
            let admitted = gate.admit(admission.clone()).await;
            let pass = admitted.map_err(|refusal| refuse::refusal(refusal, Ran::No))?;
            admission.avoid = Some(pass.target().clone());
            admission.retry = true;
            let Some(address) = address(service, pass.target()) else { continue };
            // A pooled connection that closes between two calls cannot be told from one that closes
            // after it carried this call, and a retry could then send the call twice. With a new
            // connection, a failed connect is the one case in which nothing was written, and only
            // then is another target tried.
            let request = unpooled(&worker.client, message.method.clone(), address, &message.path);
            let sent = message.add_headers(request).send_body(body.clone());
            match timeout(patience(service), sent).await {
                Ok(Err(error)) if unwritten(&error) => pass.finish(Outcome::Failed),
                Ok(Ok(response)) => {
                    let Some(reply) = Reply::read(&message.method, response).await else {
                        pass.finish(Outcome::Failed);
                        return Err(refuse::failed(Ran::Unknown));
                    };
                    watch.answered();
                    pass.finish(Outcome::Whole);
                    return Ok(reply);
                }
                Ok(Err(_)) | Err(()) => {
                    pass.finish(Outcome::Failed);
                    return Err(refuse::failed(Ran::Unknown));
                }
            }
        }
        Err(refuse::failed(Ran::No))
    }
}
