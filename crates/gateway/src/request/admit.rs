//! Leave to send a request to a target: of the gate, of what the target takes, and of what it did before.

use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::Refusal;
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Target;

use crate::connection::frame::Permit;
use crate::process::service_gate::Pass;
use crate::request::{Inquiry, Worker, held};

/// How long the entry that keeps a target's bucket may take to answer: some twenty round trips.
const SEND_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stop {
    /// The gate refuses it.
    Refused(Refusal),
    /// It is held back for so long.
    Held(Duration),
}

/// Waits for leave to send a request; `repeat` where an earlier attempt arrived somewhere.
pub(crate) async fn admit(
    worker: &Worker,
    inquiry: &Inquiry,
    avoid: Option<&id::Target>,
    mut repeat: bool,
) -> Result<Pass, Stop> {
    loop {
        let ask = inquiry.ask(avoid.cloned(), repeat);
        let pass = inquiry.lane.admit(ask).await.map_err(|refusal| stop(inquiry, refusal))?;
        if let Some((why, wait)) = over_limit(worker, pass.target()).await {
            inquiry.lane.suspend_target(pass.target(), wait, why);
            // It has drawn on the retry budget.
            repeat = false;
            continue;
        }
        return match held::wait(worker, inquiry).await {
            Some(wait) => Err(Stop::Held(wait)),
            None => Ok(pass),
        };
    }
}

/// Writes down why targets were no candidates.
fn stop(inquiry: &Inquiry, refusal: Refusal) -> Stop {
    let excluded = inquiry.lane.exclusions();
    log::info!(
        request = inquiry.facts.request.as_str(), reason:% = refusal.reason,
        excluded = excluded.as_str(); "no target takes it"
    );
    Stop::Refused(refusal)
}

/// Why and for how long a target takes no more; `None` where a request may be sent to it now.
async fn over_limit(worker: &Worker, target: &id::Target) -> Option<(Exclusion, Duration)> {
    let question = worker.process.question(target)?;
    let why = match question {
        Permit::ColdSend(_) => Exclusion::Cold,
        Permit::LimitedSend(_) | Permit::Trial(_) => Exclusion::Limited,
    };
    let wait = worker.fleet.request_permit(question, SEND_TIMEOUT).await;
    worker.process.metrics.limited_send(why, if wait.is_some() { "elsewhere" } else { "sent" });
    wait.map(|wait| (why, wait))
}

/// Of targets in the order in which they suit, those that take a request: all that take what comes, or
/// else the first that grants one.
pub(crate) async fn within_limits(worker: &Worker, targets: Vec<Target>) -> Vec<Target> {
    let limited = |target: &Target| worker.process.question(&target.id).is_some();
    let (limited, free): (Vec<Target>, Vec<Target>) = targets.into_iter().partition(limited);
    if !free.is_empty() {
        return free;
    }
    for target in limited {
        if over_limit(worker, &target.id).await.is_none() {
            return vec![target];
        }
    }
    Vec::new()
}
