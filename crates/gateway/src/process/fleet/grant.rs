//! Questions that one entry decides for all, so that a bound over all entries is counted once.
//!
//! Who decides follows from what is asked by rendezvous among the actives. A leaf asks the active that
//! speaks for it, which passes the question on.

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

/// When to come back where that entry did not answer.
const UNANSWERED: Duration = Duration::from_secs(1);

/// Questions without an answer that are remembered.
const ASKED: usize = 1_024;

/// Who waits for an answer.
#[derive(Debug)]
enum Waiter {
    /// A request here.
    Own(oneshot::Sender<Option<Duration>>),
    /// An entry whose question was passed on, and its number there.
    Passed(id::Host, u64),
}

/// Questions that have no answer yet.
#[derive(Debug, Default)]
pub(super) struct Questions {
    waiters: Mutex<Waiters>,
}

#[derive(Debug, Default)]
struct Waiters {
    next: u64,
    waiting: BTreeMap<u64, Waiter>,
}

impl Questions {
    fn add(&self, waiter: Waiter) -> u64 {
        let mut waiters = self.waiters.lock();
        waiters.next += 1;
        let ask = waiters.next;
        waiters.waiting.insert(ask, waiter);
        if waiters.waiting.len() > ASKED {
            waiters.waiting.pop_first();
        }
        ask
    }

    fn take(&self, ask: u64) -> Option<Waiter> {
        self.waiters.lock().waiting.remove(&ask)
    }
}

impl Fleet {
    /// Asks the entry that decides; `Some` says how long to wait instead.
    pub(crate) async fn ask(&self, question: Permit, within: Duration) -> Option<Duration> {
        let keeper = self.keeper(&question.key());
        if keeper == *self.host() {
            return self.decide(&question);
        }
        let (sender, receiver) = oneshot::channel();
        let ask = self.questions.add(Waiter::Own(sender));
        let key = question.key();
        self.links.send(&keeper, &Frame::PermitRequest { id: ask, permit: question });
        let answer = timeout(within, receiver).await;
        self.questions.take(ask);
        match answer {
            Ok(Ok(wait)) => wait,
            Ok(Err(_)) | Err(()) => {
                log::warn!(about = key.as_str(), keeper:% = keeper; "no answer from the entry that decides");
                Some(UNANSWERED)
            }
        }
    }

    /// Answers another entry's question, or passes a leaf's on to the entry that decides.
    pub(super) fn take_question(&self, from: &id::Host, ask: u64, question: Permit) {
        let keeper = self.keeper(&question.key());
        let leaf = !self.view().actives.contains(from);
        if leaf && keeper != *self.host() {
            let ask = self.questions.add(Waiter::Passed(from.clone(), ask));
            self.links.send(&keeper, &Frame::PermitRequest { id: ask, permit: question });
            return;
        }
        match &question {
            Permit::Trial(record) => self.take_poison(from, vec![record.clone()]),
            Permit::LimitedSend(word) => self.take_limits(from, vec![word.clone()]),
            Permit::ColdSend(word) => self.process.hear_cold(word),
        }
        let wait = self.decide(&question);
        self.links.send(from, &Frame::PermitReply { id: ask, wait_ms: wait.map(millis) });
    }

    pub(super) fn take_answer(&self, ask: u64, wait_ms: Option<u64>) {
        match self.questions.take(ask) {
            Some(Waiter::Own(waiter)) => {
                // One that stopped waiting has been refused.
                let _ = waiter.send(wait_ms.map(Duration::from_millis));
            }
            Some(Waiter::Passed(leaf, ask)) => {
                self.links.send(&leaf, &Frame::PermitReply { id: ask, wait_ms });
            }
            None => {}
        }
    }

    fn decide(&self, question: &Permit) -> Option<Duration> {
        match question {
            Permit::Trial(record) => match self.process.try_trial(record.fingerprint) {
                Decision::Allow | Decision::Trial => None,
                Decision::Refuse(wait) => Some(wait),
            },
            Permit::LimitedSend(word) => self.process.try_send(&word.target),
            Permit::ColdSend(word) => self.process.try_send(&word.target),
        }
    }
}
