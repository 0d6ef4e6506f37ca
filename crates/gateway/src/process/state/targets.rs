//! Targets as they are listed, change and leave.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::{self, Change, Target};
use fireflyhoist_policy::observation::Observer;
use fireflyhoist_policy::position::Position;
use tokio::sync::watch;

use crate::connection::frame::TargetOutcome;
use crate::process::service_gate::ServiceGate;
use crate::process::state::Process;

impl Process {
    pub(crate) fn poll_lanes(&self) {
        self.lanes.read().values().for_each(|lane| lane.poll());
        let now = self.clock.now();
        if self.leases.lock().expire(now) {
            ::log::info!("targets still missing after an outage are gone");
            self.refresh();
        }
        self.expire_cordons();
    }

    /// How requests ended at targets, as far as other entries should hear of it.
    pub(crate) fn take_endings(&self) -> Vec<TargetOutcome> {
        let lanes = self.lanes.read();
        let of = |(service, lane): (&id::Service, &Arc<ServiceGate>)| {
            let service = service.clone();
            let ending = move |(target, outcome)| TargetOutcome {
                service: service.clone(),
                target,
                outcome,
            };
            lane.take_outcomes().into_iter().map(ending)
        };
        lanes.iter().flat_map(of).collect()
    }

    /// Takes in how requests of another entry ended.
    pub(crate) fn hear_endings(&self, from: &Observer, endings: Vec<TargetOutcome>) {
        let lanes = self.lanes.read();
        for ending in endings {
            if let Some(lane) = lanes.get(&ending.service) {
                lane.apply_outcome(&ending.target, from.clone(), ending.outcome);
            }
        }
    }

    /// Hands the targets known now to the lanes and wakes running answers.
    pub(super) fn refresh(&self) {
        let lanes = self.lanes.read();
        let mut leases = self.leases.lock();
        for target in leases.take_restarted() {
            lanes.values().for_each(|lane| lane.restarted(&target));
        }
        for (service, lane) in lanes.iter() {
            let targets = leases.ready(service).map(|target| target.id.clone()).collect();
            let cordons = self.cordons.lock();
            let cordoned = leases.ready(service).filter(|target| cordons.contains(&target.domain));
            let cordoned = cordoned.map(|target| target.id.clone()).collect();
            drop(cordons);
            lane.set_targets_and_cordons(targets, &cordoned);
        }
        self.keep_limits(&leases);
        self.settle_doubts(&leases);
        drop(leases);
        drop(lanes);
        self.targets.send_modify(|count| *count += 1);
    }

    /// Takes in a list of all targets.
    pub(crate) fn list_targets(&self, at: Position, targets: Vec<Target>, source: &str) -> bool {
        let now = self.clock.now();
        self.listed.store(true, Ordering::Release);
        self.note_era(at.era(), source);
        let count = targets.len();
        let mut leases = self.leases.lock();
        let known = leases.position();
        if known.has_later_era_than(at) {
            drop(leases);
            self.refuse_older(known, at, source);
            return false;
        }
        let changed = leases.apply_list(now, at, targets);
        drop(leases);
        if changed {
            ::log::info!(revision:% = at, listed = count, source = source; "targets listed");
            self.refresh();
        }
        changed
    }

    /// Takes in single changes of targets; returns those that were news.
    pub(crate) fn change_targets(&self, at: Position, changes: Vec<Change>) -> Vec<Change> {
        let now = self.clock.now();
        let news = self.leases.lock().apply_changes(now, at, changes);
        for change in &news {
            let line = describe(change);
            ::log::info!(revision:% = at, change = line.as_str(); "target changed");
        }
        if !news.is_empty() {
            self.refresh();
        }
        news
    }

    /// Notes that a target itself says that it leaves; returns what is to be told to others.
    pub(crate) fn target_leaves(&self, target: &id::Target) -> Option<Change> {
        let left = {
            let mut leases = self.leases.lock();
            leases.mark_draining(target).then(|| leases.get(target).cloned())?
        };
        ::log::info!(target:% = target; "target says that it leaves");
        self.refresh();
        left.map(Change::Put)
    }

    pub(crate) fn outage_over(&self) {
        self.leases.lock().start_grace(self.clock.now());
    }

    pub(crate) fn target(&self, id: &id::Target) -> Option<Target> {
        self.leases.lock().get(id).cloned()
    }

    pub(crate) fn is_target_ready(&self, id: &id::Target) -> bool {
        self.leases.lock().is_ready(id)
    }

    /// The other targets of a target's failure domain.
    pub(crate) fn neighbours(&self, id: &id::Target) -> BTreeSet<id::Target> {
        let leases = self.leases.lock();
        let Some(own) = leases.get(id) else { return BTreeSet::new() };
        let near = leases.all().filter(|t| t.domain == own.domain && t.id != own.id);
        near.map(|target| target.id.clone()).collect()
    }

    pub(crate) fn targets(&self) -> (Position, Vec<Target>) {
        let leases = self.leases.lock();
        (leases.position(), leases.snapshot(self.clock.now()))
    }

    pub(crate) fn targets_position(&self) -> Position {
        self.leases.lock().position()
    }

    /// Where its list of targets stands; `None` before the first.
    ///
    /// A list without any target leaves the position at 0, so that alone doesn't tell the two apart.
    pub(crate) fn listed_position(&self) -> Option<Position> {
        self.is_listed().then(|| self.targets_position())
    }

    pub(crate) fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Wakes whenever targets change.
    pub(crate) fn watch_targets(&self) -> watch::Receiver<u64> {
        self.targets.subscribe()
    }
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
