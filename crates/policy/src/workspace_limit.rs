//! Limits of a workspace that hold across entries without shared state.
//!
//! **Load pattern.** One workspace opens far more streams, or draws far more tokens a second,
//! than it is meant to, through as many entries as it can find.
//!
//! **Without it.** It gets the limit once for each entry, eight times what the operators wrote.
//!
//! **How it holds.** Each entry enforces a part of the limit that is a pure function of the
//! *published* host list, never of who seems alive, so that the parts sum to one on both sides of
//! a partition together. Callers are told to prefer the first entries of their workspace's
//! ranking ([`crate::rendezvous`]), so the parts follow that ranking: with equal parts a
//! workspace that uses one entry, as it is asked to, would get an eighth of its limit.
//!
//! **Figures.** The first entry has half and the second half of the rest; the others divide what
//! remains, for callers that have not heard yet. A part shrinks at once and grows by
//! [`MAX_GROWTH_PER_SECOND`] of the whole limit a second: the host that just left the list may not know it yet
//! and still use its part, and a list that flaps moves little. Until both have read the same list
//! the sum can exceed the limit by the part of the hosts that differ.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;
use crate::rendezvous;
use crate::time::Time;
use crate::unit::{Share, TokenRate, Tokens};

/// How much of the whole limit a part may grow in a second.
pub const MAX_GROWTH_PER_SECOND: f64 = 0.05;

/// How many seconds' worth of tokens may be drawn at once; answers arrive in bursts.
pub const BURST_SECONDS: f64 = 10.0;

/// When to come back where streams, not tokens, are at the limit: about a short answer's length.
const STREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest wait that a refusal names.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// What the operators allow one workspace over all entries; absent means without bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Streams open at once.
    pub streams: Option<u32>,
    /// Tokens a second.
    pub rate: Option<TokenRate>,
}

/// The part of a workspace's limits that one entry enforces, between two marks of the whole.
///
/// Two marks rather than a size let whole streams be divided without a remainder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    begin: f64,
    end: f64,
}

impl Part {
    /// The part of `own` among the published entry hosts; nothing where it is not listed.
    pub fn of(workspace: &id::Workspace, own: &id::Host, published: &[id::Host]) -> Self {
        let ranked = rendezvous::rank(workspace.as_str(), published, |host| host.as_str());
        match ranked.iter().position(|host| *host == own) {
            Some(rank) => {
                Self { begin: boundary(rank, ranked.len()), end: boundary(rank + 1, ranked.len()) }
            }
            None => Self { begin: 0.0, end: 0.0 },
        }
    }

    /// Its size.
    pub fn share(&self) -> Share {
        Share::new(self.end - self.begin)
    }

    /// Whole streams in this part; over all entries they sum to `streams` exactly.
    pub fn streams(&self, streams: u32) -> u32 {
        let whole = f64::from(streams);
        // Marks are sums of floats; without the nudge 0.999... of a stream would vanish.
        let streams_below = |boundary: f64| (boundary * whole + 1e-6) as u32;
        streams_below(self.end) - streams_below(self.begin)
    }
}

/// Where the part of the entry of this rank begins.
fn boundary(rank: usize, count: usize) -> f64 {
    match (rank, count) {
        (0, _) => 0.0,
        (rank, count) if rank >= count => 1.0,
        (1, _) => 0.5,
        (rank, count) => 0.75 + 0.25 * (rank - 2) as f64 / (count - 2) as f64,
    }
}

#[derive(Clone, Copy, Debug)]
struct Account {
    limit: Limit,
    part: Part,
    /// The share in force, which follows that of the part by bounded steps.
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

/// The limits that one entry enforces; workspaces without limits take no room here.
#[derive(Debug, Default)]
pub struct Limits {
    accounts: HashMap<id::Workspace, Account>,
}

impl Limits {
    /// Opens without any limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets a workspace's limit and this entry's part of it; streams already open go on.
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

    /// Drops the limits of all workspaces but these.
    pub fn retain(&mut self, keep: impl Fn(&id::Workspace) -> bool) {
        self.accounts.retain(|workspace, _| keep(workspace));
    }

    /// Opens a stream, or says when to come back.
    pub fn admit(&mut self, now: Time, workspace: &id::Workspace) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(workspace) else { return Ok(()) };
        account.advance(now);
        account.admit()
    }

    /// Notes tokens that a workspace's answers drew. Lengths are unknown ahead, so an answer may
    /// overdraw; new ones then wait until the debt is earned back.
    pub fn spend(&mut self, now: Time, workspace: &id::Workspace, tokens: Tokens) {
        let Some(account) = self.accounts.get_mut(workspace) else { return };
        account.advance(now);
        account.tokens -= tokens.get() as f64;
    }

    /// Notes that a stream ended.
    pub fn release(&mut self, workspace: &id::Workspace) {
        let Some(account) = self.accounts.get_mut(workspace) else { return };
        account.open_streams = account.open_streams.saturating_sub(1);
    }
}
