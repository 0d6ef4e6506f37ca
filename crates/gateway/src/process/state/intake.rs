//! What targets say they take, as this process knows it.

use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::intake::{Said, Word};
use fireflyhoist_policy::lease::{Leases, Target};
use fireflyhoist_policy::time::Time;

use crate::process::state::Process;

impl Process {
    /// Takes in what the answer to a request that was sent at `sent` says of its target's limit.
    pub(crate) fn note_limit(&self, target: &Target, sent: Time, said: Said) {
        if said == Said::Unreadable {
            ::log::debug!(target:% = target.id; "limit of a target can't be read");
        }
        let mut intake = self.intake.lock();
        if !intake.answered(self.clock.now(), target, sent, said) {
            return;
        }
        let limit = intake.limit(&target.id);
        drop(intake);
        self.note_sent();
        match limit {
            Some(rate) => {
                ::log::info!(target:% = target.id, per_s:% = rate; "target names a limit")
            }
            None => ::log::info!(target:% = target.id; "target names no limit any more"),
        }
    }

    /// Targets that name a limit.
    pub(crate) fn limited_targets(&self) -> usize {
        self.intake.lock().limited()
    }

    /// Notes how many entries are alive, among which limits hold.
    pub(crate) fn set_alive(&self, count: usize) {
        self.keeper.lock().set_alive(self.clock.now(), count);
    }

    /// Grants a request to a target that names a limit, or says when to ask again; only for the entry
    /// that decides.
    pub(crate) fn try_send(&self, target: &id::Target) -> Option<Duration> {
        let limit = self.intake.lock().limit(target)?;
        self.keeper.lock().try_send(self.clock.now(), target, limit)
    }

    /// Counts a request that is sent to a target in any case; only for the entry that decides.
    pub(crate) fn spend(&self, target: &id::Target) {
        if let Some(limit) = self.intake.lock().limit(target) {
            self.keeper.lock().spend(self.clock.now(), target, limit);
        }
    }

    /// What is known of a target that names a limit.
    pub(crate) fn limit_word(&self, target: &id::Target) -> Option<Word> {
        let word = self.intake.lock().word(self.clock.now(), target)?;
        word.limit.is_some().then_some(word)
    }

    /// What others should hear of.
    pub(crate) fn take_limits(&self) -> Vec<Word> {
        self.intake.lock().take_news(self.clock.now())
    }

    /// What an entry is told when its link opens.
    pub(crate) fn all_limits(&self) -> Vec<Word> {
        self.intake.lock().all(self.clock.now())
    }

    /// Takes in words of another entry; returns those that were news.
    pub(crate) fn hear_limits(&self, words: Vec<Word>) -> Vec<Word> {
        self.intake.lock().hear(self.clock.now(), words)
    }

    /// Forgets what targets said that are listed no more.
    pub(super) fn keep_limits(&self, leases: &Leases) {
        let mut intake = self.intake.lock();
        intake.keep(|id| leases.get(id));
        self.keeper.lock().keep(|target| intake.limit(target).is_some());
    }
}
