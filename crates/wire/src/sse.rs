//! Server-sent events: writing them and taking them apart as bytes arrive.

use std::fmt::Write;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id` field; empty where absent.
    pub id: String,
    /// The `event` field; empty where absent.
    pub name: String,
    /// The `data` field, lines joined.
    pub data: String,
}

impl Event {
    /// Appends the event in its wire form.
    pub fn write(&self, out: &mut String) {
        if !self.id.is_empty() {
            let _ = writeln!(out, "id: {}", self.id);
        }
        if !self.name.is_empty() {
            let _ = writeln!(out, "event: {}", self.name);
        }
        for line in self.data.split('\n') {
            let _ = writeln!(out, "data: {line}");
        }
        out.push('\n');
    }
}

/// The comment that keeps a silent stream visibly alive.
pub const KEEP_ALIVE: &str = ": keep-alive\n\n";

/// One event as it lies in the receive buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View<'a> {
    /// The `id` field; empty where absent.
    pub id: &'a str,
    /// The `event` field; empty where absent.
    pub name: &'a str,
    /// The first `data` field.
    pub data: &'a str,
}

/// Takes a byte stream apart into events.
///
/// An event may arrive in any number of pieces. Comments are skipped. Bytes of an unfinished event
/// are bounded by the limit given; beyond it the stream counts as malformed.
#[derive(Debug)]
pub struct Decoder {
    buffer: Vec<u8>,
    limit: usize,
}

/// The stream holds an event larger than the limit, or bytes that are no UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("event stream is malformed; the sender must write UTF-8 events below the size limit")]
pub struct StreamError;

impl Decoder {
    /// Opens a decoder that holds at most `limit` bytes of an unfinished event.
    pub fn open(limit: usize) -> Self {
        Self { buffer: Vec::new(), limit }
    }

    /// Takes in bytes and returns the events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Event>, StreamError> {
        let mut events = Vec::new();
        self.blocks(bytes, |block| events.extend(parse(block)))?;
        Ok(events)
    }

    /// Takes in bytes and shows each event that they complete, without copying it.
    ///
    /// For streams whose events hold a single line of data, as those of engines do.
    pub fn each(&mut self, bytes: &[u8], mut see: impl FnMut(View<'_>)) -> Result<(), StreamError> {
        self.blocks(bytes, |block| {
            if let Some(view) = view(block) {
                see(view);
            }
        })
    }

    fn blocks(&mut self, bytes: &[u8], mut see: impl FnMut(&str)) -> Result<(), StreamError> {
        if self.buffer.is_empty() {
            // The usual case: whole events in one read, which are looked at where they lie.
            let taken = blocks(bytes, &mut see)?;
            self.buffer.extend_from_slice(&bytes[taken..]);
        } else {
            self.buffer.extend_from_slice(bytes);
            let taken = blocks(&self.buffer, &mut see)?;
            self.buffer.drain(..taken);
        }
        if self.buffer.len() > self.limit {
            return Err(StreamError);
        }
        Ok(())
    }
}

/// Shows each finished block and returns how many bytes they took.
fn blocks(bytes: &[u8], see: &mut impl FnMut(&str)) -> Result<usize, StreamError> {
    let mut start = 0;
    for end in memchr::memmem::find_iter(bytes, b"\n\n") {
        // Three line ends in a row are found twice; the second has already been taken.
        if end < start {
            continue;
        }
        see(std::str::from_utf8(&bytes[start..end]).map_err(|_| StreamError)?);
        start = end + 2;
    }
    Ok(start)
}

fn field(line: &str) -> (&str, &str) {
    let (field, value) = line.split_once(':').unwrap_or((line, ""));
    (field, value.strip_prefix(' ').unwrap_or(value))
}

fn view(block: &str) -> Option<View<'_>> {
    let mut view = View::default();
    for line in block.split('\n') {
        match field(line) {
            ("id", value) => view.id = value,
            ("event", value) => view.name = value,
            ("data", value) => view.data = value,
            _ => {}
        }
    }
    (!view.data.is_empty() || !view.name.is_empty()).then_some(view)
}

fn parse(block: &str) -> Option<Event> {
    let mut event = Event::default();
    let mut seen = false;
    for line in block.lines() {
        match field(line) {
            ("id", value) => value.clone_into(&mut event.id),
            ("event", value) => value.clone_into(&mut event.name),
            ("data", value) => {
                if seen {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                seen = true;
            }
            _ => {}
        }
    }
    (seen || !event.name.is_empty()).then_some(event)
}
