//! A fleet in virtual time whose entries and targets stand in several failure domains, for demand
//! and targets that differ between these.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use fireflyhoist_policy::gate::{
    Class, Gate, Listing, Outcome, Report, Request, Settings, TargetUpdate, Verdict,
};
use fireflyhoist_policy::id;
use fireflyhoist_policy::placement::CHOICES_FRESH;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Age of each entry's view of the requests that other entries sent.
const VIEW_AGE_MS: u64 = 20;

/// Tokens of memory of an engine.
const CAPACITY: u64 = 26_896;

/// Tokens of a prompt.
const PROMPT: u64 = 2_800;

/// Prefill time of a prompt, with half of the engine's time left to running answers.
const PREFILL_MS: u64 = 380;

/// Time that an answer of a generation runs after its first token.
const DECODE_MS: [u64; 2] = [40, 5_000];

/// Time that a plain request takes at a target, and the requests that run there at one time.
const PLAIN: (u64, usize) = (60, 6);

/// Time before measuring starts, in which joined targets are taken up.
const WARM_UP_MS: u64 = 3_000;

/// What requests the fleet serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Generations at engines.
    Generation,
    /// Requests to plain targets.
    Plain,
}

/// How demand differs between failure domains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Demand {
    /// It does not.
    Even,
    /// One domain has half more than its share, another one every `u64` milliseconds.
    Swinging(u64),
    /// Half of the callers of one domain use the entries of the next one from this time on.
    Moving(u64),
}

/// A fleet and what it is asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) kind: Kind,
    pub(crate) locality: bool,
    /// Whether the entries know their own failure domains.
    pub(crate) has_domains: bool,
    pub(crate) domains: usize,
    pub(crate) entries_per_domain: usize,
    pub(crate) targets: usize,
    pub(crate) per_s: f64,
    pub(crate) demand: Demand,
    /// Targets in the first domain; the others share the rest evenly.
    pub(crate) in_first_domain: usize,
    /// When the targets of the first domain are lost.
    pub(crate) lost_at_ms: Option<u64>,
    /// A target that takes this much longer, the first one of the first domain.
    pub(crate) slow: f64,
    pub(crate) seconds: u64,
}

impl Plan {
    /// Returns the fleet of twelve entries, 48 engines and three domains.
    pub(crate) fn generations() -> Self {
        Self {
            kind: Kind::Generation,
            locality: true,
            has_domains: true,
            domains: 3,
            entries_per_domain: 4,
            targets: 48,
            in_first_domain: 16,
            per_s: 50.0,
            demand: Demand::Even,
            lost_at_ms: None,
            slow: 1.0,
            seconds: 40,
        }
    }

    fn domain_of(&self, target: usize) -> usize {
        let rest = target.checked_sub(self.in_first_domain);
        rest.map_or(0, |rest| 1 + rest % (self.domains - 1))
    }

    /// Returns the same fleet with six plain targets.
    pub(crate) fn plain() -> Self {
        Self {
            kind: Kind::Plain,
            targets: 6,
            in_first_domain: 2,
            per_s: 118.0,
            ..Self::generations()
        }
    }
}

/// What was measured, all after the warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measured {
    pub(crate) sent: usize,
    /// Requests sent to another failure domain than that of their entry.
    pub(crate) remote: usize,
    /// Requests sent to the slow target.
    pub(crate) slow: usize,
    /// Milliseconds from each request's arrival to the start of its prefill or its run.
    pub(crate) waits: Vec<u64>,
    /// Draws of random numbers for each request.
    pub(crate) draws: f64,
    /// Targets that requests were sent to, in order.
    pub(crate) order: Vec<id::Target>,
}

impl Measured {
    pub(crate) fn remote_share(&self) -> f64 {
        self.remote as f64 / self.sent as f64
    }

    pub(crate) fn mean_wait(&self) -> f64 {
        self.waits.iter().sum::<u64>() as f64 / self.waits.len() as f64
    }

    /// Returns the wait that 5 in 100 requests exceed.
    pub(crate) fn long_wait(&self) -> u64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits[waits.len() * 95 / 100]
    }
}

/// A random source that counts how often it is used.
pub(crate) struct Counting {
    source: SmallRng,
    pub(crate) count: usize,
}

impl Counting {
    pub(crate) fn new(seed: u64) -> Self {
        Self { source: SmallRng::seed_from_u64(seed), count: 0 }
    }
}

impl rand::RngCore for Counting {
    fn next_u32(&mut self) -> u32 {
        self.count += 1;
        self.source.next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        self.count += 1;
        self.source.next_u64()
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        self.count += 1;
        self.source.fill_bytes(bytes);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    First(usize, u128),
    End(usize, u128),
    Announcement,
    Loss,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    running: u32,
    unread: u64,
    used: u64,
}

struct Target {
    domain: usize,
    /// When each of its places is free.
    free_at: Vec<u64>,
    work_ms: u64,
    /// What each entry has there.
    held: Vec<Held>,
    changed: bool,
}

struct Sent {
    target: usize,
    arrived: u64,
}

struct Fleet {
    plan: Plan,
    gates: Vec<Gate>,
    targets: Vec<Target>,
    names: BTreeMap<id::Target, usize>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    sent: BTreeMap<u128, Sent>,
    waiting: BTreeMap<u128, u64>,
    measured: Measured,
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

pub(crate) fn domain(nth: usize) -> id::Domain {
    format!("d-{nth}").parse().expect("a name")
}

pub(crate) fn target(nth: usize) -> id::Target {
    format!("t-{nth}").parse().expect("a name")
}

/// Returns a plain request.
pub(crate) fn lookup(number: u128, now: Time) -> Request {
    Request {
        id: id::Request::new(number),
        workspace: "archive".parse().expect("a name"),
        class: Class::Lookup,
        rank: 0,
        prompt: Tokens::default(),
        limit: Tokens::default(),
        prefix: 0,
        objective: now + Duration::from_millis(1_800),
        deadline: now + Duration::from_secs(30),
        avoid: None,
        retry: false,
    }
}

/// Serves the requests of a plan.
pub(crate) fn run(plan: Plan, seed: u64) -> Measured {
    let entries = plan.domains * plan.entries_per_domain;
    let (work_ms, places) = match plan.kind {
        Kind::Generation => (PREFILL_MS, 1),
        Kind::Plain => PLAIN,
    };
    let new_target = |nth: usize| Target {
        domain: plan.domain_of(nth),
        free_at: vec![0; places],
        work_ms: if nth == 0 { (work_ms as f64 * plan.slow) as u64 } else { work_ms },
        held: vec![Held::default(); entries],
        changed: true,
    };
    let listed: Vec<TargetUpdate> = (0..plan.targets)
        .map(|nth| TargetUpdate {
            target: target(nth),
            listed: Some(Listing { cordoned: false, domain: Some(domain(plan.domain_of(nth))) }),
        })
        .collect();
    let open = |entry: usize| {
        let mut gate = Gate::open(Settings {
            share: false,
            choices: CHOICES_FRESH,
            prefill_bound: true,
            shed_late: true,
            locality: plan.locality,
            ..Settings::default()
        });
        gate.set_own_domain(plan.has_domains.then(|| domain(entry % plan.domains)));
        gate.set_answer_objective(Duration::from_millis(300));
        gate.update_targets(at(0), &listed);
        gate
    };
    let mut fleet = Fleet {
        plan,
        gates: (0..entries).map(open).collect(),
        targets: (0..plan.targets).map(new_target).collect(),
        names: (0..plan.targets).map(|nth| (target(nth), nth)).collect(),
        events: BinaryHeap::new(),
        sent: BTreeMap::new(),
        waiting: BTreeMap::new(),
        measured: Measured::default(),
    };
    let mut rng = Counting::new(seed);
    fleet.events.push(Reverse((0, Event::Announcement)));
    fleet.events.push(Reverse((1, Event::Arrival)));
    if let Some(ms) = plan.lost_at_ms {
        fleet.events.push(Reverse((ms, Event::Loss)));
    }
    let mut offered = 0_u128;
    while let Some(Reverse((now, event))) = fleet.events.pop() {
        if now > plan.seconds * 1_000 {
            break;
        }
        fleet.handle(now, event, &mut offered, &mut rng);
    }
    fleet.measured.draws = rng.count as f64 / offered as f64;
    fleet.measured
}

impl Fleet {
    fn handle(&mut self, now: u64, event: Event, offered: &mut u128, rng: &mut Counting) {
        match event {
            Event::Arrival => {
                let gap = -rng.source.random_range(f64::EPSILON..1.0).ln() * 1e3 / self.plan.per_s;
                self.events.push(Reverse((now + gap as u64, Event::Arrival)));
                let entry = self.entry(now, &mut rng.source);
                let short = rng.source.random_bool(0.5);
                *offered += 1;
                let request = self.request(now, *offered * 4 + u128::from(!short), short);
                self.waiting.insert(request.id.get(), now);
                let id = request.id;
                let verdict = self.gates[entry].offer(at(now), rng, request);
                self.apply(now, entry, id, &verdict);
            }
            Event::First(entry, id) => {
                let Some(sent) = self.sent.get(&id) else { return };
                let target = &mut self.targets[sent.target];
                target.held[entry].unread = target.held[entry].unread.saturating_sub(PROMPT);
                target.changed = true;
                self.gates[entry].progress(at(now), id::Request::new(id), Tokens::new(1));
                self.poll(now, entry, rng);
            }
            Event::End(entry, id) => {
                let Some(sent) = self.sent.remove(&id) else { return };
                let target = &mut self.targets[sent.target];
                let held = &mut target.held[entry];
                held.running -= 1;
                held.used = held.used.saturating_sub(PROMPT);
                target.changed = true;
                self.gates[entry].finish(at(now), id::Request::new(id), Outcome::Whole);
                self.poll(now, entry, rng);
            }
            Event::Announcement => {
                self.events.push(Reverse((now + VIEW_AGE_MS, Event::Announcement)));
                self.announce(now);
                (0..self.gates.len()).for_each(|entry| self.poll(now, entry, rng));
            }
            Event::Loss => {
                let lost = (0..self.targets.len()).filter(|nth| self.targets[*nth].domain == 0);
                let updates: Vec<TargetUpdate> =
                    lost.map(|nth| TargetUpdate { target: target(nth), listed: None }).collect();
                self.gates.iter_mut().for_each(|gate| gate.update_targets(at(now), &updates));
            }
        }
    }

    /// Chooses the entry that the next request arrives at.
    fn entry(&self, now: u64, rng: &mut SmallRng) -> usize {
        let domains = self.plan.domains;
        let domain = match self.plan.demand {
            Demand::Even => rng.random_range(0..domains),
            Demand::Swinging(period) => {
                let busy = (now / period) as usize % domains;
                let share = 1.5 / domains as f64;
                match rng.random_bool(share) {
                    true => busy,
                    false => (busy + rng.random_range(1..domains)) % domains,
                }
            }
            Demand::Moving(from) => {
                let domain = rng.random_range(0..domains);
                let moves = domain == 0 && now >= from && rng.random_bool(0.5);
                if moves { 1 } else { domain }
            }
        };
        domain + domains * rng.random_range(0..self.plan.entries_per_domain)
    }

    fn request(&self, now: u64, number: u128, short: bool) -> Request {
        let plain = lookup(number, at(now));
        if self.plan.kind == Kind::Plain {
            return plain;
        }
        let (class, limit) = if short { (Class::Live, 8) } else { (Class::Overnight, 744) };
        Request { class, prompt: Tokens::new(PROMPT), limit: Tokens::new(limit), ..plain }
    }

    fn poll(&mut self, now: u64, entry: usize, rng: &mut Counting) {
        for (id, verdict) in self.gates[entry].poll(at(now), rng) {
            self.apply(now, entry, id, &verdict);
        }
    }

    fn apply(&mut self, now: u64, entry: usize, request: id::Request, verdict: &Verdict) {
        let id = request.get();
        let Verdict::Send(name) = verdict else { return };
        let arrived = self.waiting.remove(&id).expect("it waits");
        let nth = self.names[name];
        let target = &mut self.targets[nth];
        let place = target.free_at.iter_mut().min().expect("a place");
        let begin = now.max(*place);
        *place = begin + target.work_ms;
        let done = *place;
        target.held[entry].running += 1;
        target.changed = true;
        let end = match self.plan.kind {
            Kind::Plain => done,
            Kind::Generation => {
                target.held[entry].unread += PROMPT;
                target.held[entry].used += PROMPT;
                self.events.push(Reverse((done, Event::First(entry, id))));
                done + DECODE_MS[usize::from(id % 2 == 1)]
            }
        };
        self.events.push(Reverse((end, Event::End(entry, id))));
        let remote = target.domain != entry % self.plan.domains;
        self.sent.insert(id, Sent { target: nth, arrived });
        if now >= WARM_UP_MS {
            let measured = &mut self.measured;
            measured.sent += 1;
            measured.remote += usize::from(remote);
            measured.slow += usize::from(nth == 0);
            measured.waits.push(begin - self.sent[&id].arrived);
            measured.order.push(name.clone());
        }
    }

    /// Lets each entry know what all entries have at engines.
    fn announce(&mut self, now: u64) {
        if self.plan.kind == Kind::Plain {
            return;
        }
        for (nth, target) in self.targets.iter_mut().enumerate() {
            if !std::mem::take(&mut target.changed) {
                continue;
            }
            let report = Report {
                capacity: Tokens::new(CAPACITY),
                used: Tokens::new(target.held.iter().map(|held| held.used).sum()),
                running: target.held.iter().map(|held| held.running).sum(),
                ..Report::default()
            };
            let unread: u64 = target.held.iter().map(|held| held.unread).sum();
            let name = self::target(nth);
            for (entry, gate) in self.gates.iter_mut().enumerate() {
                gate.report(at(now), &name, &report, Duration::ZERO);
                gate.set_unread(&name, Tokens::new(unread - target.held[entry].unread));
            }
        }
    }
}
