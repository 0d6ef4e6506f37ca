//! Engine memory that entries use at targets: that of running answers and of copies of them.

use std::collections::HashMap;
use std::sync::Arc;

use fireflyhoist_policy::gate::{Holding, Report};
use fireflyhoist_policy::id;
use fireflyhoist_policy::unit::Tokens;

use crate::connection::frame::{Load, sum};
use crate::process::service_gate::{ServiceGate, TargetLoad};
use crate::process::state::Process;

impl Process {
    /// Changes the tokens that a copy takes at its target from `before` to `after`; 0 stands for no
    /// copy.
    pub(crate) fn replace_copy_tokens(&self, target: &id::Target, before: u64, after: u64) {
        let mut copies = self.copies.lock();
        let tokens = copies.entry(target.clone()).or_default();
        *tokens = (*tokens + after).saturating_sub(before);
        if *tokens == 0 {
            copies.remove(target);
        }
    }

    /// Returns the memory that this entry uses at each target.
    pub(crate) fn own_usage(&self) -> Vec<Load> {
        let gates: Vec<Arc<ServiceGate>> = self.gates.read().values().cloned().collect();
        let mut loads: Vec<Load> = Vec::new();
        for holding in gates.iter().flat_map(|gate| gate.holdings()) {
            let Holding { target, tokens, streams, unread } = holding;
            loads.push(Load { target, tokens, streams, unread, copies: Tokens::default() });
        }
        for (target, tokens) in self.copies.lock().iter() {
            loads.push(Load { copies: Tokens::new(*tokens), ..Load::none(target) });
        }
        sum(loads.iter())
    }

    /// Returns the memory that this entry and the other entries selected by `is_included` use at
    /// each target.
    pub(crate) fn usage_with(&self, is_included: impl Fn(&id::Host) -> bool) -> Vec<Load> {
        let own = self.own_usage();
        let others = self.peer_usage.lock();
        let included =
            others.iter().filter(|(host, _)| is_included(host)).flat_map(|(_, loads)| loads);
        sum(own.iter().chain(included))
    }

    /// Sets what another entry uses, `None` where the entry is gone; returns whether that changed
    /// anything.
    pub(crate) fn set_peer_usage(&self, host: &id::Host, loads: Option<Vec<Load>>) -> bool {
        let mut others = self.peer_usage.lock();
        if others.get(host) == loads.as_ref() {
            return false;
        }
        match loads {
            Some(loads) => others.insert(host.clone(), loads),
            None => others.remove(host),
        };
        true
    }

    /// Returns whether an entry reported that it uses memory at any target.
    pub(crate) fn has_usage(&self, host: &id::Host) -> bool {
        self.peer_usage.lock().get(host).is_some_and(|loads| !loads.is_empty())
    }

    /// Passes the memory that all entries together use at each engine to the gates.
    pub(crate) fn report_usage(&self) {
        let Some(table) = self.table() else { return };
        let mut usages: HashMap<id::Target, Usage> = HashMap::new();
        for load in &self.own_usage() {
            usages.entry(load.target.clone()).or_default().add(load);
        }
        for load in self.peer_usage.lock().values().flatten() {
            let usage = usages.entry(load.target.clone()).or_default();
            usage.add(load);
            usage.others_unread += load.unread.get();
        }
        for service in &table.text().services {
            let (Some(engine), Some(gate)) = (&service.engine, self.gate(&service.name)) else {
                continue;
            };
            let leases = self.leases.lock();
            let loads: Vec<TargetLoad> = leases
                .ready(&service.name)
                .map(|target| {
                    let usage = usages.get(&target.id).copied().unwrap_or_default();
                    let (capacity, used) = (engine.memory, Tokens::new(usage.tokens));
                    let report =
                        Report { capacity, used, running: usage.streams, ..Report::default() };
                    let unread = Tokens::new(usage.others_unread);
                    TargetLoad { target: target.id.clone(), report, unread }
                })
                .collect();
            drop(leases);
            gate.update_loads(&loads);
        }
    }
}

/// Memory that all entries use at one target.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    tokens: u64,
    streams: u32,
    others_unread: u64,
}

impl Usage {
    fn add(&mut self, load: &Load) {
        self.tokens += load.tokens.get() + load.copies.get();
        self.streams += load.streams;
    }
}
