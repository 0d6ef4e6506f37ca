//! The memory that callers make this process hold: for requests in progress, and for their bodies and
//! answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::payload::{Account, Budget, Refused};
use fireflyhoist_policy::time::Time;
use parking_lot::Mutex;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

use crate::connection::limit::{Limit, Limits};

/// The interval at which an account that waits for memory looks for others that have stalled.
const STALL_POLL: Duration = Duration::from_millis(100);

/// How long an answer of unknown length, which holds memory already, waits for more.
pub(crate) const GROWTH_TIMEOUT: Duration = Duration::from_millis(500);

/// What a request takes besides its head: its task and its state.
const REQUEST_BYTES: usize = 24 << 10;

/// How often a head is kept: as received, as forwarded, and for the target.
const HEAD_COPIES: usize = 3;

/// What an attempt takes: the buffers of the connection to the target, and what the system has
/// received there.
const ATTEMPT_BYTES: usize = 64 << 10;

/// The unit of permits for requests and attempts.
const PERMIT_BYTES: usize = 1 << 10;

/// The permission to hold a request or an attempt.
pub(crate) type Permit = OwnedSemaphorePermit;

/// The memory of a process that callers can use.
#[derive(Debug)]
pub(crate) struct Memory {
    started_at: Instant,
    limits: Limits,
    /// Permits for requests and attempts.
    requests: Arc<Semaphore>,
    accounts: Mutex<Accounts>,
    /// Notified when an account returns bytes.
    freed: Notify,
}

#[derive(Debug)]
struct Accounts {
    budget: Budget,
    /// Notified when an account is evicted.
    evictions: HashMap<Account, Arc<Notify>>,
}

impl Memory {
    /// Creates the memory: so many bytes for bodies and answers, and so many for requests.
    pub(crate) fn open(payload_bytes: usize, request_bytes: usize, limits: Limits) -> Arc<Self> {
        let accounts = Accounts { budget: Budget::new(payload_bytes), evictions: HashMap::new() };
        Arc::new(Self {
            started_at: Instant::now(),
            limits,
            requests: Arc::new(Semaphore::new(request_bytes / PERMIT_BYTES)),
            accounts: Mutex::new(accounts),
            freed: Notify::new(),
        })
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started_at.elapsed()
    }

    /// Returns the permission to hold a request with a head of this size.
    pub(crate) fn permit_request(&self, head: usize) -> Option<Permit> {
        self.permit(REQUEST_BYTES + HEAD_COPIES * head)
    }

    /// Returns the permission to send a request to a target.
    pub(crate) fn permit_attempt(&self) -> Option<Permit> {
        self.permit(ATTEMPT_BYTES)
    }

    fn permit(&self, bytes: usize) -> Option<Permit> {
        let permits = u32::try_from(bytes / PERMIT_BYTES).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.requests).try_acquire_many_owned(permits).ok();
        if permit.is_none() {
            self.limits.reached(Limit::Requests);
        }
        permit
    }

    /// Opens an account for a body or an answer.
    pub(crate) fn hold(self: &Arc<Self>) -> Holding {
        let now = self.now();
        let evicted = Arc::new(Notify::new());
        let mut accounts = self.accounts.lock();
        let account = accounts.budget.open(now);
        accounts.evictions.insert(account, Arc::clone(&evicted));
        drop(accounts);
        Holding { memory: Arc::clone(self), account, evicted }
    }

    /// Returns the bytes of all bodies and answers.
    pub(crate) fn used(&self) -> usize {
        self.accounts.lock().budget.used()
    }

    fn reserve(&self, account: Account, bytes: usize) -> Result<(), Refused> {
        let now = self.now();
        let mut accounts = self.accounts.lock();
        let reserved = accounts.budget.reserve(account, bytes, now);
        for evicted in accounts.budget.take_evicted() {
            self.limits.reached(Limit::Stalled);
            if let Some(eviction) = accounts.evictions.get(&evicted) {
                eviction.notify_one();
            }
        }
        reserved
    }
}

/// An account for a body or an answer, which is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct Holding {
    memory: Arc<Memory>,
    account: Account,
    evicted: Arc<Notify>,
}

impl Holding {
    /// Adds bytes to the account, if there is memory left.
    pub(crate) fn reserve(&self, bytes: usize) -> Result<(), Refused> {
        let reserved = self.memory.reserve(self.account, bytes);
        if reserved == Err(Refused::Full) {
            self.memory.limits.reached(Limit::Payload);
        }
        reserved
    }

    /// Adds bytes to the account, as soon as there is memory left.
    pub(crate) async fn reserve_when_free(&self, bytes: usize) -> Result<(), Refused> {
        let mut reserved = self.reserve(bytes);
        if reserved == Err(Refused::Full) {
            self.set_waiting(true);
            while reserved == Err(Refused::Full) {
                let freed = self.memory.freed.notified();
                // Also looks for others that have stalled since.
                let _ = timeout(STALL_POLL, freed).await;
                reserved = self.memory.reserve(self.account, bytes);
            }
            self.set_waiting(false);
            self.memory.freed.notify_waiters();
        }
        reserved
    }

    fn set_waiting(&self, waiting: bool) {
        self.memory.accounts.lock().budget.set_waiting(self.account, waiting);
    }

    /// Records that the caller has sent or read so many bytes.
    pub(crate) fn record_moved(&self, bytes: usize) {
        let now = self.memory.now();
        self.memory.accounts.lock().budget.record_moved(self.account, bytes, now);
    }

    /// Sets whether the account waits for the caller, and may be evicted if that stalls.
    pub(crate) fn set_evictable(&self, evictable: bool) {
        let now = self.memory.now();
        self.memory.accounts.lock().budget.set_evictable(self.account, evictable, now);
    }

    /// Waits until the account is evicted.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Returns the end of the account, to wait for without holding it.
    pub(crate) fn eviction(&self) -> Eviction {
        Eviction {
            memory: Arc::clone(&self.memory),
            account: self.account,
            ended: Arc::clone(&self.evicted),
        }
    }
}

/// The end of an account.
#[derive(Debug)]
pub(crate) struct Eviction {
    memory: Arc<Memory>,
    account: Account,
    ended: Arc<Notify>,
}

impl Eviction {
    /// Waits until the account has ended, and returns whether it was evicted.
    pub(crate) async fn wait(self) -> bool {
        self.ended.notified().await;
        // A closed account is no longer known.
        self.memory.accounts.lock().evictions.contains_key(&self.account)
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut accounts = self.memory.accounts.lock();
        accounts.budget.close(self.account);
        accounts.evictions.remove(&self.account);
        drop(accounts);
        self.evicted.notify_one();
        self.memory.freed.notify_waiters();
    }
}
