//! Colour, on a terminal only.

use std::io::{IsTerminal, stdout};

/// What a colour says.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Tone {
    /// All is well.
    Good,
    /// Look today.
    Warning,
    /// Look at once.
    Bad,
}

/// Colours a text if standard output is a terminal and `NO_COLOR` is not set.
pub(crate) fn paint(tone: Tone, text: &str) -> String {
    let wanted = stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    if !wanted {
        return text.to_owned();
    }
    let code = match tone {
        Tone::Good => 32,
        Tone::Warning => 33,
        Tone::Bad => 31,
    };
    format!("\x1b[{code}m{text}\x1b[0m")
}
