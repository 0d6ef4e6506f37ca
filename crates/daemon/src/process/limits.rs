//! Enforces this entry's share of the workspace limits that the text sets.

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::gate::{Reason, Refusal};
use fireflyhoist_policy::id;
use fireflyhoist_policy::placement;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_policy::workspace_limit::{self, Limit, Part};
use fireflyhoist_text::Text;
use fireflyhoist_wire::platform::{Hosts, State};
use parking_lot::Mutex;

use crate::process::clock::Clock;

/// The number of shards, each with its own lock; more than the worker threads of a small host.
const SHARDS: usize = 16;

/// The workspace limits that this entry enforces, sharded by workspace.
#[derive(Debug)]
pub(crate) struct Limits {
    clock: Clock,
    shards: [Mutex<workspace_limit::Limits>; SHARDS],
}

impl Limits {
    pub(crate) fn open(clock: Clock) -> Arc<Self> {
        Arc::new(Self { clock, shards: Default::default() })
    }

    /// Applies a text and a host list; this entry's shares move to the new values in bounded steps.
    ///
    /// An entry that is not listed yet counts itself as live: while the platform is down there may
    /// be no list at all, and exceeding a limit costs less than refusing every request.
    pub(crate) fn set(&self, text: &Text, hosts: &Hosts, own: &id::Host) {
        let live = hosts.hosts.iter().filter(|h| h.entry.is_some() && h.state == State::Live);
        let mut published: Vec<id::Host> = live.map(|host| host.name.clone()).collect();
        if !published.contains(own) {
            published.push(own.clone());
        }
        let now = self.clock.now();
        let limited = |name: &id::Workspace| {
            text.workspaces.iter().find(|w| w.name == *name).and_then(limit_of).is_some()
        };
        self.shards.iter().for_each(|shard| shard.lock().retain(limited));
        for workspace in &text.workspaces {
            if let Some(limit) = limit_of(workspace) {
                let part = Part::of(&workspace.name, own, &published);
                self.shard(&workspace.name).lock().set(now, &workspace.name, limit, part);
            }
        }
    }

    /// Admits a stream of a workspace, or refuses it before it reaches any target.
    pub(crate) fn admit(self: &Arc<Self>, workspace: &id::Workspace) -> Result<Permit, Refusal> {
        let admitted = self.shard(workspace).lock().admit(self.clock.now(), workspace);
        let refused =
            |retry_after: Duration| Refusal { reason: Reason::WorkspaceLimit, retry_after };
        admitted.map_err(refused)?;
        Ok(Permit { limits: Arc::clone(self), workspace: workspace.clone(), spent: 0 })
    }

    fn shard(&self, workspace: &id::Workspace) -> &Mutex<workspace_limit::Limits> {
        let hash = placement::prefix(workspace.as_str());
        &self.shards[hash as usize % SHARDS]
    }
}

fn limit_of(workspace: &fireflyhoist_text::Workspace) -> Option<Limit> {
    let limit = Limit { streams: workspace.max_streams, rate: workspace.tokens_per_second };
    (limit != Limit::default()).then_some(limit)
}

/// A permit for one open stream of a workspace; dropping it releases the stream.
#[derive(Debug)]
pub(crate) struct Permit {
    limits: Arc<Limits>,
    workspace: id::Workspace,
    spent: u64,
}

impl Permit {
    /// Charges the workspace for the tokens that raise the stream's total to `total`.
    ///
    /// A smaller total, of a new generation after a restart, charges nothing until it exceeds the
    /// total charged before.
    pub(crate) fn spend(&mut self, total: u64) {
        let new = total.saturating_sub(self.spent);
        self.spent += new;
        if new > 0 {
            let now = self.limits.clock.now();
            let mut shard = self.limits.shard(&self.workspace).lock();
            shard.spend(now, &self.workspace, Tokens::new(new));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limits.shard(&self.workspace).lock().release(&self.workspace);
    }
}
