//! Tracks the era and the revision of the registry's replies.

use std::sync::Arc;

use fireflyhoist_policy::position::Position;

use crate::process::state::Process;

/// Era and revision of the registry as one watcher has seen them.
#[derive(Debug)]
pub(crate) struct History {
    process: Arc<Process>,
    /// The position of the latest reply.
    latest: Position,
    /// The latest lower era that the registry reported, so that it is logged once.
    lowered_era: Option<u64>,
}

impl History {
    pub(crate) fn open(process: &Arc<Process>) -> Self {
        Self { process: Arc::clone(process), latest: Position::default(), lowered_era: None }
    }

    /// Returns the era of a reply to a call that was made when the era `known` was known.
    ///
    /// Where the registry reports no era, or one below `known`, its report cannot be relied on. The
    /// reply then counts as of the known era, and [`Self::resolve_position`] raises the era
    /// whenever revisions go back.
    pub(crate) fn resolve_era(&mut self, known: u64, reported: Option<u64>) -> u64 {
        match reported {
            Some(era) if era >= known => {
                self.process.raise_era(era, "registry");
                era
            }
            reported => {
                if reported.is_some() && reported != self.lowered_era {
                    ::log::warn!(known = known, said = reported; "registry reported a lower era; relying on its revisions");
                    self.lowered_era = reported;
                }
                self.process.era()
            }
        }
    }

    /// Returns the position of a reply. A revision below that of the previous reply means a later
    /// era, whatever the registry reports.
    pub(crate) fn resolve_position(&mut self, era: u64, revision: u64) -> Position {
        let mut position = Position::new(era, revision);
        if position.era() == self.latest.era() && revision < self.latest.revision() {
            ::log::warn!(
                seen:% = self.latest, told:% = position;
                "registry's revisions went back; reading everything again"
            );
            let era = era.saturating_add(1);
            position = Position::new(era, revision);
            self.process.raise_era(era, "revisions");
        }
        self.latest = position;
        position
    }
}
