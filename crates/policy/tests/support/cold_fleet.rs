//! A fleet before targets that come back cold, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fireflyhoist_policy::cold::Limit;
use fireflyhoist_policy::id;
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::token_bucket::{Allowance, Buckets};
use fireflyhoist_policy::unit::RequestRate;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The way between two entries, and from an entry to a target.
const WAY: Duration = Duration::from_millis(2);

/// By how much the ways of requests to targets differ.
const JITTER_MS: u64 = 8;

/// How long an entry waits for leave.
const TIMEOUT: Duration = Duration::from_millis(100);

/// The targets are cold from the beginning until then.
pub(crate) const COLD: Duration = Duration::from_secs(6);

/// How the bound is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// One entry keeps the bucket of a target.
    Owner,
    /// Each entry has its part of the rate.
    Parts,
    /// Each sends more as the target gets warm, and asks nobody.
    Ramp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Traffic {
    Everywhere,
    OneEntry,
    /// Another one each second.
    Moving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    /// The halves can't reach each other.
    Partition,
    /// A third can't.
    SmallSide,
    /// The entries that decide start anew each second.
    Restarts,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) way: Way,
    pub(crate) members: usize,
    /// Targets that are cold; all others are warm.
    pub(crate) targets: usize,
    /// Requests a second of all, each of which would rather go to a cold target.
    pub(crate) asked: f64,
    pub(crate) per_s: f64,
    pub(crate) excess: f64,
    pub(crate) margin: f64,
    pub(crate) traffic: Traffic,
    pub(crate) trouble: Trouble,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            way: Way::Owner,
            members: 30,
            targets: 15,
            asked: 200.0,
            per_s: 1.0,
            excess: 1.5,
            margin: 0.0,
            traffic: Traffic::Everywhere,
            trouble: Trouble::None,
        }
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Requests that reached each cold target.
    arrivals: Vec<Vec<Time>>,
    pub(crate) elsewhere: usize,
    /// Questions to the entries that decide.
    pub(crate) questions: usize,
    /// The longest that any request was kept from a target.
    pub(crate) longest: Duration,
}

impl Seen {
    /// The most that any target got in any second.
    pub(crate) fn most(&self) -> usize {
        let second = Duration::from_secs(1);
        let of = |arrivals: &Vec<Time>| {
            let within = |(n, first): (usize, &Time)| {
                arrivals[n..].iter().take_while(|at| **at <= *first + second).count()
            };
            arrivals.iter().enumerate().map(within).max().unwrap_or_default()
        };
        self.arrivals.iter().map(of).max().unwrap_or_default()
    }

    /// The part of what cold targets take that they got.
    pub(crate) fn used(&self, plan: &Plan) -> f64 {
        let got: usize = self.arrivals.iter().map(Vec::len).sum();
        got as f64 / (plan.per_s * COLD.as_secs_f64() * plan.targets as f64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask { member: usize, asked: Time },
    Decide { member: usize, target: usize, asked: Time, keeper: usize },
    Arrive { target: usize },
}

struct Member {
    keeper: Buckets,
    closed: Vec<Time>,
    /// What is left of its own part, for [`Way::Parts`].
    own: Vec<(f64, Time)>,
}

pub(crate) struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    members: Vec<Member>,
    names: Vec<(usize, String)>,
    targets: Vec<id::Target>,
    seen: Seen,
}

impl World {
    pub(crate) fn open(plan: Plan) -> Self {
        let targets = (0..plan.targets).map(|n| format!("t-{n}").parse().expect("a name"));
        let member = |_| Member {
            keeper: Buckets::default(),
            closed: vec![Time::ZERO; plan.targets],
            own: vec![(0.0, Time::ZERO); plan.targets],
        };
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(3),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            members: (0..plan.members).map(member).collect(),
            names: (0..plan.members).map(|n| (n, format!("entry-{n}"))).collect(),
            targets: targets.collect(),
            seen: Seen { arrivals: vec![Vec::new(); plan.targets], ..Seen::default() },
            plan,
        };
        for nth in 0..plan.members {
            // All were alive before, and those of its own side are now.
            let own = (0..plan.members).filter(|other| world.reaches(nth, *other)).count();
            let keeper = &mut world.members[nth].keeper;
            keeper.set_alive(Time::ZERO, plan.members);
            keeper.set_alive(Time::ZERO, own);
        }
        world
    }

    pub(crate) fn play(mut self) -> Seen {
        let count = (self.plan.asked * COLD.as_secs_f64()) as usize;
        for _ in 0..count {
            let at = Duration::from_secs_f64(self.rng.random_range(0.0..COLD.as_secs_f64()));
            let member = match self.plan.traffic {
                Traffic::Everywhere => self.rng.random_range(0..self.plan.members),
                Traffic::OneEntry => 0,
                Traffic::Moving => at.as_secs() as usize * 7 % self.plan.members,
            };
            let asked = Time::ZERO + at;
            self.at(at, Event::Ask { member, asked });
        }
        let mut second = 0;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            if self.plan.trouble == Trouble::Restarts && now.since(Time::ZERO).as_secs() > second {
                second += 1;
                self.members.iter_mut().for_each(|member| {
                    member.keeper = Buckets::default();
                    member.keeper.set_alive(now, self.plan.members);
                });
            }
            match event {
                Event::Ask { member, asked } => self.ask(member, asked),
                Event::Decide { member, target, asked, keeper } => {
                    self.decide(member, target, asked, keeper);
                }
                Event::Arrive { target } => self.seen.arrivals[target].push(now),
            }
        }
        self.seen
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        match self.plan.trouble {
            Trouble::Partition => one % 2 == other % 2,
            Trouble::SmallSide => one.is_multiple_of(3) == other.is_multiple_of(3),
            Trouble::None | Trouble::Restarts => true,
        }
    }

    fn cold_limit(&self) -> Limit {
        let Plan { per_s, excess, margin, .. } = self.plan;
        Limit { per_s: RequestRate::new(per_s), excess, margin }
    }

    fn ask(&mut self, member: usize, asked: Time) {
        let waited = self.now.since(asked);
        self.seen.longest = self.seen.longest.max(waited);
        let closed = &self.members[member].closed;
        let open: Vec<usize> = (0..self.plan.targets).filter(|n| closed[*n] <= self.now).collect();
        if open.is_empty() || waited >= TIMEOUT {
            self.seen.elsewhere += 1;
            return;
        }
        let target = open[self.rng.random_range(0..open.len())];
        match self.plan.way {
            Way::Owner => {
                let reached: Vec<(usize, String)> =
                    self.names.iter().filter(|(n, _)| self.reaches(member, *n)).cloned().collect();
                let ranked = rendezvous::rank(self.targets[target].as_str(), &reached, |(_, n)| n);
                let keeper = ranked[0].0;
                let way = if keeper == member { Duration::ZERO } else { WAY };
                self.seen.questions += 1;
                self.at(way, Event::Decide { member, target, asked, keeper });
            }
            Way::Parts => {
                let rate = self.plan.per_s / self.plan.members as f64;
                let (tokens, filled) = &mut self.members[member].own[target];
                *tokens = (*tokens + rate * self.now.since(*filled).as_secs_f64()).min(1.0);
                *filled = self.now;
                if *tokens >= 1.0 {
                    *tokens -= 1.0;
                    self.send(target);
                } else {
                    self.close(member, target, Duration::from_millis(50), asked, Duration::ZERO);
                }
            }
            Way::Ramp => {
                let warm = self.now.since(Time::ZERO).as_secs_f64() / COLD.as_secs_f64();
                match self.rng.random_bool(warm.min(1.0)) {
                    true => self.send(target),
                    false => self.seen.elsewhere += 1,
                }
            }
        }
    }

    fn decide(&mut self, member: usize, target: usize, asked: Time, keeper: usize) {
        let allowance = Allowance { advertised: None, cold: Some(self.cold_limit()) };
        let (now, id) = (self.now, self.targets[target].clone());
        let way = if keeper == member { Duration::ZERO } else { WAY };
        match self.members[keeper].keeper.try_send(now, &id, &allowance) {
            None => self.send(target),
            Some(wait) => self.close(member, target, wait, asked, way),
        }
    }

    fn close(&mut self, member: usize, target: usize, wait: Duration, asked: Time, way: Duration) {
        self.members[member].closed[target] = self.now + wait;
        self.at(way, Event::Ask { member, asked });
    }

    fn send(&mut self, target: usize) {
        let jitter = Duration::from_millis(self.rng.random_range(0..JITTER_MS));
        self.at(WAY * 2 + jitter, Event::Arrive { target });
    }
}
