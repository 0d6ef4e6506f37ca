//! The list of targets: how it is read, changed and passed to the gates.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{Listing, TargetUpdate};
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::{self, Change, Target};
use fireflyhoist_policy::observation::Observer;
use fireflyhoist_policy::position::Position;
use tokio::sync::watch;

use crate::connection::frame::TargetOutcome;
use crate::process::service_gate::ServiceGate;
use crate::process::state::{Process, millis};

/// The most changes of one reading that are logged one by one. When a fleet of targets starts or is
/// replaced, thousands change within seconds at every entry.
const MAX_LOGGED_CHANGES: usize = 16;

/// How long a target that was seen to have crashed is left out. It is tried again afterwards if it is
/// still listed, since the check may have been wrong.
const CRASH_PAUSE: Duration = Duration::from_secs(1);

impl Process {
    /// Lets gates act on the time and drops targets and cordons that have expired.
    pub(crate) fn poll_gates(&self) {
        for (service, gate) in self.gates.read().iter() {
            gate.poll();
            log_ejections(service, gate);
        }
        let now = self.clock.now();
        if self.leases.lock().expire(now) {
            ::log::info!("targets still missing after a registry outage were removed");
            self.update_gates();
        }
        self.expire_cordons();
    }

    /// Returns the number of targets where a prompt would put running answers at risk.
    pub(crate) fn targets_at_risk(&self) -> usize {
        self.gates.read().values().map(|gate| gate.targets_at_risk()).sum()
    }

    /// Leaves out a target that has just been seen to have crashed, while the registry still lists it.
    pub(crate) fn suspend_crashed(&self, crashed: &Target) {
        let listed = self.target(&crashed.id);
        if listed.is_none_or(|listed| listed.is_restart_of(crashed)) {
            return;
        }
        if let Some(gate) = self.gate(&crashed.service) {
            gate.suspend_target(&crashed.id, CRASH_PAUSE, Exclusion::Crashed);
        }
    }

    /// Takes the outcomes of requests at targets that are due to be sent to other entries.
    pub(crate) fn take_outcomes(&self) -> Vec<TargetOutcome> {
        let gates = self.gates.read();
        let of = |(service, gate): (&id::Service, &Arc<ServiceGate>)| {
            let service = service.clone();
            let announced = move |(target, outcome)| TargetOutcome {
                service: service.clone(),
                target,
                outcome,
            };
            gate.take_outcomes().into_iter().map(announced)
        };
        gates.iter().flat_map(of).collect()
    }

    /// Applies the outcomes that another entry observed.
    pub(crate) fn apply_outcomes(&self, from: &Observer, outcomes: Vec<TargetOutcome>) {
        let gates = self.gates.read();
        for observed in outcomes {
            if let Some(gate) = gates.get(&observed.service) {
                gate.apply_outcome(&observed.target, from.clone(), observed.outcome);
            }
        }
    }

    /// Passes all targets to the gates, since the cordons have changed, and wakes running answers.
    pub(super) fn refresh_gates(&self) {
        self.fill_gates();
        self.after_target_changes();
    }

    /// Passes all targets to the gates.
    pub(super) fn fill_gates(&self) {
        let gates = self.gates.read();
        let leases = self.leases.lock();
        for (service, gate) in gates.iter() {
            let targets = leases.ready(service).map(|target| target.id.clone()).collect();
            let cordons = self.cordons.lock();
            let cordoned = leases.ready(service).filter(|target| cordons.contains(&target.domain));
            let cordoned = cordoned.map(|target| target.id.clone()).collect();
            drop(cordons);
            gate.set_targets_and_cordons(targets, &cordoned);
            let domain = |target: &Target| (target.id.clone(), target.domain.clone());
            gate.set_domains(&leases.ready(service).map(domain).collect::<BTreeMap<_, _>>());
            gate.set_scarce(leases.scarce(service));
        }
        drop((leases, gates));
        self.report_all_usage();
    }

    /// Passes the targets that have changed to the gates. The cost does not depend on the number of
    /// other targets: in a large fleet of targets some change several times a second.
    fn update_gates(&self) {
        let gates = self.gates.read();
        let mut leases = self.leases.lock();
        for target in leases.take_restarted() {
            gates.values().for_each(|gate| gate.restarted(&target));
        }
        for target in leases.take_moved() {
            gates.values().for_each(|gate| gate.reset_pace(&target));
        }
        let changed = leases.take_changed();
        let cordons = self.cordons.lock();
        for (service, gate) in gates.iter() {
            let update = |id: &id::Target| {
                let lease = leases.get(id).filter(|target| target.service == *service);
                let ready = lease.filter(|_| leases.is_ready(id));
                let listing = |target: &Target| Listing {
                    cordoned: cordons.contains(&target.domain),
                    domain: Some(target.domain.clone()),
                };
                let listed = ready.map(listing);
                TargetUpdate { target: id.clone(), listed }
            };
            gate.update_targets(&changed.iter().map(update).collect::<Vec<_>>());
            gate.set_scarce(leases.scarce(service));
        }
        drop((cordons, leases, gates));
        self.report_usage(&changed);
        self.after_target_changes();
    }

    /// Drops what depends on targets that are gone, and wakes running answers.
    pub(super) fn after_target_changes(&self) {
        let leases = self.leases.lock();
        self.retain_limits(&leases);
        self.confirm_crashes(&leases);
        drop(leases);
        self.target_changes.send_modify(|count| *count += 1);
    }

    /// Applies a full list of targets; returns whether it changed anything. A list of an earlier
    /// era is refused.
    pub(crate) fn apply_target_list(
        &self,
        at: Position,
        targets: Vec<Target>,
        source: &str,
    ) -> bool {
        let now = self.clock.now();
        self.raise_era(at.era(), source);
        let count = targets.len();
        let mut leases = self.leases.lock();
        let known = leases.position();
        if known.has_later_era_than(at) {
            drop(leases);
            self.record_refused_list(known, at, source);
            return false;
        }
        let changed = leases.apply_list(now, at, targets);
        drop(leases);
        if changed {
            ::log::info!(revision:% = at, listed = count, source = source; "targets listed");
            self.update_gates();
        }
        // Callers are served by another thread, and refused for want of targets before the gates know
        // the targets.
        if !self.target_list_known.swap(true, Ordering::AcqRel) {
            self.target_changes.send_modify(|count| *count += 1);
        }
        changed
    }

    /// Applies changes of targets; returns those that were new.
    pub(crate) fn apply_target_changes(&self, at: Position, changes: Vec<Change>) -> Vec<Change> {
        let now = self.clock.now();
        let new = self.leases.lock().apply_changes(now, at, changes);
        log_changes(at, &new);
        if !new.is_empty() {
            self.update_gates();
        }
        new
    }

    /// Marks a target as draining because it says so itself; returns the change for other entries,
    /// `None` where it is not new.
    pub(crate) fn mark_target_draining(&self, target: &Target) -> Option<Change> {
        let left = {
            let mut leases = self.leases.lock();
            leases.mark_draining(target).then(|| leases.get(&target.id).cloned())?
        };
        ::log::info!(target:% = target.id; "target says that it leaves");
        self.update_gates();
        left.map(Change::Put)
    }

    /// Starts the grace time of leases after an outage of the registry.
    pub(crate) fn start_lease_grace(&self) {
        self.leases.lock().start_grace(self.clock.now());
    }

    pub(crate) fn target(&self, id: &id::Target) -> Option<Target> {
        self.leases.lock().get(id).cloned()
    }

    pub(crate) fn is_target_ready(&self, id: &id::Target) -> bool {
        self.leases.lock().is_ready(id)
    }

    /// Returns the other targets in a target's failure domain.
    pub(crate) fn same_domain_targets(&self, id: &id::Target) -> BTreeSet<id::Target> {
        let leases = self.leases.lock();
        let Some(own) = leases.get(id) else { return BTreeSet::new() };
        let near = leases.all().filter(|t| t.domain == own.domain && t.id != own.id);
        near.map(|target| target.id.clone()).collect()
    }

    /// Returns the targets and the position of their list.
    pub(crate) fn targets(&self) -> (Position, Vec<Target>) {
        let leases = self.leases.lock();
        (leases.position(), leases.snapshot(self.clock.now()))
    }

    pub(crate) fn targets_position(&self) -> Position {
        self.leases.lock().position()
    }

    /// Returns the position of the list of targets; `None` before the first list.
    ///
    /// An empty list leaves the position at 0, so the position alone does not tell whether there
    /// was a list.
    pub(crate) fn target_list_position(&self) -> Option<Position> {
        self.has_target_list().then(|| self.targets_position())
    }

    pub(crate) fn has_target_list(&self) -> bool {
        self.target_list_known.load(Ordering::Acquire)
    }

    /// Returns a receiver that is notified whenever targets change.
    pub(crate) fn watch_targets(&self) -> watch::Receiver<u64> {
        self.target_changes.subscribe()
    }
}

/// Logs the targets that this entry has ejected since the last call, and what that was decided by.
fn log_ejections(service: &id::Service, gate: &ServiceGate) {
    for (record, rest) in gate.take_ejections() {
        ::log::warn!(
            service:% = service, target:% = record.target, cause:% = record.ejection.cause,
            latency_us = micros(record.latency),
            peers_us = record.peer_median.map_or(0, micros), for_ms = millis(rest);
            "target ejected"
        );
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Logs changes of targets, each with a line of its own unless there are too many.
fn log_changes(at: Position, changes: &[Change]) {
    if changes.len() > MAX_LOGGED_CHANGES {
        let gone = changes.iter().filter(|change| matches!(change, Change::Gone(_))).count();
        let draining = changes.iter().filter(|change| is_draining(change)).count();
        ::log::info!(
            revision:% = at, changes = changes.len(), draining = draining, gone = gone;
            "targets changed"
        );
        return;
    }
    for change in changes {
        let line = describe(change);
        ::log::info!(revision:% = at, change = line.as_str(); "target changed");
    }
}

fn is_draining(change: &Change) -> bool {
    matches!(change, Change::Put(target) if target.state == lease::State::Draining)
}

fn describe(change: &Change) -> String {
    match change {
        Change::Put(target) => {
            let state = match target.state {
                lease::State::Ready => "ready",
                lease::State::Draining => "draining",
            };
            let cold = match target.cold_ms {
                0 => String::new(),
                ms => format!(", cold for {ms} ms"),
            };
            format!("{} {state} at {}{cold}", target.id, target.address)
        }
        Change::Gone(id) => format!("{id} gone"),
    }
}
