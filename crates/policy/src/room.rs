//! Whether one more answer will fit into an engine's memory until it ends.
//!
//! Load pattern: memory that fills in the middle of generations (`brno-night`, `lag`). Without
//! this an engine takes whatever fits now, and later preempts and computes again what it began:
//! 38,680 preemptions in half an hour of `brno-night` under a plain rotation.
//!
//! The view joins a report that is seconds old with what this entry alone knows up to date: its
//! own running answers and how far each has come. What others hold is the report less what this
//! entry held when it was taken, and is expected to grow as this entry's own answers do.

use std::collections::VecDeque;
use std::time::Duration;

use crate::curve::Curve;
use crate::request::{Class, Report};
use crate::share::Claim;
use crate::time::Time;

/// Memory left free for what the prediction misses.
const MARGIN: f64 = 0.03;

/// Standard deviations above the mean that must fit for answers that nobody watches. More gives up
/// throughput for preemptions: `brno-night` (seed 3) had 236 of them at 2.0, 44 at 2.5, 1 at 3.0
/// and none at 3.5, with 0.970, 0.957, 0.942 and 0.883 of the engines' best.
const SIGMAS: f32 = 3.0;

/// The same for live answers, whose callers would rather begin sooner: `oslo-day`, `lag` and
/// `overload` have hardly a preemption at either figure, and `hot-caller` waits longer at 3.0.
const SIGMAS_LIVE: f32 = 1.5;

/// Standard deviations that must fit for a class.
fn sigmas(class: Class) -> f32 {
    if class >= Class::Overnight { SIGMAS } else { SIGMAS_LIVE }
}

/// The most that preemptions may raise the margin to.
const MARGIN_MOST: f64 = 0.25;

/// How much each preemption that a report shows raises the margin: a handful in one report, which
/// is what one misjudged moment costs, is worth some percent.
const MARGIN_STEP: f64 = 0.004;

/// How much of the raised margin is given back in a second; back to normal within half a minute.
const MARGIN_DECAY: f64 = 0.1;

/// Streams sent to an engine that has not reported yet.
const UNREPORTED: u32 = 4;

/// How far back own holdings are remembered; reports older than this are not believed.
pub const OLDEST: Duration = Duration::from_secs(15);

/// Steps in which the growth of own holdings is remembered; begins and ends are exact.
const STEP: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Held {
    at: Time,
    tokens: f32,
    streams: u32,
}

/// Tokens since the time of the latest report.
#[derive(Clone, Debug, Default)]
struct Since {
    list: VecDeque<(Time, f32)>,
    sum: f64,
}

impl Since {
    fn add(&mut self, now: Time, tokens: f32) {
        self.list.push_back((now, tokens));
        self.sum += f64::from(tokens);
    }

    fn forget(&mut self, until: Time) {
        while self.list.front().is_some_and(|(at, _)| *at <= until) {
            let gone = self.list.pop_front().map_or(0.0, |(_, tokens)| tokens);
            self.sum -= f64::from(gone);
        }
        if self.list.is_empty() {
            self.sum = 0.0;
        }
    }
}

/// One engine's memory as this entry sees it.
#[derive(Clone, Debug)]
pub struct Room {
    capacity: f64,
    margin: f64,
    margin_at: Time,
    preemptions: Option<u64>,
    taken: Time,
    others: Curve,
    others_streams: u32,
    mine: Curve,
    streams: u32,
    sent: Since,
    freed: Since,
    history: VecDeque<Held>,
}

impl Default for Room {
    fn default() -> Self {
        Self {
            capacity: 0.0,
            margin: MARGIN,
            margin_at: Time::ZERO,
            preemptions: None,
            taken: Time::ZERO,
            others: Curve::default(),
            others_streams: 0,
            mine: Curve::default(),
            streams: 0,
            sent: Since::default(),
            freed: Since::default(),
            history: VecDeque::new(),
        }
    }
}

/// How the answers that others run are expected to grow.
#[derive(Clone, Copy, Debug)]
pub struct Growth {
    /// The curve of all of this entry's own answers.
    pub own: Curve,
    /// The curve of an average new answer.
    pub fresh: Curve,
}

impl Room {
    /// Takes in a report that was taken at `taken`.
    pub fn report(&mut self, now: Time, taken: Time, report: &Report, growth: &Growth) {
        if taken < self.taken {
            return;
        }
        self.taken = taken;
        self.capacity = report.capacity.get() as f64;
        let then = self.held_at(taken);
        self.others_streams = (report.running + report.waiting).saturating_sub(then.streams);
        let others = (report.used.get() as f32 - then.tokens).max(0.0);
        let shape = if growth.own.now() > 0.0 { &growth.own } else { &growth.fresh };
        self.others = shape.scaled_to(others);
        let unseen = report.waiting.min(self.others_streams);
        (0..unseen).for_each(|_| self.others.add(&growth.fresh));
        self.note_preemptions(now, report.preemptions);
        self.sent.forget(taken);
        self.freed.forget(taken);
    }

    fn note_preemptions(&mut self, now: Time, count: u64) {
        let new = count.saturating_sub(self.preemptions.unwrap_or(count));
        self.preemptions = Some(count);
        self.margin = (self.margin(now) + MARGIN_STEP * new as f64).min(MARGIN_MOST);
        self.margin_at = now;
    }

    fn margin(&self, now: Time) -> f64 {
        let passed = now.since(self.margin_at).as_secs_f64();
        MARGIN + (self.margin - MARGIN) * (1.0 - MARGIN_DECAY * passed).max(0.0)
    }

    fn held_at(&self, taken: Time) -> Held {
        let before = self.history.iter().rev().find(|held| held.at <= taken);
        before.copied().unwrap_or(Held { at: taken, tokens: 0.0, streams: 0 })
    }

    fn remember(&mut self, now: Time) {
        let held = Held { at: now, tokens: self.mine.now(), streams: self.streams };
        match self.history.back_mut() {
            Some(last) if last.streams == held.streams && now.since(last.at) < STEP => {
                last.tokens = held.tokens;
            }
            _ => self.history.push_back(held),
        }
        while self.history.front().is_some_and(|held| now.since(held.at) > OLDEST) {
            self.history.pop_front();
        }
    }

    /// Counts an answer sent just now.
    pub fn send(&mut self, now: Time, curve: &Curve) {
        self.mine.add(curve);
        self.streams += 1;
        self.sent.add(now, curve.peak());
        self.remember(now);
    }

    /// Replaces an answer's curve after it has come further.
    pub fn update(&mut self, now: Time, old: &Curve, new: &Curve) {
        self.mine.remove(old);
        self.mine.add(new);
        self.remember(now);
    }

    /// Frees what an answer held.
    pub fn free(&mut self, now: Time, curve: &Curve) {
        self.mine.remove(curve);
        self.streams = self.streams.saturating_sub(1);
        if self.streams == 0 {
            self.mine = Curve::default();
        }
        self.freed.add(now, curve.peak());
        self.remember(now);
    }

    /// What this entry may still claim, with `reserve` of the capacity left to others.
    pub fn claim(&self, now: Time, class: Class, share: f64, kept: f64, reserve: f64) -> Claim {
        let sigmas = sigmas(class);
        let limit = self.capacity * (1.0 - self.margin(now) - reserve);
        let peak = Curve::peak_of([&self.mine, &self.others, &Curve::default()], sigmas);
        let (sent, freed) = (self.sent.sum, self.freed.sum);
        Claim { free: limit - f64::from(peak), sent, freed, share, kept }
    }

    /// Whether an answer with this curve fits into what this entry may claim.
    pub fn fits(&self, class: Class, claim: &Claim, curve: &Curve) -> bool {
        let sigmas = sigmas(class);
        if self.capacity == 0.0 {
            return self.streams < UNREPORTED;
        }
        // An idle engine takes any answer: one whose prediction passes the whole memory would
        // otherwise wait for ever, and everything of its workspace behind it. One that keeps memory
        // for copies is not idle, though it runs nothing yet.
        if self.all_streams() == 0 && self.others.now() <= 0.0 {
            return true;
        }
        let without = Curve::peak_of([&self.mine, &self.others, &Curve::default()], sigmas);
        let with = Curve::peak_of([&self.mine, &self.others, curve], sigmas);
        f64::from(with - without) <= claim.allowance()
    }

    /// Streams of this entry.
    pub fn streams(&self) -> u32 {
        self.streams
    }

    /// Streams of all entries, as far as this one knows.
    pub fn all_streams(&self) -> u32 {
        self.streams + self.others_streams
    }

    /// The memory expected to be held, as a share of the whole.
    pub fn load(&self) -> f64 {
        let held = f64::from(self.mine.now() + self.others.now());
        if self.capacity > 0.0 { held / self.capacity } else { f64::from(self.streams) }
    }

    /// The same with one more answer; infinite where the memory's size is not known.
    pub fn load_with(&self, curve: &Curve) -> f64 {
        let held = f64::from(self.mine.now() + self.others.now() + curve.now());
        if self.capacity > 0.0 { held / self.capacity } else { f64::INFINITY }
    }

    /// When the latest report was taken.
    pub fn taken(&self) -> Time {
        self.taken
    }

    /// This entry's curve.
    pub fn mine(&self) -> &Curve {
        &self.mine
    }

    /// Tokens of this entry and of all, as far as it knows.
    pub fn holdings(&self) -> (f64, f64) {
        let own = f64::from(self.mine.now());
        (own, own + f64::from(self.others.now()))
    }
}
