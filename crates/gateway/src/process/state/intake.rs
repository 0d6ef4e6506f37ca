//! What targets say they take, as this process knows it.

use fireflyhoist_policy::intake::Said;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::time::Time;

use crate::process::state::Process;

impl Process {
    /// Takes in what the answer to a request that was sent at `sent` says of its target's limit.
    pub(crate) fn note_limit(&self, target: &Target, sent: Time, said: Said) {
        if said == Said::Unreadable {
            ::log::debug!(target:% = target.id; "limit of a target can't be read");
        }
        let mut intake = self.intake.lock();
        if !intake.answered(self.clock.now(), target, sent, said) {
            return;
        }
        let limit = intake.limit(&target.id);
        drop(intake);
        match limit {
            Some(rate) => {
                ::log::info!(target:% = target.id, per_s:% = rate; "target names a limit")
            }
            None => ::log::info!(target:% = target.id; "target names no limit any more"),
        }
    }

    /// Targets that name a limit.
    pub(crate) fn limited_targets(&self) -> usize {
        self.intake.lock().limited()
    }
}
