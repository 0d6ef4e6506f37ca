//! The idempotency store of one process: which of its tickets were used, and the outcomes.
//!
//! Callers repeat a call whose answer they did not receive, while the first is still running or
//! long after, and through any entry. Without the store each repeat would run, and charge for, the
//! call again. The store keeps a ticket until the ticket expires, so its size is bounded by the
//! tickets used within [`crate::ticket::LIFETIME`]. Once full, it refuses new calls: evicting a
//! used ticket early would let its call run twice.

use std::collections::{BTreeMap, BTreeSet};

use crate::ticket::Ticket;
use crate::time::Time;

/// Used tickets kept at once; enough for a hundred calls a second over a ticket's lifetime.
pub const MAX_ENTRIES: usize = 65_536;

/// Bytes of replies kept at once, out of the 32 MB allowed for control state.
pub const MAX_BYTES: usize = 8 << 20;

/// The largest reply that is kept, in bytes; of larger ones only the status is.
pub const MAX_REPLY_BYTES: usize = 16 << 10;

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<R> {
    /// The target replied.
    Replied {
        /// The HTTP status.
        status: u16,
        /// The reply, where it was small enough to keep.
        reply: Option<R>,
    },
    /// The call was written and no reply came, so it is unknown whether it ran.
    Unknown,
}

/// The result of claiming a ticket that this process issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim<R> {
    /// The caller must run the call now; no other claim is told to.
    Run,
    /// The call is running.
    Running,
    /// The call has run.
    Ran(Outcome<R>),
    /// The ticket was used for another call.
    Mismatch,
    /// The ticket has expired, and whether it was used may no longer be known.
    Expired,
    /// The store is full, so the call must not run.
    Full,
}

#[derive(Clone, Debug)]
struct Entry<R> {
    /// A digest of the call, so that a ticket is not accepted for two calls.
    call_digest: u64,
    expires: Time,
    bytes: usize,
    outcome: Option<Outcome<R>>,
}

/// The used tickets of one process.
#[derive(Clone, Debug)]
pub struct Store<R> {
    issued: u64,
    entries: BTreeMap<u64, Entry<R>>,
    expiries: BTreeSet<(Time, u64)>,
    bytes: usize,
    max_entries: usize,
}

impl<R: Clone> Store<R> {
    /// Creates a store that keeps at most `max_entries` tickets, such as [`MAX_ENTRIES`].
    pub fn open(max_entries: usize) -> Self {
        Self {
            issued: 0,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            bytes: 0,
            max_entries,
        }
    }

    /// Returns the sequence number of the next ticket; issuing one costs no memory.
    pub fn issue(&mut self) -> u64 {
        self.issued += 1;
        self.issued
    }

    /// Claims a ticket of this process for the call with digest `call`.
    pub fn claim(&mut self, now: Time, ticket: &Ticket, call: u64) -> Claim<R> {
        // Prevents a second run after the entry is evicted: expiry is checked against this
        // process's own clock, which does not go back, and always before the entry is evicted.
        if ticket.expires <= now {
            self.evict_expired(now);
            return Claim::Expired;
        }
        if let Some(entry) = self.entries.get(&ticket.sequence) {
            return match &entry.outcome {
                _ if entry.call_digest != call => Claim::Mismatch,
                None => Claim::Running,
                Some(outcome) => Claim::Ran(outcome.clone()),
            };
        }
        self.evict_expired(now);
        if self.entries.len() >= self.max_entries {
            return Claim::Full;
        }
        let entry = Entry { call_digest: call, expires: ticket.expires, bytes: 0, outcome: None };
        self.expiries.insert((entry.expires, ticket.sequence));
        self.entries.insert(ticket.sequence, entry);
        Claim::Run
    }

    /// Returns whether the ticket has been used.
    pub fn contains(&self, sequence: u64) -> bool {
        self.entries.contains_key(&sequence)
    }

    /// Releases a claim whose call was not written to any target; the ticket may be claimed again.
    pub fn release(&mut self, sequence: u64) {
        if let Some(entry) = self.entries.remove(&sequence) {
            self.expiries.remove(&(entry.expires, sequence));
            self.bytes -= entry.bytes;
        }
    }

    /// Records the outcome of a claimed call; `bytes` is the size of the reply.
    pub fn complete(&mut self, sequence: u64, outcome: Outcome<R>, bytes: usize) {
        let fits = bytes <= MAX_REPLY_BYTES && self.bytes + bytes <= MAX_BYTES;
        // An entry that expired while its call ran is gone; its ticket is answered as expired.
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        entry.outcome = Some(match outcome {
            Outcome::Replied { status, reply: Some(_) } if !fits => {
                Outcome::Replied { status, reply: None }
            }
            outcome => {
                entry.bytes = bytes;
                self.bytes += bytes;
                outcome
            }
        });
    }

    /// Returns the number of tickets kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict_expired(&mut self, now: Time) {
        while let Some((expires, sequence)) = self.expiries.first().copied() {
            if expires > now {
                return;
            }
            self.release(sequence);
        }
    }
}
