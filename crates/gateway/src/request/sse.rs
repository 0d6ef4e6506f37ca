//! Cutting a stream into its events without changing a byte of them.

use memchr::memmem;
use ntex::util::{Bytes, BytesMut};

/// One event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its id, where it has one that is a number.
    pub(crate) id: Option<u64>,
    /// All its bytes, the blank line that ends it included.
    pub(crate) bytes: Bytes,
}

/// The most bytes of an unfinished event; a target that sends more is faulty.
const MAX_EVENT: usize = 1 << 20;

/// An event larger than is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Oversized;

/// Collects bytes until they are whole events.
///
/// The failure: a target stops in the middle of an event, and what follows from another target is
/// joined to the half of it. Only whole events leave here.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    held: BytesMut,
}

impl Splitter {
    /// Takes in bytes and returns the events that they complete.
    pub(crate) fn feed(&mut self, bytes: &Bytes) -> Result<Vec<Event>, Oversized> {
        self.held.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = end(&self.held) {
            let bytes = self.held.split_to(end);
            events.push(Event { id: id(&bytes), bytes });
        }
        if self.held.len() > MAX_EVENT {
            return Err(Oversized);
        }
        Ok(events)
    }

    /// Whether nothing of an unfinished event is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// Where the first event ends, its blank line included.
fn end(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let carriage = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (plain, carriage) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
