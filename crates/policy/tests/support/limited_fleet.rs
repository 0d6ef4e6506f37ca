//! Simulates a fleet with a target that advertises a limit, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fireflyhoist_policy::lease::{Start, State, Target};
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::target_limit::{Advertisement, Limits};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::token_bucket::{Allowance, Buckets};
use fireflyhoist_policy::unit::RequestRate;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The delay from an answer that changes a limit until the other entries receive the update.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(30);

/// The delay to the owner and to the target, and the time from a request's arrival to its answer.
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);
const ANSWER_TIME: Duration = Duration::from_millis(25);

/// When the target starts to advertise its limit, and from when on the limit must be enforced.
pub(crate) const ADVERTISED_FROM: Duration = Duration::from_secs(5);
pub(crate) const ENFORCED_FROM: Duration = Duration::from_secs(10);

/// The window in which arrivals are counted against the limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Creates a target as the registry lists it.
pub(crate) fn target(name: &str, start: Option<u64>) -> Target {
    Target {
        id: name.parse().expect("a name"),
        instance: name.into(),
        service: "web".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".parse().expect("a name"),
        state: State::Ready,
        renewal: 1,
        cold_ms: 0,
        slots: 0,
        software: None,
        start: start.map(Start::new),
    }
}

/// Which entries receive the traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Traffic {
    AllEntries,
    OneEntry,
    /// Another entry each second.
    Rotating,
}

/// Faults of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The two halves can't reach each other from 12 to 30 s.
    Partition,
    /// The owner restarts every two seconds.
    Restarts,
    /// Entries join, one each second.
    EntriesJoin,
}

#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) entries: usize,
    /// Requests a second.
    pub(crate) requests_per_second: f64,
    /// The limit in each second from [`ADVERTISED_FROM`] on.
    pub(crate) limit: fn(u64) -> Option<f64>,
    pub(crate) traffic: Traffic,
    pub(crate) fault: Fault,
    pub(crate) seconds: u64,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Results {
    /// Arrivals at the target.
    pub(crate) arrivals: Vec<Time>,
    /// Requests that went to another target.
    pub(crate) sent_elsewhere: usize,
}

impl Results {
    /// Returns the most arrivals in any [`WINDOW`] that begins at `from` or later.
    pub(crate) fn max_in_window(&self, from: Duration) -> usize {
        let arrivals = || self.arrivals.iter().filter(|at| **at >= Time::ZERO + from);
        let within = |first: &Time| {
            let (first, end) = (*first, *first + WINDOW);
            self.arrivals.iter().filter(|at| **at >= first && **at < end).count()
        };
        arrivals().map(within).max().unwrap_or_default()
    }

    /// Returns the number of arrivals between two times in seconds.
    pub(crate) fn between(&self, from: u64, to: u64) -> usize {
        let (from, to) = (Duration::from_secs(from), Duration::from_secs(to));
        let within = |at: &&Time| **at >= Time::ZERO + from && **at < Time::ZERO + to;
        self.arrivals.iter().filter(within).count()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request { entry: usize },
    Decide { entry: usize },
    Arrive { entry: usize, sent_at: Time },
    Answer { entry: usize, sent_at: Time, limit: Option<u64> },
    Flush { entry: usize },
    Second(u64),
}

#[derive(Debug, Default)]
struct Entry {
    limits: Limits,
    buckets: Buckets,
    blocked_until: Time,
    up: bool,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    entries: Vec<Entry>,
    names: Vec<(usize, String)>,
    target: Target,
    results: Results,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let up = |nth| scenario.fault != Fault::EntriesJoin || nth * 2 < scenario.entries;
        let entries = (0..scenario.entries).map(|nth| Entry { up: up(nth), ..Entry::default() });
        Self {
            rng: ChaCha8Rng::seed_from_u64(11),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries: entries.collect(),
            names: (0..scenario.entries).map(|nth| (nth, format!("entry-{nth}"))).collect(),
            target: target("t-1", Some(1)),
            results: Results::default(),
            scenario,
        }
    }

    pub(crate) fn run(mut self) -> Results {
        (0..self.scenario.seconds)
            .for_each(|s| self.schedule(Duration::from_secs(s), Event::Second(s)));
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            self.handle(event);
        }
        self.results
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn can_reach(&self, one: usize, other: usize) -> bool {
        let second = self.now.as_secs_f64();
        let partitioned = self.scenario.fault == Fault::Partition && (12.0..30.0).contains(&second);
        self.entries[other].up && !(partitioned && one % 2 != other % 2)
    }

    /// Returns the owner of the target's bucket as seen by one entry.
    fn owner(&self, entry: usize) -> usize {
        let reached: Vec<(usize, String)> =
            self.names.iter().filter(|(nth, _)| self.can_reach(entry, *nth)).cloned().collect();
        rendezvous::rank(self.target.id.as_str(), &reached, |(_, name)| name)[0].0
    }

    fn start_second(&mut self, second: u64) {
        match self.scenario.fault {
            Fault::Restarts if second.is_multiple_of(2) => {
                let owner = self.owner(0);
                self.entries[owner] = Entry { up: true, ..Entry::default() };
                let updates =
                    self.entries[(owner + 1) % self.scenario.entries].limits.all_updates(self.now);
                self.entries[owner].limits.apply(self.now, updates);
            }
            Fault::EntriesJoin => {
                if let Some(nth) = self.entries.iter().position(|entry| !entry.up) {
                    let updates = self.entries[0].limits.all_updates(self.now);
                    self.entries[nth].up = true;
                    self.entries[nth].limits.apply(self.now, updates);
                }
            }
            _ => {}
        }
        for nth in 0..self.scenario.entries {
            let alive =
                (0..self.scenario.entries).filter(|other| self.can_reach(nth, *other)).count();
            self.entries[nth].buckets.set_alive(self.now, alive);
        }
        let up: Vec<usize> =
            (0..self.scenario.entries).filter(|nth| self.entries[*nth].up).collect();
        for _ in 0..self.scenario.requests_per_second as usize {
            let entry = match self.scenario.traffic {
                Traffic::AllEntries => up[self.rng.random_range(0..up.len())],
                Traffic::OneEntry => up[0],
                Traffic::Rotating => up[second as usize % up.len()],
            };
            let after = Duration::from_secs_f64(self.rng.random());
            self.schedule(after, Event::Request { entry });
        }
    }

    fn limit(&self) -> Option<f64> {
        let second = self.now.as_secs_f64() as u64;
        (second >= ADVERTISED_FROM.as_secs()).then(|| (self.scenario.limit)(second)).flatten()
    }

    fn handle(&mut self, event: Event) {
        let id = self.target.id.clone();
        match event {
            Event::Second(second) => self.start_second(second),
            Event::Request { entry } => {
                if self.entries[entry].blocked_until > self.now {
                    self.results.sent_elsewhere += 1;
                } else if self.entries[entry].limits.limit(&id).is_some() {
                    self.schedule(ONE_WAY_DELAY, Event::Decide { entry });
                } else {
                    self.schedule(ONE_WAY_DELAY, Event::Arrive { entry, sent_at: self.now });
                }
            }
            Event::Decide { entry } => self.decide(entry),
            Event::Arrive { entry, sent_at } => {
                self.results.arrivals.push(self.now);
                let limit = self.limit().map(|limit| (limit * 1e3) as u64);
                self.schedule(ANSWER_TIME, Event::Answer { entry, sent_at, limit });
            }
            Event::Answer { entry, sent_at, limit } => {
                let rate = |limit: u64| Advertisement::Limit(RequestRate::new(limit as f64 / 1e3));
                let advertised = limit.map_or(Advertisement::Absent, rate);
                let target = self.target.clone();
                self.entries[entry].limits.record_answer(self.now, &target, sent_at, advertised);
                self.schedule(ANNOUNCE_DELAY, Event::Flush { entry });
            }
            Event::Flush { entry } => {
                let updates = self.entries[entry].limits.take_updates(self.now);
                for other in 0..if updates.is_empty() { 0 } else { self.scenario.entries } {
                    if other != entry && self.can_reach(entry, other) {
                        self.entries[other].limits.apply(self.now, updates.clone());
                    }
                }
            }
        }
    }

    fn decide(&mut self, entry: usize) {
        let (id, owner, now) = (self.target.id.clone(), self.owner(entry), self.now);
        let update = self.entries[entry].limits.to_update(now, &id);
        let deciding = &mut self.entries[owner];
        deciding.limits.apply(now, update.into_iter().collect());
        let wait = deciding.limits.limit(&id).and_then(|limit| {
            let allowance = Allowance { advertised: Some(limit), cold: None };
            deciding.buckets.try_send(now, &id, &allowance)
        });
        match wait {
            Some(wait) => {
                self.entries[entry].blocked_until = now + wait;
                self.results.sent_elsewhere += 1;
            }
            None => self.schedule(ONE_WAY_DELAY, Event::Arrive { entry, sent_at: now }),
        }
    }
}
