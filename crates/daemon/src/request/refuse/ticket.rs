//! Error responses for calls that run at most once.

use fireflyhoist_wire::problem::{Problem, Ran};
use ntex::web::HttpResponse;

use crate::request::refuse::{problem, respond};

/// Retry delay for a call that is still running, in milliseconds.
const RUNNING_RETRY_MS: u64 = 1_000;

/// Retry delay, in milliseconds, after which some tickets of a full ledger have likely expired.
const FULL_RETRY_MS: u64 = 10_000;

/// The call is not idempotent and has no ticket.
pub(crate) fn ticket_needed() -> HttpResponse {
    let detail = "calls to this service run at most once: get a ticket with POST /v1/tickets \
                  {\"service\": NAME} and send it as Idempotency-Key; repeat with the same one";
    respond(&problem(428, "ticket-needed", detail, Ran::No))
}

/// The ticket is invalid, so no call was run for it.
pub(crate) fn ticket(detail: &str) -> HttpResponse {
    respond(&problem(403, "bad-ticket", detail, Ran::No))
}

/// The process that issued the ticket is gone or does not respond, so whether the call ran is
/// unknown.
pub(crate) fn issuer_gone() -> Problem {
    let detail = "the entry that issued this ticket is gone, so nobody can tell whether the call \
                  ran; check at the service before you send it again with a new ticket";
    problem(502, "issuer-gone", detail, Ran::Unknown)
}

/// The call of this ticket is still running.
pub(crate) fn still_running() -> Problem {
    let detail = "the call of this ticket is running; ask again with the same ticket";
    let mut problem = problem(409, "still-running", detail, Ran::Unknown);
    problem.retry_after_ms = Some(RUNNING_RETRY_MS);
    problem
}

/// The call has run, and its reply was too large to store.
pub(crate) fn already_ran(status: u16) -> Problem {
    let detail = format!("the call ran once and its status was {status}; its reply is not kept");
    problem(409, "already-ran", &detail, Ran::Yes)
}

/// The ticket was used for a call with another method, path or body.
pub(crate) fn mismatched_ticket() -> Problem {
    let detail = "this ticket was used for another call; get one for each call";
    problem(422, "crossed-ticket", detail, Ran::No)
}

/// The ticket has expired, and its outcome is no longer stored.
pub(crate) fn expired_ticket() -> Problem {
    let detail = "the ticket has expired; check at the service whether the call ran before you \
                  send it again with a new ticket";
    problem(410, "expired-ticket", detail, Ran::Unknown)
}

/// The ledger is full, so no new call is run.
pub(crate) fn ledger_full() -> Problem {
    let detail = "this entry remembers as many calls as it can; try again later or elsewhere";
    let mut problem = problem(503, "ledger-full", detail, Ran::No);
    problem.retry_after_ms = Some(FULL_RETRY_MS);
    problem
}
