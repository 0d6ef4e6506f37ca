//! What targets take, as this process knows it: those that name a limit, and those that are cold.

use std::time::Duration;

use fireflyhoist_policy::cold;
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::{Leases, Target};
use fireflyhoist_policy::target_limit::{Advertisement, Update};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::token_bucket::Allowance;

use crate::connection::frame::Permit;
use crate::process::state::{Process, millis};

impl Process {
    /// Takes in what the answer to a request that was sent at `sent` says of its target's limit.
    pub(crate) fn note_limit(&self, target: &Target, sent: Time, said: Advertisement) {
        if said == Advertisement::Invalid {
            ::log::debug!(target:% = target.id; "limit of a target can't be read");
        }
        let mut intake = self.intake.lock();
        if !intake.record_answer(self.clock.now(), target, sent, said) {
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
        self.intake.lock().limited_count()
    }

    /// Notes how many entries are alive, among which limits hold.
    pub(crate) fn set_alive(&self, count: usize) {
        self.keeper.lock().set_alive(self.clock.now(), count);
    }

    /// For how long a target is cold: by its lease, or since the cordon of its failure domain was lifted.
    fn cold_left(&self, id: &id::Target) -> Duration {
        let now = self.clock.now();
        let leases = self.leases.lock();
        let Some(target) = leases.get(id) else { return Duration::ZERO };
        let settles = self.cordons.lock().settle_remaining(now, &target.domain);
        leases.cold_remaining(now, id).max(settles)
    }

    /// What a target may get while it is cold; `None` where its service sets no bound.
    fn cold_terms(&self, id: &id::Target) -> Option<cold::Limit> {
        let service = self.leases.lock().get(id)?.service.clone();
        let warmup = self.table()?.service(&service)?.warmup?;
        let bounds = self.bounds();
        let (excess, margin) = (bounds.cold_excess, bounds.cold_margin);
        Some(cold::Limit { per_s: warmup.per_s, excess, margin })
    }

    /// What a target takes now.
    fn allowance(&self, target: &id::Target) -> Allowance {
        let named = self.intake.lock().limit(target);
        let cold = match self.cold_left(target) {
            Duration::ZERO => None,
            _ => self.cold_terms(target),
        };
        Allowance { advertised: named, cold }
    }

    /// Targets that are cold.
    pub(crate) fn cold_targets(&self) -> usize {
        let ids: Vec<id::Target> = self.leases.lock().all().map(|t| t.id.clone()).collect();
        ids.iter().filter(|id| !self.cold_left(id).is_zero()).count()
    }

    /// Takes in that a target is cold.
    pub(crate) fn hear_cold(&self, word: &cold::Update) {
        self.leases.lock().apply_cold_update(self.clock.now(), word);
    }

    /// Grants a request to a target that takes only so much, or says when to ask again; only for the
    /// entry that decides.
    pub(crate) fn try_send(&self, target: &id::Target) -> Option<Duration> {
        let allowance = self.allowance(target);
        self.keeper.lock().try_send(self.clock.now(), target, &allowance)
    }

    /// Counts a request that is sent to a target in any case; only for the entry that decides.
    pub(crate) fn spend(&self, target: &id::Target) {
        let allowance = self.allowance(target);
        self.keeper.lock().spend(self.clock.now(), target, &allowance);
    }

    /// What the entry that decides is asked before a request is sent to a target; `None` where that takes
    /// all that comes.
    pub(crate) fn question(&self, target: &id::Target) -> Option<Permit> {
        let now = self.clock.now();
        let Allowance { advertised: named, cold } = self.allowance(target);
        if cold.is_some() {
            let start = self.leases.lock().get(target)?.start;
            let left = millis(self.cold_left(target));
            return Some(Permit::ColdSend(cold::Update {
                target: target.clone(),
                start,
                remaining_ms: left,
            }));
        }
        named?;
        self.intake.lock().to_update(now, target).map(Permit::LimitedSend)
    }

    /// What others should hear of.
    pub(crate) fn take_limits(&self) -> Vec<Update> {
        self.intake.lock().take_updates(self.clock.now())
    }

    /// What an entry is told when its link opens.
    pub(crate) fn all_limits(&self) -> Vec<Update> {
        self.intake.lock().all_updates(self.clock.now())
    }

    /// Takes in words of another entry; returns those that were news.
    pub(crate) fn hear_limits(&self, words: Vec<Update>) -> Vec<Update> {
        self.intake.lock().apply(self.clock.now(), words)
    }

    /// Forgets what targets said that are listed no more.
    pub(super) fn keep_limits(&self, leases: &Leases) {
        let mut intake = self.intake.lock();
        intake.retain(|id| leases.get(id));
        self.keeper.lock().retain(|target| leases.get(target).is_some());
    }
}
