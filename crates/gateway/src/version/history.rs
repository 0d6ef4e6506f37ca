//! Where the registry's replies stand in its history.

use std::sync::Arc;

use fireflyhoist_policy::position::Position;

use crate::process::state::Process;

/// The history of the registry as one follower reads it.
#[derive(Debug)]
pub(crate) struct History {
    process: Arc<Process>,
    /// Where the latest reply stood.
    seen: Position,
    /// An era that the registry went back to, which so says nothing any more.
    fallen: Option<u64>,
}

impl History {
    pub(crate) fn open(process: &Arc<Process>) -> Self {
        Self { process: Arc::clone(process), seen: Position::default(), fallen: None }
    }

    /// The era of a reply to a call that was made when `known` was.
    ///
    /// A registry that says nothing, or less than was known before it was asked, can't be gone by: its
    /// replies count as of the era that is known, which its revisions raise where they go back.
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

    /// Where a reply stands; a revision below that of the reply before is of a later era, whatever the
    /// registry says.
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
