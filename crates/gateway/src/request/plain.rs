//! Requests without a streamed answer: sent, and retried if that is allowed, until an answer is
//! complete.

use std::time::Duration;

use fireflyhoist_policy::gate::{Outcome, Refusal};
use fireflyhoist_policy::id;
use fireflyhoist_policy::route::Kind;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ntex::http::{HeaderMap, Response, StatusCode};
use ntex::time::{sleep, timeout};
use ntex::util::Bytes;

use crate::connection::exchange::Failure;
use crate::platform::Platform;
use crate::process::lane::Pass;
use crate::request::admission::{self, Rejection};
use crate::request::attempt::{self, Error, Options, Started, decline_retry_after};
use crate::request::{Context, Worker, end_to_end, liveness, quarantine, refuse};

/// Maximum size of an answer in bytes. Answers are buffered until they are complete, so that a
/// truncated one is detected and may be fetched again.
const MAX_ANSWER: usize = 8 << 20;

/// Fraction of a route's objective after which a safe request is hedged: sent to a second target as
/// well. A target that does not respond then costs half of the objective instead of the caller's
/// timeout.
const HEDGE: f64 = 0.5;

/// Maximum number of attempts that fail before anything is sent and are retried. Each may take up
/// to the connect timeout.
const UNREACHED: u32 = 4;

/// A complete answer of a target.
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// The result of one attempt.
struct Done {
    target: id::Target,
    result: Result<Whole, Error>,
}

/// Serves one request.
pub(crate) async fn serve<P: Platform>(worker: &Worker, context: &Context) -> Response {
    let request = &context.facts.request;
    let left = context.time_left(worker.process.clock.now());
    let mut run = Run {
        worker,
        context,
        sent: 0,
        unreached: 0,
        unknown: false,
        doubtful: false,
        arrived: false,
        refusal: None,
        held: None,
        kept: None,
    };
    // On timeout, a request of which no attempt can have run is refused as safe to retry.
    let finished = timeout(left, run.play::<P>()).await.ok();
    match finished {
        Some(response) => response,
        None if run.unknown => refuse::late(request),
        None => refuse::declined(request, decline_retry_after(left)),
    }
}

/// The progress of one request over its attempts.
struct Run<'a> {
    worker: &'a Worker,
    context: &'a Context,
    /// Number of attempts that were sent.
    sent: u32,
    /// Number of attempts that failed before anything was sent.
    unreached: u32,
    /// Whether an attempt may be running or may have run.
    unknown: bool,
    /// Whether an attempt ended without it being known whether it ran.
    doubtful: bool,
    /// Whether an attempt may have reached a target.
    arrived: bool,
    /// The last refusal of the gate.
    refusal: Option<Refusal>,
    /// The time to wait if the request is quarantined.
    held: Option<Duration>,
    /// The last server error of a target, returned if no attempt succeeds.
    kept: Option<Whole>,
}

impl Run<'_> {
    async fn play<P: Platform>(&mut self) -> Response {
        let mut pending = FuturesUnordered::new();
        let hedge = self.context.route.objective.mul_f64(HEDGE);
        let mut avoid = None;
        let mut again = true;
        loop {
            if std::mem::take(&mut again) && self.may_send() {
                // An attempt in flight counts as one that has reached its target.
                let repeat = self.arrived || !pending.is_empty();
                match admission::admit(self.worker, self.context, avoid.as_ref(), repeat).await {
                    Ok(pass) => {
                        avoid = Some(pass.target().clone());
                        self.sent += 1;
                        self.unknown = true;
                        pending.push(one::<P>(self.worker, self.context, pass));
                    }
                    Err(Rejection::Quarantined(wait)) => self.held = Some(wait),
                    Err(Rejection::Refused(refusal)) => self.refusal = Some(refusal),
                }
            }
            let suspect = self.worker.process.ends(self.context.fingerprint) > 0;
            let may_hedge = self.context.route.kind == Kind::Safe && self.sent == 1 && !suspect;
            let done = tokio::select! {
                done = pending.next() => done,
                () = sleep(hedge), if may_hedge && !pending.is_empty() => {
                    again = true;
                    continue;
                }
            };
            let Some(done) = done else { return self.give_up() };
            avoid = Some(done.target.clone());
            if let Some(response) = self.settle(done, pending.is_empty()) {
                return response;
            }
            again = true;
        }
    }

    fn may_send(&self) -> bool {
        let more = self.sent < self.context.route.attempts.max(1);
        more && self.unreached <= UNREACHED && (!self.unknown || self.is_safe())
    }

    fn is_safe(&self) -> bool {
        self.context.route.kind.is_idempotent()
    }

    /// Handles the result of an attempt. Returns the response to the caller if that is final;
    /// `last` is set if no other attempt is in flight.
    fn settle(&mut self, done: Done, last: bool) -> Option<Response> {
        self.arrived |= !done.result.as_ref().is_err_and(Error::did_not_run);
        match done.result {
            Ok(whole) if whole.status.is_server_error() && self.is_safe() => {
                self.kept = Some(whole);
                None
            }
            Ok(whole) => Some(respond(whole)),
            Err(Error::NotSent(_) | Error::NotRun(_)) => {
                if matches!(done.result, Err(Error::NotSent(_))) {
                    // Nothing was sent, so this does not count as an attempt.
                    self.sent -= 1;
                    self.unreached += 1;
                } else {
                    self.arrived = true;
                }
                if last && !self.is_safe() {
                    self.unknown = false;
                }
                None
            }
            Err(Error::Unknown("late")) => Some(refuse::late(&self.context.facts.request)),
            Err(Error::Unknown(_)) if self.is_safe() => {
                self.doubtful = true;
                None
            }
            Err(Error::Unknown(_)) => Some(refuse::lost(&self.context.facts.request)),
        }
    }

    /// Returns the response when no attempt is in flight and no other may be sent.
    fn give_up(&mut self) -> Response {
        let request = &self.context.facts.request;
        if let Some(whole) = self.kept.take() {
            return respond(whole);
        }
        if self.doubtful {
            return refuse::lost(request);
        }
        if let Some(wait) = self.held {
            return quarantine::refuse(self.worker, self.context, wait);
        }
        let left = self.context.time_left(self.worker.process.clock.now());
        let after = decline_retry_after(left);
        match self.refusal.take() {
            Some(refusal) => {
                let retry_after = refusal.retry_after.min(after.max(Duration::from_millis(100)));
                refuse::refusal(request, &Refusal { retry_after, ..refusal })
            }
            None => refuse::declined(request, after),
        }
    }
}

async fn one<P: Platform>(worker: &Worker, context: &Context, pass: Pass) -> Done {
    let target = pass.target().clone();
    let result = fetch::<P>(worker, context, &target).await;
    let outcome = match &result {
        Ok(whole) if whole.status.is_server_error() => Outcome::ServerError,
        Ok(_) => Outcome::Whole,
        Err(error) => error.outcome(),
    };
    pass.finish(outcome);
    if result.is_ok() {
        worker.process.note_whole(context.fingerprint);
    }
    Done { target, result }
}

async fn fetch<P: Platform>(
    worker: &Worker,
    context: &Context,
    target: &id::Target,
) -> Result<Whole, Error> {
    let listed = worker.process.target(target).ok_or(Error::NotRun("gone"))?;
    let started = attempt::send::<P>(worker, context, target, &Options::default()).await?;
    let Started { mut response, sent_at } = started;
    let body = response.whole(MAX_ANSWER).await.map_err(|failure| {
        if matches!(failure, Failure::Broken { .. }) {
            liveness::Check::new(worker, context, &listed, sent_at).spawn();
        }
        Error::Unknown("cut")
    })?;
    Ok(Whole { status: response.status, headers: response.headers, body })
}

/// Forwards a target's answer to the caller.
fn respond(whole: Whole) -> Response {
    let mut response = Response::build(whole.status);
    for (name, value) in &end_to_end(&whole.headers) {
        response.header(name.clone(), value.clone());
    }
    response.body(whole.body)
}
