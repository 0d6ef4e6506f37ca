//! Answers on their way to callers. A leaving process waits until they are written, and its log tells
//! who ended those that never are.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use derive_more::Display;
use ntex::http::Response;
use ntex::http::body::{self, BodySize, MessageBody, ResponseBody};
use ntex::io::IoRef;
use ntex::util::Bytes;
use smol_str::SmolStr;

use crate::connection::memory::Holding;
use crate::process::state::RequestGuard;

/// How far an answer has come.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its head has not been sent.
    #[display("waiting")]
    Waiting,
    /// Its head has been sent, and its target has not ended.
    #[display("streaming")]
    Streaming,
    /// It is complete here, and a part of it has not been written.
    #[display("unwritten")]
    Unwritten,
}

/// Who ends an answer that is not complete, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The caller closed its connection.
    Caller,
    /// The target ended the answer, and no other one goes on with it.
    Target,
    /// The same, where another entry relayed the connection, which may have ended it.
    Peer,
    /// The time of the request was over.
    Timeout,
    /// The process ends.
    Exit,
    /// The caller read nothing, and others needed the room.
    Room,
}

impl Cause {
    fn by(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Target => "target",
            Self::Peer => "peer",
            Self::Timeout | Self::Exit | Self::Room => "entry",
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Caller => "closed",
            Self::Target | Self::Peer => "broken",
            Self::Timeout => "timeout",
            Self::Exit => "exit",
            Self::Room => "room",
        }
    }
}

/// The progress of one answer, which the process follows until it ends.
#[derive(Debug)]
pub(crate) struct Progress {
    request: SmolStr,
    stage: Cell<Stage>,
    /// Counts the request as open. Empty once the connection has the whole answer in its buffer, or
    /// nothing more of it comes.
    open: RefCell<Option<RequestGuard>>,
    ended: Cell<bool>,
    /// Whether it announces that its connection closes.
    last: Cell<bool>,
    /// Whether one before it on its connection did.
    behind_last: Cell<bool>,
    /// Whether the body of its request is being received.
    receiving: Cell<bool>,
    /// When the caller last sent or read a part.
    moved_at: Cell<Instant>,
    /// The memory of the answer, until the connection has all of it in its buffer.
    holding: RefCell<Option<Holding>>,
}

impl Progress {
    /// Records whether the body of the request is being received.
    pub(crate) fn set_receiving(&self, receiving: bool) {
        self.receiving.set(receiving);
        self.record_moved();
    }

    pub(crate) fn is_receiving(&self) -> bool {
        self.receiving.get()
    }

    /// Records that the caller has sent or read a part.
    pub(crate) fn record_moved(&self) {
        self.moved_at.set(Instant::now());
    }

    /// Returns when the caller last sent or read a part.
    pub(crate) fn moved_at(&self) -> Instant {
        self.moved_at.get()
    }

    /// Keeps the memory of the answer until it is handed to the connection, or `io` is closed because
    /// others need the memory and the caller reads nothing.
    pub(crate) fn hold(self: &Rc<Self>, holding: Holding, size: usize, io: Option<&IoRef>) {
        if size <= MAX_PART {
            // The connection takes all of it.
            return;
        }
        holding.set_evictable(true);
        let eviction = holding.eviction();
        self.holding.replace(Some(holding));
        if let Some(io) = io.cloned() {
            let progress = Rc::clone(self);
            ntex::rt::spawn(async move {
                if eviction.wait().await {
                    progress.cut(Cause::Room);
                    io.terminate();
                }
            })
            .detach();
        }
    }

    /// Records that the answer announces that its connection closes.
    pub(crate) fn set_last(&self) {
        self.last.set(true);
    }

    /// Records the answer before this one on its connection.
    pub(crate) fn set_previous(&self, previous: &Self) {
        self.behind_last.set(previous.last.get() || previous.behind_last.get());
    }

    pub(crate) fn is_behind_last(&self) -> bool {
        self.behind_last.get()
    }

    /// Returns the stage, or `None` if no more of the answer is handed to the connection.
    pub(crate) fn stage(&self) -> Option<Stage> {
        (!self.ended.get()).then(|| self.stage.get())
    }

    pub(crate) fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
    }

    /// Logs that the caller does not get the whole answer, unless that is known.
    pub(crate) fn cut(&self, cause: Cause) {
        if !self.ended.get() {
            self.log_cut(cause, self.stage.get());
            self.end();
        }
    }

    /// Logs that the caller's connection ended before all of the answer was written there.
    pub(crate) fn log_unwritten(&self) {
        self.log_cut(Cause::Caller, Stage::Unwritten);
    }

    /// Logs that the process ends before the answer is written.
    pub(crate) fn log_exit(&self) {
        self.log_cut(Cause::Exit, self.stage.get());
        self.end();
    }

    fn log_cut(&self, cause: Cause, stage: Stage) {
        log::info!(
            request = self.request.as_str(), by = cause.by(), reason = cause.reason(), stage:% = stage;
            "answer cut"
        );
    }

    fn end(&self) {
        self.ended.set(true);
        drop(self.open.take());
        drop(self.holding.take());
    }
}

/// An answer from the arrival of its request until the connection has all of it in its buffer.
#[derive(Debug)]
pub(crate) struct Answer {
    progress: Rc<Progress>,
    body: ResponseBody<body::Body>,
    /// Bytes of the body that are left, if its length is known.
    left: Option<u64>,
    /// Whether the head is all of it.
    only_head: bool,
    /// The rest of a large chunk, which is handed on in parts as the caller reads.
    rest: Bytes,
}

/// The most bytes that are handed to the connection at once. It would take a whole answer, whatever
/// the caller reads.
const MAX_PART: usize = 16 << 10;

impl Answer {
    pub(crate) fn new(request: SmolStr, open: RequestGuard) -> Self {
        let progress = Progress {
            request,
            stage: Cell::new(Stage::Waiting),
            open: RefCell::new(Some(open)),
            ended: Cell::new(false),
            last: Cell::new(false),
            behind_last: Cell::new(false),
            receiving: Cell::new(false),
            moved_at: Cell::new(Instant::now()),
            holding: RefCell::new(None),
        };
        Self {
            progress: Rc::new(progress),
            body: ResponseBody::Other(body::Body::Empty),
            left: None,
            only_head: false,
            rest: Bytes::new(),
        }
    }

    pub(crate) fn progress(&self) -> &Rc<Progress> {
        &self.progress
    }

    /// Returns the response with this as its body. `has_body` is false if the request asked for the
    /// head alone.
    pub(crate) fn with_response(mut self, response: Response, has_body: bool) -> Response<Self> {
        response.map_body(move |_, body| {
            match body.size() {
                size if !has_body || size.is_eof() => {
                    self.only_head = true;
                    self.progress.set_stage(Stage::Unwritten);
                }
                BodySize::Sized(size) => {
                    self.left = Some(size);
                    self.progress.set_stage(Stage::Unwritten);
                }
                _ => {}
            }
            self.body = body;
            ResponseBody::Body(self)
        })
    }
}

impl Answer {
    fn next_part(&mut self) -> Bytes {
        if self.rest.len() <= MAX_PART {
            return std::mem::take(&mut self.rest);
        }
        // A part that shares the memory of the whole would keep all of it until it is written.
        let part = Bytes::copy_from_slice(&self.rest[..MAX_PART]);
        self.rest.advance_to(MAX_PART);
        part
    }
}

impl MessageBody for Answer {
    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn std::error::Error>>>> {
        if self.rest.is_empty() {
            match self.body.poll_next_chunk(context) {
                Poll::Ready(Some(Ok(bytes))) => self.rest = bytes,
                polled => {
                    if let Poll::Ready(None) = polled {
                        self.progress.end();
                    }
                    return polled;
                }
            }
        }
        let bytes = self.next_part();
        self.progress.record_moved();
        if let Some(holding) = &*self.progress.holding.borrow() {
            holding.record_moved(bytes.len());
        }
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(bytes.len() as u64);
            if *left == 0 {
                self.progress.end();
            }
        }
        Poll::Ready(Some(Ok(bytes)))
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        match self.only_head {
            // The server drops the body with the head that it has written to its buffer.
            true => self.progress.end(),
            // What ends an answer here names its cause before, so the server has found its caller gone.
            false => self.progress.cut(Cause::Caller),
        }
    }
}
