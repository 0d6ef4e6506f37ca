//! The memory that callers make a process hold together, for bodies and answers.
//!
//! Each body or answer has an account. An account that needs more than is left may have another one
//! evicted: of those whose callers move nothing, the one that holds most. A caller that stops in the
//! middle of a body, or reads no answer, then loses its connection, and not the next caller that
//! comes.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use derive_more::{Display, Error};

use crate::time::Time;

/// How long an account may move less than [`MIN_MOVED`] before it is stalled: the retransmission of
/// a lost segment takes less.
pub const STALL: Duration = Duration::from_millis(500);

/// The bytes that a caller must move within [`STALL`].
const MIN_MOVED: usize = 1 << 10;

/// Accounts that hold no more than this may use all of the memory, larger ones leave a part of it.
pub const SMALL: usize = 256 << 10;

/// The part of the memory that is left to small accounts.
const SMALL_SHARE: usize = 4;

/// Identifies an account.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Account(u64);

/// The error if no memory is left for an account.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Refused {
    /// Too much is held by others, none of which has stalled.
    #[display("no memory is left; try again later")]
    Full,
    /// The account itself was evicted.
    #[display("evicted for a stall; send or read faster")]
    Evicted,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    bytes: usize,
    /// Whether its caller decides how long it is held.
    evictable: bool,
    evicted: bool,
    /// When its caller had last moved [`MIN_MOVED`] bytes.
    moved_at: Time,
    /// What it has moved since then.
    moved: usize,
}

impl Holding {
    fn record_moved(&mut self, bytes: usize, now: Time) {
        self.moved += bytes;
        if self.moved >= MIN_MOVED {
            (self.moved, self.moved_at) = (0, now);
        }
    }

    fn is_stalled(&self, now: Time) -> bool {
        now.since(self.moved_at) >= STALL
    }
}

/// The memory for all accounts of a process.
#[derive(Debug)]
pub struct Budget {
    capacity: usize,
    used: usize,
    next: u64,
    accounts: HashMap<Account, Holding>,
    /// Evicted accounts that [`Budget::take_evicted`] has not returned yet.
    evicted: Vec<Account>,
    /// Accounts that wait for memory.
    waiting: BTreeSet<Account>,
}

impl Budget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: 0,
            next: 0,
            accounts: HashMap::new(),
            evicted: Vec::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Returns the bytes of all accounts.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Opens an empty account.
    pub fn open(&mut self, now: Time) -> Account {
        let account = Account(self.next);
        self.next += 1;
        let holding =
            Holding { bytes: 0, evictable: false, evicted: false, moved_at: now, moved: 0 };
        self.accounts.insert(account, holding);
        account
    }

    /// Closes an account and returns its bytes to the others.
    pub fn close(&mut self, account: Account) {
        self.waiting.remove(&account);
        if let Some(holding) = self.accounts.remove(&account) {
            self.used -= holding.bytes;
        }
    }

    /// Adds bytes to an account, for which others may be evicted.
    ///
    /// # Errors
    ///
    /// Fails if no account can be evicted, or if this one was. It keeps what it had.
    pub fn reserve(&mut self, account: Account, bytes: usize, now: Time) -> Result<(), Refused> {
        let held = self.accounts.get(&account).filter(|held| !held.evicted);
        let held = held.ok_or(Refused::Evicted)?;
        let is_small = held.bytes + bytes <= SMALL;
        let is_behind = self.waiting.contains(&account) && self.waiting.last() != Some(&account);
        if is_behind && !is_small {
            return Err(Refused::Full);
        }
        let limit = match is_small {
            true => self.capacity,
            false => self.capacity - self.capacity / SMALL_SHARE,
        };
        while self.used + bytes > limit {
            let victim = self.victim(account, is_small, now).ok_or(Refused::Full)?;
            self.evict(victim);
        }
        if let Some(holding) = self.accounts.get_mut(&account) {
            holding.bytes += bytes;
            self.used += bytes;
        }
        Ok(())
    }

    /// Sets whether an account waits for memory. Of those that do, the newest gets it first: in front of
    /// callers that read nothing, the next one would wait until all of them are evicted.
    pub fn set_waiting(&mut self, account: Account, waiting: bool) {
        match waiting {
            true => self.waiting.insert(account),
            false => self.waiting.remove(&account),
        };
    }

    /// Returns the accounts that were evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<Account> {
        std::mem::take(&mut self.evicted)
    }

    /// Returns bytes of an account to the others.
    pub fn release(&mut self, account: Account, bytes: usize) {
        if let Some(holding) = self.accounts.get_mut(&account) {
            let released = bytes.min(holding.bytes);
            holding.bytes -= released;
            self.used -= released;
        }
    }

    /// Sets whether an account waits for its caller, which is to send a body or to read an answer.
    pub fn set_evictable(&mut self, account: Account, evictable: bool, now: Time) {
        if let Some(holding) = self.accounts.get_mut(&account) {
            holding.evictable = evictable;
            (holding.moved, holding.moved_at) = (0, now);
        }
    }

    /// Records that the caller of an account has sent or read so many bytes.
    pub fn record_moved(&mut self, account: Account, bytes: usize, now: Time) {
        if let Some(holding) = self.accounts.get_mut(&account) {
            holding.record_moved(bytes, now);
        }
    }

    /// Chooses the account to evict for another one: the largest that has stalled or, for a small
    /// one, the largest that is not small.
    fn victim(&self, other: Account, is_small: bool, now: Time) -> Option<Account> {
        let others = self.accounts.iter().filter(|(account, holding)| {
            **account != other && holding.evictable && !holding.evicted && holding.bytes > 0
        });
        let chosen = others
            .filter(|(_, holding)| holding.is_stalled(now) || (is_small && holding.bytes > SMALL));
        let chosen = chosen
            .max_by_key(|(account, holding)| (holding.is_stalled(now), holding.bytes, **account));
        chosen.map(|(account, _)| *account)
    }

    fn evict(&mut self, account: Account) {
        if let Some(holding) = self.accounts.get_mut(&account) {
            self.used -= holding.bytes;
            (holding.bytes, holding.evicted) = (0, true);
            self.evicted.push(account);
        }
    }
}
