//! From an engine's events to a caller's: the path that every token takes.
//!
//! A token costs one look at its event, one check by the sink and one copy of its text, which
//! stays in the JSON form that the engine wrote. Nothing is allocated for a single token.

use std::io::Write;

use fireflyhoist_policy::id;
use fireflyhoist_policy::sequencer::{Position, Sequencer};

use crate::engine::{End, RawToken};
use crate::sse::{Decoder, StreamError, View};

/// The largest event that an engine may send, in bytes.
const MAX_EVENT: usize = 256 * 1024;

/// What one read brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tokens taken.
    pub taken: u64,
    /// Tokens that were late, crossed or doubled and fell.
    pub fallen: u64,
    /// Whether the answer is complete.
    pub ended: bool,
    /// How often the engine preempted the generation, as its end mark says.
    pub preemptions: u32,
}

/// The answer of one generation on its way from engine to caller.
#[derive(Debug)]
pub struct Transcoder {
    decoder: Decoder,
    sink: Sequencer,
    piece: Piece,
    held: Option<Held>,
}

/// Texts of an answer that is kept until it is complete, as JSON strings, one a line.
#[derive(Debug, Default)]
struct Held {
    from: u64,
    texts: Vec<u8>,
}

impl Transcoder {
    /// Opens the way of `generation` from the token at `from` on; `hold` keeps the tokens until
    /// [`Transcoder::release`] or [`Transcoder::joined`] is called.
    pub fn open(generation: id::Generation, from: u64, hold: bool) -> Self {
        Self {
            decoder: Decoder::open(MAX_EVENT),
            sink: Sequencer::open(generation, from),
            piece: Piece::open(generation),
            held: hold.then(|| Held { from, texts: Vec::new() }),
        }
    }

    /// Forgets the unfinished event of a link that broke; the answer goes on at the next token.
    pub fn relink(&mut self) {
        self.decoder = Decoder::open(MAX_EVENT);
    }

    /// The position expected next.
    pub fn next(&self) -> Position {
        self.sink.next()
    }

    /// Bytes that are kept until the answer is complete.
    pub fn held(&self) -> usize {
        self.held.as_ref().map_or(0, |held| held.texts.len())
    }

    /// Takes in what an engine sent and appends what the caller should get to `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<Progress, StreamError> {
        let Self { decoder, sink, piece, held } = self;
        let mut progress = Progress::default();
        let mut malformed = false;
        decoder.each(bytes, |event| {
            if progress.ended || malformed {
                return;
            }
            match Said::read(event, sink.next().generation) {
                Some(Said::End(end)) if sink.is_end(end.tokens) => {
                    progress.ended = true;
                    progress.preemptions = end.preemptions;
                }
                Some(Said::End(_)) | None => malformed = true,
                Some(Said::Token(position, text)) if sink.accept(position) => {
                    progress.taken += 1;
                    match held {
                        Some(held) => held.keep(text),
                        None => piece.write(out, position.offset, text),
                    }
                }
                Some(Said::Token(..)) => progress.fallen += 1,
            }
        })?;
        if malformed { Err(StreamError) } else { Ok(progress) }
    }

    /// Hands over a held answer as events in chunks of about `size` bytes.
    pub fn release(&mut self, size: usize) -> Vec<Vec<u8>> {
        let Some(held) = self.held.take() else { return Vec::new() };
        let mut chunks = Vec::new();
        let mut out = Vec::with_capacity(size);
        for (index, text) in held.lines().enumerate() {
            self.piece.write(&mut out, held.from + index as u64, text);
            if out.len() >= size {
                chunks.push(std::mem::replace(&mut out, Vec::with_capacity(size)));
            }
        }
        chunks.push(out);
        chunks
    }

    /// Hands over a held answer as the body of one JSON answer.
    pub fn joined(&mut self) -> Vec<u8> {
        let held = self.held.take().unwrap_or_default();
        let mut out = Vec::with_capacity(held.texts.len() + self.piece.before.len() + 64);
        out.extend_from_slice(self.piece.before.as_bytes());
        out.push(b'"');
        for text in held.lines() {
            out.extend_from_slice(&text.as_bytes()[1..text.len() - 1]);
        }
        out.extend_from_slice(b"\",\"finish_reason\":\"stop\"}]}");
        out
    }
}

impl Held {
    fn keep(&mut self, text: &str) {
        self.texts.extend_from_slice(text.as_bytes());
        self.texts.push(b'\n');
    }

    fn lines(&self) -> impl Iterator<Item = &str> {
        // Only whole texts are ever kept, so this is UTF-8 and each line is one JSON string.
        std::str::from_utf8(&self.texts).unwrap_or_default().lines()
    }
}

/// What one event of an engine says.
enum Said<'a> {
    Token(Position, &'a str),
    End(End),
}

impl<'a> Said<'a> {
    /// Reads an event; an id may name its generation, else it is that of the stream.
    fn read(event: View<'a>, generation: id::Generation) -> Option<Self> {
        if event.name == "end" {
            return serde_json::from_str(event.data).ok().map(Self::End);
        }
        let position = match event.id.contains(':') {
            true => event.id.parse().ok()?,
            false => Position { generation, offset: event.id.parse().ok()? },
        };
        let token: RawToken<'a> = serde_json::from_str(event.data).ok()?;
        let text = token.text.get();
        // A JSON string holds no line end, so the text fits one line of an event.
        text.starts_with('"').then_some(Self::Token(position, text))
    }
}

/// The form of one event for a caller.
#[derive(Debug)]
struct Piece {
    generation: String,
    before: String,
}

impl Piece {
    fn open(generation: id::Generation) -> Self {
        let before = format!(
            "{{\"id\":\"{generation}\",\"object\":\"text_completion\",\
             \"choices\":[{{\"index\":0,\"text\":"
        );
        Self { generation: generation.to_string(), before }
    }

    fn write(&self, out: &mut Vec<u8>, offset: u64, text: &str) {
        out.extend_from_slice(b"id: ");
        out.extend_from_slice(self.generation.as_bytes());
        // Writing into a vector cannot fail.
        let _ = write!(out, ":{offset}\ndata: ");
        out.extend_from_slice(self.before.as_bytes());
        out.extend_from_slice(text.as_bytes());
        out.extend_from_slice(b"}]}\n\n");
    }
}
