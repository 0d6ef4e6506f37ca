//! Simulates entries and engines of different speeds in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use fireflyhoist_policy::gate::{
    Class, Gate, Holding, Outcome, Report, Request, Settings, Verdict,
};
use fireflyhoist_policy::id;
use fireflyhoist_policy::load::{Load, Peers};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub(crate) const LONGEST_PAUSE: Duration = Duration::from_millis(180);
pub(crate) const EVENT_TOKENS: u32 = 4;

const MEMORY: u64 = 26_896;
/// Prompt tokens that one step computes, and the time of one step with that many.
const CHUNK: u64 = 112;
const PROMPT_TOKENS_PER_MS: f64 = 14.0;
const STEP_MS: f64 = 7.0;
const ANSWER_MS: f64 = 0.12;
/// When what an entry sends has reached the others.
const ANNOUNCE: Duration = Duration::from_millis(15);
const POLL: Duration = Duration::from_millis(20);
/// Length of a slowdown, its factor, and the mean time between two.
const SLOWDOWN: Duration = Duration::from_millis(600);
const SLOWDOWN_FACTOR: f64 = 2.5;
const BETWEEN_SLOWDOWNS_S: f64 = 3.4;

/// Faults of what entries announce to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// One entry announces that all its targets are a hundred times slower than they are.
    WrongFigures,
    /// Nothing is announced for half of the time, in turns of four seconds.
    Silence,
}

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    /// Whether engines differ in speed and slow down at times.
    pub(crate) uneven: bool,
    pub(crate) pause_aware: bool,
    pub(crate) longest_pause: Option<Duration>,
    /// Long and short answers per second.
    pub(crate) rates: [f64; 2],
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
    pub(crate) fault: Fault,
}

impl Default for Scenario {
    /// A third of a deployment with uneven targets.
    fn default() -> Self {
        Self {
            entries: 4,
            engines: 16,
            uneven: true,
            pause_aware: true,
            longest_pause: Some(LONGEST_PAUSE),
            rates: [7.8, 8.7],
            seconds: 40,
            seed: 1,
            fault: Fault::None,
        }
    }
}

/// Answers of one kind by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) asked: u32,
    pub(crate) in_time: u32,
    /// Began in time, and had a pause that was too long.
    pub(crate) paused: u32,
    pub(crate) refused: u32,
}

#[derive(Debug, Default)]
pub(crate) struct Results {
    pub(crate) long: Counts,
    pub(crate) short: Counts,
    /// The engine of each request that was sent, in order.
    pub(crate) sends: Vec<(u128, id::Target)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { long: bool },
    Step { engine: usize },
    Announce { entry: usize },
    Poll,
    Slow { engine: usize, slow: bool },
}

#[derive(Debug)]
struct Answer {
    entry: usize,
    long: bool,
    objective: Time,
    latest: Option<Time>,
    paused: bool,
    late: bool,
}

#[derive(Debug, Default)]
struct Engine {
    speed: f64,
    slow: bool,
    prompts: VecDeque<(id::Request, u64)>,
    answers: Vec<(id::Request, u64)>,
    /// Prompt tokens of the step in progress.
    chunk: Option<u64>,
}

struct Entry {
    gate: Gate,
    peers: Peers,
    announced: bool,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    answers: HashMap<id::Request, Answer>,
    index: HashMap<id::Target, usize>,
    arrivals: SmallRng,
    rng: SmallRng,
    results: Results,
}

pub(crate) fn target(nth: usize) -> id::Target {
    format!("e-{nth}").parse().expect("a name")
}

pub(crate) fn request(id: u128, long: bool, now: Time, objective: Duration) -> Request {
    Request {
        id: id::Request::new(id),
        workspace: "w".parse().expect("a name"),
        class: if long { Class::Overnight } else { Class::Live },
        rank: 0,
        prompt: Tokens::new(if long { 3_079 } else { 2_550 }),
        limit: Tokens::new(if long { 748 } else { 8 }),
        prefix: 0,
        objective: now + objective,
        deadline: now + Duration::from_secs(6),
        retry: false,
        avoid: None,
    }
}

pub(crate) fn gate(pause_aware: bool, longest_pause: Option<Duration>, engines: usize) -> Gate {
    let mut gate = Gate::open(Settings {
        share: false,
        choices: 6,
        prefill_bound: true,
        shed_late: true,
        stagger: false,
        pause_aware,
        ..Settings::default()
    });
    gate.set_longest_pause(longest_pause);
    gate.set_event_tokens(EVENT_TOKENS);
    gate.set_targets(Time::ZERO, (0..engines).map(target).collect());
    for nth in 0..engines {
        let report = Report { capacity: Tokens::new(MEMORY), ..Report::default() };
        gate.report(Time::ZERO, &target(nth), &report, Duration::ZERO);
    }
    gate
}

fn to_load(holding: Holding) -> Load {
    let Holding { target, tokens, streams, unread, pace } = holding;
    Load { target, tokens, streams, unread, pace, copies: Tokens::default() }
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let entry = |_| Entry {
            gate: gate(scenario.pause_aware, scenario.longest_pause, scenario.engines),
            peers: Peers::default(),
            announced: false,
        };
        let speed = |nth: usize| match (scenario.uneven, nth % 4) {
            (false, _) => 1.0,
            (true, 0) => 0.55,
            (true, _) => 1.2,
        };
        let mut simulation = Self {
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries: (0..scenario.entries).map(entry).collect(),
            engines: (0..scenario.engines)
                .map(|nth| Engine { speed: speed(nth), ..Engine::default() })
                .collect(),
            answers: HashMap::new(),
            index: (0..scenario.engines).map(|nth| (target(nth), nth)).collect(),
            arrivals: SmallRng::seed_from_u64(rng.random()),
            rng,
            results: Results::default(),
            scenario,
        };
        simulation.schedule(POLL, Event::Poll);
        simulation.schedule(Duration::ZERO, Event::Arrive { long: true });
        simulation.schedule(Duration::ZERO, Event::Arrive { long: false });
        for engine in 0..if scenario.uneven { scenario.engines } else { 0 } {
            let wait = simulation.between(BETWEEN_SLOWDOWNS_S);
            simulation.schedule(wait, Event::Slow { engine, slow: true });
        }
        simulation
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn between(&mut self, mean_s: f64) -> Duration {
        let draw: f64 = self.arrivals.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-draw.ln() * mean_s)
    }

    pub(crate) fn run(mut self) -> Results {
        let end = Time::ZERO + Duration::from_secs(self.scenario.seconds);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > end {
                break;
            }
            self.now = now;
            match event {
                Event::Arrive { long } => self.arrive(long),
                Event::Step { engine } => self.end_step(engine),
                Event::Announce { entry } => self.announce(entry),
                Event::Poll => {
                    (0..self.entries.len()).for_each(|entry| {
                        self.poll(entry);
                        self.request_announcement(entry);
                    });
                    self.schedule(POLL, Event::Poll);
                }
                Event::Slow { engine, slow } => {
                    self.engines[engine].slow = slow;
                    let wait = if slow { SLOWDOWN } else { self.between(BETWEEN_SLOWDOWNS_S) };
                    self.schedule(wait, Event::Slow { engine, slow: !slow });
                }
            }
        }
        self.results
    }

    fn counts(&mut self, long: bool) -> &mut Counts {
        if long { &mut self.results.long } else { &mut self.results.short }
    }

    fn arrive(&mut self, long: bool) {
        let wait = self.between(1.0 / self.scenario.rates[usize::from(!long)]);
        self.schedule(wait, Event::Arrive { long });
        let entry = self.arrivals.random_range(0..self.entries.len());
        let id = u128::from(self.results.long.asked + self.results.short.asked);
        self.counts(long).asked += 1;
        let objective = Duration::from_millis(if long { 1_800 } else { 1_500 });
        let request = request(id, long, self.now, objective);
        let objective = request.objective;
        let answer = Answer { entry, long, objective, latest: None, paused: false, late: false };
        self.answers.insert(request.id, answer);
        let id = request.id;
        let verdict = self.entries[entry].gate.offer(self.now, &mut self.rng, request);
        self.decide(id, verdict);
    }

    fn decide(&mut self, id: id::Request, verdict: Verdict) {
        match verdict {
            Verdict::Wait => {}
            Verdict::Refuse(_) => {
                if let Some(answer) = self.answers.remove(&id) {
                    self.counts(answer.long).refused += 1;
                }
            }
            Verdict::Send(to) => {
                let Answer { entry, long, .. } = self.answers[&id];
                let engine = self.index[&to];
                self.results.sends.push((id.get(), to));
                let prompt = if long { 3_079 } else { 2_550 };
                self.engines[engine].prompts.push_back((id, prompt));
                self.start_step(engine);
                self.request_announcement(entry);
            }
        }
    }

    fn poll(&mut self, entry: usize) {
        for (id, verdict) in self.entries[entry].gate.poll(self.now, &mut self.rng) {
            self.decide(id, verdict);
        }
    }

    fn request_announcement(&mut self, entry: usize) {
        if !std::mem::replace(&mut self.entries[entry].announced, true) {
            self.schedule(ANNOUNCE, Event::Announce { entry });
        }
    }

    /// Passes what an entry holds to all others, with what they hold themselves.
    fn announce(&mut self, from: usize) {
        self.entries[from].announced = false;
        let silent = self.now.since(Time::ZERO).as_secs() % 8 >= 4;
        if self.scenario.fault == Fault::Silence && silent {
            return;
        }
        let mut loads: Vec<Load> = self.entries[from].gate.holdings().map(to_load).collect();
        if self.scenario.fault == Fault::WrongFigures && from == 0 {
            loads.iter_mut().for_each(|load| load.pace.sum *= 100);
        }
        let host: id::Host = format!("entry-{from}").parse().expect("a name");
        for at in (0..self.entries.len()).filter(|at| *at != from) {
            let now = self.now;
            let entry = &mut self.entries[at];
            let own: HashMap<id::Target, Load> = entry
                .gate
                .holdings()
                .map(to_load)
                .map(|load| (load.target.clone(), load))
                .collect();
            for target in entry.peers.replace(&host, loads.clone()) {
                let others = entry.peers.total(&target);
                let mut all = others.clone();
                all.add(own.get(&target).unwrap_or(&Load::none(&target)));
                let report = Report {
                    capacity: Tokens::new(MEMORY),
                    used: all.tokens,
                    running: all.streams,
                    ..Report::default()
                };
                entry.gate.report(now, &target, &report, Duration::ZERO);
                entry.gate.set_unread(&target, others.unread);
                entry.gate.set_pace(now, &target, others.pace);
            }
            self.poll(at);
        }
    }

    fn start_step(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        if engine.chunk.is_some() || engine.prompts.is_empty() && engine.answers.is_empty() {
            return;
        }
        let chunk = engine.prompts.front().map_or(0, |(_, left)| (*left).min(CHUNK));
        engine.chunk = Some(chunk);
        let slow = if engine.slow { SLOWDOWN_FACTOR } else { 1.0 };
        let ms =
            STEP_MS + ANSWER_MS * engine.answers.len() as f64 + chunk as f64 / PROMPT_TOKENS_PER_MS;
        let time = Duration::from_secs_f64(ms * engine.speed * slow / 1e3);
        self.schedule(time, Event::Step { engine: at });
    }

    fn end_step(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        let chunk = engine.chunk.take().unwrap_or_default();
        engine.answers.iter_mut().for_each(|(_, tokens)| *tokens += 1);
        if let Some((id, left)) = engine.prompts.front_mut() {
            *left -= chunk;
            if *left == 0 {
                let answer = (*id, 1);
                engine.prompts.pop_front();
                engine.answers.push(answer);
            }
        }
        let events: Vec<(id::Request, u64)> = engine
            .answers
            .iter()
            .filter(|(_, tokens)| tokens.is_multiple_of(u64::from(EVENT_TOKENS)))
            .copied()
            .collect();
        self.start_step(at);
        for (id, tokens) in events {
            self.produce(at, id, tokens);
        }
    }

    fn produce(&mut self, engine: usize, id: id::Request, tokens: u64) {
        let now = self.now;
        let Some(answer) = self.answers.get_mut(&id) else { return };
        let first = answer.latest.is_none();
        match answer.latest.replace(now) {
            None => answer.late = now > answer.objective,
            Some(latest) => answer.paused |= now.since(latest) > LONGEST_PAUSE,
        }
        let (entry, long) = (answer.entry, answer.long);
        let gate = &mut self.entries[entry].gate;
        gate.progress(now, id, Tokens::new(tokens));
        let sighting = gate.take_sighting();
        if first || sighting.slowdown_changed {
            self.poll(entry);
            self.request_announcement(entry);
        }
        if tokens < if long { 748 } else { 8 } {
            return;
        }
        self.engines[engine].answers.retain(|(other, _)| *other != id);
        self.entries[entry].gate.finish(now, id, Outcome::Whole);
        if let Some(answer) = self.answers.remove(&id) {
            let counts = self.counts(long);
            counts.in_time += u32::from(!answer.late && !answer.paused);
            counts.paused += u32::from(!answer.late && answer.paused);
        }
        self.poll(entry);
        self.request_announcement(entry);
    }
}
