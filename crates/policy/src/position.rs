//! Where in the registry's history something was read.
//!
//! A registry may come back from an older copy. Its revisions go back then and are given out again, so
//! a revision alone no longer says which of two readings is the newer one. It counts how often it came
//! back, its era, and says so; what is read of a later era is newer whatever its revision.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A revision of one era; 0 where the registry says nothing of eras.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{era}.{revision}")]
#[serde(from = "Wire", into = "Wire")]
pub struct Position {
    era: u64,
    revision: u64,
}

/// A position as entries write it: as a plain revision in the first era, which older releases read.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(untagged)]
enum Wire {
    Revision(u64),
    Position(u64, u64),
}

impl From<Wire> for Position {
    fn from(wire: Wire) -> Self {
        match wire {
            Wire::Revision(revision) => Self::new(0, revision),
            Wire::Position(era, revision) => Self::new(era, revision),
        }
    }
}

impl From<Position> for Wire {
    fn from(position: Position) -> Self {
        match position.era {
            0 => Self::Revision(position.revision),
            era => Self::Position(era, position.revision),
        }
    }
}

impl Position {
    /// A revision of an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// How often the registry had come back from a copy.
    pub const fn era(self) -> u64 {
        self.era
    }

    /// The revision within the era.
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Whether it is of a later era than another.
    pub const fn is_after(self, other: Self) -> bool {
        self.era > other.era
    }
}

/// A text that is no position.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{text:?} is no position; write ERA.REVISION or a revision")]
pub struct PositionError {
    text: String,
}

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        let read = |number: &str| number.parse::<u64>();
        let wrong = |_: ParseIntError| PositionError { text: text.to_owned() };
        Ok(Self::new(read(era).map_err(wrong)?, read(revision).map_err(wrong)?))
    }
}
