//! The sink of one request: which tokens belong to its answer.
//!
//! A token is taken only when its generation and its offset are the next expected, so tokens that
//! are late, crossed with another stream or doubled by a resumed link fall here and never reach a
//! caller. See `docs/DESIGN.md`, section "One answer from one generation".

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};

use crate::id;

/// A place in an answer: the offset of a token within one generation.
///
/// It is the SSE id of the token's event, written `GENERATION:OFFSET`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Position {
    /// The generation.
    pub generation: id::Generation,
    /// The token's offset from zero.
    pub offset: u64,
}

/// Why a text is no position.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("position is not GENERATION:OFFSET; pass on the last event id exactly as received")]
pub struct PositionError;

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.generation, self.offset)
    }
}

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (generation, offset) = text.split_once(':').ok_or(PositionError)?;
        let generation = generation.parse().map_err(|_| PositionError)?;
        let digits = !offset.is_empty() && offset.bytes().all(|b| b.is_ascii_digit());
        let offset = digits.then(|| offset.parse().ok()).flatten().ok_or(PositionError)?;
        Ok(Self { generation, offset })
    }
}

/// Takes the tokens of one generation once each and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sink {
    next: Position,
}

impl Sink {
    /// Opens a sink that expects the token at `from` of `generation` first.
    pub fn open(generation: id::Generation, from: u64) -> Self {
        Self { next: Position { generation, offset: from } }
    }

    /// The position expected next.
    pub fn next(&self) -> Position {
        self.next
    }

    /// Whether the token at `position` belongs next into the answer; it is expected no more then.
    pub fn take(&mut self, position: Position) -> bool {
        // Guards against doubled and crossed answers: they show as repeated or foreign lines on a
        // page. Equality with the one expected position leaves room for neither.
        if position != self.next {
            return false;
        }
        self.next.offset += 1;
        true
    }

    /// Whether an end that counts `tokens` ends this answer.
    ///
    /// An end mark that arrives before the last token, or that counts fewer than were taken, is
    /// of another stream; taking it would cut a page short without anybody noticing.
    pub fn ends(&self, tokens: u64) -> bool {
        tokens == self.next.offset
    }
}
