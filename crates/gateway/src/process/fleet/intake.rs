//! What entries tell each other of the limits that targets name.

use fireflyhoist_policy::id;
use fireflyhoist_policy::target_limit::Update;

use crate::connection::frame::{Frame, Permit};
use crate::process::fleet::Fleet;

impl Fleet {
    /// Tells what is news here.
    pub(super) fn share_limits(&self) {
        let news = self.process.take_limits();
        if !news.is_empty() {
            self.tell_limits_to(news, true);
        }
    }

    /// Takes in what another entry tells, and hands it on to those that it does not tell itself.
    pub(super) fn take_limits(&self, from: &id::Host, words: Vec<Update>) {
        let news = self.process.hear_limits(words);
        if !news.is_empty() && self.is_active() {
            let leaf = !self.view().actives.contains(from);
            self.tell_limits_to(news, leaf);
        }
    }

    /// Tells an entry whose link has just opened all limits.
    pub(super) fn tell_limits(&self, to: &id::Host) {
        let known = self.process.all_limits();
        if !known.is_empty() {
            self.links.send(to, &Frame::Limits(known));
        }
    }

    fn tell_limits_to(&self, news: Vec<Update>, actives_too: bool) {
        let (actives, mut told) = self.parted();
        if actives_too {
            told.extend(actives);
        }
        self.links.send_all(told.iter(), &Frame::Limits(news));
    }

    /// Counts a request that is sent to a target in any case, where that takes only so much.
    pub(crate) fn spend(&self, target: &id::Target) {
        let frame = match self.process.question(target) {
            Some(Permit::ColdSend(word)) => Frame::ColdSend(word),
            Some(Permit::LimitedSend(word)) => Frame::LimitedSend(word),
            Some(Permit::Trial(_)) | None => return,
        };
        self.tell(&self.keeper(target.as_str()), &frame);
    }

    pub(super) fn take_spent(&self, from: &id::Host, target: id::Target, frame: Frame) {
        let keeper = self.keeper(target.as_str());
        // A leaf's word goes to the entry that speaks for it.
        let passed = keeper != *self.host() && !self.view().actives.contains(from);
        match passed {
            true => self.links.send(&keeper, &frame),
            false => self.process.spend(&target),
        }
    }
}
