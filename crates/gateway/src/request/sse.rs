//! Splitting of a stream of server-sent events into single events, whose bytes stay unchanged.

use memchr::memmem;
use ntex::util::Bytes;

use crate::connection::buffer::Buffer;

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

/// Maximum number of bytes without a field, between two events; a target that sends more is faulty.
const MAX_BLANK_BYTES: usize = 64 << 10;

/// The fields of events. A line that begins with a colon is a comment.
const FIELDS: [&[u8]; 4] = [b"data", b"id", b"event", b"retry"];

/// The error for bytes that are no event and have no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Endless;

/// Buffers bytes until they are complete events.
///
/// A target may stop in the middle of an event. If its bytes were forwarded at once, the first
/// event of the next target would be joined to that incomplete one.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: Buffer,
    /// Bytes without a field since the latest event.
    blank: usize,
}

impl Splitter {
    /// Adds bytes and returns the events that they complete. Blocks without a field are dropped.
    pub(crate) fn feed(&mut self, bytes: &Bytes) -> Result<Vec<Event>, Endless> {
        let extended = self.buffer.extend(bytes);
        let mut events = Vec::new();
        self.drop_line_ends();
        while let Some(end) = event_end(self.buffer.as_slice()) {
            let bytes = self.buffer.split_to(end);
            if has_field(&bytes) {
                self.blank = 0;
                events.push(Event { id: event_id(&bytes), bytes });
            } else {
                self.blank += bytes.len();
            }
            self.drop_line_ends();
        }
        let is_endless = self.buffer.len() > MAX_EVENT_BYTES || self.blank > MAX_BLANK_BYTES;
        match extended.is_err() || is_endless {
            true => Err(Endless),
            false => Ok(events),
        }
    }

    /// Drops line ends before the next event.
    fn drop_line_ends(&mut self) {
        let bytes = self.buffer.as_slice();
        let count = bytes.iter().take_while(|byte| matches!(byte, b'\n' | b'\r')).count();
        if count > 0 {
            self.buffer.split_to(count);
            self.blank += count;
        }
    }

    /// Returns whether no incomplete event is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the length of the first complete event, including its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    // Only an end before the other one counts, so no more is searched.
    let crlf = memmem::find(&bytes[..lf.unwrap_or(bytes.len())], b"\r\n\r\n").map(|at| at + 4);
    crlf.or(lf)
}

/// Returns whether a block has a line that is a field or a comment.
fn has_field(block: &[u8]) -> bool {
    block.split(|byte| *byte == b'\n' || *byte == b'\r').any(|line| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        FIELDS.contains(&name) || line.starts_with(b":")
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
