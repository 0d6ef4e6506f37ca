//! Which version is in force, which were refused, and whether two texts share a revision.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::version::{Stamp, Version};

/// Refusals that are remembered; the oldest revision is forgotten first.
///
/// Enough for a day in which every tenth of 840 changes is wrong to show in `status`, and small
/// enough to bound the state.
const MAX_REFUSED: usize = 84;

/// What becomes of a version that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the newest seen: put it in force.
    Adopt,
    /// It is the one in force.
    Same,
    /// A newer one is in force; an old text that comes late changes nothing.
    Older,
    /// Its text is invalid; the one in force stays.
    Refused,
}

/// The versions that one process has seen.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    in_force: Option<Version>,
    refused: BTreeMap<Version, SmolStr>,
    conflict: Option<(Version, Version)>,
}

impl Tracker {
    /// The version in force.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// The short form of the version in force; the least stamp where there is none.
    pub fn stamp(&self) -> Stamp {
        self.in_force.map(|version| version.stamp()).unwrap_or_default()
    }

    /// The newest refused version and why, if it is newer than the one in force.
    pub fn refusal(&self) -> Option<(&Version, &SmolStr)> {
        self.refused.last_key_value().filter(|(version, _)| Some(**version) > self.in_force)
    }

    /// The last two different texts seen under one revision.
    pub fn conflict(&self) -> Option<(Version, Version)> {
        self.conflict
    }

    /// Whether the text behind a stamp is worth fetching from a peer.
    pub fn wants(&self, stamp: Stamp) -> bool {
        stamp > self.stamp() && !self.refused.keys().any(|version| version.stamp() == stamp)
    }

    /// Decides about a version whose text was found valid, or not, with the reason.
    pub fn offer(&mut self, version: Version, validity: Result<(), SmolStr>) -> Verdict {
        if let Err(reason) = validity {
            self.refuse(version, reason);
            return Verdict::Refused;
        }
        let Some(current) = self.in_force else {
            self.in_force = Some(version);
            return Verdict::Adopt;
        };
        // Two operators published at once: the order decides everywhere alike, and it is told.
        if current != version && current.revision() == version.revision() {
            self.conflict = Some((current.min(version), current.max(version)));
        }
        // The failure: a stale platform or a peer behind a partition offers an old text late. It
        // would show as a service or limit that comes back after its removal. Only a greater
        // version is ever taken, so no order of arrival can bring one back.
        if version < current {
            return Verdict::Older;
        }
        if version == current {
            return Verdict::Same;
        }
        self.in_force = Some(version);
        Verdict::Adopt
    }

    fn refuse(&mut self, version: Version, reason: SmolStr) {
        self.refused.insert(version, reason);
        if self.refused.len() > MAX_REFUSED {
            self.refused.pop_first();
        }
    }
}
