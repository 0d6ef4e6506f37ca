//! Names and ids of the system's objects.
//!
//! Each kind has its own type, so that a host cannot be passed where a target is expected.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The longest name in bytes; it bounds the size of gossip frames and log lines.
pub const MAX_NAME_BYTES: usize = 64;

/// Why a text is not a valid name.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    #[display("name is empty; give it 1 to 64 characters of a-z, 0-9, '-', '_' or '.'")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[display("name has {length} bytes; shorten it to at most 64")]
    TooLong {
        /// The length found, in bytes.
        length: usize,
    },
    /// The name holds a character outside the permitted set.
    #[display("name holds {found:?}; use only a-z, 0-9, '-', '_' and '.'")]
    InvalidCharacter {
        /// The first character that is not permitted.
        found: char,
    },
}

fn validate(text: &str) -> Result<SmolStr, NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { length: text.len() });
    }
    let permitted = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|c| !permitted(*c)) {
        Some(found) => Err(NameError::InvalidCharacter { found }),
        None => Ok(SmolStr::new(text)),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                validate(text).map(Self)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = NameError;

            fn try_from(text: SmolStr) -> Result<Self, Self::Error> {
                validate(&text).map(Self)
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    )*};
}

names! {
    /// A machine of the fleet, as the platform's host list names it.
    Host,
    /// A failure domain (`hala-a`, `sal-b`): hosts that may be lost together.
    Domain,
    /// A customer or team whose requests share one weight and one set of limits.
    Workspace,
    /// A service that the operators' text declares.
    Service,
    /// One back end of a service: an engine replica or a plain server.
    Target,
    /// A model, adapter included, that engines may be ordered to load.
    Model,
}

macro_rules! random_ids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(u128);

        impl $name {
            /// Wraps a number that the caller drew at random.
            pub const fn new(number: u128) -> Self {
                Self(number)
            }

            /// Returns the number, for hashing and for frames.
            pub const fn get(self) -> u128 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_hex(text).map(Self)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, Self::Error> {
                parse_hex(&text).map(Self)
            }
        }

        impl From<$name> for SmolStr {
            fn from(number: $name) -> Self {
                smol_str::format_smolstr!("{number}")
            }
        }
    )*};
}

/// A text that is not a 128-bit id.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("id is not 32 hexadecimal digits; pass it on exactly as it was received")]
pub struct IdError;

fn parse_hex(text: &str) -> Result<u128, IdError> {
    let plain = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !plain {
        return Err(IdError);
    }
    u128::from_str_radix(text, 16).map_err(|_| IdError)
}

random_ids! {
    /// One request as one entry sees it; every log line of the request has it.
    Request,
    /// One generation: the stream id that the entry chose for one attempt at one engine.
    Generation,
    /// One run of an entry's process, from its start to its end.
    Instance,
}
