//! What entries tell each other of requests under which targets ended.

use fireflyhoist_policy::id;
use fireflyhoist_policy::poison::Record;

use crate::connection::frame::Frame;
use crate::process::fleet::Fleet;

impl Fleet {
    /// Tells the actives what is news here, and the leaves what they must hold back.
    pub(super) fn share_poison(&self) {
        let news = self.process.take_poison_updates();
        if news.is_empty() {
            return;
        }
        let (actives, _) = self.parted();
        self.tell_leaves(&news);
        self.links.send_all(actives.iter(), &Frame::Poison(news));
    }

    /// Takes in what another entry tells, and hands it on to those that it does not tell itself.
    pub(super) fn take_poison(&self, from: &id::Host, records: Vec<Record>) {
        let news = self.process.apply_poison(records);
        if news.is_empty() || !self.is_active() {
            return;
        }
        match self.view().actives.contains(from) {
            true => self.tell_leaves(&news),
            false => self.process.forward_poison(&news),
        }
    }

    /// Tells an entry whose link has just opened all that matters.
    pub(super) fn tell_poison(&self, to: &id::Host) {
        let known = self.process.poison_snapshot();
        if !known.is_empty() {
            self.links.send(to, &Frame::Poison(known));
        }
    }

    fn tell_leaves(&self, news: &[Record]) {
        let matters = |record: &&Record| record.is_suspect() || record.completion_age.is_some();
        let news: Vec<Record> = news.iter().filter(matters).cloned().collect();
        let (_, leaves) = self.parted();
        if !news.is_empty() && self.is_active() {
            self.links.send_all(leaves.iter(), &Frame::Poison(news));
        }
    }
}
