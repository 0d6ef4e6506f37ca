//! The way out to one caller: headers, events, keep-alive comments, and noticing that it is gone.

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

/// Chunks that wait for a slow caller before its engine's link is left unread. A chunk is what one
/// read of that link brought, so a caller that reads nothing holds a few hundred kilobytes at most.
const BACKLOG: usize = 4;

/// How long a caller may read nothing while chunks wait for it.
const SEND_PATIENCE: Duration = Duration::from_secs(30);

/// How long a stream stays without bytes before a comment shows the caller that it lives.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// The caller waits for its answer no more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gone;

/// What the headers of a response say.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) request: id::Request,
    pub(crate) handle: SmolStr,
}

/// Bytes on their way to one caller.
pub(crate) type Receiver = mpsc::Receiver<Result<Bytes, Infallible>>;

/// How the handler is to answer.
#[derive(Debug)]
pub(crate) enum Reply {
    /// Events follow.
    Stream(Head, Receiver),
    /// The body of the whole answer.
    Body(Head, Vec<u8>),
    /// The request failed before anything was sent.
    Failed(Problem),
}

/// What the caller asked for and understands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Form {
    /// Events instead of one body.
    pub(crate) stream: bool,
    /// The caller knows `resume` events.
    pub(crate) resumes: bool,
}

/// The way out.
#[derive(Debug)]
pub(crate) struct Outlet {
    clock: Clock,
    form: Form,
    first: Option<oneshot::Sender<Reply>>,
    chunks: Option<mpsc::Sender<Result<Bytes, Infallible>>>,
    beat: Interval,
    sent: Time,
}

impl Outlet {
    /// Opens the way to the handler that holds the receiver; `beat` is how often time is looked at
    /// while nothing happens.
    pub(crate) fn open(
        clock: Clock,
        form: Form,
        beat: Duration,
    ) -> (Self, oneshot::Receiver<Reply>) {
        let (sender, receiver) = oneshot::channel();
        let outlet = Self {
            clock,
            form,
            first: Some(sender),
            chunks: None,
            beat: interval(beat),
            sent: clock.now(),
        };
        (outlet, receiver)
    }

    /// Whether the answer goes out as events.
    pub(crate) fn streams(&self) -> bool {
        self.form.stream
    }

    /// Whether the caller is known to be gone.
    pub(crate) fn is_gone(&self) -> bool {
        let before = self.first.as_ref().is_some_and(oneshot::Sender::is_closed);
        before || self.chunks.as_ref().is_some_and(mpsc::Sender::is_closed)
    }

    /// Sends the headers of a stream, or tells a caller that has them of a new generation.
    pub(crate) async fn begin(&mut self, head: Head) -> Result<(), Gone> {
        if !self.form.stream {
            return Ok(());
        }
        if let Some(first) = self.first.take() {
            let (sender, receiver) = mpsc::channel(BACKLOG);
            self.chunks = Some(sender);
            return first.send(Reply::Stream(head, receiver)).map_err(|_| Gone);
        }
        match self.form.resumes {
            true => self.event(RESUME_EVENT, head.handle.to_string()).await,
            false => Ok(()),
        }
    }

    /// Tells the caller to discard what it has received.
    pub(crate) async fn restart(&mut self) -> Result<(), Gone> {
        self.event(RESTART_EVENT, "{}".to_owned()).await
    }

    async fn event(&mut self, name: &str, data: String) -> Result<(), Gone> {
        let mut out = String::new();
        sse::Event { id: String::new(), name: name.to_owned(), data }.write(&mut out);
        self.send(out.into_bytes()).await
    }

    /// Sends bytes; waits for a slow caller, but not for ever.
    pub(crate) async fn send(&mut self, bytes: Vec<u8>) -> Result<(), Gone> {
        let Some(chunks) = &mut self.chunks else { return Ok(()) };
        self.sent = self.clock.now();
        let Err(full) = chunks.try_send(Ok(Bytes::from(bytes))) else { return Ok(()) };
        if full.is_disconnected() {
            return Err(Gone);
        }
        // Guards against a caller that stopped reading for good: without a bound it would hold an
        // engine's stream and its place at the gate for as long as its connection stands.
        match timeout(SEND_PATIENCE, chunks.send(full.into_inner())).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(()) => Err(Gone),
        }
    }

    /// Waits for `work` until `deadline`, and meanwhile keeps the caller's connection alive.
    ///
    /// Returns `None` where the deadline passed first.
    pub(crate) async fn until<T>(
        &mut self,
        deadline: Time,
        work: impl Future<Output = T>,
    ) -> Result<Option<T>, Gone> {
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                biased;
                done = &mut work => return Ok(Some(done)),
                _ = self.beat.tick() => {}
            }
            self.keep_alive()?;
            if self.clock.now() >= deadline {
                return Ok(None);
            }
        }
    }

    /// Waits for `work`, however long it takes.
    pub(crate) async fn wait<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Gone> {
        let mut work = std::pin::pin!(work);
        loop {
            if let Some(done) = self.until(Time::NEVER, work.as_mut()).await? {
                return Ok(done);
            }
        }
    }

    fn keep_alive(&mut self) -> Result<(), Gone> {
        // A caller that left is noticed only when something is written to it; a stream without
        // tokens would go on for nobody.
        if self.clock.now().since(self.sent) >= KEEP_ALIVE {
            self.sent = self.clock.now();
            if let Some(chunks) = &mut self.chunks {
                // A full channel holds bytes that show the same.
                let comment = Bytes::from_static(sse::KEEP_ALIVE.as_bytes());
                drop(chunks.try_send(Ok(comment)));
            }
        }
        if self.is_gone() { Err(Gone) } else { Ok(()) }
    }

    /// Ends a stream with its end mark.
    pub(crate) async fn done(&mut self) -> Result<(), Gone> {
        self.send(format!("data: {DONE}\n\n").into_bytes()).await
    }

    /// Answers with one body.
    pub(crate) fn body(&mut self, head: Head, body: Vec<u8>) {
        self.reply(Reply::Body(head, body));
    }

    /// Answers with problem details, or ends the stream with them.
    pub(crate) async fn fail(&mut self, problem: Problem) {
        if self.first.is_some() {
            return self.reply(Reply::Failed(problem));
        }
        let data = serde_json::to_string(&problem).unwrap_or_default();
        // A caller that is gone by now needs no error.
        let _ = self.event(ERROR_EVENT, data).await;
    }

    fn reply(&mut self, reply: Reply) {
        if let Some(first) = self.first.take() {
            drop(first.send(reply));
        }
    }
}
