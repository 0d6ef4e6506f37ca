//! Heartbeats: what an entry tells the others of itself, and what it makes of theirs.

use std::sync::Arc;

use fireflyhoist_policy::heartbeat::{self, Schedule};
use fireflyhoist_policy::id;
use fireflyhoist_policy::observation::Observer;
use ntex::time::sleep;

use crate::connection::frame::{Frame, Heartbeat, Load, TargetOutcome};
use crate::process::fleet::Fleet;

impl Fleet {
    /// Tells all entries this one's state.
    pub(crate) fn beat(&self) {
        self.beat_to_actives();
        self.beat_to_leaves();
    }

    fn own_beat(&self, held: Vec<Load>) -> Heartbeat {
        Heartbeat {
            follows: false,
            outcomes: Vec::new(),
            ready: self.process.is_ready(),
            text: self.process.revision(),
            targets: self.process.listed_position(),
            cordons: self.process.cordon_news(),
            registry_up: self.process.registry_works(),
            watching: self.process.is_watching(),
            loads: held,
        }
    }

    fn beat_to_actives(&self) {
        self.share_poison();
        self.share_limits();
        let (actives, _) = self.parted();
        let view = self.view();
        let endings = self.process.take_endings();
        if self.is_active() {
            // What leaves hold goes along; what other actives hold they tell themselves.
            let held = self.process.held_with(|host| !view.actives.contains(host));
            let beat = Heartbeat { outcomes: endings, ..self.own_beat(held) };
            self.links.send_all(actives.iter(), &Frame::Heartbeat(beat));
            return;
        }
        let primary = view.links.first().map(|member| &member.host);
        let lead = self.lead();
        for active in &actives {
            // Told to one, or it would count twice.
            let held = if Some(active) == primary { self.process.held() } else { Vec::new() };
            let follows = Some(active) == lead.as_ref();
            let endings = endings.clone();
            let beat = Heartbeat { follows, outcomes: endings, ..self.own_beat(held) };
            self.links.send(active, &Frame::Heartbeat(beat));
        }
    }

    /// The entry that tells this one of each change of targets, where it stands by.
    fn lead(&self) -> Option<id::Host> {
        let view = self.view();
        let peers = self.peers.lock();
        let mut linked = view.links.iter().filter(|member| peers.contains_key(&member.host));
        linked.next().map(|member| member.host.clone())
    }

    /// Tells an entry this one's state as soon as their link is open.
    pub(super) fn beat_first(&self, to: &id::Host) {
        let cordons = self.process.cordon_word();
        let beat = Heartbeat { cordons, ..self.own_beat(Vec::new()) };
        self.links.send(to, &Frame::Heartbeat(beat));
    }

    fn beat_to_leaves(&self) {
        let (_, leaves) = self.parted();
        let (busy, idle): (Vec<id::Host>, Vec<id::Host>) =
            leaves.into_iter().partition(|leaf| self.process.holds(leaf));
        self.links.send_all(idle.iter(), &Frame::Heartbeat(self.own_beat(Vec::new())));
        for leaf in &busy {
            let held = self.process.held_with(|host| host != leaf);
            self.links.send(leaf, &Frame::Heartbeat(self.own_beat(held)));
        }
    }

    pub(super) async fn beat_on(self: Arc<Self>) {
        let mut schedule = Schedule::open(self.now());
        loop {
            let news = tokio::select! {
                () = sleep(schedule.wait(self.now())) => false,
                () = self.process.sent() => true,
            };
            if news {
                sleep(heartbeat::COALESCE_DELAY).await;
                self.beat_to_actives();
            }
            let Some(beat) = schedule.take_due(self.now()) else { continue };
            if self.is_active() || beat == heartbeat::Recipients::All {
                self.beat_to_actives();
            }
            if beat == heartbeat::Recipients::All {
                self.beat_to_leaves();
            }
            self.process.report();
        }
    }

    fn hear_endings(&self, from: &id::Host, endings: Vec<TargetOutcome>) {
        if endings.is_empty() {
            return;
        }
        let domain = self.peers.lock().get(from).map(|peer| peer.member.domain.clone());
        let Some(domain) = domain else { return };
        self.process.hear_endings(&Observer { host: from.clone(), domain }, endings);
    }

    pub(super) fn take_beat(&self, from: &id::Host, mut beat: Heartbeat) {
        self.follow(from, &beat);
        self.hear_endings(from, std::mem::take(&mut beat.outcomes));
        if let Some(word) = &beat.cordons {
            self.process.hear_cordons(word.clone());
        }
        if self.process.set_other(from, Some(beat.loads.clone())) {
            self.process.report();
        }
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(from) else { return };
        let differs =
            |old: &Heartbeat| old.registry_up != beat.registry_up || old.ready != beat.ready;
        let news = peer.beat.as_ref().is_none_or(differs);
        let before = peer.beat.take().and_then(|old| old.cordons);
        beat.cordons = beat.cordons.or(before);
        peer.beat = Some(beat);
        drop(peers);
        if news {
            self.stale.notify_one();
        }
    }
}
