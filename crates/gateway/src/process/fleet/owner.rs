//! Permits that one entry, the owner of a key, grants for all entries, so that a limit over all
//! entries is counted in one place.
//!
//! The owner is chosen among the actives by rendezvous hashing of the key. A leaf sends its request
//! for a permit to its primary active, which forwards it to the owner. An active without a link to
//! the owner sends it through another active; see [`permit`](fireflyhoist_policy::permit).

use std::collections::BTreeMap;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::origin::Origin;
use fireflyhoist_policy::permit::Route;
use fireflyhoist_policy::poison::Decision;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::connection::frame::{Frame, Permit};
use crate::process::fleet::Fleet;
use crate::process::state::millis;

/// The delay before a caller should retry if the owner did not reply.
const UNANSWERED_RETRY: Duration = Duration::from_secs(1);

/// The time to wait where the owner can't be reached: missing links are opened again within it.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(300);

/// The maximum number of permit requests that wait for a reply; beyond it the oldest is dropped.
const MAX_PENDING: usize = 1_024;

/// A reply to a request for a permit.
#[derive(Debug)]
pub(super) struct Reply {
    /// The time to wait before the permit may be requested again; `None` if it is granted.
    pub(super) wait: Option<Duration>,
    /// The origin of the stream that the permit is for.
    pub(super) origin: Option<Origin>,
}

impl Reply {
    fn new(wait: Option<Duration>) -> Self {
        Self { wait, origin: None }
    }
}

/// The recipient of a reply.
#[derive(Debug)]
enum Waiter {
    /// A request of this entry.
    Local(oneshot::Sender<Reply>),
    /// An entry whose permit request was forwarded, and the number of that request there.
    Forwarded(id::Host, u64),
}

/// The permit requests of this entry and of others that have no reply yet, by number.
#[derive(Debug, Default)]
pub(super) struct PendingPermits {
    waiters: Mutex<Waiters>,
}

#[derive(Debug, Default)]
struct Waiters {
    next: u64,
    waiting: BTreeMap<u64, Waiter>,
}

impl PendingPermits {
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
    /// Requests a permit from the owner of its key. Returns `None` if it is granted, or the time to
    /// wait before requesting it again. An owner that does not reply `within` this time counts as a
    /// refusal.
    pub(crate) async fn request_permit(
        &self,
        permit: Permit,
        within: Duration,
    ) -> Option<Duration> {
        let owner = match self.permit_route(&permit.key(), None) {
            Route::Own => return self.decide(&self.own.host, &permit),
            Route::Unreachable => return Some(UNREACHABLE_RETRY),
            Route::Send(owner) => owner,
        };
        self.ask(&owner, permit, within).await.map_or(Some(UNANSWERED_RETRY), |reply| reply.wait)
    }

    /// Requests a permit from one entry. Returns `None` if it does not reply `within` this time.
    pub(super) async fn ask(
        &self,
        entry: &id::Host,
        permit: Permit,
        within: Duration,
    ) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        let number = self.pending_permits.add(Waiter::Local(sender));
        let key = permit.key();
        self.links.send(entry, &Frame::PermitRequest { id: number, permit });
        let reply = timeout(within, receiver).await;
        self.pending_permits.remove(number);
        let reply = reply.ok().and_then(Result::ok);
        if reply.is_none() {
            log::warn!(about = key.as_str(), keeper:% = entry; "no answer from owner");
        }
        reply
    }

    /// Replies to the permit request of another entry, or forwards that of a leaf to the owner.
    pub(super) fn handle_permit_request(&self, from: &id::Host, number: u64, permit: Permit) {
        let send = |Reply { wait, origin }| {
            let wait_ms = wait.map(millis);
            self.links.send(from, &Frame::PermitReply { id: number, wait_ms, origin });
        };
        let reply = |wait| send(Reply::new(wait));
        if let Permit::Resumption(key) = &permit {
            let origin = self.process.origin(*key);
            let wait = origin.is_none().then_some(UNANSWERED_RETRY);
            return send(Reply { wait, origin });
        }
        if let Permit::Features(features) = &permit {
            return reply(self.decide_on_features(features));
        }
        match self.permit_route(&permit.key(), Some(from)) {
            Route::Own => {}
            Route::Unreachable => return reply(unreachable_wait(&permit)),
            Route::Send(owner) if !self.can_read(&owner, &permit) => {
                return reply(unreachable_wait(&permit));
            }
            Route::Send(owner) => {
                let id = self.pending_permits.add(Waiter::Forwarded(from.clone(), number));
                return self.links.send(&owner, &Frame::PermitRequest { id, permit });
            }
        }
        match &permit {
            Permit::Trial(record) => self.apply_poison(from, vec![record.clone()]),
            Permit::LimitedSend(update) => self.apply_limits(from, vec![update.clone()]),
            Permit::ColdSend(update) => self.process.apply_cold_update(update),
            Permit::Slot(request) => self.apply_tolerance(from, request.update.clone()),
            Permit::Features(_) | Permit::Prefill(_) | Permit::Resumption(_) => {}
        }
        reply(self.decide(from, &permit));
    }

    /// Delivers a reply to the waiting request, or forwards it to the leaf that sent the request.
    pub(super) fn handle_permit_reply(&self, number: u64, reply: Reply) {
        match self.pending_permits.remove(number) {
            Some(Waiter::Local(waiter)) => {
                // A request that no longer waits has been refused already.
                let _ = waiter.send(reply);
            }
            Some(Waiter::Forwarded(host, id)) => {
                let Reply { wait, origin } = reply;
                let wait_ms = wait.map(millis);
                self.links.send(&host, &Frame::PermitReply { id, wait_ms, origin });
            }
            None => {}
        }
    }

    /// Decides on a permit that `from` requests at its owner: `None` grants it, `Some` is the time to
    /// wait.
    fn decide(&self, from: &id::Host, permit: &Permit) -> Option<Duration> {
        match permit {
            Permit::Trial(record) => match self.process.try_trial(record.fingerprint) {
                Decision::Allow | Decision::Trial => None,
                Decision::Refuse(wait) => Some(wait),
            },
            Permit::LimitedSend(update) => self.process.try_send(&update.target),
            Permit::ColdSend(update) => self.process.try_cold_send(update, from),
            Permit::Slot(request) => self.process.grant_slot(request),
            Permit::Prefill(request) => self.process.grant_prefill(request),
            Permit::Features(features) => self.decide_on_features(features),
            Permit::Resumption(key) => {
                self.process.origin(*key).is_none().then_some(UNANSWERED_RETRY)
            }
        }
    }
}

/// Returns the reply to a request for a permit whose owner can't be reached: prompts are sent by the
/// view of their entries then.
fn unreachable_wait(permit: &Permit) -> Option<Duration> {
    match permit {
        Permit::Prefill(_) => None,
        _ => Some(UNREACHABLE_RETRY),
    }
}
