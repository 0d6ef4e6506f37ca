//! Simulates in virtual time a fleet whose entries send generations of competing workspaces to the
//! same engines, each by its own gate.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fireflyhoist_policy::fleet_share::{INTERVAL, Peers, Shares};
use fireflyhoist_policy::gate::{Class, Gate, Outcome, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::placement::CHOICES_FRESH;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 12;

/// Memory of an engine in tokens; some nine ordinary answers fit.
const MEMORY: u64 = 12_000;

/// Time between two tokens of an answer, and tokens of a prompt that an engine reads in one
/// millisecond.
const TOKEN: Duration = Duration::from_millis(8);
const READ_PER_MS: u64 = 14;

/// Tokens between two reports of an answer's progress to its gate.
const STEP: u64 = 50;

/// The interval at which gates learn the load of all entries, and the delay of a link.
const LOADS_INTERVAL: Duration = Duration::from_millis(150);
const ONE_WAY_DELAY: Duration = Duration::from_millis(3);

/// Results count from here on; until then queues fill up.
const SETTLED: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(60);

/// Work that all engines can do together in a second, in tokens as gates count them, as measured
/// with a demand that is twice as high.
pub(crate) const CAPACITY: f64 = 17_500.0;

/// Which entries a workspace sends its requests to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    All,
    One(usize),
    /// Another entry each second.
    Rotating,
}

/// The requests of one workspace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Its demanded work as a part of [`CAPACITY`].
    pub(crate) part: f64,
    pub(crate) way: Way,
    pub(crate) prompt: u64,
    pub(crate) tokens: u64,
    /// The time of its first request.
    pub(crate) from: Duration,
}

impl Demand {
    pub(crate) fn of(part: f64) -> Self {
        Self { part, way: Way::All, prompt: 1_000, tokens: 200, from: Duration::ZERO }
    }

    /// Returns the work of one of its requests, as gates count it.
    pub(crate) fn work(&self) -> f64 {
        0.05 * self.prompt as f64 + self.tokens as f64
    }

    fn per_second(&self) -> f64 {
        self.part * CAPACITY / self.work()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Every second link between entries carries no announcement from a time on.
    LostLinks(Duration),
    /// The first entry ends at a time, and callers use the others; its answers are lost.
    Killed(Duration),
    /// The first entry is started at a time, and callers use it from then on.
    Started(Duration),
    /// The first entry is of the previous release and announces nothing.
    Silent,
}

#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Entries that serve callers.
    pub(crate) actives: usize,
    pub(crate) demands: Vec<Demand>,
    pub(crate) shares: bool,
    pub(crate) fault: Fault,
    pub(crate) seed: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Served {
    pub(crate) offered: usize,
    pub(crate) answered: usize,
    pub(crate) work: f64,
    /// The longest time from a request's arrival to the first token.
    pub(crate) max_wait: Duration,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Results {
    pub(crate) workspaces: Vec<Served>,
    /// The longest announcement in bytes, as JSON.
    pub(crate) max_bytes: usize,
    /// Work of answers that ended in each second from the beginning on, by workspace.
    pub(crate) by_second: Vec<BTreeMap<usize, f64>>,
}

impl Results {
    /// Returns what each workspace received of its max-min fair share of the work done.
    pub(crate) fn parts_of_share(&self, demands: &[Demand]) -> Vec<f64> {
        let total: f64 = self.workspaces.iter().map(|served| served.work).sum();
        let wanted: Vec<f64> = (self.workspaces.iter().zip(demands))
            .map(|(served, demand)| served.offered as f64 * demand.work())
            .collect();
        let shares = max_min(&wanted, total);
        self.workspaces.iter().zip(shares).map(|(s, share)| s.work / share.max(1.0)).collect()
    }

    /// Returns the part of the offered requests of some workspaces that were answered.
    pub(crate) fn answered(&self, workspaces: std::ops::Range<usize>) -> f64 {
        let of = &self.workspaces[workspaces];
        let answered: usize = of.iter().map(|served| served.answered).sum();
        answered as f64 / of.iter().map(|served| served.offered).sum::<usize>().max(1) as f64
    }

    /// Returns the smallest part of its share that any workspace received.
    pub(crate) fn least(&self, demands: &[Demand]) -> f64 {
        self.parts_of_share(demands).into_iter().fold(f64::INFINITY, f64::min)
    }

    pub(crate) fn work_per_second(&self) -> f64 {
        let all: f64 = self.workspaces.iter().map(|served| served.work).sum();
        all / (END - SETTLED).as_secs_f64()
    }
}

/// Returns the max-min fair shares of `total` for these demands.
pub(crate) fn max_min(wanted: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by(|a, b| wanted[*a].total_cmp(&wanted[*b]));
    let (mut left, mut shares) = (total, vec![0.0; wanted.len()]);
    for (nth, at) in order.iter().enumerate() {
        shares[*at] = wanted[*at].min(left / (wanted.len() - nth) as f64);
        left -= shares[*at];
    }
    shares
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Loads(usize),
    Announce(usize),
    Deliver(usize, usize, Shares),
    Progress(u128, u64),
    End(u128),
}

#[derive(Debug)]
struct Answer {
    entry: usize,
    workspace: usize,
    engine: usize,
    produced: u64,
    arrived: Time,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    read_until: Time,
    running: u32,
    used: u64,
    unread: u64,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    gates: Vec<Gate>,
    peers: Vec<Peers>,
    engines: Vec<Engine>,
    answers: HashMap<u128, Answer>,
    waiting: HashMap<u128, (usize, usize, Time)>,
    /// The unread prompt tokens of each entry at each engine.
    unread: Vec<Vec<u64>>,
    results: Results,
}

fn engine(nth: usize) -> id::Target {
    format!("e-{nth}").parse().expect("a name")
}

pub(crate) fn workspace(nth: usize) -> id::Workspace {
    format!("workspace-{nth}").parse().expect("a name")
}

fn host(nth: usize) -> id::Host {
    format!("entry-{nth}").parse().expect("a name")
}

pub(crate) fn service() -> id::Service {
    "gen".parse().expect("a name")
}

impl Simulation {
    /// Runs a scenario to its end.
    pub(crate) fn run(scenario: &Scenario) -> Results {
        let mut gates: Vec<Gate> = (0..scenario.actives).map(|_| new_gate(scenario)).collect();
        let targets: Vec<id::Target> = (0..ENGINES).map(engine).collect();
        gates.iter_mut().for_each(|gate| gate.set_targets(Time::ZERO, targets.clone()));
        let seconds = usize::try_from(END.as_secs()).unwrap_or(0) + 1;
        let mut own = Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: Time::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            gates,
            peers: vec![Peers::default(); scenario.actives],
            engines: vec![Engine::default(); ENGINES],
            answers: HashMap::new(),
            waiting: HashMap::new(),
            unread: vec![vec![0; ENGINES]; scenario.actives],
            results: Results {
                workspaces: scenario.demands.iter().map(|_| Served::default()).collect(),
                max_bytes: 0,
                by_second: vec![BTreeMap::new(); seconds],
            },
            scenario: scenario.clone(),
        };
        for entry in 0..scenario.actives {
            let phase = LOADS_INTERVAL.mul_f64(own.rng.random());
            own.at(phase, Event::Loads(entry));
        }
        for nth in 0..scenario.demands.len() {
            let from = scenario.demands[nth].from + own.interval(nth);
            own.at(from, Event::Arrive(nth));
        }
        if scenario.shares {
            for entry in 0..scenario.actives {
                let phase = INTERVAL.mul_f64(own.rng.random());
                own.at(phase, Event::Announce(entry));
            }
        }
        while let Some(((at, _), event)) = own.events.pop_first() {
            if at >= Time::ZERO + END {
                break;
            }
            own.now = at;
            own.handle(event);
        }
        own.results
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    /// Returns the time to the next request of a workspace.
    fn interval(&mut self, nth: usize) -> Duration {
        let part: f64 = self.rng.random_range(1e-9..1.0);
        Duration::from_secs_f64(-part.ln() / self.scenario.demands[nth].per_second())
    }

    fn is_down(&self, entry: usize) -> bool {
        let now = self.now.since(Time::ZERO);
        entry == 0
            && match self.scenario.fault {
                Fault::Killed(at) => now >= at,
                Fault::Started(at) => now < at,
                _ => false,
            }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(nth) => self.arrive(nth),
            Event::Loads(entry) => self.report_loads(entry),
            Event::Announce(entry) => self.announce(entry),
            Event::Deliver(from, to, shares) => {
                let announced = [(service(), shares)];
                self.peers[to].replace(self.now, &host(from), announced);
            }
            Event::Progress(id, produced) => self.progress(id, produced),
            Event::End(id) => self.end(id),
        }
    }

    fn arrive(&mut self, nth: usize) {
        let next = self.interval(nth);
        self.at(next, Event::Arrive(nth));
        let demand = self.scenario.demands[nth];
        let second = usize::try_from(self.now.since(Time::ZERO).as_secs()).unwrap_or(0);
        let mut entry = match demand.way {
            Way::All => self.rng.random_range(0..self.scenario.actives),
            Way::One(entry) => entry % self.scenario.actives,
            Way::Rotating => second % self.scenario.actives,
        };
        if self.is_down(entry) {
            entry = 1;
        }
        let id = u128::from(self.sequence);
        let request = Request {
            id: id::Request::new(id),
            workspace: workspace(nth),
            class: Class::Live,
            rank: 0,
            prompt: Tokens::new(demand.prompt),
            limit: Tokens::new(demand.tokens),
            prefix: 0,
            objective: self.now + Duration::from_secs(4),
            deadline: self.now + Duration::from_secs(15),
            avoid: None,
            retry: false,
        };
        if self.now >= Time::ZERO + SETTLED {
            self.results.workspaces[nth].offered += 1;
        }
        let verdict = self.gates[entry].offer(self.now, &mut self.rng, request);
        self.waiting.insert(id, (entry, nth, self.now));
        self.decide(id, &verdict);
    }

    fn decide(&mut self, id: u128, verdict: &Verdict) {
        match verdict {
            Verdict::Wait => {}
            Verdict::Refuse(_) => {
                self.waiting.remove(&id);
            }
            Verdict::Send(target) => self.start(id, target),
        }
    }

    fn poll(&mut self, entry: usize) {
        for (request, verdict) in self.gates[entry].poll(self.now, &mut self.rng) {
            self.decide(request.get(), &verdict);
        }
    }

    fn start(&mut self, id: u128, target: &id::Target) {
        let Some((entry, workspace, arrived)) = self.waiting.remove(&id) else { return };
        let at = (0..ENGINES).find(|nth| engine(*nth) == *target).expect("a target");
        let prompt = self.scenario.demands[workspace].prompt;
        let engine = &mut self.engines[at];
        let begins = engine.read_until.max(self.now);
        engine.read_until = begins + Duration::from_millis(prompt / READ_PER_MS);
        engine.running += 1;
        engine.used += prompt;
        engine.unread += prompt;
        self.unread[entry][at] += prompt;
        let first = engine.read_until.since(self.now) + TOKEN;
        self.answers.insert(id, Answer { entry, workspace, engine: at, produced: 0, arrived });
        self.at(first, Event::Progress(id, 1));
    }

    fn progress(&mut self, id: u128, produced: u64) {
        let Some(answer) = self.answers.get_mut(&id) else { return };
        let demand = self.scenario.demands[answer.workspace];
        let (entry, at, nth) = (answer.entry, answer.engine, answer.workspace);
        if answer.produced == 0 {
            self.engines[at].unread -= demand.prompt;
            self.unread[entry][at] -= demand.prompt;
            let wait = self.now.since(answer.arrived);
            if self.now >= Time::ZERO + SETTLED {
                let served = &mut self.results.workspaces[nth];
                served.max_wait = served.max_wait.max(wait);
            }
        }
        self.engines[at].used += produced - answer.produced;
        answer.produced = produced;
        self.gates[entry].progress(self.now, id::Request::new(id), Tokens::new(produced));
        let next = (produced + STEP).min(demand.tokens);
        if next == produced {
            self.at(Duration::ZERO, Event::End(id));
        } else {
            let tokens = u32::try_from(next - produced).unwrap_or(1);
            self.at(TOKEN * tokens, Event::Progress(id, next));
        }
    }

    fn end(&mut self, id: u128) {
        let Some(answer) = self.answers.remove(&id) else { return };
        let demand = self.scenario.demands[answer.workspace];
        let engine = &mut self.engines[answer.engine];
        engine.running -= 1;
        engine.used -= demand.prompt + answer.produced;
        let second = usize::try_from(self.now.since(Time::ZERO).as_secs()).unwrap_or(0);
        *self.results.by_second[second].entry(answer.workspace).or_default() += demand.work();
        if self.now >= Time::ZERO + SETTLED {
            let served = &mut self.results.workspaces[answer.workspace];
            served.answered += 1;
            served.work += demand.work();
        }
        self.gates[answer.entry].finish(self.now, id::Request::new(id), Outcome::Whole);
        self.poll(answer.entry);
    }

    fn report_loads(&mut self, entry: usize) {
        self.at(LOADS_INTERVAL, Event::Loads(entry));
        if self.is_down(entry) {
            return self.drop_answers();
        }
        for at in 0..ENGINES {
            let of = &self.engines[at];
            let report = Report {
                capacity: Tokens::new(MEMORY),
                used: Tokens::new(of.used),
                running: of.running,
                ..Report::default()
            };
            let gate = &mut self.gates[entry];
            gate.report(self.now, &engine(at), &report, Duration::ZERO);
            let unread = of.unread - self.unread[entry][at];
            gate.set_unread(&engine(at), Tokens::new(unread));
        }
        self.poll(entry);
    }

    /// Drops the answers of the first entry, which has ended.
    fn drop_answers(&mut self) {
        let own: Vec<u128> =
            self.answers.iter().filter(|(_, a)| a.entry == 0).map(|(id, _)| *id).collect();
        for id in own {
            let answer = self.answers.remove(&id).expect("it is listed");
            let prompt = self.scenario.demands[answer.workspace].prompt;
            let engine = &mut self.engines[answer.engine];
            engine.running -= 1;
            engine.used -= prompt + answer.produced;
            if answer.produced == 0 {
                engine.unread -= prompt;
                self.unread[0][answer.engine] -= prompt;
            }
        }
        self.waiting.retain(|_, (entry, _, _)| *entry != 0);
        let mut gate = new_gate(&self.scenario);
        gate.set_targets(self.now, (0..ENGINES).map(engine).collect());
        self.gates[0] = gate;
    }

    fn announce(&mut self, entry: usize) {
        self.at(INTERVAL, Event::Announce(entry));
        if self.is_down(entry) {
            return;
        }
        let all = self.peers[entry].shares(self.now, &service(), |_| true);
        self.gates[entry].set_others(self.now, Shares::long_sum(&all));
        let shares = self.gates[entry].shares(self.now);
        let bytes = serde_json::to_vec(&shares).expect("numbers and names").len();
        self.results.max_bytes = self.results.max_bytes.max(bytes);
        let now = self.now.since(Time::ZERO);
        for to in 0..self.scenario.actives {
            let is_lost = match self.scenario.fault {
                Fault::LostLinks(at) => now >= at && (entry + to) % 2 == 1,
                Fault::Silent => entry == 0 || to == 0,
                _ => false,
            };
            if to != entry && !is_lost && !self.is_down(to) {
                self.at(ONE_WAY_DELAY, Event::Deliver(entry, to, shares.clone()));
            }
        }
    }
}

/// Returns a gate with the settings of an entry.
fn new_gate(scenario: &Scenario) -> Gate {
    Gate::open(Settings {
        share: false,
        choices: CHOICES_FRESH,
        prefill_bound: true,
        shed_late: true,
        fleet_shares: scenario.shares,
        ..Settings::default()
    })
}
