//! Reservations of prefill, which the owner of an engine grants for all entries.

use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::permit::{self, Route};
use fireflyhoist_policy::reservation::{Outcome, TIMEOUT};

use crate::connection::frame::{Permit, PrefillRequest, RESERVATIONS_PROTOCOL};
use crate::process::fleet::Fleet;
use crate::process::service_gate::{Pass, ServiceGate};

impl Fleet {
    /// Reserves prefill for a request at the target that was chosen for it. Returns `None` if it may
    /// be sent, or the time for which the target is to be left out.
    ///
    /// Where the owner does not answer, the request may be sent, by the view of this entry alone.
    pub(crate) async fn reserve(&self, gate: &ServiceGate, pass: &Pass) -> Option<Duration> {
        if !self.process.scheduling().reservations || self.view().actives.len() < 2 {
            return None;
        }
        let demand = pass.demand()?;
        let target = pass.target().clone();
        let wait = match self.permit_route(target.as_str(), None) {
            Route::Own => {
                Some(self.process.grant_own_prefill(gate, pass.request(), &target, &demand))
            }
            Route::Unreachable => None,
            Route::Send(hop) => {
                let owner = self.reservation_owner(&target).unwrap_or_else(|| hop.clone());
                let entry = self.own.host.clone();
                let permit = Permit::Prefill(PrefillRequest { target, entry, demand });
                self.request_prefill(&hop, &owner, permit).await
            }
        };
        self.process.metrics.reservation(match wait {
            Some(None) => Outcome::Granted,
            Some(Some(_)) => Outcome::Deferred,
            None => Outcome::Unanswered,
        });
        wait.flatten()
    }

    /// Requests a reservation from an owner by way of `hop`, which is the owner itself or relays the
    /// request. Returns `None` if there is no answer, or the owner's decision.
    async fn request_prefill(
        &self,
        hop: &id::Host,
        owner: &id::Host,
        permit: Permit,
    ) -> Option<Option<Duration>> {
        if !self.can_read(hop, &permit) || !self.silent_owners.lock().may_ask(self.now(), owner) {
            return None;
        }
        let reply = self.ask(hop, permit, TIMEOUT).await;
        let mut silent = self.silent_owners.lock();
        match &reply {
            Some(_) => silent.answered(owner),
            None => silent.unanswered(self.now(), owner),
        }
        reply.map(|reply| reply.wait)
    }

    /// Returns the active entry that decides on the prompts for a target.
    fn reservation_owner(&self, target: &id::Target) -> Option<id::Host> {
        permit::owner(target.as_str(), &self.view().actives).cloned()
    }

    /// Returns whether a linked entry reads a request for this permit.
    pub(super) fn can_read(&self, entry: &id::Host, permit: &Permit) -> bool {
        let Permit::Prefill(_) = permit else { return true };
        self.peers.lock().get(entry).is_some_and(|peer| peer.reads(RESERVATIONS_PROTOCOL))
    }
}
