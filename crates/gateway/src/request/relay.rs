//! Relaying of a generation: events from engines are forwarded to the caller once each and in
//! order, also when the generation migrates between engines.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::fragility::Ending;
use fireflyhoist_policy::gate::Outcome;
use fireflyhoist_policy::lease::{Software, Target};
use fireflyhoist_policy::origin::{Constraint, Origin};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use futures_util::future::{Fuse, FutureExt};
use futures_util::pin_mut;
use ntex::util::Bytes;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::connection::exchange::{Framing, Response};
use crate::platform::Platform;
use crate::process::fleet::fragility::Slot;
use crate::process::service_gate::Pass;
use crate::process::state::millis;
use crate::request::answer::{Cause, Stage};
use crate::request::attempt::{Error, Started};
use crate::request::body::{self, Body, Chunk};
use crate::request::ending::{self, Closed};
use crate::request::fence::{self, Ended};
use crate::request::migration::{self, Backup, Failed, Plan, Resumed, Strategy};
use crate::request::new_start::{self, NewStart};
use crate::request::sse::Splitter;
use crate::request::transfer::{RunStream, Stop};
use crate::request::{Context, Worker, liveness};

/// Time without an event after which the engine of an answer with a backup is asked whether it is awake.
///
/// An engine that loses power or its network leaves its connections open, and the caller would wait
/// until the engine's lease expires seconds later. This is ten times the longest usual time between
/// two events; a run that is only slow resumes from its backup without loss.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// How often an engine may answer other calls while nothing comes from its run, until the run is
/// transferred.
const MAX_SILENT_CHECKS: u32 = 2;

/// How long an attempt to migrate that could not be sent is made again: engines that work may accept no
/// connection for a second or so.
const UNSENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of attempts to migrate one answer after which its memory is not transferred any more.
const MAX_MIGRATIONS: u32 = 12;

/// How relaying ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The answer is complete.
    Whole,
    /// The caller closed its connection.
    Left,
    /// The deadline passed.
    Late,
    /// The run was lost and no engine resumes it.
    Cut,
}

/// What must be done for an answer to go on.
enum Step {
    /// Nothing: its run continues.
    Stay,
    /// The engine is asked whether its run has ended.
    Check(Target),
    Migrate(Plan),
    /// Nothing can be done.
    Cut,
}

/// What is done for an answer to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    Check,
    Migration,
}

/// A run whose answer has begun.
pub(crate) struct Run {
    pub(crate) pass: Pass,
    /// Its place at the engine, if that is fragile.
    pub(crate) slot: Option<Slot>,
    pub(crate) backup: Option<Backup>,
    pub(crate) started: Started,
    /// Counts the runs of the request, from 1.
    pub(crate) number: u32,
    /// Whether the answer is held back until it is complete, so that its caller gets a status if it is
    /// cut.
    pub(crate) held: bool,
}

/// Relays one generation from its engines to its caller.
pub(crate) struct Relay {
    worker: Worker,
    context: Rc<Context>,
    pass: Pass,
    /// Its place at the engine, until the first event, if the engine is fragile.
    slot: Option<Slot>,
    backup: Option<Backup>,
    /// The response of the current engine; `None` from the end of a run to the start of the next.
    upstream: Option<Response>,
    /// The current engine as it was listed when its run began.
    target: Option<Target>,
    /// The version of the current engine's software.
    software: Option<Software>,
    /// The version that goes on with the stream: any until the caller has received an event.
    constraint: Constraint,
    /// Whether the current run brought the first event, so that its version began the stream.
    began_here: bool,
    /// The start of the current engine that was listed since the run began.
    new_start: Option<NewStart>,
    /// What tells the end of the current run's stream.
    framing: Framing,
    /// The stream of `upstream`, as transfers know it.
    stream: Rc<RunStream>,
    /// How it is known that the last run has ended; `None` while that is not known.
    ended: Option<Ended>,
    /// When an event or what is known of the current engine last arrived.
    quiet_since: Instant,
    /// Whether nothing has come from it for [`SILENCE_TIMEOUT`].
    silent: bool,
    /// How often the engine answered other calls since its last event.
    silent_checks: u32,
    /// Whether the run must be transferred although its engine takes new requests.
    must_transfer: bool,
    /// Whether another entry relays the connection to the current engine.
    relayed: bool,
    /// When the current engine began to answer.
    began_at: Time,
    splitter: Splitter,
    /// The id of the last event sent to the caller.
    last_event: Rc<Cell<Option<u64>>>,
    /// Number of events sent to the caller.
    events: u64,
    /// Number of events of the current run.
    run_events: u64,
    /// Number of attempts to migrate.
    migrations: u32,
    /// Number of runs that began without the memory of an earlier run.
    runs: u32,
    held: Rc<Cell<bool>>,
    /// Whether the answer migrates to its backup.
    trying_backup: bool,
    /// Whether the answer migrates by a new run.
    restarting: bool,
    /// Whether a new run was counted and could not be sent.
    has_unsent_run: bool,
    /// Since when no attempt to migrate could be sent.
    unsent_since: Option<Time>,
    chunks: body::Sender,
}

impl Relay {
    /// Starts to relay an answer whose head has been received; returns the body for the caller.
    pub(crate) fn spawn<P: Platform>(worker: Worker, context: Rc<Context>, run: Run) -> Body {
        let Run { pass, slot, backup, started, number, held } = run;
        let held = Rc::new(Cell::new(held));
        let (chunks, body) = body::channel(Rc::clone(&held));
        let last_event = Rc::new(Cell::new(context.facts.last_event));
        let constraint = context.constraint.clone();
        let relay = Self {
            worker,
            context,
            pass,
            slot,
            backup,
            relayed: started.response.relay.is_some(),
            framing: started.response.framing(),
            upstream: Some(started.response),
            software: started.target.software.clone(),
            target: Some(started.target),
            constraint,
            began_here: false,
            new_start: None,
            stream: Rc::new(RunStream::open()),
            ended: None,
            quiet_since: Instant::now(),
            silent: false,
            silent_checks: 0,
            must_transfer: false,
            began_at: started.began_at,
            splitter: Splitter::default(),
            last_event,
            events: 0,
            run_events: 0,
            migrations: 0,
            runs: number,
            held,
            trying_backup: false,
            restarting: false,
            has_unsent_run: false,
            unsent_since: None,
            chunks,
        };
        ntex::rt::spawn(relay.run::<P>()).detach();
        body
    }

    async fn run<P: Platform>(mut self) {
        let started_at = self.worker.process.clock.now();
        let mut end = self.relay_events::<P>().await;
        self.worker.process.end_stream(self.context.stream);
        let target = self.pass.target().clone();
        match end {
            End::Whole => {
                self.context.answer.set_stage(Stage::Unwritten);
                self.worker.process.record_completion(self.context.fingerprint);
                // The engine is free although the caller may still read.
                self.pass.finish(Outcome::Whole);
                drop(self.backup);
                self.context.set_reset(&self.worker, false);
                let now = self.worker.process.clock.now();
                let sent = send(&self.chunks, Chunk::End, self.context.time_left(now)).await;
                end = sent.err().unwrap_or(end);
            }
            End::Left => self.pass.finish(Outcome::Cancelled),
            End::Late | End::Cut => {
                let failed = end == End::Cut && !self.worker.process.is_path_suspect();
                let outcome = if failed { Outcome::Failed } else { Outcome::Cancelled };
                self.pass.finish(outcome);
            }
        }
        let cause = match end {
            End::Whole => None,
            End::Left => Some(Cause::Caller),
            End::Late => Some(Cause::Timeout),
            End::Cut if self.relayed => Some(Cause::Peer),
            End::Cut => Some(Cause::Target),
        };
        // The caller of an answer that is held back gets a status.
        if let Some(cause) = cause.filter(|_| !self.held.get()) {
            self.context.answer.cut(cause);
            if let Some(io) = self.context.io.as_ref().filter(|_| cause != Cause::Caller) {
                match self.context.ends_with_connection {
                    true => io.terminate(),
                    false => io.close(),
                }
            }
        }
        let elapsed = self.worker.process.clock.now().since(started_at);
        log::info!(
            request = self.context.facts.request.as_str(), end:? = end, events = self.events,
            last = self.last_event.get().unwrap_or(0), trips = self.migrations,
            target:% = target, framing:% = self.framing, stop:% = self.stream.stop(),
            ms = millis(elapsed);
            "stream ended"
        );
    }

    async fn relay_events<P: Platform>(&mut self) -> End {
        let caller_gone = self.context.io.as_ref().map(ntex::io::IoRef::on_disconnect);
        let caller_gone = async move {
            match caller_gone {
                Some(caller_gone) => caller_gone.await,
                None => std::future::pending().await,
            }
        };
        let deadline = sleep(self.context.time_left(self.worker.process.clock.now()));
        let (checking, migrating) = (Fuse::terminated(), Fuse::terminated());
        let asking = Fuse::terminated();
        pin_mut!(caller_gone, deadline, checking, migrating, asking);
        let mut targets = self.worker.process.watch_targets();
        let mut in_progress = None;
        loop {
            if in_progress.is_none() {
                in_progress = match self.next_step() {
                    Step::Stay => None,
                    Step::Cut => return End::Cut,
                    Step::Check(engine) => {
                        let process = Arc::clone(&self.worker.process);
                        let check = async move { fence::check::<P>(&process, &engine).await };
                        checking.set(check.fuse());
                        Some(Work::Check)
                    }
                    Step::Migrate(plan) => {
                        let (worker, context) = (self.worker.clone(), Rc::clone(&self.context));
                        migrating.set(migration::migrate::<P>(worker, context, plan).fuse());
                        Some(Work::Migration)
                    }
                };
            }
            if let Some(listed) = self.new_start.as_mut().and_then(NewStart::take_unasked) {
                let process = Arc::clone(&self.worker.process);
                let ask = async move { new_start::ask::<P>(&process, &listed).await };
                asking.set(ask.fuse());
            }
            let give_up_at = self.new_start.as_ref().and_then(NewStart::give_up_at);
            let stream = Rc::clone(&self.stream);
            tokio::select! {
                biased;
                () = &mut caller_gone => return End::Left,
                () = &mut deadline => return End::Late,
                resumed = &mut migrating, if in_progress == Some(Work::Migration) => {
                    in_progress = None;
                    if resumed.is_err() && self.has_ended_unstopped() {
                        let asked = self.ask_ending::<P>();
                        let closed = tokio::select! {
                            biased;
                            () = &mut caller_gone => return End::Left,
                            () = &mut deadline => return End::Late,
                            closed = asked => closed,
                        };
                        if let Some(end) = self.handle_stream_end::<P>(closed, false) {
                            return end;
                        }
                    } else {
                        self.apply_migration(resumed);
                    }
                }
                chunk = next_chunk(&mut self.upstream) => match chunk {
                    Some(bytes) => {
                        // An engine that writes need not be asked whether it is awake.
                        if in_progress == Some(Work::Check) {
                            checking.set(Fuse::terminated());
                            in_progress = None;
                        }
                        if let Err(end) = self.forward(&bytes).await {
                            return end;
                        }
                    }
                    None => {
                        let closed = tokio::select! {
                            biased;
                            () = &mut caller_gone => return End::Left,
                            () = &mut deadline => return End::Late,
                            closed = self.ask_ending::<P>() => closed,
                        };
                        let migrates = in_progress == Some(Work::Migration);
                        if let Some(end) = self.handle_stream_end::<P>(closed, migrates) {
                            return end;
                        }
                    }
                },
                ended = &mut checking, if in_progress == Some(Work::Check) => {
                    in_progress = None;
                    self.apply_check(ended);
                }
                answer = &mut asking, if self.new_start.as_ref().is_some_and(NewStart::is_asked) => {
                    if !self.new_start.as_mut().is_some_and(|start| start.apply(answer)) {
                        self.lose_run();
                    }
                }
                () = sleep_until(give_up_at.unwrap_or_else(Instant::now)), if give_up_at.is_some() => {
                    self.lose_run();
                }
                _ = targets.changed() => self.check_engines(),
                () = sleep_until(self.quiet_since + SILENCE_TIMEOUT),
                    if in_progress.is_none() && self.may_leave_silent_run() =>
                {
                    self.silent = true;
                }
                () = stream.must_close() => (self.upstream, self.ended) = (None, None),
            }
            if self.upstream.is_none() {
                self.stream.set_closed();
            }
        }
    }

    /// Returns what to do next for the answer to go on.
    fn next_step(&mut self) -> Step {
        let (silent, leaves) = (std::mem::take(&mut self.silent), self.must_migrate());
        if silent {
            self.quiet_since = Instant::now();
        }
        let may_have_run = match &self.upstream {
            Some(_) => silent && !leaves,
            None => self.ended.is_none() && self.may_resume(),
        };
        if let Some(engine) = self.target.as_ref().filter(|_| may_have_run) {
            return Step::Check(engine.clone());
        }
        if !leaves && !std::mem::take(&mut self.must_transfer) {
            return Step::Stay;
        }
        match self.next_plan() {
            Some(plan) => Step::Migrate(plan),
            None if self.upstream.is_none() => Step::Cut,
            None => Step::Stay,
        }
    }

    /// Returns whether an answer whose run was lost may go on.
    fn may_resume(&self) -> bool {
        let route = &self.context.route;
        let restarts = route.kind.is_idempotent() && self.runs < route.attempts;
        self.usable_backup().is_some() || restarts || self.has_unsent_run
    }

    /// Handles what is known of the engine of a run that was lost or has fallen silent.
    fn apply_check(&mut self, ended: Ended) {
        self.quiet_since = Instant::now();
        if self.upstream.is_none() {
            self.ended = Some(ended);
        } else if ended != Ended::Answered && self.usable_backup().is_some() {
            // The connection is closed before the answer goes on, so that an engine that wakes up
            // after all ends the run.
            self.upstream = None;
            self.ended = Some(ended);
        } else {
            // The connection may be dead although the engine is awake.
            self.silent_checks += 1;
            let is_dead = self.silent_checks >= MAX_SILENT_CHECKS;
            self.must_transfer = is_dead || self.worker.process.is_isolated();
        }
    }

    /// Returns whether an answer may migrate when its engine falls silent: it has a backup, or this
    /// entry reaches its engine only through others by now, so that nothing more may arrive on the
    /// connection.
    fn may_leave_silent_run(&self) -> bool {
        self.upstream.is_some() && (self.backup.is_some() || self.worker.process.is_isolated())
    }

    /// Returns the engine that keeps a backup which the run's version can resume from.
    fn usable_backup(&self) -> Option<Target> {
        let listed = self.worker.process.target(self.backup.as_ref()?.target())?;
        Constraint::to(self.software.as_ref()).allows(&listed).then_some(listed)
    }

    /// Asks the engine whether it has ended the current run's stream; `None` where the end is known
    /// without that.
    async fn ask_ending<P: Platform>(&self) -> Option<Closed> {
        let (facts, engine) = (&self.context.facts, self.target.as_ref()?);
        // A run that goes on after the last event writes none.
        let may_be_whole = self.run_events > 0 || self.last_event.get().is_some();
        // Each event has a token at least.
        let is_complete = (1..=self.events).contains(&facts.max_tokens.get());
        let is_asked = self.has_ended_in_order()
            && self.framing == Framing::Connection
            && !self.stream.stop().may_have_ended_stream()
            && self.context.service.engine.is_some()
            && may_be_whole
            && !is_complete;
        match is_asked {
            true => Some(ending::ask::<P>(&self.worker.process, &facts.request, engine).await),
            false => None,
        }
    }

    /// Returns whether the current run's stream ended in order, and not within an event.
    fn has_ended_in_order(&self) -> bool {
        (self.upstream.is_some() || self.stream.ended_during_stop()) && self.splitter.is_empty()
    }

    /// Returns whether the current run's stream ended in order while a call to stop the run was in
    /// progress, which turned out not to have stopped it.
    fn has_ended_unstopped(&self) -> bool {
        let may_be_stopped = self.stream.stop().may_have_ended_stream();
        self.stream.ended_during_stop() && !may_be_stopped && self.ended.is_none()
    }

    /// Handles the end of the current run's stream. Returns the end of the answer if it is complete.
    fn handle_stream_end<P: Platform>(
        &mut self,
        closed: Option<Closed>,
        migrates: bool,
    ) -> Option<End> {
        if let Some(Closed::RunLost(ended)) = closed {
            self.handle_lost_run::<P>();
            self.ended = Some(ended);
            return None;
        }
        if closed == Some(Closed::PathLost) || !self.is_whole(closed) {
            self.handle_lost_run::<P>();
            return None;
        }
        let may_be_stopped = self.stream.stop().may_have_ended_stream();
        if self.framing != Framing::Connection || !may_be_stopped {
            return Some(End::Whole);
        }
        if migrates {
            // The reply to the call tells whether it ended the stream.
            log::info!(
                request = self.context.facts.request.as_str(), target:% = self.pass.target(),
                stop:% = self.stream.stop(), last = self.last_event.get().unwrap_or(0);
                "stream ended during a call to stop its run"
            );
            self.upstream = None;
            self.new_start = None;
            self.stream.set_ended_during_stop();
        } else {
            self.handle_lost_run::<P>();
        }
        None
    }

    /// Handles the loss of the run before its answer was complete. The end of a run that was told to stop
    /// says nothing about its engine.
    fn handle_lost_run<P: Platform>(&mut self) {
        self.upstream = None;
        self.new_start = None;
        self.ended = None;
        if matches!(self.stream.stop(), Stop::Called | Stop::Stopped) {
            return;
        }
        if let Some(target) = &self.target {
            liveness::Check::new(&self.worker, &self.context, target, self.began_at)
                .with_begun_run(&self.context)
                .with_events(self.run_events)
                .spawn::<P>();
        }
    }

    /// Returns whether the answer must migrate: its run was lost, or its engine accepts no new
    /// requests, or the entry that relays it leaves, and the answer is too long to finish there.
    fn must_migrate(&self) -> bool {
        match &self.upstream {
            None => true,
            Some(_) if self.may_finish_here() => false,
            Some(upstream) => {
                let process = &self.worker.process;
                let leaves = |relay| self.is_long() && process.must_leave_relay(relay);
                !process.is_target_ready(self.pass.target())
                    || upstream.relay.as_ref().is_some_and(leaves)
            }
        }
    }

    /// Returns whether the answer should finish where it is: it is expected to end within the
    /// notice that its engine gives, and if it does not, another run can continue after its last
    /// event.
    fn may_finish_here(&self) -> bool {
        self.context.route.kind.is_idempotent() && !self.is_long()
    }

    /// Returns whether the answer is expected to take longer than an engine or an entry that stops.
    fn is_long(&self) -> bool {
        migration::is_long(&self.context) || self.produced_tokens() >= migration::MIN_BACKUP_TOKENS
    }

    /// Returns the next migration to try, or `None` if there is none.
    fn next_plan(&mut self) -> Option<Plan> {
        let engine = self.context.service.engine.as_ref()?;
        let (moves, resumable) = (engine.moves, self.context.route.kind.is_idempotent());
        let process = &self.worker.process;
        // The memory of a run can be used only by the version that made it.
        let of_run = Constraint::to(self.software.as_ref());
        (self.trying_backup, self.restarting) = (false, false);
        let (strategy, constraint, candidates) = if self.upstream.is_some() {
            if !moves || self.migrations >= MAX_MIGRATIONS {
                return None;
            }
            let from = process.target(self.pass.target())?;
            if process.is_resting(&from) {
                return None;
            }
            let candidates = self.candidates(&of_run);
            (
                Strategy::Transfer {
                    from: Box::new(from),
                    remaining: self.remaining_tokens(),
                    memory: self.memory_tokens(),
                },
                of_run,
                candidates,
            )
        } else if let Some(usable) = self.usable_backup() {
            self.trying_backup = true;
            (Strategy::Backup, of_run, vec![usable])
        } else if resumable && self.may_restart_run() {
            self.restarting = true;
            (Strategy::Restart, self.constraint.clone(), self.candidates(&self.constraint))
        } else {
            return None;
        };
        if candidates.is_empty() {
            return None;
        }
        self.migrations += 1;
        let (last_event, stream) = (Rc::clone(&self.last_event), Rc::clone(&self.stream));
        Some(Plan { strategy, candidates, constraint, last_event, stream, ended: self.ended })
    }

    /// Returns whether the route and the retry budget allow one more run, and counts it.
    fn may_restart_run(&mut self) -> bool {
        if std::mem::take(&mut self.has_unsent_run) {
            return true;
        }
        let may = self.runs < self.context.route.attempts && self.pass.try_repeat();
        self.runs += u32::from(may);
        may
    }

    /// Returns the engines to which the answer may migrate, the best first.
    fn candidates(&self, constraint: &Constraint) -> Vec<Target> {
        let process = &self.worker.process;
        let neighbours = process.same_domain_targets(self.pass.target());
        let candidates = self.pass.migration_targets(&neighbours, None);
        let listed = candidates.iter().filter_map(|candidate| process.target(candidate));
        listed.filter(|target| constraint.allows(target)).collect()
    }

    /// Returns the number of tokens that the answer is expected to produce from now on: what the
    /// caller's estimate leaves, but at least a third of those produced so far, since long answers
    /// tend to continue.
    fn remaining_tokens(&self) -> Tokens {
        let produced = self.produced_tokens();
        let guess = migration::expected_tokens(&self.context).get();
        Tokens::new(guess.saturating_sub(produced).max(produced / 3))
    }

    /// Returns the number of tokens in the answer's memory.
    fn memory_tokens(&self) -> Tokens {
        Tokens::new(self.context.facts.prompt_tokens.get() + self.produced_tokens())
    }

    /// Returns the number of tokens sent to the caller.
    fn produced_tokens(&self) -> u64 {
        let engine = self.context.service.engine.as_ref();
        self.events * engine.map_or(1, |engine| u64::from(engine.tokens_per_event))
    }

    /// Continues with the new run if a migration succeeded.
    fn apply_migration(&mut self, resumed: Result<Resumed, Failed>) {
        self.quiet_since = Instant::now();
        let resumed = match resumed {
            Ok(resumed) => resumed,
            // A run that has not ended continues for as long as it can.
            Err(failed) => return self.handle_failed_migration(failed),
        };
        let stays = *self.pass.target() == resumed.target;
        let stream = if stays { self.stream.reopen() } else { RunStream::open() };
        self.pass.transfer(&resumed.target);
        drop(resumed.reservation);
        // No new backup is made: it would compete for links over which other answers still migrate.
        self.backup = None;
        self.relayed = resumed.started.response.relay.is_some();
        self.framing = resumed.started.response.framing();
        self.upstream = Some(resumed.started.response);
        self.began_at = resumed.started.began_at;
        self.software = resumed.started.target.software.clone();
        self.target = Some(resumed.started.target);
        (self.began_here, self.new_start) = (false, None);
        (self.ended, self.stream) = (None, Rc::new(stream));
        self.run_events = 0;
        self.splitter = Splitter::default();
        self.unsent_since = None;
    }

    /// Handles a failed attempt to migrate. One of which nothing was sent may be made again, for
    /// [`UNSENT_TIMEOUT`]; a backup from which an engine did not go on is given up.
    fn handle_failed_migration(&mut self, failed: Failed) {
        let Failed { error, reached } = failed;
        if reached.is_some() {
            (self.upstream, self.target, self.ended) = (None, reached, None);
        }
        let now = self.worker.process.clock.now();
        let unsent = matches!(error, Error::NotSent(_));
        self.unsent_since = unsent.then(|| self.unsent_since.unwrap_or(now));
        let may_repeat = self.unsent_since.is_some_and(|since| now.since(since) < UNSENT_TIMEOUT);
        if may_repeat {
            self.migrations -= 1;
        }
        self.has_unsent_run = may_repeat && self.restarting;
        // A lost run that may be made anew does not wait for the engine of its backup.
        let may_restart = self.upstream.is_none() && self.context.route.kind.is_idempotent();
        if self.trying_backup && (!may_repeat || may_restart) {
            self.backup = None;
        }
    }

    /// Drops the backup if its engine drains, is cordoned or has restarted, and the run if its
    /// engine has restarted since it began.
    ///
    /// An engine may lose its network, crash and restart under the same name before its lease
    /// expires. The connection to the old instance then stays open without data, and only the
    /// restart shows that the run is lost. Without this check the caller would wait until its
    /// deadline.
    fn check_engines(&mut self) {
        let process = &self.worker.process;
        let is_unavailable = |backup: &Backup| {
            !process.is_target_ready(backup.target()) || process.is_cordoned(backup.listed())
        };
        let restart =
            |known: &Target| process.target(&known.id).filter(|listed| listed.is_restart_of(known));
        if self.backup.as_ref().is_some_and(|b| is_unavailable(b) || restart(b.listed()).is_some())
        {
            self.backup = None;
        }
        let Some(listed) = self.target.as_ref().and_then(restart) else { return };
        if self.upstream.is_none() {
            return self.lose_run();
        }
        let known = self.new_start.as_ref().map(|start| &start.listed);
        if known.is_none_or(|known| listed.is_restart_of(known)) {
            self.new_start = Some(NewStart::new(listed));
        }
    }

    /// Handles the loss of a run whose engine has restarted.
    fn lose_run(&mut self) {
        log::info!(
            request = self.context.facts.request.as_str(), target:% = self.pass.target();
            "run lost, its engine has restarted"
        );
        self.upstream = None;
        self.new_start = None;
        self.ended = Some(Ended::Restarted);
        if let Some(target) = self.target.take() {
            liveness::Check::new(&self.worker, &self.context, &target, self.began_at)
                .with_events(self.run_events)
                .record_crash();
        }
    }

    /// Attributes the run to the start of its engine that is listed now. If another version began the
    /// stream, the run is broken off.
    fn adopt_start(&mut self, listed: Target) {
        let of_run = Constraint::to(listed.software.as_ref());
        log::info!(
            request = self.context.facts.request.as_str(), target:% = listed.id,
            software:? = listed.software; "run belongs to the new start of its engine"
        );
        if self.backup.as_ref().is_some_and(|backup| !of_run.allows(backup.listed())) {
            self.backup = None;
        }
        if self.began_here && self.constraint != of_run {
            self.constraint = of_run.clone();
            if let Some(origin) = self.origin() {
                self.worker.fleet.correct_stream(self.context.stream, origin);
            }
        }
        if self.constraint != Constraint::Free && self.constraint != of_run {
            return self.lose_run();
        }
        self.software = listed.software.clone();
        self.target = Some(listed);
    }

    /// Returns whether the answer is complete: the response ended in order and not within an event. One
    /// without an event that ends with its connection was broken off on beginning to write, unless the
    /// engine has closed it itself.
    fn is_whole(&self, closed: Option<Closed>) -> bool {
        let is_empty = self.run_events == 0
            && self.framing == Framing::Connection
            && closed != Some(Closed::ByEngine);
        self.has_ended_in_order() && !is_empty
    }

    /// Forwards the events that the caller has not received yet. Fails if the answer ends with that;
    /// see [`send`].
    async fn forward(&mut self, bytes: &Bytes) -> Result<(), End> {
        if let Some(start) = self.new_start.take_if(|start| start.is_confirmed()) {
            self.adopt_start(start.listed);
            if self.upstream.is_none() {
                return Ok(());
            }
        }
        let Ok(events) = self.splitter.feed(bytes) else {
            self.upstream = None;
            return Ok(());
        };
        (self.quiet_since, self.silent_checks) = (Instant::now(), 0);
        if !events.is_empty() {
            self.stream.record_event();
        }
        for event in events {
            if self.run_events == 0 {
                self.worker.process.record_first_event(&self.context.facts.features);
            }
            self.run_events += 1;
            if let Some(id) = event.id {
                // The previous run produced this event while the next one started.
                if self.last_event.get().is_some_and(|last_event| id <= last_event) {
                    continue;
                }
                self.last_event.set(Some(id));
            }
            if self.events == 0 {
                self.begin_stream();
            }
            self.events += 1;
            let time_left = self.context.time_left(self.worker.process.clock.now());
            send(&self.chunks, Chunk::Bytes(event.bytes), time_left).await?;
        }
        self.report_progress();
        Ok(())
    }

    /// Pins the stream to the version of the engine that brought its first event.
    fn begin_stream(&mut self) {
        if self.constraint == Constraint::Free {
            self.constraint = Constraint::to(self.software.as_ref());
            self.began_here = true;
        }
        if let Some(origin) = self.origin() {
            self.worker.fleet.begin_stream(self.context.stream, origin);
        }
    }

    /// Returns the version that goes on with the stream, with its service.
    fn origin(&self) -> Option<Origin> {
        let Constraint::Version(software) = &self.constraint else { return None };
        let service = self.context.service.name.clone();
        Some(Origin { service, software: software.clone() })
    }

    /// Reports the length of the answer to the gate and to its backup.
    fn report_progress(&mut self) {
        if let Some(slot) = self.slot.take_if(|_| self.events > 0) {
            slot.end(Ending::Accepted);
        }
        let produced = Tokens::new(self.produced_tokens());
        let sighting = self.pass.progress(produced, self.events == 1);
        if sighting.long_pause {
            self.worker.process.metrics.long_pause();
        }
        if sighting.slowdown_changed {
            self.worker.process.request_heartbeat();
        }
        let memory = self.memory_tokens().get();
        if let Some(backup) = &mut self.backup {
            backup.grow(memory);
        }
    }
}

/// Sends a chunk to the caller once it has read enough of those before. Fails if it has closed its
/// connection, or reads too slowly for the time that is left.
async fn send(chunks: &body::Sender, chunk: Chunk, time_left: Duration) -> Result<(), End> {
    match timeout(time_left, chunks.send(chunk)).await {
        Ok(sent) => sent.map_err(|_| End::Left),
        Err(_) => Err(End::Late),
    }
}

/// Returns the next bytes of a response, or `None` at its end; clears `upstream` if it failed.
async fn next_chunk(upstream: &mut Option<Response>) -> Option<Bytes> {
    match upstream {
        Some(response) => match response.chunk().await {
            Ok(Some(bytes)) => Some(bytes),
            Ok(None) => None,
            Err(_) => {
                *upstream = None;
                None
            }
        },
        None => std::future::pending().await,
    }
}
