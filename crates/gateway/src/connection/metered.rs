//! A limit on what the other end of an exchange may send without getting any further in it.
//!
//! A faulty target may send a head, interim responses or the framing of a body without end. The
//! HTTP library reads on for as long as more arrives, and keeps the thread busy that serves all
//! other requests.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes without progress. It exceeds what the HTTP library buffers.
const MAX_BYTES: usize = 64 << 10;

/// Counts the bytes that were read since the response has made progress: its head was complete, or a
/// part of its body was read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress(Rc<Cell<usize>>);

impl Progress {
    /// Records progress.
    pub(crate) fn record(&self) {
        self.0.set(0);
    }
}

/// A stream whose reads fail if too much is read without progress.
#[derive(Debug)]
pub(crate) struct Metered<S> {
    stream: S,
    progress: Progress,
}

impl<S> Metered<S> {
    pub(crate) fn new(stream: S, progress: Progress) -> Self {
        Self { stream, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes = &self.progress.0;
        if bytes.get() > MAX_BYTES {
            return Poll::Ready(Err(io::Error::other(format!("no response in {MAX_BYTES} bytes"))));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let bytes = &self.progress.0;
        bytes.set(bytes.get() + buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
