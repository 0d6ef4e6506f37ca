//! Admission: a request is sent to a target once the gate, the target's limit and the quarantine of
//! poison requests allow it.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{self, Reason, Refusal};
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::origin::Constraint;
use fireflyhoist_policy::permit::Grant;
use fireflyhoist_policy::reservation;
use tokio::time::sleep;

use crate::connection::frame::Permit;
use crate::process::fleet::fragility::Slot;
use crate::process::service_gate::Pass;
use crate::request::{Context, Worker, drain, quarantine};

/// How long the entry that owns a target's token bucket may take to answer: about twenty round
/// trips.
const SEND_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Rejection {
    /// The gate refuses it.
    Refused(Refusal),
    /// It is quarantined, and may be sent again after this time.
    Quarantined(Duration),
    /// This entry drains, and its caller should retry after this time.
    Draining(Duration),
}

/// The permission to send a request to a target.
pub(crate) struct Admission {
    pub(crate) pass: Pass,
    /// The permit of the target's owner, if that is cold.
    pub(crate) grant: Option<Grant>,
    /// Its place at the target, if that is fragile.
    pub(crate) slot: Option<Slot>,
}

/// Waits until a request may be sent to a target, or would not end before this entry stops.
///
/// `avoid` is the target of the previous attempt. `retry` is set if an earlier attempt may have
/// reached a target.
pub(crate) async fn admit(
    worker: &Worker,
    context: &Context,
    avoid: Option<&id::Target>,
    retry: bool,
) -> Result<Admission, Rejection> {
    tokio::select! {
        biased;
        after = drain::refused(worker, context) => Err(Rejection::Draining(after)),
        admission = admit_to_target(worker, context, avoid, retry) => admission,
    }
}

async fn admit_to_target(
    worker: &Worker,
    context: &Context,
    avoid: Option<&id::Target>,
    mut retry: bool,
) -> Result<Admission, Rejection> {
    loop {
        let request = context.gate_request(avoid.cloned(), retry);
        let pass = match choose(worker, context, request).await {
            Ok(pass) => reserve(worker, context, pass).await,
            Err(refusal) => Err(refusal),
        };
        let pass = match pass {
            Ok(pass) => pass,
            Err(refusal) if may_wait(worker, context, &refusal) => {
                sleep(refusal.retry_after).await;
                // The retry budget has been charged for this attempt already.
                retry = false;
                continue;
            }
            Err(refusal) => return Err(log_refusal(context, refusal)),
        };
        let grant = match check_limit(worker, pass.target()).await {
            Ok(grant) => grant,
            Err((exclusion, wait)) => {
                context.gate.suspend_target(pass.target(), wait, exclusion);
                // The retry budget has been charged for this attempt already.
                retry = false;
                continue;
            }
        };
        let slot = match worker.fleet.acquire_slot(pass.target()).await {
            Ok(slot) => slot,
            Err(wait) => {
                context.gate.suspend_target(pass.target(), wait, Exclusion::Crowded);
                retry = false;
                continue;
            }
        };
        return match quarantine::acquire(worker, context).await {
            Some(wait) => Err(Rejection::Quarantined(wait)),
            None => Ok(Admission { pass, grant, slot }),
        };
    }
}

/// Waits for the gate to choose a target, among those at which the request may run.
async fn choose(
    worker: &Worker,
    context: &Context,
    request: gate::Request,
) -> Result<Pass, Refusal> {
    match &context.constraint {
        Constraint::Free => {
            context.gate.admit_ranked(request, Some(context.owner()), context.earlier).await
        }
        Constraint::Version(software) => {
            let allowed = worker.process.targets_of_version(&context.service.name, software);
            context.gate.admit_among(request, &allowed)
        }
        Constraint::Unknown => context.gate.admit_among(request, &BTreeSet::new()),
    }
}

/// Reserves prefill for a generation at the target that was chosen, or at others that are drawn while
/// owners defer it. Runs that are taken up again may go on at few targets, and are not deferred.
async fn reserve(worker: &Worker, context: &Context, mut pass: Pass) -> Result<Pass, Refusal> {
    if context.service.engine.is_none() || context.constraint != Constraint::Free {
        return Ok(pass);
    }
    let mut asked = 0_u32;
    while let Some(wait) = worker.fleet.reserve(&context.gate, &pass).await {
        asked += 1;
        pass.defer(wait, !asked.is_multiple_of(reservation::MAX_ASKS)).await?;
    }
    Ok(pass)
}

/// Returns whether a refused request should rather wait: a place at a fragile target is free again
/// within milliseconds.
fn may_wait(worker: &Worker, context: &Context, refusal: &Refusal) -> bool {
    let retry_at = worker.process.clock.now() + refusal.retry_after;
    refusal.reason == Reason::Crowded && retry_at < context.objective
}

/// Logs why targets were excluded.
fn log_refusal(context: &Context, refusal: Refusal) -> Rejection {
    let excluded = context.gate.exclusions();
    log::info!(
        request = context.facts.request.as_str(), reason:% = refusal.reason,
        excluded = excluded.as_str(); "no target takes it"
    );
    Rejection::Refused(refusal)
}

/// Asks the entry that owns the target's token bucket for one request. Returns the permit if the
/// target is cold, which crashes if it is used late, or why and for how long it accepts no more.
pub(crate) async fn check_limit(
    worker: &Worker,
    target: &id::Target,
) -> Result<Option<Grant>, (Exclusion, Duration)> {
    let Some(permit) = worker.process.required_permit(target) else { return Ok(None) };
    let exclusion = match permit {
        Permit::ColdSend(_) => Exclusion::Cold,
        Permit::LimitedSend(_)
        | Permit::Trial(_)
        | Permit::Slot(_)
        | Permit::Prefill(_)
        | Permit::Features(_)
        | Permit::Resumption(_) => Exclusion::Limited,
    };
    let grant = Grant::new(worker.process.clock.now());
    let wait = worker.fleet.request_permit(permit, SEND_TIMEOUT).await;
    worker
        .process
        .metrics
        .limited_send(exclusion, if wait.is_some() { "elsewhere" } else { "sent" });
    match wait {
        Some(wait) => Err((exclusion, wait)),
        None => Ok((exclusion == Exclusion::Cold).then_some(grant)),
    }
}

/// Filters targets, given in order of preference, to those that accept a request now: all targets
/// without a limit or, if there are none, the first target whose limit grants the request, with the
/// permit.
pub(crate) async fn within_limits(
    worker: &Worker,
    targets: Vec<Target>,
) -> (Vec<Target>, Option<Grant>) {
    let limited = |target: &Target| worker.process.required_permit(&target.id).is_some();
    let (limited, unlimited): (Vec<Target>, Vec<Target>) =
        targets.into_iter().filter(|target| !worker.process.is_resting(target)).partition(limited);
    if !unlimited.is_empty() {
        return (unlimited, None);
    }
    for target in limited {
        if let Ok(grant) = check_limit(worker, &target.id).await {
            return (vec![target], grant);
        }
    }
    (Vec::new(), None)
}
