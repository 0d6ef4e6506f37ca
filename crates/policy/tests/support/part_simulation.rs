//! Simulates entries and engines, of which some crash on a part of a prompt, in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use fireflyhoist_policy::feature::{self, Feature};
use fireflyhoist_policy::lease::{Start, State, Target};
use fireflyhoist_policy::poison::{Decision, Incarnation};
use fireflyhoist_policy::suspicion::{Ledger, Update};
use fireflyhoist_policy::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time of one step.
const STEP: Duration = Duration::from_millis(10);

/// Time from a change at one entry until the others know of it.
const LINK_DELAY: Duration = Duration::from_millis(40);

/// Time from a send until its engine begins to write, and until it crashes or the first event comes.
const START_DELAY: Duration = Duration::from_millis(300);
const WRITE_DELAY: Duration = Duration::from_millis(60);

/// How long a sound run lasts after that.
const RUN_TIME: Duration = Duration::from_secs(2);

/// How long an engine is down after a crash.
const DOWNTIME: Duration = Duration::from_secs(3);

/// Time after the fifth crash from which on the bound on sends holds.
pub(crate) const STABLE: Duration = Duration::from_secs(3);

/// Crashes after which the bound holds.
pub(crate) const CRASHES: usize = 5;

/// What a simulation plays.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    /// Requests a second, without those that hold the bad part.
    pub(crate) sound_per_s: f64,
    /// Requests a second with the bad part.
    pub(crate) bad_per_s: f64,
    /// Whether half of the sound requests hold a part that the bad ones always hold as well.
    pub(crate) always_beside: bool,
    /// When so many engines crash at once, whatever they run.
    pub(crate) chance_crashes: Vec<(Duration, usize)>,
    pub(crate) length: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 6,
            engines: 30,
            sound_per_s: 30.0,
            bad_per_s: 10.0,
            always_beside: false,
            chance_crashes: Vec::new(),
            length: Duration::from_secs(40),
        }
    }
}

#[derive(Clone, Debug)]
struct Run {
    entry: usize,
    features: Vec<Feature>,
    bad: bool,
    sent_at: Time,
    began: bool,
    repeated: bool,
}

#[derive(Debug, Default)]
struct Engine {
    start: u64,
    up_at: Time,
    runs: Vec<Run>,
}

/// What a simulation showed.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// When engines crashed on the bad part.
    pub(crate) crashes: Vec<Time>,
    /// When requests with the bad part were sent.
    pub(crate) bad_sends: Vec<Time>,
    /// Sound requests: when, and whether they were sent at the first attempt.
    pub(crate) sound: Vec<(Time, bool)>,
}

impl Seen {
    /// Returns how often the bad part was sent after the bound held.
    pub(crate) fn late_sends(&self) -> usize {
        let Some(fifth) = self.crashes.get(CRASHES - 1) else { return 0 };
        self.bad_sends.iter().filter(|at| **at > *fifth + STABLE).count()
    }

    /// Returns the share of sound requests from a time on that were sent at the first attempt.
    pub(crate) fn sound_share(&self, from: Time) -> f64 {
        let due = || self.sound.iter().filter(|(at, _)| *at >= from);
        due().filter(|(_, sent)| *sent).count() as f64 / due().count().max(1) as f64
    }

    /// Returns the longest time in which every sound request was refused.
    pub(crate) fn longest_refusal(&self) -> Duration {
        let (mut longest, mut since) = (Duration::ZERO, None);
        for (at, sent) in &self.sound {
            match sent {
                true => since = None,
                false => longest = longest.max(at.since(*since.get_or_insert(*at))),
            }
        }
        longest
    }
}

struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    ledgers: Vec<Ledger>,
    engines: Vec<Engine>,
    messages: VecDeque<(Time, usize, Vec<Update>)>,
    count: u64,
    seen: Seen,
}

pub(crate) fn play(seed: u64, plan: Plan) -> Seen {
    let mut world = World {
        rng: ChaCha8Rng::seed_from_u64(seed),
        ledgers: (0..plan.entries).map(|_| Ledger::default()).collect(),
        engines: (0..plan.engines).map(|_| Engine::default()).collect(),
        messages: VecDeque::new(),
        count: 0,
        seen: Seen::default(),
        plan,
    };
    // The fleet has run for a while.
    let mut now = Time::ZERO + Duration::from_secs(60);
    let end = now + world.plan.length;
    while now < end {
        world.step(now);
        now = now + STEP;
    }
    world.seen
}

impl World {
    fn step(&mut self, now: Time) {
        while self.messages.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, from, updates) = self.messages.pop_front().expect("a message");
            for to in (0..self.ledgers.len()).filter(|to| *to != from) {
                self.ledgers[to].apply(now, &updates);
            }
        }
        for (per_s, bad) in [(self.plan.sound_per_s, false), (self.plan.bad_per_s, true)] {
            if self.rng.random_bool(per_s * STEP.as_secs_f64()) {
                self.arrive(now, bad);
            }
        }
        for at in 0..self.engines.len() {
            self.run(now, at);
        }
        let began = now - (Time::ZERO + Duration::from_secs(60)).since(Time::ZERO);
        let chance = self.plan.chance_crashes.clone();
        for (at, count) in chance {
            if began == Time::ZERO + at {
                (0..count).for_each(|engine| self.crash(now, engine));
            }
        }
        for from in 0..self.ledgers.len() {
            let updates = self.ledgers[from].take_updates(now);
            if !updates.is_empty() {
                self.messages.push_back((now + LINK_DELAY, from, updates));
            }
        }
    }

    fn arrive(&mut self, now: Time, bad: bool) {
        self.count += 1;
        let own = format!("own-{}", self.count);
        let popular = format!("popular-{}", self.rng.random_range(0..3));
        let rare = format!("rare-{}", self.rng.random_range(0..200));
        let beside = match self.plan.always_beside && (bad || self.rng.random_bool(0.5)) {
            true => "beside",
            false => "other",
        };
        let mut parts = vec![popular.as_str(), beside, rare.as_str()];
        if bad {
            let place = self.rng.random_range(0..=parts.len());
            parts.insert(place, "bad");
        }
        parts.push(&own);
        let features = feature::of_request(Some("m"), parts);
        let entry = self.rng.random_range(0..self.ledgers.len());
        let run = Run { entry, features, bad, sent_at: now, began: false, repeated: false };
        let sent = self.send(now, run);
        if !bad {
            self.seen.sound.push((now, sent));
        }
    }

    /// Sends a request if that is allowed, or returns false.
    fn send(&mut self, now: Time, run: Run) -> bool {
        let allowed = match self.ledgers[run.entry].decide(now, &run.features) {
            Decision::Allow => true,
            Decision::Refuse(_) => false,
            Decision::Trial => {
                // One entry decides for all.
                !matches!(self.ledgers[0].try_trial(now, &run.features), Decision::Refuse(_))
            }
        };
        let up: Vec<usize> =
            (0..self.engines.len()).filter(|at| self.engines[*at].up_at <= now).collect();
        if !allowed || up.is_empty() {
            return false;
        }
        if run.bad {
            self.seen.bad_sends.push(now);
        }
        let at = up[self.rng.random_range(0..up.len())];
        self.engines[at].runs.push(run);
        true
    }

    fn run(&mut self, now: Time, at: usize) {
        self.engines[at].runs.retain(|run| now.since(run.sent_at) < START_DELAY + RUN_TIME);
        let begins = |run: &Run| !run.began && now.since(run.sent_at) >= START_DELAY + WRITE_DELAY;
        if self.engines[at].runs.iter().any(|run| run.bad && begins(run)) {
            self.seen.crashes.push(now);
            self.crash(now, at);
            return;
        }
        for run in self.engines[at].runs.iter_mut().filter(|run| begins(run)) {
            run.began = true;
            self.ledgers[run.entry].record_first_event(now, &run.features);
        }
    }

    fn crash(&mut self, now: Time, at: usize) {
        let engine = &mut self.engines[at];
        let target = target(at, engine.start);
        engine.start += 1;
        engine.up_at = now + DOWNTIME;
        let runs = std::mem::take(&mut engine.runs);
        for run in runs.iter().filter(|run| !run.began) {
            let incarnation = Incarnation::of(&target);
            self.ledgers[run.entry].record_crash(now, now, incarnation, &run.features);
        }
        for run in runs.into_iter().filter(|run| !run.repeated) {
            self.send(now, Run { sent_at: now, began: false, repeated: true, ..run });
        }
    }
}

fn target(at: usize, start: u64) -> Target {
    Target {
        id: format!("e-{at}").parse().expect("a name"),
        instance: "e".into(),
        service: "pages".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "d-1".parse().expect("a name"),
        state: State::Ready,
        renewal: 1,
        start: Some(Start::new(start)),
        cold_ms: 0,
        slots: 0,
        software: None,
    }
}
