//! Requests that are held back because targets ended under them.

use std::time::Duration;

use fireflyhoist_policy::poison::Decision;
use ntex::http::Response;

use crate::connection::exchange::CONNECT_TIMEOUT;
use crate::connection::frame::Permit;
use crate::process::state::millis;
use crate::request::{Inquiry, Worker, refuse};

/// How long the entry that grants trials may take to answer: a hundred round trips.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Refuses a request that is held back, before it waits for anything.
pub(crate) fn refused(worker: &Worker, inquiry: &Inquiry) -> Option<Response> {
    match worker.process.verdict(inquiry.print) {
        Decision::Allow | Decision::Trial => None,
        Decision::Refuse(wait) => Some(refuse(worker, inquiry, wait)),
    }
}

/// The answer to a request that is held back, of which no attempt has run.
pub(crate) fn refuse(worker: &Worker, inquiry: &Inquiry, wait: Duration) -> Response {
    note(worker, inquiry, "refused", wait);
    refuse::held_back(&inquiry.facts.request, wait)
}

/// Whether a request may be sent to a target now; `Some` says after how long it may.
///
/// To be asked before each send but the move of a run that is under way: one that ends its targets
/// ends them whichever way it reaches them.
pub(crate) async fn wait(worker: &Worker, inquiry: &Inquiry) -> Option<Duration> {
    if inquiry.trial.get() {
        return None;
    }
    worker.process.settle(inquiry.print, CONNECT_TIMEOUT).await;
    match worker.process.verdict(inquiry.print) {
        Decision::Allow => None,
        Decision::Refuse(wait) => Some(wait),
        Decision::Trial => {
            let record = worker.process.poison_record(inquiry.print)?;
            let wait = worker.fleet.request_permit(Permit::Trial(record), TRIAL_TIMEOUT).await;
            if wait.is_none() {
                inquiry.trial.set(true);
                note(worker, inquiry, "tried", Duration::ZERO);
            }
            wait
        }
    }
}

fn note(worker: &Worker, inquiry: &Inquiry, decision: &'static str, wait: Duration) {
    worker.process.metrics.held_back(decision);
    log::info!(
        request = inquiry.facts.request.as_str(), print:% = inquiry.print, decision = decision,
        ends = worker.process.ends(inquiry.print), retry_after_ms = millis(wait); "held back"
    );
}
