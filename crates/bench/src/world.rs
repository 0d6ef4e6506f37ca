//! Plays a scene in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fireflyhoist_policy::fleet_share::{self, Shares};
use fireflyhoist_policy::gate::{Class, Outcome, Report, Request, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_standin::batch::{Admission, Batch, Event, Job};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use crate::policy::Policy;
use crate::run::{End, Fate, Run, STALL, histogram, micros};
use crate::scene::{Arrival, Change, Scene};

/// How often entries look at their queues when nothing else happens.
const TICK: Duration = Duration::from_millis(20);

/// Attempts of one request, the first included.
const ATTEMPTS: u8 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Step(usize, u32),
    Change(usize),
    Listed,
    Take(usize),
    Deliver(usize, usize),
    Arrive(usize),
    Deadline(usize),
    Shares,
    Tick,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
    #[default]
    Nowhere,
    Queued,
    At(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    place: Place,
    attempts: u8,
}

struct Engine {
    batch: Batch,
    name: id::Target,
    up: bool,
    stepping: bool,
    epoch: u32,
}

struct World<'a, P> {
    scene: &'a Scene,
    entries: Vec<P>,
    engines: Vec<Engine>,
    states: Vec<State>,
    reports: Vec<(Report, Time)>,
    heap: BinaryHeap<Reverse<(Time, u64, Due)>>,
    sequence: u64,
    now: Time,
    rng: ChaCha8Rng,
    events: Vec<Event>,
    over: u64,
    taken: u64,
    run: Run,
}

/// Plays `scene`: every entry is opened by `open`, and engines let streams in by `admission`.
pub fn play<P: Policy>(
    name: &'static str,
    scene: &Scene,
    seed: u64,
    admission: Admission,
    open: impl Fn(usize) -> P,
) -> Run {
    let mut world = World::open(name, scene, seed, admission, open);
    while let Some(Reverse((now, _, due))) = world.heap.pop() {
        if now > scene.horizon {
            break;
        }
        world.now = now;
        world.handle(due);
    }
    world.close()
}

impl<'a, P: Policy> World<'a, P> {
    fn open(
        name: &'static str,
        scene: &'a Scene,
        seed: u64,
        admission: Admission,
        open: impl Fn(usize) -> P,
    ) -> Self {
        let engine = |(at, shape): (usize, &fireflyhoist_standin::batch::Shape)| Engine {
            batch: Batch::open(fireflyhoist_standin::batch::Shape { admission, ..shape.clone() }),
            name: format_smolstr!("e{at:03}").try_into().expect("a valid name"),
            up: true,
            stepping: false,
            epoch: 0,
        };
        let run = Run {
            name,
            fates: vec![Fate::default(); scene.arrivals.len()],
            gaps: histogram(),
            preemptions: 0,
            recomputed: 0,
            sends: 0,
            resends: 0,
            over: 0.0,
        };
        let mut world = Self {
            scene,
            entries: (0..scene.entries).map(open).collect(),
            engines: scene.engines.iter().enumerate().map(engine).collect(),
            states: vec![State::default(); scene.arrivals.len()],
            reports: Vec::new(),
            heap: BinaryHeap::new(),
            sequence: 0,
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: Vec::new(),
            over: 0,
            taken: 0,
            run,
        };
        world.list();
        for at in 0..world.engines.len() {
            // Engines report out of step with each other, as real ones do.
            let offset = scene.every.mul_f64(at as f64 / world.engines.len() as f64);
            world.push(Time::ZERO + offset, Due::Take(at));
        }
        for at in 0..scene.changes.len() {
            world.push(scene.changes[at].0, Due::Change(at));
        }
        world.push(Time::ZERO, Due::Tick);
        world.push(Time::ZERO, Due::Shares);
        if !scene.arrivals.is_empty() {
            world.push(scene.arrivals[0].at, Due::Arrive(0));
        }
        world
    }

    fn close(mut self) -> Run {
        self.run.preemptions = self.engines.iter().map(|e| e.batch.preemptions()).sum();
        self.run.recomputed = self.engines.iter().map(|e| e.batch.recomputed()).sum();
        self.run.over = self.over as f64 / self.taken.max(1) as f64;
        self.run
    }

    fn push(&mut self, at: Time, due: Due) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, due)));
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Step(engine, epoch) => self.step(engine, epoch),
            Due::Change(at) => self.change(self.scene.changes[at].1),
            Due::Listed => self.list(),
            Due::Take(engine) => self.take(engine),
            Due::Deliver(engine, report) => self.deliver(engine, report),
            Due::Arrive(at) => self.arrive(at),
            Due::Deadline(at) => self.give_up(at),
            Due::Shares => {
                self.exchange_shares();
                self.push(self.now + fleet_share::INTERVAL, Due::Shares);
            }
            Due::Tick => {
                (0..self.entries.len()).for_each(|entry| self.poll(entry));
                self.push(self.now + TICK, Due::Tick);
            }
        }
    }

    fn list(&mut self) {
        let up = self.engines.iter().filter(|e| e.up);
        let names: Vec<id::Target> = up.map(|e| e.name.clone()).collect();
        for entry in &mut self.entries {
            entry.set_targets(self.now, names.clone());
        }
    }

    fn take(&mut self, engine: usize) {
        if !self.engines[engine].up {
            return;
        }
        self.taken += 1;
        self.over += u64::from(self.engines[engine].batch.is_over());
        self.reports.push((self.engines[engine].batch.report(), self.now));
        self.push(self.now + self.scene.lag, Due::Deliver(engine, self.reports.len() - 1));
        self.push(self.now + self.scene.every, Due::Take(engine));
    }

    fn deliver(&mut self, engine: usize, report: usize) {
        let (report, taken) = self.reports[report].clone();
        let name = self.engines[engine].name.clone();
        for entry in 0..self.entries.len() {
            self.entries[entry].report(self.now, &name, &report, self.now.since(taken));
            self.poll(entry);
        }
    }

    fn arrive(&mut self, at: usize) {
        if let Some(next) = self.scene.arrivals.get(at + 1) {
            self.push(next.at, Due::Arrive(at + 1));
        }
        let patience = self.scene.arrivals[at].patience;
        self.push(self.now + patience, Due::Deadline(at));
        self.offer(at, None);
    }

    fn offer(&mut self, at: usize, avoid: Option<id::Target>) {
        let arrival = &self.scene.arrivals[at];
        let ask = ask(at, arrival, avoid);
        let verdict = self.entries[arrival.entry].offer(self.now, &mut self.rng, ask);
        self.carry_out(at, verdict);
    }

    fn carry_out(&mut self, at: usize, verdict: Verdict) {
        match verdict {
            Verdict::Send(target) => {
                let engine = self.engines.iter().position(|e| e.name == target);
                self.send(at, engine.expect("targets are engines"));
            }
            Verdict::Wait => self.states[at].place = Place::Queued,
            Verdict::Refuse(_) => {
                let first = self.states[at].attempts == 0;
                let at_once = self.scene.arrivals[at].at == self.now;
                let end = match (first, at_once) {
                    (true, true) => End::Refused,
                    (true, false) => End::Late,
                    (false, _) => End::Lost,
                };
                self.end(at, end);
            }
        }
    }

    fn send(&mut self, at: usize, engine: usize) {
        self.run.sends += 1;
        self.run.resends += u64::from(self.states[at].attempts > 0);
        self.states[at].attempts += 1;
        if !self.engines[engine].up {
            return self.failed(at, engine);
        }
        self.states[at].place = Place::At(engine);
        let arrival = &self.scene.arrivals[at];
        let job = Job {
            id: at as u64,
            prompt: arrival.prompt,
            prefix: arrival.prefix,
            shared: arrival.shared,
            length: arrival.length,
            limit: arrival.limit,
            priority: arrival.class as u8,
        };
        self.engines[engine].batch.push(self.now, job);
        self.begin(engine);
    }

    /// The attempt's engine is gone: answers held whole go elsewhere, live ones that began end.
    fn failed(&mut self, at: usize, engine: usize) {
        let arrival = &self.scene.arrivals[at];
        self.states[at].place = Place::Nowhere;
        self.entries[arrival.entry].finish(self.now, request(at), Outcome::Failed);
        let begun = self.run.fates[at].wait.is_some() && arrival.class == Class::Live;
        if begun || self.states[at].attempts >= ATTEMPTS {
            return self.end(at, End::Lost);
        }
        let name = self.engines[engine].name.clone();
        self.offer(at, Some(name));
    }

    fn begin(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        if slot.stepping || !slot.up || slot.batch.is_idle() {
            return;
        }
        slot.stepping = true;
        let span = slot.batch.begin(&mut self.events);
        // Preemptions show as late tokens and in the engine's own counts.
        self.events.clear();
        let epoch = slot.epoch;
        self.push(self.now + span, Due::Step(engine, epoch));
    }

    fn step(&mut self, engine: usize, epoch: u32) {
        let slot = &mut self.engines[engine];
        if slot.epoch != epoch {
            return;
        }
        slot.stepping = false;
        let mut events = std::mem::take(&mut self.events);
        let span = slot.batch.span();
        let ordinary = slot.batch.end(self.now, &mut events);
        self.run.gaps.saturating_record_n(micros(span), ordinary);
        let mut ended = Vec::new();
        for event in events.drain(..) {
            self.note(event, &mut ended);
        }
        self.events = events;
        self.begin(engine);
        for entry in ended {
            self.poll(entry);
        }
    }

    fn note(&mut self, event: Event, ended: &mut Vec<usize>) {
        let tell = |world: &mut Self, id: u64, produced: u64| {
            let entry = world.scene.arrivals[id as usize].entry;
            let tokens = Tokens::new(produced);
            world.entries[entry].progress(world.now, request(id as usize), tokens);
        };
        match event {
            Event::First(id) => {
                let fate = &mut self.run.fates[id as usize];
                let waited = self.now.since(self.scene.arrivals[id as usize].at);
                fate.wait.get_or_insert(waited);
                tell(self, id, 1);
            }
            Event::Late(id, gap) => {
                self.run.gaps.saturating_record(micros(gap));
                self.run.fates[id as usize].stall += gap.saturating_sub(STALL);
            }
            Event::Progress(id, produced) => tell(self, id, produced),
            Event::Done(id, produced) => {
                let at = id as usize;
                tell(self, id, produced);
                let entry = self.scene.arrivals[at].entry;
                self.entries[entry].finish(self.now, request(at), Outcome::Whole);
                self.run.fates[at].tokens = produced;
                self.end(at, End::Whole);
                if !ended.contains(&entry) {
                    ended.push(entry);
                }
            }
            Event::Preempted(..) => {}
        }
    }

    /// A caller whose answer has not begun by its deadline goes away.
    fn give_up(&mut self, at: usize) {
        let fate = &self.run.fates[at];
        if fate.end != End::Open || fate.wait.is_some() {
            return;
        }
        if let Place::At(engine) = self.states[at].place {
            self.engines[engine].batch.cancel(at as u64);
        }
        let entry = self.scene.arrivals[at].entry;
        self.entries[entry].finish(self.now, request(at), Outcome::Cancelled);
        self.end(at, End::Late);
        self.poll(entry);
    }

    fn end(&mut self, at: usize, end: End) {
        self.states[at].place = Place::Nowhere;
        let fate = &mut self.run.fates[at];
        fate.end = end;
        fate.at = self.now;
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Slow(engine, factor) => self.engines[engine].batch.slow(factor),
            Change::Leave(engine) => {
                let slot = &mut self.engines[engine];
                slot.up = false;
                slot.epoch += 1;
                slot.stepping = false;
                let held = slot.batch.clear();
                self.push(self.now + self.scene.list_lag, Due::Listed);
                for id in held {
                    self.failed(id as usize, engine);
                }
            }
        }
    }

    /// Lets each entry learn what workspaces use at the others.
    fn exchange_shares(&mut self) {
        let now = self.now;
        let announced: Vec<Option<Shares>> =
            self.entries.iter_mut().map(|entry| entry.shares(now)).collect();
        for (at, entry) in self.entries.iter_mut().enumerate() {
            let others = announced.iter().enumerate().filter(|(from, _)| *from != at);
            let others = others.filter_map(|(_, shares)| shares.as_ref());
            entry.set_others(now, Shares::long_sum(others));
        }
    }

    fn poll(&mut self, entry: usize) {
        let decided = self.entries[entry].poll(self.now, &mut self.rng);
        for (request, verdict) in decided {
            self.carry_out(request.get() as usize, verdict);
        }
    }
}

fn request(at: usize) -> id::Request {
    id::Request::new(at as u128)
}

fn ask(at: usize, arrival: &Arrival, avoid: Option<id::Target>) -> Request {
    Request {
        id: request(at),
        workspace: format_smolstr!("w{}", arrival.workspace).try_into().expect("a valid name"),
        class: arrival.class,
        rank: 0,
        prompt: Tokens::new(arrival.prompt),
        limit: Tokens::new(arrival.limit),
        prefix: arrival.prefix,
        objective: arrival.at + arrival.patience,
        deadline: arrival.at + arrival.patience,
        retry: avoid.is_some(),
        avoid,
    }
}
