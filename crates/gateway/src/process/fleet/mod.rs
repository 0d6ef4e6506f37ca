//! The other entries of the fleet: links, membership, heartbeats, and who watches the registry.
//!
//! An entry that answers on a link is alive, and announces which entries it has links to itself;
//! there is no central list. `policy::topology` decides which live entries are active, that is,
//! serve callers, and which entries link to each other. The in-flight load of each target is summed
//! along the links: every heartbeat carries all that its sender knows, except for what it received
//! from the recipient.

mod catchup;
mod entry_load;
pub(crate) mod fragility;
mod heartbeat;
mod links;
mod origin;
mod owner;
mod poison;
mod reservation;
mod suspicion;
mod target_limits;
mod words;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::backoff::{self, Role};
use fireflyhoist_policy::bootstrap::Peers;
use fireflyhoist_policy::id;
use fireflyhoist_policy::isolation;
use fireflyhoist_policy::lease::Change;
use fireflyhoist_policy::migration_queue::Migration;
use fireflyhoist_policy::permit::{self, Route};
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::presence::{Presence, Publisher, Subscriber, Update};
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::reservation::SilentOwners;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::stagger::Order;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::topology::{self, Member};
use fireflyhoist_policy::version::Fetch;
use fireflyhoist_text::transfer::Transfer;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

use crate::connection::frame::{Frame, Heartbeat, ORIGINS_PROTOCOL};
use crate::connection::link::{Event, Links, Loss};
use crate::process::fleet::catchup::{EncodedTargets, Lag};
use crate::process::fleet::origin::Origins;
use crate::process::fleet::owner::{PendingPermits, Reply};
use crate::process::migration::Coordinator;
use crate::process::state::{Process, millis};

/// The number of entries that watch the targets in the registry for all others: two, so that the
/// failure of one has no effect.
const WATCHERS: usize = 2;

/// The minimum time between two computations of the view. It is small against the 900 ms of
/// silence after which a link is closed.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(25);

/// The capacity of the queue of link events.
const BACKLOG: usize = 1_024;

/// An entry that has a link to this one.
#[derive(Debug)]
struct Peer {
    member: Member,
    /// Its last heartbeat.
    heartbeat: Option<Heartbeat>,
    /// How long this entry's text has been older than that of the peer.
    text_lag: Lag,
    /// How long this entry's list of targets has been older than that of the peer.
    targets_lag: Lag,
    /// The entries that it announces as alive.
    announced: Subscriber,
    /// When either end last needed the link.
    last_used: Time,
}

impl Peer {
    /// Returns whether it reads the frames of this protocol. An entry of an earlier one would close
    /// the link on a frame that it does not know.
    fn reads(&self, protocol: u32) -> bool {
        self.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.protocol >= protocol)
    }

    fn presence(&self) -> Presence {
        Presence {
            member: self.member.clone(),
            ready: self.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.ready),
            isolated: self.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.isolated),
        }
    }
}

/// The live entries and their roles, computed again when either may have changed.
#[derive(Debug, Default)]
struct View {
    alive: Vec<Presence>,
    actives: BTreeSet<id::Host>,
    /// The actives that this entry links to. If it is a leaf, the first is its primary active,
    /// which announces its in-flight requests and forwards its permit requests.
    links: Vec<Member>,
}

/// The other entries of the fleet, as known to this one.
#[derive(Debug)]
pub(crate) struct Fleet {
    process: Arc<Process>,
    links: Arc<Links>,
    own: Member,
    started_at: Time,
    peers: Mutex<HashMap<id::Host, Peer>>,
    view: Mutex<Arc<View>>,
    /// The live entries that this one announces.
    publisher: Mutex<Publisher>,
    /// Requests a new computation of the view.
    stale: Notify,
    /// Addresses that are wanted and have no link: when each was last dialled, and since when its
    /// link is missing.
    dialled: Mutex<HashMap<SocketAddr, (Time, Time)>>,
    /// Sections of texts, including a text that is being received.
    texts: Mutex<Transfer>,
    /// The peer from which the full list of targets is being requested.
    target_fetch: Mutex<Fetch<Position>>,
    /// The full list of targets as it was last sent.
    encoded_targets: Mutex<Option<EncodedTargets>>,
    /// Notified after each computation of the view and when a link opens or closes.
    changed: Notify,
    pending_permits: PendingPermits,
    origins: Origins,
    silent_owners: Mutex<SilentOwners>,
    pub(crate) migrations: Coordinator,
}

impl Fleet {
    /// Starts the tasks that accept and open links and handle what arrives on them.
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
        let limits = process.metrics.limits().clone();
        let links = Links::new(own.clone(), process.metrics.traffic().clone(), limits, events);
        ntex::rt::spawn(Arc::clone(&links).listen(listener)).detach();
        let fleet = Arc::new(Self {
            started_at: process.clock.now(),
            process,
            links,
            own,
            peers: Mutex::default(),
            view: Mutex::default(),
            publisher: Mutex::default(),
            stale: Notify::new(),
            dialled: Mutex::default(),
            texts: Mutex::default(),
            target_fetch: Mutex::default(),
            encoded_targets: Mutex::default(),
            changed: Notify::new(),
            pending_permits: PendingPermits::default(),
            origins: Origins::default(),
            silent_owners: Mutex::default(),
            migrations: Coordinator::default(),
        });
        fleet.refresh();
        ntex::rt::spawn(Arc::clone(&fleet).refresh_loop()).detach();
        ntex::rt::spawn(Arc::clone(&fleet).maintain_links()).detach();
        ntex::rt::spawn(Arc::clone(&fleet).handle_events(receiver)).detach();
        ntex::rt::spawn(Arc::clone(&fleet).heartbeat_loop()).detach();
        ntex::rt::spawn(Arc::clone(&fleet).republish_origins()).detach();
        ntex::rt::spawn(Coordinator::run(Arc::clone(&fleet))).detach();
        fleet
    }

    /// Returns the entries that callers should use now: the active ones that are ready and reach
    /// targets, or this entry if it knows none.
    pub(crate) fn ready_members(&self) -> Vec<Member> {
        let view = self.view();
        let current = |presence: &Presence| match presence.member.host == self.own.host {
            true => self.own_presence(),
            false => presence.clone(),
        };
        let serves =
            |presence: &Presence| presence.ready && view.actives.contains(&presence.member.host);
        let mut ready: Vec<Presence> = view.alive.iter().map(current).filter(serves).collect();
        isolation::retain_for_callers(&mut ready);
        let mut ready: Vec<Member> = ready.into_iter().map(|presence| presence.member).collect();
        if ready.is_empty() && self.process.is_ready() {
            ready.push(self.own.clone());
        }
        ready
    }

    fn own_presence(&self) -> Presence {
        Presence {
            member: self.own.clone(),
            ready: self.process.is_ready(),
            isolated: self.process.is_isolated(),
        }
    }

    /// Returns whether another entry accepts callers.
    pub(crate) fn has_ready_peer(&self) -> bool {
        self.ready_members().iter().any(|member| member.host != self.own.host)
    }

    /// Returns the rank of this entry among those that watch targets for all, from 0; `None` if it
    /// is not one of them.
    ///
    /// Each entry ranks the actives that it has links to and whose registry calls succeed, so an
    /// entry that is cut off from the others ranks first and watches for itself.
    pub(crate) fn watcher_rank(&self) -> Option<usize> {
        let view = self.view();
        let peers = self.peers.lock();
        let works =
            |peer: &&Peer| peer.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.registry_up);
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

    /// Returns whether this entry is a leaf with a link, so that others serve the callers and
    /// announce to it what it lacks.
    pub(crate) fn is_standby(&self) -> bool {
        !self.is_active() && !self.peers.lock().is_empty()
    }

    /// Returns whether this entry has no link to any other.
    pub(crate) fn is_alone(&self) -> bool {
        self.peers.lock().is_empty()
    }

    /// Returns the role of this entry in calling a registry that does not answer.
    pub(crate) fn registry_role(&self) -> Role {
        if self.is_standby() {
            return Role::Standby;
        }
        if self.is_alone() && self.process.is_idle() {
            return Role::Secondary;
        }
        let primaries = self.ranked_actives("registry", backoff::PRIMARIES);
        if primaries.contains(&self.own.host) { Role::Primary } else { Role::Secondary }
    }

    /// Returns the first `count` actives by rendezvous rank for a key, among this entry and those
    /// that it has links to.
    fn ranked_actives(&self, key: &str, count: usize) -> Vec<id::Host> {
        let view = self.view();
        let peers = self.peers.lock();
        let linked = |host: &&id::Host| peers.contains_key(*host) || **host == self.own.host;
        let hosts: Vec<id::Host> = view.actives.iter().filter(linked).cloned().collect();
        let ranked = rendezvous::rank(key, &hosts, |host| host.as_str());
        ranked.into_iter().take(count).cloned().collect()
    }

    /// Returns whether at least two linked entries reach the registry, so that they would announce
    /// a text that this entry lacks even if one of them failed.
    pub(crate) fn peers_reach_registry(&self) -> bool {
        let peers = self.peers.lock();
        let works =
            |peer: &&Peer| peer.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.registry_up);
        peers.values().filter(works).count() >= 2
    }

    /// Returns whether this entry is a seed, which other entries dial before they know any member.
    pub(crate) fn is_seed(&self) -> bool {
        self.process.seeds().contains(&self.own.peers)
    }

    /// Returns whether this entry has links, and whether any linked entry has the data that `has`
    /// looks for in its last heartbeat.
    pub(crate) fn peer_state(&self, has: impl Fn(&Heartbeat) -> bool) -> Peers {
        let peers = self.peers.lock();
        if peers.is_empty() {
            return Peers::None;
        }
        let informed = peers.values().any(|peer| peer.heartbeat.as_ref().is_some_and(&has));
        if informed { Peers::Informed } else { Peers::Uninformed }
    }

    /// Returns whether neither this entry nor any linked entry watches the targets in the registry.
    pub(crate) fn are_targets_unwatched(&self) -> bool {
        let peers = self.peers.lock();
        let watched = peers
            .values()
            .any(|peer| peer.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.watching));
        !watched && !self.process.is_watching()
    }

    /// Returns how long callers may cache the addresses of entries at most.
    pub(crate) fn entries_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.process.bounds().entries_ttl_s.max(0.0))
    }

    pub(crate) fn now(&self) -> Time {
        self.process.clock.now()
    }

    pub(crate) fn host(&self) -> &id::Host {
        &self.own.host
    }

    /// Returns the entry to which permit requests for a key are sent: the owner of the key if this
    /// entry is active, or else its primary active, which forwards them to the owner.
    pub(crate) fn owner(&self, key: &str) -> id::Host {
        let view = self.view();
        if !self.is_active() {
            let primary = view.links.first();
            return primary.map_or_else(|| self.own.host.clone(), |member| member.host.clone());
        }
        let first = self.ranked_actives(key, 1).pop();
        first.unwrap_or_else(|| self.own.host.clone())
    }

    /// Returns where a permit request goes: one of this entry, or one that `from` sent. A leaf sends
    /// all of them to its primary active.
    pub(crate) fn permit_route(&self, key: &str, from: Option<&id::Host>) -> Route {
        let view = self.view();
        if !self.is_active() {
            // Whoever asks a leaf takes it for the owner; sent back, the request could go round.
            let primary = view.links.first().filter(|_| from.is_none());
            return primary.map_or(Route::Own, |member| Route::Send(member.host.clone()));
        }
        let linked: BTreeSet<id::Host> = self.peers.lock().keys().cloned().collect();
        let known = permit::View { own: &self.own.host, actives: &view.actives, linked: &linked };
        match from {
            Some(active) if view.actives.contains(active) => known.relay(key),
            _ => known.route(key),
        }
    }

    /// Sends a frame to an entry. A frame to this entry is handled at once.
    pub(crate) fn send(&self, host: &id::Host, frame: &Frame) {
        if *host == self.own.host {
            self.handle_frame(host, frame.clone());
        } else {
            self.links.send(host, frame);
        }
    }

    /// Requests a turn to migrate an answer from an engine, from the owner of the engine's queue.
    pub(crate) fn request_turn(&self, owner: &id::Host, engine: &id::Target, migration: Migration) {
        self.send(owner, &Frame::MigrationRequest { engine: engine.clone(), migration });
    }

    /// Grants the turn of a request to the entry that asked for it.
    pub(crate) fn grant_turn(&self, entry: &id::Host, engine: &id::Target, request: &SmolStr) {
        let frame = Frame::MigrationGrant { engine: engine.clone(), request: request.clone() };
        self.send(entry, &frame);
    }

    /// Waits until a link opens or closes or the view is computed again.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Sends changes of targets to all linked actives and to the followers of this entry.
    ///
    /// Only changes are sent, since the full list takes 100 kB with 810 targets, and targets change
    /// several times a second. An entry that missed a change sees from the revisions in heartbeats
    /// that it is behind, and requests the full list.
    pub(crate) fn announce_changes(&self, since: Position, changes: Vec<Change>) {
        let revision = self.process.targets_position();
        let (actives, _) = self.actives_and_leaves();
        let recipients = actives.into_iter().chain(self.followers());
        let recipients: BTreeSet<id::Host> = recipients.collect();
        self.links.send_all(recipients.iter(), &Frame::Changes { since, revision, changes });
    }

    /// Returns the leaves to which this entry forwards each change of targets. Other leaves see
    /// from its heartbeats that they are behind, which covers the loss of the entry that they
    /// follow.
    fn followers(&self) -> Vec<id::Host> {
        let peers = self.peers.lock();
        let follows =
            |peer: &&Peer| peer.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.follows);
        peers.values().filter(follows).map(|peer| peer.member.host.clone()).collect()
    }

    /// Records that a request was refused and announces it to the actives, any of which may receive
    /// the caller's retry.
    pub(crate) fn announce_refusal(&self, fingerprint: Fingerprint, age: Duration) {
        self.process.record_refusal(fingerprint, age);
        let (actives, _) = self.actives_and_leaves();
        self.links.send_all(actives.iter(), &Frame::Refused { fingerprint, age_ms: millis(age) });
    }

    fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock())
    }

    fn is_active(&self) -> bool {
        self.view().actives.contains(&self.own.host)
    }

    /// Keeps the view up to date.
    ///
    /// Events arrive in bursts, hundreds when all entries start, and the time to compute a view
    /// grows with the number of known entries, so one computation covers all events of an interval.
    async fn refresh_loop(self: Arc<Self>) {
        loop {
            self.stale.notified().await;
            self.refresh();
            self.changed.notify_waiters();
            sleep(MIN_REFRESH_INTERVAL).await;
        }
    }

    /// Computes which entries are alive and the role of each.
    fn refresh(&self) {
        let own = self.own_presence();
        let mut alive: BTreeMap<id::Host, Presence> = BTreeMap::new();
        let peers = self.peers.lock();
        for presence in peers.values().flat_map(|peer| peer.announced.alive()) {
            alive.insert(presence.member.host.clone(), presence.clone());
        }
        // The heartbeats that this entry receives itself override what others announce.
        for peer in peers.values() {
            alive.insert(peer.member.host.clone(), peer.presence());
        }
        drop(peers);
        alive.insert(self.own.host.clone(), own);
        self.process.set_live_entries(alive.len());
        let alive: Vec<Presence> = alive.into_values().collect();
        let relays = alive
            .iter()
            .filter(|presence| !presence.isolated && presence.member.host != self.own.host);
        self.process.set_relays(relays.cloned().collect());
        let members: Vec<Member> = alive.iter().map(|p| p.member.clone()).collect();
        let actives = topology::actives(&members);
        self.process.set_active_entries(actives.len());
        let links = topology::links(&self.own, &actives).into_iter().cloned().collect();
        let actives: BTreeSet<id::Host> =
            actives.into_iter().map(|member| member.host.clone()).collect();
        self.process.set_order(Order::of(self.own.host.clone(), actives.iter().cloned().collect()));
        let view = Arc::new(View { alive, actives, links });
        *self.view.lock() = Arc::clone(&view);
        let (own, linked) = (&self.own.host, BTreeSet::new());
        let known = permit::View { own, actives: &view.actives, linked: &linked };
        let is_active = view.actives.contains(own);
        self.process.retain_owned_buckets(|target| is_active && known.owns(target.as_str()));
    }

    /// Returns the linked entries that read origins of streams and suspicions.
    fn current_peers(&self) -> Vec<id::Host> {
        let peers = self.peers.lock();
        let reads = |peer: &&Peer| peer.reads(ORIGINS_PROTOCOL);
        peers.values().filter(reads).map(|peer| peer.member.host.clone()).collect()
    }

    /// Returns those of them that are active.
    fn current_actives(&self) -> Vec<id::Host> {
        let view = self.view();
        let peers = self.current_peers().into_iter();
        peers.filter(|host| view.actives.contains(host)).collect()
    }

    /// Returns the linked entries, split into actives and leaves.
    fn actives_and_leaves(&self) -> (Vec<id::Host>, Vec<id::Host>) {
        let view = self.view();
        let hosts: Vec<id::Host> = self.peers.lock().keys().cloned().collect();
        hosts.into_iter().partition(|host| view.actives.contains(host))
    }

    /// Handles link events in the order of their arrival.
    async fn handle_events(self: Arc<Self>, mut events: mpsc::Receiver<Event>) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Up(member) => self.link_up(member),
                Event::Down(host, loss) => self.link_down(&host, loss),
                Event::Frame(host, frame) => self.handle_frame(&host, frame),
                Event::Relay(incoming) => {
                    let process = Arc::clone(&self.process);
                    ntex::rt::spawn(async move { process.relay(*incoming).await }).detach();
                }
            }
        }
    }

    fn link_up(&self, member: Member) {
        ::log::info!(peer:% = member.host, address:% = member.peers; "peer linked");
        let host = member.host.clone();
        let peer = Peer {
            member,
            heartbeat: None,
            text_lag: Lag::default(),
            targets_lag: Lag::default(),
            announced: Subscriber::default(),
            last_used: self.now(),
        };
        self.peers.lock().insert(host.clone(), peer);
        self.stale.notify_one();
        self.send_alive(&host);
        self.send_first_heartbeat(&host);
        self.send_poison(&host);
        self.send_limits(&host);
        self.changed.notify_waiters();
    }

    fn link_down(&self, host: &id::Host, loss: Loss) {
        ::log::warn!(
            peer:% = host, reason = loss.reason.name(), frame_ms = millis(loss.frame_ago),
            byte_ms = millis(loss.byte_ago), partial_bytes = loss.partial_bytes; "peer lost"
        );
        self.peers.lock().remove(host);
        self.abandon_requests(host);
        self.origins.keepers_changed();
        self.process.set_peer_usage(host, Vec::new());
        self.stale.notify_one();
        self.changed.notify_waiters();
    }

    fn handle_frame(&self, from: &id::Host, frame: Frame) {
        match frame {
            Frame::Hello(_) => {}
            Frame::Presence(update) => self.apply_alive(from, update),
            Frame::PresenceRequest => self.send_alive(from),
            Frame::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat),
            Frame::Text(message) => self.handle_text_message(from, message),
            Frame::TargetsRequest => self.send_targets(from),
            Frame::Poison(records) => self.apply_poison(from, records),
            Frame::Suspicions(updates) => self.apply_suspicions(from, updates),
            Frame::Origins(updates) => self.process.apply_origins(updates),
            Frame::Limits(updates) => self.apply_limits(from, updates),
            Frame::Fragile(update) => self.apply_tolerance(from, update),
            Frame::SlotRelease { target, slots, ending } => {
                self.handle_slot_release(from, target, slots, ending);
            }
            Frame::Rest { target, wait_ms } => {
                self.process.record_rest(&target, Duration::from_millis(wait_ms));
            }
            Frame::LimitedSend(update) => {
                self.handle_spent(from, update.target.clone(), Frame::LimitedSend(update));
            }
            Frame::ColdSend(update) => {
                self.process.apply_cold_update(&update);
                self.handle_spent(from, update.target.clone(), Frame::ColdSend(update));
            }
            Frame::PermitRequest { id, permit } => self.handle_permit_request(from, id, permit),
            Frame::PermitReply { id, wait_ms, origin } => {
                let wait = wait_ms.map(Duration::from_millis);
                self.handle_permit_reply(id, Reply { wait, origin });
            }
            Frame::MigrationRequest { engine, migration } => {
                self.migrations.enqueue(self, from, &engine, migration);
            }
            Frame::MigrationGrant { engine, request } => {
                self.migrations.grant(self, &engine, &request);
            }
            Frame::MigrationDone { engine, request } => {
                self.migrations.finish(self, &engine, &request);
            }
            Frame::Refused { fingerprint, age_ms } => {
                self.process.record_refusal(fingerprint, Duration::from_millis(age_ms));
            }
            Frame::Targets { revision, targets } => {
                self.target_fetch.lock().end();
                self.process.apply_target_list(revision, targets, "peer");
            }
            Frame::Changes { since, revision, changes } => {
                self.apply_changes(since, revision, changes);
            }
        }
    }

    /// Applies changes of targets from a peer. An active forwards those that were new to it to its
    /// followers.
    fn apply_changes(&self, since: Position, revision: Position, changes: Vec<Change>) {
        // Changes apply to a list; an entry without one will receive a list that includes them.
        let Some(own) = self.process.target_list_position() else { return };
        // Changes of a later era apply to its list, which is requested when a heartbeat of that era
        // arrives.
        if revision.era() != own.era() {
            return;
        }
        // After a missed change the position must stay behind: with the new revision the gap would
        // be hidden, and the full list would never be requested.
        let reached = if own >= since { revision } else { own };
        let new = self.process.apply_target_changes(reached, changes);
        if !new.is_empty() && self.is_active() {
            let followers = self.followers();
            let frame = Frame::Changes { since, revision, changes: new };
            self.links.send_all(followers.iter(), &frame);
        }
    }

    /// Sends one entry the full list of live entries, as announced to all others so far.
    fn send_alive(&self, to: &id::Host) {
        let snapshot = self.publisher.lock().snapshot();
        self.links.send(to, &Frame::Presence(snapshot));
    }

    /// Applies an update of the entries that a peer announces, or requests the full list if an
    /// earlier update was missed.
    fn apply_alive(&self, from: &id::Host, update: Update) {
        let applied = match self.peers.lock().get_mut(from) {
            Some(peer) => peer.announced.apply(update),
            None => return,
        };
        match applied {
            Ok(()) => self.stale.notify_one(),
            Err(gap) => {
                ::log::debug!(peer:% = from, error:% = gap; "presence update missed");
                self.links.send(from, &Frame::PresenceRequest);
            }
        }
    }

    /// Returns this entry and those that it has links to, limited to the ones that entries announce
    /// to each other.
    fn announced(&self) -> Vec<Presence> {
        let peers = self.peers.lock();
        let mut linked: Vec<Presence> = peers.values().map(Peer::presence).collect();
        drop(peers);
        linked.push(self.own_presence());
        let members: Vec<Member> = linked.iter().map(|one| one.member.clone()).collect();
        let announced: BTreeSet<&id::Host> =
            topology::announced(&members).into_iter().map(|member| &member.host).collect();
        linked.retain(|one| announced.contains(&one.member.host));
        linked
    }
}
