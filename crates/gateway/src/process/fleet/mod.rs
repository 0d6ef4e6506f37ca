//! What entries know of each other, and who watches the registry for the others.
//!
//! Whoever answers on a link is alive, and tells whom it has links to; no list decides it. Which of
//! those alive carry the traffic and who links to whom is `policy::topology`'s to say. What is held
//! at each target is summed along the links, each link carrying all that its sender knows but for
//! what the receiver told it. `docs/PLATFORM.md` has the figures.

mod beat;
mod catchup;
mod grant;
mod intake;
mod look;
mod poison;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::backoff::{self, Role};
use fireflyhoist_policy::bootstrap::Peers;
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Change;
use fireflyhoist_policy::migration_queue::Migration;
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::presence::{Presence, Publisher, Subscriber, Update};
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::stagger::Order;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::topology::{self, Member};
use fireflyhoist_policy::version::Fetch;
use fireflyhoist_text::transfer::Transfer;
use ntex::time::sleep;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

use crate::connection::frame::{Frame, Heartbeat};
use crate::connection::link::{Event, Links, Loss};
use crate::process::fleet::catchup::{Ahead, Encoded};
use crate::process::fleet::grant::Questions;
use crate::process::state::{Process, millis};
use crate::process::turn::Desk;

/// Entries that watch the registry's targets for all: two, so that one may fail unnoticed.
const WATCHERS: usize = 2;

/// Time between two views of who is alive at least; a tenth of the silence that ends a link.
const REFRESH: Duration = Duration::from_millis(25);

/// Events of links that wait to be handled.
const BACKLOG: usize = 1_024;

/// An entry that has a link to this one.
#[derive(Debug)]
struct Peer {
    member: Member,
    beat: Option<Heartbeat>,
    /// Since when it has a newer text.
    text: Ahead,
    /// Since when it knows more of the targets.
    targets: Ahead,
    /// Whom it says to be alive.
    told: Subscriber,
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
    /// What this entry tells of who is alive.
    teller: Mutex<Publisher>,
    /// Asks for a new view.
    stale: Notify,
    /// When each address was last dialled, and since when its link is missing.
    dialled: Mutex<HashMap<SocketAddr, (Time, Time)>>,
    /// Sections of texts, those on their way here included.
    texts: Mutex<Transfer>,
    /// Which peer is asked for all targets.
    lists: Mutex<Fetch<Position>>,
    /// The list that others were sent last.
    encoded: Mutex<Option<Encoded>>,
    changed: Notify,
    questions: Questions,
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
        let links = Links::new(own.clone(), process.metrics.traffic().clone(), events);
        ntex::rt::spawn(Arc::clone(&links).listen(listener)).detach();
        let fleet = Arc::new(Self {
            began: process.clock.now(),
            process,
            links,
            own,
            peers: Mutex::default(),
            view: Mutex::default(),
            teller: Mutex::default(),
            stale: Notify::new(),
            dialled: Mutex::default(),
            texts: Mutex::default(),
            lists: Mutex::default(),
            encoded: Mutex::default(),
            changed: Notify::new(),
            questions: Questions::default(),
            desk: Desk::default(),
        });
        fleet.refresh();
        ntex::rt::spawn(Arc::clone(&fleet).refresh_on()).detach();
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

    /// Whether any other entry takes callers.
    pub(crate) fn has_others(&self) -> bool {
        self.ready().iter().any(|member| member.host != self.own.host)
    }

    /// Which of those that watch targets for all this entry is, from 0; `None` where it is none.
    ///
    /// Each ranks the actives that it has links to, so an entry that is cut off from the others
    /// finds itself first and watches on its own.
    pub(crate) fn watcher(&self) -> Option<usize> {
        let view = self.view();
        let peers = self.peers.lock();
        let works = |peer: &&Peer| peer.beat.as_ref().is_some_and(|beat| beat.registry_up);
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

    /// Whether it has no link to any other entry.
    pub(crate) fn is_alone(&self) -> bool {
        self.peers.lock().is_empty()
    }

    /// Its part in hearing from a registry that doesn't answer.
    pub(crate) fn part(&self) -> Role {
        if self.is_standby() {
            return Role::Standby;
        }
        if self.is_alone() && self.process.is_idle() {
            return Role::Secondary;
        }
        let leading = self.ranked_actives("registry", backoff::PRIMARIES);
        if leading.contains(&self.own.host) { Role::Primary } else { Role::Secondary }
    }

    /// The first few actives by rank for a key, among those that this entry has links to.
    fn ranked_actives(&self, key: &str, count: usize) -> Vec<id::Host> {
        let view = self.view();
        let peers = self.peers.lock();
        let linked = |host: &&id::Host| peers.contains_key(*host) || **host == self.own.host;
        let hosts: Vec<id::Host> = view.actives.iter().filter(linked).cloned().collect();
        let ranked = rendezvous::rank(key, &hosts, |host| host.as_str());
        ranked.into_iter().take(count).cloned().collect()
    }

    /// Whether enough peers would tell of a text that this entry misses.
    pub(crate) fn is_covered(&self) -> bool {
        let peers = self.peers.lock();
        let works = |peer: &&Peer| peer.beat.as_ref().is_some_and(|beat| beat.registry_up);
        peers.values().filter(works).count() >= 2
    }

    /// Whether other entries link to this one before they know anybody.
    pub(crate) fn is_seed(&self) -> bool {
        self.process.seeds().contains(&self.own.peers)
    }

    /// What linked entries can tell this one, of something that `has` finds in their heartbeats.
    pub(crate) fn peers(&self, has: impl Fn(&Heartbeat) -> bool) -> Peers {
        let peers = self.peers.lock();
        if peers.is_empty() {
            return Peers::None;
        }
        let informed = peers.values().any(|peer| peer.beat.as_ref().is_some_and(&has));
        if informed { Peers::Informed } else { Peers::Uninformed }
    }

    /// Whether neither this entry nor any that it has a link to hears of targets.
    pub(crate) fn is_blind(&self) -> bool {
        let peers = self.peers.lock();
        let told = peers.values().any(|peer| peer.beat.as_ref().is_some_and(|beat| beat.watching));
        !told && !self.process.is_watching()
    }

    /// For how long callers may keep addresses at most.
    pub(crate) fn entries_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.process.bounds().entries_ttl_s.max(0.0))
    }

    pub(crate) fn now(&self) -> Time {
        self.process.clock.now()
    }

    pub(crate) fn host(&self) -> &id::Host {
        &self.own.host
    }

    /// The entry that decides for all about what a key names, or that passes questions on to it.
    pub(crate) fn keeper(&self, key: &str) -> id::Host {
        let view = self.view();
        if !self.is_active() {
            let primary = view.links.first();
            return primary.map_or_else(|| self.own.host.clone(), |member| member.host.clone());
        }
        let first = self.ranked_actives(key, 1).pop();
        first.unwrap_or_else(|| self.own.host.clone())
    }

    /// Sends a frame to an entry, this one included.
    pub(crate) fn tell(&self, host: &id::Host, frame: &Frame) {
        if *host == self.own.host {
            self.take(host, frame.clone());
        } else {
            self.links.send(host, frame);
        }
    }

    pub(crate) fn ask_turn(&self, keeper: &id::Host, engine: &id::Target, ask: Migration) {
        self.tell(keeper, &Frame::MigrationRequest { engine: engine.clone(), migration: ask });
    }

    pub(crate) fn grant(&self, entry: &id::Host, engine: &id::Target, request: &SmolStr) {
        let frame = Frame::MigrationGrant { engine: engine.clone(), request: request.clone() };
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
    pub(crate) fn share_changes(&self, since: Position, changes: Vec<Change>) {
        let revision = self.process.targets_position();
        let (actives, _) = self.parted();
        let told = actives.into_iter().chain(self.followers());
        let told: BTreeSet<id::Host> = told.collect();
        self.links.send_all(told.iter(), &Frame::Changes { since, revision, changes });
    }

    /// The entries that this one tells of each change of targets. Others see by its heartbeats that
    /// they miss something, which covers the loss of the one that tells them.
    fn followers(&self) -> Vec<id::Host> {
        let peers = self.peers.lock();
        let follows = |peer: &&Peer| peer.beat.as_ref().is_some_and(|beat| beat.follows);
        peers.values().filter(follows).map(|peer| peer.member.host.clone()).collect()
    }

    /// Tells the entries that carry the traffic that a request was refused: any may meet it again.
    pub(crate) fn share_refused(&self, print: Fingerprint, age: Duration) {
        self.process.note_refused(print, age);
        let (actives, _) = self.parted();
        self.links
            .send_all(actives.iter(), &Frame::Refused { fingerprint: print, age_ms: millis(age) });
    }

    fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock())
    }

    fn is_active(&self) -> bool {
        self.view().actives.contains(&self.own.host)
    }

    /// Keeps the view up to date. Events come in bursts, hundreds when all entries start, and each
    /// view takes time in proportion to all that is known.
    async fn refresh_on(self: Arc<Self>) {
        loop {
            self.stale.notified().await;
            self.refresh();
            self.changed.notify_waiters();
            sleep(REFRESH).await;
        }
    }

    /// Works out anew who is alive and what part each plays.
    fn refresh(&self) {
        let own = Presence { member: self.own.clone(), ready: self.process.is_ready() };
        let mut alive: BTreeMap<id::Host, Presence> = BTreeMap::new();
        let peers = self.peers.lock();
        for presence in peers.values().flat_map(|peer| peer.told.alive()) {
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
        self.process.set_alive(alive.len());
        let alive: Vec<Presence> = alive.into_values().collect();
        let members: Vec<Member> = alive.iter().map(|p| p.member.clone()).collect();
        let actives = topology::actives(&members);
        self.process.set_actives(actives.len());
        let links = topology::links(&self.own, &actives).into_iter().cloned().collect();
        let actives: BTreeSet<id::Host> =
            actives.into_iter().map(|member| member.host.clone()).collect();
        self.process.set_order(Order::of(self.own.host.clone(), actives.iter().cloned().collect()));
        *self.view.lock() = Arc::new(View { alive, actives, links });
    }

    /// The linked entries, parted into actives and leaves.
    fn parted(&self) -> (Vec<id::Host>, Vec<id::Host>) {
        let view = self.view();
        let hosts: Vec<id::Host> = self.peers.lock().keys().cloned().collect();
        hosts.into_iter().partition(|host| view.actives.contains(host))
    }

    async fn listen(self: Arc<Self>, mut events: mpsc::Receiver<Event>) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Up(member) => self.up(member),
                Event::Down(host, loss) => self.down(&host, loss),
                Event::Frame(host, frame) => self.take(&host, frame),
            }
        }
    }

    fn up(&self, member: Member) {
        ::log::info!(peer:% = member.host, address:% = member.peers; "peer linked");
        let host = member.host.clone();
        let peer = Peer {
            member,
            beat: None,
            text: Ahead::default(),
            targets: Ahead::default(),
            told: Subscriber::default(),
            used: self.now(),
        };
        self.peers.lock().insert(host.clone(), peer);
        self.stale.notify_one();
        self.tell_alive(&host);
        self.beat_first(&host);
        self.tell_poison(&host);
        self.tell_limits(&host);
        self.changed.notify_waiters();
    }

    fn down(&self, host: &id::Host, loss: Loss) {
        ::log::warn!(
            peer:% = host, reason = loss.reason.name(), frame_ms = millis(loss.frame_ago),
            byte_ms = millis(loss.byte_ago), partial_bytes = loss.partial_bytes; "peer lost"
        );
        self.peers.lock().remove(host);
        self.ask_others(host);
        self.process.set_other(host, None);
        self.stale.notify_one();
        self.changed.notify_waiters();
    }

    fn take(&self, from: &id::Host, frame: Frame) {
        match frame {
            Frame::Hello(_) => {}
            Frame::Presence(update) => self.take_alive(from, update),
            Frame::PresenceRequest => self.tell_alive(from),
            Frame::Heartbeat(beat) => self.take_beat(from, beat),
            Frame::Text(message) => self.take_message(from, message),
            Frame::TargetsRequest => self.send_targets(from),
            Frame::Poison(records) => self.take_poison(from, records),
            Frame::Limits(words) => self.take_limits(from, words),
            Frame::LimitedSend(word) => {
                self.take_spent(from, word.target.clone(), Frame::LimitedSend(word))
            }
            Frame::ColdSend(word) => {
                self.process.hear_cold(&word);
                self.take_spent(from, word.target.clone(), Frame::ColdSend(word));
            }
            Frame::PermitRequest { id, permit } => self.take_question(from, id, permit),
            Frame::PermitReply { id, wait_ms } => self.take_answer(id, wait_ms),
            Frame::MigrationRequest { engine, migration } => {
                self.desk.ask(self, from, &engine, migration)
            }
            Frame::MigrationGrant { engine, request } => self.desk.grant(self, &engine, &request),
            Frame::MigrationDone { engine, request } => self.desk.done(self, &engine, &request),
            Frame::Refused { fingerprint, age_ms } => {
                self.process.note_refused(fingerprint, Duration::from_millis(age_ms));
            }
            Frame::Targets { revision, targets } => {
                self.lists.lock().end();
                self.process.list_targets(revision, targets, "peer");
            }
            Frame::Changes { since, revision, changes } => {
                self.take_changes(since, revision, changes);
            }
        }
    }

    /// Takes in changes from a peer, and hands them on to those that know no other active.
    fn take_changes(&self, since: Position, revision: Position, changes: Vec<Change>) {
        // Changes follow a list; whoever has none yet gets one with all that has changed.
        let Some(own) = self.process.listed_position() else { return };
        // Changes of a later era follow its list, which is asked for by its heartbeats.
        if revision.era() != own.era() {
            return;
        }
        // Guards against a missed change: taking the new revision over would hide the gap, and the
        // whole list would never be asked for.
        let reached = if own >= since { revision } else { own };
        let news = self.process.change_targets(reached, changes);
        if !news.is_empty() && self.is_active() {
            let followers = self.followers();
            let frame = Frame::Changes { since, revision, changes: news };
            self.links.send_all(followers.iter(), &frame);
        }
    }

    /// Tells one entry the whole of what all others were told.
    fn tell_alive(&self, to: &id::Host) {
        let whole = self.teller.lock().snapshot();
        self.links.send(to, &Frame::Presence(whole));
    }

    fn take_alive(&self, from: &id::Host, update: Update) {
        let taken = match self.peers.lock().get_mut(from) {
            Some(peer) => peer.told.apply(update),
            None => return,
        };
        match taken {
            Ok(()) => self.stale.notify_one(),
            Err(gap) => {
                ::log::debug!(peer:% = from, error:% = gap; "update missed");
                self.links.send(from, &Frame::PresenceRequest);
            }
        }
    }

    /// This entry and those that it has links to, as far as others need to know of them.
    fn linked(&self) -> Vec<Presence> {
        let peers = self.peers.lock();
        let presence = |peer: &Peer| Presence {
            member: peer.member.clone(),
            ready: peer.beat.as_ref().is_some_and(|beat| beat.ready),
        };
        let mut linked: Vec<Presence> = peers.values().map(presence).collect();
        drop(peers);
        linked.push(Presence { member: self.own.clone(), ready: self.process.is_ready() });
        let members: Vec<Member> = linked.iter().map(|one| one.member.clone()).collect();
        let told: BTreeSet<&id::Host> =
            topology::announced(&members).into_iter().map(|member| &member.host).collect();
        linked.retain(|one| told.contains(&one.member.host));
        linked
    }
}
