//! A request with one answer: sent, and where that is allowed sent again, until the answer is
//! whole.

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
use crate::process::service_gate::Pass;
use crate::request::admit::{self, Stop};
use crate::request::attempt::{self, Begun, Ended, Extra, come_back};
use crate::request::{Inquiry, Worker, broken, end_to_end, held, refuse};

/// The largest answer that is held. Answers are held until they are whole, since only then is one
/// that breaks off known from one that is complete, and may be fetched again.
const MAX_ANSWER: usize = 8 << 20;

/// The part of a route's objective after which an idempotent request is sent to a second target as
/// well. A target that went silent then costs half of the objective, not the caller's patience.
const HEDGE: f64 = 0.5;

/// Targets that are found gone for one request before it is given up; each costs up to the time
/// that opening a connection may take.
const UNREACHED: u32 = 4;

/// A whole answer of a target.
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

struct Done {
    target: id::Target,
    result: Result<Whole, Ended>,
}

/// Serves one request.
pub(crate) async fn serve<P: Platform>(worker: &Worker, inquiry: &Inquiry) -> Response {
    let request = &inquiry.facts.request;
    let left = inquiry.left(worker.process.clock.now());
    let mut run = Run {
        worker,
        inquiry,
        sent: 0,
        unreached: 0,
        unknown: false,
        doubtful: false,
        arrived: false,
        refusal: None,
        held: None,
        kept: None,
    };
    // Told apart when time is up: a request of which no attempt may have run may come again.
    let finished = timeout(left, run.play::<P>()).await.ok();
    match finished {
        Some(response) => response,
        None if run.unknown => refuse::late(request),
        None => refuse::declined(request, come_back(left)),
    }
}

struct Run<'a> {
    worker: &'a Worker,
    inquiry: &'a Inquiry,
    sent: u32,
    /// Connections that did not come about.
    unreached: u32,
    /// Whether an attempt may be running, or have run.
    unknown: bool,
    /// Whether an attempt ended, and nobody knows whether it ran.
    doubtful: bool,
    /// Whether an attempt arrived at a target.
    arrived: bool,
    refusal: Option<Refusal>,
    /// For how long it is held back.
    held: Option<Duration>,
    /// A failure that a target answered with, for the case that nothing better comes.
    kept: Option<Whole>,
}

impl Run<'_> {
    async fn play<P: Platform>(&mut self) -> Response {
        let mut pending = FuturesUnordered::new();
        let hedge = self.inquiry.route.objective.mul_f64(HEDGE);
        let mut avoid = None;
        let mut again = true;
        loop {
            if std::mem::take(&mut again) && self.may_send() {
                // One that is under way counts as arrived: it may be at its target by now.
                let repeat = self.arrived || !pending.is_empty();
                match admit::admit(self.worker, self.inquiry, avoid.as_ref(), repeat).await {
                    Ok(pass) => {
                        avoid = Some(pass.target().clone());
                        self.sent += 1;
                        self.unknown = true;
                        pending.push(one::<P>(self.worker, self.inquiry, pass));
                    }
                    Err(Stop::Held(wait)) => self.held = Some(wait),
                    Err(Stop::Refused(refusal)) => self.refusal = Some(refusal),
                }
            }
            let suspect = self.worker.process.ends(self.inquiry.print) > 0;
            let may_hedge = self.inquiry.route.kind == Kind::Safe && self.sent == 1 && !suspect;
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
        let more = self.sent < self.inquiry.route.attempts.max(1);
        more && self.unreached <= UNREACHED && (!self.unknown || self.is_safe())
    }

    fn is_safe(&self) -> bool {
        self.inquiry.route.kind.is_idempotent()
    }

    /// Takes in how an attempt ended; returns the caller's answer where that is final.
    fn settle(&mut self, done: Done, last: bool) -> Option<Response> {
        self.arrived |= !done.result.as_ref().is_err_and(Ended::is_unrun);
        match done.result {
            Ok(whole) if whole.status.is_server_error() && self.is_safe() => {
                self.kept = Some(whole);
                None
            }
            Ok(whole) => Some(respond(whole)),
            Err(Ended::Unsent(_) | Ended::Unrun(_)) => {
                if matches!(done.result, Err(Ended::Unsent(_))) {
                    // It does not count as an attempt.
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
            Err(Ended::Unknown("late")) => Some(refuse::late(&self.inquiry.facts.request)),
            Err(Ended::Unknown(_)) if self.is_safe() => {
                self.doubtful = true;
                None
            }
            Err(Ended::Unknown(_)) => Some(refuse::lost(&self.inquiry.facts.request)),
        }
    }

    /// Nothing is under way and nothing more may be sent.
    fn give_up(&mut self) -> Response {
        let request = &self.inquiry.facts.request;
        if let Some(whole) = self.kept.take() {
            return respond(whole);
        }
        if self.doubtful {
            return refuse::lost(request);
        }
        if let Some(wait) = self.held {
            return held::refuse(self.worker, self.inquiry, wait);
        }
        let left = self.inquiry.left(self.worker.process.clock.now());
        let after = come_back(left);
        match self.refusal.take() {
            Some(refusal) => {
                let retry_after = refusal.retry_after.min(after.max(Duration::from_millis(100)));
                refuse::refusal(request, &Refusal { retry_after, ..refusal })
            }
            None => refuse::declined(request, after),
        }
    }
}

async fn one<P: Platform>(worker: &Worker, inquiry: &Inquiry, pass: Pass) -> Done {
    let target = pass.target().clone();
    let result = fetch::<P>(worker, inquiry, &target).await;
    let outcome = match &result {
        Ok(whole) if whole.status.is_server_error() => Outcome::ServerError,
        Ok(_) => Outcome::Whole,
        Err(ended) => ended.outcome(),
    };
    pass.finish(outcome);
    if result.is_ok() {
        worker.process.note_whole(inquiry.print);
    }
    Done { target, result }
}

async fn fetch<P: Platform>(
    worker: &Worker,
    inquiry: &Inquiry,
    target: &id::Target,
) -> Result<Whole, Ended> {
    let listed = worker.process.target(target).ok_or(Ended::Unrun("gone"))?;
    let begun = attempt::begin::<P>(worker, inquiry, target, &Extra::default()).await?;
    let Begun { mut response, sent } = begun;
    let body = response.read_body(MAX_ANSWER).await.map_err(|failure| {
        if matches!(failure, Failure::Broken { .. }) {
            broken::Run::of(worker, inquiry, &listed, sent).spawn();
        }
        Ended::Unknown("cut")
    })?;
    Ok(Whole { status: response.status, headers: response.headers, body })
}

/// Hands a target's answer on as it is.
fn respond(whole: Whole) -> Response {
    let mut response = Response::build(whole.status);
    for (name, value) in &end_to_end(&whole.headers) {
        response.header(name.clone(), value.clone());
    }
    response.body(whole.body)
}
