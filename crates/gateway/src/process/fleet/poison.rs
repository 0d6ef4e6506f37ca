//! Announces to other entries the requests during which targets crashed.

use fireflyhoist_policy::id;
use fireflyhoist_policy::poison::Record;

use crate::connection::frame::Frame;
use crate::process::fleet::Fleet;

impl Fleet {
    /// Announces the records that have changed at this entry: all of them to the actives, and to
    /// leaves those that matter for admission.
    pub(super) fn announce_poison(&self) {
        let changed = self.process.take_poison_updates();
        if changed.is_empty() {
            return;
        }
        let (actives, _) = self.actives_and_leaves();
        self.send_poison_to_leaves(&changed);
        self.links.send_all(actives.iter(), &Frame::Poison(changed));
    }

    /// Applies the records of another entry. An active forwards those that were new to it: records
    /// of an active to its leaves, records of a leaf to all.
    pub(super) fn apply_poison(&self, from: &id::Host, records: Vec<Record>) {
        let new = self.process.apply_poison(records);
        if new.is_empty() || !self.is_active() {
            return;
        }
        match self.view().actives.contains(from) {
            true => self.send_poison_to_leaves(&new),
            false => self.process.forward_poison(&new),
        }
    }

    /// Sends the known records over a link that has just opened.
    pub(super) fn send_poison(&self, to: &id::Host) {
        let known = self.process.poison_snapshot();
        if !known.is_empty() {
            self.links.send(to, &Frame::Poison(known));
        }
    }

    /// Sends to the linked leaves those records by which they hold requests back or stop doing so.
    fn send_poison_to_leaves(&self, records: &[Record]) {
        let relevant = |record: &&Record| record.is_suspect() || record.completion_age.is_some();
        let records: Vec<Record> = records.iter().filter(relevant).cloned().collect();
        let (_, leaves) = self.actives_and_leaves();
        if !records.is_empty() && self.is_active() {
            self.links.send_all(leaves.iter(), &Frame::Poison(records));
        }
    }
}
