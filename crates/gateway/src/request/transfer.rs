//! Transfer of a run's memory from a draining engine to another.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use fireflyhoist_policy::isolation::STALL_TIME;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::unit::Tokens;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::connection::exchange::{Failure, Refusal};
use crate::platform::{Call, Copy, Moved, Platform, Reply};
use crate::process::copy_usage::CopyUsage;
use crate::process::state::Process;
use crate::request::attempt::Error;
use crate::request::fence::{self, Ended};
use crate::request::{Context, Worker};

/// How long one transfer may take: a second for a full memory on an idle link, plus the time in the
/// engine's queue.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before the next try while another call for the same run is in progress.
const BUSY_DELAY: Duration = Duration::from_millis(40);

/// How long an engine whose stream has ended may take to reply before it is asked whether it is awake.
const REPLY_TIME: Duration = Duration::from_millis(300);

/// Maximum number of tries of one transfer.
const MAX_TRIES: u32 = 8;

/// Maximum number of engines that are asked to take one answer before it queues for its turn again.
/// A refusal takes a round trip of about 2 ms, a turn 200 ms.
const MAX_DESTINATIONS: usize = 8;

/// Maximum size of a reply to a transfer call, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// How long a call that frees a copy may take.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// A run's memory at the engine that is to resume it, once the run has ended.
pub(crate) struct Transferred {
    /// The engine that holds the copy.
    pub(crate) to: Target,
    /// The copy.
    pub(crate) copy: Copy,
    /// How it is known that the run has ended.
    pub(crate) ended: Ended,
    /// The memory counted for the copy.
    reservation: CopyUsage,
    /// Frees the copy unless the run resumes from it.
    cleanup: Cleanup,
}

impl Transferred {
    /// Keeps the copy, from which the run has resumed; returns the memory counted for it.
    pub(crate) fn keep(mut self) -> CopyUsage {
        self.cleanup.call = None;
        self.reservation
    }
}

/// Frees a copy when it is dropped, unless `call` is cleared before.
///
/// An answer may end, or its caller disconnect, while its memory is being transferred. The copy
/// would occupy memory and a slot at the other engine for seconds, and that engine would refuse
/// other answers that must migrate.
struct Cleanup {
    process: Arc<Process>,
    call: Option<Call>,
    from: Target,
    to: Target,
}

impl Drop for Cleanup {
    fn drop(&mut self) {
        let Some(call) = self.call.take() else { return };
        let (process, from, to) = (Arc::clone(&self.process), self.from.clone(), self.to.clone());
        ntex::rt::spawn(async move { free(&process, call, &from, &to).await }).detach();
    }
}

/// Frees a copy at both engines by a call to the engine that made it or, if that fails, at the
/// engine that received it.
async fn free(process: &Process, call: Call, from: &Target, to: &Target) {
    let send = |at, call: Call| process.call(at, call.into(), FREE_TIMEOUT, MAX_REPLY_BYTES);
    let freed = match send(from, call.clone()).await {
        Err(_) => send(to, call).await,
        freed => freed,
    };
    let at = to.address;
    match freed {
        Ok(reply) => {
            log::info!(at:% = at, status = reply.status.as_u16(); "unused copy freed");
        }
        Err(error) => log::info!(at:% = at, error:% = error; "unused copy left to its timeout"),
    }
}

/// A run that is transferred.
pub(crate) struct Source<'a> {
    /// The engine that runs it.
    pub(crate) engine: &'a Target,
    /// The id of the last event that came from it.
    pub(crate) last_event: &'a Cell<Option<u64>>,
    /// Its stream.
    pub(crate) stream: &'a RunStream,
}

/// What is known of calls that stop a run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Stop {
    /// None may have stopped the run.
    #[display("none")]
    NotStopped,
    /// One is in progress.
    #[display("called")]
    Called,
    /// One may have stopped the run; none has been in progress since this time.
    #[display("unknown")]
    Unknown(Instant),
    /// The run has ended for the move.
    #[display("stopped")]
    Stopped,
    /// The run had ended before.
    #[display("no run")]
    NoRun,
}

impl Stop {
    /// Returns whether a call may be why the stream of the run has ended.
    pub(crate) fn may_have_ended_stream(self) -> bool {
        match self {
            Self::Called | Self::Unknown(_) | Self::Stopped => true,
            Self::NotStopped | Self::NoRun => false,
        }
    }
}

/// The stream of a run from its engine, which a transfer may have to close.
#[derive(Debug)]
pub(crate) struct RunStream {
    stop: Cell<Stop>,
    /// Whether it ended in order while a call to stop the run was in progress.
    ended_during_stop: Cell<bool>,
    /// Whether its engine left a call to stop the run unanswered, and may still act on it.
    has_unanswered_call: Cell<bool>,
    is_open: Cell<bool>,
    closed: Notify,
    must_close: Notify,
}

impl RunStream {
    pub(crate) fn open() -> Self {
        Self {
            stop: Cell::new(Stop::NotStopped),
            ended_during_stop: Cell::new(false),
            has_unanswered_call: Cell::new(false),
            is_open: Cell::new(true),
            closed: Notify::new(),
            must_close: Notify::new(),
        }
    }

    /// Opens the stream of the run that follows at the same engine, which may still act on calls that
    /// it left unanswered.
    pub(crate) fn reopen(&self) -> Self {
        let next = Self::open();
        if self.has_unanswered_call.get() {
            next.stop.set(Stop::Unknown(Instant::now()));
        }
        next
    }

    /// Returns what is known of calls that stop the run.
    pub(crate) fn stop(&self) -> Stop {
        self.stop.get()
    }

    /// Records an event. A run that goes on for longer than events are on their way was not stopped.
    pub(crate) fn record_event(&self) {
        if matches!(self.stop(), Stop::Unknown(since) if since.elapsed() >= STALL_TIME) {
            self.stop.set(Stop::NotStopped);
        }
    }

    /// Records that the stream has ended in order.
    pub(crate) fn set_ended_during_stop(&self) {
        self.ended_during_stop.set(true);
    }

    /// Returns whether the stream ended in order while a call to stop the run was in progress.
    pub(crate) fn ended_during_stop(&self) -> bool {
        self.ended_during_stop.get()
    }

    /// Records that the stream is closed.
    pub(crate) fn set_closed(&self) {
        if self.is_open.replace(false) {
            self.closed.notify_one();
        }
    }

    /// Waits until the stream must be closed.
    pub(crate) async fn must_close(&self) {
        self.must_close.notified().await;
    }

    /// Waits until the stream has ended in order while a call to stop the run was in progress.
    async fn wait_for_end_during_stop(&self) {
        while self.is_open.get() {
            self.closed.notified().await;
        }
        if !self.ended_during_stop() {
            std::future::pending().await
        }
    }

    /// Has the stream closed, and waits until it is.
    async fn close(&self) {
        self.must_close.notify_one();
        while self.is_open.get() {
            self.closed.notified().await;
        }
    }
}

/// Copies a run's memory while the run continues, then stops the run and copies the rest.
///
/// If the engine is lost between the two steps, the run resumes from the first copy and the next
/// engine recomputes what is missing. Otherwise an answer would be cut although most of its memory
/// had been transferred.
pub(crate) async fn transfer_run<P: Platform>(
    worker: &Worker,
    context: &Context,
    source: &Source<'_>,
    to: &[Target],
    memory: Tokens,
) -> Result<Transferred, Error> {
    let mut error = Error::NotRun("nowhere");
    for to in to.iter().take(MAX_DESTINATIONS) {
        let reservation = CopyUsage::open(&worker.process, &to.id, memory.get());
        match copy_first::<P>(worker, context, source.engine, to.address).await {
            Ok(first) => {
                return transfer_rest::<P>(worker, context, source, to, first, reservation).await;
            }
            Err(Error::NotRun("no room")) => error = Error::NotRun("no room"),
            Err(other) => return Err(other),
        }
    }
    Err(error)
}

/// Copies the memory of a run while it continues, and returns the name of the copy.
async fn copy_first<P: Platform>(
    worker: &Worker,
    context: &Context,
    from: &Target,
    to: SocketAddr,
) -> Result<SmolStr, Error> {
    for _ in 0..MAX_TRIES {
        let copied = call_move::<P>(worker, context, from, to, false).await;
        match copied.map_err(|failure| move_error(&failure))? {
            Moved::Copied { name } => return Ok(name),
            Moved::Busy => sleep(BUSY_DELAY).await,
            Moved::NoRun => return Err(Error::Unknown("no run")),
            Moved::Refused { .. } | Moved::Declined | Moved::Unclear => {
                return Err(Error::NotRun("no room"));
            }
        }
    }
    Err(Error::Unknown("move busy"))
}

/// Stops a run whose memory has been copied in part, and copies the rest.
async fn transfer_rest<P: Platform>(
    worker: &Worker,
    context: &Context,
    source: &Source<'_>,
    to: &Target,
    first: SmolStr,
    reservation: CopyUsage,
) -> Result<Transferred, Error> {
    let from = source.engine;
    let call = Some(P::delete_copy(&first));
    let process = Arc::clone(&worker.process);
    let cleanup = Cleanup { process, call, from: from.clone(), to: to.clone() };
    let (to, name, ended) = match stop_run::<P>(worker, context, source, to.address).await? {
        Stopped::Copied { name } => (to, name, Ended::Stopped),
        Stopped::Kept { name } => (from, name, Ended::Stopped),
        Stopped::Uncopied(ended) => {
            log::info!(
                request = context.facts.request.as_str(), engine:% = from.id, run_before:% = ended;
                "resuming from a partial copy"
            );
            (to, first, ended)
        }
    };
    let copy = Copy { at: from.address, name };
    Ok(Transferred { to: to.clone(), copy, ended, reservation, cleanup })
}

/// How a run was stopped.
enum Stopped {
    /// The other engine has a copy of all of its memory.
    Copied { name: SmolStr },
    /// The other engine has no room, and the run's own engine keeps the memory.
    Kept { name: SmolStr },
    /// The run has ended without another copy.
    Uncopied(Ended),
}

/// Stops a run and copies the rest of its memory to another engine.
///
/// An engine that stands still, or whose reply is lost, may or may not have stopped the run. It is
/// called again until that is known, or nothing came from it for longer than engines stand still.
async fn stop_run<P: Platform>(
    worker: &Worker,
    context: &Context,
    source: &Source<'_>,
    to: SocketAddr,
) -> Result<Stopped, Error> {
    let result = try_stop_run::<P>(worker, context, source, to).await;
    let stop = match &result {
        Ok(_) => Stop::Stopped,
        Err(_) if source.stream.stop() == Stop::Called => Stop::Unknown(Instant::now()),
        Err(_) => source.stream.stop(),
    };
    source.stream.stop.set(stop);
    result
}

/// Stops a run; see [`stop_run`], which also records the outcome for the reader of its stream.
async fn try_stop_run<P: Platform>(
    worker: &Worker,
    context: &Context,
    source: &Source<'_>,
    to: SocketAddr,
) -> Result<Stopped, Error> {
    let stream = source.stream;
    let heard = source.last_event.get();
    let give_up_at = worker.process.clock.now() + STALL_TIME;
    let mut may_have_stopped = matches!(stream.stop(), Stop::Unknown(_));
    let (mut was_refused, mut was_unclear) = (false, false);
    let mut replies = 0;
    loop {
        let is_unclear = may_have_stopped || was_refused;
        stream.stop.set(Stop::Called);
        let called = tokio::select! {
            biased;
            called = call_move::<P>(worker, context, source.engine, to, true) => called,
            ended = wait_for_loss::<P>(worker, source) => {
                stream.has_unanswered_call.set(true);
                return Ok(Stopped::Uncopied(ended));
            }
        };
        match called {
            Ok(Moved::Copied { name }) => return Ok(Stopped::Copied { name }),
            Ok(Moved::Refused { name: Some(name) }) => return Ok(Stopped::Kept { name }),
            Ok(Moved::NoRun) if is_unclear => return Ok(Stopped::Uncopied(Ended::Stopped)),
            Ok(Moved::NoRun) => {
                stream.stop.set(Stop::NoRun);
                return Err(Error::Unknown("no run"));
            }
            Ok(Moved::Declined) if !is_unclear => {
                stream.stop.set(Stop::NotStopped);
                return Err(Error::NotRun("no room"));
            }
            // An engine that had stopped the run for the first call would not know it any more.
            Ok(Moved::Refused { name: None }) if was_refused && !may_have_stopped => {
                stream.stop.set(Stop::NotStopped);
                return Err(Error::NotRun("no room"));
            }
            Ok(Moved::Refused { name: None }) => (was_refused, replies) = (true, replies + 1),
            Ok(Moved::Unclear) if was_unclear && stream.ended_during_stop() => {
                return Ok(Stopped::Uncopied(abandon::<P>(worker, source).await));
            }
            Ok(Moved::Unclear) if was_unclear => return Err(Error::Unknown("move unclear")),
            Ok(Moved::Unclear) => {
                (may_have_stopped, was_unclear) = (true, true);
                replies += 1;
            }
            Ok(Moved::Declined | Moved::Busy) => replies += 1,
            Err(Failure::ConnectFailed { reason: Refusal::Refused }) => {
                let ended = abandon::<P>(worker, source).await;
                if ended == Ended::Answered && stream.ended_during_stop() && !is_unclear {
                    stream.stop.set(Stop::NotStopped);
                    return Err(Error::NotSent("move not sent"));
                }
                return Ok(Stopped::Uncopied(ended));
            }
            Err(failure) if is_unsent(&failure) => {}
            Err(_) => {
                may_have_stopped = true;
                stream.has_unanswered_call.set(true);
            }
        }
        let is_unclear = may_have_stopped || was_refused;
        let goes_on = source.last_event.get() != heard;
        let ended_before = replies == 0 && stream.ended_during_stop();
        if !is_unclear && (goes_on || ended_before) {
            stream.stop.set(Stop::NotStopped);
            return Err(Error::NotSent("move not sent"));
        }
        if replies >= MAX_TRIES && stream.ended_during_stop() {
            return Ok(Stopped::Uncopied(abandon::<P>(worker, source).await));
        }
        if replies >= MAX_TRIES {
            if !is_unclear {
                stream.stop.set(Stop::NotStopped);
            }
            return Err(Error::Unknown("move busy"));
        }
        if worker.process.clock.now() >= give_up_at {
            if goes_on || replies > 0 {
                return Ok(Stopped::Uncopied(abandon::<P>(worker, source).await));
            }
            stream.close().await;
            return Ok(Stopped::Uncopied(Ended::Silent));
        }
        sleep(BUSY_DELAY).await;
    }
}

/// Waits until the stream of a run that is to be stopped has ended and its engine is lost: it answers no
/// other calls either.
async fn wait_for_loss<P: Platform>(worker: &Worker, source: &Source<'_>) -> Ended {
    source.stream.wait_for_end_during_stop().await;
    sleep(REPLY_TIME).await;
    match fence::check::<P>(&worker.process, source.engine).await {
        Ended::Answered => std::future::pending().await,
        ended => ended,
    }
}

/// Closes the stream of a run that can't be stopped by a call, and waits until its engine has noticed.
async fn abandon<P: Platform>(worker: &Worker, source: &Source<'_>) -> Ended {
    source.stream.close().await;
    fence::check::<P>(&worker.process, source.engine).await
}

/// Calls the engine that runs a request to copy its memory to another engine; `last` stops the run
/// first.
async fn call_move<P: Platform>(
    worker: &Worker,
    context: &Context,
    from: &Target,
    to: SocketAddr,
    last: bool,
) -> Result<Moved, Failure> {
    worker.fleet.spend(&from.id);
    let call = P::move_run(&context.facts.request, to, last);
    let called = worker.process.call(from, call.into(), TRANSFER_TIMEOUT, MAX_REPLY_BYTES).await;
    let reply = called.inspect_err(|error| {
        log::info!(
            request = context.facts.request.as_str(), engine:% = from.id, last = last,
            error:% = error; "move broken"
        );
    })?;
    let Reply { declined, leaving, .. } = P::reply(reply.status, &reply.headers);
    if leaving {
        worker.fleet.drain_target(from);
    }
    let moved = match P::decode_move(reply.status, &reply.body) {
        Moved::Refused { name: None } if declined => Moved::Declined,
        moved => moved,
    };
    if last {
        log::info!(
            request = context.facts.request.as_str(), engine:% = from.id,
            status = reply.status.as_u16(), reply:? = moved; "stop answered"
        );
    }
    Ok(moved)
}

/// Returns whether the engine certainly got no call.
fn is_unsent(failure: &Failure) -> bool {
    match failure {
        Failure::ConnectFailed { .. }
        | Failure::Resting
        | Failure::PermitExpired
        | Failure::NoPath => true,
        Failure::Broken { .. } | Failure::TimedOut | Failure::BodyTooLarge => false,
    }
}

fn move_error(failure: &Failure) -> Error {
    match is_unsent(failure) {
        true => Error::NotSent("move not sent"),
        false => Error::Unknown("move broken"),
    }
}
