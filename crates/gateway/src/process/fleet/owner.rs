//! Questions that one entry, the owner of a key, decides for all entries, so that a limit over all
//! entries is counted in one place.
//!
//! The owner is chosen among the actives by rendezvous hashing of the key. A leaf sends its
//! question to its primary active, which forwards it to the owner.

use std::collections::BTreeMap;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::poison::Decision;
use ntex::time::timeout;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::connection::frame::{Frame, Permit};
use crate::process::fleet::Fleet;
use crate::process::state::millis;

/// The delay before a caller should retry if the owner did not answer.
const UNANSWERED_RETRY: Duration = Duration::from_secs(1);

/// The maximum number of questions that wait for an answer; beyond it the oldest is forgotten.
const MAX_PENDING: usize = 1_024;

/// The recipient of an answer.
#[derive(Debug)]
enum Waiter {
    /// A request of this entry.
    Local(oneshot::Sender<Option<Duration>>),
    /// A leaf whose question was forwarded, and the number of the question at the leaf.
    Forwarded(id::Host, u64),
}

/// The questions of this entry and its leaves that have no answer yet, by number.
#[derive(Debug, Default)]
pub(super) struct PendingQuestions {
    waiters: Mutex<Waiters>,
}

#[derive(Debug, Default)]
struct Waiters {
    next: u64,
    waiting: BTreeMap<u64, Waiter>,
}

impl PendingQuestions {
    fn add(&self, waiter: Waiter) -> u64 {
        let mut waiters = self.waiters.lock();
        waiters.next += 1;
        let number = waiters.next;
        waiters.waiting.insert(number, waiter);
        if waiters.waiting.len() > MAX_PENDING {
            waiters.waiting.pop_first();
        }
        number
    }

    fn remove(&self, number: u64) -> Option<Waiter> {
        self.waiters.lock().waiting.remove(&number)
    }
}

impl Fleet {
    /// Asks the owner of the question's key for permission. Returns `None` if it is granted, or the
    /// time to wait before asking again. An owner that does not answer `within` this time counts as
    /// a refusal.
    pub(crate) async fn ask(&self, question: Permit, within: Duration) -> Option<Duration> {
        let owner = self.owner(&question.key());
        if owner == *self.host() {
            return self.decide(&question);
        }
        let (sender, receiver) = oneshot::channel();
        let number = self.questions.add(Waiter::Local(sender));
        let key = question.key();
        self.links.send(&owner, &Frame::PermitRequest { id: number, permit: question });
        let answer = timeout(within, receiver).await;
        self.questions.remove(number);
        match answer {
            Ok(Ok(wait)) => wait,
            Ok(Err(_)) | Err(()) => {
                log::warn!(about = key.as_str(), keeper:% = owner; "no answer from owner");
                Some(UNANSWERED_RETRY)
            }
        }
    }

    /// Answers the question of another entry, or forwards that of a leaf to the owner.
    pub(super) fn handle_question(&self, from: &id::Host, number: u64, question: Permit) {
        let owner = self.owner(&question.key());
        let leaf = !self.view().actives.contains(from);
        if leaf && owner != *self.host() {
            let ask = self.questions.add(Waiter::Forwarded(from.clone(), number));
            self.links.send(&owner, &Frame::PermitRequest { id: ask, permit: question });
            return;
        }
        match &question {
            Permit::Trial(record) => self.apply_poison(from, vec![record.clone()]),
            Permit::LimitedSend(update) => self.apply_limits(from, vec![update.clone()]),
            Permit::ColdSend(update) => self.process.apply_cold_update(update),
        }
        let wait = self.decide(&question);
        self.links.send(from, &Frame::PermitReply { id: number, wait_ms: wait.map(millis) });
    }

    /// Delivers an answer to the waiting request, or forwards it to the leaf that asked.
    pub(super) fn handle_answer(&self, number: u64, wait_ms: Option<u64>) {
        match self.questions.remove(number) {
            Some(Waiter::Local(waiter)) => {
                // A request that no longer waits has been refused already.
                let _ = waiter.send(wait_ms.map(Duration::from_millis));
            }
            Some(Waiter::Forwarded(leaf, ask)) => {
                self.links.send(&leaf, &Frame::PermitReply { id: ask, wait_ms });
            }
            None => {}
        }
    }

    /// Decides a question at its owner: `None` grants it, `Some` is the time to wait.
    fn decide(&self, question: &Permit) -> Option<Duration> {
        match question {
            Permit::Trial(record) => match self.process.try_trial(record.fingerprint) {
                Decision::Allow | Decision::Trial => None,
                Decision::Refuse(wait) => Some(wait),
            },
            Permit::LimitedSend(update) => self.process.try_send(&update.target),
            Permit::ColdSend(update) => self.process.try_send(&update.target),
        }
    }
}
