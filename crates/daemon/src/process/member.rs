//! Membership and versions of this process, and the frames exchanged with peers about both.
//!
//! One lock guards all of it: peers send about ten frames a second, and requests read it only for
//! lists of entries and members, readiness and status.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fireflyhoist_policy::id;
use fireflyhoist_policy::member::{Action, Entry, HostList, Identity, Membership, Message, Record};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::version::{
    Contact, Readiness, Stamp, Standing, Tracker, Verdict, Version, is_watcher, poll_interval,
};
use fireflyhoist_text::transfer::{Next, Transfer};
use fireflyhoist_wire::peer::Frame;
use fireflyhoist_wire::platform::{Host, Hosts, State};
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::process::settings::Settings;

/// An effect to execute after the lock is released.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Send a frame to a host.
    Send { to: id::Host, address: SocketAddr, frame: Frame },
    /// Close the link to a host; the next frame opens a new one.
    CloseLink(id::Host),
    /// Close every link, because this process was suspended.
    CloseAllLinks,
    /// Apply a complete text received from a peer.
    TextReceived { version: Version, source: String },
}

/// Membership and versions behind one lock.
#[derive(Debug)]
pub(crate) struct Control {
    state: Mutex<Shared>,
}

#[derive(Debug)]
struct Shared {
    membership: Membership,
    tracker: Tracker,
    readiness: Readiness,
    transfer: Transfer,
    has_host_list: bool,
    draining: bool,
}

/// The state that the request path depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct View {
    pub(crate) standing: Standing,
    pub(crate) leaving: bool,
    /// A counter that changes when a host starts or stops leaving.
    pub(crate) departures: u64,
}

impl Control {
    pub(crate) fn open(now: Time, settings: &Settings, http: SocketAddr, peer: SocketAddr) -> Self {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let identity = Identity {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            http,
            peer,
            incarnation: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
        };
        let shared = Shared {
            membership: Membership::open(now, identity),
            tracker: Tracker::default(),
            readiness: Readiness::open(now),
            transfer: Transfer::default(),
            has_host_list: false,
            draining: false,
        };
        Self { state: Mutex::new(shared) }
    }

    /// Advances membership to `now` and returns the effects that are due.
    pub(crate) fn poll(&self, now: Time) -> Vec<Effect> {
        let mut state = self.state.lock();
        let actions = state.membership.poll(now, &mut rand::rng());
        if actions.contains(&Action::CloseAllLinks) {
            state.readiness = Readiness::open(now);
        }
        state.effects(actions)
    }

    /// Handles a frame from an authenticated host.
    pub(crate) fn receive(&self, now: Time, from: &id::Host, frame: Frame) -> Vec<Effect> {
        let mut state = self.state.lock();
        match frame {
            Frame::Member(message) => state.receive_member(now, from, message),
            Frame::Text(message) => {
                let next = state.transfer.take(now, from, message);
                state.handle_transfer(from, next)
            }
            // The handshake handles these; they are ignored later on a link.
            Frame::Challenge(_) | Frame::Hello { .. } | Frame::Welcome { .. } => Vec::new(),
        }
    }

    /// Introduces this process to a host that answered at a configured address.
    pub(crate) fn greet(&self, to: id::Host, address: SocketAddr) -> Effect {
        let message = self.state.lock().membership.greeting();
        Effect::Send { to, address, frame: Frame::Member(message) }
    }

    /// Records that a host cannot be reached.
    pub(crate) fn unreachable(&self, now: Time, host: &id::Host) {
        self.state.lock().membership.unreachable(now, host);
    }

    /// Applies the platform's host list.
    pub(crate) fn apply_host_list(&self, now: Time, hosts: &Hosts) {
        let mut state = self.state.lock();
        state.has_host_list = true;
        state.membership.apply_list(now, &host_list(hosts));
    }

    /// Returns whether `hosts` is older than the newest list that membership knows of.
    pub(crate) fn is_stale(&self, hosts: &Hosts) -> bool {
        hosts.sequence < self.state.lock().membership.sequence()
    }

    /// Takes in what came of asking the platform for the text.
    pub(crate) fn set_platform_contact(&self, contact: Contact) {
        self.state.lock().readiness.set_platform(contact);
    }

    /// Decides whether to adopt a text; `validity` is the reason if it is invalid.
    pub(crate) fn offer(
        &self,
        version: Version,
        source: &str,
        validity: Result<(), SmolStr>,
    ) -> Verdict {
        let mut state = self.state.lock();
        let verdict = state.tracker.offer(version, validity);
        if verdict == Verdict::Adopt {
            state.transfer.hold(version, source);
            let stamp = state.tracker.stamp();
            state.membership.set_stamp(stamp);
        }
        verdict
    }

    /// Returns the version in force, and the lower and higher version last seen with one revision.
    pub(crate) fn versions(&self) -> (Option<Version>, Option<(Version, Version)>) {
        let state = self.state.lock();
        (state.tracker.in_force(), state.tracker.conflict())
    }

    /// Stops accepting new work and announces it to the peers.
    pub(crate) fn leave(&self, now: Time) {
        let mut state = self.state.lock();
        state.draining = true;
        state.membership.leave(now);
    }

    /// Returns the state for the request path and announces a change of readiness to the peers.
    pub(crate) fn view(&self, now: Time) -> View {
        let mut state = self.state.lock();
        let standing = state.standing(now);
        let own = state.membership.own().host.clone();
        let leaving = state.draining || state.membership.is_leaving(&own);
        state.membership.set_ready(now, standing == Standing::Ready);
        View { standing, leaving, departures: state.membership.departures() }
    }

    /// Returns the members to list for callers; none while this process does not trust its state.
    pub(crate) fn usable(&self) -> Vec<Record> {
        let state = self.state.lock();
        match state.membership.is_trusted() {
            true => state.membership.usable().cloned().collect(),
            false => Vec::new(),
        }
    }

    /// Returns all known members, including dead ones.
    pub(crate) fn members(&self) -> Vec<Record> {
        self.state.lock().membership.records().cloned().collect()
    }

    /// Returns whether the host of an entry or a target is leaving by any source.
    pub(crate) fn is_leaving(&self, host: &id::Host) -> bool {
        self.state.lock().membership.is_leaving(host)
    }

    /// Returns whether no message from another member was received yet.
    pub(crate) fn needs_discovery(&self) -> bool {
        !self.state.lock().membership.has_received()
    }

    /// Returns whether this process is among the watchers of the platform in its failure domain.
    pub(crate) fn is_watcher(&self) -> bool {
        let state = self.state.lock();
        let own = state.membership.own();
        is_watcher(&own.host, &own.domain, &state.membership.domain_members(&own.domain))
    }

    /// Returns how long a process that is no watcher waits between polls of the platform.
    pub(crate) fn poll_interval(&self) -> Duration {
        poll_interval(self.state.lock().membership.size(), &mut rand::rng())
    }
}

impl Shared {
    fn standing(&mut self, now: Time) -> Standing {
        // With no other member listed or none reachable, the peers count as silent at once, without
        // waiting for a timeout.
        let no_peers = self.has_host_list && !self.membership.knows_others();
        let contact = match no_peers || self.membership.is_isolated() {
            true => Contact::Silent,
            false => Contact::Pending,
        };
        self.readiness.set_peers(contact);
        self.readiness.standing(now, self.tracker.stamp())
    }

    fn receive_member(&mut self, now: Time, from: &id::Host, message: Message) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Message::Heartbeat(heartbeat) = &message {
            let stamp = heartbeat.stamp;
            if stamp != Stamp::default() {
                self.readiness.set_peers(Contact::Answered);
            }
            if self.tracker.wants(stamp) {
                self.readiness.note_announced(stamp);
                let request = self.transfer.announced(now, from, stamp);
                effects.extend(self.reply(from, request.map(Frame::Text)));
            }
        }
        let actions = self.membership.receive(now, from, message);
        effects.extend(self.effects(actions));
        effects
    }

    fn handle_transfer(&self, from: &id::Host, next: Next) -> Vec<Effect> {
        match next {
            Next::Nothing => Vec::new(),
            Next::Say(message) => self.reply(from, Some(Frame::Text(message))),
            Next::Whole(version, source) => vec![Effect::TextReceived { version, source }],
            Next::Unlike(version) => {
                log::warn!(peer:% = from, version:% = version; "sections make no text of their version");
                Vec::new()
            }
        }
    }

    fn reply(&self, to: &id::Host, frame: Option<Frame>) -> Vec<Effect> {
        let address = self.membership.address(to);
        let effect = |(frame, address)| Effect::Send { to: to.clone(), address, frame };
        frame.zip(address).map(effect).into_iter().collect()
    }

    fn effects(&self, actions: Vec<Action>) -> Vec<Effect> {
        let effect = |action| match action {
            Action::Send { to, address, message } => {
                Effect::Send { to, address, frame: Frame::Member(message) }
            }
            Action::CloseLink(host) => Effect::CloseLink(host),
            Action::CloseAllLinks => Effect::CloseAllLinks,
        };
        actions.into_iter().map(effect).collect()
    }
}

fn host_list(hosts: &Hosts) -> HostList {
    let entry = |host: &Host| {
        let listen = host.entry?;
        Some(Entry {
            host: host.name.clone(),
            domain: host.domain.clone(),
            http: listen.http,
            peer: listen.peer,
        })
    };
    HostList {
        sequence: hosts.sequence,
        hosts: hosts.hosts.iter().map(|h| (h.name.clone(), h.state == State::Leaving)).collect(),
        entries: hosts.hosts.iter().filter_map(entry).collect(),
    }
}
