//! Splitting of a stream of server-sent events into single events, whose bytes stay unchanged.

use memchr::memmem;
use ntex::util::{Bytes, BytesMut};

/// One event as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its id, if it has one that is a number.
    pub(crate) id: Option<u64>,
    /// All its bytes, including the blank line that ends it.
    pub(crate) bytes: Bytes,
}

/// Maximum size of an incomplete event in bytes; a target that sends more is faulty.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The error for an incomplete event that is larger than the maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Oversized;

/// Buffers bytes until they are complete events.
///
/// A target may stop in the middle of an event. If its bytes were forwarded at once, the first
/// event of the next target would be joined to that incomplete one.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds bytes and returns the events that they complete.
    pub(crate) fn feed(&mut self, bytes: &Bytes) -> Result<Vec<Event>, Oversized> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let bytes = self.buffer.split_to(end);
            events.push(Event { id: event_id(&bytes), bytes });
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Oversized);
        }
        Ok(events)
    }

    /// Returns whether no incomplete event is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the length of the first complete event, including its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
