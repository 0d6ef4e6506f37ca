//! Writes the response to one caller: headers, events and keep-alive comments, and detects that the
//! caller has disconnected.

use std::convert::Infallible;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_wire::caller::{DONE, ERROR_EVENT, RESTART_EVENT, RESUME_EVENT};
use fireflyhoist_wire::problem::Problem;
use fireflyhoist_wire::sse;
use futures_channel::mpsc;
use futures_util::SinkExt;
use ntex::time::{Interval, interval, timeout};
use ntex::util::Bytes;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::process::clock::Clock;

/// Chunks queued for a slow caller before the engine's link is no longer read. A chunk is the result
/// of one read of that link, so a caller that reads nothing holds a few hundred kilobytes at most.
const MAX_QUEUED_CHUNKS: usize = 4;

/// How long a caller may read nothing while chunks are queued for it.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle time of a stream before a keep-alive comment is sent.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// The caller has disconnected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disconnected;

/// The values of the response headers.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) request: id::Request,
    pub(crate) handle: SmolStr,
}

/// The chunks of one response body.
pub(crate) type Receiver = mpsc::Receiver<Result<Bytes, Infallible>>;

/// The response that the handler sends.
#[derive(Debug)]
pub(crate) enum Reply {
    /// Events follow.
    Stream(Head, Receiver),
    /// The body of the whole answer.
    Body(Head, Vec<u8>),
    /// The request failed before anything was sent.
    Failed(Problem),
}

/// The response format that the caller asked for and supports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Format {
    /// Events instead of one body.
    pub(crate) stream: bool,
    /// The caller supports `resume` events.
    pub(crate) resumes: bool,
}

/// Writes the response to one caller.
#[derive(Debug)]
pub(crate) struct Writer {
    clock: Clock,
    format: Format,
    first: Option<oneshot::Sender<Reply>>,
    chunks: Option<mpsc::Sender<Result<Bytes, Infallible>>>,
    tick: Interval,
    sent: Time,
}

impl Writer {
    /// Creates a writer and the receiver by which the handler gets the response; `tick` is the
    /// interval at which deadlines and the connection are checked.
    pub(crate) fn open(
        clock: Clock,
        format: Format,
        tick: Duration,
    ) -> (Self, oneshot::Receiver<Reply>) {
        let (sender, receiver) = oneshot::channel();
        let writer = Self {
            clock,
            format,
            first: Some(sender),
            chunks: None,
            tick: interval(tick),
            sent: clock.now(),
        };
        (writer, receiver)
    }

    /// Whether the answer is sent as events.
    pub(crate) fn streams(&self) -> bool {
        self.format.stream
    }

    /// Whether the caller is known to have disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        let before = self.first.as_ref().is_some_and(oneshot::Sender::is_closed);
        before || self.chunks.as_ref().is_some_and(mpsc::Sender::is_closed)
    }

    /// Sends the headers of a stream. Where they were sent before, sends the handle of the new
    /// generation as a `resume` event to a caller that supports it.
    pub(crate) async fn begin(&mut self, head: Head) -> Result<(), Disconnected> {
        if !self.format.stream {
            return Ok(());
        }
        if let Some(first) = self.first.take() {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
            self.chunks = Some(sender);
            return first.send(Reply::Stream(head, receiver)).map_err(|_| Disconnected);
        }
        match self.format.resumes {
            true => self.event(RESUME_EVENT, head.handle.to_string()).await,
            false => Ok(()),
        }
    }

    /// Sends a `restart` event: the caller discards what it has received.
    pub(crate) async fn restart(&mut self) -> Result<(), Disconnected> {
        self.event(RESTART_EVENT, "{}".to_owned()).await
    }

    async fn event(&mut self, name: &str, data: String) -> Result<(), Disconnected> {
        let mut out = String::new();
        sse::Event { id: String::new(), name: name.to_owned(), data }.write(&mut out);
        self.send(out.into_bytes()).await
    }

    /// Sends bytes; waits for a slow caller for up to `SEND_TIMEOUT`.
    pub(crate) async fn send(&mut self, bytes: Vec<u8>) -> Result<(), Disconnected> {
        let Some(chunks) = &mut self.chunks else { return Ok(()) };
        self.sent = self.clock.now();
        let Err(full) = chunks.try_send(Ok(Bytes::from(bytes))) else { return Ok(()) };
        if full.is_disconnected() {
            return Err(Disconnected);
        }
        // Without a timeout, a caller that stops reading would hold an engine's stream and its
        // admission slot for as long as its connection is open.
        match timeout(SEND_TIMEOUT, chunks.send(full.into_inner())).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(()) => Err(Disconnected),
        }
    }

    /// Waits for `work` until `deadline` and sends keep-alive comments meanwhile.
    ///
    /// Returns `None` where the deadline passed first.
    pub(crate) async fn until<T>(
        &mut self,
        deadline: Time,
        work: impl Future<Output = T>,
    ) -> Result<Option<T>, Disconnected> {
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                biased;
                done = &mut work => return Ok(Some(done)),
                _ = self.tick.tick() => {}
            }
            self.keep_alive()?;
            if self.clock.now() >= deadline {
                return Ok(None);
            }
        }
    }

    /// Waits for `work` without a deadline and sends keep-alive comments meanwhile.
    pub(crate) async fn wait<T>(
        &mut self,
        work: impl Future<Output = T>,
    ) -> Result<T, Disconnected> {
        let mut work = std::pin::pin!(work);
        loop {
            if let Some(done) = self.until(Time::NEVER, work.as_mut()).await? {
                return Ok(done);
            }
        }
    }

    fn keep_alive(&mut self) -> Result<(), Disconnected> {
        // A disconnect is detected only by a write; without keep-alive comments, a generation whose
        // stream has no tokens would continue after its caller has disconnected.
        if self.clock.now().since(self.sent) >= KEEP_ALIVE {
            self.sent = self.clock.now();
            if let Some(chunks) = &mut self.chunks {
                // A full channel already holds bytes that keep the connection alive.
                let comment = Bytes::from_static(sse::KEEP_ALIVE.as_bytes());
                drop(chunks.try_send(Ok(comment)));
            }
        }
        if self.is_disconnected() { Err(Disconnected) } else { Ok(()) }
    }

    /// Ends a stream with its terminating event.
    pub(crate) async fn done(&mut self) -> Result<(), Disconnected> {
        self.send(format!("data: {DONE}\n\n").into_bytes()).await
    }

    /// Sends the answer as one body.
    pub(crate) fn body(&mut self, head: Head, body: Vec<u8>) {
        self.reply(Reply::Body(head, body));
    }

    /// Sends problem details as the response, or as an error event where a stream has begun.
    pub(crate) async fn fail(&mut self, problem: Problem) {
        if self.first.is_some() {
            return self.reply(Reply::Failed(problem));
        }
        let data = serde_json::to_string(&problem).unwrap_or_default();
        // The error is not needed where the caller has disconnected.
        let _ = self.event(ERROR_EVENT, data).await;
    }

    fn reply(&mut self, reply: Reply) {
        if let Some(first) = self.first.take() {
            drop(first.send(reply));
        }
    }
}
