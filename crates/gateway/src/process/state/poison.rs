//! Requests that targets crashed on, as this process knows them.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::feature::Feature;
use fireflyhoist_policy::lease::{Leases, Target};
use fireflyhoist_policy::poison::{self, Decision, Incarnation, Ledger, Record};
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::time::Time;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::process::state::Process;

/// Most records sent to an entry whose link has just opened, about 100 KB.
const MAX_SNAPSHOT_RECORDS: usize = 1_000;

/// How long a crash of a target that accepts connections may still be confirmed: by then its lease
/// has run out or its next start is listed.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Most unconfirmed crashes kept; the oldest is dropped first.
const MAX_UNCONFIRMED: usize = 1_024;

/// A run that broke off at a target which accepted a connection right after. The target may have
/// crashed and restarted, or another one may answer at its address.
#[derive(Debug)]
struct UnconfirmedCrash {
    at: Time,
    fingerprint: Fingerprint,
    target: Target,
    /// How long the run had been under way.
    run_time: Duration,
    /// What the run had in common with others, if it had written nothing.
    features: Vec<Feature>,
}

/// A run that broke off.
#[derive(Debug)]
pub(crate) struct BrokenRun<'a> {
    /// When it broke off.
    pub(crate) at: Time,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) target: &'a Target,
    /// How long it had been under way.
    pub(crate) run_time: Duration,
    /// What it had in common with others, if it had written nothing.
    pub(crate) features: &'a [Feature],
}

/// The ledger of crashes, and the runs whose outcome is not known yet.
#[derive(Debug, Default)]
pub(super) struct Poison {
    ledger: Mutex<Ledger>,
    unconfirmed: Mutex<VecDeque<UnconfirmedCrash>>,
    pending_checks: Mutex<HashMap<Fingerprint, usize>>,
    check_done: Notify,
}

/// Marks a run that broke off and whose target is being checked. Requests that may be suspect
/// because of it wait until it is dropped.
#[derive(Debug)]
pub(crate) struct CrashCheck {
    process: Arc<Process>,
    fingerprint: Fingerprint,
}

impl CrashCheck {
    pub(crate) fn open(process: &Arc<Process>, fingerprint: Fingerprint) -> Self {
        *process.poison.pending_checks.lock().entry(fingerprint).or_default() += 1;
        Self { process: Arc::clone(process), fingerprint }
    }
}

impl Drop for CrashCheck {
    fn drop(&mut self) {
        let poison = &self.process.poison;
        let mut pending = poison.pending_checks.lock();
        if let Some(count) = pending.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                pending.remove(&self.fingerprint);
            }
        }
        drop(pending);
        poison.check_done.notify_waiters();
    }
}

impl Process {
    /// Records that a target crashed on a run; returns the number of targets that crashed on its
    /// request.
    pub(crate) fn record_crash(&self, run: &BrokenRun<'_>) -> usize {
        let BrokenRun { at, fingerprint, target, run_time, features } = *run;
        let incarnation = Incarnation::of(target);
        self.record_feature_crash(at, incarnation, features);
        let mut ledger = self.poison.ledger.lock();
        let crashes = ledger.record_crash(self.clock.now(), at, fingerprint, incarnation, run_time);
        drop(ledger);
        self.request_heartbeat();
        crashes
    }

    /// Records that a run broke off at a target that accepted a connection right after.
    pub(crate) fn record_unconfirmed_crash(&self, run: &BrokenRun<'_>) {
        let BrokenRun { at, fingerprint, target, run_time, features } = *run;
        let mut unconfirmed = self.poison.unconfirmed.lock();
        if unconfirmed.len() >= MAX_UNCONFIRMED {
            unconfirmed.pop_front();
        }
        let (target, features) = (target.clone(), features.to_vec());
        unconfirmed.push_back(UnconfirmedCrash { at, fingerprint, target, run_time, features });
    }

    /// Records the unconfirmed crashes of targets whose leases show that they ended.
    ///
    /// This covers a target that is replaced at its address before the check reaches it: the check
    /// then finds a live target.
    pub(super) fn confirm_crashes(&self, leases: &Leases) {
        self.confirm_crashes_where(|target| leases.has_ended(target));
    }

    /// Records that another target answers at the address of `replaced`, which therefore has ended.
    pub(crate) fn mark_target_replaced(&self, replaced: &Target) {
        self.mark_target_draining(replaced);
        self.confirm_crashes_where(|target| target.id == replaced.id);
    }

    fn confirm_crashes_where(&self, has_ended: impl Fn(&Target) -> bool) {
        let now = self.clock.now();
        let ended = |crash: &UnconfirmedCrash| has_ended(&crash.target);
        let mut unconfirmed = self.poison.unconfirmed.lock();
        unconfirmed.retain(|crash| now.since(crash.at) < CONFIRMATION_TIMEOUT);
        let (confirmed, remaining) = unconfirmed.drain(..).partition(ended);
        *unconfirmed = remaining;
        drop(unconfirmed);
        let confirmed: VecDeque<UnconfirmedCrash> = confirmed;
        for UnconfirmedCrash { at, fingerprint, target, run_time, features } in confirmed {
            let (target, features) = (&target, features.as_slice());
            let run = BrokenRun { at, fingerprint, target, run_time, features };
            let crashes = self.record_crash(&run);
            ::log::info!(print:% = fingerprint, target:% = target.id, ends = crashes; "crash of target confirmed");
        }
    }

    /// Records that a request was answered in full.
    pub(crate) fn record_completion(&self, fingerprint: Fingerprint) {
        self.poison.ledger.lock().record_completion(self.clock.now(), fingerprint);
    }

    /// Returns the number of targets that crashed on a request.
    pub(crate) fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.poison.ledger.lock().crashes(fingerprint)
    }

    /// Returns the number of suspect requests, which are held back.
    pub(crate) fn suspects(&self) -> usize {
        self.poison.ledger.lock().suspects()
    }

    /// Decides whether a request is sent, sent as a trial or refused.
    pub(crate) fn decide(&self, fingerprint: Fingerprint) -> Decision {
        self.poison.ledger.lock().decide(self.clock.now(), fingerprint)
    }

    /// Waits, at most `within`, until the targets of a request's broken runs are checked, if the
    /// request would be suspect once all of them had crashed.
    pub(crate) async fn wait_for_checks(&self, fingerprint: Fingerprint, within: Duration) {
        let checked = async {
            loop {
                let notified = self.poison.check_done.notified();
                let pending = self
                    .poison
                    .pending_checks
                    .lock()
                    .get(&fingerprint)
                    .copied()
                    .unwrap_or_default();
                if pending == 0
                    || self.crashes(fingerprint) + pending < poison::SUSPECT_BRIEF_CRASHES
                {
                    return;
                }
                notified.await;
            }
        };
        // A check that ends after the timeout still records its result.
        let _ = timeout(within, checked).await;
    }

    /// Grants a trial if one is due. Only the entry that owns the request's record calls it.
    pub(crate) fn try_trial(&self, fingerprint: Fingerprint) -> Decision {
        let decision = self.poison.ledger.lock().try_trial(self.clock.now(), fingerprint);
        self.request_heartbeat();
        decision
    }

    /// Applies records of another entry; returns those that were new.
    pub(crate) fn apply_poison(&self, records: Vec<Record>) -> Vec<Record> {
        let now = self.clock.now();
        let mut ledger = self.poison.ledger.lock();
        let new = ledger.apply(now, records);
        ledger.records(now, new)
    }

    /// Queues records for all other entries again.
    pub(crate) fn forward_poison(&self, records: &[Record]) {
        let fingerprints = records.iter().map(|record| record.fingerprint).collect();
        self.poison.ledger.lock().forward(fingerprints);
        self.request_heartbeat();
    }

    /// Takes the records that are due to be sent to other entries.
    pub(crate) fn take_poison_updates(&self) -> Vec<Record> {
        self.poison.ledger.lock().take_updates(self.clock.now())
    }

    /// Returns the records for an entry whose link has just opened.
    pub(crate) fn poison_snapshot(&self) -> Vec<Record> {
        self.poison.ledger.lock().snapshot(self.clock.now(), MAX_SNAPSHOT_RECORDS)
    }

    /// Returns the record of one request, if there is one.
    pub(crate) fn poison_record(&self, fingerprint: Fingerprint) -> Option<Record> {
        self.poison.ledger.lock().records(self.clock.now(), [fingerprint]).pop()
    }
}
