//! Simulates entries and targets, some of whose requests crash their targets, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use fireflyhoist_policy::lease::{Start, State, Target};
use fireflyhoist_policy::poison::{Decision, Incarnation, Ledger, Record, SUSPECT_CRASHES};
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time from a record at one entry until the others receive it.
const LINK_DELAY: Duration = Duration::from_millis(30);

/// Time from a request's arrival until its target starts to run it.
const START_DELAY: Duration = Duration::from_millis(300);

/// Time from the start of a poison request until its target crashes.
const CRASH_DELAY: Duration = Duration::from_millis(100);

/// How long a target is down after a crash.
const DOWNTIME: Duration = Duration::from_secs(3);

/// Time after the third crash within which all entries must know that a request is suspect.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// How long a caller retries a refused request.
const PATIENCE: Duration = Duration::from_secs(90);

/// Start and end of the partition between the two halves of the entries.
const PARTITION: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(20));

/// A target as the registry lists it.
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
        slots: 0,
        software: None,
        start: start.map(Start::new),
    }
}

/// The `nth` start of some target.
pub(crate) fn incarnation(nth: u64) -> Incarnation {
    Incarnation::of(&target("t", Some(nth)))
}

/// What is simulated.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) entries: usize,
    pub(crate) targets: usize,
    pub(crate) slots: usize,
    /// Innocent requests a second.
    pub(crate) rate: f64,
    /// Poison requests a second, each at a random entry.
    pub(crate) poison_rate: f64,
    /// Whether the two halves of the entries can't reach each other for a while.
    pub(crate) partition: bool,
    /// When all entries lose power together, and with it all that they know.
    pub(crate) power_loss: Option<Duration>,
    /// Number of unrelated crashes in a row that hit the same innocent request; 0 for no such
    /// crashes.
    pub(crate) unrelated_crashes: usize,
    /// Whether all innocent requests are identical.
    pub(crate) identical: bool,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            entries: 30,
            targets: 59,
            slots: 24,
            rate: 10.0,
            poison_rate: 3.0,
            partition: false,
            power_loss: None,
            unrelated_crashes: 0,
            identical: false,
            seconds: 60,
            seed: 7,
        }
    }
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    pub(crate) poison_requests: usize,
    /// Sends of the poison request after all entries must know that it is suspect.
    pub(crate) late_sends: usize,
    /// Innocent requests.
    pub(crate) requests: usize,
    /// Innocent runs that a crash aborted.
    pub(crate) aborted: usize,
    /// Innocent requests that were running during [`SUSPECT_CRASHES`] crashes.
    pub(crate) suspects: usize,
    /// Innocent requests that were refused at least once.
    pub(crate) refused: usize,
    /// Innocent requests that were never answered completely.
    pub(crate) unserved: usize,
    /// The longest time from the first refusal of an innocent request to its answer.
    pub(crate) longest: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { request: usize, entry: usize },
    ArrivePoison,
    Complete { run: usize },
    Crash { run: usize },
    UnrelatedCrash,
    PowerLoss,
    Flush { entry: usize },
}

#[derive(Clone, Copy, Debug)]
struct Run {
    request: usize,
    entry: usize,
    target: usize,
    start: u64,
    sent: Time,
}

#[derive(Debug, Default)]
struct Request {
    arrived: Time,
    refused: Option<Time>,
    crashes: usize,
    served: bool,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    entries: Vec<Ledger>,
    names: Vec<(usize, String)>,
    /// For each target the time from which it is up, its start, and what runs there.
    targets: Vec<(Time, u64, BTreeSet<usize>)>,
    runs: BTreeMap<usize, Run>,
    /// Request 0 is the poison request.
    requests: Vec<Request>,
    /// When the poison request crashed its third target.
    third_crash: Option<Time>,
    starts: u64,
    sends: usize,
    summary: Summary,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let entries = (0..scenario.entries).map(|_| Ledger::default()).collect();
        let names = (0..scenario.entries).map(|nth| (nth, format!("entry-{nth}"))).collect();
        let targets = (0..scenario.targets).map(|nth| (Time::ZERO, nth as u64, BTreeSet::new()));
        Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries,
            names,
            targets: targets.collect(),
            runs: BTreeMap::new(),
            requests: vec![Request::default()],
            third_crash: None,
            starts: scenario.targets as u64,
            sends: 0,
            summary: Summary::default(),
            scenario,
        }
    }

    pub(crate) fn run(mut self) -> Summary {
        let end = Duration::from_secs(self.scenario.seconds);
        let count = (self.scenario.rate * end.as_secs_f64()) as usize;
        for request in 1..=count {
            let arrival = end.mul_f64(self.rng.random());
            self.requests.push(Request { arrived: Time::ZERO + arrival, ..Request::default() });
            let entry = self.rng.random_range(0..self.scenario.entries);
            self.schedule(arrival, Event::Arrive { request, entry });
        }
        let poison_rate = self.scenario.poison_rate;
        for nth in 0..(poison_rate * end.as_secs_f64()) as usize {
            self.schedule(Duration::from_secs_f64(nth as f64 / poison_rate), Event::ArrivePoison);
        }
        if self.scenario.unrelated_crashes > 0 {
            (2..self.scenario.seconds / 2)
                .for_each(|s| self.schedule(Duration::from_secs(s), Event::UnrelatedCrash));
        }
        if let Some(after) = self.scenario.power_loss {
            self.schedule(after, Event::PowerLoss);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            self.handle(event);
        }
        let innocent = &self.requests[1..];
        self.summary.requests = count;
        self.summary.suspects = innocent.iter().filter(|r| r.crashes >= SUSPECT_CRASHES).count();
        self.summary.refused = innocent.iter().filter(|r| r.refused.is_some()).count();
        self.summary.unserved = innocent.iter().filter(|r| !r.served).count();
        self.summary
    }

    fn fingerprint(&self, request: usize) -> Fingerprint {
        let body = if self.scenario.identical { request.min(1) } else { request };
        Fingerprint::of(None, "/maps", body.to_string().as_bytes())
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request, entry } => self.arrive(request, entry),
            Event::ArrivePoison => {
                self.summary.poison_requests += 1;
                let entry = self.rng.random_range(0..self.scenario.entries);
                self.arrive(0, entry);
            }
            Event::Complete { run } => self.complete(run),
            Event::Crash { run } => {
                if let Some(run) = self.runs.get(&run).copied() {
                    self.crash(run.target);
                }
            }
            Event::UnrelatedCrash => self.crash_unrelated(),
            Event::PowerLoss => self.lose_power(),
            Event::Flush { entry } => self.flush(entry),
        }
    }

    /// Crashes the target of the innocent request with the most crashes, among targets that run no
    /// request with all `unrelated_crashes` of them.
    fn crash_unrelated(&mut self) {
        let crashes = |run: &&Run| self.requests[run.request].crashes;
        let most = |target: usize| {
            let there = self.targets[target].2.iter().map(|run| &self.runs[run]);
            there.map(|run| crashes(&run)).max().unwrap_or_default()
        };
        let max = self.scenario.unrelated_crashes;
        let running = self.runs.values().filter(|run| most(run.target) < max);
        if let Some(run) = running.max_by_key(crashes).copied() {
            self.crash(run.target);
        }
    }

    /// Ends what all entries know and what runs for them; no target crashes.
    fn lose_power(&mut self) {
        self.entries = (0..self.scenario.entries).map(|_| Ledger::default()).collect();
        self.runs.clear();
        self.targets.iter_mut().for_each(|(_, _, runs)| runs.clear());
    }

    fn is_reachable(&self, one: usize, other: usize) -> bool {
        let parted = self.now >= Time::ZERO + PARTITION.0 && self.now < Time::ZERO + PARTITION.1;
        !(self.scenario.partition && parted && one % 2 != other % 2)
    }

    fn flush(&mut self, entry: usize) {
        let updates = self.entries[entry].take_updates(self.now);
        if !updates.is_empty() {
            self.broadcast(entry, &updates);
        }
        if self.scenario.partition && self.now >= Time::ZERO + PARTITION.1 {
            // The links are open again, and each end sends a snapshot.
            let all = self.entries[entry].snapshot(self.now, usize::MAX);
            self.broadcast(entry, &all);
        }
    }

    fn broadcast(&mut self, from: usize, records: &[Record]) {
        for entry in (0..self.scenario.entries).filter(|other| *other != from) {
            if self.is_reachable(from, entry) {
                self.entries[entry].apply(self.now, records.to_vec());
            }
        }
    }

    fn arrive(&mut self, request: usize, entry: usize) {
        let decision = match self.entries[entry].decide(self.now, self.fingerprint(request)) {
            Decision::Trial => self.request_trial(request, entry),
            decision => decision,
        };
        match decision {
            Decision::Refuse(wait) => self.refuse(request, wait),
            Decision::Allow | Decision::Trial => self.send(request, entry),
        }
    }

    fn request_trial(&mut self, request: usize, entry: usize) -> Decision {
        let reached: Vec<(usize, String)> =
            self.names.iter().filter(|(nth, _)| self.is_reachable(entry, *nth)).cloned().collect();
        let key = self.fingerprint(request).to_string();
        let owner = rendezvous::rank(&key, &reached, |(_, name)| name)[0].0;
        let record = self.entries[entry].records(self.now, [self.fingerprint(request)]);
        self.entries[owner].apply(self.now, record);
        self.schedule(LINK_DELAY, Event::Flush { entry: owner });
        let fingerprint = self.fingerprint(request);
        self.entries[owner].try_trial(self.now, fingerprint)
    }

    fn refuse(&mut self, request: usize, wait: Duration) {
        if request == 0 {
            return;
        }
        let now = self.now;
        let one = &mut self.requests[request];
        one.refused.get_or_insert(now);
        if now + wait <= one.arrived + PATIENCE {
            let entry = self.rng.random_range(0..self.scenario.entries);
            self.schedule(wait, Event::Arrive { request, entry });
        }
    }

    fn send(&mut self, request: usize, entry: usize) {
        let now = self.now;
        let up = |(_, (from, _, runs)): &(usize, &(Time, u64, BTreeSet<usize>))| {
            *from <= now && runs.len() < self.scenario.slots
        };
        let up: Vec<usize> = self.targets.iter().enumerate().filter(up).map(|(n, _)| n).collect();
        let Some(target) = (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())]) else {
            self.schedule(Duration::from_millis(100), Event::Arrive { request, entry });
            return;
        };
        let settled = |since: Time| now > since + PROPAGATION_LIMIT;
        let lost_power = self.scenario.power_loss.map(|after| Time::ZERO + after);
        // Entries that have just started may not have found each other.
        let in_touch = lost_power.is_none_or(|at| now < at || settled(at));
        if request == 0 && in_touch && self.third_crash.is_some_and(settled) {
            self.summary.late_sends += 1;
        }
        self.sends += 1;
        let (run, start) = (self.sends, self.targets[target].1);
        self.targets[target].2.insert(run);
        self.runs.insert(run, Run { request, entry, target, start, sent: now });
        let run_time = Duration::from_secs_f64(self.rng.random_range(0.2..6.0));
        match request {
            0 => self.schedule(START_DELAY + CRASH_DELAY, Event::Crash { run }),
            _ => self.schedule(START_DELAY + run_time, Event::Complete { run }),
        }
    }

    fn complete(&mut self, id: usize) {
        let Some(run) = self.runs.remove(&id) else { return };
        self.targets[run.target].2.remove(&id);
        let fingerprint = self.fingerprint(run.request);
        self.entries[run.entry].record_completion(self.now, fingerprint);
        self.schedule(LINK_DELAY, Event::Flush { entry: run.entry });
        let now = self.now;
        let one = &mut self.requests[run.request];
        one.served = true;
        if let Some(refused) = one.refused {
            self.summary.longest = self.summary.longest.max(now.since(refused));
        }
    }

    /// Crashes a target, whose entries send again what was running there.
    fn crash(&mut self, target: usize) {
        self.starts += 1;
        let start = self.starts;
        let (from, next, runs) = &mut self.targets[target];
        (*from, *next) = (self.now + DOWNTIME, start);
        for run in std::mem::take(runs) {
            let Some(run) = self.runs.remove(&run) else { continue };
            let fingerprint = self.fingerprint(run.request);
            let run_time = self.now.since(run.sent);
            let crashed = incarnation(run.start);
            let ledger = &mut self.entries[run.entry];
            ledger.record_crash(self.now, self.now, fingerprint, crashed, run_time);
            self.schedule(LINK_DELAY, Event::Flush { entry: run.entry });
            self.requests[run.request].crashes += 1;
            if run.request == 0 {
                if self.requests[0].crashes == SUSPECT_CRASHES {
                    self.third_crash = Some(self.now);
                }
            } else {
                self.summary.aborted += 1;
            }
            let Run { request, entry, .. } = run;
            self.schedule(Duration::from_millis(1), Event::Arrive { request, entry });
        }
    }
}
