//! A socket that knows when bytes last moved on it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, sleep_until};

/// What has moved on a socket so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moved {
    /// When the latest bytes came; when it was opened, where none did.
    pub(crate) received_at: Instant,
    /// How many have come in all.
    pub(crate) received: u64,
    /// When the latest bytes were taken for sending; when it was opened, where none were.
    pub(crate) sent_at: Instant,
}

/// Reads [`Moved`] while its socket is in use elsewhere.
#[derive(Clone, Debug)]
pub(crate) struct Tally(Arc<Mutex<Moved>>);

impl Tally {
    /// What has moved so far.
    pub(crate) fn get(&self) -> Moved {
        *self.0.lock()
    }

    /// Waits until no byte has come for `span`.
    pub(crate) async fn silent(&self, span: Duration) {
        self.idle(span, |moved| moved.received_at).await;
    }

    /// Waits until no byte has been taken for sending for `span`, which begins now at the earliest.
    pub(crate) async fn stuck(&self, span: Duration) {
        let began = Instant::now();
        self.idle(span, |moved| moved.sent_at.max(began)).await;
    }

    async fn idle(&self, span: Duration, since: impl Fn(Moved) -> Instant) {
        loop {
            let end = since(self.get()) + span;
            if Instant::now() >= end {
                return;
            }
            sleep_until(end).await;
        }
    }
}

/// A socket that counts what moves.
#[derive(Debug)]
pub(crate) struct Tallied<S> {
    socket: S,
    tally: Tally,
}

impl<S> Tallied<S> {
    /// Counts from now on; the tally is read by whoever judges the connection.
    pub(crate) fn open(socket: S) -> (Self, Tally) {
        let now = Instant::now();
        let moved = Moved { received_at: now, received: 0, sent_at: now };
        let tally = Tally(Arc::new(Mutex::new(moved)));
        (Self { socket, tally: tally.clone() }, tally)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Tallied<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        if count > 0 {
            let mut moved = self.tally.0.lock();
            moved.received_at = Instant::now();
            moved.received += count as u64;
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Tallied<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.socket).poll_write(context, bytes))?;
        self.tally.0.lock().sent_at = Instant::now();
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
