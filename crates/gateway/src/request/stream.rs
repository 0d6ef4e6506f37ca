//! A generation: admitted, begun at an engine, and handed to its pump once its head is there.

use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_policy::gate::{Outcome, Refusal};
use fireflyhoist_policy::id;
use fireflyhoist_policy::shutdown::{self, Decision, State};
use ntex::http::{Response, StatusCode};
use ntex::time::timeout;

use crate::platform::Platform;
use crate::process::service_gate::Pass;
use crate::process::state::{Open, millis};
use crate::request::admit::{self, Stop};
use crate::request::attempt::{self, Begun, Ended, Extra, come_back};
use crate::request::carry::{self, Backup};
use crate::request::pump::Pump;
use crate::request::{Inquiry, Worker, broken, end_to_end, entries, held, refuse};

/// The part of its patience that a caller spends at most before it comes back: it needs the rest
/// for the answer.
const COME_BACK_PART: u32 = 3;

/// The largest answer without a stream that an engine may give: a refusal of its own.
const MAX_ANSWER: usize = 1 << 20;

/// Serves one generation; the answer goes on after this returns.
pub(crate) async fn serve<P: Platform>(worker: &Worker, inquiry: Inquiry, open: Open) -> Response {
    let inquiry = Rc::new(inquiry);
    if carry::is_long(&inquiry)
        && let Some(after) = sent_away(worker, &inquiry)
    {
        return refuse::leaving(&inquiry.facts.request, after);
    }
    let left = inquiry.left(worker.process.clock.now());
    let mut run = Run {
        worker,
        inquiry: Rc::clone(&inquiry),
        open: Some(open),
        sent: 0,
        arrived: false,
        flying: false,
        doubtful: false,
    };
    let finished = timeout(left, run.play::<P>()).await.ok();
    match finished {
        Some(response) => response,
        None if run.may_have_run() => refuse::late(&inquiry.facts.request),
        None => refuse::declined(&inquiry.facts.request, come_back(left)),
    }
}

/// When to come back where this entry leaves and the answer would not end here.
fn sent_away(worker: &Worker, inquiry: &Inquiry) -> Option<Duration> {
    let (since, left) = worker.process.leaving()?;
    let others = worker.fleet.has_ready_peer();
    let situation = State {
        peers_accept: others,
        draining_for: since,
        remaining: left,
        address_ttl: entries::TTL,
    };
    match shutdown::decide(&situation, carry::expected(inquiry)) {
        Decision::Serve => None,
        Decision::RetryAfter(after) => Some(after),
    }
}

struct Run<'a> {
    worker: &'a Worker,
    inquiry: Rc<Inquiry>,
    open: Option<Open>,
    sent: u32,
    /// Whether an attempt arrived at a target.
    arrived: bool,
    /// Whether an attempt is under way.
    flying: bool,
    /// Whether an attempt ended without its fate being known.
    doubtful: bool,
}

impl Run<'_> {
    async fn play<P: Platform>(&mut self) -> Response {
        let mut avoid: Option<id::Target> = None;
        loop {
            let inquiry = &self.inquiry;
            let pass = match admit::admit(self.worker, inquiry, avoid.as_ref(), self.arrived).await
            {
                Ok(pass) => pass,
                Err(Stop::Held(wait)) => return self.held_back(wait),
                Err(Stop::Refused(refusal)) => return self.refused(refusal),
            };
            avoid = Some(pass.target().clone());
            self.note_placed(&pass);
            match self.attempt::<P>(pass).await {
                Ok(response) => return response,
                Err(ended) => {
                    if let Some(response) = self.ended(&ended) {
                        return response;
                    }
                }
            }
        }
    }

    /// Writes down what decided for a target, so that a late beginning can be explained.
    fn note_placed(&self, pass: &Pass) {
        let (inquiry, process) = (&self.inquiry, &self.worker.process);
        let Some(grounds) = pass.grounds() else { return };
        log::info!(
            request = inquiry.facts.request.as_str(), target:% = pass.target(),
            waited_ms = millis(process.clock.now().since(inquiry.wanted)),
            objective_ms = millis(inquiry.route.objective),
            load:% = format_args!("{:.2}", grounds.load), streams = grounds.streams,
            unread:% = grounds.unread, view_ms = millis(grounds.age), late = grounds.late; "placed"
        );
    }

    /// Whether to answer now that an attempt brought nothing, or to try again.
    fn ended(&mut self, ended: &Ended) -> Option<Response> {
        let request = &self.inquiry.facts.request;
        let more = self.sent < self.inquiry.route.attempts.max(1);
        let left = self.inquiry.left(self.worker.process.clock.now());
        self.arrived |= !matches!(ended, Ended::Unsent(_));
        self.flying = false;
        self.doubtful |= !ended.is_unrun();
        match ended {
            Ended::Unsent(_) => {
                // It does not count as an attempt.
                self.sent -= 1;
                None
            }
            Ended::Unrun(_) if more => None,
            Ended::Unrun(_) if self.doubtful => Some(refuse::lost(request)),
            Ended::Unrun(_) => Some(refuse::declined(request, come_back(left))),
            Ended::Unknown("late") => Some(refuse::late(request)),
            Ended::Unknown(_) if self.inquiry.route.kind.is_idempotent() && more => None,
            Ended::Unknown(_) => Some(refuse::lost(request)),
        }
    }

    /// Whether an attempt may have run, so that a refusal must not say that none has.
    fn may_have_run(&self) -> bool {
        self.flying || self.doubtful
    }

    fn held_back(&self, wait: Duration) -> Response {
        match self.may_have_run() {
            true => refuse::lost(&self.inquiry.facts.request),
            false => held::refuse(self.worker, &self.inquiry, wait),
        }
    }

    fn refused(&self, refusal: Refusal) -> Response {
        if self.may_have_run() {
            return refuse::lost(&self.inquiry.facts.request);
        }
        let now = self.worker.process.clock.now();
        self.worker.fleet.announce_refusal(self.inquiry.print, now.since(self.inquiry.wanted));
        // Callers wait no longer than a part of what they have left.
        let most = self.inquiry.left(now) / COME_BACK_PART;
        let retry_after = refusal.retry_after.min(most);
        refuse::refusal(&self.inquiry.facts.request, &Refusal { retry_after, ..refusal })
    }

    async fn attempt<P: Platform>(&mut self, pass: Pass) -> Result<Response, Ended> {
        self.sent += 1;
        self.flying = true;
        self.worker.process.note_sent();
        let backup = Backup::choose(self.worker, &self.inquiry, &pass, pass.target());
        let extra = Extra { backup: backup.as_ref().map(Backup::address), ..Extra::default() };
        let begun = attempt::begin::<P>(self.worker, &self.inquiry, pass.target(), &extra).await;
        let mut begun = match begun {
            Ok(begun) => begun,
            Err(ended) => {
                pass.finish(ended.outcome());
                return Err(ended);
            }
        };
        if begun.response.status != StatusCode::OK {
            return self.other(pass, &mut begun).await;
        }
        let mut head = Response::build(begun.response.status);
        for (name, value) in &end_to_end(&begun.response.headers) {
            head.header(name.clone(), value.clone());
        }
        let (open, inquiry, worker) =
            (self.open.take(), Rc::clone(&self.inquiry), self.worker.clone());
        let body = Pump::spawn::<P>(worker, inquiry, pass, backup, begun, self.sent, open);
        Ok(head.streaming(body))
    }

    /// An answer that is no stream goes back as it is.
    async fn other(&self, pass: Pass, begun: &mut Begun) -> Result<Response, Ended> {
        let Begun { response, sent } = begun;
        let failed = response.status.is_server_error();
        let listed = self.worker.process.target(pass.target());
        pass.finish(if failed { Outcome::ServerError } else { Outcome::Whole });
        let body = response.read_body(MAX_ANSWER).await.map_err(|_| {
            if let Some(target) = &listed {
                broken::Run::of(self.worker, &self.inquiry, target, *sent).spawn();
            }
            Ended::Unknown("cut")
        })?;
        self.worker.process.note_whole(self.inquiry.print);
        let more = self.sent < self.inquiry.route.attempts;
        if failed && more && self.inquiry.route.kind.is_idempotent() {
            return Err(Ended::Unknown("failed"));
        }
        let mut head = Response::build(response.status);
        for (name, value) in &end_to_end(&response.headers) {
            head.header(name.clone(), value.clone());
        }
        Ok(head.body(body))
    }
}
