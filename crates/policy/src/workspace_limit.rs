//! Limits of a workspace that hold across entries without shared state.
//!
//! A workspace may open far more streams, or draw far more tokens a second, than it is allowed to,
//! through as many entries as it can reach. If each entry enforced the whole limit, the workspace
//! would get it once for each entry: eight times with eight entries.
//!
//! Each entry therefore enforces a part of the limit. The part is a pure function of the
//! *published* host list and does not depend on which hosts seem alive, so that the parts sum to
//! one even across both sides of a partition. Callers are directed to the first entries of their
//! workspace's ranking ([`crate::rendezvous`]), and the parts follow that ranking. With equal
//! parts, a workspace that uses a single entry as directed would get only an eighth of its limit.
//!
//! The first entry has half of the limit and the second half of the rest. The others divide what
//! remains, for callers that do not know the ranking yet. A part shrinks at once and grows by
//! [`MAX_GROWTH_PER_SECOND`] of the whole limit a second: a host that was just removed from the
//! list may not know this yet and still use its part, and a list that flaps changes little. Until
//! two hosts have read the same list, the sum can exceed the limit by the parts of the hosts in
//! which their lists differ.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;
use crate::rendezvous;
use crate::time::Time;
use crate::unit::{Share, TokenRate, Tokens};

/// How much a part may grow in a second, as a fraction of the whole limit.
pub const MAX_GROWTH_PER_SECOND: f64 = 0.05;

/// How many seconds' worth of tokens may be drawn at once, since answers arrive in bursts.
pub const BURST_SECONDS: f64 = 10.0;

/// The wait that a refusal suggests when the number of streams, not of tokens, is at the limit:
/// about the duration of a short answer.
const STREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest wait that a refusal suggests.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The limits that operators set for one workspace over all entries; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Streams open at once.
    pub streams: Option<u32>,
    /// Tokens a second.
    pub rate: Option<TokenRate>,
}

/// The part of a workspace's limits that one entry enforces, as the interval between two fractions
/// of the whole.
///
/// Intervals rather than sizes allow whole streams to be divided without a remainder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    begin: f64,
    end: f64,
}

impl Part {
    /// Returns the part of `own` among the published entry hosts; an empty part if it is not
    /// listed.
    pub fn of(workspace: &id::Workspace, own: &id::Host, published: &[id::Host]) -> Self {
        let ranked = rendezvous::rank(workspace.as_str(), published, |host| host.as_str());
        match ranked.iter().position(|host| *host == own) {
            Some(rank) => {
                Self { begin: boundary(rank, ranked.len()), end: boundary(rank + 1, ranked.len()) }
            }
            None => Self { begin: 0.0, end: 0.0 },
        }
    }

    /// Returns the size of the part.
    pub fn share(&self) -> Share {
        Share::new(self.end - self.begin)
    }

    /// Returns the whole streams in this part; over all entries they sum to `streams` exactly.
    pub fn streams(&self, streams: u32) -> u32 {
        let whole = f64::from(streams);
        // Boundaries are sums of floats. Without the small addition, 0.999... of a stream would be
        // rounded down.
        let streams_below = |boundary: f64| (boundary * whole + 1e-6) as u32;
        streams_below(self.end) - streams_below(self.begin)
    }
}

/// Returns where the part of the entry with this rank begins, as a fraction of the whole.
fn boundary(rank: usize, count: usize) -> f64 {
    match (rank, count) {
        (0, _) => 0.0,
        (rank, count) if rank >= count => 1.0,
        (1, _) => 0.5,
        (rank, count) => 0.75 + 0.25 * (rank - 2) as f64 / (count - 2) as f64,
    }
}

/// The limit of one workspace and what it uses of this entry's part.
#[derive(Clone, Copy, Debug)]
struct Account {
    limit: Limit,
    part: Part,
    /// The share in force, which follows that of `part` in bounded steps.
    share: f64,
    share_updated_at: Time,
    open_streams: u32,
    tokens: f64,
    filled_at: Time,
}

impl Account {
    fn advance(&mut self, now: Time) {
        let target_share = self.part.share().get();
        let step = MAX_GROWTH_PER_SECOND * now.since(self.share_updated_at).as_secs_f64();
        self.share = (self.share + step).min(target_share);
        self.share_updated_at = now;
        if let Some(rate) = self.limit.rate {
            let rate = rate.get() * self.share;
            let earned = rate * now.since(self.filled_at).as_secs_f64();
            self.tokens = (self.tokens + earned).min(rate * BURST_SECONDS);
        }
        self.filled_at = now;
    }

    fn stream_limit(&self) -> Option<u32> {
        let whole = self.limit.streams?;
        let target_share = self.part.share().get();
        let reached = if target_share > 0.0 { self.share / target_share } else { 0.0 };
        Some((f64::from(self.part.streams(whole)) * reached + 1e-6) as u32)
    }

    fn admit(&mut self) -> Result<(), Duration> {
        if self.stream_limit().is_some_and(|limit| self.open_streams >= limit) {
            return Err(STREAM_RETRY_AFTER);
        }
        if let Some(rate) = self.limit.rate
            && self.tokens <= 0.0
        {
            let seconds = (1.0 - self.tokens) / (rate.get() * self.share).max(1e-3);
            let wait = Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()));
            return Err(wait.max(STREAM_RETRY_AFTER));
        }
        self.open_streams += 1;
        Ok(())
    }
}

/// The limits that one entry enforces. Workspaces without limits have no state here.
#[derive(Debug, Default)]
pub struct Limits {
    accounts: HashMap<id::Workspace, Account>,
}

impl Limits {
    /// Creates a set without any limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limit of a workspace and this entry's part of it. Streams that are already open are
    /// not affected.
    pub fn set(&mut self, now: Time, workspace: &id::Workspace, limit: Limit, part: Part) {
        let share = part.share().get();
        let account = self.accounts.entry(workspace.clone()).or_insert_with(|| Account {
            limit,
            part,
            share,
            share_updated_at: now,
            open_streams: 0,
            tokens: limit.rate.map_or(0.0, |rate| rate.get() * share * BURST_SECONDS),
            filled_at: now,
        });
        account.advance(now);
        account.limit = limit;
        account.part = part;
        account.share = account.share.min(share);
    }

    /// Drops the limits of all workspaces for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&id::Workspace) -> bool) {
        self.accounts.retain(|workspace, _| keep(workspace));
    }

    /// Opens a stream, or returns how long to wait before trying again.
    pub fn admit(&mut self, now: Time, workspace: &id::Workspace) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(workspace) else { return Ok(()) };
        account.advance(now);
        account.admit()
    }

    /// Records tokens that answers of a workspace have drawn. The length of an answer is not known
    /// in advance, so it may overdraw; new streams then wait until the debt is refilled.
    pub fn spend(&mut self, now: Time, workspace: &id::Workspace, tokens: Tokens) {
        let Some(account) = self.accounts.get_mut(workspace) else { return };
        account.advance(now);
        account.tokens -= tokens.get() as f64;
    }

    /// Records that a stream has ended.
    pub fn release(&mut self, workspace: &id::Workspace) {
        let Some(account) = self.accounts.get_mut(workspace) else { return };
        account.open_streams = account.open_streams.saturating_sub(1);
    }
}
