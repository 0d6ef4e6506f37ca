//! Service-level burn rates: how fast each service spends the error budget of its objective.
//!
//! An error rate over a day hides a bad quarter of an hour, and one over a minute alerts on every
//! late token. So each measure is compared with its budget over a long and a short window at once,
//! as in the multi-window, multi-burn-rate alerts of the Site Reliability Workbook (chapter 5): the
//! long window shows that the problem matters, the short one that it still lasts. With a long
//! window alone, an alert stays active for hours after the cause is gone.
//!
//! A burn rate of 1 spends the budget exactly. The thresholds are those of that chapter: 14.4 over
//! an hour spends 2 % of a month's budget, 6 over six hours spends 5 %.

use std::fmt;
use std::ops::AddAssign;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Windows of a report, shortest first.
pub const WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(1_800),
    Duration::from_secs(3_600),
    Duration::from_secs(21_600),
];

/// Burn rate over five minutes and over an hour that needs attention at once.
pub const FAST_BURN: f64 = 14.4;

/// Burn rate over half an hour and over six hours that needs attention within a day.
pub const SLOW_BURN: f64 = 6.0;

/// A gap between tokens longer than this many times the objective is a stall. With an objective of
/// 57 ms that is more than half a second, which a reader notices as a halt rather than as slowness.
const STALL_FACTOR: u32 = 10;

/// What is measured. The three measures that matter most to users come first.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Stalled generation time, in microseconds.
    #[display("stall time")]
    Stall,
    /// Answers that were preempted by their engine.
    #[display("preemptions")]
    Preemption,
    /// Gaps between tokens that exceed the objective.
    #[display("between tokens")]
    BetweenTokens,
    /// First tokens that arrive later than the objective.
    #[display("first token")]
    FirstToken,
    /// Requests that were refused.
    #[display("refusals")]
    Refusal,
}

impl Measure {
    /// All measures, in the order of reports.
    pub const ALL: [Self; 5] =
        [Self::Stall, Self::Preemption, Self::BetweenTokens, Self::FirstToken, Self::Refusal];

    /// Returns the total that a long window must hold before a level is raised: a minute of
    /// generation or fifty events. One refusal among three requests at night is no incident.
    fn min_total(self) -> u64 {
        match self {
            Self::Stall => 60_000_000,
            _ => 50,
        }
    }
}

/// The service-level objective of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Longest time to the first token that is on time.
    pub first_token: Duration,
    /// Longest time between tokens that is on time.
    pub between_tokens: Duration,
    /// Share of first tokens and of gaps that may be late, above 0.
    pub late_share: f64,
    /// Share of generation time that may be stalled, above 0.
    pub stalled_share: f64,
    /// Share of answers that may be preempted, above 0.
    pub preempted_share: f64,
    /// Share of requests that may be refused, above 0.
    pub refused_share: f64,
}

impl Objective {
    /// Returns the error budget of a measure: the share of its total that may be bad.
    pub fn budget(&self, measure: Measure) -> f64 {
        match measure {
            Measure::Stall => self.stalled_share,
            Measure::Preemption => self.preempted_share,
            Measure::BetweenTokens | Measure::FirstToken => self.late_share,
            Measure::Refusal => self.refused_share,
        }
    }
}

/// The total of a measure and its bad part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Good and bad together: microseconds for [`Measure::Stall`], events for the others.
    pub total: u64,
    /// The bad part.
    pub bad: u64,
}

impl Count {
    fn add(&mut self, bad: bool) {
        self.total += 1;
        self.bad += u64::from(bad);
    }

    /// Returns the bad share, or zero if the total is zero.
    pub fn share(self) -> f64 {
        if self.total == 0 { 0.0 } else { self.bad as f64 / self.total as f64 }
    }
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// The counts of every measure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    stall: Count,
    preemption: Count,
    between_tokens: Count,
    first_token: Count,
    refusal: Count,
}

impl Tally {
    /// Returns the counts of one refused request.
    pub fn refused() -> Self {
        Self { refusal: Count { total: 1, bad: 1 }, ..Self::default() }
    }

    /// Returns the counts of one plain call that was answered after `elapsed`.
    pub fn plain(objective: &Objective, elapsed: Duration) -> Self {
        let mut tally = Self { refusal: Count { total: 1, bad: 0 }, ..Self::default() };
        tally.first_token.add(elapsed > objective.first_token);
        tally
    }

    /// Returns the count of one measure.
    pub fn get(&self, measure: Measure) -> Count {
        match measure {
            Measure::Stall => self.stall,
            Measure::Preemption => self.preemption,
            Measure::BetweenTokens => self.between_tokens,
            Measure::FirstToken => self.first_token,
            Measure::Refusal => self.refusal,
        }
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.stall += other.stall;
        self.preemption += other.preemption;
        self.between_tokens += other.between_tokens;
        self.first_token += other.first_token;
        self.refusal += other.refusal;
    }
}

/// Counts the tokens and gaps of one generation as its tokens arrive at the entry.
#[derive(Clone, Debug)]
pub struct Progress {
    objective: Objective,
    /// When the latest token arrived, or the request before the first one.
    last_token: Time,
    started: bool,
    preempted: bool,
    tally: Tally,
}

impl Progress {
    /// Creates the progress of a request that arrives now, so that its wait in the queue counts
    /// towards the first token.
    pub fn new(objective: Objective, now: Time) -> Self {
        let tally = Tally { refusal: Count { total: 1, bad: 0 }, ..Tally::default() };
        Self { objective, last_token: now, started: false, preempted: false, tally }
    }

    /// Records that a token arrived; returns the time to the first token if it is the first.
    pub fn record_token(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last_token);
        self.last_token = now;
        if !self.started {
            self.started = true;
            self.tally.first_token.add(gap > self.objective.first_token);
            return Some(gap);
        }
        self.tally.between_tokens.add(gap > self.objective.between_tokens);
        self.record_gap(gap);
        None
    }

    /// Records that the engine preempted the generation.
    pub fn record_preemption(&mut self) {
        self.preempted = true;
    }

    /// Takes the counts so far, so that a long answer shows up in reports before it ends.
    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }

    /// Returns the counts of a plain call whose response begins now.
    pub fn finish_plain(self, now: Time) -> Tally {
        Tally::plain(&self.objective, now.since(self.last_token))
    }

    /// Returns the counts of a generation that ends now, complete or not. The time since the last
    /// token counts as a gap, so a generation that hung until now was stalled until now.
    pub fn finish(mut self, now: Time) -> Tally {
        if self.started {
            self.record_gap(now.since(self.last_token));
        }
        self.tally.preemption.add(self.preempted);
        self.tally
    }

    fn record_gap(&mut self, gap: Duration) {
        let expected = self.objective.between_tokens;
        self.tally.stall.total += micros(gap);
        if gap > expected * STALL_FACTOR {
            self.tally.stall.bad += micros(gap - expected);
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// A ring buffer of counts in time slots of equal width.
#[derive(Clone, Debug)]
struct Ring {
    /// Width of a slot in microseconds.
    width: u64,
    /// The number of the time slot since the epoch, and its counts.
    slots: Vec<(u64, Tally)>,
}

impl Ring {
    fn new(width: Duration, slots: usize) -> Self {
        Self { width: micros(width), slots: vec![(0, Tally::default()); slots] }
    }

    fn record(&mut self, now: Time, tally: Tally) {
        let number = now.as_micros() / self.width;
        let index = (number % self.slots.len() as u64) as usize;
        let slot = &mut self.slots[index];
        if slot.0 != number {
            *slot = (number, Tally::default());
        }
        slot.1 += tally;
    }

    /// Returns the sum of the counts over the window that ends now.
    fn sum(&self, now: Time, window: Duration) -> Tally {
        let last = now.as_micros() / self.width;
        let count = micros(window) / self.width;
        let mut sum = Tally::default();
        for (number, tally) in &self.slots {
            if *number <= last && last - number < count {
                sum += *tally;
            }
        }
        sum
    }
}

/// Width and number of the slots for the shortest window: five minutes in slots of five seconds.
const FINE: (Duration, usize) = (Duration::from_secs(5), 60);

/// The same for the other windows: six hours in slots of five minutes. Both rings together take
/// 12 KB for each service.
const COARSE: (Duration, usize) = (Duration::from_secs(300), 72);

/// The counts of one service in one process.
#[derive(Clone, Debug)]
pub struct History {
    fine: Ring,
    coarse: Ring,
}

impl Default for History {
    fn default() -> Self {
        Self { fine: Ring::new(FINE.0, FINE.1), coarse: Ring::new(COARSE.0, COARSE.1) }
    }
}

impl History {
    /// Records counts for the current time.
    pub fn record(&mut self, now: Time, tally: Tally) {
        self.fine.record(now, tally);
        self.coarse.record(now, tally);
    }

    /// Returns one reading for each measure.
    pub fn readings(&self, now: Time, objective: &Objective) -> Vec<Reading> {
        let windows = WINDOWS.map(|window| match window == WINDOWS[0] {
            true => self.fine.sum(now, window),
            false => self.coarse.sum(now, window),
        });
        let reading = |measure: Measure| Reading {
            measure,
            budget: objective.budget(measure),
            windows: windows.map(|tally| tally.get(measure)),
        };
        Measure::ALL.into_iter().map(reading).collect()
    }
}

/// How urgent a reading is.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Within budget, or too few events to tell.
    #[default]
    #[display("ok")]
    Ok,
    /// The budget would be spent within a week: needs attention within a day.
    #[display("slow")]
    Slow,
    /// The budget would be spent within days: needs attention at once.
    #[display("fast")]
    Fast,
}

/// One measure of one service over all windows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// What is measured.
    pub measure: Measure,
    /// Share that may be bad.
    pub budget: f64,
    /// The counts over [`WINDOWS`].
    pub windows: [Count; 4],
}

impl Reading {
    /// Returns the burn rate over each window: the bad share divided by the budget.
    pub fn burn_rates(&self) -> [f64; 4] {
        self.windows.map(|count| count.share() / self.budget.max(f64::MIN_POSITIVE))
    }

    /// Adds the counts of the same measure from another process.
    pub fn merge(&mut self, other: &Self) {
        for (own, more) in self.windows.iter_mut().zip(other.windows) {
            *own += more;
        }
    }

    /// Returns how urgent the reading is.
    pub fn level(&self) -> Level {
        let [five_minutes, half_hour, hour, six_hours] = self.burn_rates();
        let enough = |window: usize| self.windows[window].total >= self.measure.min_total();
        if enough(2) && five_minutes >= FAST_BURN && hour >= FAST_BURN {
            return Level::Fast;
        }
        if enough(3) && half_hour >= SLOW_BURN && six_hours >= SLOW_BURN {
            return Level::Slow;
        }
        Level::Ok
    }
}

impl fmt::Display for Reading {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [short, _, _, long] = self.burn_rates();
        write!(f, "{} burns {short:.1} (5 min), {long:.1} (6 h): {}", self.measure, self.level())
    }
}
