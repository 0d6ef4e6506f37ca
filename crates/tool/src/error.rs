//! Why a command could not do its work.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// A failure, in words that name the remedy.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A file cannot be read.
    #[display("{path}: cannot be read ({reason}); check the path and its permissions")]
    Read {
        /// The path as given.
        path: String,
        /// The operating system's words.
        reason: String,
    },
    /// No entry host answered.
    #[display(
        "none of {tried} entry hosts answered, the last said: {reason}; name others with --entry"
    )]
    Unreachable {
        /// How many were tried.
        tried: usize,
        /// What the last one did.
        reason: String,
    },
    /// An entry host answered something else.
    #[display("{address} answered {reason}; check that a fireflyhoistd of this release runs there")]
    Foreign {
        /// Who answered.
        address: SocketAddr,
        /// What it said.
        reason: String,
    },
    /// The HTTP client does not start.
    #[display("the HTTP client does not start; report this with your platform's name")]
    Client,
    /// Standard input or output failed.
    #[display("standard input or output failed ({reason}); check the pipe")]
    Pipe {
        /// The operating system's words.
        reason: String,
    },
    /// A request was refused or broke off for good.
    #[display("{reason}")]
    Answer {
        /// What was received, whether it ran and the remedy.
        reason: String,
    },
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Pipe { reason: error.to_string() }
    }
}
