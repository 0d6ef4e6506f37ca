//! A response body that counts as a request in flight until its last chunk is handed to the server.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_util::Stream;

use crate::process::InFlight;

/// A stream of chunks; a drain waits until it is dropped.
#[derive(Debug)]
pub(crate) struct Body<S> {
    chunks: S,
    _open: Rc<InFlight>,
}

impl<S> Body<S> {
    pub(crate) fn open(chunks: S, open: Rc<InFlight>) -> Self {
        Self { chunks, _open: open }
    }
}

impl<S: Stream + Unpin> Stream for Body<S> {
    type Item = S::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Pin::new(&mut self.chunks).poll_next(cx)
    }
}
