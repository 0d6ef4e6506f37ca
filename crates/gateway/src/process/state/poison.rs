//! Requests under which targets ended, as this process knows them.

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

/// Records that an entry is sent when its link opens: some 100 KB.
const FIRST: usize = 1_000;

/// For how long a target at which a run broke off may still turn out to have ended: until its lease has
/// run out or its next start is listed.
const DOUBTED: Duration = Duration::from_secs(10);

/// Runs that broke off at targets that took a connection right after, at most so many.
const DOUBTS: usize = 1_024;

/// A run that broke off at a target that seems to live.
#[derive(Debug)]
struct Doubt {
    at: Time,
    print: Fingerprint,
    target: Target,
    /// For how long the run had been under way.
    lasted: Duration,
}

/// What is known, and which runs that broke off are still looked into.
#[derive(Debug, Default)]
pub(super) struct Poison {
    ledger: Mutex<Ledger>,
    doubts: Mutex<VecDeque<Doubt>>,
    pending: Mutex<HashMap<Fingerprint, usize>>,
    settled: Notify,
}

/// A run that broke off and is looked into; a request that may be held back for it waits.
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
    /// Notes that a target ended at `at` while it ran a request, which had been under way there for
    /// `lasted`; returns how many have.
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

    /// Notes that a run broke off at `at` at a target that took a connection right after.
    pub(crate) fn doubt(&self, at: Time, print: Fingerprint, target: &Target, lasted: Duration) {
        let mut doubts = self.poison.doubts.lock();
        if doubts.len() >= DOUBTS {
            doubts.pop_front();
        }
        let target = target.clone();
        doubts.push_back(Doubt { at, print, target, lasted });
    }

    /// Looks which of those targets have ended after all.
    ///
    /// Guards against a target that is replaced at its address before it is asked whether it lives.
    pub(super) fn settle_doubts(&self, leases: &Leases) {
        self.settle_where(|target| leases.has_ended(target));
    }

    /// Notes that another target answers at the address of one, which so has ended.
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

    /// Notes that a request was answered whole.
    pub(crate) fn note_whole(&self, print: Fingerprint) {
        self.poison.ledger.lock().record_completion(self.clock.now(), print);
    }

    /// How many targets have ended under a request.
    pub(crate) fn ends(&self, print: Fingerprint) -> usize {
        self.poison.ledger.lock().crashes(print)
    }

    /// Requests that are held back.
    pub(crate) fn held_back(&self) -> usize {
        self.poison.ledger.lock().suspects()
    }

    /// Whether a request is sent, tried or refused.
    pub(crate) fn verdict(&self, print: Fingerprint) -> Decision {
        self.poison.ledger.lock().decide(self.clock.now(), print)
    }

    /// Waits until it is known what became of the targets at which runs of a request broke off, where
    /// it would be held back if they had ended.
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
        // What is not known by then is noted when it is.
        let _ = timeout(within, settled).await;
    }

    /// Grants a trial where one is due; only for the entry that keeps the request's record.
    pub(crate) fn try_trial(&self, print: Fingerprint) -> Decision {
        let verdict = self.poison.ledger.lock().try_trial(self.clock.now(), print);
        self.note_sent();
        verdict
    }

    /// Takes in records of another entry; returns those that were news.
    pub(crate) fn hear_poison(&self, records: Vec<Record>) -> Vec<Record> {
        let now = self.clock.now();
        let mut ledger = self.poison.ledger.lock();
        let news = ledger.apply(now, records);
        ledger.records(now, news)
    }

    /// Tells the records of these again.
    pub(crate) fn pass_on_poison(&self, records: &[Record]) {
        let prints = records.iter().map(|record| record.fingerprint).collect();
        self.poison.ledger.lock().forward(prints);
        self.note_sent();
    }

    /// What others should hear of.
    pub(crate) fn take_poison(&self) -> Vec<Record> {
        self.poison.ledger.lock().take_updates(self.clock.now())
    }

    /// What an entry is told when its link opens.
    pub(crate) fn all_poison(&self) -> Vec<Record> {
        self.poison.ledger.lock().snapshot(self.clock.now(), FIRST)
    }

    /// What is known of one request.
    pub(crate) fn poison_record(&self, print: Fingerprint) -> Option<Record> {
        self.poison.ledger.lock().records(self.clock.now(), [print]).pop()
    }
}
