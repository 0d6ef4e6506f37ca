//! Request rates of targets: limits that targets advertise, and limits of targets that are cold.

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
    /// Records the limit in the answer of `target` to a request that was sent at `sent`.
    pub(crate) fn record_limit(&self, target: &Target, sent: Time, advertised: Advertisement) {
        if advertised == Advertisement::Invalid {
            ::log::debug!(target:% = target.id; "target sent an invalid limit");
        }
        let mut limits = self.target_limits.lock();
        if !limits.record_answer(self.clock.now(), target, sent, advertised) {
            return;
        }
        let limit = limits.limit(&target.id);
        drop(limits);
        self.request_heartbeat();
        match limit {
            Some(rate) => {
                ::log::info!(target:% = target.id, per_s:% = rate; "target names a limit")
            }
            None => ::log::info!(target:% = target.id; "target no longer advertises a limit"),
        }
    }

    /// Returns the number of targets that advertise a limit.
    pub(crate) fn limited_targets(&self) -> usize {
        self.target_limits.lock().limited_count()
    }

    /// Sets the number of live entries, which the token buckets take into account.
    pub(crate) fn set_live_entries(&self, count: usize) {
        self.buckets.lock().set_alive(self.clock.now(), count);
    }

    /// Returns how long a target stays cold: by its lease, or since the cordon of its failure
    /// domain was lifted. Zero where it is warm or unknown.
    fn cold_remaining(&self, id: &id::Target) -> Duration {
        let now = self.clock.now();
        let leases = self.leases.lock();
        let Some(target) = leases.get(id) else { return Duration::ZERO };
        let settle_time = self.cordons.lock().settle_remaining(now, &target.domain);
        leases.cold_remaining(now, id).max(settle_time)
    }

    /// Returns the limit of a target while it is cold; `None` where its service sets none.
    fn cold_limit(&self, id: &id::Target) -> Option<cold::Limit> {
        let service = self.leases.lock().get(id)?.service.clone();
        let warmup = self.service(&service)?.warmup?;
        let bounds = self.bounds();
        let (excess, margin) = (bounds.cold_excess, bounds.cold_margin);
        Some(cold::Limit { per_s: warmup.per_s, excess, margin })
    }

    /// Returns the limits that apply to a target now.
    fn allowance(&self, target: &id::Target) -> Allowance {
        let advertised = self.target_limits.lock().limit(target);
        let cold = match self.cold_remaining(target) {
            Duration::ZERO => None,
            _ => self.cold_limit(target),
        };
        Allowance { advertised, cold }
    }

    /// Returns the number of targets that are cold.
    pub(crate) fn cold_targets(&self) -> usize {
        let ids: Vec<id::Target> = self.leases.lock().all().map(|t| t.id.clone()).collect();
        ids.iter().filter(|id| !self.cold_remaining(id).is_zero()).count()
    }

    /// Applies an update of another entry about a cold target.
    pub(crate) fn apply_cold_update(&self, update: &cold::Update) {
        self.leases.lock().apply_cold_update(self.clock.now(), update);
    }

    /// Takes a token for a request to a limited target; where there is none, returns the time after
    /// which to ask again. Only the entry that decides for the target calls it.
    pub(crate) fn try_send(&self, target: &id::Target) -> Option<Duration> {
        let allowance = self.allowance(target);
        self.buckets.lock().try_send(self.clock.now(), target, &allowance)
    }

    /// The same for a request that `from` wants to send to a target which it knows to be cold. Logs
    /// the limit that the request is counted against.
    pub(crate) fn try_cold_send(&self, update: &cold::Update, from: &id::Host) -> Option<Duration> {
        let target = &update.target;
        let (allowance, asked) = (self.allowance(target), self.asked_limit(update));
        let now = self.clock.now();
        let wait = self.buckets.lock().try_cold_send(now, target, &allowance, asked);
        let max = allowance.with_cold(asked).cold.map(|limit| limit.max_per_second());
        ::log::debug!(
            target:% = target, from:% = from, known = allowance.cold.is_some(),
            max_per_s:? = max, granted = wait.is_none(); "cold send decided"
        );
        wait
    }

    /// Returns the limit of a cold target as another entry knows it.
    fn asked_limit(&self, update: &cold::Update) -> Option<cold::Limit> {
        let bounds = self.bounds();
        let (excess, margin) = (bounds.cold_excess, bounds.cold_margin);
        update.per_s.map(|per_s| cold::Limit { per_s, excess, margin })
    }

    /// Takes a token for a request that is sent whether or not there is one. Only the entry that
    /// decides for the target calls it.
    pub(crate) fn spend(&self, target: &id::Target, update: Option<&cold::Update>) {
        let asked = update.and_then(|update| self.asked_limit(update));
        let allowance = self.allowance(target).with_cold(asked);
        self.buckets.lock().spend(self.clock.now(), target, &allowance);
    }

    /// Returns the permit that must be requested from the entry that decides for a target before a
    /// request is sent there; `None` if the target is not limited.
    pub(crate) fn required_permit(&self, target: &id::Target) -> Option<Permit> {
        let now = self.clock.now();
        let Allowance { advertised, cold } = self.allowance(target);
        if let Some(limit) = cold {
            let start = self.leases.lock().get(target)?.start;
            let remaining_ms = millis(self.cold_remaining(target));
            return Some(Permit::ColdSend(cold::Update {
                target: target.clone(),
                start,
                remaining_ms,
                per_s: Some(limit.per_s),
            }));
        }
        advertised?;
        self.target_limits.lock().to_update(now, target).map(Permit::LimitedSend)
    }

    /// Takes the limit updates that are due to be sent to other entries.
    pub(crate) fn take_limit_updates(&self) -> Vec<Update> {
        self.target_limits.lock().take_updates(self.clock.now())
    }

    /// Returns all limits, for an entry whose link has just opened.
    pub(crate) fn all_limit_updates(&self) -> Vec<Update> {
        self.target_limits.lock().all_updates(self.clock.now())
    }

    /// Applies limit updates of another entry; returns those that were new.
    pub(crate) fn apply_limit_updates(&self, updates: Vec<Update>) -> Vec<Update> {
        self.target_limits.lock().apply(self.clock.now(), updates)
    }

    /// Drops the token buckets of targets that this entry no longer decides for.
    pub(crate) fn retain_owned_buckets(&self, owns: impl Fn(&id::Target) -> bool) {
        self.buckets.lock().retain_owned(owns);
    }

    /// Drops the limits and token buckets of targets that are no longer listed.
    pub(super) fn retain_limits(&self, leases: &Leases) {
        let mut limits = self.target_limits.lock();
        limits.retain(|id| leases.get(id));
        self.buckets.lock().retain(|target| leases.get(target).is_some());
        self.grants.lock().retain(|target| leases.get(target).is_some());
    }
}
