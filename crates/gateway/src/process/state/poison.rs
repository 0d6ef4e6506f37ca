//! Requests that targets crashed on, as this process knows them.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::{Leases, Target};
use fireflyhoist_policy::poison::{self, Decision, Incarnation, Ledger, Record};
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::time::Time;
use ntex::time::timeout;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::process::state::Process;

/// Most records sent to an entry whose link has just opened, about 100 KB.
const FIRST: usize = 1_000;

/// How long a crash of a target that accepts connections may still be confirmed: by then its lease
/// has run out or its next start is listed.
const DOUBTED: Duration = Duration::from_secs(10);

/// Most unconfirmed crashes kept; the oldest is dropped first.
const DOUBTS: usize = 1_024;

/// A run that broke off at a target which accepted a connection right after. The target may have
/// crashed and restarted, or another one may answer at its address.
#[derive(Debug)]
struct Doubt {
    at: Time,
    print: Fingerprint,
    target: Target,
    /// How long the run had been under way.
    lasted: Duration,
}

/// The ledger of crashes, and the runs whose outcome is not known yet.
#[derive(Debug, Default)]
pub(super) struct Poison {
    ledger: Mutex<Ledger>,
    doubts: Mutex<VecDeque<Doubt>>,
    pending: Mutex<HashMap<Fingerprint, usize>>,
    settled: Notify,
}

/// Marks a run that broke off and whose target is being checked. Requests that may be suspect
/// because of it wait until it is dropped.
#[derive(Debug)]
pub(crate) struct Inspection {
    process: Arc<Process>,
    print: Fingerprint,
}

impl Inspection {
    pub(crate) fn open(process: &Arc<Process>, print: Fingerprint) -> Self {
        *process.poison.pending.lock().entry(print).or_default() += 1;
        Self { process: Arc::clone(process), print }
    }
}

impl Drop for Inspection {
    fn drop(&mut self) {
        let poison = &self.process.poison;
        let mut pending = poison.pending.lock();
        if let Some(count) = pending.get_mut(&self.print) {
            *count -= 1;
            if *count == 0 {
                pending.remove(&self.print);
            }
        }
        drop(pending);
        poison.settled.notify_waiters();
    }
}

impl Process {
    /// Records that a target crashed at `at` on a request that had run there for `run_time`;
    /// returns the number of targets that crashed on the request.
    pub(crate) fn note_end(
        &self,
        at: Time,
        print: Fingerprint,
        target: &Target,
        lasted: Duration,
    ) -> usize {
        let incarnation = Incarnation::of(target);
        let mut ledger = self.poison.ledger.lock();
        let ends = ledger.record_crash(self.clock.now(), at, print, incarnation, lasted);
        drop(ledger);
        self.note_sent();
        ends
    }

    /// Records that a run broke off at `at` at a target that accepted a connection right after.
    pub(crate) fn doubt(&self, at: Time, print: Fingerprint, target: &Target, lasted: Duration) {
        let mut doubts = self.poison.doubts.lock();
        if doubts.len() >= DOUBTS {
            doubts.pop_front();
        }
        let target = target.clone();
        doubts.push_back(Doubt { at, print, target, lasted });
    }

    /// Records the unconfirmed crashes of targets whose leases show that they ended.
    ///
    /// This covers a target that is replaced at its address before the check reaches it: the check
    /// then finds a live target.
    pub(super) fn settle_doubts(&self, leases: &Leases) {
        self.settle_where(|target| leases.has_ended(target));
    }

    /// Records that another target answers at the address of target `id`, which therefore has
    /// ended.
    pub(crate) fn target_replaced(&self, id: &id::Target) {
        self.target_leaves(id);
        self.settle_where(|target| target.id == *id);
    }

    fn settle_where(&self, has_ended: impl Fn(&Target) -> bool) {
        let now = self.clock.now();
        let ended = |doubt: &Doubt| has_ended(&doubt.target);
        let mut doubts = self.poison.doubts.lock();
        doubts.retain(|doubt| now.since(doubt.at) < DOUBTED);
        let (over, kept) = doubts.drain(..).partition(ended);
        *doubts = kept;
        drop(doubts);
        let over: VecDeque<Doubt> = over;
        for Doubt { at, print, target, lasted } in over {
            let ends = self.note_end(at, print, &target, lasted);
            ::log::info!(print:% = print, target:% = target.id, ends = ends; "target ended after all");
        }
    }

    /// Records that a request was answered in full.
    pub(crate) fn note_whole(&self, print: Fingerprint) {
        self.poison.ledger.lock().record_completion(self.clock.now(), print);
    }

    /// Number of targets that crashed on a request.
    pub(crate) fn ends(&self, print: Fingerprint) -> usize {
        self.poison.ledger.lock().crashes(print)
    }

    /// Number of suspect requests, which are held back.
    pub(crate) fn held_back(&self) -> usize {
        self.poison.ledger.lock().suspects()
    }

    /// Decides whether a request is sent, sent as a trial or refused.
    pub(crate) fn verdict(&self, print: Fingerprint) -> Decision {
        self.poison.ledger.lock().decide(self.clock.now(), print)
    }

    /// Waits, at most `within`, until the targets of a request's broken runs are checked, if the
    /// request would be suspect once all of them had crashed.
    pub(crate) async fn settle(&self, print: Fingerprint, within: Duration) {
        let settled = async {
            loop {
                let notified = self.poison.settled.notified();
                let pending = self.poison.pending.lock().get(&print).copied().unwrap_or_default();
                if pending == 0 || self.ends(print) + pending < poison::SUSPECT_CRASHES {
                    return;
                }
                notified.await;
            }
        };
        // A check that ends after the timeout still records its result.
        let _ = timeout(within, settled).await;
    }

    /// Grants a trial if one is due. Only the entry that owns the request's record calls it.
    pub(crate) fn try_trial(&self, print: Fingerprint) -> Decision {
        let verdict = self.poison.ledger.lock().try_trial(self.clock.now(), print);
        self.note_sent();
        verdict
    }

    /// Applies records of another entry; returns those that were new.
    pub(crate) fn hear_poison(&self, records: Vec<Record>) -> Vec<Record> {
        let now = self.clock.now();
        let mut ledger = self.poison.ledger.lock();
        let news = ledger.apply(now, records);
        ledger.records(now, news)
    }

    /// Queues records for all other entries again.
    pub(crate) fn pass_on_poison(&self, records: &[Record]) {
        let prints = records.iter().map(|record| record.fingerprint).collect();
        self.poison.ledger.lock().forward(prints);
        self.note_sent();
    }

    /// Takes the records that are due to be sent to other entries.
    pub(crate) fn take_poison(&self) -> Vec<Record> {
        self.poison.ledger.lock().take_updates(self.clock.now())
    }

    /// The records for an entry whose link has just opened.
    pub(crate) fn all_poison(&self) -> Vec<Record> {
        self.poison.ledger.lock().snapshot(self.clock.now(), FIRST)
    }

    /// The record of one request, if there is one.
    pub(crate) fn poison_record(&self, print: Fingerprint) -> Option<Record> {
        self.poison.ledger.lock().records(self.clock.now(), [print]).pop()
    }
}
