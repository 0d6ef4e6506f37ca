//! Requests to fragile targets, each of which one entry grants for all.

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::fragility::{Ending, Tolerance, Update};
use fireflyhoist_policy::id;
use fireflyhoist_policy::permit::Route;

use crate::connection::frame::{Frame, Permit, SlotRequest};
use crate::process::fleet::Fleet;

/// How long the entry that decides for a target may take to answer: about twenty round trips.
const SLOT_TIMEOUT: Duration = Duration::from_millis(100);

/// A request at a fragile target. The entry that decides for the target hears of its end.
#[derive(Debug)]
pub(crate) struct Slot {
    fleet: Arc<Fleet>,
    target: id::Target,
    slots: u32,
    ending: Ending,
}

impl Slot {
    /// Ends the request in this way.
    pub(crate) fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.fleet.release_slot(&self.target, self.slots, self.ending);
    }
}

impl Fleet {
    /// Records that a target of a service said how many requests it can reject in a second, and
    /// announces it.
    pub(super) fn heed_tolerance(&self, service: &id::Service, tolerance: Tolerance) {
        if let Some(update) = self.process.record_tolerance(service, tolerance) {
            self.announce_tolerance(update, true);
        }
    }

    /// Applies the update of another entry. An active forwards what was new to it: updates of an
    /// active to its leaves, updates of a leaf to the other actives too.
    pub(super) fn apply_tolerance(&self, from: &id::Host, update: Update) {
        if self.process.apply_tolerance(&update) && self.is_active() {
            let leaf = !self.view().actives.contains(from);
            self.announce_tolerance(update, leaf);
        }
    }

    fn announce_tolerance(&self, update: Update, include_actives: bool) {
        let (actives, mut recipients) = self.actives_and_leaves();
        if include_actives {
            recipients.extend(actives);
        }
        self.links.send_all(recipients.iter(), &Frame::Fragile(update));
    }

    /// Acquires a slot at a target, `None` where it is not fragile, or returns the time after which
    /// to try again.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        target: &id::Target,
    ) -> Result<Option<Slot>, Duration> {
        let Some(permit) = self.process.required_slot(target) else { return Ok(None) };
        let slots = match &permit {
            Permit::Slot(SlotRequest { slots, .. }) => *slots,
            _ => 0,
        };
        match self.request_permit(permit, SLOT_TIMEOUT).await {
            Some(wait) => Err(wait),
            None => {
                let (fleet, target) = (Arc::clone(self), target.clone());
                Ok(Some(Slot { fleet, target, slots, ending: Ending::Unknown }))
            }
        }
    }

    fn release_slot(&self, target: &id::Target, slots: u32, ending: Ending) {
        let frame = Frame::SlotRelease { target: target.clone(), slots, ending };
        match self.permit_route(target.as_str(), None) {
            Route::Own => self.process.release_slot(target, slots, ending),
            Route::Send(owner) => self.links.send(&owner, &frame),
            // The grant expires.
            Route::Unreachable => {}
        }
    }

    /// Records the end of a request of another entry, or forwards the frame to the entry that decides
    /// for the target.
    pub(super) fn handle_slot_release(
        &self,
        from: &id::Host,
        target: id::Target,
        slots: u32,
        ending: Ending,
    ) {
        match self.permit_route(target.as_str(), Some(from)) {
            Route::Own => self.process.release_slot(&target, slots, ending),
            Route::Send(owner) => {
                self.links.send(&owner, &Frame::SlotRelease { target, slots, ending });
            }
            Route::Unreachable => {}
        }
    }
}
