//! The gate of one service: whom to send where, who waits, who is refused.
//!
//! One gate serves one service in one process; the daemon keeps each under a lock of its own and
//! carries out what it decides. Virtual-time benches drive the very same type. The gate only
//! composes: each decision stands in a module of its own, which names the load pattern that it
//! answers. `docs/DECISIONS.md` has the runs.

mod carry;
mod place;
mod settings;
mod targets;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::Rng;

pub use crate::ask::{Ask, Class, Grounds, Outcome, Reason, Refusal, Report, Verdict};
use crate::curve::Curve;
use crate::drain::Drain;
use crate::id;
use crate::late;
use crate::length::{Book, Mark};
use crate::newcomer::Order;
use crate::observation::{Observer, Outcome as Ending};
use crate::outlier::{Detector, Ejection, Sample};
use crate::placement::Candidate;
use crate::queue::{BOUND, Item, Queue};
use crate::retry;
use crate::slot::Slot;
use crate::time::Time;
use crate::unit::Tokens;
use crate::usage::Usage;

pub use carry::Holding;
pub use settings::Settings;

/// A prompt token costs an engine a twentieth of a generated one: prompts are computed in bulk.
const PROMPT_WORK: f64 = 0.05;

/// From sending to the first token; kept off a caller's patience when its wait is foretold.
const START: Duration = Duration::from_millis(500);

/// Foretold waits are stretched by this, since requests that come later may go first and one
/// entry's drain swings: at 1.2 some 2 in 100 accepted requests of `overload` missed their
/// deadlines, at 1.5 some 0.5.
const CAUTION: f64 = 1.5;

/// A refused caller is told to come back no sooner and no later than this.
const RETRY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// Tokens of which the mean time between them tells how fast their engine is. Each stream is one
/// sample after another: one sample an answer takes a minute to judge an engine of twelve.
const JUDGED: u64 = 16;

/// The part of a new prompt in the mean of prompts: some tens of them count.
const PROMPT_PART: f64 = 1.0 / 32.0;

/// Tokens that the largest engine is taken to hold before any has reported.
const UNREPORTED: u64 = 100;

#[derive(Debug)]
struct Running {
    slot: usize,
    ask: Ask,
    curve: Curve,
    mark: Mark,
    /// Work counted to its workspace so far.
    work: f64,
    produced: u64,
    sent: Time,
    first: Option<Time>,
    latest: Time,
    /// Tokens, and when, at the latest sample of its engine's speed.
    judged: (u64, Time),
    /// Why its target was chosen.
    grounds: Grounds,
}

/// Decides for one service.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    /// Entries of the published list, and which of them this one is.
    entries: (usize, Option<usize>),
    slots: Vec<Slot>,
    index: BTreeMap<id::Target, usize>,
    running: HashMap<id::Request, Running>,
    queue: Queue,
    drain: Drain,
    book: Book,
    usage: Usage,
    /// The sum of all running answers' curves.
    all: Curve,
    /// The curve of the latest request sent, as a measure of an average new one.
    fresh: Curve,
    detector: Detector,
    retries: retry::Budget,
    weighed: Time,
    /// Tokens that all entries hold at all targets, as of the latest look.
    held: f64,
    sends: u64,
    /// Tokens that the largest engine seen holds; no answer outgrows it.
    largest: u64,
    /// Tokens of the mean prompt.
    ordinary: f64,
    order: Order,
    candidates: Vec<Candidate>,
    fitting: Vec<usize>,
}

impl Default for Gate {
    fn default() -> Self {
        Self::open(Settings::default())
    }
}

impl Gate {
    /// Opens a gate that knows no target yet.
    pub fn open(settings: Settings) -> Self {
        let queue = Queue::open(settings.fair).with_spare_last(settings.late);
        let retries = retry::Budget::of(settings.retries);
        Self {
            settings,
            entries: (1, None),
            slots: Vec::new(),
            index: BTreeMap::new(),
            running: HashMap::new(),
            queue,
            drain: Drain::default(),
            book: Book::open(),
            usage: Usage::default(),
            all: Curve::default(),
            fresh: Curve::default(),
            detector: Detector::open(),
            retries,
            weighed: Time::ZERO,
            held: 0.0,
            sends: 0,
            largest: UNREPORTED,
            ordinary: 0.0,
            order: Order::default(),
            candidates: Vec::new(),
            fitting: Vec::new(),
        }
    }

    /// Sets the weights of workspaces among the others; those not named weigh one.
    pub fn set_weights(&mut self, weights: BTreeMap<id::Workspace, f64>) {
        self.queue.set_weights(weights);
    }

    /// Sets how many second attempts this entry may make.
    pub fn set_retries(&mut self, terms: retry::Terms) {
        self.retries.set_terms(terms);
    }

    /// Sets the time between tokens that live callers are promised.
    pub fn set_between(&mut self, between: Duration) {
        self.settings.between = between;
    }

    /// Decides on a new request, or on a further attempt of one that failed before its answer.
    pub fn offer(&mut self, now: Time, rng: &mut impl Rng, ask: Ask) -> Verdict {
        self.weigh(now);
        self.drain.pass(now, !self.queue.is_empty());
        let again = ask.repeat;
        if let Some(verdict) = self.without_targets(rng) {
            return verdict;
        }
        if again
            && (ask.class != Class::Overnight || self.settings.charge_all)
            && !self.retries.try_take()
        {
            return refuse(rng, Reason::RetryBudget, RETRY.0);
        }
        if is_lookup(&ask) {
            return match self.place_lookup(now, rng, &ask) {
                Some(at) => self.send(now, at, ask, 0.0),
                None => self.nowhere(now, rng),
            };
        }
        let ask = self.classed(now, ask);
        let work = self.work(&ask);
        let curve = self.curve(&ask, 0);
        if self.queue.is_clear(ask.class)
            && let Some(at) = self.place(now, rng, &ask, &curve)
        {
            return self.send(now, at, ask, work);
        }
        if !again && let Some(verdict) = self.refusal(now, rng, &ask, work) {
            return verdict;
        }
        self.queue.push(now, Item { ask, work }, again);
        Verdict::Wait
    }

    /// The same request, among the late ones where it can't begin on time any more.
    fn classed(&self, now: Time, ask: Ask) -> Ask {
        let late = self.settings.late && ask.objective < now + START;
        let class = if late { Class::Spare } else { ask.class };
        Ask { class, ..ask }
    }

    /// Whether a running request may be begun anew elsewhere; draws on the retry budget.
    pub fn try_repeat(&mut self) -> bool {
        self.retries.try_take()
    }

    /// What decided where a running request was sent.
    pub fn grounds(&self, request: id::Request) -> Option<Grounds> {
        self.running.get(&request).map(|running| running.grounds)
    }

    /// Notes that a running request has produced `produced` tokens in all, the latest just now.
    pub fn progress(&mut self, now: Time, request: id::Request, produced: Tokens) {
        let produced = produced.get();
        let Some(running) = self.running.get_mut(&request) else { return };
        if produced <= running.produced {
            return;
        }
        let slot = &mut self.slots[running.slot];
        let gap =
            now.since(running.latest) / u32::try_from(produced - running.produced).unwrap_or(1);
        match running.first {
            None => {
                running.first = Some(now);
                running.judged = (produced, now);
                slot.begun(running.ask.prompt.get());
                self.detector.answered(now, &slot.name);
            }
            Some(_) => {
                slot.pace.sample(now, gap, slot.room.all_streams(), self.settings.between);
                let (from, since) = running.judged;
                if produced >= from + JUDGED {
                    running.judged = (produced, now);
                    let tokens = u32::try_from(produced - from).unwrap_or(u32::MAX);
                    let sample = Sample::Latency(now.since(since) / tokens);
                    self.detector.record(now, &slot.name, sample);
                }
            }
        }
        running.latest = now;
        running.produced = produced;
        let workspace = running.ask.workspace.clone();
        self.book.advance(&workspace, &mut running.mark, produced);
        self.redraw(now, request);
    }

    /// Replaces a running answer's curve by one that knows how far it has come.
    fn redraw(&mut self, now: Time, request: id::Request) {
        let Some(running) = self.running.get(&request) else { return };
        let new = self.curve(&running.ask, running.produced);
        let Some(running) = self.running.get_mut(&request) else { return };
        let old = std::mem::replace(&mut running.curve, new);
        self.slots[running.slot].room.update(now, &old, &new);
        self.all.remove(&old);
        self.all.add(&new);
        self.usage.add(&running.ask.workspace, f64::from(new.now() - old.now()));
        // An answer longer than predicted weighs on its workspace as it grows.
        let work = PROMPT_WORK * running.ask.prompt.get() as f64 + running.produced as f64;
        if work > running.work {
            self.queue.charge(&running.ask.workspace, work - running.work);
            running.work = work;
        }
    }

    /// Notes that an attempt ended and frees what it held; a queued request is forgotten.
    pub fn finish(&mut self, now: Time, request: id::Request, outcome: Outcome) {
        let Some(running) = self.running.remove(&request) else {
            self.drain.pass(now, !self.queue.is_empty());
            self.queue.remove(request);
            return;
        };
        let workspace = &running.ask.workspace;
        let slot = &mut self.slots[running.slot];
        slot.room.free(now, &running.curve);
        if running.first.is_none() {
            slot.begun(running.ask.prompt.get());
        }
        self.all.remove(&running.curve);
        self.usage.add(workspace, -f64::from(running.curve.now()));
        let done = PROMPT_WORK * running.ask.prompt.get() as f64 + running.produced as f64;
        self.queue.charge(workspace, done - running.work);
        match outcome {
            Outcome::Whole => {
                self.retries.earn();
                self.book.end(workspace, running.mark, running.produced);
                if is_lookup(&running.ask) {
                    let sample = Sample::Latency(now.since(running.sent));
                    self.detector.record(now, &slot.name, sample);
                    self.detector.answered(now, &slot.name);
                }
            }
            Outcome::Failed => {
                slot.pause(now);
                self.detector.record(now, &slot.name, Sample::Failed);
            }
            Outcome::Faulty => self.detector.record(now, &slot.name, Sample::Failed),
            Outcome::Cancelled => {}
        }
    }

    /// Decides on queued requests whose turn or deadline has come.
    pub fn poll(&mut self, now: Time, rng: &mut impl Rng) -> Vec<(id::Request, Verdict)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        self.weigh(now);
        self.drain.pass(now, true);
        self.queue.demote(now, START);
        let mut decided = Vec::new();
        if self.slots.iter().any(|slot| slot.cordoned)
            && let Some(verdict) = self.without_targets(rng)
        {
            let waiting = self.queue.drain();
            return waiting.into_iter().map(|item| (item.ask.request, verdict.clone())).collect();
        }
        for item in self.queue.expire(now) {
            let wait = self.drain.wait(self.queue.ahead(item.ask.class, &item.ask.workspace, 0.0));
            let verdict = refuse(rng, Reason::Deadline, wait.unwrap_or(RETRY.0));
            decided.push((item.ask.request, verdict));
        }
        while let Some((request, verdict)) = self.serve_next(now, rng) {
            decided.push((request, verdict));
        }
        if self.settings.late {
            for item in self.queue.outstayed(now, START, late::LINGER) {
                let retry_after = late::come_back(rng);
                let refusal = Refusal { reason: Reason::Late, retry_after };
                decided.push((item.ask.request, Verdict::Refuse(refusal)));
            }
        }
        decided
    }

    /// Sends the next request that fits somewhere.
    fn serve_next(&mut self, now: Time, rng: &mut impl Rng) -> Option<(id::Request, Verdict)> {
        for (class, workspace) in self.queue.turns() {
            let ask = self.queue.head(class, &workspace)?.ask.clone();
            let curve = self.curve(&ask, 0);
            if let Some(at) = self.place(now, rng, &ask, &curve) {
                let item = self.queue.pop(now, class, &workspace)?;
                self.drain.take(item.work);
                return Some((ask.request, self.send(now, at, item.ask, item.work)));
            }
        }
        None
    }

    /// Takes in how a request of another entry ended at a target.
    pub fn hear(&mut self, now: Time, target: &id::Target, from: Observer, outcome: Ending) {
        self.detector.hear(now, target, from, outcome);
    }

    /// How requests ended at targets, as far as other entries should hear of it.
    pub fn take_endings(&mut self) -> Vec<(id::Target, Ending)> {
        self.detector.take_news()
    }

    /// Why a target gets no new work now; `None` where it does.
    pub fn ejection(&self, now: Time, target: &id::Target) -> Option<Ejection> {
        self.detector.ejection(now, target)
    }

    /// When [`Gate::poll`] has something to do next, if nothing else happens.
    pub fn next_poll(&self) -> Option<Time> {
        self.queue.next_deadline()
    }

    fn work(&self, ask: &Ask) -> f64 {
        let expected = self.book.law(&ask.workspace).expected(0, ask.limit.get());
        PROMPT_WORK * ask.prompt.get() as f64 + f64::from(expected)
    }

    fn curve(&self, ask: &Ask, produced: u64) -> Curve {
        let (prompt, limit) = (ask.prompt.get(), ask.limit.get().min(self.largest));
        if is_lookup(ask) {
            return Curve::default();
        }
        match self.settings.length {
            true => Curve::of(self.book.law(&ask.workspace), prompt, produced, limit),
            false => Curve::reserved(prompt, limit),
        }
    }

    /// Says no at once where the answer would not begin in time.
    fn refusal(&mut self, now: Time, rng: &mut impl Rng, ask: &Ask, work: f64) -> Option<Verdict> {
        let ahead = self.queue.ahead(ask.class, &ask.workspace, work);
        let own = self.queue.own_wait(now, ask.class, &ask.workspace, work);
        let wait = self.drain.wait(ahead).max(own).map(|wait| wait.mul_f64(CAUTION) + START);
        if self.queue.len() >= BOUND {
            let retry = self.drain.wait(work).unwrap_or(RETRY.0);
            return Some(refuse(rng, Reason::QueueFull, retry));
        }
        let patience = ask.deadline.since(now);
        let late = wait.filter(|wait| self.settings.refuse && *wait > patience)?;
        Some(refuse(rng, Reason::Deadline, late - patience))
    }

    fn note_prompt(&mut self, ask: &Ask) {
        let prompt = ask.prompt.get() as f64;
        if is_lookup(ask) {
            return;
        }
        let part = if self.ordinary > 0.0 { PROMPT_PART } else { 1.0 };
        self.ordinary += (prompt - self.ordinary) * part;
    }

    fn send(&mut self, now: Time, at: usize, ask: Ask, work: f64) -> Verdict {
        let curve = self.curve(&ask, 0);
        self.note_prompt(&ask);
        let slot = &mut self.slots[at];
        let grounds = Grounds {
            load: slot.room.load(),
            streams: slot.room.all_streams(),
            unread: Tokens::new(slot.waiting()),
            age: now.since(slot.room.taken()),
            late: ask.class == Class::Spare,
        };
        slot.room.send(now, &curve);
        slot.begins(ask.prompt.get());
        self.sends += 1;
        slot.turn = self.sends;
        let target = slot.name.clone();
        self.all.add(&curve);
        self.fresh = curve;
        self.usage.add(&ask.workspace, f64::from(curve.now()));
        self.queue.charge(&ask.workspace, work);
        let mark = self.book.begin(&ask.workspace);
        let request = ask.request;
        let running = Running {
            slot: at,
            ask,
            curve,
            mark,
            work,
            produced: 0,
            sent: now,
            first: None,
            latest: now,
            judged: (0, now),
            grounds,
        };
        self.running.insert(request, running);
        Verdict::Send(target)
    }
}

fn is_lookup(ask: &Ask) -> bool {
    ask.class == Class::Lookup || ask.limit == Tokens::default()
}

/// A refusal with a time to come back that is spread, so that those refused together don't return
/// together.
fn refuse(rng: &mut impl Rng, reason: Reason, after: Duration) -> Verdict {
    let spread = rng.random_range(1.0..1.5);
    let retry_after = after.clamp(RETRY.0, RETRY.1).mul_f64(spread);
    Verdict::Refuse(Refusal { reason, retry_after })
}
