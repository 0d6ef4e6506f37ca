//! A socket that records how many bytes were received on it, and when.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, sleep_until};

/// What has been received on a socket so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Snapshot {
    /// When the latest bytes were received, or when monitoring started if there were none.
    pub(crate) last_received: Instant,
    /// Total number of bytes received.
    pub(crate) received_bytes: u64,
    /// Reads fail once more than this has been received.
    max_bytes: u64,
}

/// A handle to the statistics of a [`MonitoredSocket`], usable while the socket is in use.
#[derive(Clone, Debug)]
pub(crate) struct Monitor(Arc<Mutex<Snapshot>>);

impl Monitor {
    /// Returns what has been received so far.
    pub(crate) fn snapshot(&self) -> Snapshot {
        *self.0.lock()
    }

    /// Has reads fail after so many bytes, until the limit is lifted.
    pub(crate) fn limit(&self, max_bytes: u64) {
        self.0.lock().max_bytes = max_bytes;
    }

    /// Lifts the limit on what may be received.
    pub(crate) fn lift_limit(&self) {
        self.0.lock().max_bytes = u64::MAX;
    }

    /// Waits until no byte has been received for `timeout`.
    pub(crate) async fn wait_idle(&self, timeout: Duration) {
        loop {
            let end = self.snapshot().last_received + timeout;
            if Instant::now() >= end {
                return;
            }
            sleep_until(end).await;
        }
    }
}

/// A socket that counts the bytes received on it.
#[derive(Debug)]
pub(crate) struct MonitoredSocket<S> {
    socket: S,
    monitor: Monitor,
}

impl<S> MonitoredSocket<S> {
    /// Wraps a socket, and returns it with the monitor that reports what it receives from now on.
    pub(crate) fn new(socket: S) -> (Self, Monitor) {
        let now = Instant::now();
        let snapshot = Snapshot { last_received: now, received_bytes: 0, max_bytes: u64::MAX };
        let monitor = Monitor(Arc::new(Mutex::new(snapshot)));
        (Self { socket, monitor: monitor.clone() }, monitor)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        if count > 0 {
            let mut snapshot = self.monitor.0.lock();
            snapshot.last_received = Instant::now();
            snapshot.received_bytes += count as u64;
            if snapshot.received_bytes > snapshot.max_bytes {
                let reason = format!("more than {} bytes", snapshot.max_bytes);
                return Poll::Ready(Err(io::Error::other(reason)));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
