//! Members' decisions in one process: messages pass in memory and time is virtual.
//!
//! It carries the very types that daemons run, and no more of a network than a delay, a loss of
//! whole links and a cut into groups.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::member::{Action, Entry, HostList, Identity, Membership, Message};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::version::{Fetch, Stamp, Tracker, Verdict, Version};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Between two polls of a member, as in the daemon.
const POLL: Duration = Duration::from_millis(100);

/// One way between two members, twice the users' longest.
const DELAY: Duration = Duration::from_millis(3);

/// One member.
#[derive(Debug)]
pub struct Node {
    /// Its view of the fleet.
    pub membership: Membership,
    /// Its versions.
    pub book: Tracker,
    /// It runs; a member that does not neither sends nor receives.
    pub running: bool,
    /// Which group it is in; groups do not reach each other.
    pub group: u32,
    /// Messages it sent.
    pub sent: u64,
    /// Bytes of the messages that it sent, as the given encoding counts them.
    pub bytes: u64,
    fetch: Fetch,
}

#[derive(Clone, Debug)]
enum Parcel {
    Member(Message),
    WantText,
    Text(Version),
}

#[derive(Debug)]
struct Letter {
    from: usize,
    to: usize,
    parcel: Parcel,
}

/// Members and the messages between them.
#[derive(Debug)]
pub struct Fleet {
    /// The members, by number.
    pub nodes: Vec<Node>,
    now: Time,
    turn: u64,
    mail: BTreeMap<(Time, u64), Letter>,
    cuts: Vec<(usize, usize)>,
    random: StdRng,
    size_of: fn(&Message) -> usize,
}

/// The host of member `number`.
pub fn host(number: usize) -> id::Host {
    format!("h{number}").parse().unwrap_or_else(|_| unreachable!("a letter and digits"))
}

/// The failure domain of member `number`, one of five.
pub fn domain(number: usize) -> id::Domain {
    format!("d{}", number % 5).parse().unwrap_or_else(|_| unreachable!("a letter and a digit"))
}

fn address(number: usize) -> SocketAddr {
    let low = u16::try_from(number).unwrap_or(u16::MAX);
    SocketAddr::from((Ipv4Addr::LOCALHOST, low))
}

/// A list that publishes these members, those of `leaving` as leaving.
pub fn published(
    sequence: u64,
    numbers: impl Iterator<Item = usize>,
    leaving: &[usize],
) -> HostList {
    let entries: Vec<(usize, Entry)> = numbers
        .map(|n| {
            let at = address(n);
            (n, Entry { host: host(n), domain: domain(n), http: at, peer: at })
        })
        .collect();
    let hosts =
        entries.iter().map(|(n, entry)| (entry.host.clone(), leaving.contains(n))).collect();
    HostList { sequence, hosts, entries: entries.into_iter().map(|(_, entry)| entry).collect() }
}

impl Fleet {
    /// `size` members that all read the same list and are ready.
    pub fn open(size: usize, seed: u64) -> Self {
        Self::counted(size, seed, |_| 0)
    }

    /// As [`Fleet::open`], with messages measured by `size_of`.
    pub fn counted(size: usize, seed: u64, size_of: fn(&Message) -> usize) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Time::ZERO,
            turn: 0,
            mail: BTreeMap::new(),
            cuts: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            size_of,
        };
        let list = published(1, 0..size, &[]);
        for number in 0..size {
            let mut node = fleet.node(number, 1);
            node.membership.apply_list(Time::ZERO, &list);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn node(&self, number: usize, incarnation: u64) -> Node {
        let at = address(number);
        let identity = Identity {
            host: host(number),
            domain: domain(number),
            http: at,
            peer: at,
            incarnation,
        };
        let mut membership = Membership::open(self.now, identity);
        membership.set_ready(self.now, true);
        let (book, fetch) = (Tracker::default(), Fetch::default());
        Node { membership, book, running: true, group: 0, sent: 0, bytes: 0, fetch }
    }

    /// The virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Starts member `number` anew, as a replaced host would, knowing `list` only.
    pub fn restart(&mut self, number: usize, list: &HostList) {
        let incarnation = self.now.as_micros() + 2;
        let mut node = self.node(number, incarnation);
        node.membership.apply_list(self.now, list);
        (node.sent, node.bytes) = (self.nodes[number].sent, self.nodes[number].bytes);
        self.nodes[number] = node;
    }

    /// Loses every message between two members from now on.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.push((a.min(b), a.max(b)));
    }

    /// Offers a valid text to one member, as a read of the platform would.
    pub fn offer(&mut self, number: usize, version: Version) -> Verdict {
        let node = &mut self.nodes[number];
        let verdict = node.book.offer(version, Ok(()));
        node.membership.set_stamp(node.book.stamp());
        verdict
    }

    /// Runs for a span of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + POLL;
            self.deliver();
            for number in 0..self.nodes.len() {
                if self.nodes[number].running {
                    let now = self.now;
                    let actions = self.nodes[number].membership.poll(now, &mut self.random);
                    self.carry_out(number, now, actions);
                }
            }
        }
    }

    /// Runs until `done` holds, at most for `limit`; how long it took.
    pub fn until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(POLL);
        }
        Some(self.now.since(start))
    }

    /// Whether every running member has this version in force.
    pub fn all_have(&self, version: Version) -> bool {
        let running = self.nodes.iter().filter(|node| node.running);
        running.map(|node| node.book.in_force()).all(|held| held == Some(version))
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry() {
            let at = entry.key().0;
            if at > self.now {
                return;
            }
            let letter = entry.remove();
            if self.reaches(letter.from, letter.to) {
                self.receive(at, letter);
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        let cut = self.cuts.contains(&(from.min(to), from.max(to)));
        a.running && b.running && a.group == b.group && !cut
    }

    fn receive(&mut self, at: Time, letter: Letter) {
        let (from, to) = (letter.from, letter.to);
        let sender = host(from);
        let node = &mut self.nodes[to];
        match letter.parcel {
            Parcel::Member(message) => {
                let announced = match &message {
                    Message::Heartbeat(beat) => beat.stamp,
                    _ => Stamp::default(),
                };
                if node.book.wants(announced) && node.fetch.start(at, &sender, announced) {
                    self.post(at, to, from, Parcel::WantText);
                }
                let actions = self.nodes[to].membership.receive(at, &sender, message);
                self.carry_out(to, at, actions);
            }
            Parcel::WantText => {
                if let Some(version) = node.book.in_force() {
                    self.post(at, to, from, Parcel::Text(version));
                }
            }
            Parcel::Text(version) => {
                node.fetch.end();
                self.offer(to, version);
            }
        }
    }

    fn carry_out(&mut self, number: usize, at: Time, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { address, message, .. } = action else { continue };
            let node = &mut self.nodes[number];
            node.sent += 1;
            node.bytes += (self.size_of)(&message) as u64;
            self.post(at, number, usize::from(address.port()), Parcel::Member(message));
        }
    }

    fn post(&mut self, at: Time, from: usize, to: usize, parcel: Parcel) {
        self.turn += 1;
        self.mail.insert((at + DELAY, self.turn), Letter { from, to, parcel });
    }
}
