//! Cordoned failure domains as this process knows them.

use std::collections::BTreeSet;

use fireflyhoist_policy::cordon::{Change, Cordons, Update};
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::position::Position;

use crate::process::state::Process;

impl Process {
    /// Returns whether the set of cordoned failure domains is known.
    pub(crate) fn knows_cordons(&self) -> bool {
        self.cordons.lock().is_known()
    }

    /// Returns the position of the cordons.
    pub(crate) fn cordons_position(&self) -> Position {
        self.cordons.lock().position()
    }

    /// Returns whether a target gets no new requests because its failure domain is cordoned.
    pub(crate) fn is_cordoned(&self, target: &Target) -> bool {
        self.cordons.lock().contains(&target.domain)
    }

    /// Returns the number of cordoned failure domains.
    pub(crate) fn cordoned_domains(&self) -> usize {
        self.cordons.lock().all().count()
    }

    /// Replaces all cordons by a list from the registry; returns whether peers need the result at
    /// once.
    pub(crate) fn apply_cordon_list(&self, at: Position, listed: BTreeSet<id::Domain>) -> bool {
        let now = self.clock.now();
        self.update_cordons("registry", |cordons| cordons.apply_list(now, at, listed))
    }

    /// Applies changes of cordons from the registry; returns whether peers need the result at once.
    pub(crate) fn apply_cordon_changes(&self, at: Position, changes: &[Change]) -> bool {
        let now = self.clock.now();
        self.update_cordons("registry", |cordons| cordons.apply_changes(now, at, changes))
    }

    /// Applies an update from another entry; returns whether peers need the result at once.
    pub(crate) fn apply_cordon_update(&self, update: Update) -> bool {
        let now = self.clock.now();
        self.update_cordons("peer", |cordons| cordons.apply_update(now, update))
    }

    /// Drops cordons that the registry still does not list some time after it was restored from an
    /// older copy.
    pub(super) fn expire_cordons(&self) {
        let now = self.clock.now();
        self.update_cordons("timeout", |cordons| cordons.expire(now));
    }

    /// Returns the update for an entry whose link has just opened; `None` where no cordons are
    /// known.
    pub(crate) fn cordon_update(&self) -> Option<Update> {
        self.cordons.lock().to_update(self.clock.now())
    }

    /// Returns the update for each heartbeat; see [`Cordons::heartbeat_update`].
    pub(crate) fn cordon_heartbeat_update(&self) -> Option<Update> {
        self.cordons.lock().heartbeat_update(self.clock.now())
    }

    /// Changes the cordons, logs the difference and refreshes the gates; returns whether peers need
    /// the result at once.
    fn update_cordons(
        &self,
        source: &'static str,
        update: impl FnOnce(&mut Cordons) -> bool,
    ) -> bool {
        let mut cordons = self.cordons.lock();
        let before: BTreeSet<id::Domain> = cordons.all().cloned().collect();
        let known = cordons.is_known();
        let changed = update(&mut cordons);
        let after: BTreeSet<id::Domain> = cordons.all().cloned().collect();
        let first = !known && cordons.is_known();
        let at = cordons.position();
        drop(cordons);
        for domain in after.difference(&before) {
            ::log::info!(domain:% = domain, revision:% = at, source = source; "failure domain cordoned");
        }
        for domain in before.difference(&after) {
            ::log::info!(domain:% = domain, revision:% = at, source = source; "cordon lifted");
        }
        if changed || first {
            self.refresh_gates();
        }
        changed
    }
}
