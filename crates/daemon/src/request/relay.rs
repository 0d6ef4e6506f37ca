//! Relays one answer from its engine to its caller, across failures of links and engines.
//!
//! The relay runs in a task of its own: a handler's future is dropped as soon as its caller
//! disconnects, and the engine's generation must be cancelled even then.
//! [`fireflyhoist_policy::failover`] decides the step after each failure.

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
use crate::request::refuse;
use crate::request::response::{Disconnected, Head, Writer};
use fireflyhoist_gateway::{Pass, ServiceGate};

/// Tokens between two progress reports to the gate; each takes the gate's lock.
const PROGRESS_EVERY: u64 = 16;

/// Chunk size in bytes for sending a buffered answer.
const CHUNK_BYTES: usize = 16 * 1024;

/// The most bytes of one answer that are buffered; 65,536 tokens of 128 bytes are half of it.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// The most bytes of a stream between two tokens; comments that keep it open take a few each second.
const MAX_IDLE_BYTES: usize = 512 << 10;

/// How long a generation continues after its caller has disconnected, so that the caller can resume
/// it at another entry; callers that reconnect do so within one or two seconds.
const RECONNECT_GRACE: Duration = Duration::from_secs(3);

/// The longest delay before admission is retried for a buffered answer.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The parameters of one answer, which stay the same across its attempts.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) admission: Request,
    pub(crate) service: id::Service,
    /// How long a new attempt may wait for admission.
    pub(crate) patience: Duration,
    pub(crate) options: Options,
    pub(crate) start: Start,
}

/// One generation at one engine.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) site: Site,
    pub(crate) target: id::Target,
    /// Absent where the generation was admitted by another entry.
    pub(crate) pass: Option<Pass>,
    /// Whether the engine has accepted the generation.
    pub(crate) accepted: bool,
    /// Whether the caller has been sent the handle of this generation.
    pub(crate) announced: bool,
    pub(crate) transcoder: Transcoder,
}

/// The state of one answer across its attempts.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) worker: Worker,
    pub(crate) open: Rc<InFlight>,
    pub(crate) gate: Arc<ServiceGate>,
    pub(crate) job: Job,
    pub(crate) session: Session,
    pub(crate) attempt: Attempt,
    pub(crate) writer: Writer,
    pub(crate) watch: Watch,
    /// Absent where the generation was admitted by another entry.
    pub(crate) permit: Option<Permit>,
}

/// Why a stream stopped before its end.
enum Stop {
    Disconnected,
    Broken(Failure),
}

impl From<Disconnected> for Stop {
    fn from(_: Disconnected) -> Self {
        Self::Disconnected
    }
}

/// How an answer ended.
enum End {
    Complete,
    Disconnected,
    Interrupted,
    Refused(Refusal),
}

impl Relay {
    pub(crate) async fn run(mut self) {
        let end = self.serve().await;
        let request = self.job.admission.id;
        match end {
            End::Complete => log::info!(request:% = request; "answer whole"),
            End::Disconnected => {
                log::info!(request:% = request; "caller gone");
                self.abandon().await;
            }
            End::Interrupted => {
                let ran = if self.session.reached() { Ran::Unknown } else { Ran::No };
                log::warn!(request:% = request, target:% = self.attempt.target; "interrupted");
                self.finish(Outcome::Failed);
                self.writer.fail(refuse::interrupted(ran)).await;
            }
            End::Refused(refusal) => {
                log::warn!(request:% = request, reason:% = refusal.reason; "given up");
                let ran = if self.session.reached() { Ran::Unknown } else { Ran::No };
                self.writer.fail(refuse::refusal(refusal, ran)).await;
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
                Ok(()) => return End::Complete,
                Err(Stop::Disconnected) => return End::Disconnected,
                Err(Stop::Broken(kind)) => kind,
            };
            let step = self.session.fail(self.now(), kind);
            log::info!(
                request:% = self.job.admission.id, generation:% = self.attempt.site.generation,
                target:% = self.attempt.target, offset = self.attempt.transcoder.next().offset,
                cause:% = kind, step:? = step;
                "stream broke"
            );
            let moved = match step {
                Step::Resume { after } => self.writer.wait(ntex::time::sleep(after)).await,
                Step::Elsewhere => match self.fail_over().await {
                    Ok(moved) => moved,
                    Err(refusal) => return End::Refused(refusal),
                },
                Step::Restart => match self.fail_over().await {
                    Ok(Ok(())) => self.writer.restart().await,
                    Ok(Err(gone)) => Err(gone),
                    Err(refusal) => return End::Refused(refusal),
                },
                Step::Interrupt => return End::Interrupted,
            };
            if moved.is_err() {
                return End::Disconnected;
            }
        }
    }

    /// Relays the current generation over one link until its end or the first failure.
    async fn stream(&mut self) -> Result<(), Stop> {
        let mut link = self.link().await?;
        self.session.mark_accepted(self.now());
        self.attempt.accepted = true;
        if !std::mem::replace(&mut self.attempt.announced, true) {
            let head = self.head();
            self.writer.begin(head).await?;
        }
        let mut reported = self.attempt.transcoder.next().offset;
        let mut idle_bytes = 0;
        loop {
            let read = self.writer.until(self.session.deadline(), link.read()).await?;
            let bytes = read.unwrap_or(Err(Failure::Silent)).map_err(Stop::Broken)?;
            let before = self.attempt.transcoder.next().offset;
            let mut out = Vec::with_capacity(2 * bytes.len());
            let progress = self.attempt.transcoder.feed(&bytes, &mut out);
            let progress = progress.map_err(|_| Stop::Broken(Failure::Malformed))?;
            self.session.receive(self.now(), progress.taken > 0);
            let has_tokens = progress.taken + progress.fallen > 0;
            idle_bytes = if has_tokens { 0 } else { idle_bytes + bytes.len() };
            if idle_bytes > MAX_IDLE_BYTES || self.attempt.transcoder.held() > MAX_BUFFERED_BYTES {
                return Err(Stop::Broken(Failure::Malformed));
            }
            if !out.is_empty() {
                self.writer.send(out).await?;
            }
            let produced = self.attempt.transcoder.next().offset;
            (before..produced).for_each(|offset| self.watch.token(offset));
            if progress.preemptions > 0 {
                self.watch.preempted();
            }
            // The first token is reported at once: until then the gate sends this engine no other
            // prompt.
            let started = before == 0 && produced > 0;
            if started || progress.ended || produced >= reported + PROGRESS_EVERY {
                reported = produced;
                if let Some(permit) = &mut self.permit {
                    permit.spend(produced);
                }
                if let Some(pass) = &self.attempt.pass {
                    pass.progress(Tokens::new(produced), started);
                }
            }
            if progress.ended {
                self.finish(Outcome::Whole);
                return self.send_buffered().await;
            }
        }
    }

    async fn link(&mut self) -> Result<Link, Stop> {
        self.session.connect(self.now());
        let client = self.worker.client.clone();
        let Attempt { site, transcoder, accepted, .. } = &self.attempt;
        let patience = self.job.options.silence_timeout;
        let opened = match *accepted {
            true => {
                let from = transcoder.next().offset;
                self.writer.wait(Link::resume(&client, site, from, patience)).await
            }
            false => {
                let start = Start { generation: site.generation, ..self.job.start.clone() };
                self.writer.wait(Link::start(&client, site, &start, patience)).await
            }
        };
        self.attempt.transcoder.relink();
        opened?.map_err(|kind| {
            if !matches!(kind, Failure::Refused | Failure::Declined) {
                self.session.mark_reached();
            }
            Stop::Broken(kind)
        })
    }

    /// Sends the buffered answer; the engine has already finished.
    async fn send_buffered(&mut self) -> Result<(), Stop> {
        if !self.writer.streams() {
            let head = self.head();
            self.writer.body(head, self.attempt.transcoder.joined());
            return Ok(());
        }
        for chunk in self.attempt.transcoder.release(CHUNK_BYTES) {
            self.writer.send(chunk).await?;
        }
        self.writer.done().await?;
        Ok(())
    }

    fn head(&self) -> Head {
        let handle = Handle {
            generation: self.attempt.site.generation,
            target: self.attempt.target.clone(),
            address: self.attempt.site.address,
            service: self.job.service.clone(),
            workspace: self.job.admission.workspace.clone(),
            expires_s: crate::process::clock::unix_s() + LIFETIME_S,
        };
        Head { request: self.job.admission.id, handle: handle.write(&self.worker.process.key) }
    }

    /// Starts a new generation at another engine.
    ///
    /// The outer error is a refused admission; the inner one, a caller that disconnected.
    async fn fail_over(&mut self) -> Result<Result<(), Disconnected>, Refusal> {
        self.cancel_previous();
        self.finish(Outcome::Failed);
        let deadline = self.now() + self.job.patience;
        loop {
            let mut admission = self.job.admission.clone();
            admission.avoid = Some(self.attempt.target.clone());
            admission.retry = true;
            admission.deadline = deadline;
            let Ok(admitted) = self.writer.wait(self.gate.admit(admission)).await else {
                return Ok(Err(Disconnected));
            };
            let refusal = match admitted {
                Ok(pass) => match self.begin(pass) {
                    true => return Ok(Ok(())),
                    false => continue,
                },
                Err(refusal) => refusal,
            };
            // Admission is retried only for a buffered answer, whose caller may read it a day
            // later: a spent retry budget refills and targets recover meanwhile. Other callers
            // get the refusal at once.
            if !self.job.options.buffered || self.now() >= deadline {
                return Err(refusal);
            }
            let delay = refusal.retry_after.min(MAX_RETRY_DELAY);
            if self.writer.wait(ntex::time::sleep(delay)).await.is_err() {
                return Ok(Err(Disconnected));
            }
        }
    }

    /// Starts a new generation at the target of the pass; returns false if that target has just
    /// been removed.
    fn begin(&mut self, pass: Pass) -> bool {
        let snapshot = self.worker.process.snapshot();
        let service = snapshot.as_ref().and_then(|s| s.text.service(&self.job.service));
        let target = service.and_then(|s| s.targets.iter().find(|t| t.name == *pass.target()));
        let Some(target) = target else { return false };
        let generation = id::Generation::new(rand::random());
        self.attempt = Attempt {
            site: Site { address: target.address, generation, reader: self.job.admission.id },
            target: target.name.clone(),
            pass: Some(pass),
            accepted: false,
            announced: false,
            transcoder: Transcoder::open(generation, 0, self.job.options.buffered),
        };
        self.session.begin(self.now());
        true
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(pass) = self.attempt.pass.take() {
            pass.finish(outcome);
        }
    }

    /// Cancels the previous generation, in case only its link failed and it is still running.
    fn cancel_previous(&self) {
        let client = self.worker.client.clone();
        let site = self.attempt.site.clone();
        ntex::rt::spawn(async move { engine::cancel(&client, &site).await }).detach();
    }

    /// Cancels the generation of a caller that has disconnected, after a grace period in which it
    /// can resume at any entry.
    ///
    /// The cancel call names this reader, so it has no effect where the caller has resumed.
    async fn abandon(&mut self) {
        let running = self.attempt.pass.is_some() || self.attempt.accepted;
        if !running || !self.session.reached() {
            return self.finish(Outcome::Cancelled);
        }
        ntex::time::sleep(RECONNECT_GRACE).await;
        engine::cancel(&self.worker.client, &self.attempt.site).await;
        self.finish(Outcome::Cancelled);
    }
}
