//! The ledger of one process: which of its tickets have been used, and what came of it.
//!
//! Load pattern: callers repeat a call whose answer they did not see, while the first is still
//! running or long after, through any entry. Without the ledger each repeat is another crew sent
//! and paid. It remembers a ticket until the ticket expires, so its size is bounded by what was
//! used within [`crate::ticket::LIFETIME`], and it refuses to run anything new once it is full:
//! to forget a used ticket early would let its call run twice.

use std::collections::{BTreeMap, BTreeSet};

use crate::ticket::Ticket;
use crate::time::Time;

/// Used tickets remembered at once; a hundred calls a second over a ticket's life.
pub const MAX_ENTRIES: usize = 65_536;

/// Bytes of replies remembered at once, of the control state's 32 MB.
pub const MAX_BYTES: usize = 8 << 20;

/// The largest reply that is remembered; of larger ones only the status is.
pub const MAX_REPLY: usize = 16 << 10;

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Result<R> {
    /// The target replied.
    Replied {
        /// The HTTP status.
        status: u16,
        /// The reply, where it was small enough to remember.
        reply: Option<R>,
    },
    /// The call was written and no reply came, so nobody can tell.
    Unknown,
}

/// What a process may do with a ticket of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim<R> {
    /// Run the call now; nobody else will.
    Run,
    /// The call is running.
    Running,
    /// The call has run.
    Ran(Result<R>),
    /// The ticket was used for another call.
    Crossed,
    /// The ticket is too old, and whether it was used may be forgotten.
    Expired,
    /// The ledger cannot remember another ticket, so the call is not run.
    Full,
}

#[derive(Clone, Debug)]
struct Entry<R> {
    /// A digest of the call, so that a ticket is not taken for two.
    call: u64,
    expires: Time,
    bytes: usize,
    result: Option<Result<R>>,
}

/// Used tickets of one process.
#[derive(Clone, Debug)]
pub struct Ledger<R> {
    issued: u64,
    entries: BTreeMap<u64, Entry<R>>,
    expiries: BTreeSet<(Time, u64)>,
    bytes: usize,
    max_entries: usize,
}

impl<R: Clone> Ledger<R> {
    /// Opens a ledger that remembers at most `max_entries` tickets, such as [`MAX_ENTRIES`].
    pub fn open(max_entries: usize) -> Self {
        Self {
            issued: 0,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            bytes: 0,
            max_entries,
        }
    }

    /// The number of the next ticket; issuing costs no memory.
    pub fn issue(&mut self) -> u64 {
        self.issued += 1;
        self.issued
    }

    /// Decides on the use of a ticket of this process for the call with digest `call`.
    pub fn claim(&mut self, now: Time, ticket: &Ticket, call: u64) -> Claim<R> {
        // Guards against a second run after the entry is forgotten: expiry is judged by this
        // process's own clock, which does not go back, and always before the entry is dropped.
        if ticket.expires <= now {
            self.sweep(now);
            return Claim::Expired;
        }
        if let Some(entry) = self.entries.get(&ticket.sequence) {
            return match &entry.result {
                _ if entry.call != call => Claim::Crossed,
                None => Claim::Running,
                Some(result) => Claim::Ran(result.clone()),
            };
        }
        self.sweep(now);
        if self.entries.len() >= self.max_entries {
            return Claim::Full;
        }
        let entry = Entry { call, expires: ticket.expires, bytes: 0, result: None };
        self.expiries.insert((entry.expires, ticket.sequence));
        self.entries.insert(ticket.sequence, entry);
        Claim::Run
    }

    /// Whether the ticket has been used.
    pub fn knows(&self, sequence: u64) -> bool {
        self.entries.contains_key(&sequence)
    }

    /// Takes back a claim whose call was not written to any target; it may be claimed again.
    pub fn release(&mut self, sequence: u64) {
        if let Some(entry) = self.entries.remove(&sequence) {
            self.expiries.remove(&(entry.expires, sequence));
            self.bytes -= entry.bytes;
        }
    }

    /// Notes what came of a claimed call; `bytes` is the size of the reply.
    pub fn settle(&mut self, sequence: u64, result: Result<R>, bytes: usize) {
        let fits = bytes <= MAX_REPLY && self.bytes + bytes <= MAX_BYTES;
        // An entry that expired while its call ran is gone; its ticket answers as expired.
        let Some(entry) = self.entries.get_mut(&sequence) else { return };
        entry.result = Some(match result {
            Result::Replied { status, reply: Some(_) } if !fits => {
                Result::Replied { status, reply: None }
            }
            result => {
                entry.bytes = bytes;
                self.bytes += bytes;
                result
            }
        });
    }

    /// Tickets remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn sweep(&mut self, now: Time) {
        while let Some((expires, sequence)) = self.expiries.first().copied() {
            if expires > now {
                return;
            }
            self.release(sequence);
        }
    }
}
