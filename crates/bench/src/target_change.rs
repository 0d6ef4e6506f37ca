//! What one change costs an entry that knows thousands of targets, beside passing on all of them.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fireflyhoist_policy::gate::{Class, Gate, Listing, Report, Request, Settings, TargetUpdate};
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::{Change, Leases, Start, State, Target};
use fireflyhoist_policy::load::{Load, Peers};
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

/// Repetitions of each measurement; the median counts.
const ROUNDS: usize = 51;

/// Engines on which one other entry runs answers.
const BUSY: usize = 15;

/// Medians of the time that one entry spends, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// A target leaves, and that change alone reaches the gate.
    pub change: f64,
    /// A target leaves, and the gate is given all targets.
    pub change_with_list: f64,
    /// Another entry announces its load, and what it changed reaches the gate.
    pub load: f64,
    /// Another entry announces its load, and the load of all targets reaches the gate.
    pub load_with_all: f64,
    /// A request is placed among some targets drawn at random.
    pub placement: f64,
    /// A request is placed after a look at all targets.
    pub placement_of_all: f64,
    /// A check for leases that have expired.
    pub expiry: f64,
}

struct Entry {
    leases: Leases,
    gate: Gate,
    peers: Peers,
    service: id::Service,
}

fn target(nth: usize, service: &id::Service) -> Target {
    Target {
        id: format_smolstr!("t-{nth:05}").try_into().expect("a valid name"),
        instance: format_smolstr!("i-{nth:05}"),
        service: service.clone(),
        address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        domain: format_smolstr!("domain-{}", nth % 5).try_into().expect("a valid name"),
        state: State::Ready,
        renewal: 1,
        start: Some(Start::new(1)),
        cold_ms: 0,
        slots: 0,
        software: None,
    }
}

fn host(nth: usize) -> id::Host {
    format_smolstr!("entry-{nth}").try_into().expect("a valid name")
}

fn report(tokens: Tokens) -> Report {
    Report { capacity: Tokens::new(33_627), used: tokens, ..Report::default() }
}

impl Entry {
    fn open(targets: usize) -> Self {
        let service: id::Service = "engines".parse().expect("a valid name");
        let mut leases = Leases::default();
        let all = (0..targets).map(|nth| target(nth, &service)).collect();
        leases.apply_list(Time::ZERO, Position::new(0, 1), all);
        let mut gate = Gate::open(Settings { share: false, choices: 6, ..Settings::default() });
        let names: Vec<id::Target> = leases.ready(&service).map(|t| t.id.clone()).collect();
        gate.set_targets(Time::ZERO, names);
        let mut entry = Self { leases, gate, peers: Peers::default(), service };
        entry.report_all(Time::ZERO);
        entry
    }

    fn report_all(&mut self, now: Time) {
        for target in self.leases.ready(&self.service) {
            let used = self.peers.total(&target.id).tokens;
            self.gate.report(now, &target.id, &report(used), Duration::ZERO);
        }
    }

    /// Removes a target and lists it again.
    fn change(&mut self, now: Time, nth: usize, with_list: bool) {
        let target = target(nth, &self.service);
        let renewed = Target { renewal: 2 + now.since(Time::ZERO).as_millis() as u64, ..target };
        let at = Position::new(0, now.since(Time::ZERO).as_millis() as u64 + 2);
        for change in [Change::Gone(renewed.id.clone()), Change::Put(renewed)] {
            self.leases.apply_change(now, at, change);
            if with_list {
                let ready = self.leases.ready(&self.service).map(|t| t.id.clone()).collect();
                self.gate.set_targets(now, ready);
                continue;
            }
            let changed = self.leases.take_changed();
            let listed = |id: &id::Target| {
                self.leases.is_ready(id).then_some(Listing { cordoned: false, domain: None })
            };
            let changed: Vec<TargetUpdate> = changed
                .into_iter()
                .map(|target| TargetUpdate { listed: listed(&target), target })
                .collect();
            self.gate.update_targets(now, &changed);
        }
    }

    fn announce(&mut self, now: Time, nth: usize, with_all: bool) {
        let loads = (0..BUSY).map(|at| Load {
            tokens: Tokens::new(1_000 + nth as u64),
            ..Load::none(&target(at, &self.service).id)
        });
        let changed = self.peers.replace(&host(0), loads.collect());
        if with_all {
            return self.report_all(now);
        }
        for id in &changed {
            let used = self.peers.total(id).tokens;
            self.gate.report(now, id, &report(used), Duration::ZERO);
        }
    }

    fn place(&mut self, now: Time, nth: usize, prefix: u64) {
        let request = Request {
            id: id::Request::new(nth as u128),
            workspace: "archive".parse().expect("a valid name"),
            class: Class::Overnight,
            rank: 0,
            prompt: Tokens::new(3_000),
            limit: Tokens::new(1_000),
            prefix,
            objective: now + Duration::from_secs(2),
            deadline: now + Duration::from_secs(30),
            retry: false,
            avoid: None,
        };
        black_box(self.gate.offer(now, &mut ChaCha8Rng::seed_from_u64(nth as u64), request));
    }
}

/// Returns the median time of several rounds in microseconds. Each is given its time and number.
fn median(mut round: impl FnMut(Time, usize)) -> f64 {
    let mut spans: Vec<f64> = (0..ROUNDS)
        .map(|nth| {
            let now = Time::ZERO + Duration::from_millis(2_000 + nth as u64);
            let start = Instant::now();
            round(now, nth);
            start.elapsed().as_nanos() as f64 / 1e3
        })
        .collect();
    spans.sort_by(f64::total_cmp);
    spans[ROUNDS / 2]
}

/// Measures an entry before `targets` targets.
pub fn measure(targets: usize) -> Cost {
    let mut entry = Entry::open(targets);
    Cost {
        change: median(|now, nth| entry.change(now, nth, false)),
        load: median(|now, nth| entry.announce(now, nth, false)),
        load_with_all: median(|now, nth| entry.announce(now, ROUNDS + nth, true)),
        placement: median(|now, nth| entry.place(now, nth, 0)),
        placement_of_all: median(|now, nth| entry.place(now, ROUNDS + nth, 1)),
        expiry: median(|now, _| {
            black_box(entry.leases.expire(now));
        }),
        change_with_list: median(|now, nth| entry.change(now, nth, true)),
    }
}
