//! Generations: admitted, sent to an engine, and relayed once the head of the answer is received.

use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_policy::gate::{Outcome, Refusal};
use fireflyhoist_policy::id;
use ntex::http::{Response, StatusCode};
use tokio::time::timeout;

use crate::platform::Platform;
use crate::process::service_gate::Pass;
use crate::process::state::millis;
use crate::request::admission::{self, Admission, Rejection};
use crate::request::answer::Stage;
use crate::request::attempt::{self, Error, Options, Started, decline_retry_after};
use crate::request::body::Collected;
use crate::request::fence::{self, Ended};
use crate::request::migration::Backup;
use crate::request::relay::{Relay, Run};
use crate::request::{Context, Worker, drain, end_to_end, liveness, quarantine, refuse};

/// Divisor of the time that a refused caller has left. It may wait for at most this part of it
/// before it retries, since it needs the rest for the answer.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// The reason of [`Error::Unknown`] if the target answered with a server error and the request may be
/// repeated.
const FAILED: &str = "failed";

/// Maximum size in bytes of an answer that is not a stream: such an answer is an engine's error.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Serves one generation; its answer is relayed after this returns.
pub(crate) async fn serve<P: Platform>(worker: &Worker, context: Context) -> Response {
    let context = Rc::new(context);
    let time_left = context.time_left(worker.process.clock.now());
    let mut dispatch = Dispatch {
        worker,
        context: Rc::clone(&context),
        attempts: 0,
        reached_target: false,
        in_flight: false,
        outcome_unknown: false,
        failure: None,
        run_before: None,
    };
    let finished = tokio::select! {
        finished = timeout(time_left, dispatch.run::<P>()) => finished.ok(),
        after = drain::closing(worker) => Some(dispatch.draining(after)),
    };
    match finished {
        Some(response) => response,
        None if dispatch.may_have_run() => refuse::timed_out(&context.facts.request),
        None => refuse::declined(&context.facts.request, decline_retry_after(time_left)),
    }
}

/// The progress of one generation until its answer begins.
struct Dispatch<'a> {
    worker: &'a Worker,
    context: Rc<Context>,
    /// Number of attempts that were sent.
    attempts: u32,
    /// Whether an attempt may have reached a target.
    reached_target: bool,
    /// Whether an attempt is in flight.
    in_flight: bool,
    /// Whether an attempt ended without it being known whether it ran.
    outcome_unknown: bool,
    /// Why the last attempt failed.
    failure: Option<&'static str>,
    /// How it is known that the run of an attempt that may have run has ended.
    run_before: Option<Ended>,
}

impl Dispatch<'_> {
    async fn run<P: Platform>(&mut self) -> Response {
        let mut avoid: Option<id::Target> = None;
        loop {
            let context = &self.context;
            let admission =
                match admission::admit(self.worker, context, avoid.as_ref(), self.reached_target)
                    .await
                {
                    Ok(admission) => admission,
                    Err(Rejection::Quarantined(wait)) => return self.quarantined(wait),
                    Err(Rejection::Refused(refusal)) => return self.refused(refusal),
                    Err(Rejection::Draining(after)) => return self.draining(after),
                };
            avoid = Some(admission.pass.target().clone());
            self.log_placement(&admission.pass);
            match self.attempt::<P>(admission).await {
                Ok(response) => return response,
                Err(error) => {
                    if let Some(response) = self.handle_failure::<P>(&error, avoid.as_ref()).await {
                        return response;
                    }
                }
            }
        }
    }

    /// Logs why the gate chose a target, so that a late start can be explained.
    fn log_placement(&self, pass: &Pass) {
        let (context, process) = (&self.context, &self.worker.process);
        let Some(placement) = pass.placement() else { return };
        process.metrics.wait(placement.rank, process.clock.now().since(context.arrived_at));
        log::info!(
            request = context.facts.request.as_str(), target:% = pass.target(),
            waited_ms = millis(process.clock.now().since(context.first_sent_at)),
            objective_ms = millis(context.route.objective),
            load:% = format_args!("{:.2}", placement.load), streams = placement.streams,
            unread:% = placement.unread, view_ms = millis(placement.age),
            late = placement.late, near = placement.near, rank = placement.rank,
            pace_us = placement.pace.map_or(0, |pace| pace.as_micros() as u64),
            risk = placement.risk; "placed"
        );
    }

    /// Handles a failed attempt: returns the response to the caller, or `None` to try again.
    async fn handle_failure<P: Platform>(
        &mut self,
        error: &Error,
        target: Option<&id::Target>,
    ) -> Option<Response> {
        let request = &self.context.facts.request;
        let more = self.attempts < self.context.route.attempts.max(1);
        let time_left = self.context.time_left(self.worker.process.clock.now());
        self.reached_target |= !matches!(error, Error::NotSent(_));
        self.in_flight = false;
        self.failure = Some(error.reason());
        self.outcome_unknown |= !error.did_not_run();
        let isolated = error.is_isolated() && !self.outcome_unknown;
        if isolated && !self.worker.recovers_path(&self.context).await {
            return Some(refuse::isolated(request));
        }
        match error {
            Error::NotSent(_) => {
                // Nothing was sent, so this does not count as an attempt.
                self.attempts -= 1;
                None
            }
            Error::NotRun(_) if more => None,
            Error::NotRun(_) if self.outcome_unknown => Some(refuse::answer_lost(request)),
            Error::NotRun(_) => Some(refuse::declined(request, decline_retry_after(time_left))),
            Error::Unknown("late") => Some(refuse::timed_out(request)),
            Error::Unknown(FAILED) if more => None,
            Error::Unknown(_) if self.context.route.kind.is_idempotent() && more => {
                // The target may stand still with the request, and run it once it is awake.
                if let Some(target) = target.and_then(|id| self.worker.process.target(id)) {
                    self.run_before = Some(fence::check::<P>(&self.worker.process, &target).await);
                }
                None
            }
            Error::Unknown(_) => Some(refuse::answer_lost(request)),
        }
    }

    /// Returns whether an attempt may have run, in which case a refusal must not say that none has.
    fn may_have_run(&self) -> bool {
        self.in_flight || self.outcome_unknown
    }

    fn quarantined(&self, wait: Duration) -> Response {
        match self.may_have_run() {
            true => refuse::answer_lost(&self.context.facts.request),
            false => quarantine::refuse(self.worker, &self.context, wait),
        }
    }

    fn refused(&self, refusal: Refusal) -> Response {
        if self.may_have_run() {
            return refuse::answer_lost(&self.context.facts.request);
        }
        let now = self.worker.process.clock.now();
        self.worker
            .fleet
            .announce_refusal(self.context.fingerprint, now.since(self.context.first_sent_at));
        // The caller needs the rest of its time for the answer.
        let max = self.context.time_left(now) / RETRY_AFTER_DIVISOR;
        let retry_after = refusal.retry_after.min(max);
        refuse::gate_refusal(self.worker, &self.context, &Refusal { retry_after, ..refusal })
    }

    /// Returns the response if this entry drains and sends the request no more.
    fn draining(&self, after: Duration) -> Response {
        match self.may_have_run() {
            true => refuse::answer_lost(&self.context.facts.request),
            false => refuse::draining(&self.context.facts.request, after),
        }
    }

    async fn attempt<P: Platform>(&mut self, admission: Admission) -> Result<Response, Error> {
        let Admission { pass, grant, slot } = admission;
        self.attempts += 1;
        self.in_flight = true;
        self.worker.process.request_heartbeat();
        let backup = Backup::choose(self.worker, &self.context, &pass, pass.target());
        let options = Options {
            backup: backup.as_ref().map(Backup::address),
            grant,
            constraint: self.context.constraint.clone(),
            again: self.failure,
            run_before: self.run_before.take(),
            ..Options::default()
        };
        let started = attempt::send::<P>(self.worker, &self.context, pass.target(), &options).await;
        let mut started = match started {
            Ok(started) => started,
            Err(error) => {
                if let Some(slot) = slot {
                    slot.end(error.ending());
                }
                pass.finish(error.outcome(&self.worker.process));
                return Err(error);
            }
        };
        if started.response.status != StatusCode::OK {
            return self.forward_unstreamed::<P>(pass, &mut started).await;
        }
        let mut head = Response::build(started.response.status);
        for (name, value) in &end_to_end(&started.response.headers) {
            head.header(name.clone(), value.clone());
        }
        let (context, worker) = (Rc::clone(&self.context), self.worker.clone());
        let held = drain::is_held(self.worker, &self.context);
        let run = Run { pass, slot, backup, started, number: self.attempts, held };
        let mut body = Relay::spawn::<P>(worker, context, run);
        if held {
            let now = self.worker.process.clock.now();
            body = match body.collect(self.context.start_deadline.since(now)).await {
                Collected::Whole(bytes) => return Ok(head.body(bytes)),
                // The relay has made all attempts that are allowed.
                Collected::Cut => return Ok(refuse::answer_lost(&self.context.facts.request)),
                Collected::Unfinished(body) => body,
            };
        }
        self.context.answer.set_stage(Stage::Streaming);
        if self.context.ends_with_connection {
            self.context.set_reset(self.worker, true);
            head.no_chunking().force_close();
        }
        Ok(head.streaming(body))
    }

    /// Forwards an answer that is not a stream, or fails if it is a server error that may be
    /// retried.
    async fn forward_unstreamed<P: Platform>(
        &self,
        pass: Pass,
        started: &mut Started,
    ) -> Result<Response, Error> {
        let Started { response, began_at, .. } = started;
        let server_error = response.status.is_server_error();
        let listed = self.worker.process.target(pass.target());
        pass.finish(if server_error { Outcome::ServerError } else { Outcome::Whole });
        let holding = self.worker.process.memory.hold();
        let body = response.read_held_body(MAX_ANSWER_BYTES, &holding).await.map_err(|_| {
            if let Some(target) = &listed {
                liveness::Check::new(self.worker, &self.context, target, *began_at)
                    .with_begun_run(&self.context)
                    .spawn::<P>();
            }
            Error::Unknown("cut")
        })?;
        self.worker.process.record_completion(self.context.fingerprint);
        let more = self.attempts < self.context.route.attempts;
        if server_error && more && self.context.route.kind.is_idempotent() {
            return Err(Error::Unknown(FAILED));
        }
        let mut head = Response::build(response.status);
        for (name, value) in &end_to_end(&response.headers) {
            head.header(name.clone(), value.clone());
        }
        self.context.answer.hold(holding, body.len(), self.context.io.as_ref());
        Ok(head.body(body))
    }
}
