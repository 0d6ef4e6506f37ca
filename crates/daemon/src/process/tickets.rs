//! The tickets that this process issues, and the idempotency store of those that were used.

use fireflyhoist_policy::id;
use fireflyhoist_policy::idempotency::{Claim, MAX_ENTRIES, Outcome, Store};
use fireflyhoist_policy::ticket::{LIFETIME, Ticket};
use ntex::util::Bytes;
use parking_lot::Mutex;

use crate::process::clock::Clock;

/// A reply that is stored to answer repeated calls with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredReply {
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
}

/// The ticket issuer and its idempotency store.
///
/// Both are lost with the process, and a restarted process has a new instance id, so it refuses
/// tickets of the one before.
#[derive(Debug)]
pub(crate) struct Tickets {
    clock: Clock,
    host: id::Host,
    instance: id::Instance,
    store: Mutex<Store<StoredReply>>,
}

impl Tickets {
    pub(crate) fn open(clock: Clock, host: id::Host) -> Self {
        let instance = id::Instance::new(rand::random());
        Self { clock, host, instance, store: Mutex::new(Store::open(MAX_ENTRIES)) }
    }

    pub(crate) fn issue(&self) -> Ticket {
        Ticket {
            issuer: self.host.clone(),
            instance: self.instance,
            sequence: self.store.lock().issue(),
            expires: self.clock.now() + LIFETIME,
        }
    }

    /// Returns whether this process issued the ticket.
    ///
    /// After a restart on the same address it did not: the store of what ran is lost, so a call
    /// with an older ticket must not run again.
    pub(crate) fn issued(&self, ticket: &Ticket) -> bool {
        ticket.issuer == self.host && ticket.instance == self.instance
    }

    /// Returns whether this host issued the ticket, in this or an earlier process.
    pub(crate) fn names_this_host(&self, ticket: &Ticket) -> bool {
        ticket.issuer == self.host
    }

    pub(crate) fn contains(&self, ticket: &Ticket) -> bool {
        self.store.lock().contains(ticket.sequence)
    }

    pub(crate) fn claim(&self, ticket: &Ticket, call: u64) -> Claim<StoredReply> {
        self.store.lock().claim(self.clock.now(), ticket, call)
    }

    pub(crate) fn release(&self, ticket: &Ticket) {
        self.store.lock().release(ticket.sequence);
    }

    pub(crate) fn complete(&self, ticket: &Ticket, result: Outcome<StoredReply>, bytes: usize) {
        self.store.lock().complete(ticket.sequence, result, bytes);
    }
}
