//! A fleet before targets that some requests end, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use fireflyhoist_policy::lease::{Start, State, Target};
use fireflyhoist_policy::poison::{Incarnation, Ledger, Record, SUSPECT, Verdict};
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// From what one entry notes until the others hear of it.
const TOLD: Duration = Duration::from_millis(30);

/// From a request's arrival until its target begins to run it.
const BEGINS: Duration = Duration::from_millis(300);

/// From there until a poison ends its target.
const ENDS: Duration = Duration::from_millis(100);

/// How long a target is away.
const AWAY: Duration = Duration::from_secs(3);

/// After the third end, until everyone must know.
const STABLE: Duration = Duration::from_secs(5);

/// How long a caller goes on coming back.
const PATIENCE: Duration = Duration::from_secs(90);

/// The links between the two halves are cut for so long.
const CUT: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(20));

/// A target as it is listed.
pub(crate) fn target(name: &str, start: Option<u64>) -> Target {
    Target {
        id: name.parse().expect("a name"),
        instance: name.into(),
        service: "maps".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".parse().expect("a name"),
        state: State::Ready,
        renewal: 1,
        cold_ms: 0,
        start: start.map(Start::new),
    }
}

/// The `nth` start of some target.
pub(crate) fn incarnation(nth: u64) -> Incarnation {
    Incarnation::of(&target("t", Some(nth)))
}

/// What is played.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) members: usize,
    pub(crate) targets: usize,
    pub(crate) slots: usize,
    /// Innocent requests a second.
    pub(crate) rate: f64,
    /// How often the poison is asked a second, at any entry.
    pub(crate) poison_asks: f64,
    /// Whether the halves of the fleet can't reach each other for a while.
    pub(crate) cut: bool,
    /// How often the target of one request after another ends by chance.
    pub(crate) series: usize,
    /// Whether all innocents ask the same.
    pub(crate) same: bool,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            members: 30,
            targets: 59,
            slots: 24,
            rate: 10.0,
            poison_asks: 3.0,
            cut: false,
            series: 0,
            same: false,
            seconds: 60,
            seed: 7,
        }
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) poison_asks: usize,
    /// Sends of the poison once everyone must know.
    pub(crate) more: usize,
    pub(crate) asked: usize,
    /// Innocent runs that were cut.
    pub(crate) cut: usize,
    /// Innocent requests under which three targets ended.
    pub(crate) thrice: usize,
    /// Innocent requests that were told to come back at least once.
    pub(crate) refused: usize,
    /// Innocent requests that were never answered whole.
    pub(crate) lost: usize,
    /// The longest time from an innocent's first refusal to its answer.
    pub(crate) longest: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask { request: usize, member: usize },
    Poison,
    Done { run: usize },
    Ended { run: usize },
    Chance,
    Flush { member: usize },
}

#[derive(Clone, Copy, Debug)]
struct Run {
    request: usize,
    member: usize,
    target: usize,
    start: u64,
    sent: Time,
}

#[derive(Debug, Default)]
struct Request {
    asked: Time,
    refused: Option<Time>,
    ends: usize,
    served: bool,
}

pub(crate) struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    members: Vec<Ledger>,
    names: Vec<(usize, String)>,
    /// When each target is up, its start, and what runs there.
    targets: Vec<(Time, u64, BTreeSet<usize>)>,
    runs: BTreeMap<usize, Run>,
    /// Request 0 is the poison.
    requests: Vec<Request>,
    third: Option<Time>,
    starts: u64,
    sends: usize,
    seen: Seen,
}

impl World {
    pub(crate) fn open(plan: Plan) -> Self {
        let members = (0..plan.members).map(|_| Ledger::default()).collect();
        let names = (0..plan.members).map(|nth| (nth, format!("entry-{nth}"))).collect();
        let targets = (0..plan.targets).map(|nth| (Time::ZERO, nth as u64, BTreeSet::new()));
        Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            members,
            names,
            targets: targets.collect(),
            runs: BTreeMap::new(),
            requests: vec![Request::default()],
            third: None,
            starts: plan.targets as u64,
            sends: 0,
            seen: Seen::default(),
            plan,
        }
    }

    pub(crate) fn play(mut self) -> Seen {
        let end = Duration::from_secs(self.plan.seconds);
        let count = (self.plan.rate * end.as_secs_f64()) as usize;
        for request in 1..=count {
            let asked = end.mul_f64(self.rng.random());
            self.requests.push(Request { asked: Time::ZERO + asked, ..Request::default() });
            let member = self.rng.random_range(0..self.plan.members);
            self.at(asked, Event::Ask { request, member });
        }
        for nth in 0..(self.plan.poison_asks * end.as_secs_f64()) as usize {
            self.at(Duration::from_secs_f64(nth as f64 / self.plan.poison_asks), Event::Poison);
        }
        if self.plan.series > 0 {
            (2..self.plan.seconds / 2).for_each(|s| self.at(Duration::from_secs(s), Event::Chance));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            self.take(event);
        }
        self.seen.asked = count;
        self.seen.thrice = self.requests[1..].iter().filter(|r| r.ends >= SUSPECT).count();
        self.seen.refused = self.requests[1..].iter().filter(|r| r.refused.is_some()).count();
        self.seen.lost = self.requests[1..].iter().filter(|r| !r.served).count();
        self.seen
    }

    fn print(&self, request: usize) -> Fingerprint {
        let body = if self.plan.same { request.min(1) } else { request };
        Fingerprint::of(None, "/maps", body.to_string().as_bytes())
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Ask { request, member } => self.ask(request, member),
            Event::Poison => {
                self.seen.poison_asks += 1;
                let member = self.rng.random_range(0..self.plan.members);
                self.ask(0, member);
            }
            Event::Done { run } => self.done(run),
            Event::Ended { run } => {
                if let Some(run) = self.runs.get(&run).copied() {
                    self.end(run.target);
                }
            }
            Event::Chance => self.end_by_chance(),
            Event::Flush { member } => self.flush(member),
        }
    }

    /// Ends the target of the innocent that has met most ends, where none there has met all of them.
    fn end_by_chance(&mut self) {
        let ends = |run: &&Run| self.requests[run.request].ends;
        let met = |target: usize| {
            let there = self.targets[target].2.iter().map(|run| &self.runs[run]);
            there.map(|run| ends(&run)).max().unwrap_or_default()
        };
        let running = self.runs.values().filter(|run| met(run.target) < self.plan.series);
        if let Some(run) = running.max_by_key(ends).copied() {
            self.end(run.target);
        }
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let cut = self.now >= Time::ZERO + CUT.0 && self.now < Time::ZERO + CUT.1;
        !(self.plan.cut && cut && one % 2 != other % 2)
    }

    fn flush(&mut self, member: usize) {
        let news = self.members[member].take_news(self.now);
        if !news.is_empty() {
            self.tell(member, &news);
        }
        if self.plan.cut && self.now >= Time::ZERO + CUT.1 {
            // Links are open again, and each end tells all that it knows.
            let all = self.members[member].all(self.now, usize::MAX);
            self.tell(member, &all);
        }
    }

    fn tell(&mut self, from: usize, records: &[Record]) {
        for member in (0..self.plan.members).filter(|other| *other != from) {
            if self.reaches(from, member) {
                self.members[member].hear(self.now, records.to_vec());
            }
        }
    }

    fn ask(&mut self, request: usize, member: usize) {
        let verdict = match self.members[member].verdict(self.now, self.print(request)) {
            Verdict::Trial => self.trial(request, member),
            verdict => verdict,
        };
        match verdict {
            Verdict::Refuse(wait) => self.refuse(request, wait),
            Verdict::Clear | Verdict::Trial => self.send(request, member),
        }
    }

    fn trial(&mut self, request: usize, member: usize) -> Verdict {
        let reached: Vec<(usize, String)> =
            self.names.iter().filter(|(nth, _)| self.reaches(member, *nth)).cloned().collect();
        let key = self.print(request).to_string();
        let keeper = rendezvous::rank(&key, &reached, |(_, name)| name)[0].0;
        let record = self.members[member].records(self.now, [self.print(request)]);
        self.members[keeper].hear(self.now, record);
        self.at(TOLD, Event::Flush { member: keeper });
        let print = self.print(request);
        self.members[keeper].try_trial(self.now, print)
    }

    fn refuse(&mut self, request: usize, wait: Duration) {
        if request == 0 {
            return;
        }
        let now = self.now;
        let one = &mut self.requests[request];
        one.refused.get_or_insert(now);
        if now + wait <= one.asked + PATIENCE {
            let member = self.rng.random_range(0..self.plan.members);
            self.at(wait, Event::Ask { request, member });
        }
    }

    fn send(&mut self, request: usize, member: usize) {
        let now = self.now;
        let up = |(_, (from, _, runs)): &(usize, &(Time, u64, BTreeSet<usize>))| {
            *from <= now && runs.len() < self.plan.slots
        };
        let up: Vec<usize> = self.targets.iter().enumerate().filter(up).map(|(n, _)| n).collect();
        let Some(target) = (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())]) else {
            self.at(Duration::from_millis(100), Event::Ask { request, member });
            return;
        };
        if request == 0 && self.third.is_some_and(|third| now > third + STABLE) {
            self.seen.more += 1;
        }
        self.sends += 1;
        let (run, start) = (self.sends, self.targets[target].1);
        self.targets[target].2.insert(run);
        self.runs.insert(run, Run { request, member, target, start, sent: now });
        let lasts = Duration::from_secs_f64(self.rng.random_range(0.2..6.0));
        match request {
            0 => self.at(BEGINS + ENDS, Event::Ended { run }),
            _ => self.at(BEGINS + lasts, Event::Done { run }),
        }
    }

    fn done(&mut self, run: usize) {
        let Some(run_) = self.runs.remove(&run) else { return };
        self.targets[run_.target].2.remove(&run);
        let print = self.print(run_.request);
        self.members[run_.member].note_whole(self.now, print);
        self.at(TOLD, Event::Flush { member: run_.member });
        let now = self.now;
        let one = &mut self.requests[run_.request];
        one.served = true;
        if let Some(refused) = one.refused {
            self.seen.longest = self.seen.longest.max(now.since(refused));
        }
    }

    /// A target ends, and what ran there is sent again by its entry.
    fn end(&mut self, target: usize) {
        self.starts += 1;
        let start = self.starts;
        let (from, next, runs) = &mut self.targets[target];
        (*from, *next) = (self.now + AWAY, start);
        for run in std::mem::take(runs) {
            let Some(run) = self.runs.remove(&run) else { continue };
            let print = self.print(run.request);
            let lasted = self.now.since(run.sent);
            let end = incarnation(run.start);
            self.members[run.member].note_end(self.now, self.now, print, end, lasted);
            self.at(TOLD, Event::Flush { member: run.member });
            self.requests[run.request].ends += 1;
            if run.request == 0 {
                if self.requests[0].ends == SUSPECT {
                    self.third = Some(self.now);
                }
            } else {
                self.seen.cut += 1;
            }
            let Run { request, member, .. } = run;
            self.at(Duration::from_millis(1), Event::Ask { request, member });
        }
    }
}
