//! Membership: which hosts are up, ready or leaving, from what peers observe and the platform
//! publishes.
//!
//! Load pattern: 330 members, of which 20 fail and 140 are replaced on an ordinary day, and a
//! platform list that lags. Without it callers are sent to hosts that are gone; with heartbeats
//! between all pairs each member would send 329 a second. Here each member beats with a bounded
//! number of neighbours ([`ring`]), news is pushed once over each link in bounded frames
//! ([`news`]), and a silent neighbour is asked after through others before it is suspected
//! ([`watch`]), so that bytes for each member stay flat as the fleet grows.
//! See `docs/DESIGN.md`, section "Membership"; `docs/CAPACITY.md` has the measured slopes.

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

/// Between two heartbeats to one neighbour.
///
/// With a second, `slopes` measured 1,020 bytes a second sent by each of 330 members and as many
/// received, which with the texts left nothing of the 2 KB budget; see `docs/CAPACITY.md`.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long news waits to share a frame; four hops of it still stay under a second.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// A neighbour unheard for this long is asked after through others: more than two heartbeats, so
/// that one late heartbeat asks nobody.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_250);

/// How long an indirect probe may take before the neighbour is suspected.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a suspect has to refute: several times the spread of news.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// A gap between two polls that counts as a pause of this process.
///
/// The daemon polls ten times a second. As long as [`SILENCE_TIMEOUT`], since after such a gap this process
/// cannot tell a silent neighbour from its own sleep.
pub const PAUSE_THRESHOLD: Duration = SILENCE_TIMEOUT;

/// How long a process that woke waits for a neighbour before it counts itself alone.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// How often one dead host is tried again, so that a partition that healed is noticed.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// How long a dead host that is no longer published is remembered.
const DEAD_TTL: Duration = Duration::from_secs(120);

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its host.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it serves callers.
    pub http: SocketAddr,
    /// Where it serves other daemons.
    pub peer: SocketAddr,
    /// Greater than that of any earlier process on this host: its start in Unix milliseconds.
    pub incarnation: u64,
}

/// What the daemon does for the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a host at its address for peers.
    Send {
        /// The host.
        to: id::Host,
        /// Where it listens for peers.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Close every link: what waits in their buffers was sent before a pause.
    CloseAllLinks,
    /// Close the link to this host, which fell silent, so that the next message opens a new one.
    CloseLink(id::Host),
}

/// One process's view of the fleet.
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
    /// A process that knows nobody yet.
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

    /// This process's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Everybody known, dead members included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.table.records()
    }

    /// Members that may be handed to callers: up, ready, and leaving by no source.
    pub fn usable(&self) -> impl Iterator<Item = &Record> {
        self.table.records().filter(|record| {
            record.status == Status::Alive
                && record.ready
                && !record.leaving
                && !self.listed.is_leaving(&record.host)
        })
    }

    /// Whether a host, of an entry or of a target, is leaving by any source.
    pub fn is_leaving(&self, host: &id::Host) -> bool {
        self.listed.is_leaving(host) || self.table.get(host).is_some_and(|record| record.leaving)
    }

    /// Whether what this process knows may be acted on; not right after a pause.
    pub fn is_trusted(&self) -> bool {
        self.resumed_at.is_none()
    }

    /// Whether any member has answered since the start or the last pause.
    pub fn has_received(&self) -> bool {
        self.received_any
    }

    /// Whether any other member is known to ask.
    pub fn knows_others(&self) -> bool {
        self.table.len() > 1
    }

    /// Whether every neighbour failed to be reached when last tried.
    pub fn is_isolated(&self) -> bool {
        !self.neighbours.is_empty() && self.neighbours.values().all(Neighbour::is_unreachable)
    }

    /// Where a host listens for peers.
    pub fn address(&self, host: &id::Host) -> Option<SocketAddr> {
        self.table.get(host).map(|record| record.peer)
    }

    /// Counts changes in who is leaving, by any source.
    pub fn departures(&self) -> u64 {
        self.listed.changes() + self.departures
    }

    /// A first message to a host that may not know this one.
    pub fn greeting(&mut self) -> Message {
        let mut heartbeat = self.empty_heartbeat(false);
        heartbeat.records.push(self.own.clone());
        Message::Heartbeat(heartbeat)
    }

    /// How many members are not dead, this one included.
    pub fn size(&self) -> usize {
        self.table.live().count()
    }

    /// Members of one failure domain that are not dead.
    pub fn domain_members(&self, domain: &id::Domain) -> Vec<id::Host> {
        let in_domain = |record: &&Record| record.domain == *domain;
        self.table.live().filter(in_domain).map(|record| record.host.clone()).collect()
    }

    /// The members that this one beats with.
    pub fn neighbours(&self) -> impl Iterator<Item = &id::Host> {
        self.neighbours.keys()
    }

    /// The sequence of the newest published list seen.
    pub fn sequence(&self) -> u64 {
        self.listed.sequence()
    }

    /// The version in force here, which heartbeats announce; a change goes out with the next flush.
    pub fn set_stamp(&mut self, stamp: Stamp) {
        if stamp != self.stamp {
            self.stamp = stamp;
            self.neighbours.values_mut().for_each(Neighbour::request_flush);
        }
    }

    /// Says whether this process may be handed to callers.
    pub fn set_ready(&mut self, now: Time, ready: bool) {
        if self.own.ready != ready {
            self.own.ready = ready;
            self.raise_incarnation(now);
        }
    }

    /// Says that this process takes no new work from now on.
    ///
    /// The news waits for no flush: each of its neighbours has it with the next poll.
    pub fn leave(&mut self, now: Time) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.raise_incarnation(now);
            self.neighbours.values_mut().for_each(Neighbour::send_immediately);
        }
    }

    /// Takes in a host list from the platform; one older than known is ignored.
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

    /// A process may listen on every address of its host; the list says which of them others use.
    fn set_own_addresses(&mut self, now: Time, entry: &Entry) {
        if (self.own.http, self.own.peer) != (entry.http, entry.peer) {
            (self.own.http, self.own.peer) = (entry.http, entry.peer);
            self.raise_incarnation(now);
        }
    }

    /// Takes in a message that came over a proven link from `from`.
    pub fn receive(&mut self, now: Time, from: &id::Host, message: Message) -> Vec<Action> {
        // It waited in a buffer while this process slept; the next poll notices the pause.
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
                // It lives, so the silence is that of the link: replace it.
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

    /// The link to a host broke or could not be opened: ask after it at once.
    pub fn unreachable(&mut self, now: Time, host: &id::Host) {
        if let Some(neighbour) = self.neighbours.get_mut(host) {
            neighbour.link_failed(now);
        }
    }

    /// Does what time demands; called about ten times a second.
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

    /// The failure: a process that was stopped wakes with old facts. It would accuse every
    /// neighbour of silence and hand callers hosts that left meanwhile. So it forgets when it heard
    /// whom, drops its links with what they buffered, and is not trusted until somebody answers.
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

    fn note_received(&mut self, now: Time, from: &id::Host) {
        self.received_any = true;
        self.resumed_at = None;
        if let Some(neighbour) = self.neighbours.get_mut(from) {
            neighbour.received(now);
        }
        // It speaks, so whoever called it dead or suspect is wrong; only the member itself may say
        // so, with a greater incarnation, and it does once it learns of the accusation.
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
        // A member that beats with us although we do not with it sees another ring for a while; it
        // gets an answer, or it would suspect us.
        if heartbeat.reply {
            return Vec::new();
        }
        self.outbox.queue_record(&self.own.host, None, std::iter::once(from));
        let reply = self.heartbeat(from, true);
        self.send(from, reply)
    }

    /// Takes in what somebody says of a member; news goes on to the neighbours.
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

    /// Others hold something of this process that is not so: outbid it.
    fn refute(&mut self, now: Time, from: Option<&id::Host>, claim: &Record) {
        // Others may have read a newer list, and know better where this process is reached.
        let claim = Record { http: self.own.http, peer: self.own.peer, ..claim.clone() };
        if claim.incarnation >= self.own.incarnation && claim != self.own {
            self.own.incarnation = claim.incarnation;
            self.raise_incarnation(now);
        }
        // Whoever says it may be no neighbour, as after a partition; its answer carries the truth.
        if claim != self.own {
            self.outbox.queue_record(&self.own.host, None, from.into_iter());
        }
    }

    /// Raises the own incarnation and tells everybody.
    fn raise_incarnation(&mut self, now: Time) {
        self.own.incarnation = self.own.incarnation.saturating_add(1);
        self.table.merge(now, &self.own);
        self.outbox.queue_record(&self.own.host, None, self.neighbours.keys());
    }

    /// Chooses the neighbours anew after the set of members changed.
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

    /// Asks after silent neighbours, and suspects those whom nobody reached.
    fn check_neighbours(&mut self, now: Time, random: &mut impl Rng, actions: &mut Vec<Action>) {
        let hosts: Vec<id::Host> = self.neighbours.keys().cloned().collect();
        for host in hosts {
            let Some(neighbour) = self.neighbours.get_mut(&host) else { continue };
            match neighbour.check(now) {
                neighbour::Health::Healthy => {}
                neighbour::Health::Probe => {
                    // A link that went silent for good while new ones work: replaced, and the
                    // member asked after through others that have links of their own.
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

    fn set_status(&mut self, now: Time, host: &id::Host, status: Status) {
        let Some(record) = self.table.get(host) else { return };
        if record.status < status {
            let record = Record { status, ..record.clone() };
            self.apply_record(now, None, &record);
        }
    }

    /// Suspects that did not refute in time are dead; the dead are forgotten in the end.
    fn expire_suspects(&mut self, now: Time) {
        for host in self.table.expired_suspects(now, SUSPICION_TIMEOUT) {
            self.set_status(now, &host, Status::Dead);
        }
        let listed = &self.listed;
        self.table.evict_dead(now, DEAD_TTL, |host| listed.is_listed(host));
    }

    /// Tries one dead host again: after a partition healed, nobody else would speak first.
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
        // The record travels along, so that the host learns that it is thought dead and refutes.
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

    /// Takes in part of a neighbour's table and asks for the next one.
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
