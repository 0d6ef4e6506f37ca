//! The versions of software that began streams, as this process knows them.

use std::collections::BTreeSet;

use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Software;
use fireflyhoist_policy::origin::{Key, Ledger, Lookups, Origin, Update};
use parking_lot::Mutex;

use crate::process::state::Process;

/// What is known of streams, and how often others were asked for more.
#[derive(Debug, Default)]
pub(super) struct Origins {
    ledger: Mutex<Ledger>,
    lookups: Mutex<Lookups>,
}

impl Process {
    /// Records that the first event of a stream was delivered.
    pub(crate) fn begin_stream(&self, key: Key, origin: Origin) {
        self.origins.ledger.lock().begin(self.clock.now(), key, origin);
    }

    /// Replaces the origin of a stream that is relayed here.
    pub(crate) fn correct_stream(&self, key: Key, origin: Origin) {
        self.origins.ledger.lock().correct(self.clock.now(), key, origin);
    }

    /// Records that a stream is no longer relayed here.
    pub(crate) fn end_stream(&self, key: Key) {
        self.origins.ledger.lock().end(self.clock.now(), key);
    }

    /// Returns which service and version began a stream, if this entry knows.
    pub(crate) fn origin(&self, key: Key) -> Option<Origin> {
        self.origins.ledger.lock().get(self.clock.now(), key)
    }

    /// Returns the streams that are relayed here, their origins, and whether these were corrected.
    pub(crate) fn open_streams(&self) -> Vec<(Key, Origin, bool)> {
        let ledger = self.origins.ledger.lock();
        ledger.open().map(|(key, origin, corrected)| (key, origin.clone(), corrected)).collect()
    }

    /// Applies the origins that another entry tells.
    pub(crate) fn apply_origins(&self, updates: Vec<Update>) {
        self.origins.ledger.lock().apply(self.clock.now(), updates);
    }

    /// Takes one lookup of an origin at the entries that should know it.
    pub(crate) fn try_look_up(&self, workspace: Option<&id::Workspace>) -> bool {
        self.origins.lookups.lock().try_take(self.clock.now(), workspace)
    }

    /// Takes one lookup of an origin at all other entries.
    pub(crate) fn try_look_up_widely(&self) -> bool {
        self.origins.lookups.lock().try_take_wide(self.clock.now())
    }

    /// Returns the targets of one version of a service that take new work.
    pub(crate) fn targets_of_version(
        &self,
        service: &id::Service,
        software: &Software,
    ) -> BTreeSet<id::Target> {
        self.leases.lock().of_version(service, software)
    }

    /// Returns whether the targets of a service have no versions, and had none lately.
    pub(crate) fn is_unversioned(&self, service: &id::Service) -> bool {
        self.leases.lock().is_unversioned(self.clock.now(), service)
    }
}
