//! Carries one answer from its engine to its caller, across failures of links and engines.
//!
//! It runs in a task of its own: a handler's future is dropped as soon as its caller disconnects,
//! and the engine must be told even then. What to do about each failure is decided by
//! [`fireflyhoist_policy::failover`].

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::failover::{Failure, Options, Session, Step};
use fireflyhoist_policy::gate::{Outcome, Refusal, Request};
use fireflyhoist_policy::handle::{Handle, LIFETIME_S};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_wire::engine::Start;
use fireflyhoist_wire::problem::Ran;
use fireflyhoist_wire::transcode::Transcoder;

use crate::connection::engine::{self, Link, Site};
use crate::process::burn::Watch;
use crate::process::limits::Permit;
use crate::process::{InFlight, Worker};
use crate::request::outlet::{Gone, Head, Outlet};
use crate::request::refuse;
use fireflyhoist_gateway::{Pass, ServiceGate};

/// Tokens between two notes to the gate; each takes the lane's lock.
const PROGRESS_EVERY: u64 = 16;

/// Bytes of a whole answer that are handed over at once.
const CHUNK: usize = 16 * 1024;

/// The most bytes of one answer that are held; 65,536 tokens of 128 bytes and room to spare.
const MAX_HELD: usize = 16 << 20;

/// How long a generation goes on for a caller that vanished, so that it can take up its answer at
/// another entry; callers that reconnect do so within a second or two.
const VANISHED_GRACE: Duration = Duration::from_secs(3);

/// The longest wait before a whole answer asks the gate again.
const MAX_ASK_AGAIN: Duration = Duration::from_secs(1);

/// What does not change over the course of one answer.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) ask: Request,
    pub(crate) service: id::Service,
    pub(crate) patience: Duration,
    pub(crate) terms: Options,
    pub(crate) start: Start,
}

/// One generation at one engine.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) site: Site,
    pub(crate) target: id::Target,
    /// Absent where the generation was admitted by another entry.
    pub(crate) pass: Option<Pass>,
    /// Whether the engine has answered that it has the generation.
    pub(crate) known: bool,
    /// Whether the caller has been told of it.
    pub(crate) told: bool,
    pub(crate) way: Transcoder,
}

/// The course of one answer.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) worker: Worker,
    pub(crate) open: Rc<InFlight>,
    pub(crate) lane: Arc<ServiceGate>,
    pub(crate) job: Job,
    pub(crate) session: Session,
    pub(crate) attempt: Attempt,
    pub(crate) outlet: Outlet,
    pub(crate) watch: Watch,
    /// Absent where the generation was admitted by another entry.
    pub(crate) permit: Option<Permit>,
}

/// Why a stream stopped before its end.
enum Stop {
    Gone,
    Broken(Failure),
}

impl From<Gone> for Stop {
    fn from(_: Gone) -> Self {
        Self::Gone
    }
}

/// How an answer ended.
enum End {
    Whole,
    Gone,
    Interrupted,
    Refused(Refusal),
}

impl Relay {
    pub(crate) async fn run(mut self) {
        let end = self.serve().await;
        let request = self.job.ask.id;
        match end {
            End::Whole => log::info!(request:% = request; "answer whole"),
            End::Gone => {
                log::info!(request:% = request; "caller gone");
                self.abandon().await;
            }
            End::Interrupted => {
                let ran = if self.session.reached() { Ran::Unknown } else { Ran::No };
                log::warn!(request:% = request, target:% = self.attempt.target; "interrupted");
                self.finish(Outcome::Failed);
                self.outlet.fail(refuse::interrupted(ran)).await;
            }
            End::Refused(refusal) => {
                log::warn!(request:% = request, reason:% = refusal.reason; "given up");
                let ran = if self.session.reached() { Ran::Unknown } else { Ran::No };
                self.outlet.fail(refuse::refusal(refusal, ran)).await;
            }
        }
        drop(self.open);
    }

    fn now(&self) -> Time {
        self.worker.process.clock.now()
    }

    async fn serve(&mut self) -> End {
        loop {
            let kind = match self.stream().await {
                Ok(()) => return End::Whole,
                Err(Stop::Gone) => return End::Gone,
                Err(Stop::Broken(kind)) => kind,
            };
            let step = self.session.fail(self.now(), kind);
            log::info!(
                request:% = self.job.ask.id, generation:% = self.attempt.site.generation,
                target:% = self.attempt.target, offset = self.attempt.way.next().offset,
                cause:% = kind, step:? = step;
                "stream broke"
            );
            let moved = match step {
                Step::Resume { after } => self.outlet.wait(ntex::time::sleep(after)).await,
                Step::Elsewhere => match self.elsewhere().await {
                    Ok(moved) => moved,
                    Err(refusal) => return End::Refused(refusal),
                },
                Step::Restart => match self.elsewhere().await {
                    Ok(Ok(())) => self.outlet.restart().await,
                    Ok(Err(gone)) => Err(gone),
                    Err(refusal) => return End::Refused(refusal),
                },
                Step::Interrupt => return End::Interrupted,
            };
            if moved.is_err() {
                return End::Gone;
            }
        }
    }

    /// Reads the present generation over one link, to its end if nothing breaks.
    async fn stream(&mut self) -> Result<(), Stop> {
        let mut link = self.link().await?;
        self.session.mark_accepted(self.now());
        self.attempt.known = true;
        if !std::mem::replace(&mut self.attempt.told, true) {
            let head = self.head();
            self.outlet.begin(head).await?;
        }
        let mut noted = self.attempt.way.next().offset;
        loop {
            let read = self.outlet.until(self.session.deadline(), link.read()).await?;
            let bytes = read.unwrap_or(Err(Failure::Silent)).map_err(Stop::Broken)?;
            let before = self.attempt.way.next().offset;
            let mut out = Vec::with_capacity(2 * bytes.len());
            let progress = self.attempt.way.feed(&bytes, &mut out);
            let progress = progress.map_err(|_| Stop::Broken(Failure::Malformed))?;
            self.session.receive(self.now(), progress.taken > 0);
            if self.attempt.way.held() > MAX_HELD {
                return Err(Stop::Broken(Failure::Malformed));
            }
            if !out.is_empty() {
                self.outlet.send(out).await?;
            }
            let produced = self.attempt.way.next().offset;
            (before..produced).for_each(|offset| self.watch.token(offset));
            if progress.preemptions > 0 {
                self.watch.preempted();
            }
            // The first token is told at once: until then the gate sends this engine no other prompt.
            let started = before == 0 && produced > 0;
            if started || progress.ended || produced >= noted + PROGRESS_EVERY {
                noted = produced;
                if let Some(permit) = &mut self.permit {
                    permit.spend(produced);
                }
                if let Some(pass) = &self.attempt.pass {
                    pass.progress(Tokens::new(produced), started);
                }
            }
            if progress.ended {
                self.finish(Outcome::Whole);
                return self.hand_over().await;
            }
        }
    }

    async fn link(&mut self) -> Result<Link, Stop> {
        self.session.connect(self.now());
        let client = self.worker.client.clone();
        let Attempt { site, way, known, .. } = &self.attempt;
        let patience = self.job.terms.silence_timeout;
        let opened = match *known {
            true => {
                let from = way.next().offset;
                self.outlet.wait(Link::resume(&client, site, from, patience)).await
            }
            false => {
                let start = Start { generation: site.generation, ..self.job.start.clone() };
                self.outlet.wait(Link::start(&client, site, &start, patience)).await
            }
        };
        self.attempt.way.relink();
        opened?.map_err(|kind| {
            if !matches!(kind, Failure::Refused | Failure::Declined) {
                self.session.mark_reached();
            }
            Stop::Broken(kind)
        })
    }

    /// Hands over what was held; the engine is already free.
    async fn hand_over(&mut self) -> Result<(), Stop> {
        if !self.outlet.streams() {
            let head = self.head();
            self.outlet.body(head, self.attempt.way.joined());
            return Ok(());
        }
        for chunk in self.attempt.way.release(CHUNK) {
            self.outlet.send(chunk).await?;
        }
        self.outlet.done().await?;
        Ok(())
    }

    fn head(&self) -> Head {
        let handle = Handle {
            generation: self.attempt.site.generation,
            target: self.attempt.target.clone(),
            address: self.attempt.site.address,
            service: self.job.service.clone(),
            workspace: self.job.ask.workspace.clone(),
            expires_s: crate::process::clock::unix_s() + LIFETIME_S,
        };
        Head { request: self.job.ask.id, handle: handle.write(&self.worker.process.key) }
    }

    /// Moves to a fresh generation at another engine.
    async fn elsewhere(&mut self) -> Result<Result<(), Gone>, Refusal> {
        self.cancel_old();
        self.finish(Outcome::Failed);
        let until = self.now() + self.job.patience;
        loop {
            let mut ask = self.job.ask.clone();
            ask.avoid = Some(self.attempt.target.clone());
            ask.retry = true;
            ask.deadline = until;
            let Ok(admitted) = self.outlet.wait(self.lane.admit(ask)).await else {
                return Ok(Err(Gone));
            };
            let refusal = match admitted {
                Ok(pass) => match self.begin(pass) {
                    true => return Ok(Ok(())),
                    false => continue,
                },
                Err(refusal) => refusal,
            };
            // A whole answer outlasts a budget that is spent and targets that come back: its
            // caller reads it the next day. Anybody else is told at once.
            if !self.job.terms.buffered || self.now() >= until {
                return Err(refusal);
            }
            let nap = refusal.retry_after.min(MAX_ASK_AGAIN);
            if self.outlet.wait(ntex::time::sleep(nap)).await.is_err() {
                return Ok(Err(Gone));
            }
        }
    }

    /// Begins a fresh generation where the pass says; false where that target has just gone.
    fn begin(&mut self, pass: Pass) -> bool {
        let snapshot = self.worker.process.snapshot();
        let service = snapshot.as_ref().and_then(|s| s.text.service(&self.job.service));
        let target = service.and_then(|s| s.targets.iter().find(|t| t.name == *pass.target()));
        let Some(target) = target else { return false };
        let generation = id::Generation::new(rand::random());
        self.attempt = Attempt {
            site: Site { address: target.address, generation, reader: self.job.ask.id },
            target: target.name.clone(),
            pass: Some(pass),
            known: false,
            told: false,
            way: Transcoder::open(generation, 0, self.job.terms.buffered),
        };
        self.session.begin(self.now());
        true
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(pass) = self.attempt.pass.take() {
            pass.finish(outcome);
        }
    }

    /// Tells the engine that is being left, in case it was only cut off and still generates.
    fn cancel_old(&self) {
        let client = self.worker.client.clone();
        let site = self.attempt.site.clone();
        ntex::rt::spawn(async move { engine::cancel(&client, &site).await }).detach();
    }

    /// The caller is gone: leaves it time to come back at any entry, then tells the engine.
    ///
    /// The cancel names this reader, so it ends nothing where the caller has come back.
    async fn abandon(&mut self) {
        let running = self.attempt.pass.is_some() || self.attempt.known;
        if !running || !self.session.reached() {
            return self.finish(Outcome::Cancelled);
        }
        ntex::time::sleep(VANISHED_GRACE).await;
        engine::cancel(&self.worker.client, &self.attempt.site).await;
        self.finish(Outcome::Cancelled);
    }
}
