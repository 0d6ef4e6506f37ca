//! Which version is in force, which versions were refused, and whether two texts share a revision.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::version::{Stamp, Version};

/// The number of refusals that are kept; the one with the oldest revision is evicted first.
///
/// Enough for `status` to show a day in which every tenth of 840 changes is invalid, and small
/// enough to bound the state.
const MAX_REFUSED: usize = 84;

/// The decision about an offered version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the newest version seen and comes into force.
    Adopt,
    /// It is already in force.
    Same,
    /// A newer version is in force; an old text that arrives late changes nothing.
    Older,
    /// Its text is invalid; the version in force stays.
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
    /// Returns the version in force.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// Returns the stamp of the version in force, or the least stamp if there is none.
    pub fn stamp(&self) -> Stamp {
        self.in_force.map(|version| version.stamp()).unwrap_or_default()
    }

    /// Returns the newest refused version and the reason, if it is newer than the version in force.
    pub fn refusal(&self) -> Option<(&Version, &SmolStr)> {
        self.refused.last_key_value().filter(|(version, _)| Some(**version) > self.in_force)
    }

    /// Returns the last two different texts seen under one revision.
    pub fn conflict(&self) -> Option<(Version, Version)> {
        self.conflict
    }

    /// Returns whether to fetch the text of a stamp from a peer: it is newer than the one in force
    /// and was not refused.
    pub fn wants(&self, stamp: Stamp) -> bool {
        stamp > self.stamp() && !self.refused.keys().any(|version| version.stamp() == stamp)
    }

    /// Decides about a version whose text was validated; an invalid one comes with the reason.
    pub fn offer(&mut self, version: Version, validity: Result<(), SmolStr>) -> Verdict {
        if let Err(reason) = validity {
            self.refuse(version, reason);
            return Verdict::Refused;
        }
        let Some(current) = self.in_force else {
            self.in_force = Some(version);
            return Verdict::Adopt;
        };
        // Two operators published different texts under one revision. The order of versions decides
        // the same everywhere, and the conflict is reported.
        if current != version && current.revision() == version.revision() {
            self.conflict = Some((current.min(version), current.max(version)));
        }
        // A stale platform or a peer behind a partition may offer an old text late, which would
        // restore a removed service or limit. Only a greater version is ever adopted, so no order
        // of arrival can restore an old one.
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
