//! Announces to other entries the limits that targets advertise.

use fireflyhoist_policy::id;
use fireflyhoist_policy::permit::Route;
use fireflyhoist_policy::target_limit::Update;

use crate::connection::frame::{Frame, Permit};
use crate::process::fleet::Fleet;

impl Fleet {
    /// Announces the limits that have changed at this entry.
    pub(super) fn announce_limits(&self) {
        let updates = self.process.take_limit_updates();
        if !updates.is_empty() {
            self.broadcast_limits(updates, true);
        }
    }

    /// Applies the updates of another entry. An active forwards those that were new to it: updates
    /// of an active to its leaves, updates of a leaf to the other actives too.
    pub(super) fn apply_limits(&self, from: &id::Host, updates: Vec<Update>) {
        let new = self.process.apply_limit_updates(updates);
        if !new.is_empty() && self.is_active() {
            let leaf = !self.view().actives.contains(from);
            self.broadcast_limits(new, leaf);
        }
    }

    /// Sends all known limits over a link that has just opened.
    pub(super) fn send_limits(&self, to: &id::Host) {
        let known = self.process.all_limit_updates();
        if !known.is_empty() {
            self.links.send(to, &Frame::Limits(known));
        }
    }

    /// Sends updates to all linked leaves, and to the linked actives if `include_actives` is set.
    fn broadcast_limits(&self, updates: Vec<Update>, include_actives: bool) {
        let (actives, mut recipients) = self.actives_and_leaves();
        if include_actives {
            recipients.extend(actives);
        }
        self.links.send_all(recipients.iter(), &Frame::Limits(updates));
    }

    /// Counts a request that is sent without permission to a target that is limited or cold. The
    /// owner of the target takes it from its token bucket.
    pub(crate) fn spend(&self, target: &id::Target) {
        let frame = match self.process.required_permit(target) {
            Some(Permit::ColdSend(update)) => Frame::ColdSend(update),
            Some(Permit::LimitedSend(update)) => Frame::LimitedSend(update),
            Some(
                Permit::Trial(_)
                | Permit::Slot(_)
                | Permit::Prefill(_)
                | Permit::Features(_)
                | Permit::Resumption(_),
            )
            | None => return,
        };
        match self.permit_route(target.as_str(), None) {
            Route::Own => self.process.spend(target, None),
            Route::Send(owner) => self.links.send(&owner, &frame),
            Route::Unreachable => {}
        }
    }

    /// Counts a request that another entry sent without permission, or forwards the frame to the
    /// owner of the target.
    pub(super) fn handle_spent(&self, from: &id::Host, target: id::Target, frame: Frame) {
        let update = match &frame {
            Frame::ColdSend(update) => Some(update),
            _ => None,
        };
        match self.permit_route(target.as_str(), Some(from)) {
            Route::Own => self.process.spend(&target, update),
            Route::Send(owner) => self.links.send(&owner, &frame),
            Route::Unreachable => {}
        }
    }
}
