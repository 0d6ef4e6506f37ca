//! Requests without a streamed answer: sent, and retried if that is allowed, until an answer is
//! complete.

use std::time::Duration;

use fireflyhoist_policy::fragility::Ending;
use fireflyhoist_policy::gate::{Outcome, Reason, Refusal};
use fireflyhoist_policy::id;
use fireflyhoist_policy::route::Kind;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ntex::http::{HeaderMap, Response, StatusCode};
use ntex::util::Bytes;
use tokio::time::{sleep, timeout};

use crate::connection::exchange::Failure;
use crate::connection::memory::Holding;
use crate::platform::Platform;
use crate::request::admission::{self, Admission, Rejection};
use crate::request::attempt::{self, Error, Options, Started, decline_retry_after};
use crate::request::{Context, Worker, drain, end_to_end, liveness, quarantine, refuse};

/// Maximum size of an answer in bytes. Answers are buffered until they are complete, so that a
/// truncated one is detected and may be fetched again.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Fraction of a route's objective after which a safe request is hedged: sent to a second target as
/// well. A target that does not respond then costs half of the objective instead of the caller's
/// timeout.
const HEDGE_DELAY_FRACTION: f64 = 0.5;

/// Maximum number of attempts that fail before anything is sent and are retried. Each may take up
/// to the connect timeout.
const MAX_UNSENT: u32 = 4;

/// A complete answer of a target.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Counts the body as held.
    holding: Holding,
}

/// The result of one attempt.
struct Finished {
    target: id::Target,
    result: Result<Answer, Error>,
}

/// Serves one request.
pub(crate) async fn serve<P: Platform>(worker: &Worker, context: &Context) -> Response {
    let request = &context.facts.request;
    let time_left = context.time_left(worker.process.clock.now());
    let mut dispatch = Dispatch {
        worker,
        context,
        attempts: 0,
        unsent: 0,
        may_have_run: false,
        outcome_unknown: false,
        reached_target: false,
        refusal: None,
        quarantine_wait: None,
        drain_retry: None,
        server_error: None,
        again: None,
    };
    // A request of which no attempt can have run is refused as safe to retry.
    let finished = tokio::select! {
        finished = timeout(time_left, dispatch.run::<P>()) => finished.ok(),
        after = drain::closing(worker) => Some(match dispatch.may_have_run {
            true => refuse::answer_lost(request),
            false => refuse::draining(request, after),
        }),
    };
    match finished {
        Some(response) => response,
        None if dispatch.may_have_run => refuse::timed_out(request),
        None => refuse::declined(request, decline_retry_after(time_left)),
    }
}

/// The progress of one request over its attempts.
struct Dispatch<'a> {
    worker: &'a Worker,
    context: &'a Context,
    /// Number of attempts that were sent.
    attempts: u32,
    /// Number of attempts that failed before anything was sent.
    unsent: u32,
    /// Whether an attempt may be running or may have run.
    may_have_run: bool,
    /// Whether an attempt ended without it being known whether it ran.
    outcome_unknown: bool,
    /// Whether an attempt may have reached a target.
    reached_target: bool,
    /// The last refusal of the gate.
    refusal: Option<Refusal>,
    /// The time to wait if the request is quarantined.
    quarantine_wait: Option<Duration>,
    /// When to retry if this entry drains and sends the request no more.
    drain_retry: Option<Duration>,
    /// The last server error of a target, returned if no attempt succeeds.
    server_error: Option<Answer>,
    /// Why the last attempt failed, or the next one is sent before it has.
    again: Option<&'static str>,
}

impl Dispatch<'_> {
    async fn run<P: Platform>(&mut self) -> Response {
        let mut pending = FuturesUnordered::new();
        let hedge_delay = self.context.route.objective.mul_f64(HEDGE_DELAY_FRACTION);
        let mut avoid = None;
        let mut send_next = true;
        loop {
            let mut finished = None;
            if std::mem::take(&mut send_next) && self.may_send() {
                // An attempt in flight counts as one that has reached its target.
                let retry = self.reached_target || !pending.is_empty();
                tokio::select! {
                    biased;
                    // The attempt in flight may hold what this one waits for.
                    Some(first) = pending.next(), if !pending.is_empty() => finished = Some(first),
                    admission =
                        admission::admit(self.worker, self.context, avoid.as_ref(), retry) =>
                    {
                        if let Some(admission) = self.handle_admission(admission) {
                            avoid = Some(admission.pass.target().clone());
                            let (worker, context) = (self.worker, self.context);
                            pending.push(attempt_once::<P>(worker, context, admission, self.again));
                        }
                    }
                }
            }
            if finished.is_none() {
                let suspect = self.worker.process.crashes(self.context.fingerprint) > 0;
                let is_safe = self.context.route.kind == Kind::Safe;
                let may_hedge = is_safe && self.attempts == 1 && !suspect;
                finished = tokio::select! {
                    finished = pending.next() => finished,
                    () = sleep(hedge_delay), if may_hedge && !pending.is_empty() => {
                        self.again = Some("hedge");
                        send_next = true;
                        continue;
                    }
                };
            }
            let Some(finished) = finished else { return self.final_response() };
            avoid = Some(finished.target.clone());
            self.again = Some(match &finished.result {
                Ok(_) => "server error",
                Err(error) => error.reason(),
            });
            if let Some(response) = self.handle_result(finished, pending.is_empty()).await {
                return response;
            }
            send_next = true;
        }
    }

    /// Counts an attempt that may be sent, or records why none may.
    fn handle_admission(&mut self, admission: Result<Admission, Rejection>) -> Option<Admission> {
        match admission {
            Ok(admission) => {
                self.attempts += 1;
                self.may_have_run = true;
                return Some(admission);
            }
            Err(Rejection::Quarantined(wait)) => self.quarantine_wait = Some(wait),
            Err(Rejection::Refused(refusal)) => self.refusal = Some(refusal),
            Err(Rejection::Draining(after)) => self.drain_retry = Some(after),
        }
        None
    }

    fn may_send(&self) -> bool {
        let more = self.attempts < self.context.route.attempts.max(1);
        more && self.unsent <= MAX_UNSENT && (!self.may_have_run || self.is_idempotent())
    }

    fn is_idempotent(&self) -> bool {
        self.context.route.kind.is_idempotent()
    }

    /// Handles the result of an attempt. Returns the response to the caller if that is final;
    /// `last` is set if no other attempt is in flight.
    async fn handle_result(&mut self, finished: Finished, last: bool) -> Option<Response> {
        self.reached_target |= !finished.result.as_ref().is_err_and(Error::did_not_run);
        let isolated = finished.result.as_ref().is_err_and(Error::is_isolated);
        if isolated && last && !self.outcome_unknown {
            // A refusal must say so if no attempt ran, also if it comes while this waits.
            self.may_have_run &= self.reached_target;
            if !self.worker.recovers_path(self.context).await {
                return Some(refuse::isolated(&self.context.facts.request));
            }
        }
        match finished.result {
            Ok(answer) if answer.status.is_server_error() && self.is_idempotent() => {
                self.server_error = Some(answer);
                None
            }
            Ok(answer) => Some(respond(self.context, answer)),
            Err(Error::NotSent(_) | Error::NotRun(_)) => {
                if matches!(finished.result, Err(Error::NotSent(_))) {
                    // Nothing was sent, so this does not count as an attempt.
                    self.attempts -= 1;
                    self.unsent += 1;
                } else {
                    self.reached_target = true;
                }
                if last && !self.is_idempotent() {
                    self.may_have_run = false;
                }
                None
            }
            Err(Error::Unknown("late")) => Some(refuse::timed_out(&self.context.facts.request)),
            Err(Error::Unknown(_)) if self.is_idempotent() => {
                self.outcome_unknown = true;
                None
            }
            Err(Error::Unknown(_)) => Some(refuse::answer_lost(&self.context.facts.request)),
        }
    }

    /// Returns the response when no attempt is in flight and no other may be sent.
    fn final_response(&mut self) -> Response {
        let request = &self.context.facts.request;
        if let Some(answer) = self.server_error.take() {
            return respond(self.context, answer);
        }
        if self.outcome_unknown {
            return refuse::answer_lost(request);
        }
        if let Some(after) = self.drain_retry {
            return refuse::draining(request, after);
        }
        if let Some(wait) = self.quarantine_wait {
            return quarantine::refuse(self.worker, self.context, wait);
        }
        let time_left = self.context.time_left(self.worker.process.clock.now());
        let after = decline_retry_after(time_left);
        match self.refusal.take() {
            // No target takes it any sooner.
            Some(refusal) if refusal.reason == Reason::Resting => {
                refuse::gate_refusal(self.worker, self.context, &refusal)
            }
            Some(refusal) => {
                let retry_after = refusal.retry_after.min(after.max(Duration::from_millis(100)));
                refuse::gate_refusal(self.worker, self.context, &Refusal { retry_after, ..refusal })
            }
            None => refuse::declined(request, after),
        }
    }
}

async fn attempt_once<P: Platform>(
    worker: &Worker,
    context: &Context,
    admission: Admission,
    again: Option<&'static str>,
) -> Finished {
    let Admission { pass, grant, slot } = admission;
    let target = pass.target().clone();
    let options = Options { grant, again, ..Options::default() };
    let clock = &worker.process.clock;
    let call = worker.calls.begin(&context.route.name, clock.now());
    let result = fetch::<P>(worker, context, &target, &options).await;
    if result.is_ok() {
        call.complete(clock.now());
    }
    let outcome = match &result {
        Ok(answer) if answer.status.is_server_error() => Outcome::ServerError,
        Ok(_) => Outcome::Whole,
        Err(error) => error.outcome(&worker.process),
    };
    if let Some(slot) = slot {
        slot.end(result.as_ref().map_or_else(Error::ending, |_| Ending::Accepted));
    }
    pass.finish(outcome);
    if result.is_ok() {
        worker.process.record_completion(context.fingerprint);
    }
    Finished { target, result }
}

async fn fetch<P: Platform>(
    worker: &Worker,
    context: &Context,
    target: &id::Target,
    options: &Options,
) -> Result<Answer, Error> {
    let listed = worker.process.target(target).ok_or(Error::NotRun("gone"))?;
    let started = attempt::send::<P>(worker, context, target, options).await?;
    let Started { mut response, began_at, .. } = started;
    let holding = worker.process.memory.hold();
    let body = match response.read_held_body(MAX_ANSWER_BYTES, &holding).await {
        Ok(body) => body,
        Err(failure) => {
            if matches!(failure, Failure::Broken { .. }) {
                liveness::Check::new(worker, context, &listed, began_at)
                    .with_begun_run(context)
                    .spawn::<P>();
            }
            worker.process.check_path(&failure).await;
            return Err(Error::Unknown("cut"));
        }
    };
    Ok(Answer { status: response.status, headers: response.headers, body, holding })
}

/// Forwards a target's answer to the caller.
fn respond(context: &Context, answer: Answer) -> Response {
    let mut response = Response::build(answer.status);
    for (name, value) in &end_to_end(&answer.headers) {
        response.header(name.clone(), value.clone());
    }
    context.answer.hold(answer.holding, answer.body.len(), context.io.as_ref());
    response.body(answer.body)
}
