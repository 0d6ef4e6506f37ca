//! Tracks the era and the revision of the registry's replies.

use std::sync::Arc;

use fireflyhoist_policy::position::Position;

use crate::process::state::Process;

/// Era and revision of the registry as one watcher has seen them.
#[derive(Debug)]
pub(crate) struct History {
    process: Arc<Process>,
    /// The position of the latest reply.
    seen: Position,
    /// The latest lower era that the registry reported, so that it is logged once.
    fallen: Option<u64>,
}

impl History {
    pub(crate) fn open(process: &Arc<Process>) -> Self {
        Self { process: Arc::clone(process), seen: Position::default(), fallen: None }
    }

    /// The era of a reply to a call that was made when the era `known` was known.
    ///
    /// Where the registry reports no era, or one below `known`, its report cannot be relied on. The
    /// reply then counts as of the known era, and [`Self::resolve_position`] raises the era
    /// whenever revisions go back.
    pub(crate) fn era(&mut self, known: u64, said: Option<u64>) -> u64 {
        match said {
            Some(era) if era >= known => {
                self.process.note_era(era, "registry");
                era
            }
            said => {
                if said.is_some() && said != self.fallen {
                    ::log::warn!(known = known, said = said; "registry's era fell; going by its revisions");
                    self.fallen = said;
                }
                self.process.era()
            }
        }
    }

    /// The position of a reply. A revision below that of the previous reply means a later era,
    /// whatever the registry reports.
    pub(crate) fn position(&mut self, era: u64, revision: u64) -> Position {
        let mut position = Position::new(era, revision);
        if position.era() == self.seen.era() && revision < self.seen.revision() {
            ::log::warn!(
                seen:% = self.seen, told:% = position;
                "registry's revisions went back; everything is read anew"
            );
            position = Position::new(era + 1, revision);
            self.process.note_era(era + 1, "revisions");
        }
        self.seen = position;
        position
    }
}
