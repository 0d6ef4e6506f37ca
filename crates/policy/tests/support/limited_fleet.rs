//! A fleet before a target that names a limit, in virtual time.

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

/// From what one entry notes until the others hear of it.
const TOLD: Duration = Duration::from_millis(30);

/// From a question to the entry that decides, and from a request to its answer.
const WAY: Duration = Duration::from_millis(2);
const ANSWER: Duration = Duration::from_millis(25);

/// When the target begins to name its limit, and from when it is to be kept to.
pub(crate) const NAMED: Duration = Duration::from_secs(5);
pub(crate) const STABLE: Duration = Duration::from_secs(10);

/// The span of the bound.
const SPAN: Duration = Duration::from_secs(4);

/// A target as it is listed.
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
        start: start.map(Start::new),
    }
}

/// Which entries callers use.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Traffic {
    Everywhere,
    OneEntry,
    /// Another one each second.
    Moving,
}

/// What happens to entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    /// The halves can't reach each other from 12 to 30 s.
    Partition,
    /// The entry that decides is started anew each two seconds.
    Restarts,
    /// Entries join, one each second.
    Joins,
}

#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) members: usize,
    /// Requests a second.
    pub(crate) asked: f64,
    /// The limit from [`NAMED`] on, by the second.
    pub(crate) limit: fn(u64) -> Option<f64>,
    pub(crate) traffic: Traffic,
    pub(crate) trouble: Trouble,
    pub(crate) seconds: u64,
}

/// What came of it.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Requests that reached the target.
    pub(crate) arrivals: Vec<Time>,
    /// Requests that another target got.
    pub(crate) elsewhere: usize,
}

impl Seen {
    /// The most in [`SPAN`] from a second on.
    pub(crate) fn most(&self, from: Duration) -> usize {
        let arrivals = || self.arrivals.iter().filter(|at| **at >= Time::ZERO + from);
        let within = |first: &Time| {
            let (first, end) = (*first, *first + SPAN);
            self.arrivals.iter().filter(|at| **at >= first && **at < end).count()
        };
        arrivals().map(within).max().unwrap_or_default()
    }

    /// Requests from one second to another.
    pub(crate) fn between(&self, from: u64, to: u64) -> usize {
        let (from, to) = (Duration::from_secs(from), Duration::from_secs(to));
        let within = |at: &&Time| **at >= Time::ZERO + from && **at < Time::ZERO + to;
        self.arrivals.iter().filter(within).count()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask { member: usize },
    Decide { member: usize },
    Arrive { member: usize, sent: Time },
    Answer { member: usize, sent: Time, limit: Option<u64> },
    Flush { member: usize },
    Second(u64),
}

#[derive(Debug, Default)]
struct Member {
    limits: Limits,
    keeper: Buckets,
    closed: Time,
    up: bool,
}

pub(crate) struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    members: Vec<Member>,
    names: Vec<(usize, String)>,
    target: Target,
    seen: Seen,
}

impl World {
    pub(crate) fn open(plan: Plan) -> Self {
        let up = |nth| plan.trouble != Trouble::Joins || nth * 2 < plan.members;
        let members = (0..plan.members).map(|nth| Member { up: up(nth), ..Member::default() });
        Self {
            rng: ChaCha8Rng::seed_from_u64(11),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            members: members.collect(),
            names: (0..plan.members).map(|nth| (nth, format!("entry-{nth}"))).collect(),
            target: target("t-1", Some(1)),
            seen: Seen::default(),
            plan,
        }
    }

    pub(crate) fn play(mut self) -> Seen {
        (0..self.plan.seconds).for_each(|s| self.at(Duration::from_secs(s), Event::Second(s)));
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            self.take(event);
        }
        self.seen
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let second = self.now.as_secs_f64();
        let cut = self.plan.trouble == Trouble::Partition && (12.0..30.0).contains(&second);
        self.members[other].up && !(cut && one % 2 != other % 2)
    }

    /// The entry that decides, as one of them sees it.
    fn keeper(&self, member: usize) -> usize {
        let reached: Vec<(usize, String)> =
            self.names.iter().filter(|(nth, _)| self.reaches(member, *nth)).cloned().collect();
        rendezvous::rank(self.target.id.as_str(), &reached, |(_, name)| name)[0].0
    }

    fn second(&mut self, second: u64) {
        match self.plan.trouble {
            Trouble::Restarts if second.is_multiple_of(2) => {
                let keeper = self.keeper(0);
                self.members[keeper] = Member { up: true, ..Member::default() };
                let known =
                    self.members[(keeper + 1) % self.plan.members].limits.all_updates(self.now);
                self.members[keeper].limits.apply(self.now, known);
            }
            Trouble::Joins => {
                if let Some(nth) = self.members.iter().position(|member| !member.up) {
                    let known = self.members[0].limits.all_updates(self.now);
                    self.members[nth].up = true;
                    self.members[nth].limits.apply(self.now, known);
                }
            }
            _ => {}
        }
        for nth in 0..self.plan.members {
            let alive = (0..self.plan.members).filter(|other| self.reaches(nth, *other)).count();
            self.members[nth].keeper.set_alive(self.now, alive);
        }
        let up: Vec<usize> = (0..self.plan.members).filter(|nth| self.members[*nth].up).collect();
        for _ in 0..self.plan.asked as usize {
            let member = match self.plan.traffic {
                Traffic::Everywhere => up[self.rng.random_range(0..up.len())],
                Traffic::OneEntry => up[0],
                Traffic::Moving => up[second as usize % up.len()],
            };
            let after = Duration::from_secs_f64(self.rng.random());
            self.at(after, Event::Ask { member });
        }
    }

    fn limit(&self) -> Option<f64> {
        let second = self.now.as_secs_f64() as u64;
        (second >= NAMED.as_secs()).then(|| (self.plan.limit)(second)).flatten()
    }

    fn take(&mut self, event: Event) {
        let id = self.target.id.clone();
        match event {
            Event::Second(second) => self.second(second),
            Event::Ask { member } => {
                if self.members[member].closed > self.now {
                    self.seen.elsewhere += 1;
                } else if self.members[member].limits.limit(&id).is_some() {
                    self.at(WAY, Event::Decide { member });
                } else {
                    self.at(WAY, Event::Arrive { member, sent: self.now });
                }
            }
            Event::Decide { member } => self.decide(member),
            Event::Arrive { member, sent } => {
                self.seen.arrivals.push(self.now);
                let limit = self.limit().map(|limit| (limit * 1e3) as u64);
                self.at(ANSWER, Event::Answer { member, sent, limit });
            }
            Event::Answer { member, sent, limit } => {
                let rate = |limit: u64| Advertisement::Limit(RequestRate::new(limit as f64 / 1e3));
                let said = limit.map_or(Advertisement::Absent, rate);
                let target = self.target.clone();
                self.members[member].limits.record_answer(self.now, &target, sent, said);
                self.at(TOLD, Event::Flush { member });
            }
            Event::Flush { member } => {
                let news = self.members[member].limits.take_updates(self.now);
                for other in 0..if news.is_empty() { 0 } else { self.plan.members } {
                    if other != member && self.reaches(member, other) {
                        self.members[other].limits.apply(self.now, news.clone());
                    }
                }
            }
        }
    }

    fn decide(&mut self, member: usize) {
        let (id, keeper, now) = (self.target.id.clone(), self.keeper(member), self.now);
        let word = self.members[member].limits.to_update(now, &id);
        let decides = &mut self.members[keeper];
        decides.limits.apply(now, word.into_iter().collect());
        let wait = decides.limits.limit(&id).and_then(|limit| {
            let allowance = Allowance { advertised: Some(limit), cold: None };
            decides.keeper.try_send(now, &id, &allowance)
        });
        match wait {
            Some(wait) => {
                self.members[member].closed = now + wait;
                self.seen.elsewhere += 1;
            }
            None => self.at(WAY, Event::Arrive { member, sent: now }),
        }
    }
}
