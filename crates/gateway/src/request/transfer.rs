//! Transfer of a run's memory from a draining engine to another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::unit::Tokens;
use ntex::http::HeaderMap;
use ntex::http::header::{CONTENT_TYPE, HeaderValue};
use ntex::util::Bytes;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::connection::exchange::{Failure, Outgoing};
use crate::platform::{Call, Copy, Moved, Platform};
use crate::process::copy_usage::CopyUsage;
use crate::process::state::Process;
use crate::request::attempt::Error;
use crate::request::{Context, Worker};

/// How long one transfer may take: a second for a full memory on an idle link, plus the time in the
/// engine's queue.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before the next try while another call for the same run is in progress.
const BUSY_DELAY: Duration = Duration::from_millis(40);

/// Maximum number of tries of one transfer.
const MAX_TRIES: u32 = 8;

/// Maximum number of engines that are asked to take one answer before it queues for its turn again.
/// A refusal takes a round trip of about 2 ms, a turn 200 ms.
const MAX_DESTINATIONS: usize = 8;

/// Maximum size of a reply to a transfer call, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// How long a call that frees a copy may take.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// A run's memory at the engine that is to resume it.
pub(crate) struct Transferred {
    /// The engine that holds the copy.
    pub(crate) to: Target,
    /// The copy.
    pub(crate) copy: Copy,
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
    let send = |at, call| process.call(at, outgoing(call), FREE_TIMEOUT, MAX_REPLY_BYTES);
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

/// Copies a run's memory while the run continues, then stops the run and copies the rest.
///
/// If the engine is lost between the two steps, the run resumes from the first copy and the next
/// engine recomputes what is missing. Otherwise an answer would be cut although most of its memory
/// had been transferred.
pub(crate) async fn transfer_run<P: Platform>(
    worker: &Worker,
    context: &Context,
    from: &Target,
    to: &[Target],
    memory: Tokens,
) -> Result<Transferred, Error> {
    let mut error = Error::NotRun("nowhere");
    for to in to.iter().take(MAX_DESTINATIONS) {
        let reservation = CopyUsage::open(&worker.process, &to.id, memory.get());
        match try_transfer::<P>(worker, context, from, to.address, false).await {
            Ok(name) => {
                return transfer_rest::<P>(worker, context, from, to, name, reservation).await;
            }
            Err(Error::NotRun("no room")) => error = Error::NotRun("no room"),
            Err(other) => return Err(other),
        }
    }
    Err(error)
}

/// Stops a run whose memory has been copied in part, and copies the rest.
async fn transfer_rest<P: Platform>(
    worker: &Worker,
    context: &Context,
    from: &Target,
    to: &Target,
    first: SmolStr,
    reservation: CopyUsage,
) -> Result<Transferred, Error> {
    let call = Some(P::delete_copy(&first));
    let process = Arc::clone(&worker.process);
    let cleanup = Cleanup { process, call, from: from.clone(), to: to.clone() };
    let transferred = |name, cleanup| {
        let copy = Copy { at: from.address, name };
        Transferred { to: to.clone(), copy, reservation, cleanup }
    };
    match try_transfer::<P>(worker, context, from, to.address, true).await {
        Ok(name) => Ok(transferred(name, cleanup)),
        Err(Error::Unknown("move broken")) => {
            log::info!(request = context.facts.request.as_str(); "resuming from a partial copy");
            Ok(transferred(first, cleanup))
        }
        Err(other) => Err(other),
    }
}

fn outgoing(call: Call) -> Outgoing {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let (method, path, body) = (call.method, call.path, Bytes::from(call.body));
    Outgoing { method, path, headers, body }
}

/// Calls the engine that runs a request to copy its memory to another engine, and returns the name
/// of the copy; `last` stops the run first.
async fn try_transfer<P: Platform>(
    worker: &Worker,
    context: &Context,
    from: &Target,
    to: SocketAddr,
    last: bool,
) -> Result<SmolStr, Error> {
    for _ in 0..MAX_TRIES {
        worker.fleet.spend(&from.id);
        let call = P::move_run(&context.facts.request, to, last);
        let called =
            worker.process.call(from, outgoing(call), TRANSFER_TIMEOUT, MAX_REPLY_BYTES).await;
        let reply = called.map_err(|error| {
            log::info!(
                request = context.facts.request.as_str(), engine:% = from.id, last = last,
                error:% = error; "move broken"
            );
            transfer_failed(&error)
        })?;
        if P::reply(reply.status, &reply.headers).leaving {
            worker.fleet.drain_target(from);
        }
        match P::decode_move(reply.status, &reply.body) {
            Moved::Copied { name } => return Ok(name),
            Moved::Busy => sleep(BUSY_DELAY).await,
            Moved::NoRun => return Err(Error::Unknown("no run")),
            Moved::Refused { .. } => return Err(Error::NotRun("no room")),
        }
    }
    Err(Error::Unknown("move busy"))
}

fn transfer_failed(error: &Failure) -> Error {
    match error {
        // The engine got no call, so it has not stopped the run.
        Failure::Resting | Failure::PermitExpired | Failure::NoPath => {
            Error::NotSent("move not sent")
        }
        _ => Error::Unknown("move broken"),
    }
}
