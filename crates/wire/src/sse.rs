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
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = blank_line(&self.buffer[start..]) {
            let block = &self.buffer[start..start + end];
            let text = std::str::from_utf8(block).map_err(|_| StreamError)?;
            events.extend(parse(text));
            start += end + 2;
        }
        self.buffer.drain(..start);
        if self.buffer.len() > self.limit {
            return Err(StreamError);
        }
        Ok(events)
    }
}

fn blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}

fn parse(block: &str) -> Option<Event> {
    let mut event = Event::default();
    let mut seen = false;
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => value.clone_into(&mut event.id),
            "event" => value.clone_into(&mut event.name),
            "data" => {
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
