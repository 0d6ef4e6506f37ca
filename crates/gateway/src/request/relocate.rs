//! Moving the memory of one run from an engine that leaves to another.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::unit::Tokens;
use ntex::http::header::{CONTENT_TYPE, HeaderValue};
use ntex::http::{HeaderMap, StatusCode};
use ntex::time::sleep;
use ntex::util::Bytes;
use smol_str::SmolStr;

use crate::connection::exchange::{self, Failure, Outgoing};
use crate::platform::{Call, Copy, Moved, Platform};
use crate::process::kept::Kept;
use crate::request::attempt::Ended;
use crate::request::{Inquiry, Worker};

/// How long one move may take: a second for a full memory on an idle link, and what queues before.
const MOVE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between tries where another call for the same run is under way.
const BUSY_PAUSE: Duration = Duration::from_millis(40);

/// Tries of a move before it is given up.
const MOVE_TRIES: u32 = 8;

/// Engines that are asked to take one answer before it waits for its turn again. A refusal comes
/// within a round trip of some two milliseconds, a turn takes two hundred.
const MOVE_PLACES: usize = 8;

/// The largest reply to a move.
const MAX_REPLY: usize = 64 << 10;

/// How long an engine has to free a copy.
const DROP_TIMEOUT: Duration = Duration::from_secs(1);

/// A run's memory at the engine where it is to go on.
pub(crate) struct Relocated {
    /// The engine that holds the copy.
    pub(crate) to: Target,
    /// The copy.
    pub(crate) copy: Copy,
    kept: Kept,
    unused: Unused,
}

impl Relocated {
    /// Notes that the run goes on from the copy; returns the count of its memory.
    pub(crate) fn used(mut self) -> Kept {
        self.unused.call = None;
        self.kept
    }
}

/// A copy that nobody goes on from yet; dropped, its engines are told to free it.
///
/// **Failure:** an answer ends, or its caller leaves, while its memory is being moved. The copy then
/// keeps its room and a place at the other engine for seconds, which refuses answers that have to
/// leave their own.
struct Unused {
    call: Option<Call>,
    from: SocketAddr,
    to: SocketAddr,
}

impl Drop for Unused {
    fn drop(&mut self) {
        let Some(call) = self.call.take() else { return };
        ntex::rt::spawn(free(call, self.from, self.to)).detach();
    }
}

/// Frees a copy at both ends through the engine that made it, or where that is gone at the other.
async fn free(call: Call, from: SocketAddr, to: SocketAddr) {
    let freed = exchange::call(from, outgoing(call.clone()), DROP_TIMEOUT, MAX_REPLY).await;
    let freed = match freed {
        Err(_) => exchange::call(to, outgoing(call), DROP_TIMEOUT, MAX_REPLY).await,
        freed => freed,
    };
    match freed {
        Ok((status, _)) => log::info!(at:% = to, status = status.as_u16(); "unused copy freed"),
        Err(error) => log::info!(at:% = to, error:% = error; "unused copy left to its timeout"),
    }
}

/// Copies a run while it goes on, then stops it and copies the rest.
///
/// **Failure:** the engine is gone between the two. What was copied first is there all the same, so
/// the run goes on from it, and the next engine reads what it lacks: without this a page was cut
/// whose memory had arrived.
pub(crate) async fn move_run<P: Platform>(
    worker: &Worker,
    inquiry: &Inquiry,
    from: &Target,
    to: &[Target],
    held: Tokens,
) -> Result<Relocated, Ended> {
    let mut ended = Ended::Unrun("nowhere");
    for to in to.iter().take(MOVE_PLACES) {
        let kept = Kept::open(&worker.process, &to.id, held.get());
        match move_once::<P>(worker, inquiry, from, to.address, false).await {
            Ok(name) => return move_rest::<P>(worker, inquiry, from, to, name, kept).await,
            Err(Ended::Unrun("no room")) => ended = Ended::Unrun("no room"),
            Err(other) => return Err(other),
        }
    }
    Err(ended)
}

/// Stops a run of which a part is copied, and copies the rest.
async fn move_rest<P: Platform>(
    worker: &Worker,
    inquiry: &Inquiry,
    from: &Target,
    to: &Target,
    first: SmolStr,
    kept: Kept,
) -> Result<Relocated, Ended> {
    let call = Some(P::delete_copy(&first));
    let unused = Unused { call, from: from.address, to: to.address };
    let relocated = |name, unused| {
        let copy = Copy { at: from.address, name };
        Relocated { to: to.clone(), copy, kept, unused }
    };
    match move_once::<P>(worker, inquiry, from, to.address, true).await {
        Ok(name) => Ok(relocated(name, unused)),
        Err(Ended::Unknown("move broken")) => {
            log::info!(request = inquiry.facts.request.as_str(); "goes on from a part");
            Ok(relocated(first, unused))
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

async fn move_once<P: Platform>(
    worker: &Worker,
    inquiry: &Inquiry,
    from: &Target,
    to: SocketAddr,
    last: bool,
) -> Result<SmolStr, Ended> {
    for _ in 0..MOVE_TRIES {
        worker.fleet.spend(&from.id);
        let call = P::move_run(&inquiry.facts.request, to, last);
        let called = exchange::call(from.address, outgoing(call), MOVE_TIMEOUT, MAX_REPLY).await;
        let (status, body): (StatusCode, Bytes) = called.map_err(|error| broken(&error))?;
        match P::decode_move(status, &body) {
            Moved::Copied { name } => return Ok(name),
            Moved::Busy => sleep(BUSY_PAUSE).await,
            Moved::NoRun => return Err(Ended::Unknown("no run")),
            Moved::Refused { .. } => return Err(Ended::Unrun("no room")),
        }
    }
    Err(Ended::Unknown("move busy"))
}

fn broken(error: &Failure) -> Ended {
    log::info!(error:% = error; "move broken");
    Ended::Unknown("move broken")
}
