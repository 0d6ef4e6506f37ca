//! Membership: which hosts are up, ready or leaving, according to the other members and to the
//! platform's host list.
//!
//! The protocol is designed for 330 members, of which 20 fail and 140 are replaced on an ordinary
//! day, and for a platform list that lags. Without it, callers would be sent to hosts that are
//! gone. Heartbeats between all pairs would cost each member 329 messages per interval, so each
//! member exchanges heartbeats with a bounded number of neighbours ([`ring`]). Updates cross each
//! link once, in bounded frames ([`outbox`]), and a silent neighbour is probed through other
//! members before it is suspected ([`neighbour`]), as in SWIM. The bytes that each member sends
//! therefore do not grow with the fleet.

mod host_list;
mod message;
mod neighbour;
mod outbox;
pub mod proof;
mod record;
pub mod ring;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::id;
use crate::time::Time;
use crate::version::Stamp;

pub use host_list::{Entry, HostList, Notice};
pub use message::{Heartbeat, MAX_RECORDS, Message};
pub use record::{Record, Status};

use host_list::HostStates;
use neighbour::Neighbour;
use outbox::Outbox;
use table::Table;

/// The time between two heartbeats to one neighbour.
///
/// With an interval of 1 s, each of 330 members sends 1,020 bytes a second and receives as many,
/// which together with text transfers uses up the budget of 2 KB a second.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// The shortest time between two frames to one neighbour while updates are queued, so that updates
/// share a frame. Updates that take four hops still arrive within a second.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// The silence after which a neighbour is probed through other members. It exceeds two heartbeat
/// intervals, so that one late heartbeat triggers no probe.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_250);

/// How long an indirect probe may take before the neighbour is suspected.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a suspect has to refute the suspicion: several times as long as an update takes to
/// reach every member.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// The time between two polls from which on this process counts as having been paused.
///
/// The daemon polls ten times a second. The threshold equals [`SILENCE_TIMEOUT`], because after
/// such a gap this process cannot distinguish a silent neighbour from its own pause.
pub const PAUSE_THRESHOLD: Duration = SILENCE_TIMEOUT;

/// How long a process that resumes after a pause waits for a message from any member before it acts
/// on its state regardless.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval at which one dead host is contacted again, so that a healed partition is noticed.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// How long the record of a dead host that is no longer listed is kept.
const DEAD_TTL: Duration = Duration::from_secs(120);

/// The identity and addresses of this process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The host that it runs on.
    pub host: id::Host,
    /// The failure domain of the host.
    pub domain: id::Domain,
    /// The address on which it serves callers.
    pub http: SocketAddr,
    /// The address on which it serves other daemons.
    pub peer: SocketAddr,
    /// The incarnation, greater than that of any earlier process on this host: the start time in
    /// Unix milliseconds.
    pub incarnation: u64,
}

/// An action that the daemon carries out for the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: id::Host,
        /// The address on which the receiver listens for peers.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Close every link, since messages in their buffers were sent before a pause of this process.
    CloseAllLinks,
    /// Close the link to this host, which went silent, so that the next message opens a new one.
    CloseLink(id::Host),
}

/// The membership as one process sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Record,
    table: Table,
    listed: HostStates,
    neighbours: BTreeMap<id::Host, Neighbour>,
    outbox: Outbox,
    stamp: Stamp,
    last_poll: Time,
    resumed_at: Option<Time>,
    last_retry: Time,
    received_any: bool,
    departures: u64,
}

impl Membership {
    /// Creates the membership of a process that knows no other member.
    pub fn open(now: Time, identity: Identity) -> Self {
        let own = Record {
            host: identity.host,
            domain: identity.domain,
            http: identity.http,
            peer: identity.peer,
            incarnation: identity.incarnation.max(1),
            status: Status::Alive,
            ready: false,
            leaving: false,
        };
        let mut table = Table::default();
        table.merge(now, &own);
        Self {
            own,
            table,
            listed: HostStates::default(),
            neighbours: BTreeMap::new(),
            outbox: Outbox::default(),
            stamp: Stamp::default(),
            last_poll: now,
            resumed_at: None,
            last_retry: now,
            received_any: false,
            departures: 0,
        }
    }

    /// Returns the record of this process.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the records of all known members, dead ones included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.table.records()
    }

    /// Returns the members that may be offered to callers: alive, ready, and not reported as
    /// leaving by any source.
    pub fn usable(&self) -> impl Iterator<Item = &Record> {
        self.table.records().filter(|record| {
            record.status == Status::Alive
                && record.ready
                && !record.leaving
                && !self.listed.is_leaving(&record.host)
        })
    }

    /// Returns whether any source reports that a host, of an entry or of a target, is leaving.
    pub fn is_leaving(&self, host: &id::Host) -> bool {
        self.listed.is_leaving(host) || self.table.get(host).is_some_and(|record| record.leaving)
    }

    /// Returns whether the state may be acted on. It may not right after a pause of this process.
    pub fn is_trusted(&self) -> bool {
        self.resumed_at.is_none()
    }

    /// Returns whether a message from any member has arrived since the start or the last pause.
    pub fn has_received(&self) -> bool {
        self.received_any
    }

    /// Returns whether any other member is known.
    pub fn knows_others(&self) -> bool {
        self.table.len() > 1
    }

    /// Returns whether there are neighbours and the link to each of them failed last.
    pub fn is_isolated(&self) -> bool {
        !self.neighbours.is_empty() && self.neighbours.values().all(Neighbour::is_unreachable)
    }

    /// Returns the address on which a host listens for peers.
    pub fn address(&self, host: &id::Host) -> Option<SocketAddr> {
        self.table.get(host).map(|record| record.peer)
    }

    /// Returns a counter that changes when a host starts or stops leaving, by any source.
    pub fn departures(&self) -> u64 {
        self.listed.changes() + self.departures
    }

    /// Creates a first heartbeat, with the own record, to a host that may not know this process.
    pub fn greeting(&mut self) -> Message {
        let mut heartbeat = self.empty_heartbeat(false);
        heartbeat.records.push(self.own.clone());
        Message::Heartbeat(heartbeat)
    }

    /// Returns the number of members that are not dead, this one included.
    pub fn size(&self) -> usize {
        self.table.live().count()
    }

    /// Returns the members of one failure domain that are not dead.
    pub fn domain_members(&self, domain: &id::Domain) -> Vec<id::Host> {
        let in_domain = |record: &&Record| record.domain == *domain;
        self.table.live().filter(in_domain).map(|record| record.host.clone()).collect()
    }

    /// Returns the members that this one exchanges heartbeats with.
    pub fn neighbours(&self) -> impl Iterator<Item = &id::Host> {
        self.neighbours.keys()
    }

    /// Returns the sequence number of the newest host list seen.
    pub fn sequence(&self) -> u64 {
        self.listed.sequence()
    }

    /// Sets the stamp of the version in force, which heartbeats announce. A change is sent with the
    /// next flush.
    pub fn set_stamp(&mut self, stamp: Stamp) {
        if stamp != self.stamp {
            self.stamp = stamp;
            self.neighbours.values_mut().for_each(Neighbour::request_flush);
        }
    }

    /// Sets whether this process may be offered to callers.
    pub fn set_ready(&mut self, now: Time, ready: bool) {
        if self.own.ready != ready {
            self.own.ready = ready;
            self.raise_incarnation(now);
        }
    }

    /// Announces that this process accepts no new work from now on.
    ///
    /// The update does not wait for the flush interval: every neighbour receives it after the next
    /// poll.
    pub fn leave(&mut self, now: Time) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.raise_incarnation(now);
            self.neighbours.values_mut().for_each(Neighbour::send_immediately);
        }
    }

    /// Applies a host list read from the platform; an older list than the newest one seen is
    /// ignored.
    pub fn apply_list(&mut self, now: Time, published: &HostList) {
        for notice in self.listed.apply_list(published) {
            self.outbox.queue_notice(notice, None, self.neighbours.keys());
        }
        for entry in &published.entries {
            if entry.host == self.own.host {
                self.set_own_addresses(now, entry);
            } else {
                self.table.merge(now, &Record::unseen(entry));
            }
        }
        self.table.update_addresses(|record| self.listed.with_listed_addresses(record));
        self.update_neighbours(now);
    }

    /// Sets the own addresses to the listed ones. A process may listen on every address of its
    /// host; the list says which of them others use.
    fn set_own_addresses(&mut self, now: Time, entry: &Entry) {
        if (self.own.http, self.own.peer) != (entry.http, entry.peer) {
            (self.own.http, self.own.peer) = (entry.http, entry.peer);
            self.raise_incarnation(now);
        }
    }

    /// Handles a message that arrived from `from` over an authenticated link.
    pub fn receive(&mut self, now: Time, from: &id::Host, message: Message) -> Vec<Action> {
        // The message may have waited in a buffer while this process was paused. The next poll
        // detects the pause.
        if now.since(self.last_poll) >= PAUSE_THRESHOLD {
            return Vec::new();
        }
        self.note_received(now, from);
        match message {
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(now, from, heartbeat),
            Message::Probe { target } => {
                self.send(&target, Message::Ping { on_behalf: from.clone() })
            }
            Message::Ping { on_behalf } => self.send(from, Message::Pong { on_behalf }),
            Message::Pong { on_behalf } => {
                self.send(&on_behalf, Message::Reached { target: from.clone() })
            }
            Message::Reached { target } => {
                // The neighbour is alive, so its link is at fault and is replaced.
                if let Some(neighbour) = self.neighbours.get_mut(&target) {
                    neighbour.confirmed_alive(now);
                    return vec![Action::CloseLink(target)];
                }
                Vec::new()
            }
            Message::Sync { after } => {
                let (records, more) = self.table.page(after.as_ref(), MAX_RECORDS);
                self.send(from, Message::Page { records, more })
            }
            Message::Page { records, more } => self.receive_page(now, from, &records, more),
        }
    }

    /// Handles a link that broke or could not be opened: the host is probed at the next poll.
    pub fn unreachable(&mut self, now: Time, host: &id::Host) {
        if let Some(neighbour) = self.neighbours.get_mut(host) {
            neighbour.link_failed(now);
        }
    }

    /// Runs everything that is due; called about ten times a second.
    pub fn poll(&mut self, now: Time, random: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        self.last_poll = now;
        self.check_neighbours(now, random, &mut actions);
        self.expire_suspects(now);
        self.retry_dead(now, random, &mut actions);
        self.send_heartbeats(now, &mut actions);
        actions
    }

    /// Detects a pause of this process and discards what it can no longer rely on.
    ///
    /// After a pause the state is outdated: the process would suspect every neighbour of being
    /// silent and hand callers hosts that have left meanwhile. It therefore restarts all timers,
    /// closes its links along with their buffered messages, and is not trusted until a member
    /// answers or [`RECOVERY_TIMEOUT`] has passed.
    fn detect_pause(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.last_poll) >= PAUSE_THRESHOLD {
            self.resumed_at = Some(now);
            self.received_any = false;
            self.neighbours.values_mut().for_each(|neighbour| neighbour.reset_timers(now));
            self.table.restart_timers(now);
            actions.push(Action::CloseAllLinks);
        }
        if self.resumed_at.is_some_and(|since| now.since(since) >= RECOVERY_TIMEOUT) {
            self.resumed_at = None;
        }
    }

    /// Notes that a message from `from` has arrived.
    fn note_received(&mut self, now: Time, from: &id::Host) {
        self.received_any = true;
        self.resumed_at = None;
        if let Some(neighbour) = self.neighbours.get_mut(from) {
            neighbour.received(now);
        }
        // The sender is alive, so a record that calls it suspect or dead is wrong. Only the member
        // itself may correct the record, with a greater incarnation, and it does so once it
        // receives the record.
        if self.table.get(from).is_some_and(|record| record.status != Status::Alive) {
            self.outbox.queue_record(from, None, std::iter::once(from));
        }
    }

    fn receive_heartbeat(
        &mut self,
        now: Time,
        from: &id::Host,
        heartbeat: Heartbeat,
    ) -> Vec<Action> {
        for notice in heartbeat.notices.into_iter().take(MAX_RECORDS) {
            if self.listed.apply_notice(&notice) {
                self.outbox.queue_notice(notice, Some(from), self.neighbours.keys());
            }
        }
        for record in heartbeat.records.into_iter().take(MAX_RECORDS) {
            self.apply_record(now, Some(from), &record);
        }
        let differs = heartbeat.table != self.table.hash();
        let alone = self.table.knows_only_self();
        if let Some(neighbour) = self.neighbours.get_mut(from) {
            return match neighbour.should_sync(now, differs, alone) {
                true => self.send(from, Message::Sync { after: None }),
                false => Vec::new(),
            };
        }
        // A sender that is not a neighbour of this member has a different view of the rings for a
        // while. It gets a reply, or it would suspect this member.
        if heartbeat.reply {
            return Vec::new();
        }
        self.outbox.queue_record(&self.own.host, None, std::iter::once(from));
        let reply = self.heartbeat(from, true);
        self.send(from, reply)
    }

    /// Applies a record from a member and queues it for the neighbours if it is new. A sender whose
    /// record is outdated gets the newer one.
    fn apply_record(&mut self, now: Time, from: Option<&id::Host>, record: &Record) {
        if record.host == self.own.host {
            self.refute(now, from, record);
            return;
        }
        let was_leaving = self.is_leaving(&record.host);
        if self.table.merge(now, &self.listed.with_listed_addresses(record)) {
            self.departures += u64::from(was_leaving != self.is_leaving(&record.host));
            self.outbox.queue_record(&record.host, from, self.neighbours.keys());
            self.update_neighbours(now);
        } else if let (Some(from), true) = (from, self.table.supersedes(record)) {
            self.outbox.queue_record(&record.host, None, std::iter::once(from));
        }
    }

    /// Refutes a record about this process that does not match its own, by raising the own
    /// incarnation above that of the record.
    fn refute(&mut self, now: Time, from: Option<&id::Host>, claim: &Record) {
        // The listed addresses are not refuted: other members may have read a newer list than this
        // one.
        let claim = Record { http: self.own.http, peer: self.own.peer, ..claim.clone() };
        if claim.incarnation >= self.own.incarnation && claim != self.own {
            self.own.incarnation = claim.incarnation;
            self.raise_incarnation(now);
        }
        // The sender may not be a neighbour, for example after a partition, so the own record is
        // queued for it and goes out with the reply.
        if claim != self.own {
            self.outbox.queue_record(&self.own.host, None, from.into_iter());
        }
    }

    /// Raises the own incarnation and queues the own record for all neighbours.
    fn raise_incarnation(&mut self, now: Time) {
        self.own.incarnation = self.own.incarnation.saturating_add(1);
        self.table.merge(now, &self.own);
        self.outbox.queue_record(&self.own.host, None, self.neighbours.keys());
    }

    /// Recomputes the neighbours after the set of live members has changed.
    fn update_neighbours(&mut self, now: Time) {
        if !self.table.take_live_changed() {
            return;
        }
        let live: Vec<&str> = self.table.live().map(|record| record.host.as_str()).collect();
        let chosen = ring::neighbours(self.own.host.as_str(), &live);
        let chosen: Vec<id::Host> =
            chosen.into_iter().filter_map(|name| name.parse().ok()).collect();
        self.neighbours.retain(|host, _| chosen.contains(host));
        for host in chosen {
            if !self.neighbours.contains_key(&host) {
                self.outbox.queue_record(&self.own.host, None, std::iter::once(&host));
                self.neighbours.insert(host, Neighbour::open(now));
            }
        }
        self.outbox.retain(&self.neighbours);
    }

    /// Probes silent neighbours, and suspects those that no probe reached.
    fn check_neighbours(&mut self, now: Time, random: &mut impl Rng, actions: &mut Vec<Action>) {
        let hosts: Vec<id::Host> = self.neighbours.keys().cloned().collect();
        for host in hosts {
            let Some(neighbour) = self.neighbours.get_mut(&host) else { continue };
            match neighbour.check(now) {
                neighbour::Health::Healthy => {}
                neighbour::Health::Probe => {
                    // The link may be silent for good although new links would work. It is
                    // replaced, and the neighbour is probed through members that have links of
                    // their own to it.
                    actions.push(Action::CloseLink(host.clone()));
                    for relay in ring::probe_relays(random, self.neighbours.keys(), &host) {
                        let message = Message::Probe { target: host.clone() };
                        actions.extend(self.send(&relay, message));
                    }
                }
                neighbour::Health::Suspect => self.set_status(now, &host, Status::Suspect),
            }
        }
    }

    /// Applies a worse status to a member; a status that is not worse is ignored.
    fn set_status(&mut self, now: Time, host: &id::Host, status: Status) {
        let Some(record) = self.table.get(host) else { return };
        if record.status < status {
            let record = Record { status, ..record.clone() };
            self.apply_record(now, None, &record);
        }
    }

    /// Marks suspects that did not refute in time as dead, and evicts dead members in the end.
    fn expire_suspects(&mut self, now: Time) {
        for host in self.table.expired_suspects(now, SUSPICION_TIMEOUT) {
            self.set_status(now, &host, Status::Dead);
        }
        let listed = &self.listed;
        self.table.evict_dead(now, DEAD_TTL, |host| listed.is_listed(host));
    }

    /// Contacts one dead host. After a partition has healed, neither side would otherwise contact
    /// the other.
    fn retry_dead(&mut self, now: Time, random: &mut impl Rng, actions: &mut Vec<Action>) {
        if now.since(self.last_retry) < RETRY_INTERVAL {
            return;
        }
        self.last_retry = now;
        let dead: Vec<id::Host> = self.table.dead().map(|record| record.host.clone()).collect();
        if dead.is_empty() {
            return;
        }
        let host = &dead[random.random_range(0..dead.len())];
        // The record is included so that the host learns that it is considered dead, and refutes
        // it.
        let mut heartbeat = self.empty_heartbeat(false);
        heartbeat.records = self.table.get(host).cloned().into_iter().collect();
        actions.extend(self.send(host, Message::Heartbeat(heartbeat)));
    }

    fn send_heartbeats(&mut self, now: Time, actions: &mut Vec<Action>) {
        let hosts: Vec<id::Host> = self.neighbours.keys().cloned().collect();
        for host in hosts {
            let pending = self.outbox.has_pending(&host);
            let Some(neighbour) = self.neighbours.get_mut(&host) else { continue };
            if neighbour.take_due(now, pending, HEARTBEAT_INTERVAL, FLUSH_INTERVAL) {
                let message = self.heartbeat(&host, false);
                actions.extend(self.send(&host, message));
            }
        }
    }

    /// Applies one page of a neighbour's table and requests the next one.
    fn receive_page(
        &mut self,
        now: Time,
        from: &id::Host,
        records: &[Record],
        more: bool,
    ) -> Vec<Action> {
        for record in records.iter().take(MAX_RECORDS) {
            self.apply_record(now, Some(from), record);
        }
        match records.last() {
            Some(last) if more => self.send(from, Message::Sync { after: Some(last.host.clone()) }),
            _ => Vec::new(),
        }
    }

    /// Creates a heartbeat that carries the updates queued for `to`.
    fn heartbeat(&mut self, to: &id::Host, reply: bool) -> Message {
        let mut heartbeat = self.empty_heartbeat(reply);
        let pending = self.outbox.take(to, MAX_RECORDS);
        heartbeat.records =
            pending.records.iter().filter_map(|host| self.table.get(host).cloned()).collect();
        heartbeat.notices = pending.notices;
        Message::Heartbeat(heartbeat)
    }

    fn empty_heartbeat(&mut self, reply: bool) -> Heartbeat {
        Heartbeat {
            table: self.table.hash(),
            stamp: self.stamp,
            reply,
            records: Vec::new(),
            notices: Vec::new(),
        }
    }

    fn send(&self, to: &id::Host, message: Message) -> Vec<Action> {
        let send =
            self.address(to).map(|address| Action::Send { to: to.clone(), address, message });
        send.into_iter().collect()
    }
}
