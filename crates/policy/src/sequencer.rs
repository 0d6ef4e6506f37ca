//! Selects the tokens that belong to the answer of one request.
//!
//! A token is accepted only when its generation and its offset are the next expected ones. Tokens
//! that are late, belong to another stream or were sent again over a resumed link are dropped and
//! never reach a caller.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};

use crate::id;

/// A position in an answer: the offset of a token within one generation.
///
/// It is the SSE id of the token's event, written `GENERATION:OFFSET`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Position {
    /// The generation.
    pub generation: id::Generation,
    /// The token's offset, from zero.
    pub offset: u64,
}

/// A text that is not a valid position.
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

/// Accepts each token of one generation once and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sequencer {
    next: Position,
}

impl Sequencer {
    /// Creates a sequencer that expects the token at offset `from` of `generation` first.
    pub fn open(generation: id::Generation, from: u64) -> Self {
        Self { next: Position { generation, offset: from } }
    }

    /// Returns the next expected position.
    pub fn next(&self) -> Position {
        self.next
    }

    /// Returns whether the token at `position` is the next one; if so, the following position is
    /// expected from now on.
    pub fn accept(&mut self, position: Position) -> bool {
        // Prevents duplicated tokens and tokens of another stream, which would show as repeated or
        // foreign lines: only the one expected position is accepted.
        if position != self.next {
            return false;
        }
        self.next.offset += 1;
        true
    }

    /// Returns whether an end mark that counts `tokens` ends this answer.
    ///
    /// An end mark that arrives before the last token, or that counts fewer tokens than were
    /// accepted, belongs to another stream; accepting it would silently truncate the answer.
    pub fn is_end(&self, tokens: u64) -> bool {
        tokens == self.next.offset
    }
}
