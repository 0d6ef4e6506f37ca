//! The tickets of this process and the store of those that were used.

use fireflyhoist_policy::id;
use fireflyhoist_policy::idempotency::{Claim, MAX_ENTRIES, Outcome, Store};
use fireflyhoist_policy::ticket::{LIFETIME, Ticket};
use ntex::util::Bytes;
use parking_lot::Mutex;

use crate::process::clock::Clock;

/// A reply that is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredReply {
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
}

/// What this process issued and what was used of it; gone with the process, as it must be.
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

    /// Whether this very process issued the ticket. A restart on the same address did not: it
    /// has forgotten what ran, so it must not run anything either.
    pub(crate) fn issued(&self, ticket: &Ticket) -> bool {
        ticket.issuer == self.host && ticket.instance == self.instance
    }

    /// Whether the ticket names this host, in whatever run of its daemon.
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
