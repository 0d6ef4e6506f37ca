//! What targets say of themselves in their responses, whichever call they respond to.

use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::time::Time;

use crate::connection::frame::Frame;
use crate::platform::Reply;
use crate::process::fleet::Fleet;
use crate::process::state::millis;

impl Fleet {
    /// Heeds what a response of `target` to a caller's request that was sent at `sent_at` says about
    /// it, and announces it to other entries. A response of another instance at its address says
    /// nothing.
    ///
    /// `relay` is the entry that relays the connection, if any.
    pub(crate) fn heed(
        &self,
        target: &Target,
        sent_at: Time,
        reply: &Reply,
        relay: Option<&id::Host>,
    ) {
        if reply.misdirected {
            return;
        }
        self.process.record_limit(target, sent_at, reply.limit);
        if reply.leaving {
            self.drain_target(target);
        }
        if let Some(tolerance) = reply.tolerance {
            self.heed_tolerance(&target.service, tolerance);
        }
        if let Some(rest) = reply.rest {
            self.process.record_rest(target, rest);
            if let Some(relay) = relay {
                let frame = Frame::Rest { target: target.clone(), wait_ms: millis(rest) };
                self.send(relay, &frame);
            }
        }
    }

    /// Sends nothing new to a target that says that it leaves, and announces this.
    pub(crate) fn drain_target(&self, target: &Target) {
        let since = self.process.targets_position();
        if let Some(change) = self.process.mark_target_draining(target) {
            self.announce_changes(since, vec![change]);
        }
    }
}
