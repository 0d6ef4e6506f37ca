//! A text cut into sections by content, so that a change moves only what it touches.
//!
//! A text of a megabyte sent whole to each of 330 nodes 840 times a day costs 10 KB/s a node, five
//! times the budget of `docs/CAPACITY.md`. Cut into sections of about four kilobytes, a change of
//! one workspace moves one section and the manifest: about 8 KB instead of a megabyte.
//!
//! Cuts lie before lines whose own hash says so, never at fixed offsets, so that an item inserted
//! in front shifts no later section. Where cuts fall means nothing to the text: the sections joined
//! are the source byte for byte, and the version's digest proves it.

use std::collections::BTreeMap;
use std::fmt;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Sections grow to this size in bytes before they may end, so that lines which repeat (`weight =
/// 1`) and happen to be cuts do not shred the text.
const MIN_SECTION: usize = 2 << 10;

/// A section ends here in any case: where no line is a cut, a change still moves no more than this.
const MAX_SECTION: usize = 16 << 10;

/// One in so many lines may begin a section: some 30 bytes a line make two kilobytes beyond the
/// least. The manifest's 16 bytes a section and one section moved then cost about the same.
const CUT: u16 = 64;

/// The digest of one section: SHA-256 cut to 16 bytes, beyond reach of accidents; whoever joins
/// sections proves the whole against the version's full digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> Self {
        let whole = Sha256::digest(bytes);
        let mut short = [0; 16];
        short.copy_from_slice(&whole[..16]);
        Self(short)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Why sections do not make a text yet.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum JoinError {
    /// Sections of the manifest are not held.
    #[display("{count} sections are missing; fetch them from a peer that has the version")]
    Missing {
        /// How many.
        count: usize,
    },
    /// The joined sections are no text.
    #[display("joined sections are not UTF-8; fetch the version from another peer")]
    Encoding,
}

/// Which sections make a text, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest(Vec<Digest>);

impl Manifest {
    /// The digests in order; one may stand twice.
    pub fn digests(&self) -> &[Digest] {
        &self.0
    }
}

/// Sections held, by digest.
#[derive(Clone, Debug, Default)]
pub struct Store(BTreeMap<Digest, Vec<u8>>);

impl Store {
    /// Cuts a source into sections, keeps them and says how to join them again.
    pub fn split(&mut self, source: &str) -> Manifest {
        let sections = split(source.as_bytes()).into_iter();
        Manifest(sections.map(|section| self.insert(section.to_vec())).collect())
    }

    /// Keeps one section under the digest of its bytes, whatever its sender called it.
    pub fn insert(&mut self, section: Vec<u8>) -> Digest {
        let digest = Digest::of(&section);
        self.0.insert(digest, section);
        digest
    }

    /// The section of this digest.
    pub fn get(&self, digest: Digest) -> Option<&[u8]> {
        self.0.get(&digest).map(Vec::as_slice)
    }

    /// Sections of a manifest that are not held, each once.
    pub fn missing(&self, manifest: &Manifest) -> Vec<Digest> {
        let mut missing: Vec<Digest> =
            manifest.0.iter().filter(|digest| !self.0.contains_key(digest)).copied().collect();
        missing.sort_unstable();
        missing.dedup();
        missing
    }

    /// Joins a manifest's sections into the source they were cut from.
    pub fn join(&self, manifest: &Manifest) -> Result<String, JoinError> {
        let held: Vec<&[u8]> = manifest.0.iter().filter_map(|digest| self.get(*digest)).collect();
        if held.len() < manifest.0.len() {
            return Err(JoinError::Missing { count: self.missing(manifest).len() });
        }
        String::from_utf8(held.concat()).map_err(|_| JoinError::Encoding)
    }

    /// Forgets sections that none of these manifests names.
    pub fn retain(&mut self, manifests: &[&Manifest]) {
        self.0.retain(|digest, _| manifests.iter().any(|m| m.0.contains(digest)));
    }
}

/// Cuts bytes into sections that joined are the same bytes.
fn split(source: &[u8]) -> Vec<&[u8]> {
    let mut sections = Vec::new();
    let (mut start, mut at) = (0, 0);
    for line in source.split_inclusive(|byte| *byte == b'\n') {
        let size = at - start;
        if size + line.len() > MAX_SECTION || (size >= MIN_SECTION && is_cut(line)) {
            sections.push(&source[start..at]);
            start = at;
        }
        at += line.len();
    }
    sections.push(&source[start..]);
    sections
}

fn is_cut(line: &[u8]) -> bool {
    let digest = Digest::of(line).0;
    u16::from_le_bytes([digest[0], digest[1]]) < u16::MAX / CUT
}
