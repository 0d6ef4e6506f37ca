//! Simulates a fleet with cold targets in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fireflyhoist_policy::cold::Limit;
use fireflyhoist_policy::id;
use fireflyhoist_policy::permit::Grant;
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::token_bucket::{Allowance, Buckets};
use fireflyhoist_policy::unit::RequestRate;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The delay between two entries, and from an entry to a target.
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);

/// The range by which the delays of requests to targets differ.
const JITTER_MS: u64 = 8;

/// How long an entry tries to send a request to a cold target.
const TIMEOUT: Duration = Duration::from_millis(100);

/// The interval at which entries look which targets they own.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The time after which a stopped entry counts as lost.
const SILENCE: Duration = Duration::from_millis(900);

/// How long the targets are cold, from the beginning on.
pub(crate) const COLD_PERIOD: Duration = Duration::from_secs(6);

/// How the limit is enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// One entry owns the bucket of a target.
    Owner,
    /// Each entry has an equal share of the rate.
    StaticShares,
    /// Each entry sends more as the target warms up, without an owner.
    Ramp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Traffic {
    AllEntries,
    OneEntry,
    /// Another entry each second.
    Rotating,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The two halves can't reach each other.
    Partition,
    /// A third of the entries can't reach the others.
    UnevenPartition,
    /// All entries lose their buckets each second.
    Restarts,
    /// Two entries own all targets in turn, each for such a time.
    OwnerChanges(Duration),
    /// Entries are stopped in turn, each for such a time. Others own their targets meanwhile.
    Stops(Duration),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) strategy: Strategy,
    pub(crate) entries: usize,
    /// Cold targets; all others are warm.
    pub(crate) targets: usize,
    /// Requests a second from all callers, each of which prefers a cold target.
    pub(crate) requests_per_second: f64,
    pub(crate) per_s: f64,
    pub(crate) excess: f64,
    pub(crate) margin: f64,
    pub(crate) traffic: Traffic,
    pub(crate) fault: Fault,
    /// The time within which each entry learns, at a time of its own, that the targets are cold.
    pub(crate) lag: Duration,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            strategy: Strategy::Owner,
            entries: 30,
            targets: 15,
            requests_per_second: 200.0,
            per_s: 1.0,
            excess: 1.5,
            margin: 0.0,
            traffic: Traffic::AllEntries,
            fault: Fault::None,
            lag: Duration::ZERO,
        }
    }
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Results {
    /// Arrivals at each cold target.
    arrivals: Vec<Vec<Time>>,
    pub(crate) sent_elsewhere: usize,
    /// Requests for a token that were made to owners.
    pub(crate) owner_requests: usize,
    /// The longest that any request waited for a target.
    pub(crate) max_wait: Duration,
}

impl Results {
    /// Returns the most requests that any target got in any second.
    pub(crate) fn max_per_second(&self) -> usize {
        let second = Duration::from_secs(1);
        let of = |arrivals: &Vec<Time>| {
            let within = |(n, first): (usize, &Time)| {
                arrivals[n..].iter().take_while(|at| **at <= *first + second).count()
            };
            arrivals.iter().enumerate().map(within).max().unwrap_or_default()
        };
        self.arrivals.iter().map(of).max().unwrap_or_default()
    }

    /// Returns the fraction of the cold targets' limits that was used.
    pub(crate) fn utilization(&self, scenario: &Scenario) -> f64 {
        let got: usize = self.arrivals.iter().map(Vec::len).sum();
        got as f64 / (scenario.per_s * COLD_PERIOD.as_secs_f64() * scenario.targets as f64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request {
        entry: usize,
        requested_at: Time,
    },
    Decide {
        entry: usize,
        target: usize,
        requested_at: Time,
        owner: usize,
    },
    /// A permit reaches the entry that asked for it.
    Granted {
        entry: usize,
        target: usize,
        requested_at: Time,
        grant: Grant,
    },
    /// All entries that are not stopped look which targets they own.
    Check,
    Arrive {
        target: usize,
    },
}

struct Entry {
    buckets: Buckets,
    /// When it learns that the targets are cold. It sends them nothing before.
    informed_at: Time,
    blocked_until: Vec<Time>,
    /// Remaining tokens of the entry's own shares, and when they were last refilled, for
    /// [`Strategy::StaticShares`].
    share_buckets: Vec<(f64, Time)>,
}

/// Returns the entries by their rank for a target.
fn rank(target: &id::Target, entries: usize) -> Vec<usize> {
    let names: Vec<(usize, String)> = (0..entries).map(|n| (n, format!("entry-{n}"))).collect();
    let ranked = rendezvous::rank(target.as_str(), &names, |(_, name)| name);
    ranked.into_iter().map(|(n, _)| *n).collect()
}

pub(crate) struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    entries: Vec<Entry>,
    /// The entries by their rank for each target.
    rankings: Vec<Vec<usize>>,
    targets: Vec<id::Target>,
    results: Results,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let targets: Vec<id::Target> =
            (0..scenario.targets).map(|n| format!("t-{n}").parse().expect("a name")).collect();
        let entry = |_| Entry {
            buckets: Buckets::default(),
            informed_at: Time::ZERO,
            blocked_until: vec![Time::ZERO; scenario.targets],
            share_buckets: vec![(0.0, Time::ZERO); scenario.targets],
        };
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(3),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries: (0..scenario.entries).map(entry).collect(),
            rankings: targets.iter().map(|target| rank(target, scenario.entries)).collect(),
            targets,
            results: Results { arrivals: vec![Vec::new(); scenario.targets], ..Results::default() },
            scenario,
        };
        for nth in 0..scenario.entries {
            // All entries were alive before; now only those of the same side are.
            let reachable =
                (0..scenario.entries).filter(|other| simulation.can_reach(nth, *other)).count();
            let buckets = &mut simulation.entries[nth].buckets;
            buckets.set_alive(Time::ZERO, scenario.entries);
            buckets.set_alive(Time::ZERO, reachable);
            if !scenario.lag.is_zero() {
                let lag = simulation.rng.random_range(Duration::ZERO..scenario.lag);
                simulation.entries[nth].informed_at = Time::ZERO + lag;
            }
        }
        simulation
    }

    pub(crate) fn run(mut self) -> Results {
        let requests = (self.scenario.requests_per_second * COLD_PERIOD.as_secs_f64()) as usize;
        for _ in 0..requests {
            let at = Duration::from_secs_f64(self.rng.random_range(0.0..COLD_PERIOD.as_secs_f64()));
            let entry = match self.scenario.traffic {
                Traffic::AllEntries => self.rng.random_range(0..self.scenario.entries),
                Traffic::OneEntry => 0,
                Traffic::Rotating => at.as_secs() as usize * 7 % self.scenario.entries,
            };
            let requested_at = Time::ZERO + at;
            self.schedule(at, Event::Request { entry, requested_at });
        }
        if matches!(self.scenario.fault, Fault::OwnerChanges(_) | Fault::Stops(_)) {
            for nth in 0..COLD_PERIOD.as_millis() / CHECK_INTERVAL.as_millis() {
                self.schedule(CHECK_INTERVAL * nth as u32, Event::Check);
            }
        }
        let mut second = 0;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            if self.scenario.fault == Fault::Restarts && now.since(Time::ZERO).as_secs() > second {
                second += 1;
                self.entries.iter_mut().for_each(|entry| {
                    entry.buckets = Buckets::default();
                    entry.buckets.set_alive(now, self.scenario.entries);
                });
            }
            if let Some(resumed_at) = self.stopped_until(event) {
                let resumed = resumed_at.since(now);
                self.schedule(resumed, event);
                continue;
            }
            match event {
                Event::Check => self.check(),
                Event::Granted { entry, target, requested_at, grant } => {
                    match grant.is_current(now) {
                        true => self.send(target),
                        false => self.route(entry, requested_at),
                    }
                }
                Event::Request { entry, requested_at } => self.route(entry, requested_at),
                Event::Decide { entry, target, requested_at, owner } => {
                    self.decide(entry, target, requested_at, owner);
                }
                Event::Arrive { target } => self.results.arrivals[target].push(now),
            }
        }
        self.results
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn can_reach(&self, one: usize, other: usize) -> bool {
        match self.scenario.fault {
            Fault::Partition => one % 2 == other % 2,
            Fault::UnevenPartition => one.is_multiple_of(3) == other.is_multiple_of(3),
            _ => true,
        }
    }

    /// Returns when the entry that handles an event goes on, if it is stopped.
    fn stopped_until(&self, event: Event) -> Option<Time> {
        let entry = match event {
            Event::Request { entry, .. } | Event::Granted { entry, .. } => entry,
            Event::Decide { owner, .. } => owner,
            Event::Arrive { .. } | Event::Check => return None,
        };
        let (stopped, since) = self.stopped()?;
        let Fault::Stops(lasts) = self.scenario.fault else { return None };
        (entry == stopped).then(|| since + lasts)
    }

    /// Returns the entry that is stopped, and since when.
    fn stopped(&self) -> Option<(usize, Time)> {
        let Fault::Stops(lasts) = self.scenario.fault else { return None };
        let nth = self.now.since(Time::ZERO).as_millis() / lasts.as_millis();
        Some((nth as usize % self.scenario.entries, Time::ZERO + lasts * nth as u32))
    }

    /// Returns the owner of a target, as `entry` sees it.
    fn owner(&self, entry: usize, target: usize) -> usize {
        if let Fault::OwnerChanges(lasts) = self.scenario.fault {
            return (self.now.since(Time::ZERO).as_millis() / lasts.as_millis() % 2) as usize;
        }
        let lost = |n: usize| match self.stopped() {
            Some((stopped, since)) => n == stopped && self.now.since(since) >= SILENCE,
            None => false,
        };
        let ranked = &self.rankings[target];
        let knows = |n: &&usize| self.can_reach(entry, **n) && (**n == entry || !lost(**n));
        *ranked.iter().find(knows).expect("an entry knows itself")
    }

    fn check(&mut self) {
        let stopped = self.stopped().map(|(entry, _)| entry);
        for entry in (0..self.scenario.entries).filter(|entry| Some(*entry) != stopped) {
            let owned: Vec<bool> =
                (0..self.scenario.targets).map(|n| self.owner(entry, n) == entry).collect();
            let owns = |id: &id::Target| {
                self.targets.iter().position(|target| target == id).is_some_and(|n| owned[n])
            };
            self.entries[entry].buckets.retain_owned(owns);
        }
    }

    fn is_informed(&self, entry: usize) -> bool {
        self.now >= self.entries[entry].informed_at
    }

    fn cold_limit(&self) -> Limit {
        let Scenario { per_s, excess, margin, .. } = self.scenario;
        Limit { per_s: RequestRate::new(per_s), excess, margin }
    }

    fn route(&mut self, entry: usize, requested_at: Time) {
        let waited = self.now.since(requested_at);
        self.results.max_wait = self.results.max_wait.max(waited);
        let blocked_until = &self.entries[entry].blocked_until;
        let available: Vec<usize> =
            (0..self.scenario.targets).filter(|n| blocked_until[*n] <= self.now).collect();
        if available.is_empty() || waited >= TIMEOUT || !self.is_informed(entry) {
            self.results.sent_elsewhere += 1;
            return;
        }
        let target = available[self.rng.random_range(0..available.len())];
        match self.scenario.strategy {
            Strategy::Owner => {
                let owner = self.owner(entry, target);
                let delay = if owner == entry { Duration::ZERO } else { ONE_WAY_DELAY };
                self.results.owner_requests += 1;
                self.schedule(delay, Event::Decide { entry, target, requested_at, owner });
            }
            Strategy::StaticShares => {
                let rate = self.scenario.per_s / self.scenario.entries as f64;
                let (tokens, filled_at) = &mut self.entries[entry].share_buckets[target];
                *tokens = (*tokens + rate * self.now.since(*filled_at).as_secs_f64()).min(1.0);
                *filled_at = self.now;
                if *tokens >= 1.0 {
                    *tokens -= 1.0;
                    self.send(target);
                } else {
                    self.block(
                        entry,
                        target,
                        Duration::from_millis(50),
                        requested_at,
                        Duration::ZERO,
                    );
                }
            }
            Strategy::Ramp => {
                let warm_fraction =
                    self.now.since(Time::ZERO).as_secs_f64() / COLD_PERIOD.as_secs_f64();
                match self.rng.random_bool(warm_fraction.min(1.0)) {
                    true => self.send(target),
                    false => self.results.sent_elsewhere += 1,
                }
            }
        }
    }

    fn decide(&mut self, entry: usize, target: usize, requested_at: Time, owner: usize) {
        let cold = self.is_informed(owner).then(|| self.cold_limit());
        let allowance = Allowance { advertised: None, cold };
        let (now, id) = (self.now, self.targets[target].clone());
        let delay = if owner == entry { Duration::ZERO } else { ONE_WAY_DELAY };
        let asked = Some(self.cold_limit());
        match self.entries[owner].buckets.try_cold_send(now, &id, &allowance, asked) {
            None => {
                let grant = Grant::new(now - delay);
                self.schedule(delay, Event::Granted { entry, target, requested_at, grant });
            }
            Some(wait) => self.block(entry, target, wait, requested_at, delay),
        }
    }

    fn block(
        &mut self,
        entry: usize,
        target: usize,
        wait: Duration,
        requested_at: Time,
        delay: Duration,
    ) {
        self.entries[entry].blocked_until[target] = self.now + wait;
        self.schedule(delay, Event::Request { entry, requested_at });
    }

    fn send(&mut self, target: usize) {
        let jitter = Duration::from_millis(self.rng.random_range(0..JITTER_MS));
        self.schedule(ONE_WAY_DELAY + jitter, Event::Arrive { target });
    }
}
