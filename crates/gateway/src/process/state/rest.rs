//! Targets that asked this entry for rest.

use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::rest;

use crate::process::state::{Process, millis};

impl Process {
    /// Records that a target asked for rest: it gets nothing more from this entry until then.
    pub(crate) fn record_rest(&self, target: &Target, rest: Duration) {
        if !self.rests.lock().record(self.clock.now(), target, rest) {
            return;
        }
        ::log::info!(target:% = target.id, rest_ms = millis(rest); "target asks for rest");
        if let Some(gate) = self.gate(&target.service) {
            let wait = rest::return_after(&mut rand::rng(), rest);
            gate.suspend_target(&target.id, wait, Exclusion::Resting);
        }
    }

    /// Returns whether a target rests from this entry.
    pub(crate) fn is_resting(&self, target: &Target) -> bool {
        !self.rests.lock().remaining(self.clock.now(), target).is_zero()
    }
}
