//! Removes from a JSON body, while it arrives, what no sound entry of a registry holds.
//!
//! An entry of the registry may be larger than any reply that a small host can keep. The list that
//! has it would never be read, and all other entries of the list with it.

use crate::connection::buffer::{Buffer, Overfull};

/// Lists and objects that are nested deeper than this are replaced with `null`.
const MAX_DEPTH: u32 = 64;

/// What replaces a string that is too long; no name, number or value of an entry begins like this.
const TOO_LONG: &[u8] = b"!too long";

/// A filter for one body.
#[derive(Debug)]
pub(crate) struct Filter {
    /// The longest string that is kept, in bytes.
    max_string: usize,
    depth: u32,
    state: State,
}

/// Where in the body the next byte is.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Outside of strings.
    Plain,
    /// In a string that is kept so far.
    String { bytes: usize, escaped: bool },
    /// In a string that is too long.
    LongString { escaped: bool },
    /// In a part that is nested too deeply.
    Deep { levels: u32, string: Option<Escaped> },
}

/// Whether the next byte of a string is escaped.
type Escaped = bool;

/// What happens to one byte.
enum Action {
    Keep,
    Drop,
    /// The kept bytes of the string so far, of this number, are replaced.
    ReplaceString(usize),
    /// The part that begins is replaced.
    ReplacePart,
}

impl Filter {
    pub(crate) fn new(max_string: usize) -> Self {
        Self { max_string, depth: 0, state: State::Plain }
    }

    /// Adds the next bytes of the body to `out`.
    pub(crate) fn extend(&mut self, bytes: &[u8], out: &mut Buffer) -> Result<(), Overfull> {
        let mut kept_from = None;
        for (at, byte) in bytes.iter().enumerate() {
            let action = self.step(*byte);
            if matches!(action, Action::Keep) {
                kept_from.get_or_insert(at);
                continue;
            }
            if let Some(from) = kept_from.take() {
                out.extend(&bytes[from..at])?;
            }
            match action {
                Action::Keep | Action::Drop => {}
                Action::ReplaceString(kept) => {
                    out.truncate(out.len() - kept);
                    out.extend(TOO_LONG)?;
                }
                Action::ReplacePart => out.extend(b"null")?,
            }
        }
        kept_from.map_or(Ok(()), |from| out.extend(&bytes[from..]))
    }

    fn step(&mut self, byte: u8) -> Action {
        let (state, action) = match self.state {
            State::Plain => self.step_plain(byte),
            State::String { bytes, escaped } => match (escaped, byte) {
                (false, b'"') => (State::Plain, Action::Keep),
                _ if bytes == self.max_string => {
                    let escaped = !escaped && byte == b'\\';
                    (State::LongString { escaped }, Action::ReplaceString(bytes))
                }
                (escaped, byte) => {
                    let escaped = !escaped && byte == b'\\';
                    (State::String { bytes: bytes + 1, escaped }, Action::Keep)
                }
            },
            State::LongString { escaped: false } if byte == b'"' => (State::Plain, Action::Keep),
            State::LongString { escaped } => {
                (State::LongString { escaped: !escaped && byte == b'\\' }, Action::Drop)
            }
            State::Deep { levels, string } => (step_deep(levels, string, byte), Action::Drop),
        };
        self.state = state;
        action
    }

    fn step_plain(&mut self, byte: u8) -> (State, Action) {
        match byte {
            b'"' => return (State::String { bytes: 0, escaped: false }, Action::Keep),
            b'[' | b'{' if self.depth == MAX_DEPTH => {
                return (State::Deep { levels: 1, string: None }, Action::ReplacePart);
            }
            b'[' | b'{' => self.depth += 1,
            b']' | b'}' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        (State::Plain, Action::Keep)
    }
}

fn step_deep(levels: u32, string: Option<Escaped>, byte: u8) -> State {
    match (string, byte) {
        (Some(false), b'"') => State::Deep { levels, string: None },
        (Some(escaped), byte) => State::Deep { levels, string: Some(!escaped && byte == b'\\') },
        (None, b'"') => State::Deep { levels, string: Some(false) },
        (None, b'[' | b'{') => State::Deep { levels: levels.saturating_add(1), string },
        (None, b']' | b'}') if levels == 1 => State::Plain,
        (None, b']' | b'}') => State::Deep { levels: levels - 1, string },
        (None, _) => State::Deep { levels, string },
    }
}
