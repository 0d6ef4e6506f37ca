//! Features of requests that engines crashed on, as this process knows them.

use fireflyhoist_policy::feature::Feature;
use fireflyhoist_policy::poison::{Decision, Incarnation};
use fireflyhoist_policy::suspicion::{Evidence, Ledger, Update};
use fireflyhoist_policy::time::Time;
use parking_lot::Mutex;

use crate::process::state::Process;

/// Most features that are told to an entry whose link has just opened.
const MAX_SNAPSHOT_FEATURES: usize = 500;

/// The ledger of features that engines crashed on.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    ledger: Mutex<Ledger>,
}

impl Process {
    /// Records that an engine crashed at `at` on a run with these features that had written nothing.
    pub(super) fn record_feature_crash(
        &self,
        at: Time,
        incarnation: Incarnation,
        features: &[Feature],
    ) {
        if !features.is_empty() {
            let now = self.clock.now();
            self.suspicions.ledger.lock().record_crash(now, at, incarnation, features);
        }
    }

    /// Records the first event of a run with these features.
    pub(crate) fn record_first_event(&self, features: &[Feature]) {
        self.suspicions.ledger.lock().record_first_event(self.clock.now(), features);
    }

    /// Decides whether a request with these features is sent, sent as a trial or refused.
    pub(crate) fn decide_features(&self, features: &[Feature]) -> Decision {
        self.suspicions.ledger.lock().decide(self.clock.now(), features)
    }

    /// Returns why a request with these features is held back, if it is.
    pub(crate) fn feature_evidence(&self, features: &[Feature]) -> Option<Evidence> {
        self.suspicions.ledger.lock().evidence(self.clock.now(), features)
    }

    /// Grants a trial of features if one is due. Only the entry that decides for all calls it.
    pub(crate) fn try_feature_trial(&self, features: &[Feature]) -> Decision {
        let decision = self.suspicions.ledger.lock().try_trial(self.clock.now(), features);
        self.request_heartbeat();
        decision
    }

    /// Returns the number of features that requests are held back for.
    pub(crate) fn suspect_features(&self) -> usize {
        self.suspicions.ledger.lock().suspects()
    }

    /// Applies what another entry tells; returns whether any of it was new.
    pub(crate) fn apply_suspicions(&self, updates: &[Update]) -> bool {
        self.suspicions.ledger.lock().apply(self.clock.now(), updates)
    }

    /// Takes what is due to be told to other entries.
    pub(crate) fn take_suspicions(&self) -> Vec<Update> {
        self.suspicions.ledger.lock().take_updates(self.clock.now())
    }

    /// Returns what an entry whose link has just opened has to know.
    pub(crate) fn suspicion_snapshot(&self) -> Vec<Update> {
        self.suspicions.ledger.lock().snapshot(self.clock.now(), MAX_SNAPSHOT_FEATURES)
    }
}
