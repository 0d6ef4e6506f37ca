//! Versions of the text and their total order.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A version of the text: revision first, then digest, so that any two differ in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    revision: u64,
    digest: [u8; 32],
}

impl Version {
    /// The version of a text published as `source` with `revision`.
    pub fn of(revision: u64, source: &str) -> Self {
        Self { revision, digest: Sha256::digest(source.as_bytes()).into() }
    }

    /// The revision.
    pub fn revision(&self) -> u64 {
        self.revision
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
