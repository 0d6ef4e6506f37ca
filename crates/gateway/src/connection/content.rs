//! Bodies of requests, in parts that attempts share.
//!
//! A body in one piece would be copied each time that it grows and for each attempt.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use fireflyhoist_policy::payload::Refused;
use hyper::body::{Body, Bytes, Frame, SizeHint};

use crate::connection::memory::Holding;

/// The size of the first part of a body that does not say how long it is.
const FIRST_PART: usize = 4 << 10;

/// The largest size of a part.
const MAX_PART: usize = 64 << 10;

/// A whole body.
#[derive(Clone, Debug, Default)]
pub(crate) struct Content {
    parts: Vec<Bytes>,
    /// Counts the parts as held.
    _holding: Option<Arc<Holding>>,
}

impl Content {
    /// Returns the parts in their order.
    pub(crate) fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(AsRef::as_ref)
    }
}

impl From<Vec<u8>> for Content {
    fn from(bytes: Vec<u8>) -> Self {
        let parts = if bytes.is_empty() { Vec::new() } else { vec![Bytes::from(bytes)] };
        Self { parts, _holding: None }
    }
}

/// A body that is not complete yet.
#[derive(Debug)]
pub(crate) struct Builder {
    parts: Vec<Bytes>,
    /// The part that is not full.
    last: Vec<u8>,
    len: usize,
    /// The length that its head announces.
    expected: Option<usize>,
    holding: Holding,
}

impl Builder {
    pub(crate) fn new(expected: Option<usize>, holding: Holding) -> Self {
        Self { parts: Vec::new(), last: Vec::new(), len: 0, expected, holding }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn holding(&self) -> &Holding {
        &self.holding
    }

    /// Adds bytes. Fails if there is no memory for them.
    pub(crate) fn extend(&mut self, mut bytes: &[u8]) -> Result<(), Refused> {
        self.holding.record_moved(bytes.len());
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_part(bytes.len())?;
            }
            let (now, later) =
                bytes.split_at(bytes.len().min(self.last.capacity() - self.last.len()));
            self.last.extend_from_slice(now);
            self.len += now.len();
            bytes = later;
        }
        Ok(())
    }

    fn add_part(&mut self, least: usize) -> Result<(), Refused> {
        let expected = self.expected.and_then(|expected| expected.checked_sub(self.len));
        let size = match expected.filter(|left| *left >= least) {
            Some(left) => left,
            None => least.max(self.len).max(FIRST_PART),
        };
        let size = size.min(MAX_PART);
        self.holding.reserve(size)?;
        let full = std::mem::replace(&mut self.last, Vec::with_capacity(size));
        if !full.is_empty() {
            self.parts.push(full.into());
        }
        Ok(())
    }

    /// Returns the whole body.
    pub(crate) fn finish(mut self) -> Content {
        self.holding.set_evictable(false);
        if !self.last.is_empty() {
            self.parts.push(self.last.into());
        }
        Content { parts: self.parts, _holding: Some(Arc::new(self.holding)) }
    }
}

/// The parts of a body that are left to send.
#[derive(Debug)]
pub(crate) struct Frames {
    parts: VecDeque<Bytes>,
    left: u64,
    _content: Content,
}

impl From<Content> for Frames {
    fn from(content: Content) -> Self {
        let parts: VecDeque<_> = content.parts.iter().cloned().collect();
        let left = parts.iter().map(|part| part.len() as u64).sum();
        Self { parts, left, _content: content }
    }
}

impl Body for Frames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.parts.pop_front();
        self.left -= part.as_ref().map_or(0, |part| part.len() as u64);
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
