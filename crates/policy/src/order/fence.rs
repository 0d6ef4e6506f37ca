//! Fencing numbers: the engine takes an order only with a number above all it has seen.
//!
//! A number is made of the version's [`Mark`] and a count. A steward whose version is older than
//! the mark of the highest number at an engine finds itself behind and orders nothing, so that
//! stewards of two versions cannot outbid one another for as long as a partition lasts.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Bits that count the orders of one version to one engine.
///
/// An engine that fails to load is ordered again every few seconds: 65,536 last for days.
const COUNT_BITS: u32 = 16;

/// Bits of the digest, which decide between two texts of one revision.
const DIGEST_BITS: u32 = 8;

/// The largest revision that fits, above seconds since 1970 by a factor of 600.
pub const MAX_REVISION: u64 = (1 << (64 - COUNT_BITS - DIGEST_BITS)) - 1;

/// Why there is no number to order with.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum FenceError {
    /// The engine has taken an order of a newer version.
    #[display("the engine was ordered by a newer version; this entry waits until it has that one")]
    Behind,
    /// All numbers of this version are used up.
    #[display("65536 orders of this version went to the engine; publish the next revision")]
    Exhausted,
    /// The revision does not fit into a number.
    #[display("revision {revision} is above 1099511627775; publish a smaller one")]
    Revision {
        /// The revision of the text.
        revision: u64,
    },
}

/// A version as it stands in fencing numbers; marks order as versions do.
///
/// Two texts of one revision whose digests begin with the same byte share a mark. Their stewards
/// can outbid one another until the versions have met.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Mark(u64);

impl Mark {
    /// The mark of a version.
    pub fn of(revision: u64, digest: &[u8]) -> Result<Self, FenceError> {
        if revision > MAX_REVISION {
            return Err(FenceError::Revision { revision });
        }
        let first = digest.first().copied().unwrap_or_default();
        Ok(Self(revision << DIGEST_BITS | u64::from(first)))
    }
}

/// A fencing number.
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
#[serde(transparent)]
pub struct Fence(u64);

impl Fence {
    /// Wraps a number that an engine reported.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The version whose order carried it.
    pub fn mark(self) -> Mark {
        Mark(self.0 >> COUNT_BITS)
    }

    /// The number for the next order of version `mark` to an engine that reports `self` as its
    /// highest.
    pub fn next(self, mark: Mark) -> Result<Self, FenceError> {
        if self.mark() > mark {
            return Err(FenceError::Behind);
        }
        let first = Self(mark.0 << COUNT_BITS);
        let next = Self(self.0.saturating_add(1)).max(first);
        match next.mark() == mark && next > self {
            true => Ok(next),
            false => Err(FenceError::Exhausted),
        }
    }
}
