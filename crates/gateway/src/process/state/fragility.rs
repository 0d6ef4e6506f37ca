//! Fragile services, and grants of requests to the targets that this entry decides for.

use std::time::Duration;

use fireflyhoist_policy::fragility::{Ending, Tolerance, Update};
use fireflyhoist_policy::id;

use crate::connection::frame::{Permit, SlotRequest};
use crate::process::state::Process;

impl Process {
    /// Records that a target said how many requests it can reject in a second, and returns the update
    /// that is to be sent to other entries, if any.
    pub(crate) fn record_tolerance(
        &self,
        service: &id::Service,
        tolerance: Tolerance,
    ) -> Option<Update> {
        let now = self.clock.now();
        let mut services = self.fragile.lock();
        let known = services.tolerance(now, service);
        let update = services.record(now, service, tolerance);
        drop(services);
        if known.is_none() {
            ::log::info!(service:% = service, rejects:% = tolerance; "targets are fragile");
        }
        update
    }

    /// Applies an update of another entry; returns whether it is new enough to be passed on.
    pub(crate) fn apply_tolerance(&self, update: &Update) -> bool {
        self.fragile.lock().apply(self.clock.now(), update)
    }

    /// Returns the permit that must be requested from the entry that decides for a target before a
    /// request is sent there; `None` if its service is not fragile.
    pub(crate) fn required_slot(&self, target: &id::Target) -> Option<Permit> {
        let listed = self.target(target)?;
        let tolerance = self.fragile.lock().tolerance(self.clock.now(), &listed.service)?;
        let is_engine = self.service(&listed.service)?.engine.is_some();
        // What an engine has room for depends on the size of its requests.
        let slots = if is_engine { 0 } else { listed.slots };
        let update = Update { service: listed.service, tolerance, age_ms: 0 };
        Some(Permit::Slot(SlotRequest { target: target.clone(), slots, update }))
    }

    /// Grants a request to a fragile target, or returns the time after which to ask again. Only the
    /// entry that decides for the target calls it.
    pub(crate) fn grant_slot(&self, request: &SlotRequest) -> Option<Duration> {
        let SlotRequest { target, slots, update } = request;
        let now = self.clock.now();
        self.grants.lock().try_grant(now, target, *slots as usize, update.tolerance)
    }

    /// Records how a granted request ended. Only the entry that decides for the target calls it.
    pub(crate) fn release_slot(&self, target: &id::Target, slots: u32, ending: Ending) {
        self.grants.lock().release(self.clock.now(), target, slots as usize, ending);
    }
}
