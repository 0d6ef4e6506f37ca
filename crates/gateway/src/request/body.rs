//! The body of a streamed response, which the relay of its answer fills.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{self, Poll};
use std::time::Duration;

use futures_util::Stream;
use ntex::util::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;

use crate::connection::buffer::Buffer;

/// Maximum number of chunks that are queued for a slow caller before no more are read from the
/// engine.
const MAX_QUEUED_CHUNKS: usize = 32;

/// The most bytes of such chunks, except for a single larger one.
const MAX_QUEUED_BYTES: usize = 64 << 10;

/// Returns a body and where its chunks are sent. `held` is set while it is held back.
pub(super) fn channel(held: Rc<Cell<bool>>) -> (Sender, Body) {
    let (chunks, queued) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let sender = Sender { chunks, room: Arc::new(Semaphore::new(MAX_QUEUED_BYTES)) };
    (sender, Body { collected: None, chunks: queued, held, ended: false })
}

/// Where the chunks of a body are sent.
pub(super) struct Sender {
    chunks: mpsc::Sender<Queued>,
    room: Arc<Semaphore>,
}

/// A chunk with the room that it takes in the queue.
struct Queued {
    chunk: Chunk,
    _room: Option<OwnedSemaphorePermit>,
}

/// The error if the body is no longer read.
pub(super) struct Closed;

impl Sender {
    /// Sends a chunk once the queue has room for it.
    pub(super) async fn send(&self, chunk: Chunk) -> Result<(), Closed> {
        let bytes = match &chunk {
            Chunk::Bytes(bytes) => bytes.len().min(MAX_QUEUED_BYTES),
            Chunk::End => 0,
        };
        let permits = u32::try_from(bytes).map_err(|_| Closed)?;
        let room = tokio::select! {
            room = Arc::clone(&self.room).acquire_many_owned(permits) => room.ok(),
            () = self.chunks.closed() => return Err(Closed),
        };
        self.chunks.send(Queued { chunk, _room: room }).await.map_err(|_| Closed)
    }
}

/// A part of the response body.
pub(super) enum Chunk {
    Bytes(Bytes),
    /// The answer is complete.
    End,
}

/// The body of the caller's response.
pub(crate) struct Body {
    /// What was held back and is sent first.
    collected: Option<Bytes>,
    chunks: mpsc::Receiver<Queued>,
    held: Rc<Cell<bool>>,
    ended: bool,
}

/// An answer that was held back.
pub(crate) enum Collected {
    Whole(Bytes),
    /// It took too long, and is sent as it arrives from now on.
    Unfinished(Body),
    /// It was cut, or is too large.
    Cut,
}

impl Body {
    /// Holds the answer back until it is complete, for at most `within`.
    pub(crate) async fn collect(mut self, within: Duration) -> Collected {
        let mut collected = Buffer::default();
        let all = async {
            loop {
                match self.chunks.recv().await?.chunk {
                    Chunk::Bytes(bytes) => collected.extend(&bytes).ok()?,
                    Chunk::End => return Some(()),
                }
            }
        };
        match timeout(within, all).await {
            Ok(Some(())) => Collected::Whole(collected.freeze()),
            Ok(None) => Collected::Cut,
            Err(_) => {
                self.held.set(false);
                self.collected = Some(collected.freeze()).filter(|bytes| !bytes.is_empty());
                Collected::Unfinished(self)
            }
        }
    }
}

impl Stream for Body {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(collected) = self.collected.take() {
            return Poll::Ready(Some(Ok(collected)));
        }
        match self.chunks.poll_recv(cx) {
            Poll::Ready(Some(Queued { chunk: Chunk::Bytes(bytes), .. })) => {
                Poll::Ready(Some(Ok(bytes)))
            }
            Poll::Ready(Some(Queued { chunk: Chunk::End, .. })) => {
                self.ended = true;
                Poll::Ready(None)
            }
            // The relay has closed the connection, so the body stays pending forever: if it ended
            // here, it would look complete to the caller, and if it failed, the library would write
            // a second response into the middle of it.
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        }
    }
}
