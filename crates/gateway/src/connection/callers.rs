//! The connections of callers: how many there may be, and what they still have to write, which decides
//! when a leaving process may end.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::io::IoRef;
use rustix::io::ioctl_fionread;
use socket2::Socket;
use tokio::time::sleep;

use crate::connection::limit::{Limit, Limits};
use crate::request::answer::{Cause, Progress, Stage};

/// What a process holds for its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Held {
    /// Requests without a head of an answer.
    pub(crate) waiting: usize,
    /// Answers that their targets have not ended.
    pub(crate) streams: usize,
    /// Answers that are complete, and not written to their connection.
    pub(crate) unwritten: usize,
}

impl Held {
    pub(crate) fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.waiting += other.waiting;
        self.streams += other.streams;
        self.unwritten += other.unwritten;
    }
}

/// What is done besides counting what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Nothing.
    Count,
    /// Connections without a request are closed, and the system takes as much as it can of answers, to
    /// send it after the end of the process.
    Close,
    /// Each answer that is held is logged as cut.
    LogCut,
}

/// How long a connection may be silent before its first request where another caller needs the room:
/// clients send the request right after the handshake.
const SILENCE_GRACE: Duration = Duration::from_millis(50);

/// How long an answer or a body may stand still where another caller needs the room.
const STALL_GRACE: Duration = Duration::from_millis(500);

/// How long a new connection waits for others that may be closed soon, and how often it looks.
const ROOM_TIMEOUT: Duration = Duration::from_millis(200);
const ROOM_POLL: Duration = Duration::from_millis(5);

/// How often connections are closed that hold too much.
const RELIEF_INTERVAL: Duration = Duration::from_millis(100);

/// What the system may buffer for a connection when the process ends; it doubles the size.
const LAST_SEND_BUFFER_BYTES: usize = 2 << 20;

/// What a connection without full buffers takes.
const BASE_BYTES: usize = 8 << 10;

/// The read buffer of a connection from which on the system may hold more that has not been read.
const READ_PAUSE_BYTES: usize = 8 << 10;

/// Limits on the connections of one address.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    /// The most connections.
    pub(crate) connections: usize,
    /// The memory of their buffers, with those of the system.
    pub(crate) bytes: usize,
    /// What the system buffers for a connection, in each direction.
    pub(crate) system_bytes: usize,
}

/// A connection of a caller.
#[derive(Debug)]
struct Connection {
    /// A second handle to the socket, which the HTTP server does not give out.
    socket: Socket,
    /// When its latest request began, or it was accepted if there is none.
    since: Instant,
    has_asked: bool,
    /// Its latest answer.
    progress: Option<Rc<Progress>>,
}

/// What another caller's need of room means for a connection. The least is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It has sent nothing.
    Silent(Instant),
    /// It waits for its next request.
    Idle(Instant),
    /// Its caller sends no more of a request, or reads no more of an answer.
    Stalled(Instant),
}

impl Connection {
    /// Returns its rank, unless it is in use.
    fn rank(&self, io: &IoRef) -> Option<Rank> {
        let stalled_since =
            |since: Instant| (since.elapsed() >= STALL_GRACE).then_some(Rank::Stalled(since));
        let progress = self.progress.as_ref();
        if let Some(progress) = progress
            && let Some(stage) = progress.stage()
        {
            let waits_for_caller = stage == Stage::Unwritten || progress.is_receiving();
            return stalled_since(progress.moved_at()).filter(|_| waits_for_caller);
        }
        if has_unwritten(io) {
            return stalled_since(progress.map_or(self.since, |progress| progress.moved_at()));
        }
        if self.has_asked {
            return Some(Rank::Idle(self.since));
        }
        match self.has_received(io) {
            true => stalled_since(self.since),
            false => (self.since.elapsed() >= SILENCE_GRACE).then_some(Rank::Silent(self.since)),
        }
    }

    /// Returns whether a part of a request has been received, by this process or by the system.
    fn has_received(&self, io: &IoRef) -> bool {
        io.with_read_src_buf(|buffer| !buffer.is_empty())
            || ioctl_fionread(&self.socket).is_ok_and(|unread| unread > 0)
    }
}

/// The connections of one address.
#[derive(Debug)]
pub(crate) struct Callers {
    bounds: Bounds,
    limits: Limits,
    connections: Rc<RefCell<HashMap<IoRef, Connection>>>,
    /// Whether a task looks for connections that hold too much.
    relieving: Cell<bool>,
}

impl Callers {
    pub(crate) fn new(bounds: Bounds, limits: Limits) -> Self {
        Self { bounds, limits, connections: Rc::default(), relieving: Cell::new(false) }
    }

    /// Waits until there is room for another connection, for which one that is not in use is closed.
    /// Returns `false` if there will be none soon.
    pub(crate) async fn make_room(&self) -> bool {
        let end = Instant::now() + ROOM_TIMEOUT;
        while self.connections.borrow().len() >= self.bounds.connections {
            if self.close_one(|_| 0) {
                self.limits.reached(Limit::Connections);
            } else if self.has_silent() && Instant::now() < end {
                sleep(ROOM_POLL).await;
            } else {
                self.limits.reached(Limit::Connections);
                return false;
            }
        }
        true
    }

    /// Returns whether a connection may be closed soon because it sends no request.
    fn has_silent(&self) -> bool {
        self.connections.borrow().values().any(|connection| !connection.has_asked)
    }

    /// Adds a new connection.
    pub(crate) fn add(self: &Rc<Self>, io: &IoRef, socket: Socket) {
        let connection =
            Connection { socket, since: Instant::now(), has_asked: false, progress: None };
        self.connections.borrow_mut().insert(io.clone(), connection);
        ntex::rt::spawn(watch(Rc::clone(&self.connections), io.clone())).detach();
        if self.may_hold_too_much() && !self.relieving.replace(true) {
            let callers = Rc::clone(self);
            ntex::rt::spawn(async move {
                while callers.may_hold_too_much() {
                    callers.relieve();
                    sleep(RELIEF_INTERVAL).await;
                }
                callers.relieving.set(false);
            })
            .detach();
        }
    }

    /// Returns whether all connections together would hold too much if their buffers were full.
    fn may_hold_too_much(&self) -> bool {
        let full = BASE_BYTES + 2 * self.bounds.system_bytes + 2 * READ_PAUSE_BYTES;
        self.connections.borrow().len() * full > self.bounds.bytes
    }

    /// Records that a request had a head that is too long.
    pub(crate) fn record_long_head(&self) {
        self.limits.reached(Limit::Head);
    }

    /// Records that a request has begun on a connection.
    pub(crate) fn touch(&self, io: &IoRef) {
        if let Some(connection) = self.connections.borrow_mut().get_mut(io) {
            (connection.since, connection.has_asked) = (Instant::now(), true);
        }
    }

    /// Records the answer that a connection carries next.
    pub(crate) fn record(&self, io: &IoRef, progress: &Rc<Progress>) {
        self.touch(io);
        if let Some(connection) = self.connections.borrow_mut().get_mut(io)
            && let Some(previous) = connection.progress.replace(Rc::clone(progress))
        {
            progress.set_previous(&previous);
        }
    }

    /// Sets whether the end of a connection is a reset. It must be while an answer is incomplete whose end
    /// is that of the connection.
    pub(crate) fn set_reset(&self, io: &IoRef, reset: bool) {
        if let Some(connection) = self.connections.borrow().get(io) {
            // If this fails, the connection is lost already.
            let _ = connection.socket.set_linger(reset.then_some(Duration::ZERO));
        }
    }

    /// Closes connections that are not in use, those with the most in their buffers first, while all
    /// buffers together hold too much.
    fn relieve(&self) {
        let held = |io: &IoRef| self.held_bytes(io);
        let total = || self.connections.borrow().keys().map(held).sum::<usize>();
        while total() > self.bounds.bytes && self.close_one(held) {
            self.limits.reached(Limit::Connections);
        }
    }

    /// Returns the most that the buffers of a connection hold.
    fn held_bytes(&self, io: &IoRef) -> usize {
        let read = io.with_read_src_buf(|buffer| buffer.len());
        let unread = if read >= READ_PAUSE_BYTES { self.bounds.system_bytes } else { 0 };
        let written = io.with_write_dst_buf(|buffer| buffer.len());
        let unsent = if written > 0 { self.bounds.system_bytes } else { 0 };
        BASE_BYTES + read + unread + written + unsent
    }

    /// Closes the connection with the greatest weight of those that are not in use, among equals the
    /// one with the least rank. Returns whether there is any.
    fn close_one(&self, weight: impl Fn(&IoRef) -> usize) -> bool {
        let mut connections = self.connections.borrow_mut();
        let unused = connections.iter().filter_map(|(io, connection)| {
            Some((std::cmp::Reverse(weight(io)), connection.rank(io)?, io))
        });
        let Some((.., io)) = unused.min_by_key(|(weight, rank, _)| (*weight, *rank)) else {
            return false;
        };
        let io = io.clone();
        if let Some(progress) = connections.remove(&io).and_then(|closed| closed.progress) {
            progress.cut(Cause::Room);
        }
        drop(connections);
        io.terminate();
        true
    }

    /// Returns what is held, and does `action`.
    pub(crate) fn held(&self, action: Action) -> Held {
        let mut held = Held::default();
        for (io, connection) in &*self.connections.borrow() {
            let Some(progress) = &connection.progress else { continue };
            match progress.stage() {
                Some(Stage::Waiting) => held.waiting += 1,
                Some(Stage::Streaming) => held.streams += 1,
                Some(Stage::Unwritten) => held.unwritten += 1,
                None if has_unwritten(io) => held.unwritten += 1,
                None => {
                    if action == Action::Close {
                        io.close();
                    }
                    continue;
                }
            }
            if action == Action::Close {
                // What it takes was bounded as memory of this process. It takes less if this fails.
                let _ = connection.socket.set_send_buffer_size(LAST_SEND_BUFFER_BYTES);
            }
            if action == Action::LogCut {
                progress.log_exit();
            }
        }
        held
    }
}

/// Drops a connection once it has ended, and logs whether its latest answer was not written.
async fn watch(connections: Rc<RefCell<HashMap<IoRef, Connection>>>, io: IoRef) {
    io.on_disconnect().await;
    let latest = connections.borrow_mut().remove(&io).and_then(|ended| ended.progress);
    if let Some(latest) = latest.filter(|latest| latest.stage().is_none() && has_unwritten(&io)) {
        latest.log_unwritten();
    }
}

/// Returns whether bytes wait to be written to the socket.
fn has_unwritten(io: &IoRef) -> bool {
    io.with_write_dst_buf(|buffer| buffer.len()) > 0
}
