//! Prediction of an engine's memory: whether one more answer fits into it until that answer ends.
//!
//! Memory runs full in the middle of generations. An engine that takes whatever fits now later
//! preempts answers that it began, and computes them again: 38,680 preemptions in half an hour of
//! a heavy overnight load that is placed round robin.
//!
//! The prediction combines a report that is seconds old with the state that this entry alone knows
//! exactly: its own running answers and the length that each has reached. What other entries hold
//! is the report less what this entry held when the report was taken, and is expected to grow as
//! this entry's own answers do.

use std::collections::VecDeque;
use std::time::Duration;

use crate::curve::Curve;
use crate::request::{Class, Report};
use crate::share::Claim;
use crate::time::Time;

/// Part of the memory that stays free for prediction errors.
const MARGIN: f64 = 0.03;

/// Standard deviations above the mean that must fit for answers that nobody watches. A higher value
/// avoids preemptions at the cost of throughput: half an hour of the same load has 236 preemptions
/// at 2.0, 44 at 2.5, 1 at 3.0 and none at 3.5, with a throughput of 0.970, 0.957, 0.942 and 0.883
/// of the engines' maximum.
const SIGMAS_OVERNIGHT: f32 = 3.0;

/// Standard deviations above the mean that must fit for live answers, whose callers prefer an early
/// start. By day, with old reports and under overload there is hardly a preemption at either value,
/// and beside a workspace that sends in bulk callers wait longer at 3.0.
const SIGMAS_LIVE: f32 = 1.5;

/// Returns the standard deviations above the mean that must fit for a class.
fn sigmas(class: Class) -> f32 {
    if class >= Class::Overnight { SIGMAS_OVERNIGHT } else { SIGMAS_LIVE }
}

/// Upper bound of the margin, which preemptions raise.
const MAX_MARGIN: f64 = 0.25;

/// Increase of the margin for each preemption that a report shows. One misjudged moment causes a
/// handful of preemptions in one report, which raise the margin by some percent.
const MARGIN_STEP: f64 = 0.004;

/// Part of the increase that is taken back in a second. Each report restarts this from the present
/// margin, so that it is back to normal within half a minute.
const MARGIN_DECAY: f64 = 0.1;

/// Streams that may be sent to an engine that has not reported yet.
const UNREPORTED_STREAMS: u32 = 4;

/// How long the history of this entry's own state is kept. Own holdings at the time of an older
/// report are taken as zero.
pub const HISTORY: Duration = Duration::from_secs(15);

/// Resolution at which growth is recorded in the history; starts and ends of answers are recorded
/// exactly.
const HISTORY_STEP: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Snapshot {
    at: Time,
    tokens: f32,
    streams: u32,
}

/// Tokens added since the time of the latest report.
#[derive(Clone, Debug, Default)]
struct SinceReport {
    list: VecDeque<(Time, f32)>,
    sum: f64,
}

impl SinceReport {
    fn add(&mut self, now: Time, tokens: f32) {
        self.list.push_back((now, tokens));
        self.sum += f64::from(tokens);
    }

    fn drop_until(&mut self, until: Time) {
        while self.list.front().is_some_and(|(at, _)| *at <= until) {
            let tokens = self.list.pop_front().map_or(0.0, |(_, tokens)| tokens);
            self.sum -= f64::from(tokens);
        }
        if self.list.is_empty() {
            self.sum = 0.0;
        }
    }
}

/// The memory of one engine, as far as this entry knows it.
#[derive(Clone, Debug)]
pub struct Memory {
    capacity: f64,
    margin: f64,
    margin_at: Time,
    preemptions: Option<u64>,
    reported_at: Time,
    others: Curve,
    others_streams: u32,
    own: Curve,
    own_streams: u32,
    sent: SinceReport,
    freed: SinceReport,
    history: VecDeque<Snapshot>,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            capacity: 0.0,
            margin: MARGIN,
            margin_at: Time::ZERO,
            preemptions: None,
            reported_at: Time::ZERO,
            others: Curve::default(),
            others_streams: 0,
            own: Curve::default(),
            own_streams: 0,
            sent: SinceReport::default(),
            freed: SinceReport::default(),
            history: VecDeque::new(),
        }
    }
}

/// How the answers of other entries are expected to grow.
#[derive(Clone, Copy, Debug)]
pub struct Growth {
    /// Sum of the curves of this entry's own answers, at all targets.
    pub own: Curve,
    /// Curve of an average new answer.
    pub typical: Curve,
}

impl Memory {
    /// Applies a report that was taken at `taken`; one that is older than the latest is ignored.
    pub fn apply_report(&mut self, now: Time, taken: Time, report: &Report, growth: &Growth) {
        if taken < self.reported_at {
            return;
        }
        self.reported_at = taken;
        self.capacity = report.capacity.get() as f64;
        let then = self.own_at(taken);
        self.others_streams = (report.running + report.waiting).saturating_sub(then.streams);
        let others = (report.used.get() as f32 - then.tokens).max(0.0);
        let shape = if growth.own.now() > 0.0 { &growth.own } else { &growth.typical };
        self.others = shape.scaled_to(others);
        let waiting = report.waiting.min(self.others_streams);
        (0..waiting).for_each(|_| self.others.add(&growth.typical));
        self.raise_margin(now, report.preemptions);
        self.sent.drop_until(taken);
        self.freed.drop_until(taken);
    }

    fn raise_margin(&mut self, now: Time, count: u64) {
        let new = count.saturating_sub(self.preemptions.unwrap_or(count));
        self.preemptions = Some(count);
        self.margin = (self.margin(now) + MARGIN_STEP * new as f64).min(MAX_MARGIN);
        self.margin_at = now;
    }

    fn margin(&self, now: Time) -> f64 {
        let passed = now.since(self.margin_at).as_secs_f64();
        MARGIN + (self.margin - MARGIN) * (1.0 - MARGIN_DECAY * passed).max(0.0)
    }

    fn own_at(&self, taken: Time) -> Snapshot {
        let before = self.history.iter().rev().find(|held| held.at <= taken);
        before.copied().unwrap_or(Snapshot { at: taken, tokens: 0.0, streams: 0 })
    }

    fn record_history(&mut self, now: Time) {
        let held = Snapshot { at: now, tokens: self.own.now(), streams: self.own_streams };
        match self.history.back_mut() {
            Some(last) if last.streams == held.streams && now.since(last.at) < HISTORY_STEP => {
                last.tokens = held.tokens;
            }
            _ => self.history.push_back(held),
        }
        while self.history.front().is_some_and(|held| now.since(held.at) > HISTORY) {
            self.history.pop_front();
        }
    }

    /// Adds an answer that is sent at `now`.
    pub fn add(&mut self, now: Time, curve: &Curve) {
        self.own.add(curve);
        self.own_streams += 1;
        self.sent.add(now, curve.peak());
        self.record_history(now);
    }

    /// Replaces the curve of an answer after it has produced more tokens.
    pub fn replace(&mut self, now: Time, old: &Curve, new: &Curve) {
        self.own.remove(old);
        self.own.add(new);
        self.record_history(now);
    }

    /// Removes an answer that has ended or was migrated.
    pub fn remove(&mut self, now: Time, curve: &Curve) {
        self.own.remove(curve);
        self.own_streams = self.own_streams.saturating_sub(1);
        if self.own_streams == 0 {
            self.own = Curve::default();
        }
        self.freed.add(now, curve.peak());
        self.record_history(now);
    }

    /// Returns what this entry may still send, with the part `reserve` of the capacity left free.
    /// `share` and `retained` are those of [`Claim`].
    pub fn claim(&self, now: Time, class: Class, share: f64, retained: f64, reserve: f64) -> Claim {
        let sigmas = sigmas(class);
        let limit = self.capacity * (1.0 - self.margin(now) - reserve);
        let peak = Curve::peak_of([&self.own, &self.others, &Curve::default()], sigmas);
        let (sent, freed) = (self.sent.sum, self.freed.sum);
        Claim { free: limit - f64::from(peak), sent, freed, share, retained }
    }

    /// Returns whether an answer with this curve fits into the allowance of `claim`.
    pub fn fits(&self, class: Class, claim: &Claim, curve: &Curve) -> bool {
        let sigmas = sigmas(class);
        if self.capacity == 0.0 {
            return self.own_streams < UNREPORTED_STREAMS;
        }
        // An idle engine takes any answer: one that is predicted to exceed the whole memory would
        // otherwise wait forever and block its workspace. An engine that holds memory for copies is
        // not idle, although it runs nothing yet.
        if self.all_streams() == 0 && self.others.now() <= 0.0 {
            return true;
        }
        let without = Curve::peak_of([&self.own, &self.others, &Curve::default()], sigmas);
        let with = Curve::peak_of([&self.own, &self.others, curve], sigmas);
        f64::from(with - without) <= claim.allowance()
    }

    /// Returns by how much an answer that is counted already raises the predicted peak, and how much
    /// memory is predicted to stay free; the latter is infinite before the first report.
    pub fn increment(&self, now: Time, class: Class, curve: &Curve) -> (f64, f64) {
        let sigmas = sigmas(class);
        let mut without = self.own;
        without.remove(curve);
        let none = Curve::default();
        let peak = |own: &Curve| f64::from(Curve::peak_of([own, &self.others, &none], sigmas));
        let with = peak(&self.own);
        let limit = self.capacity * (1.0 - self.margin(now));
        let spare = if self.capacity == 0.0 { f64::INFINITY } else { limit - with };
        (with - peak(&without), spare)
    }

    /// Returns the memory that nothing holds now if `excluded`, which is counted already, is left
    /// out; infinite before the first report.
    pub fn free_without(&self, excluded: &Curve) -> f64 {
        if self.capacity == 0.0 {
            return f64::INFINITY;
        }
        let held = self.own.now() + self.others.now() - excluded.now();
        (self.capacity - f64::from(held)).max(0.0)
    }

    /// Returns whether only the `excluded` streams of this entry run here.
    pub fn is_idle_without(&self, excluded: u32) -> bool {
        self.all_streams() <= excluded && self.others.now() <= 0.0
    }

    /// Streams of this entry.
    pub fn streams(&self) -> u32 {
        self.own_streams
    }

    /// Streams of all entries, as far as this one knows.
    pub fn all_streams(&self) -> u32 {
        self.own_streams + self.others_streams
    }

    /// Returns the tokens that the KV cache can hold; zero before the first report.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Returns the memory in use, as a part of the capacity; before the first report the number of
    /// streams of this entry.
    pub fn load(&self) -> f64 {
        let held = f64::from(self.own.now() + self.others.now());
        if self.capacity > 0.0 { held / self.capacity } else { f64::from(self.own_streams) }
    }

    /// Returns the memory in use with one more answer, as a part of the capacity; infinite before
    /// the first report.
    pub fn load_with(&self, curve: &Curve) -> f64 {
        let held = f64::from(self.own.now() + self.others.now() + curve.now());
        if self.capacity > 0.0 { held / self.capacity } else { f64::INFINITY }
    }

    /// Returns when the latest report was taken.
    pub fn reported_at(&self) -> Time {
        self.reported_at
    }

    /// Returns the sum of the curves of this entry's answers here.
    pub fn own(&self) -> &Curve {
        &self.own
    }

    /// Returns the tokens held by this entry and by all entries, as far as this one knows.
    pub fn held(&self) -> (f64, f64) {
        let own = f64::from(self.own.now());
        (own, own + f64::from(self.others.now()))
    }
}
