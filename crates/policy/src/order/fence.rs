//! Fencing numbers: an engine accepts an order only if its number is above every number it has
//! seen.
//!
//! A number consists of the version's [`Epoch`] and a counter. An owner whose version is older than
//! the epoch of the highest number at an engine gets no number and orders nothing. Owners of two
//! versions therefore cannot keep overriding one another during a partition.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Bits that count the orders of one version to one engine.
///
/// An engine that fails to load is ordered again every few seconds, so 65,536 orders last for days.
const COUNT_BITS: u32 = 16;

/// Bits of the digest; they decide between two texts of one revision.
const DIGEST_BITS: u32 = 8;

/// The largest revision that fits. It exceeds seconds since 1970 by a factor of 600, so revisions
/// may be Unix timestamps.
pub const MAX_REVISION: u64 = (1 << (64 - COUNT_BITS - DIGEST_BITS)) - 1;

/// Why no fencing number can be issued.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum FenceError {
    /// The engine has accepted an order of a newer version.
    #[display("the engine was ordered by a newer version; this entry waits until it has that one")]
    Outdated,
    /// All numbers of this version are used up.
    #[display("65536 orders of this version went to the engine; publish the next revision")]
    Exhausted,
    /// The revision does not fit into a fencing number.
    #[display("revision {revision} is above 1099511627775; publish a smaller one")]
    RevisionTooLarge {
        /// The revision of the text.
        revision: u64,
    },
}

/// The part of a fencing number that identifies a version; epochs order as versions do.
///
/// Two texts of one revision whose digests begin with the same byte share an epoch. Their owners
/// can override one another until every entry has converged on one of the two versions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(u64);

impl Epoch {
    /// Returns the epoch of a version.
    ///
    /// # Errors
    ///
    /// [`FenceError::RevisionTooLarge`] where `revision` is above [`MAX_REVISION`].
    pub fn of(revision: u64, digest: &[u8]) -> Result<Self, FenceError> {
        if revision > MAX_REVISION {
            return Err(FenceError::RevisionTooLarge { revision });
        }
        let first = digest.first().copied().unwrap_or_default();
        Ok(Self(revision << DIGEST_BITS | u64::from(first)))
    }
}

/// A fencing number: an epoch in the high bits and a counter in the low bits.
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

    /// Returns the epoch of the version that this number was issued for.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> COUNT_BITS)
    }

    /// Returns the number for the next order of epoch `epoch` to an engine that reports `self` as
    /// its highest.
    ///
    /// # Errors
    ///
    /// [`FenceError::Outdated`] where the engine has accepted a newer version, and
    /// [`FenceError::Exhausted`] where the counter of this epoch is used up.
    pub fn next(self, epoch: Epoch) -> Result<Self, FenceError> {
        if self.epoch() > epoch {
            return Err(FenceError::Outdated);
        }
        let lowest = Self(epoch.0 << COUNT_BITS);
        let next = Self(self.0.saturating_add(1)).max(lowest);
        match next.epoch() == epoch && next > self {
            true => Ok(next),
            false => Err(FenceError::Exhausted),
        }
    }
}
