//! Admission and routing for one service: whether a request is sent, queued or refused, and to
//! which target it is sent.
//!
//! One gate serves one service in one process. The daemon keeps each gate under a lock of its own
//! and carries out its decisions; simulations in virtual time drive the same type. The gate only
//! composes mechanisms that have modules of their own: memory prediction, fair queueing, shares,
//! placement, outlier ejection and retry budgets.

mod migration;
mod pace;
mod place;
mod rank;
mod reservation;
mod settings;
mod shares;
mod targets;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::curve::Curve;
use crate::fleet_share::{Heavies, Shares};
use crate::forecast::Forecast;
use crate::id;
use crate::length::{Predictor, Progress};
use crate::locality;
use crate::observation::{self, Observer};
use crate::outlier::{self, Detector, Ejection, Sample};
use crate::pace::{Sighting, Usual};
use crate::placement::Candidate;
use crate::queue::{CAPACITY, Item, Queue};
pub use crate::request::{Class, Outcome, Placement, Reason, Refusal, Report, Request, Verdict};
use crate::resubmission::Resubmission;
use crate::retry;
use crate::shedding;
use crate::stagger::Order;
use crate::target;
use crate::throughput::Meter;
use crate::time::Time;
use crate::unit::Tokens;
use crate::usage::Usage;

use pace::Choice;

pub use migration::Holding;
pub use settings::Settings;
pub use targets::{Listing, TargetUpdate};

/// Work of one prompt token, where a generated token is 1: engines compute the tokens of a prompt
/// in bulk.
const PROMPT_TOKEN_WORK: f64 = 0.05;

/// Time from sending a request to its first token, as assumed where waits and missed objectives are
/// predicted.
const FIRST_TOKEN: Duration = Duration::from_millis(500);

/// Factor on predicted waits: requests that arrive later may be served first, and the drain rate of
/// one entry fluctuates. Under overload, 2 in 100 accepted requests miss their deadlines with 1.2,
/// and 0.5 in 100 with 1.5.
const WAIT_FACTOR: f64 = 1.5;

/// Shortest and longest retry delay of a refusal, before it is spread.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// Tokens of one stream that make one latency sample of its engine: the sample is the mean time
/// between them. A stream yields one sample after another, since with one sample an answer it takes
/// a minute to judge an engine that runs twelve streams.
const SAMPLE_TOKENS: u64 = 16;

/// Weight of a new prompt in the moving average of prompt lengths, so that some tens of prompts
/// count.
const PROMPT_SMOOTHING: f64 = 1.0 / 32.0;

/// Capacity in tokens that is assumed for the largest engine until one has reported.
const UNREPORTED_CAPACITY: u64 = 100;

#[derive(Debug)]
struct Running {
    target: usize,
    request: Request,
    curve: Curve,
    progress: Progress,
    /// Work charged to its workspace so far.
    work: f64,
    produced: u64,
    sent: Time,
    first: Option<Time>,
    latest: Time,
    /// Tokens produced, and the time, at the latest latency sample of its engine.
    sampled: (u64, Time),
    /// State of its target when it was chosen.
    placement: Placement,
    /// Whether it had waited in the queue before.
    waited: bool,
    /// Whether prompts waited at its target at the latest event; `None` before the first event at
    /// that target.
    prompts_waited: Option<bool>,
    /// Whether a pause in it was longer than its route allows.
    interrupted: bool,
    /// Whether it counts among the answers that can be interrupted.
    interruptible: bool,
}

/// Decides on the requests of one service; see the [module](self).
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    /// Length of the published list of entries, and the position of this entry in it.
    entries: (usize, Option<usize>),
    targets: Vec<target::State>,
    index: BTreeMap<id::Target, usize>,
    /// The targets whose version of software few have.
    scarce: BTreeSet<id::Target>,
    running: HashMap<id::Request, Running>,
    queue: Queue,
    drain: Meter,
    /// When late requests can be expected to begin.
    forecast: Forecast,
    /// Requests that more urgent ones displaced from the queue and that are to be told.
    displaced: Vec<(id::Request, Verdict)>,
    lengths: Predictor,
    usage: Usage,
    /// What workspaces use through the other entries.
    others: Shares,
    heavies: Heavies,
    /// The part of the targets at which heavy workspaces leave the reserve free.
    reserved: f64,
    /// Sum of the curves of all running answers.
    own: Curve,
    /// Curve of the request sent last, which stands for an average new request.
    typical: Curve,
    detector: Detector,
    retries: retry::Budget,
    weights_read: Time,
    /// Tokens that all entries together hold at all targets, as of the latest call of
    /// [`Gate::refresh_weights`].
    held: f64,
    sends: u64,
    /// Until when no queued request is placed, since owners deferred one several times in a row.
    deferred_until: Time,
    /// Capacity in tokens of the largest engine that has reported; no answer can be longer.
    largest_capacity: u64,
    /// Moving average of the prompt length in tokens; zero before the first prompt.
    mean_prompt: f64,
    order: Arc<Order>,
    /// The longest pause that the routes of the service allow.
    longest_pause: Option<Duration>,
    /// Tokens of one event.
    event_tokens: u32,
    usual: Usual,
    /// Targets whose pace this entry has observed lately, and when.
    observed: HashMap<id::Target, Time>,
    /// Until when targets count as uneven.
    uneven_until: Time,
    /// What events have shown since [`Gate::take_sighting`].
    sighting: Sighting,
    candidates: Vec<Candidate>,
    candidate_targets: Vec<usize>,
    /// The indexes of all targets, in the order of the last draw.
    draw_order: Vec<usize>,
    /// The failure domain of this entry, if known.
    domain: Option<id::Domain>,
    /// The targets in this domain.
    near: locality::Index,
    /// Mean time of the answers of all targets to plain requests.
    answers: locality::Mean,
}

impl Default for Gate {
    fn default() -> Self {
        Self::open(Settings::default())
    }
}

impl Gate {
    /// Creates a gate without targets.
    pub fn open(settings: Settings) -> Self {
        let mut queue = Queue::open(settings.fair).with_spare_last(settings.shed_late);
        queue.set_fleet_shares(settings.fleet_shares);
        queue.set_ranked(settings.ranks);
        let retries = retry::Budget::with_limits(settings.retries);
        let mut detector = Detector::new();
        detector.set_objective(settings.token_interval);
        Self {
            settings,
            entries: (1, None),
            targets: Vec::new(),
            index: BTreeMap::new(),
            scarce: BTreeSet::new(),
            running: HashMap::new(),
            queue,
            drain: Meter::default(),
            forecast: Forecast::default(),
            displaced: Vec::new(),
            lengths: Predictor::open(),
            usage: Usage::default(),
            others: Shares::default(),
            heavies: Heavies::default(),
            reserved: 1.0,
            own: Curve::default(),
            typical: Curve::default(),
            detector,
            retries,
            weights_read: Time::ZERO,
            held: 0.0,
            sends: 0,
            deferred_until: Time::ZERO,
            largest_capacity: UNREPORTED_CAPACITY,
            mean_prompt: 0.0,
            order: Arc::default(),
            longest_pause: None,
            event_tokens: 1,
            usual: Usual::default(),
            observed: HashMap::new(),
            uneven_until: Time::ZERO,
            sighting: Sighting::default(),
            candidates: Vec::new(),
            candidate_targets: Vec::new(),
            draw_order: Vec::new(),
            domain: None,
            near: locality::Index::default(),
            answers: locality::Mean::default(),
        }
    }

    /// Sets the fair-queueing weights of workspaces; those without a weight have weight 1.
    pub fn set_weights(&mut self, weights: BTreeMap<id::Workspace, f64>) {
        self.queue.set_weights(weights);
    }

    /// Sets the budget of this entry for retries.
    pub fn set_retries(&mut self, limits: retry::Limits) {
        self.retries.set_limits(limits);
    }

    /// Switches mechanisms for contended targets on or off. What runs or waits stays as it is.
    pub fn set_scheduling(&mut self, update: impl FnOnce(&mut Settings)) {
        update(&mut self.settings);
        self.apply_fleet_shares();
        self.queue.set_ranked(self.settings.ranks);
    }

    /// Sets the objective for the time between tokens of live generations.
    pub fn set_token_interval(&mut self, token_interval: Duration) {
        self.settings.token_interval = token_interval;
        self.detector.set_objective(token_interval);
    }

    /// Sets the objective for the time to an answer, for a service without generations.
    pub fn set_answer_objective(&mut self, objective: Duration) {
        self.detector.set_objective(objective);
    }

    /// Decides on a new request, or on a retry of one that failed before its answer began.
    pub fn offer(&mut self, now: Time, rng: &mut impl Rng, request: Request) -> Verdict {
        self.offer_returned(now, rng, request, None)
    }

    /// Decides on a request as [`Gate::offer`] does, with its earlier attempts if it was refused
    /// before.
    pub fn offer_returned(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: Request,
        earlier: Option<Resubmission>,
    ) -> Verdict {
        self.refresh_weights(now);
        self.drain.advance(now, !self.queue.is_empty());
        let again = request.retry;
        if let Some(verdict) = self.refuse_without_targets(rng) {
            return verdict;
        }
        if again
            && (request.class != Class::Overnight || self.settings.charge_overnight)
            && !self.retries.try_take()
        {
            return refuse(rng, Reason::RetryBudget, RETRY_AFTER.0);
        }
        if is_lookup(&request) {
            return match self.place_lookup(now, rng, &request) {
                Some(at) => self.send(now, at, request, 0.0),
                None => self.refuse_unavailable(now, rng),
            };
        }
        let request = self.classify(now, request);
        let work = self.work(&request);
        let curve = self.curve(&request, 0);
        let level = self.queue.level(&request);
        self.advance_forecast(now);
        let choice = match self.queue.may_pass(level) {
            true => self.place(now, rng, &request, &curve),
            false => Choice::Full,
        };
        if let Choice::At(at) = choice {
            self.queue.record_pass(level, &request.workspace);
            return self.send(now, at, request, work);
        }
        if let Some((left, why)) = self.first_suspension(now)
            && request.deadline <= now + left
        {
            return targets::refuse_suspended(rng, (left, why));
        }
        let earlier = earlier.filter(|_| self.settings.ranks);
        if !again && let Some(verdict) = self.refuse_on_arrival(now, rng, &request, earlier, work) {
            return verdict;
        }
        if !again
            && let Some(earlier) = earlier
            && let Some(verdict) = self.refuse_returned(now, rng, &request, earlier)
        {
            return verdict;
        }
        let first_sent = earlier.map(|earlier| earlier.since);
        let (id, objective) = (request.id, request.objective);
        self.queue.push_returned(now, Item { request, work }, again, first_sent);
        if choice == Choice::Held {
            self.queue.hold(id, level, objective);
        }
        Verdict::Wait
    }

    /// Decides at once on a request whose answer goes on after events of an earlier run, and may do so
    /// at the targets in `allowed` only.
    pub fn offer_among(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: Request,
        allowed: &BTreeSet<id::Target>,
    ) -> Verdict {
        self.refresh_weights(now);
        if request.retry && !self.retries.try_take() {
            return refuse(rng, Reason::RetryBudget, RETRY_AFTER.0);
        }
        let work = self.work(&request);
        match self.place_resumed(now, rng, &request, allowed) {
            Some(at) => self.send(now, at, request, work),
            None => refuse(rng, Reason::Version, RETRY_AFTER.0),
        }
    }

    /// Returns the request, moved to [`Class::Spare`] if it can no longer begin by its objective.
    fn classify(&self, now: Time, request: Request) -> Request {
        let late = self.settings.shed_late && request.objective < now + FIRST_TOKEN;
        let class = if late { Class::Spare } else { request.class };
        Request { class, ..request }
    }

    /// Takes a retry from the budget for a running request that is to restart at another target;
    /// returns false if the budget is spent.
    pub fn try_repeat(&mut self) -> bool {
        self.retries.try_take()
    }

    /// Returns the state of the target of a running request at the time when it was chosen.
    pub fn placement(&self, request: id::Request) -> Option<Placement> {
        self.running.get(&request).map(|running| running.placement)
    }

    /// Records that a running request has produced `produced` tokens in all, the last of them at
    /// `now`.
    pub fn progress(&mut self, now: Time, request: id::Request, produced: Tokens) {
        let produced = produced.get();
        let is_next = |running: &Running| produced > running.produced;
        if !self.running.get(&request).is_some_and(is_next) {
            return;
        }
        self.observe(now, request, produced);
        let Some(running) = self.running.get_mut(&request) else { return };
        let state = &mut self.targets[running.target];
        let gap =
            now.since(running.latest) / u32::try_from(produced - running.produced).unwrap_or(1);
        match running.first {
            None => {
                running.first = Some(now);
                running.sampled = (produced, now);
                state.remove_unstarted(running.request.prompt.get());
                self.detector.record_answer(now, &state.name);
            }
            Some(_) => {
                state.pace.sample(
                    now,
                    gap,
                    state.memory.all_streams(),
                    self.settings.token_interval,
                );
                let (from, since) = running.sampled;
                if produced >= from + SAMPLE_TOKENS {
                    running.sampled = (produced, now);
                    let tokens = u32::try_from(produced - from).unwrap_or(u32::MAX);
                    let sample = Sample::Latency(now.since(since) / tokens);
                    self.detector.record(now, &state.name, sample);
                }
            }
        }
        running.latest = now;
        running.produced = produced;
        let workspace = running.request.workspace.clone();
        self.lengths.advance(&workspace, &mut running.progress, produced);
        self.update_curve(now, request);
        self.count_interruptible(request);
    }

    /// Replaces the curve of a running answer by one for its present length.
    fn update_curve(&mut self, now: Time, request: id::Request) {
        let Some(running) = self.running.get(&request) else { return };
        let new = self.curve(&running.request, running.produced);
        let Some(running) = self.running.get_mut(&request) else { return };
        let old = std::mem::replace(&mut running.curve, new);
        self.targets[running.target].memory.replace(now, &old, &new);
        self.own.remove(&old);
        self.own.add(&new);
        self.usage.add(&running.request.workspace, f64::from(new.now() - old.now()));
        // An answer that is longer than predicted is charged as it grows.
        let work =
            PROMPT_TOKEN_WORK * running.request.prompt.get() as f64 + running.produced as f64;
        if work > running.work {
            self.queue.charge(&running.request.workspace, work - running.work);
            running.work = work;
        }
    }

    /// Records that an attempt ended and releases what it held. A request that is still queued is
    /// removed from the queue.
    pub fn finish(&mut self, now: Time, request: id::Request, outcome: Outcome) {
        let Some(running) = self.running.remove(&request) else {
            self.drain.advance(now, !self.queue.is_empty());
            self.queue.remove(request);
            return;
        };
        let workspace = &running.request.workspace;
        let state = &mut self.targets[running.target];
        state.memory.remove(now, &running.curve);
        state.estimate.add_interruptible(-i32::from(running.interruptible));
        if running.first.is_none() {
            state.remove_unstarted(running.request.prompt.get());
        }
        self.own.remove(&running.curve);
        self.usage.add(workspace, -f64::from(running.curve.now()));
        let done =
            PROMPT_TOKEN_WORK * running.request.prompt.get() as f64 + running.produced as f64;
        self.queue.charge(workspace, done - running.work);
        match outcome {
            Outcome::Whole => {
                self.retries.record_success();
                self.lengths.end(workspace, running.progress, running.produced);
                if is_lookup(&running.request) {
                    let took = now.since(running.sent);
                    self.detector.record(now, &state.name, Sample::Latency(took));
                    state.answers.record_target(took);
                    self.answers.record_service(took);
                    self.detector.record_answer(now, &state.name);
                }
            }
            Outcome::Failed => {
                state.record_failure(now);
                self.detector.record(now, &state.name, Sample::Failed);
            }
            Outcome::Unanswered => {
                state.record_failure(now);
                self.detector.record_unanswered(now, &state.name);
            }
            Outcome::ServerError => self.detector.record(now, &state.name, Sample::Failed),
            Outcome::Cancelled => {}
        }
        self.remove_if_unused(running.target);
    }

    /// Decides on queued requests that can be sent now or whose deadline has passed.
    pub fn poll(&mut self, now: Time, rng: &mut impl Rng) -> Vec<(id::Request, Verdict)> {
        let mut decided = self.take_displaced();
        self.advance_forecast(now);
        if self.queue.is_empty() {
            return decided;
        }
        self.refresh_weights(now);
        self.drain.advance(now, true);
        self.queue.demote(now, FIRST_TOKEN);
        if self.targets.iter().any(|state| state.cordoned)
            && let Some(verdict) = self.refuse_without_targets(rng)
        {
            let waiting = self.queue.drain();
            decided.extend(waiting.into_iter().map(|item| (item.request.id, verdict.clone())));
            return decided;
        }
        if let Some((left, why)) = self.first_suspension(now) {
            for item in self.queue.expire(now + left) {
                let verdict = targets::refuse_suspended(rng, (left, why));
                decided.push((item.request.id, verdict));
            }
        }
        self.expire_returned(now, rng, &mut decided);
        for item in self.queue.expire(now) {
            let wait = self.drain.wait(self.queue.work_ahead(
                self.queue.level(&item.request),
                &item.request.workspace,
                0.0,
            ));
            let verdict = refuse(rng, Reason::Deadline, wait.unwrap_or(RETRY_AFTER.0));
            decided.push((item.request.id, verdict));
        }
        while let Some((request, verdict)) = self.send_next(now, rng) {
            decided.push((request, verdict));
        }
        if self.settings.shed_late {
            for item in self.queue.shed(now, FIRST_TOKEN, shedding::MAX_WAIT) {
                let retry_after = shedding::retry_after(rng);
                let refusal = Refusal { reason: Reason::Late, retry_after };
                decided.push((item.request.id, Verdict::Refuse(refusal)));
            }
        }
        decided
    }

    /// Sends the next queued request that fits on some target.
    fn send_next(&mut self, now: Time, rng: &mut impl Rng) -> Option<(id::Request, Verdict)> {
        if now < self.deferred_until {
            return None;
        }
        let next = self.queue.next_workspaces();
        for (level, workspace) in &next {
            let request = self.queue.head(*level, workspace)?.request.clone();
            let curve = self.curve(&request, 0);
            match self.place(now, rng, &request, &curve) {
                Choice::At(at) => {
                    let item = self.queue.pop(now, *level, workspace)?;
                    return Some((request.id, self.send_waited(now, at, item)));
                }
                Choice::Held => self.queue.hold(request.id, *level, request.objective),
                Choice::Full => self.queue.release(request.id),
            }
        }
        self.send_behind_held(now, rng, &next)
    }

    /// Sends a request that has waited in the queue.
    fn send_waited(&mut self, now: Time, at: usize, item: Item) -> Verdict {
        let id = item.request.id;
        self.drain.record(item.work);
        let verdict = self.send(now, at, item.request, item.work);
        self.running.entry(id).and_modify(|running| running.waited = true);
        verdict
    }

    /// Applies the outcome of a request of another entry at a target.
    pub fn apply_outcome(
        &mut self,
        now: Time,
        target: &id::Target,
        from: Observer,
        outcome: observation::Outcome,
    ) {
        self.detector.apply(now, target, from, outcome);
    }

    /// Takes the outcomes of this entry's requests that are to be announced to the other entries.
    pub fn take_outcomes(&mut self) -> Vec<(id::Target, observation::Outcome)> {
        self.detector.take_updates()
    }

    /// Takes the ejections since the last call, for the log.
    pub fn take_ejections(&mut self) -> Vec<outlier::Record> {
        self.detector.take_records()
    }

    /// Returns why a target is ejected and until when; `None` if it is not ejected.
    pub fn ejection(&self, now: Time, target: &id::Target) -> Option<Ejection> {
        self.detector.ejection(now, target)
    }

    /// Returns the earliest time at which [`Gate::poll`] has something to decide, if no other call
    /// comes before.
    pub fn next_poll(&self) -> Option<Time> {
        self.queue.next_deadline()
    }

    fn work(&self, request: &Request) -> f64 {
        let expected =
            self.lengths.distribution(&request.workspace).expected(0, request.limit.get());
        PROMPT_TOKEN_WORK * request.prompt.get() as f64 + f64::from(expected)
    }

    fn curve(&self, request: &Request, produced: u64) -> Curve {
        let (prompt, limit) =
            (request.prompt.get(), request.limit.get().min(self.largest_capacity));
        if is_lookup(request) {
            return Curve::default();
        }
        match self.settings.length {
            true => {
                Curve::of(self.lengths.distribution(&request.workspace), prompt, produced, limit)
            }
            false => Curve::reserved(prompt, limit),
        }
    }

    /// Refuses a request whose answer is predicted to begin after its deadline, or for which the
    /// queue has no space.
    fn refuse_on_arrival(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: &Request,
        earlier: Option<Resubmission>,
        work: f64,
    ) -> Option<Verdict> {
        let level = self.queue.level(request);
        let ahead = self.queue.work_ahead(level, &request.workspace, work);
        let own = self.queue.own_wait(now, level, &request.workspace, work);
        let wait = rank::wait_for(self.drain.wait(ahead).max(own), earlier);
        if self.queue.len() >= CAPACITY && !self.displace(rng, request.rank) {
            let retry = self.drain.wait(work).unwrap_or(RETRY_AFTER.0);
            return Some(refuse(rng, Reason::QueueFull, retry));
        }
        let time_left = request.deadline.since(now);
        let late = wait.filter(|wait| self.settings.refuse && *wait > time_left)?;
        Some(refuse(rng, Reason::Deadline, late - time_left))
    }

    fn note_prompt(&mut self, request: &Request) {
        let prompt = request.prompt.get() as f64;
        if is_lookup(request) {
            return;
        }
        let part = if self.mean_prompt > 0.0 { PROMPT_SMOOTHING } else { 1.0 };
        self.mean_prompt += (prompt - self.mean_prompt) * part;
    }

    fn send(&mut self, now: Time, at: usize, request: Request, work: f64) -> Verdict {
        let curve = self.curve(&request, 0);
        self.note_prompt(&request);
        let (pace, risk) = self.pace_and_risk(now, at);
        let state = &mut self.targets[at];
        let placement = Placement {
            load: state.memory.load(),
            streams: state.memory.all_streams(),
            unread: Tokens::new(state.all_unread()),
            age: now.since(state.memory.reported_at()),
            late: request.class == Class::Spare,
            near: self.domain.is_some() && state.domain == self.domain,
            pace,
            risk,
            rank: request.rank,
        };
        if placement.late {
            self.forecast.record_start(request.rank);
        }
        state.memory.add(now, &curve);
        state.add_unstarted(request.prompt.get());
        self.sends += 1;
        state.last_send = self.sends;
        let target = state.name.clone();
        self.own.add(&curve);
        self.typical = curve;
        self.usage.add(&request.workspace, f64::from(curve.now()));
        self.queue.charge(&request.workspace, work);
        let progress = self.lengths.begin(&request.workspace);
        let id = request.id;
        let running = Running {
            target: at,
            request,
            curve,
            progress,
            work,
            produced: 0,
            sent: now,
            first: None,
            latest: now,
            sampled: (0, now),
            placement,
            waited: false,
            prompts_waited: None,
            interrupted: false,
            interruptible: false,
        };
        self.running.insert(id, running);
        self.count_interruptible(id);
        Verdict::Send(target)
    }
}

fn is_lookup(request: &Request) -> bool {
    request.class == Class::Lookup || request.limit == Tokens::default()
}

/// Returns a refusal. Its retry delay is spread at random by up to half, so that requests that are
/// refused together do not return together.
fn refuse(rng: &mut impl Rng, reason: Reason, after: Duration) -> Verdict {
    let spread = rng.random_range(1.0..1.5);
    let retry_after = after.clamp(RETRY_AFTER.0, RETRY_AFTER.1).mul_f64(spread);
    Verdict::Refuse(Refusal { reason, retry_after })
}
