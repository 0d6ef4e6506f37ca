//! What entries know of each other, and who watches the registry for the others.
//!
//! Whoever answers on a link is alive, and tells whom it has links to; no list decides it. Which of
//! those alive carry the traffic and who links to whom is `policy::roster`'s to say. What is held
//! at each target is summed along the links, each link carrying all that its sender knows but for
//! what the receiver told it. `docs/PLATFORM.md` has the figures.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Change;
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::roster::{self, Member};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::turn::Ask;
use ntex::time::sleep;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

use crate::connection::frame::{Beat, Frame, Held, Presence};
use crate::connection::link::{Event, Links};
use crate::process::state::Process;
use crate::process::turn::Desk;

/// Time between heartbeats of actives. What is held at each engine is at most this old plus the
/// way, so that two entries rarely fill the same room; a prompt takes longer to be read.
const BEAT: Duration = Duration::from_millis(150);

/// How soon the others hear of a generation that was sent; those sent meanwhile go along.
///
/// The failure: within one heartbeat several entries fill the same room of an engine, which then
/// preempts what it began. A heartbeat of its own for each costs a few frames a second.
const PROMPT: Duration = Duration::from_millis(15);

/// Heartbeats of actives for each one between an active and a leaf, which carries little traffic.
const LEAF_BEATS: u32 = 2;

/// How often links are looked at.
const LOOK: Duration = Duration::from_millis(200);

/// How long an entry waits for the other end to open their link before it does so itself. Of two
/// the one with the lower address dials; without the order both dial at once and each closes the
/// other's link.
const COURTESY: Duration = Duration::from_millis(1_200);

/// Time between two tries to reach the same address.
const AGAIN: Duration = Duration::from_millis(600);

/// How long seeds are dialled after the start whoever is linked: the first to answer may know few.
const EARLY: Duration = Duration::from_secs(3);

/// How often one seed is dialled later on, so that parts of a fleet that have lost each other meet.
const REUNION: Duration = Duration::from_secs(3);

/// How long a link that neither end has a use for is kept.
const UNUSED: Duration = Duration::from_secs(3);

/// How long a peer may stand behind before it is told all: a few heartbeats, and a fraction of the
/// two seconds within which a text or a target's leaving must be known.
const LAG: Duration = Duration::from_millis(450);

/// Entries that watch the registry's targets for all: two, so that one may fail unnoticed.
const WATCHERS: usize = 2;

/// Events of links that wait to be handled.
const BACKLOG: usize = 1_024;

/// An entry that has a link to this one.
#[derive(Debug)]
struct Peer {
    member: Member,
    beat: Option<Beat>,
    /// Since when it stands behind this entry.
    behind: Option<Time>,
    /// Whom it says to be alive.
    told: Vec<Presence>,
    used: Time,
}

/// Who is alive and what part each plays, worked out anew when that changes.
#[derive(Debug, Default)]
struct View {
    alive: Vec<Presence>,
    actives: BTreeSet<id::Host>,
    /// Actives that this entry links to, the first of which speaks for it where it is a leaf.
    links: Vec<Member>,
}

/// The other entries, as far as they are known.
#[derive(Debug)]
pub(crate) struct Fleet {
    process: Arc<Process>,
    links: Arc<Links>,
    own: Member,
    began: Time,
    peers: Mutex<HashMap<id::Host, Peer>>,
    view: Mutex<Arc<View>>,
    /// When each address was last dialled, and since when its link is missing.
    dialled: Mutex<HashMap<SocketAddr, (Time, Time)>>,
    changed: Notify,
    pub(crate) desk: Desk,
}

impl Fleet {
    /// Begins to link and to answer links.
    pub(crate) fn spawn(process: Arc<Process>, listener: TcpListener) -> Arc<Self> {
        let settings = &process.settings;
        let own = Member {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            power: settings.power,
            peers: settings.peers,
            callers: settings.callers,
        };
        let (events, receiver) = mpsc::channel(BACKLOG);
        let links = Links::open(own.clone(), events);
        ntex::rt::spawn(Arc::clone(&links).listen(listener)).detach();
        let fleet = Arc::new(Self {
            began: process.clock.now(),
            process,
            links,
            own,
            peers: Mutex::default(),
            view: Mutex::default(),
            dialled: Mutex::default(),
            changed: Notify::new(),
            desk: Desk::default(),
        });
        fleet.refresh();
        ntex::rt::spawn(Arc::clone(&fleet).look()).detach();
        ntex::rt::spawn(Arc::clone(&fleet).listen(receiver)).detach();
        ntex::rt::spawn(Arc::clone(&fleet).beat_on()).detach();
        ntex::rt::spawn(Desk::run(Arc::clone(&fleet))).detach();
        fleet
    }

    /// Entries that callers should use now.
    pub(crate) fn ready(&self) -> Vec<Member> {
        let view = self.view();
        let serves = |presence: &&Presence| {
            let own = presence.member.host == self.own.host;
            let ready = if own { self.process.is_ready() } else { presence.ready };
            ready && view.actives.contains(&presence.member.host)
        };
        let mut ready: Vec<Member> =
            view.alive.iter().filter(serves).map(|p| p.member.clone()).collect();
        if ready.is_empty() && self.process.is_ready() {
            ready.push(self.own.clone());
        }
        ready
    }

    /// Which of those that watch targets for all this entry is, from 0; `None` where it is none.
    ///
    /// Each ranks the actives that it has links to, so an entry that is cut off from the others
    /// finds itself first and watches on its own.
    pub(crate) fn watcher(&self) -> Option<usize> {
        let view = self.view();
        let peers = self.peers.lock();
        let works = |peer: &&Peer| peer.beat.as_ref().is_some_and(|beat| beat.registry);
        let active = |peer: &&Peer| view.actives.contains(&peer.member.host);
        let mut hosts: Vec<id::Host> =
            peers.values().filter(active).filter(works).map(|p| p.member.host.clone()).collect();
        drop(peers);
        if !self.is_active() {
            return hosts.is_empty().then_some(0);
        }
        hosts.push(self.own.host.clone());
        let ranked = rendezvous::rank("targets", &hosts, |host| host.as_str());
        ranked.iter().take(WATCHERS).position(|host| **host == self.own.host)
    }

    /// Whether others carry the traffic and would tell this entry what it misses.
    pub(crate) fn is_standby(&self) -> bool {
        !self.is_active() && !self.peers.lock().is_empty()
    }

    /// Whether enough peers would tell of a text that this entry misses.
    pub(crate) fn is_covered(&self) -> bool {
        let peers = self.peers.lock();
        let works = |peer: &&Peer| peer.beat.as_ref().is_some_and(|beat| beat.registry);
        peers.values().filter(works).count() >= 2
    }

    pub(crate) fn now(&self) -> Time {
        self.process.clock.now()
    }

    pub(crate) fn host(&self) -> &id::Host {
        &self.own.host
    }

    /// The entry that keeps the queue of an engine that leaves, or that passes asks on to it.
    pub(crate) fn keeper(&self, engine: &id::Target) -> id::Host {
        let view = self.view();
        if !self.is_active() {
            let primary = view.links.first();
            return primary.map_or_else(|| self.own.host.clone(), |member| member.host.clone());
        }
        let peers = self.peers.lock();
        let linked = |host: &&id::Host| peers.contains_key(*host) || **host == self.own.host;
        let hosts: Vec<id::Host> = view.actives.iter().filter(linked).cloned().collect();
        let ranked = rendezvous::rank(engine.as_str(), &hosts, |host| host.as_str());
        ranked.first().map_or_else(|| self.own.host.clone(), |host| (*host).clone())
    }

    /// Sends a frame to an entry, this one included.
    pub(crate) fn tell(&self, host: &id::Host, frame: &Frame) {
        if *host == self.own.host {
            self.take(host, frame.clone());
        } else {
            self.links.send(host, frame);
        }
    }

    pub(crate) fn ask_turn(&self, keeper: &id::Host, engine: &id::Target, ask: Ask) {
        self.tell(keeper, &Frame::TurnAsk { engine: engine.clone(), ask });
    }

    pub(crate) fn grant(&self, entry: &id::Host, engine: &id::Target, request: &SmolStr) {
        let frame = Frame::Turn { engine: engine.clone(), request: request.clone() };
        self.tell(entry, &frame);
    }

    /// Waits until entries come or go.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Tells what changed of the targets to all that have a link.
    ///
    /// Changes go over the links and not the list: with 810 targets that is a hundred kilobytes, and
    /// targets change several times a second. Whoever misses a change shows it by its revision and
    /// is told the whole list.
    pub(crate) fn share_changes(&self, since: u64, changes: Vec<Change>) {
        let revision = self.process.targets_revision();
        let peers: Vec<id::Host> = self.peers.lock().keys().cloned().collect();
        self.links.send_all(peers.iter(), &Frame::Changes { since, revision, changes });
    }

    /// Tells all entries this one's state.
    pub(crate) fn beat(&self) {
        self.beat_to_actives();
        self.beat_to_leaves();
    }

    fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock())
    }

    fn is_active(&self) -> bool {
        self.view().actives.contains(&self.own.host)
    }

    /// Works out anew who is alive and what part each plays.
    fn refresh(&self) {
        let own = Presence { member: self.own.clone(), ready: self.process.is_ready() };
        let mut alive: BTreeMap<id::Host, Presence> = BTreeMap::new();
        let peers = self.peers.lock();
        for presence in peers.values().flat_map(|peer| &peer.told) {
            alive.insert(presence.member.host.clone(), presence.clone());
        }
        // What this entry hears itself goes before what it is told.
        for peer in peers.values() {
            let ready = peer.beat.as_ref().is_some_and(|beat| beat.ready);
            let presence = Presence { member: peer.member.clone(), ready };
            alive.insert(peer.member.host.clone(), presence);
        }
        drop(peers);
        alive.insert(self.own.host.clone(), own);
        let alive: Vec<Presence> = alive.into_values().collect();
        let members: Vec<Member> = alive.iter().map(|p| p.member.clone()).collect();
        let actives = roster::actives(&members);
        let links = roster::links(&self.own, &actives).into_iter().cloned().collect();
        let actives = actives.into_iter().map(|member| member.host.clone()).collect();
        *self.view.lock() = Arc::new(View { alive, actives, links });
    }

    fn own_beat(&self, held: Vec<Held>) -> Beat {
        Beat {
            ready: self.process.is_ready(),
            text: self.process.revision(),
            targets: self.process.targets_revision(),
            registry: self.process.registry_works(),
            held,
        }
    }

    /// The linked entries, parted into actives and leaves.
    fn parted(&self) -> (Vec<id::Host>, Vec<id::Host>) {
        let view = self.view();
        let hosts: Vec<id::Host> = self.peers.lock().keys().cloned().collect();
        hosts.into_iter().partition(|host| view.actives.contains(host))
    }

    fn beat_to_actives(&self) {
        let (actives, _) = self.parted();
        let view = self.view();
        if self.is_active() {
            // What leaves hold goes along; what other actives hold they tell themselves.
            let held = self.process.held_with(|host| !view.actives.contains(host));
            self.links.send_all(actives.iter(), &Frame::Beat(self.own_beat(held)));
            return;
        }
        let primary = view.links.first().map(|member| &member.host);
        for active in &actives {
            // Told to one, or it would count twice.
            let held = if Some(active) == primary { self.process.held() } else { Vec::new() };
            self.links.send(active, &Frame::Beat(self.own_beat(held)));
        }
    }

    fn beat_to_leaves(&self) {
        let (_, leaves) = self.parted();
        let (busy, idle): (Vec<id::Host>, Vec<id::Host>) =
            leaves.into_iter().partition(|leaf| self.process.holds(leaf));
        self.links.send_all(idle.iter(), &Frame::Beat(self.own_beat(Vec::new())));
        for leaf in &busy {
            let held = self.process.held_with(|host| host != leaf);
            self.links.send(leaf, &Frame::Beat(self.own_beat(held)));
        }
    }

    async fn beat_on(self: Arc<Self>) {
        let mut count: u32 = 0;
        loop {
            let news = tokio::select! {
                () = sleep(BEAT) => false,
                () = self.process.sent() => true,
            };
            if news {
                sleep(PROMPT).await;
                self.beat_to_actives();
                continue;
            }
            count = count.wrapping_add(1);
            let leaf_turn = count.is_multiple_of(LEAF_BEATS);
            if self.is_active() || leaf_turn {
                self.beat_to_actives();
            }
            if leaf_turn {
                self.beat_to_leaves();
            }
            self.process.report();
        }
    }

    async fn listen(self: Arc<Self>, mut events: mpsc::Receiver<Event>) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Up(member) => self.up(member),
                Event::Down(host) => self.down(&host),
                Event::Frame(host, frame) => self.take(&host, frame),
            }
        }
    }

    fn up(&self, member: Member) {
        ::log::info!(peer:% = member.host, address:% = member.peers; "peer linked");
        let host = member.host.clone();
        let peer = Peer { member, beat: None, behind: None, told: Vec::new(), used: self.now() };
        self.peers.lock().insert(host.clone(), peer);
        self.refresh();
        self.links.send(&host, &Frame::Alive(self.linked()));
        self.links.send(&host, &Frame::Beat(self.own_beat(Vec::new())));
        self.changed.notify_waiters();
    }

    fn down(&self, host: &id::Host) {
        ::log::warn!(peer:% = host; "peer lost");
        self.peers.lock().remove(host);
        self.process.set_other(host, None);
        self.refresh();
        self.changed.notify_waiters();
    }

    fn take(&self, from: &id::Host, frame: Frame) {
        match frame {
            Frame::Hello(_) => {}
            Frame::Alive(told) => {
                if let Some(peer) = self.peers.lock().get_mut(from) {
                    peer.told = told;
                }
                self.refresh();
            }
            Frame::Beat(beat) => self.take_beat(from, beat),
            Frame::Text(text) => {
                self.process.adopt(*text, "peer");
            }
            Frame::TurnAsk { engine, ask } => self.desk.ask(self, from, &engine, ask),
            Frame::Turn { engine, request } => self.desk.grant(self, &engine, &request),
            Frame::TurnDone { engine, request } => self.desk.done(self, &engine, &request),
            Frame::Targets { revision, targets } => {
                self.process.list_targets(revision, targets, "peer");
            }
            Frame::Changes { since, revision, changes } => {
                self.take_changes(since, revision, changes);
            }
        }
    }

    /// Takes in changes from a peer, and hands them on to those that know no other active.
    fn take_changes(&self, since: u64, revision: u64, changes: Vec<Change>) {
        let own = self.process.targets_revision();
        // Guards against a missed change: taking the new revision over would hide the gap, and the
        // whole list would never be asked for.
        let reached = if own >= since { revision } else { own };
        let news = self.process.change_targets(reached, changes);
        if !news.is_empty() && self.is_active() {
            let (_, leaves) = self.parted();
            self.links.send_all(leaves.iter(), &Frame::Changes { since, revision, changes: news });
        }
    }

    fn take_beat(&self, from: &id::Host, beat: Beat) {
        if self.lags(from, &beat) {
            self.catch_up(from, &beat);
        }
        if self.process.set_other(from, Some(beat.held.clone())) {
            self.process.report();
        }
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(from) else { return };
        let differs = |old: &Beat| old.registry != beat.registry || old.ready != beat.ready;
        let news = peer.beat.as_ref().is_none_or(differs);
        peer.beat = Some(beat);
        drop(peers);
        if news {
            self.refresh();
            self.changed.notify_waiters();
        }
    }

    /// Whether a peer has missed what this entry knows: at once where it knows nothing, else after
    /// what is on its way has had time to arrive.
    fn lags(&self, from: &id::Host, beat: &Beat) -> bool {
        let (text, targets) = (self.process.revision(), self.process.targets_revision());
        let behind = beat.text < text || beat.targets < targets;
        let blank = (beat.text == 0 && text > 0) || (beat.targets == 0 && targets > 0);
        let now = self.now();
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(from) else { return false };
        if !behind {
            peer.behind = None;
            return false;
        }
        let since = *peer.behind.get_or_insert(now);
        let due = blank || now.since(since) >= LAG;
        if due {
            peer.behind = Some(now);
        }
        due
    }

    /// Tells a peer the text and the targets that it lacks.
    fn catch_up(&self, peer: &id::Host, beat: &Beat) {
        if beat.text < self.process.revision()
            && let Some(table) = self.process.table()
        {
            self.links.send(peer, &Frame::Text(Box::new(table.text().clone())));
        }
        if beat.targets < self.process.targets_revision() {
            let (revision, targets) = self.process.targets();
            self.links.send(peer, &Frame::Targets { revision, targets });
        }
    }

    /// This entry and those that it has links to.
    fn linked(&self) -> Vec<Presence> {
        let peers = self.peers.lock();
        let presence = |peer: &Peer| Presence {
            member: peer.member.clone(),
            ready: peer.beat.as_ref().is_some_and(|beat| beat.ready),
        };
        let mut linked: Vec<Presence> = peers.values().map(presence).collect();
        drop(peers);
        linked.push(Presence { member: self.own.clone(), ready: self.process.is_ready() });
        linked.sort_by(|a, b| a.member.host.cmp(&b.member.host));
        linked
    }

    /// Opens the links that are missing, closes those of no use, and tells who is alive.
    async fn look(self: Arc<Self>) {
        let mut told = Vec::new();
        let mut reunion = self.now();
        loop {
            sleep(LOOK).await;
            self.refresh();
            let linked = self.linked();
            if linked != told {
                told = linked;
                let peers: Vec<id::Host> = self.peers.lock().keys().cloned().collect();
                self.links.send_all(peers.iter(), &Frame::Alive(told.clone()));
            }
            let mut wanted: Vec<SocketAddr> = self.view().links.iter().map(|m| m.peers).collect();
            let now = self.now();
            let alone = self.peers.lock().is_empty();
            if alone || now.since(self.began) < EARLY {
                wanted.extend(self.process.seeds());
            } else if now.since(reunion) >= REUNION {
                reunion = now;
                wanted.extend(self.strange_seed());
            }
            for address in self.missing(wanted) {
                ntex::rt::spawn(Arc::clone(&self.links).dial(address)).detach();
            }
            self.close_unused();
        }
    }

    /// A seed that nobody tells of.
    fn strange_seed(&self) -> Option<SocketAddr> {
        let view = self.view();
        let known = |seed: &SocketAddr| view.alive.iter().any(|p| p.member.peers == *seed);
        let strange: Vec<SocketAddr> =
            self.process.seeds().into_iter().filter(|seed| !known(seed)).collect();
        let draw: usize = rand::random_range(0..strange.len().max(1));
        strange.get(draw).copied()
    }

    fn missing(&self, wanted: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let now = self.now();
        let mut missing = Vec::new();
        let mut dialled = self.dialled.lock();
        dialled.retain(|address, _| wanted.contains(address));
        for address in wanted {
            if address == self.own.peers {
                continue;
            }
            if self.links.reaches(address) {
                dialled.remove(&address);
                continue;
            }
            let first = !dialled.contains_key(&address);
            let (tried, since) = *dialled.entry(address).or_insert((now, now));
            let turn = self.own.peers < address || now.since(since) >= COURTESY;
            if turn && (first || now.since(tried) >= AGAIN) {
                dialled.insert(address, (now, since));
                missing.push(address);
            }
        }
        missing
    }

    /// Closes links that neither end has a use for, such as those to seeds after the start.
    fn close_unused(&self) {
        let (view, now) = (self.view(), self.now());
        let active = self.is_active();
        let mut peers = self.peers.lock();
        let mut unused = Vec::new();
        for (host, peer) in peers.iter_mut() {
            let theirs = view.actives.contains(host);
            let leaf = active && !theirs && peer.member.domain == self.own.domain;
            let linked = view.links.iter().any(|member| member.host == *host);
            if linked || leaf || (active && theirs) {
                peer.used = now;
            } else if now.since(peer.used) >= UNUSED {
                unused.push(host.clone());
            }
        }
        drop(peers);
        unused.iter().for_each(|host| self.links.close(host));
    }
}
