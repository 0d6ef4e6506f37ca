//! Reservations of prefill at the engines that this entry decides for.

use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::reservation::Demand;

use crate::connection::frame::PrefillRequest;
use crate::process::service_gate::ServiceGate;
use crate::process::state::Process;

impl Process {
    /// Grants a reservation to another entry, or returns the time after which to ask again. Only the
    /// entry that decides for the engine calls it.
    pub(crate) fn grant_prefill(&self, request: &PrefillRequest) -> Option<Duration> {
        let PrefillRequest { target, entry, demand } = request;
        let listed = self.target(target);
        let gate = listed.and_then(|listed| self.gate(&listed.service));
        // The gate is read while the reservations are locked, so that no two requests are granted
        // the same room.
        let mut reservations = self.reservations.lock();
        let room = gate.and_then(|gate| gate.room(target, None)).unwrap_or_default();
        reservations.try_grant(self.clock.now(), Some(entry), target, demand, &room)
    }

    /// Decides in the same way on a request of this entry, which its gate counts already.
    pub(crate) fn grant_own_prefill(
        &self,
        gate: &ServiceGate,
        request: id::Request,
        target: &id::Target,
        demand: &Demand,
    ) -> Option<Duration> {
        let mut reservations = self.reservations.lock();
        let room = gate.room(target, Some(request)).unwrap_or_default();
        reservations.try_grant(self.clock.now(), None, target, demand, &room)
    }

    /// Ends the reservations of an entry that has announced what it holds.
    pub(crate) fn end_reservations(&self, entry: &id::Host) {
        self.reservations.lock().announced(entry);
    }
}
