//! Quarantine of requests whose runs have crashed targets.

use std::time::Duration;

use fireflyhoist_policy::poison::Decision;
use ntex::http::Response;

use crate::connection::frame::Permit;
use crate::process::state::millis;
use crate::request::{Context, Worker, liveness, refuse};

/// How long the entry that grants trials may take to answer: about a hundred round trips.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the refusal of a quarantined request, before it waits for anything.
pub(crate) fn check(worker: &Worker, context: &Context) -> Option<Response> {
    if let Decision::Refuse(wait) = worker.process.decide(context.fingerprint) {
        return Some(refuse(worker, context, wait));
    }
    match worker.process.decide_features(&context.facts.features) {
        Decision::Allow | Decision::Trial => None,
        Decision::Refuse(wait) => Some(refuse(worker, context, wait)),
    }
}

/// Refuses a quarantined request of which no attempt has run.
pub(crate) fn refuse(worker: &Worker, context: &Context, wait: Duration) -> Response {
    log_decision(worker, context, "refused", wait);
    refuse::quarantined(&context.facts.request, wait)
}

/// Requests the permit for a trial if a request needs one. Returns `None` if the request may be
/// sent to a target now, or else the time to wait.
///
/// Called before every send except a transfer of a running run: a poison request crashes targets
/// however it reaches them.
pub(crate) async fn acquire(worker: &Worker, context: &Context) -> Option<Duration> {
    match acquire_by_fingerprint(worker, context).await {
        None => acquire_by_features(worker, context).await,
        refused => refused,
    }
}

/// Requests the permit for a trial if what a request has in common with others needs one.
async fn acquire_by_features(worker: &Worker, context: &Context) -> Option<Duration> {
    let features = &context.facts.features;
    if context.has_feature_trial.get() {
        return None;
    }
    match worker.process.decide_features(features) {
        Decision::Allow => None,
        Decision::Refuse(wait) => Some(wait),
        Decision::Trial => {
            let wait = worker.fleet.request_feature_trial(features).await;
            if wait.is_none() {
                context.has_feature_trial.set(true);
                log_decision(worker, context, "tried", Duration::ZERO);
            }
            wait
        }
    }
}

async fn acquire_by_fingerprint(worker: &Worker, context: &Context) -> Option<Duration> {
    if context.has_trial.get() {
        return None;
    }
    let time_left = context.time_left(worker.process.clock.now());
    let within = liveness::CHECK_TIME.min(time_left / 2);
    worker.process.wait_for_checks(context.fingerprint, within).await;
    match worker.process.decide(context.fingerprint) {
        Decision::Allow => None,
        Decision::Refuse(wait) => Some(wait),
        Decision::Trial => {
            let record = worker.process.poison_record(context.fingerprint)?;
            let wait = worker.fleet.request_permit(Permit::Trial(record), TRIAL_TIMEOUT).await;
            if wait.is_none() {
                context.has_trial.set(true);
                log_decision(worker, context, "tried", Duration::ZERO);
            }
            wait
        }
    }
}

/// Logs and counts a decision about a quarantined request.
fn log_decision(worker: &Worker, context: &Context, decision: &'static str, wait: Duration) {
    worker.process.metrics.held_back(decision);
    if let Some(evidence) = worker.process.feature_evidence(&context.facts.features) {
        let parts: Vec<String> = evidence.features.iter().map(ToString::to_string).collect();
        log::info!(
            request = context.facts.request.as_str(), parts = parts.join(",").as_str(),
            decision = decision, ends = evidence.crashes, since_ms = millis(evidence.held_for),
            retry_after_ms = millis(wait); "parts held back"
        );
        return;
    }
    log::info!(
        request = context.facts.request.as_str(), print:% = context.fingerprint,
        decision = decision, ends = worker.process.crashes(context.fingerprint),
        retry_after_ms = millis(wait); "held back"
    );
}
