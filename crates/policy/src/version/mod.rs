//! Versions of the operators' text: order, acceptance, readiness, watchers and transfer.
//!
//! Every process keeps the maximum of the valid versions that it has seen. The maximum is a join
//! over a semilattice, so a version never goes back, whatever the order of arrival, stale reads or
//! healing partitions.
//!
//! The design size is 840 changes a day of a text of up to a megabyte, read by 330 processes from a
//! service that answers 2,000 reads a second in all. A bounded number of watchers keeps most
//! processes from waiting at that service, and transfer by sections keeps a change from costing
//! each process a megabyte.

mod fetch;
mod readiness;
mod tracker;
mod watch;

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

pub use fetch::Fetch;
pub use readiness::{Contact, Readiness, Standing};
pub use tracker::{Tracker, Verdict};
pub use watch::{WATCHERS_PER_DOMAIN, is_watcher, poll_interval};

/// A version of the text, ordered by revision and then by digest, so that the order is total.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    revision: u64,
    digest: [u8; 32],
}

impl Version {
    /// Returns the version of the text `source` published with `revision`.
    pub fn of(revision: u64, source: &str) -> Self {
        Self { revision, digest: Sha256::digest(source.as_bytes()).into() }
    }

    /// Returns the revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the SHA-256 digest of the text as published.
    pub fn digest(&self) -> &[u8] {
        &self.digest
    }

    /// Returns the short form that heartbeats carry.
    pub fn stamp(&self) -> Stamp {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.digest[..8]);
        Stamp { revision: self.revision, prefix: u64::from_be_bytes(prefix) }
    }
}

impl Ord for Version {
    fn cmp(&self, other: &Self) -> Ordering {
        self.revision.cmp(&other.revision).then_with(|| self.digest.cmp(&other.digest))
    }
}

impl PartialOrd for Version {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-", self.revision)?;
        self.digest[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A version shortened to 16 bytes: the revision and the first 8 bytes of the digest.
///
/// The order is the same as that of [`Version`], except where the first 64 bits of two digests
/// collide.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    revision: u64,
    prefix: u64,
}

impl Stamp {
    /// Returns the least stamp of a revision, for versions that are announced by their revision
    /// alone.
    pub fn least(revision: u64) -> Self {
        Self { revision, prefix: 0 }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:012x}", self.revision, self.prefix >> 16)
    }
}
