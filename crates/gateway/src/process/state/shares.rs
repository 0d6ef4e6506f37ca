//! What workspaces use through this entry and through others, for fair shares over the fleet.

use std::collections::BTreeSet;
use std::sync::Arc;

use fireflyhoist_policy::fleet_share::{INTERVAL, Peers, Shares};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use parking_lot::Mutex;

use crate::process::service_gate::ServiceGate;
use crate::process::state::Process;

/// What other entries announced, and when this entry announced last.
#[derive(Debug, Default)]
pub(super) struct FleetShares {
    peers: Mutex<Peers>,
    /// When the next announcements to actives and to leaves are due.
    due: Mutex<Due>,
}

#[derive(Debug, Default)]
struct Due {
    to_actives: Time,
    to_leaves: Time,
}

impl Process {
    /// Returns whether shares are to be announced to actives now.
    pub(crate) fn take_shares_due_to_actives(&self) -> bool {
        self.take_shares_due(|due| &mut due.to_actives)
    }

    /// Returns whether shares are to be announced to leaves now.
    pub(crate) fn take_shares_due_to_leaves(&self) -> bool {
        self.take_shares_due(|due| &mut due.to_leaves)
    }

    fn take_shares_due(&self, of: impl FnOnce(&mut Due) -> &mut Time) -> bool {
        let now = self.clock.now();
        let mut due = self.shares.due.lock();
        let due = of(&mut due);
        if !self.scheduling().fleet_shares || now < *due {
            return false;
        }
        *due = now + INTERVAL;
        true
    }

    /// Returns what workspaces use of each service through this entry and through the entries that
    /// `is_included` selects.
    pub(crate) fn shares_with(
        &self,
        is_included: impl Fn(&id::Host) -> bool,
    ) -> Vec<(id::Service, Shares)> {
        let now = self.clock.now();
        let gates = self.all_gates();
        let peers = self.shares.peers.lock();
        let shares = gates.into_iter().map(|(service, gate)| {
            let others = peers.shares(now, &service, &is_included);
            let sum = Shares::sum(others.iter().chain([&gate.shares()]));
            (service, sum)
        });
        shares.filter(|(_, shares)| !shares.is_empty()).collect()
    }

    fn all_gates(&self) -> Vec<(id::Service, Arc<ServiceGate>)> {
        let gates = self.gates.read();
        gates.iter().map(|(service, gate)| (service.clone(), Arc::clone(gate))).collect()
    }

    /// Sets what workspaces use through another entry; [`Process::report_peer_shares`] passes it to
    /// the gates. With `is_only`, that entry announces what all others know.
    pub(crate) fn set_peer_shares(
        &self,
        host: &id::Host,
        shares: Vec<(id::Service, Shares)>,
        is_only: bool,
    ) {
        if !self.scheduling().fleet_shares {
            return;
        }
        let now = self.clock.now();
        if shares.is_empty() && !self.has_shares(host) {
            return;
        }
        let gates = self.gates.read();
        let known = shares.into_iter().filter(|(service, _)| gates.contains_key(service));
        let mut peers = self.shares.peers.lock();
        peers.replace(now, host, known);
        if is_only {
            peers.retain_only(host);
        }
    }

    /// Returns whether an entry announced lately that workspaces use services through it.
    pub(crate) fn has_shares(&self, host: &id::Host) -> bool {
        self.shares.peers.lock().has_shares(self.clock.now(), host)
    }

    /// Passes what workspaces use through other entries to the gates, and logs which workspaces have
    /// become heavy or ceased to be.
    pub(crate) fn report_peer_shares(&self) {
        let now = self.clock.now();
        let gates = self.all_gates();
        let peers = self.shares.peers.lock();
        let announced: BTreeSet<id::Service> = peers.services().cloned().collect();
        let sums: Vec<Shares> = gates
            .iter()
            .map(|(service, _)| match announced.contains(service) {
                true => Shares::long_sum(&peers.shares(now, service, |_| true)),
                false => Shares::default(),
            })
            .collect();
        drop(peers);
        for ((service, gate), sum) in gates.into_iter().zip(sums) {
            for change in gate.set_others(sum) {
                let (workspace, is_heavy) = (change.workspace, change.is_heavy);
                ::log::info!(
                    service:% = service, workspace:% = workspace, heavy = is_heavy;
                    "share of a workspace changed"
                );
            }
        }
    }

    /// Returns the number of heavy workspaces over all services.
    pub(crate) fn heavy_workspaces(&self) -> usize {
        self.all_gates().iter().map(|(_, gate)| gate.heavy_workspaces()).sum()
    }
}
