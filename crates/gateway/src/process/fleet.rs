//! What entries know of each other, and who watches the registry for the others.
//!
//! Every entry links to every other that it learns of: from its seeds, and from entries that tell
//! whom they know. Whoever answers on a link is alive; no list decides it. `docs/PLATFORM.md` has
//! the figures and the size at which links to all become too many.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::turn::Ask;
use ntex::time::sleep;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

use crate::connection::frame::{Beat, Frame, Member};
use crate::connection::link::{Event, Links};
use crate::process::state::Process;
use crate::process::turn::Desk;

/// Time between heartbeats. What is held at each engine is at most this old plus the way, so that
/// two entries rarely fill the same room; a prompt takes longer to be read.
const BEAT: Duration = Duration::from_millis(150);

/// How often missing links are looked for.
const LOOK: Duration = Duration::from_millis(200);

/// How long an entry waits for the other end to open their link before it does so itself. Of two
/// the one with the lower address dials; without the order both dial at once and each closes the
/// other's link.
const COURTESY: Duration = Duration::from_millis(1_200);

/// Time between two tries to reach the same address.
const AGAIN: Duration = Duration::from_millis(600);

/// How long an entry without a link is remembered.
const REMEMBERED: Duration = Duration::from_secs(30);

/// Entries that watch the registry's targets for all: two, so that one may fail unnoticed.
const WATCHERS: usize = 2;

/// Events of links that wait to be handled.
const BACKLOG: usize = 1_024;

/// An address that a link should lead to.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    since: Time,
    tried: Option<Time>,
    linked: Time,
}

/// The other entries, as far as they are known.
#[derive(Debug)]
pub(crate) struct Fleet {
    process: Arc<Process>,
    links: Arc<Links>,
    own: Member,
    beats: Mutex<HashMap<id::Host, (Member, Option<Beat>)>>,
    wanted: Mutex<HashMap<SocketAddr, Wanted>>,
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
            peers: settings.peers,
            callers: settings.callers,
        };
        let (events, receiver) = mpsc::channel(BACKLOG);
        let links = Links::open(own.clone(), events);
        ntex::rt::spawn(Arc::clone(&links).listen(listener)).detach();
        let fleet = Arc::new(Self {
            process,
            links,
            own,
            beats: Mutex::default(),
            wanted: Mutex::default(),
            changed: Notify::new(),
            desk: Desk::default(),
        });
        ntex::rt::spawn(Arc::clone(&fleet).look()).detach();
        ntex::rt::spawn(Arc::clone(&fleet).listen(receiver)).detach();
        ntex::rt::spawn(Arc::clone(&fleet).beat_on()).detach();
        ntex::rt::spawn(Desk::run(Arc::clone(&fleet))).detach();
        fleet
    }

    /// Entries that take callers now, this one included where it does.
    pub(crate) fn ready(&self) -> Vec<Member> {
        let beats = self.beats.lock();
        let ready = |(member, beat): &(Member, Option<Beat>)| {
            beat.as_ref().is_some_and(|beat| beat.ready).then(|| member.clone())
        };
        let mut members: Vec<Member> = beats.values().filter_map(ready).collect();
        drop(beats);
        if self.process.is_ready() {
            members.push(self.own.clone());
        }
        members.sort_by(|a, b| a.host.cmp(&b.host));
        members
    }

    /// Whether this entry is one of those that watch targets for all.
    ///
    /// Each entry ranks those that it has links to, so an entry that is cut off from the others
    /// finds itself first and watches on its own.
    pub(crate) fn is_watcher(&self) -> bool {
        let beats = self.beats.lock();
        let works = |(member, beat): &(Member, Option<Beat>)| {
            beat.as_ref().is_some_and(|beat| beat.registry).then(|| member.host.clone())
        };
        let mut hosts: Vec<id::Host> = beats.values().filter_map(works).collect();
        drop(beats);
        hosts.push(self.own.host.clone());
        let ranked = rendezvous::rank("targets", &hosts, |host| host.as_str());
        ranked.iter().take(WATCHERS).any(|host| **host == self.own.host)
    }

    pub(crate) fn now(&self) -> Time {
        self.process.clock.now()
    }

    pub(crate) fn host(&self) -> &id::Host {
        &self.own.host
    }

    /// The entry that keeps the queue of an engine that leaves.
    pub(crate) fn keeper(&self, engine: &id::Target) -> id::Host {
        let mut hosts: Vec<id::Host> = self.beats.lock().keys().cloned().collect();
        hosts.push(self.own.host.clone());
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

    /// Tells all entries this one's state.
    pub(crate) fn beat(&self) {
        self.links.broadcast(&Frame::Beat(self.own_beat()));
    }

    /// Tells all entries the targets, after a change that this one read.
    pub(crate) fn share_targets(&self) {
        let (revision, targets) = self.process.targets();
        self.links.broadcast(&Frame::Targets { revision, targets });
    }

    fn own_beat(&self) -> Beat {
        Beat {
            ready: self.process.is_ready(),
            text: self.process.revision(),
            targets: self.process.targets_revision(),
            registry: self.process.registry_works(),
            held: self.process.held(),
        }
    }

    async fn beat_on(self: Arc<Self>) {
        loop {
            sleep(BEAT).await;
            self.beat();
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
        self.want(member.peers);
        let host = member.host.clone();
        self.beats.lock().insert(host.clone(), (member, None));
        self.links.send(&host, &Frame::Known(self.links.members()));
        self.links.send(&host, &Frame::Beat(self.own_beat()));
        self.changed.notify_waiters();
    }

    fn down(&self, host: &id::Host) {
        ::log::warn!(peer:% = host; "peer lost");
        self.beats.lock().remove(host);
        self.process.set_other(host, None);
        self.changed.notify_waiters();
    }

    fn take(&self, from: &id::Host, frame: Frame) {
        match frame {
            Frame::Hello(_) => {}
            Frame::Known(members) => members.iter().for_each(|member| self.want(member.peers)),
            Frame::Beat(beat) => self.take_beat(from, beat),
            Frame::Text(text) => {
                self.process.adopt(*text, "peer");
            }
            Frame::TurnAsk { engine, ask } => self.desk.ask(self, &engine, ask),
            Frame::Turn { engine, request } => self.desk.grant(&engine, &request),
            Frame::TurnDone { engine, request } => self.desk.done(&engine, &request),
            Frame::Targets { revision, targets } => {
                self.process.list_targets(revision, targets, "peer");
            }
        }
    }

    fn take_beat(&self, from: &id::Host, beat: Beat) {
        let own = self.process.revision();
        if beat.text < own
            && let Some(table) = self.process.table()
        {
            self.links.send(from, &Frame::Text(Box::new(table.text().clone())));
        }
        if beat.targets < self.process.targets_revision() {
            let (revision, targets) = self.process.targets();
            self.links.send(from, &Frame::Targets { revision, targets });
        }
        self.process.set_other(from, Some(beat.held.clone()));
        let mut beats = self.beats.lock();
        let Some((_, known)) = beats.get_mut(from) else { return };
        let news = known.as_ref().is_none_or(|old| old.registry != beat.registry);
        *known = Some(beat);
        drop(beats);
        if news {
            self.changed.notify_waiters();
        }
    }

    fn want(&self, address: SocketAddr) {
        if address == self.own.peers {
            return;
        }
        let now = self.process.clock.now();
        let wanted = Wanted { since: now, tried: None, linked: now };
        self.wanted.lock().entry(address).or_insert(wanted);
    }

    /// Opens the links that are missing.
    async fn look(self: Arc<Self>) {
        loop {
            self.process.seeds().into_iter().for_each(|seed| self.want(seed));
            for address in self.missing() {
                ntex::rt::spawn(Arc::clone(&self.links).dial(address)).detach();
            }
            sleep(LOOK).await;
        }
    }

    fn missing(&self) -> Vec<SocketAddr> {
        let now = self.process.clock.now();
        let mut missing = Vec::new();
        let mut wanted = self.wanted.lock();
        wanted.retain(|_, of| now.since(of.linked) < REMEMBERED);
        for (address, of) in wanted.iter_mut() {
            if self.links.reaches(*address) {
                of.linked = now;
                of.since = now;
                continue;
            }
            let first = self.own.peers < *address;
            let due = first || now.since(of.since) >= COURTESY;
            if due && of.tried.is_none_or(|tried| now.since(tried) >= AGAIN) {
                of.tried = Some(now);
                missing.push(*address);
            }
        }
        missing
    }
}
