//! Error responses: problem details that state whether the request ran and when to retry.

mod ticket;

use std::time::Duration;

use fireflyhoist_policy::gate::{Reason, Refusal};
use fireflyhoist_policy::handle::HandleError;
use fireflyhoist_wire::caller::Entries;
use fireflyhoist_wire::problem::{Problem, Ran};
use ntex::http::StatusCode;
use ntex::http::header::{HeaderValue, WWW_AUTHENTICATE};
use ntex::web::HttpResponse;
use ntex::web::error::JsonPayloadError;

use crate::request::auth::AuthError;

pub(crate) use ticket::{
    already_ran, expired_ticket, issuer_gone, ledger_full, mismatched_ticket, still_running,
    ticket, ticket_needed,
};

/// Retry delay for an entry that has just started; it polls the platform twice a second.
const NOT_READY_RETRY_MS: u64 = 500;

pub(crate) fn respond(problem: &Problem) -> HttpResponse {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.content_type("application/problem+json");
    if let Some(millis) = problem.retry_after_ms {
        response.header("retry-after", millis.div_ceil(1000).max(1).to_string());
    }
    response.json(problem)
}

fn problem(status: u16, kind: &str, detail: &str, ran: Ran) -> Problem {
    Problem {
        kind: kind.into(),
        title: kind.replace('-', " ").into(),
        status,
        detail: detail.to_owned(),
        ran,
        retry_after_ms: None,
        entries: None,
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) fn bad_request(kind: &str, detail: &str) -> HttpResponse {
    respond(&problem(400, kind, detail, Ran::No))
}

/// The body of a completion request is invalid.
pub(crate) fn body(error: &JsonPayloadError) -> HttpResponse {
    let (status, kind, detail) = match error {
        JsonPayloadError::Overflow => {
            (413, "too-large", "the body is over one megabyte; shorten the prompt".to_owned())
        }
        JsonPayloadError::ContentType => {
            (415, "not-json", "send `content-type: application/json`".to_owned())
        }
        JsonPayloadError::Deserialize(reason) => {
            (400, "bad-request", format!("the body does not fit: {reason}; correct it"))
        }
        JsonPayloadError::Payload(reason) => {
            (400, "bad-request", format!("the body broke off: {reason}; send it again"))
        }
    };
    respond(&problem(status, kind, &detail, Ran::No))
}

pub(crate) fn not_found(detail: &str) -> HttpResponse {
    respond(&problem(404, "unknown-service", detail, Ran::No))
}

/// No configuration is in force yet, so no request can be served.
pub(crate) fn not_ready() -> HttpResponse {
    let detail = "no text is in force yet; try again when /readyz says ready";
    let mut problem = problem(503, "not-ready", detail, Ran::No);
    problem.retry_after_ms = Some(NOT_READY_RETRY_MS);
    respond(&problem)
}

/// Authentication failed.
pub(crate) fn auth(error: &AuthError) -> HttpResponse {
    let (status, kind) = match error {
        AuthError::Name(_) => (400, "bad-workspace"),
        AuthError::Key | AuthError::Missing { .. } => (401, "unauthorized"),
        AuthError::Foreign { .. } => (403, "foreign-workspace"),
    };
    let mut response = respond(&problem(status, kind, &error.to_string(), Ran::No));
    if status == 401 {
        let challenge = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(WWW_AUTHENTICATE, challenge);
    }
    response
}

/// The resume handle is rejected; no target was contacted.
pub(crate) fn handle(error: HandleError) -> HttpResponse {
    let (status, kind) = match error {
        HandleError::Forged => (400, "bad-handle"),
        HandleError::Foreign => (403, "foreign-handle"),
        HandleError::Expired => (410, "expired-handle"),
    };
    // The generation that the handle refers to may have run, so `ran` is unknown rather than no.
    respond(&problem(status, kind, &error.to_string(), Ran::Unknown))
}

/// The `Last-Event-ID` does not fit the handle.
pub(crate) fn position(detail: &str) -> HttpResponse {
    respond(&problem(400, "bad-position", detail, Ran::Unknown))
}

/// The gate refused admission; no target was contacted.
pub(crate) fn gate(refused: Refusal) -> HttpResponse {
    respond(&refusal(refused, Ran::No))
}

/// Returns the problem details for a refusal of the gate.
pub(crate) fn refusal(refusal: Refusal, ran: Ran) -> Problem {
    let (status, detail) = match refusal.reason {
        Reason::WorkspaceLimit => (429, "the workspace is at its limit; send less or later"),
        Reason::NoTarget => (503, "no target of this service is up; try again later"),
        Reason::Version => (503, "no engine of the version that began this is up; come back"),
        Reason::Cordoned => (503, "every target's failure domain is cordoned; come back as told"),
        Reason::Limited => (503, "every target takes less for now; come back as told"),
        Reason::Crowded => (503, "no target is sure to have room; try again later"),
        Reason::Resting => (503, "every target has asked for rest; come back as told"),
        Reason::QueueFull | Reason::Deadline | Reason::Late | Reason::RetryBudget => {
            (503, "the service is full; try again later")
        }
    };
    let mut problem = problem(status, &refusal.reason.to_string(), detail, ran);
    problem.retry_after_ms = Some(millis(refusal.retry_after));
    problem
}

/// The answer ends incomplete.
pub(crate) fn interrupted(ran: Ran) -> Problem {
    let detail = "the engine was lost before the answer was complete; discard it and ask again";
    problem(502, "interrupted", detail, ran)
}

/// This host is leaving; the response lists the entries to use instead.
pub(crate) fn leaving(entries: Entries) -> HttpResponse {
    let detail = "this host is leaving; use one of the listed entries";
    let mut problem = problem(503, "leaving", detail, Ran::No);
    problem.retry_after_ms = Some(0);
    problem.entries = Some(entries);
    respond(&problem)
}

/// Returns the problem details for a failed target.
pub(crate) fn failed(ran: Ran) -> Problem {
    let detail = match ran {
        Ran::No => "the target could not be reached; the call was not written; try again",
        _ => "the target failed after the call may have reached it; check before retry",
    };
    problem(502, "target-failed", detail, ran)
}

pub(crate) fn target_failed(ran: Ran) -> HttpResponse {
    respond(&failed(ran))
}

/// The body exceeds the limit of an entry; no target has received it.
pub(crate) fn too_large(limit: u64) -> HttpResponse {
    let detail = format!("the body is larger than {limit} bytes; send less, or a reference to it");
    respond(&problem(413, "too-large", &detail, Ran::No))
}

/// The body ended early or exceeded the limit while it was streamed to a target.
pub(crate) fn broken_upload(limit: u64) -> HttpResponse {
    let detail = format!("the body broke off or is larger than {limit} bytes; send it whole");
    respond(&problem(400, "bad-body", &detail, Ran::Unknown))
}
