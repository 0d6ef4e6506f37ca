//! Sends heartbeats with this entry's state to linked entries, and handles the heartbeats of
//! others.

use std::sync::Arc;

use fireflyhoist_policy::entry_load::Exclusions;
use fireflyhoist_policy::heartbeat::{self, Schedule};
use fireflyhoist_policy::id;
use fireflyhoist_policy::load::Load;
use fireflyhoist_policy::observation::Observer;
use tokio::time::sleep;

use crate::connection::frame::{Frame, Heartbeat, ORIGINS_PROTOCOL, PROTOCOL, TargetOutcome};
use crate::process::fleet::Fleet;

impl Fleet {
    /// Sends a heartbeat to every linked entry.
    pub(crate) fn send_heartbeats(&self) {
        self.send_to_actives();
        self.send_to_leaves();
    }

    /// Creates a heartbeat with this entry's state. The caller fills in `follows` and `outcomes`.
    fn new_heartbeat(&self, loads: Vec<Load>) -> Heartbeat {
        Heartbeat {
            follows: false,
            outcomes: Vec::new(),
            ready: self.process.is_ready(),
            text: self.process.revision(),
            targets: self.process.target_list_position(),
            cordons: self.process.cordon_heartbeat_update(),
            registry_up: self.process.is_registry_available(),
            isolated: self.process.is_isolated(),
            protocol: PROTOCOL,
            pressure: self.process.pressure(),
            left_out: Exclusions::default(),
            watching: self.process.is_watching(),
            loads,
            shares: None,
        }
    }

    /// Sends a heartbeat to all linked actives, after announcing poison records and limits to them.
    fn send_to_actives(&self) {
        self.announce_poison();
        self.announce_limits();
        self.announce_suspicions();
        self.send_origins();
        let (actives, leaves) = self.actives_and_leaves();
        let view = self.view();
        let outcomes = self.process.take_outcomes();
        let with_shares = self.process.take_shares_due_to_actives();
        if with_shares {
            // Once for all announcements since the last time: passing each on costs work that grows
            // with the square of the actives.
            self.process.report_peer_shares();
        }
        if self.is_active() {
            // Includes what leaves have in flight; other actives announce their own load.
            let loads = self.process.usage_with(|host| !view.actives.contains(host));
            // An active that was lost is in no list, so what it announced is not passed on.
            let shares =
                with_shares.then(|| self.process.shares_with(|host| leaves.contains(host)));
            let heartbeat = Heartbeat { outcomes, shares, ..self.new_heartbeat(loads) };
            self.links.send_all(actives.iter(), &Frame::Heartbeat(heartbeat));
            return;
        }
        let primary = view.links.first().map(|member| &member.host);
        let source = self.change_source();
        for active in &actives {
            // The load is sent to one active only, or it would be counted twice.
            let loads = if Some(active) == primary { self.process.own_usage() } else { Vec::new() };
            let shares = with_shares.then(|| match Some(active) == primary {
                true => self.process.shares_with(|_| false),
                false => Vec::new(),
            });
            let follows = Some(active) == source.as_ref();
            let outcomes = outcomes.clone();
            let heartbeat = Heartbeat { follows, outcomes, shares, ..self.new_heartbeat(loads) };
            self.links.send(active, &Frame::Heartbeat(heartbeat));
        }
    }

    /// Returns the active that forwards each change of targets to this entry if it is a leaf.
    fn change_source(&self) -> Option<id::Host> {
        let view = self.view();
        let peers = self.peers.lock();
        let mut linked = view.links.iter().filter(|member| peers.contains_key(&member.host));
        linked.next().map(|member| member.host.clone())
    }

    /// Sends the first heartbeat over a link that has just opened. It includes the cordons even if
    /// they have not changed.
    pub(super) fn send_first_heartbeat(&self, to: &id::Host) {
        let cordons = self.process.cordon_update();
        let heartbeat = Heartbeat { cordons, ..self.new_heartbeat(Vec::new()) };
        self.links.send(to, &Frame::Heartbeat(heartbeat));
    }

    /// Sends a heartbeat to all linked leaves. Only leaves that have requests in flight get the load of
    /// the other entries, each without its own.
    fn send_to_leaves(&self) {
        let (_, leaves) = self.actives_and_leaves();
        let (busy, idle): (Vec<id::Host>, Vec<id::Host>) = leaves
            .into_iter()
            .partition(|leaf| self.process.has_usage(leaf) || self.process.has_shares(leaf));
        let with_shares = self.process.take_shares_due_to_leaves();
        let heartbeat = |loads, shares| Heartbeat {
            shares,
            left_out: self.process.announced_exclusions(),
            ..self.new_heartbeat(loads)
        };
        let idle_heartbeat = heartbeat(Vec::new(), with_shares.then(Vec::new));
        self.links.send_all(idle.iter(), &Frame::Heartbeat(idle_heartbeat));
        for leaf in &busy {
            let loads = match self.process.has_usage(leaf) {
                true => self.process.usage_with(|host| host != leaf),
                false => Vec::new(),
            };
            let shares = with_shares.then(|| self.process.shares_with(|host| host != leaf));
            self.links.send(leaf, &Frame::Heartbeat(heartbeat(loads, shares)));
        }
    }

    /// Sends heartbeats on schedule, and extra ones to actives soon after a generation was sent,
    /// for as long as the process runs.
    pub(super) async fn heartbeat_loop(self: Arc<Self>) {
        let mut schedule = Schedule::open(self.now());
        loop {
            let generation_sent = tokio::select! {
                () = sleep(schedule.wait(self.now())) => false,
                () = self.process.heartbeat_requested() => true,
            };
            if generation_sent {
                sleep(heartbeat::COALESCE_DELAY).await;
                self.send_to_actives();
            }
            if !self.is_active() {
                if schedule.take_due_as_leaf(self.now()) {
                    self.update_entry_load();
                    self.send_heartbeats();
                    self.process.report_own_usage();
                }
                continue;
            }
            let Some(recipients) = schedule.take_due(self.now()) else { continue };
            self.update_entry_load();
            self.send_to_actives();
            if recipients == heartbeat::Recipients::All {
                self.send_to_leaves();
            }
            self.process.report_own_usage();
        }
    }

    fn apply_outcomes(&self, from: &id::Host, outcomes: Vec<TargetOutcome>) {
        if outcomes.is_empty() {
            return;
        }
        let domain = self.peers.lock().get(from).map(|peer| peer.member.domain.clone());
        let Some(domain) = domain else { return };
        self.process.apply_outcomes(&Observer { host: from.clone(), domain }, outcomes);
    }

    /// Applies a heartbeat of another entry, and requests the text and targets that it has and this
    /// entry lacks.
    pub(super) fn handle_heartbeat(&self, from: &id::Host, mut heartbeat: Heartbeat) {
        self.catch_up(from, &heartbeat);
        self.apply_outcomes(from, std::mem::take(&mut heartbeat.outcomes));
        if let Some(update) = &heartbeat.cordons {
            self.process.apply_cordon_update(update.clone());
        }
        let loads = std::mem::take(&mut heartbeat.loads);
        // A leaf sends loads to its primary active only, and a first heartbeat has none.
        let has_loads = !loads.is_empty();
        self.process.set_peer_usage(from, loads);
        if has_loads {
            self.process.end_reservations(from);
        }
        if let Some(shares) = heartbeat.shares.take() {
            // A leaf learns of all other entries from its primary active.
            let is_only = !self.is_active() && !shares.is_empty();
            self.process.set_peer_shares(from, shares, is_only);
        }
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(from) else { return };
        let differs = |old: &Heartbeat| {
            old.registry_up != heartbeat.registry_up
                || old.ready != heartbeat.ready
                || old.isolated != heartbeat.isolated
        };
        let view_changes = peer.heartbeat.as_ref().is_none_or(differs);
        let is_new = peer.heartbeat.is_none() && heartbeat.protocol >= ORIGINS_PROTOCOL;
        let previous = peer.heartbeat.take().and_then(|old| old.cordons);
        heartbeat.cordons = heartbeat.cordons.or(previous);
        peer.heartbeat = Some(heartbeat);
        drop(peers);
        if is_new {
            self.origins.keepers_changed();
            self.send_suspicion_snapshot(from);
        }
        if view_changes {
            self.stale.notify_one();
        }
    }
}
