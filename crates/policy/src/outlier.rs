//! Outlier ejection: takes slow and failing targets out of use.
//!
//! One engine of many may become several times slower than its peers (a throttled accelerator, a
//! noisy neighbour) or fail every request at once, without its load report showing it. Requests
//! sent to a slow one wait several times as long. One that fails at once looks idle and attracts
//! ever more requests, because it is always the least loaded.
//!
//! A target counts as slow at [`SLOW_FACTOR`] times the median of its peers, twice the spread of
//! healthy engines with different batches, and is ejected once that has lasted for [`GRACE`]: a
//! single long prompt slows an engine for about a second. A target that answers well within its
//! objective never counts as slow, however fast its peers are: where peers answer within a
//! millisecond, a scheduling delay of the host makes three times as much. At most [`MAX_EJECTED_SHARE`] of the
//! targets are ejected at once, since the others must be able to carry the load. Once more than
//! [`PANIC_SHARE`] look bad, the cause lies elsewhere (a link, a bad configuration), and ejection
//! is ignored because it would pile the load on the few targets left.
//!
//! A target from which nothing comes back in time may only stall for a second. That counts as failing
//! once nothing has come back for [`STALL_TIME`].
//!
//! The first ejection lasts [`BASE_EJECTION`], each further one soon after it twice as long, up to
//! [`MAX_EJECTION`]. A target that returns ramps up over [`RAMP`] so that its cold cache is not
//! overloaded.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;

use crate::id;
use crate::isolation::STALL_TIME;
use crate::observation::{Observations, Observer, Outcome};
use crate::time::Time;

/// A target is slow if its latency is this many times the median of its peers.
pub const SLOW_FACTOR: f64 = 3.0;
/// Fraction of the objective up to which no latency counts as slow. From there on a hedge of the same
/// request is due.
pub const TOLERATED_FRACTION: f64 = 0.5;
/// How long a target must be slow before it is ejected.
pub const GRACE: Duration = Duration::from_secs(1);
/// Maximum share of targets that are ejected at once; one of two or more always may be.
pub const MAX_EJECTED_SHARE: f64 = 0.34;
/// Ejection is ignored while more than this share of targets look bad.
pub const PANIC_SHARE: f64 = 0.5;
/// Number of consecutive failures after which a target is ejected without grace.
pub const CONSECUTIVE_FAILURES: u32 = 3;
/// Length of the first ejection.
pub const BASE_EJECTION: Duration = Duration::from_secs(10);
/// Maximum length of an ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(80);
/// How long a target that returns takes to reach its full weight.
pub const RAMP: Duration = Duration::from_secs(10);
/// Weight at which a target returns. If it is still slow, it raises the 99th percentile of latency
/// by up to 32 % at a weight of 0.1 and by up to 21 % at 0.05.
pub const RETURN_WEIGHT: f64 = 0.05;

/// Samples needed before a target is judged: fewer are mostly noise, more mean more slow answers.
const MIN_SAMPLES: u32 = 4;
/// The same for a target that has been ejected before, so that it is sent little while it is slow.
const MIN_SAMPLES_RETURNED: u32 = 1;
/// Weight of a new sample in the moving average, in which about the last ten samples count.
const SMOOTHING: f64 = 0.2;
/// Maximum number of ejections that are kept for the log.
const MAX_RECORDS: usize = 64;
/// After this time without ejection the next one is as short as the first.
const BACKOFF_RESET: Duration = Duration::from_secs(300);

/// One observation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// It answered. The time to the first token, between tokens, or to a plain response; one
    /// detector takes only one of these kinds.
    Latency(Duration),
    /// It failed or could not be reached.
    Failed,
}

/// Why a target was ejected, as shown to operators.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// It answers far more slowly than its peers.
    #[display("slower than its peers")]
    Slow,
    /// Calls to it fail one after another.
    #[display("its calls fail")]
    Failing,
}

/// The ejection of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ejection {
    /// Why it was ejected.
    pub cause: Cause,
    /// When it is used again.
    pub until: Time,
}

/// An ejection and what it was decided by, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The target.
    pub target: id::Target,
    /// Its ejection.
    pub ejection: Ejection,
    /// Its mean latency.
    pub latency: Duration,
    /// The median of the mean latencies of its peers, if any peer has enough samples.
    pub peer_median: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct State {
    observations: Observations,
    /// Moving average in seconds.
    latency: f64,
    samples: u32,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive attempts from which nothing came back in time, and when the first of them ended.
    unanswered: u32,
    unanswered_since: Option<Time>,
    slow_since: Option<Time>,
    ejected_until: Option<Time>,
    cause: Option<Cause>,
    ejections: u32,
}

impl State {
    fn is_failing(&self, now: Time) -> bool {
        let unanswered = if self.has_stalled_long(now) { self.unanswered } else { 0 };
        self.failures + unanswered >= CONSECUTIVE_FAILURES || self.observations.is_failing(now)
    }

    fn has_stalled_long(&self, now: Time) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) >= STALL_TIME)
    }

    fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn has_enough_samples(&self) -> bool {
        let needed = if self.ejections > 0 { MIN_SAMPLES_RETURNED } else { MIN_SAMPLES };
        self.samples >= needed
    }

    fn record(&mut self, sample: Sample) {
        match sample {
            Sample::Failed => self.failures += 1,
            Sample::Latency(span) => {
                let seconds = span.as_secs_f64();
                let part = if self.samples == 0 { 1.0 } else { SMOOTHING };
                self.latency += part * (seconds - self.latency);
                self.samples = self.samples.saturating_add(1);
                self.failures = 0;
                self.record_answered();
            }
        }
    }

    fn record_answered(&mut self) {
        (self.unanswered, self.unanswered_since) = (0, None);
    }

    fn eject(&mut self, now: Time, cause: Cause) {
        let last_end = self.ejected_until.unwrap_or(Time::ZERO);
        if now.since(last_end) > BACKOFF_RESET {
            self.ejections = 0;
        }
        let span = BASE_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        let ejections = self.ejections + 1;
        // Samples from before the ejection say nothing about the target once it returns.
        *self = Self {
            ejected_until: Some(now + span.min(MAX_EJECTION)),
            cause: Some(cause),
            ejections,
            ..Self::default()
        };
    }

    fn weight(&self, now: Time) -> f64 {
        let Some(until) = self.ejected_until else { return 1.0 };
        if now < until {
            return 0.0;
        }
        let ramp = now.since(until).as_secs_f64() / RAMP.as_secs_f64();
        (RETURN_WEIGHT + (1.0 - RETURN_WEIGHT) * ramp).min(1.0)
    }
}

/// Detects and ejects outliers among the targets of one service.
///
/// Recording a sample scans all targets, and weights change slowly. So a gate records once for each
/// attempt and reads [`Detector::weight`] a few times a second rather than for each placement.
#[derive(Debug, Default)]
pub struct Detector {
    targets: HashMap<id::Target, State>,
    /// Outcomes that are still to be sent to other entries.
    updates: Vec<(id::Target, Outcome)>,
    /// Ejections that are still to be logged, the oldest first.
    records: VecDeque<Record>,
    /// Latency up to which no target counts as slow.
    tolerated: Duration,
}

impl Detector {
    /// Creates a detector without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the objective for the latencies that are recorded.
    pub fn set_objective(&mut self, objective: Duration) {
        self.tolerated = objective.mul_f64(TOLERATED_FRACTION);
    }

    /// Sets the targets, keeping the state of those that were set before.
    pub fn set_targets<'a>(&mut self, targets: impl IntoIterator<Item = &'a id::Target>) {
        let mut kept = HashMap::new();
        for target in targets {
            kept.insert(target.clone(), self.targets.remove(target).unwrap_or_default());
        }
        self.targets = kept;
    }

    /// Adds a target, keeping its state if it was set before.
    pub fn add_target(&mut self, target: &id::Target) {
        self.targets.entry(target.clone()).or_default();
    }

    /// Removes a target and its state.
    pub fn remove_target(&mut self, target: &id::Target) {
        self.targets.remove(target);
    }

    /// Records a sample and ejects the target if that is due; ignores targets that are not set.
    pub fn record(&mut self, now: Time, target: &id::Target, sample: Sample) {
        let Some(state) = self.targets.get_mut(target) else { return };
        if state.is_ejected(now) {
            // The request was sent before the ejection and must not count once the target returns.
            return;
        }
        state.record(sample);
        if sample == Sample::Failed && state.observations.record_own(now, Outcome::Failed) {
            self.updates.push((target.clone(), Outcome::Failed));
        }
        self.evaluate(now, target);
    }

    /// Records that nothing came back from a target in time.
    pub fn record_unanswered(&mut self, now: Time, target: &id::Target) {
        let Some(state) = self.targets.get_mut(target) else { return };
        if state.is_ejected(now) {
            return;
        }
        state.unanswered += 1;
        state.unanswered_since.get_or_insert(now);
        if state.has_stalled_long(now) && state.observations.record_own(now, Outcome::Failed) {
            self.updates.push((target.clone(), Outcome::Failed));
        }
        self.evaluate(now, target);
    }

    /// Records that a target has begun to answer a request.
    pub fn record_answer(&mut self, now: Time, target: &id::Target) {
        let Some(state) = self.targets.get_mut(target) else { return };
        state.record_answered();
        if state.observations.record_own(now, Outcome::Answered) {
            self.updates.push((target.clone(), Outcome::Answered));
        }
    }

    /// Applies the outcome that another entry observed for a request at a target.
    pub fn apply(&mut self, now: Time, target: &id::Target, observer: Observer, outcome: Outcome) {
        let Some(state) = self.targets.get_mut(target) else { return };
        if state.is_ejected(now) {
            return;
        }
        state.observations.record_peer(now, observer, outcome);
        self.evaluate(now, target);
    }

    /// Ejects targets that have become due by earlier observations; called a few times a second.
    pub fn poll(&mut self, now: Time) {
        let observed = |state: &State| !state.observations.is_empty() && !state.is_ejected(now);
        let observed = self.targets.iter().filter(|(_, state)| observed(state));
        let targets: Vec<id::Target> = observed.map(|(target, _)| target.clone()).collect();
        targets.iter().for_each(|target| self.evaluate(now, target));
    }

    /// Takes the outcomes recorded since the last call that are to be sent to other entries.
    pub fn take_updates(&mut self) -> Vec<(id::Target, Outcome)> {
        std::mem::take(&mut self.updates)
    }

    /// Takes the ejections since the last call; of more than [`MAX_RECORDS`] the latest.
    pub fn take_records(&mut self) -> Vec<Record> {
        self.records.drain(..).collect()
    }

    /// Ejects a target if that is due.
    fn evaluate(&mut self, now: Time, target: &id::Target) {
        let Some(state) = self.targets.get(target).cloned() else { return };
        let peer_median = self.peer_median(target);
        let tolerated = state.latency <= self.tolerated.as_secs_f64();
        let slow = !tolerated && is_slow(&state, peer_median);
        let slow_since = slow.then(|| state.slow_since.unwrap_or(now));
        // A target that was ejected before gets no grace, in which more requests would be delayed.
        let grace = if state.ejections > 0 { Duration::ZERO } else { GRACE };
        let due = slow_since.is_some_and(|since| now.since(since) >= grace);
        let failing = state.is_failing(now);
        let eject = (due || failing) && self.may_eject(now);
        let Some(state) = self.targets.get_mut(target) else { return };
        state.slow_since = slow_since;
        if eject {
            let cause = if failing { Cause::Failing } else { Cause::Slow };
            let latency = Duration::from_secs_f64(state.latency);
            state.eject(now, cause);
            let ejection = Ejection { cause, until: state.ejected_until.unwrap_or(now) };
            let peer_median = peer_median.map(Duration::from_secs_f64);
            let record = Record { target: target.clone(), ejection, latency, peer_median };
            if self.records.len() == MAX_RECORDS {
                self.records.pop_front();
            }
            self.records.push_back(record);
        }
    }

    /// Returns the weight of a target, from 0 (ejected) to 1.
    pub fn weight(&self, now: Time, target: &id::Target) -> f64 {
        if self.most_look_bad(now) {
            return 1.0;
        }
        self.targets.get(target).map_or(1.0, |state| state.weight(now))
    }

    /// Returns the weights of all targets in no particular order, in one scan instead of one for
    /// each target.
    pub fn weights(&self, now: Time) -> impl Iterator<Item = (&id::Target, f64)> {
        let ignored = self.most_look_bad(now);
        let weight = move |state: &State| if ignored { 1.0 } else { state.weight(now) };
        self.targets.iter().map(move |(target, state)| (target, weight(state)))
    }

    /// Returns the ejection that is in force for a target; `None` if the target is in use.
    pub fn ejection(&self, now: Time, target: &id::Target) -> Option<Ejection> {
        let state = self.targets.get(target).filter(|state| state.is_ejected(now))?;
        if self.most_look_bad(now) {
            return None;
        }
        Some(Ejection { cause: state.cause?, until: state.ejected_until? })
    }

    /// Returns the number of ejected targets.
    pub fn ejected(&self, now: Time) -> usize {
        self.targets.values().filter(|state| state.is_ejected(now)).count()
    }

    /// Returns the median latency of the peers of a target in seconds; `None` if no peer has enough
    /// samples.
    fn peer_median(&self, target: &id::Target) -> Option<f64> {
        let peers =
            self.targets.iter().filter(|(name, peer)| *name != target && peer.has_enough_samples());
        let mut latencies: Vec<f64> = peers.map(|(_, peer)| peer.latency).collect();
        if latencies.is_empty() {
            return None;
        }
        let middle = latencies.len() / 2;
        let (_, median, _) = latencies.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }

    fn may_eject(&self, now: Time) -> bool {
        let count = self.targets.len();
        let max = ((count as f64 * MAX_EJECTED_SHARE) as usize).max(1);
        count > 1 && self.ejected(now) < max && !self.most_look_bad(now)
    }

    /// Returns whether so many targets look bad that the cause must lie elsewhere.
    fn most_look_bad(&self, now: Time) -> bool {
        let bad = |state: &&State| {
            state.is_ejected(now) || state.is_failing(now) || state.slow_since.is_some()
        };
        let bad = self.targets.values().filter(bad).count();
        bad as f64 > PANIC_SHARE * self.targets.len() as f64
    }
}

fn is_slow(state: &State, peer_median: Option<f64>) -> bool {
    let exceeds = |median: f64| state.latency > SLOW_FACTOR * median;
    state.has_enough_samples() && peer_median.is_some_and(exceeds)
}
