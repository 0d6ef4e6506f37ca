//! Refusals: problem details that say whether the request ran and when to come back.

use std::time::Duration;

use fireflyhoist_policy::gate::{Reason, Refusal};
use fireflyhoist_wire::caller::Entries;
use fireflyhoist_wire::problem::{Problem, Ran};
use ntex::http::StatusCode;
use ntex::web::HttpResponse;

fn respond(problem: &Problem) -> HttpResponse {
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

pub(crate) fn not_found(detail: &str) -> HttpResponse {
    respond(&problem(404, "unknown-service", detail, Ran::No))
}

/// The gate refused: the request has touched no target.
pub(crate) fn gate(refusal: Refusal) -> HttpResponse {
    let (status, detail) = match refusal.reason {
        Reason::WorkspaceLimit => (429, "the workspace is at its limit; send less or later"),
        Reason::NoTarget => (503, "no target of this service is up; try again later"),
        Reason::QueueFull | Reason::Deadline | Reason::RetryBudget => {
            (503, "the service is full; try again later")
        }
    };
    let mut problem = problem(status, &refusal.reason.to_string(), detail, Ran::No);
    problem.retry_after_ms = Some(millis(refusal.retry_after));
    respond(&problem)
}

/// This host is leaving; the caller gets the addresses to use instead.
pub(crate) fn leaving(entries: Entries) -> HttpResponse {
    let detail = "this host is leaving; use one of the listed entries";
    let mut problem = problem(503, "leaving", detail, Ran::No);
    problem.retry_after_ms = Some(0);
    problem.entries = Some(entries);
    respond(&problem)
}

pub(crate) fn target_failed(ran: Ran) -> HttpResponse {
    let detail = match ran {
        Ran::No => "the target could not be reached; the call was not written; try again",
        Ran::Unknown => "the target failed after the call may have reached it; check before retry",
    };
    respond(&problem(502, "target-failed", detail, ran))
}
