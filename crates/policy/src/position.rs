//! Positions in the registry's history.
//!
//! A registry may be restored from an older copy. Its revisions then go back and are reused, so a
//! revision alone does not show which of two readings is newer. The registry counts its restores
//! and announces the count as its era; a reading of a later era is newer whatever its revision.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A revision within an era; the era is 0 where the registry announces none.
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

/// The encoded form: a plain revision in era 0, which older releases can decode.
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
    /// Creates the position of a revision in an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns how often the registry had been restored from a copy.
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the revision within the era.
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Returns whether this position's era is later than the other's.
    pub const fn has_later_era_than(self, other: Self) -> bool {
        self.era > other.era
    }
}

/// A text that is not a valid position.
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
