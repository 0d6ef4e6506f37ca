//! Simulates entries whose callers compete for too few engines, in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fireflyhoist_policy::gate::{Class, Gate, Outcome, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::placement::CHOICES_FRESH;
use fireflyhoist_policy::resubmission::{Fingerprint, Ledger, Resubmission};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(100);
const FIRST_TOKEN: Duration = Duration::from_millis(400);
const MEMORY: u64 = 26_798;
const WORKSPACES: usize = 24;

/// A kind of request: short answers are [`Class::Live`], long ones [`Class::Overnight`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) class: Class,
    pub(crate) rank: u8,
    prompt: u64,
    tokens: u64,
    run: Duration,
    objective: Duration,
    pub(crate) start_timeout: Duration,
    timeout: Duration,
}

pub(crate) fn short(rank: u8) -> Kind {
    let (run, objective) = (Duration::from_millis(500), Duration::from_millis(1_500));
    let timeout = Duration::from_secs(6);
    let (class, prompt, tokens) = (Class::Live, 2_550, 8);
    Kind { class, rank, prompt, tokens, run, objective, start_timeout: timeout, timeout }
}

pub(crate) fn long(rank: u8) -> Kind {
    let (run, objective) = (Duration::from_secs(8), Duration::from_secs(4));
    let (start_timeout, timeout) = (Duration::from_secs(16), Duration::from_secs(39));
    let (class, prompt, tokens) = (Class::Overnight, 3_079, 748);
    Kind { class, rank, prompt, tokens, run, objective, start_timeout, timeout }
}

#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) seconds: u64,
    /// Requests of each kind, as a multiple of what fits.
    pub(crate) demand: f64,
    pub(crate) kinds: [Kind; 2],
    /// Whether a sixth of the engines is lost every 3.3 s, to be replaced after 4 s.
    pub(crate) shrinks: bool,
    /// The rank of the largest workspace, if it has one of its own.
    pub(crate) large_rank: Option<u8>,
    pub(crate) ranks: bool,
    /// The part of the requests that wait although they are refused at once when they come back.
    pub(crate) probes: f64,
    pub(crate) seed: u64,
}

/// One request of a caller over all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) kind: usize,
    pub(crate) workspace: usize,
    pub(crate) is_large: bool,
    pub(crate) first: Time,
    /// The arrival of each attempt.
    pub(crate) attempts: Vec<Time>,
    /// The refusal of each attempt that was refused.
    pub(crate) refused: Vec<Time>,
    pub(crate) placed: Option<Time>,
    /// Whether it was refused at once when it came back and waited nevertheless.
    pub(crate) is_probe: bool,
}

impl Call {
    fn prompt(&self, kind: Kind) -> u64 {
        if self.is_large { 2 * kind.prompt } else { kind.prompt }
    }
}

pub(crate) struct Fleet {
    load: Load,
    rng: ChaCha8Rng,
    /// Draws arrivals, so that these are the same whatever the gates decide.
    arrivals: ChaCha8Rng,
    now: Time,
    gates: Vec<Gate>,
    ledger: Ledger,
    lost_until: Vec<Time>,
    pub(crate) calls: Vec<Call>,
    /// The entry and, once it is placed, the engine of each request in progress.
    open: BTreeMap<id::Request, (usize, Option<id::Target>)>,
    due: BTreeMap<Time, Vec<Event>>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Attempt(usize),
    Progress(id::Request, u64),
    End(id::Request),
}

fn target(number: usize) -> id::Target {
    format!("t{number}").parse().expect("a name")
}

impl Fleet {
    pub(crate) fn run(load: Load) -> Vec<Call> {
        let settings = Settings {
            share: false,
            charge_overnight: true,
            choices: CHOICES_FRESH,
            prefill_bound: true,
            shed_late: true,
            ranks: load.ranks,
            ..Settings::default()
        };
        let mut gates: Vec<Gate> =
            (0..load.entries).map(|_| Gate::open(settings.clone())).collect();
        gates.iter_mut().for_each(|gate| {
            gate.set_targets(Time::ZERO, (0..load.engines).map(target).collect());
        });
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            arrivals: ChaCha8Rng::seed_from_u64(load.seed + 1_000),
            now: Time::ZERO,
            gates,
            ledger: Ledger::default(),
            lost_until: vec![Time::ZERO; load.engines],
            calls: Vec::new(),
            open: BTreeMap::new(),
            due: BTreeMap::new(),
            load,
        };
        let end = Time::ZERO + Duration::from_secs(fleet.load.seconds);
        while fleet.now < end {
            fleet.step();
        }
        fleet.calls
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let ms = self.now.since(Time::ZERO).as_millis();
        if self.load.shrinks && ms % 3_300 < STEP.as_millis() {
            self.lose_engines();
        }
        if ms.is_multiple_of(HEARTBEAT.as_millis()) {
            self.exchange();
        }
        self.arrive();
        let later = self.due.split_off(&(self.now + Duration::from_nanos(1)));
        for event in std::mem::replace(&mut self.due, later).into_values().flatten() {
            self.apply(event);
        }
        for entry in 0..self.gates.len() {
            for (request, verdict) in self.gates[entry].poll(self.now, &mut self.rng) {
                self.decide(entry, request, verdict);
            }
        }
    }

    fn lose_engines(&mut self) {
        let from = self.arrivals.random_range(0..self.load.engines);
        let lost: Vec<usize> = (0..self.load.engines.div_ceil(6))
            .map(|nth| (from + nth) % self.load.engines)
            .collect();
        lost.iter().for_each(|at| self.lost_until[*at] = self.now + Duration::from_secs(4));
        let at_lost = |at: &Option<id::Target>| {
            at.as_ref().is_some_and(|at| lost.iter().any(|lost| target(*lost) == *at))
        };
        let cut: Vec<(id::Request, usize)> = self
            .open
            .iter()
            .filter(|(_, (_, at))| at_lost(at))
            .map(|(r, (entry, _))| (*r, *entry))
            .collect();
        for (request, entry) in cut {
            self.open.remove(&request);
            self.gates[entry].finish(self.now, request, Outcome::Cancelled);
        }
        self.list();
    }

    fn list(&mut self) {
        let up = (0..self.load.engines).filter(|at| self.lost_until[*at] <= self.now);
        let up: Vec<id::Target> = up.map(target).collect();
        let now = self.now;
        self.gates.iter_mut().for_each(|gate| gate.set_targets(now, up.clone()));
    }

    /// Tells each entry what all entries have at the engines.
    fn exchange(&mut self) {
        if self.load.shrinks {
            self.list();
        }
        let mut totals: HashMap<id::Target, (u64, u32, u64)> = HashMap::new();
        let own: Vec<Vec<_>> = self.gates.iter().map(|gate| gate.holdings().collect()).collect();
        for holding in own.iter().flatten() {
            let total = totals.entry(holding.target.clone()).or_default();
            total.0 += holding.tokens.get();
            total.1 += holding.streams;
            total.2 += holding.unread.get();
        }
        for (gate, own) in self.gates.iter_mut().zip(own) {
            let own: HashMap<_, _> = own.into_iter().map(|h| (h.target, h.unread.get())).collect();
            for name in (0..self.load.engines).map(target) {
                let (used, running, unread) = totals.get(&name).copied().unwrap_or_default();
                let (capacity, used) = (Tokens::new(MEMORY), Tokens::new(used));
                let report = Report { capacity, used, running, waiting: 0, preemptions: 0 };
                gate.report(self.now, &name, &report, Duration::ZERO);
                let others = unread.saturating_sub(own.get(&name).copied().unwrap_or(0));
                gate.set_unread(&name, Tokens::new(others));
            }
        }
    }

    fn arrive(&mut self) {
        // Engines are full with 0.95 requests of both kinds a second, by what they hold and how long.
        let rate = 0.95 * self.load.engines as f64 * self.load.demand * STEP.as_secs_f64();
        for kind in 0..2 {
            let mut left = rate;
            while left > 0.0 && self.arrivals.random_bool(left.min(1.0)) {
                left -= 1.0;
                let workspace = self.workspace();
                let is_large = self.arrivals.random_bool(0.1);
                let (first, attempts, refused) = (self.now, Vec::new(), Vec::new());
                let call = Call {
                    kind,
                    workspace,
                    is_large,
                    first,
                    attempts,
                    refused,
                    placed: None,
                    is_probe: false,
                };
                self.calls.push(call);
                self.schedule(Duration::ZERO, Event::Attempt(self.calls.len() - 1));
            }
        }
    }

    /// Draws a workspace; sizes are as 1 / n^1.2.
    fn workspace(&mut self) -> usize {
        let size = |nth: usize| ((nth + 1) as f64).powf(-1.2);
        let mut left = self.arrivals.random_range(0.0..(0..WORKSPACES).map(size).sum::<f64>());
        let drawn = (0..WORKSPACES).find(|nth| {
            left -= size(*nth);
            left <= 0.0
        });
        drawn.unwrap_or(0)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.due.entry(self.now + after).or_default().push(event);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Attempt(call) => self.attempt(call),
            Event::Progress(request, produced) => {
                if let Some((entry, _)) = self.open.get(&request) {
                    self.gates[*entry].progress(self.now, request, Tokens::new(produced));
                }
            }
            Event::End(request) => {
                if let Some((entry, _)) = self.open.remove(&request) {
                    self.gates[entry].finish(self.now, request, Outcome::Whole);
                }
            }
        }
    }

    fn attempt(&mut self, at: usize) {
        let call = &mut self.calls[at];
        call.attempts.push(self.now);
        let kind = self.load.kinds[call.kind];
        let rank = self.load.large_rank.filter(|_| call.workspace == 0).unwrap_or(kind.rank);
        let request = Request {
            id: id::Request::new((at * 100 + call.attempts.len()) as u128),
            workspace: format!("w{}", call.workspace).parse().expect("a name"),
            class: kind.class,
            rank,
            prompt: Tokens::new(call.prompt(kind)),
            limit: Tokens::new(kind.tokens),
            prefix: 0,
            objective: call.first + kind.objective,
            deadline: self.now + kind.start_timeout,
            retry: false,
            avoid: None,
        };
        let earlier = self.ledger.find(self.now, fingerprint(at));
        let (id, entry) = (request.id, self.rng.random_range(0..self.gates.len()));
        self.open.insert(id, (entry, None));
        let gate = &mut self.gates[entry];
        let mut verdict = gate.offer_returned(self.now, &mut self.rng, request.clone(), earlier);
        let call = &mut self.calls[at];
        if matches!(verdict, Verdict::Refuse(_))
            && call.attempts.len() == 2
            && self.arrivals.random_bool(self.load.probes)
        {
            call.is_probe = true;
            let earlier = earlier.map(|earlier| Resubmission { refusals: 99, ..earlier });
            verdict = gate.offer_returned(self.now, &mut self.rng, request, earlier);
        }
        self.decide(entry, id, verdict);
    }

    fn decide(&mut self, entry: usize, request: id::Request, verdict: Verdict) {
        let at = usize::try_from(request.get() / 100).expect("a number of a call");
        let kind = self.load.kinds[self.calls[at].kind];
        match verdict {
            Verdict::Wait => {}
            Verdict::Send(target) => {
                assert!(self.calls[at].placed.is_none(), "a request is sent once");
                self.calls[at].placed = Some(self.now);
                self.open.insert(request, (entry, Some(target)));
                self.schedule(FIRST_TOKEN, Event::Progress(request, 1));
                for part in 1..=4_u32 {
                    let produced = kind.tokens * u64::from(part) / 4;
                    self.schedule(kind.run * part / 4, Event::Progress(request, produced));
                }
                self.schedule(kind.run, Event::End(request));
            }
            Verdict::Refuse(refusal) => {
                self.open.remove(&request);
                let call = &mut self.calls[at];
                call.refused.push(self.now);
                let left = (call.first + kind.timeout).since(self.now);
                let attempt_left = kind
                    .timeout
                    .saturating_sub(self.now.since(*call.attempts.last().expect("one")));
                let wait = refusal.retry_after.min(attempt_left / 3);
                self.ledger.record(self.now, fingerprint(at), call.first);
                if wait < left {
                    self.schedule(wait, Event::Attempt(at));
                }
            }
        }
    }
}

fn fingerprint(call: usize) -> Fingerprint {
    Fingerprint::of(None, "/", &call.to_be_bytes())
}
