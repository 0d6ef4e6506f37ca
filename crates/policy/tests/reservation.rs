//! Reservations of prefill in virtual time: gates of several entries before the same engines, with
//! the delays of their messages.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_policy::gate::{Gate, Outcome, Report, Request, Settings, Verdict};
use fireflyhoist_policy::heartbeat::{COALESCE_DELAY, INTERVAL};
use fireflyhoist_policy::id;
use fireflyhoist_policy::load::{Load, Peers};
use fireflyhoist_policy::permit;
use fireflyhoist_policy::placement::CHOICES_FRESH;
use fireflyhoist_policy::request::Class;
use fireflyhoist_policy::reservation::{
    Demand, MAX_ASKS, Reservations, Room, SilentOwners, TIMEOUT,
};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::topology::{self, Member};
use fireflyhoist_policy::unit::Tokens;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

/// Memory of an engine in tokens, and its prefill in tokens per millisecond beside running answers.
const CAPACITY: u64 = 26_798;
const PREFILL_PER_MS: u64 = 10;
/// Mean prompt in tokens.
const PROMPT: u64 = 2_550;
const LENGTH: Duration = Duration::from_secs(6);
/// Network delay, from [`DELAY`] to twice as much.
const DELAY: Duration = Duration::from_micros(1_400);
/// Prompts that may wait at one engine, as a multiple of the mean length.
const BOUND: f64 = 2.25;
/// Time in which two entries can't know of each other's sends.
const UNSEEN: Duration = Duration::from_millis(50);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host(nth: usize) -> id::Host {
    format!("e-{nth}").parse().expect("a name")
}

/// Returns the number of active entries in a fleet over five failure domains.
fn active_count(entries: usize) -> usize {
    let address = "127.0.0.1:1".parse().expect("an address");
    let member = |nth: usize| Member {
        host: host(nth),
        domain: format!("d-{}", nth % 5).parse().expect("a name"),
        power: 1.0,
        peers: address,
        callers: address,
    };
    topology::actives(&(0..entries).map(member).collect::<Vec<_>>()).len()
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Entries leave and join the actives each second, and each entry learns of it at another time.
    ChangingOwners,
    /// One link in eight carries nothing.
    SilentLinks,
    /// One entry in eight does not run, although the others still take it for active.
    FrozenOwners,
}

/// The requests of a run.
#[derive(Clone, Copy, Debug)]
struct Work {
    class: Class,
    /// Length of answers in tokens, and the time between two of their events, each of 8 tokens.
    answer: u64,
    interval: Duration,
    /// Requests for each engine and second.
    per_engine: f64,
}

/// Short answers: the prefill of an engine takes 3.9 prompts a second.
const SHORT: Work =
    Work { class: Class::Live, answer: 8, interval: Duration::from_millis(60), per_engine: 3.6 };

/// Long answers: the memory of an engine takes 1.7 a second.
const LONG: Work = Work {
    class: Class::Overnight,
    answer: 744,
    interval: Duration::from_millis(40),
    per_engine: 2.4,
};

#[derive(Debug)]
enum Event {
    Arrives(usize),
    Poll(usize),
    Beat { from: usize, regular: bool },
    Announced { from: usize, to: usize, loads: Rc<Vec<Load>> },
    Asked { from: usize, owner: usize, ask: u64, target: id::Target, demand: Demand },
    Answered { at: usize, ask: u64, owner: usize, wait: Option<Duration> },
    TimedOut { at: usize, ask: u64, owner: usize },
    Begins { at: usize, id: id::Request, engine: usize },
    Goes { at: usize, id: id::Request, engine: usize, produced: u64 },
    View { at: usize, changed: usize, active: bool },
}

struct Entry {
    gate: Gate,
    peers: Peers,
    reservations: Reservations,
    silent: SilentOwners,
    actives: BTreeSet<id::Host>,
    /// Requests that wait for an owner, with their targets, by the number of the ask.
    asking: HashMap<u64, (id::Request, id::Target)>,
    /// How often an owner was asked for each request.
    asks: HashMap<id::Request, u32>,
    /// Requests that wait in the gate.
    queued: BTreeSet<id::Request>,
    beat_due: bool,
}

#[derive(Default)]
struct Engine {
    free_at: Time,
    /// Prompts that are sent and not read, with their lengths.
    unread: HashMap<id::Request, u64>,
    /// Memory that running answers hold at their ends.
    held: HashMap<id::Request, u64>,
    sent: VecDeque<(Time, usize)>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    asks: u32,
    unanswered: u32,
    begun: u32,
    /// Prompts sent to an engine beyond its bound, within 50 ms of another entry's.
    beyond: u32,
    /// The same for the memory of an engine.
    overfull: u32,
    /// Samples of engines without a prompt while prompts waited at entries, and all samples.
    idle: u32,
    samples: u32,
    waited_ms: f64,
}

impl Counts {
    /// Returns the sums of several runs with different seeds.
    fn of(size: (usize, usize), work: Work, reserves: bool, fault: Fault, runs: u64) -> Self {
        let mut sum = Self::default();
        for seed in 0..runs {
            let one = Fleet::play(size, work, reserves, fault, seed);
            sum.requests += one.requests;
            sum.asks += one.asks;
            sum.unanswered += one.unanswered;
            sum.begun += one.begun;
            sum.beyond += one.beyond;
            sum.overfull += one.overfull;
            sum.idle += one.idle;
            sum.samples += one.samples;
            sum.waited_ms += one.waited_ms;
        }
        eprintln!("{size:?} {fault:?} {reserves} {sum:?}");
        sum
    }

    /// Asserts that engines are hardly more idle while prompts wait, in addition.
    fn assert_as_served_as(&self, other: &Self) {
        assert!(self.idle <= other.idle + self.samples / 100, "{self:?}, {other:?}");
        self.assert_as_early_as(other);
    }

    /// Asserts that as many prompts begin, and hardly later.
    fn assert_as_early_as(&self, other: &Self) {
        assert!(self.begun * 100 >= other.begun * 98, "{self:?}, {other:?}");
        let mean = |counts: &Self| counts.waited_ms / f64::from(counts.begun);
        assert!(mean(self) <= mean(other) + 30.0, "{self:?}, {other:?}");
    }
}

struct Fleet {
    work: Work,
    reserves: bool,
    fault: Fault,
    now: Time,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    events: BTreeMap<(Time, u64), Event>,
    numbers: u64,
    /// When the latest message on each link arrives.
    arrivals: HashMap<(usize, usize), Time>,
    prompts: HashMap<id::Request, (u64, Time)>,
    counts: Counts,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn play(
        (entries, engines): (usize, usize),
        work: Work,
        reserves: bool,
        fault: Fault,
        seed: u64,
    ) -> Counts {
        let actives = active_count(entries);
        let all: BTreeSet<id::Host> = (0..actives).map(host).collect();
        let targets: Vec<id::Target> = (0..engines).map(target).collect();
        let settings = Settings {
            share: false,
            stagger: false,
            choices: CHOICES_FRESH,
            prefill_bound: true,
            shed_late: true,
            ..Settings::default()
        };
        let open = |_| {
            let mut gate = Gate::open(settings.clone());
            gate.set_targets(Time::ZERO, targets.clone());
            let report = Report { capacity: Tokens::new(CAPACITY), ..Report::default() };
            targets.iter().for_each(|t| gate.report(Time::ZERO, t, &report, Duration::ZERO));
            Entry {
                gate,
                peers: Peers::default(),
                reservations: Reservations::default(),
                silent: SilentOwners::default(),
                actives: all.clone(),
                asking: HashMap::new(),
                asks: HashMap::new(),
                queued: BTreeSet::new(),
                beat_due: false,
            }
        };
        let mut fleet = Self {
            work,
            reserves,
            fault,
            now: Time::ZERO,
            entries: (0..actives).map(open).collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            events: BTreeMap::new(),
            numbers: 0,
            arrivals: HashMap::new(),
            prompts: HashMap::new(),
            counts: Counts::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        fleet.schedule_load(work.per_engine * engines as f64);
        fleet.run();
        fleet.counts
    }

    fn schedule_load(&mut self, per_s: f64) {
        let mut at = Time::ZERO;
        while at < Time::ZERO + LENGTH {
            at = at + Duration::from_secs_f64(-self.rng.random::<f64>().ln() / per_s);
            let mut entry = self.rng.random_range(0..self.entries.len());
            while self.is_frozen(entry) {
                entry = self.rng.random_range(0..self.entries.len());
            }
            self.push(at, Event::Arrives(entry));
        }
        for entry in 0..self.entries.len() {
            let at = Time::ZERO + ms(self.rng.random_range(0..150));
            self.push(at, Event::Beat { from: entry, regular: true });
            let at = Time::ZERO + ms(self.rng.random_range(0..20));
            self.push(at, Event::Poll(entry));
        }
        if self.fault != Fault::ChangingOwners {
            return;
        }
        for second in 1..LENGTH.as_secs() {
            let changed = self.rng.random_range(0..self.entries.len());
            for at in 0..self.entries.len() {
                let learned = Time::ZERO + ms(1_000 * second + self.rng.random_range(0..200));
                self.push(learned, Event::View { at, changed, active: false });
                self.push(learned + ms(700), Event::View { at, changed, active: true });
            }
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.numbers += 1;
        self.events.insert((at, self.numbers), event);
    }

    /// Returns when a message arrives that is sent now; a link keeps the order of its messages.
    fn arrival(&mut self, from: usize, to: usize) -> Time {
        let arrives = self.now + DELAY.mul_f64(self.rng.random_range(1.0..2.0));
        let latest = self.arrivals.entry((from, to)).or_default();
        *latest = arrives.max(*latest);
        *latest
    }

    fn is_frozen(&self, entry: usize) -> bool {
        self.fault == Fault::FrozenOwners && entry % 8 == 1
    }

    fn carries(&self, from: usize, to: usize) -> bool {
        let silent = self.fault == Fault::SilentLinks && (from + to).is_multiple_of(8);
        !silent && !self.is_frozen(from) && !self.is_frozen(to)
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > Time::ZERO + LENGTH {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrives(at) => self.arrive(at),
            Event::Poll(at) => {
                self.push(now + ms(20), Event::Poll(at));
                self.poll(at);
                if at == 0 {
                    self.sample();
                }
            }
            Event::Beat { from, regular } => self.beat(from, regular),
            Event::Announced { from, to, loads } => self.apply(from, to, &loads),
            Event::Asked { from, owner, ask, target, demand } => {
                let entry = &mut self.entries[owner];
                let room = entry.gate.room(&target, None);
                let room = room.unwrap_or_default();
                let wait =
                    entry.reservations.try_grant(now, Some(&host(from)), &target, &demand, &room);
                let at = self.arrival(owner, from);
                self.push(at, Event::Answered { at: from, ask, owner, wait });
            }
            Event::Answered { at, ask, owner, wait } => {
                if let Some((id, target)) = self.entries[at].asking.remove(&ask) {
                    self.entries[at].silent.answered(&host(owner));
                    self.decided(at, id, &target, wait);
                }
            }
            Event::TimedOut { at, ask, owner } => {
                if let Some((id, target)) = self.entries[at].asking.remove(&ask) {
                    self.counts.unanswered += 1;
                    self.entries[at].silent.unanswered(now, &host(owner));
                    self.decided(at, id, &target, None);
                }
            }
            Event::Begins { at, id, engine } => {
                self.engines[engine].unread.remove(&id);
                self.counts.begun += 1;
                self.counts.waited_ms += now.since(self.prompts[&id].1).as_secs_f64() * 1e3;
                self.entries[at].gate.progress(now, id, Tokens::new(1));
                let event = Event::Goes { at, id, engine, produced: 8 };
                self.push(now + self.work.interval, event);
                self.poll(at);
            }
            Event::Goes { at, id, engine, produced } => {
                let gate = &mut self.entries[at].gate;
                gate.progress(now, id, Tokens::new(produced));
                if produced < self.work.answer {
                    let event = Event::Goes { at, id, engine, produced: produced + 8 };
                    return self.push(now + self.work.interval, event);
                }
                gate.finish(now, id, Outcome::Whole);
                self.engines[engine].held.remove(&id);
                self.poll(at);
            }
            Event::View { at, changed, active } => {
                let actives = &mut self.entries[at].actives;
                if active {
                    actives.insert(host(changed))
                } else {
                    actives.remove(&host(changed))
                };
            }
        }
    }

    fn arrive(&mut self, at: usize) {
        self.counts.requests += 1;
        self.numbers += 1;
        let id = id::Request::new(self.numbers.into());
        let prompt = (PROMPT as f64 * self.rng.random_range(0.7..1.3)) as u64;
        self.prompts.insert(id, (prompt, self.now));
        let request = Request {
            id,
            workspace: "w".parse().expect("a name"),
            class: self.work.class,
            rank: 0,
            prompt: Tokens::new(prompt),
            limit: Tokens::new(self.work.answer),
            prefix: 0,
            objective: self.now + ms(1_500),
            deadline: self.now + ms(6_000),
            avoid: None,
            retry: false,
        };
        let verdict = self.entries[at].gate.offer(self.now, &mut self.rng, request);
        self.settle(at, id, verdict);
    }

    fn poll(&mut self, at: usize) {
        for (id, verdict) in self.entries[at].gate.poll(self.now, &mut self.rng) {
            self.settle(at, id, verdict);
        }
    }

    fn settle(&mut self, at: usize, id: id::Request, verdict: Verdict) {
        self.entries[at].queued.remove(&id);
        match verdict {
            Verdict::Send(target) if self.reserves => self.ask(at, id, target),
            Verdict::Send(target) => self.send(at, id, &target),
            Verdict::Wait => {
                self.entries[at].queued.insert(id);
            }
            Verdict::Refuse(_) => {}
        }
    }

    fn ask(&mut self, at: usize, id: id::Request, target: id::Target) {
        let (now, own) = (self.now, host(at));
        let entry = &mut self.entries[at];
        *entry.asks.entry(id).or_default() += 1;
        let demand = entry.gate.demand(now, id).expect("it was chosen");
        let owner = permit::owner(target.as_str(), &entry.actives).cloned();
        let owner = owner.unwrap_or_else(|| own.clone());
        if owner == own {
            let room = entry.gate.room(&target, Some(id)).unwrap_or_default();
            let wait = entry.reservations.try_grant(now, None, &target, &demand, &room);
            return self.decided(at, id, &target, wait);
        }
        if !entry.silent.may_ask(now, &owner) {
            return self.decided(at, id, &target, None);
        }
        self.counts.asks += 1;
        self.numbers += 1;
        let ask = self.numbers;
        entry.asking.insert(ask, (id, target.clone()));
        let owner: usize = owner.as_str()[2..].parse().expect("a number");
        if self.carries(at, owner) {
            let arrives = self.arrival(at, owner);
            self.push(arrives, Event::Asked { from: at, owner, ask, target, demand });
        }
        self.push(now + TIMEOUT, Event::TimedOut { at, ask, owner });
    }

    fn decided(&mut self, at: usize, id: id::Request, target: &id::Target, wait: Option<Duration>) {
        let Some(wait) = wait else { return self.send(at, id, target) };
        let entry = &mut self.entries[at];
        let draw = !entry.asks[&id].is_multiple_of(MAX_ASKS);
        let verdict = entry.gate.defer(self.now, &mut self.rng, id, wait, draw);
        self.settle(at, id, verdict);
    }

    fn send(&mut self, at: usize, id: id::Request, target: &id::Target) {
        let now = self.now;
        let nth: usize = target.as_str()[2..].parse().expect("a number");
        let prompt = self.prompts[&id].0;
        let engine = &mut self.engines[nth];
        let waiting: u64 = engine.unread.values().sum();
        let exceeds = waiting > 0 && (waiting + prompt) as f64 > BOUND * PROMPT as f64 * 1.05;
        engine.sent.retain(|(sent, _)| now.since(*sent) < UNSEEN);
        let unseen = engine.sent.iter().any(|(_, from)| *from != at);
        self.counts.beyond += u32::from(exceeds && unseen);
        let all = prompt + self.work.answer;
        let full = engine.held.values().sum::<u64>() + all > CAPACITY;
        self.counts.overfull += u32::from(full && unseen);
        engine.held.insert(id, all);
        engine.sent.push_back((now, at));
        engine.unread.insert(id, prompt);
        let read = Duration::from_micros(prompt * 1_000 / PREFILL_PER_MS);
        engine.free_at = engine.free_at.max(now) + read;
        let begins = engine.free_at;
        self.push(begins, Event::Begins { at, id, engine: nth });
        if !std::mem::replace(&mut self.entries[at].beat_due, true) {
            self.push(now + COALESCE_DELAY, Event::Beat { from: at, regular: false });
        }
    }

    fn beat(&mut self, from: usize, regular: bool) {
        if regular {
            self.push(self.now + INTERVAL, Event::Beat { from, regular });
        }
        self.entries[from].beat_due = false;
        let loads = self.entries[from].gate.holdings().map(|holding| Load {
            tokens: holding.tokens,
            streams: holding.streams,
            unread: holding.unread,
            ..Load::none(&holding.target)
        });
        let loads = Rc::new(loads.collect::<Vec<_>>());
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            if self.carries(from, to) {
                let at = self.arrival(from, to);
                let loads = Rc::clone(&loads);
                self.push(at, Event::Announced { from, to, loads });
            }
        }
    }

    fn apply(&mut self, from: usize, to: usize, loads: &[Load]) {
        let entry = &mut self.entries[to];
        let changed = entry.peers.replace(&host(from), loads.to_vec());
        if !loads.is_empty() {
            entry.reservations.announced(&host(from));
        }
        if changed.is_empty() {
            return;
        }
        let own: HashMap<id::Target, (u64, u32)> = entry
            .gate
            .holdings()
            .map(|holding| (holding.target, (holding.tokens.get(), holding.streams)))
            .collect();
        for target in &changed {
            let others = entry.peers.total(target);
            let (tokens, streams) = own.get(target).copied().unwrap_or_default();
            let report = Report {
                capacity: Tokens::new(CAPACITY),
                used: Tokens::new(others.tokens.get() + tokens),
                running: others.streams + streams,
                ..Report::default()
            };
            entry.gate.report(self.now, target, &report, Duration::ZERO);
            entry.gate.set_unread(target, others.unread);
        }
        self.poll(to);
    }

    /// Counts the engines that have no prompt while prompts wait at entries.
    fn sample(&mut self) {
        let waiting: usize = self.entries.iter().map(|entry| entry.queued.len()).sum();
        let idle = self.engines.iter().filter(|engine| engine.unread.is_empty()).count();
        self.counts.idle += waiting.min(idle) as u32;
        self.counts.samples += self.engines.len() as u32;
    }
}

fn target(nth: usize) -> id::Target {
    format!("t-{nth}").parse().expect("a name")
}

/// Guards against entries that send to one engine before they know of each other's prompts, at any
/// size, against engines that are idle while prompts wait for owners, and against messages that
/// grow with the fleet.
#[parameterized(
    two = { 2, 4, 30, 1 },
    thirty = { 30, 24, 2, 4 },
    one_hundred_ninety_five = { 195, 45, 1, 4 },
    thousand = { 1_000, 120, 1, 4 },
)]
fn entries_do_not_meet_at_an_engine(entries: usize, engines: usize, runs: u64, factor: u32) {
    let alone = Counts::of((entries, engines), SHORT, false, Fault::None, runs);
    let reserving = Counts::of((entries, engines), SHORT, true, Fault::None, runs);
    // Each entry has one unread prompt at an engine, so that two alone hardly exceed its bound.
    assert!(entries == 2 || alone.beyond * 10 > alone.requests, "no load: {alone:?}");
    assert!(reserving.beyond * factor <= alone.beyond, "{reserving:?}, {alone:?}");
    reserving.assert_as_served_as(&alone);
    assert!(reserving.asks * 10 <= reserving.requests * 18, "{reserving:?}");
}

/// Guards against entries that fill the same free memory of an engine before they know of each
/// other's answers.
#[parameterized(
    thirty = { 30, 24 },
    thousand = { 1_000, 60 },
)]
fn answers_do_not_fill_the_same_memory(entries: usize, engines: usize) {
    let alone = Counts::of((entries, engines), LONG, false, Fault::None, 2);
    let reserving = Counts::of((entries, engines), LONG, true, Fault::None, 2);
    assert!(alone.overfull * 10 > alone.requests, "no load: {alone:?}");
    assert!(reserving.overfull * 3 <= alone.overfull, "{reserving:?}, {alone:?}");
    reserving.assert_as_early_as(&alone);
    assert!(reserving.asks * 10 <= reserving.requests * 18, "{reserving:?}");
}

/// Guards against reservations that hold requests up, or have no effect, while owners change each
/// second and lists differ, links carry nothing, or owners don't answer.
#[parameterized(
    few_changing_owners = { 2, 4, 30, Fault::ChangingOwners },
    changing_owners = { 30, 24, 2, Fault::ChangingOwners },
    silent_links = { 30, 24, 2, Fault::SilentLinks },
    frozen_owners = { 30, 24, 2, Fault::FrozenOwners },
    many_changing_owners = { 1_000, 120, 1, Fault::ChangingOwners },
    many_silent_links = { 1_000, 120, 1, Fault::SilentLinks },
    many_frozen_owners = { 1_000, 120, 1, Fault::FrozenOwners },
)]
fn faults_of_owners_stop_no_prompts(entries: usize, engines: usize, runs: u64, fault: Fault) {
    let alone = Counts::of((entries, engines), SHORT, false, fault, runs);
    let reserving = Counts::of((entries, engines), SHORT, true, fault, runs);
    assert!(reserving.beyond * 3 <= alone.beyond * 2, "{reserving:?}, {alone:?}");
    reserving.assert_as_served_as(&alone);
    assert!(reserving.unanswered * 7 <= reserving.requests * runs as u32, "{reserving:?}");
}

/// Guards against room that stays taken by a prompt that was never sent, and against one that is
/// counted twice after it was announced.
#[test]
fn a_reservation_ends_with_an_announcement_or_by_itself() {
    let (entry, engine) = (host(1), target(1));
    let demand = Demand {
        class: Class::Live,
        prompt: Tokens::new(2_000),
        memory: Tokens::new(2_500),
        spare: Tokens::new(2_000),
        mean_prompt: Tokens::new(2_000),
    };
    let room = Room { idle: false, ..Room::default() };
    let at = |millis| Time::ZERO + ms(millis);
    let mut owned = Reservations::default();
    let mut ask = |now, announced: bool| {
        if announced {
            owned.announced(&entry);
        }
        owned.try_grant(at(now), Some(&entry), &engine, &demand, &room)
    };
    assert_eq!(ask(0, false), None);
    // The memory suffices for one; those that are deferred together return one after another.
    let waits: Vec<Duration> = (0..12).filter_map(|_| ask(1, false)).collect();
    assert_eq!(waits.len(), 12);
    assert!(waits[0] >= ms(20) && waits[0] < waits[1] && waits[11] <= ms(60), "{waits:?}");
    assert_eq!(ask(30, true), None);
    assert!(ask(299, false).is_some());
    assert_eq!(ask(330, false), None);
}

/// Guards against an owner that is gone delaying more than one request a second.
#[test]
fn a_silent_owner_is_tried_by_one_request_a_second() {
    let (mut silent, owner) = (SilentOwners::default(), host(1));
    let at = |millis| Time::ZERO + ms(millis);
    assert!(silent.may_ask(at(0), &owner));
    silent.unanswered(at(100), &owner);
    let asked = (101..3_200).filter(|now| silent.may_ask(at(*now), &owner)).count();
    assert_eq!(asked, 3);
    silent.answered(&owner);
    assert!(silent.may_ask(at(3_200), &owner) && silent.may_ask(at(3_200), &owner));
}
