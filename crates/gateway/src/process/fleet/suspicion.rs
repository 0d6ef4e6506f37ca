//! Tells other entries which features of requests engines crashed on, and asks one of them for trials.

use std::time::Duration;

use fireflyhoist_policy::feature::Feature;
use fireflyhoist_policy::id;
use fireflyhoist_policy::poison::Decision;
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::suspicion::Update;

use crate::connection::frame::{Frame, Permit};
use crate::process::fleet::Fleet;

/// How long the entry that grants trials may take to answer: about a hundred round trips.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// When to ask again if it did not.
const UNANSWERED_RETRY: Duration = Duration::from_secs(1);

impl Fleet {
    /// Tells all linked entries what has changed here.
    pub(super) fn announce_suspicions(&self) {
        let updates = self.process.take_suspicions();
        if !updates.is_empty() {
            self.send_suspicions(updates, |_| true);
        }
    }

    /// Applies what another entry tells. An active passes on what was new: what an active tells to its
    /// leaves, what a leaf tells to all.
    pub(super) fn apply_suspicions(&self, from: &id::Host, updates: Vec<Update>) {
        if !self.process.apply_suspicions(&updates) || !self.is_active() {
            return;
        }
        let view = self.view();
        let from_active = view.actives.contains(from);
        self.send_suspicions(updates, |host| {
            host != from && !(from_active && view.actives.contains(host))
        });
    }

    /// Tells what is known over a link to an entry that reads it.
    pub(super) fn send_suspicion_snapshot(&self, to: &id::Host) {
        let known = self.process.suspicion_snapshot();
        if !known.is_empty() {
            self.links.send(to, &Frame::Suspicions(known));
        }
    }

    /// Requests a trial of features from the entry that decides on them for all. Returns `None` if it is
    /// granted, or the time to wait.
    pub(crate) async fn request_feature_trial(&self, features: &[Feature]) -> Option<Duration> {
        let first = features.iter().min()?;
        let mut entries = self.current_actives();
        if self.is_active() {
            entries.push(self.own.host.clone());
        }
        let ranked = rendezvous::rank(&first.to_string(), &entries, |host| host.as_str());
        match ranked.first().filter(|owner| **owner != &self.own.host) {
            None => self.decide_on_features(features),
            Some(owner) => {
                let permit = Permit::Features(features.to_vec());
                let reply = self.ask(owner, permit, TRIAL_TIMEOUT).await;
                reply.map_or(Some(UNANSWERED_RETRY), |reply| reply.wait)
            }
        }
    }

    /// Decides on a trial for all entries: `None` grants it.
    pub(super) fn decide_on_features(&self, features: &[Feature]) -> Option<Duration> {
        match self.process.try_feature_trial(features) {
            Decision::Allow | Decision::Trial => None,
            Decision::Refuse(wait) => Some(wait),
        }
    }

    fn send_suspicions(&self, updates: Vec<Update>, to: impl Fn(&id::Host) -> bool) {
        let entries: Vec<id::Host> = self.current_peers().into_iter().filter(to).collect();
        self.links.send_all(entries.iter(), &Frame::Suspicions(updates));
    }
}
