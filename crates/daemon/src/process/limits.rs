//! What workspaces may use through this entry, by the limits of the text.

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

/// Shards, each under its own lock; more than the threads that serve on a small host.
const SHARDS: usize = 16;

/// The limits that this entry enforces, in shards by workspace.
#[derive(Debug)]
pub(crate) struct Limits {
    clock: Clock,
    shards: [Mutex<workspace_limit::Limits>; SHARDS],
}

impl Limits {
    pub(crate) fn open(clock: Clock) -> Arc<Self> {
        Arc::new(Self { clock, shards: Default::default() })
    }

    /// Takes in a text and a host list; this entry's parts follow by bounded steps.
    ///
    /// An entry that is not listed yet counts itself in: with the platform down there may be no
    /// list at all, and answering above a limit costs less than answering nobody.
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

    /// Opens a stream for a workspace, or refuses it before it has touched any target.
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

/// One open stream of a workspace; dropped, it frees its place.
#[derive(Debug)]
pub(crate) struct Permit {
    limits: Arc<Limits>,
    workspace: id::Workspace,
    spent: u64,
}

impl Permit {
    /// Notes that the stream has drawn `total` tokens so far; a smaller total, of a fresh
    /// generation, draws nothing until it has caught up.
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
