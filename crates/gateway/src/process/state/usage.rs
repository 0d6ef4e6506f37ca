//! Engine memory that entries use at targets: that of running answers and of copies of them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use fireflyhoist_policy::gate::{Holding, Report};
use fireflyhoist_policy::id;
use fireflyhoist_policy::load::{Load, sum};
use fireflyhoist_policy::unit::Tokens;

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
            let Holding { target, tokens, streams, unread, pace } = holding;
            loads.push(Load { target, tokens, streams, unread, copies: Tokens::default(), pace });
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
        let peers = self.peer_usage.lock();
        sum(own.iter().chain(peers.loads(is_included)))
    }

    /// Sets what another entry uses, and passes the changes to the gates.
    pub(crate) fn set_peer_usage(&self, host: &id::Host, loads: Vec<Load>) {
        let changed = self.peer_usage.lock().replace(host, loads);
        if !changed.is_empty() {
            self.report_usage(&changed);
        }
    }

    /// Returns whether an entry reported that it uses memory at any target.
    pub(crate) fn has_usage(&self, host: &id::Host) -> bool {
        self.peer_usage.lock().has_load(host)
    }

    /// Passes the memory that all entries together use at the targets that this entry uses to the
    /// gates. What it uses changes with every token, so it is not passed on at each change.
    pub(crate) fn report_own_usage(&self) {
        let used: BTreeSet<id::Target> =
            self.own_usage().into_iter().map(|load| load.target).collect();
        let before = std::mem::replace(&mut *self.used_targets.lock(), used.clone());
        self.report_usage(before.union(&used));
    }

    /// Passes the memory that all entries together use at all targets to the gates.
    pub(super) fn report_all_usage(&self) {
        let targets: Vec<id::Target> = self.leases.lock().all().map(|t| t.id.clone()).collect();
        self.report_usage(&targets);
    }

    /// Passes the memory that all entries together use at some targets to the gates.
    pub(crate) fn report_usage<'a>(&self, targets: impl IntoIterator<Item = &'a id::Target>) {
        let own: HashMap<id::Target, Load> =
            self.own_usage().into_iter().map(|load| (load.target.clone(), load)).collect();
        let mut loads: HashMap<id::Service, Vec<TargetLoad>> = HashMap::new();
        let services = self.services.read();
        let (leases, peers) = (self.leases.lock(), self.peer_usage.lock());
        for target in targets {
            let Some(lease) = leases.get(target).filter(|_| leases.is_ready(target)) else {
                continue;
            };
            let engine = services.get(&lease.service).and_then(|service| service.engine.as_ref());
            let Some(engine) = engine else { continue };
            let others = peers.total(target);
            let mut all = others.clone();
            all.add(own.get(target).unwrap_or(&Load::none(target)));
            let used = Tokens::new(all.tokens.get() + all.copies.get());
            let report =
                Report { capacity: engine.memory, used, running: all.streams, ..Report::default() };
            let Load { unread, pace, .. } = others;
            let load = TargetLoad { target: target.clone(), report, unread, pace };
            loads.entry(lease.service.clone()).or_default().push(load);
        }
        drop((services, leases, peers));
        for (service, loads) in loads {
            if let Some(gate) = self.gate(&service) {
                gate.update_loads(&loads);
            }
        }
    }
}
