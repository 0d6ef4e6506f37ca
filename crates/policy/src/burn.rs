//! Service-level burn: how fast each service spends what its objective lets go wrong.
//!
//! The load pattern is an ordinary day with a bad quarter of an hour in it. A plain error rate over
//! the day hides it, and one over a minute cries at each late token. So each measure is held
//! against its budget over a short and a long window at once, as in the multi-window,
//! multi-burn-rate alerts of the Site Reliability Workbook (chapter 5): the long window says that
//! it matters, the short one that it still goes on. Without the pair, an alert rings for hours
//! after the cause is gone.
//!
//! Burn 1 spends the budget exactly. The thresholds are that chapter's: 14.4 over an hour spends
//! two percent of a month's budget, 6 over six hours five percent. `docs/OPERATIONS.md` says what
//! to do at each level.

use std::fmt;
use std::ops::AddAssign;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// The windows of a report, shortest first.
pub const WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(1_800),
    Duration::from_secs(3_600),
    Duration::from_secs(21_600),
];

/// Burn over five minutes and an hour at which somebody should look at once.
pub const FAST: f64 = 14.4;

/// Burn over half an hour and six hours at which somebody should look today.
pub const SLOW: f64 = 6.0;

/// A gap this many times the objective is a stall: at 57 ms more than half a second, which a reader
/// sees as a halt rather than as slowness.
const STALL_FACTOR: u32 = 10;

/// What is measured, the users' three measures first.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Microseconds of generation time that were stalled.
    #[display("stall time")]
    Stall,
    /// Answers that an engine preempted.
    #[display("preemptions")]
    Preemption,
    /// Gaps between tokens over the objective.
    #[display("between tokens")]
    BetweenTokens,
    /// First tokens over the objective.
    #[display("first token")]
    FirstToken,
    /// Requests refused.
    #[display("refusals")]
    Refusal,
}

impl Measure {
    /// All measures, in the order of reports.
    pub const ALL: [Self; 5] =
        [Self::Stall, Self::Preemption, Self::BetweenTokens, Self::FirstToken, Self::Refusal];

    /// The least that a long window must hold before a level is raised: one refusal among three
    /// requests at night is no incident. A minute of generation, or fifty events.
    fn least(self) -> u64 {
        match self {
            Self::Stall => 60_000_000,
            _ => 50,
        }
    }
}

/// What a service promises.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub between_tokens: Duration,
    /// The share of first tokens and gaps that may be later, above 0.
    pub late_share: f64,
    /// The share of generation time that may be stalled, above 0.
    pub stalled_share: f64,
    /// The share of answers that may be preempted, above 0.
    pub preempted_share: f64,
    /// The share of requests that may be refused, above 0.
    pub refused_share: f64,
}

impl Objective {
    /// The share of a measure's total that may be bad.
    pub fn budget(&self, measure: Measure) -> f64 {
        match measure {
            Measure::Stall => self.stalled_share,
            Measure::Preemption => self.preempted_share,
            Measure::BetweenTokens | Measure::FirstToken => self.late_share,
            Measure::Refusal => self.refused_share,
        }
    }
}

/// How much there was of a measure and how much of it was bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All of it: microseconds for [`Measure::Stall`], events for the others.
    pub total: u64,
    /// The bad part.
    pub bad: u64,
}

impl Count {
    fn add(&mut self, bad: bool) {
        self.total += 1;
        self.bad += u64::from(bad);
    }

    /// The bad share; zero where there was nothing.
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

/// Counts of every measure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    stall: Count,
    preemption: Count,
    between_tokens: Count,
    first_token: Count,
    refusal: Count,
}

impl Tally {
    /// One request that was refused.
    pub fn refused() -> Self {
        Self { refusal: Count { total: 1, bad: 1 }, ..Self::default() }
    }

    /// One plain call answered after `elapsed`.
    pub fn plain(objective: &Objective, elapsed: Duration) -> Self {
        let mut tally = Self { refusal: Count { total: 1, bad: 0 }, ..Self::default() };
        tally.first_token.add(elapsed > objective.first_token);
        tally
    }

    /// The counts of one measure.
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

/// Watches one generation as its tokens arrive at the entry.
#[derive(Clone, Debug)]
pub struct Progress {
    objective: Objective,
    since: Time,
    begun: bool,
    preempted: bool,
    tally: Tally,
}

impl Progress {
    /// Begins when a request arrives, so that its wait counts towards the first token.
    pub fn open(objective: Objective, now: Time) -> Self {
        let tally = Tally { refusal: Count { total: 1, bad: 0 }, ..Tally::default() };
        Self { objective, since: now, begun: false, preempted: false, tally }
    }

    /// Notes that a token arrived and returns how long the first one took, if it is that.
    pub fn token(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.since);
        self.since = now;
        if !self.begun {
            self.begun = true;
            self.tally.first_token.add(gap > self.objective.first_token);
            return Some(gap);
        }
        self.tally.between_tokens.add(gap > self.objective.between_tokens);
        self.span(gap);
        None
    }

    /// Notes that the engine preempted the generation.
    pub fn preempted(&mut self) {
        self.preempted = true;
    }

    /// Hands over what was counted so far, so that an answer of an hour shows before its end.
    pub fn take(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }

    /// Ends the watch of a plain call whose response begins now.
    pub fn answered(self, now: Time) -> Tally {
        Tally::plain(&self.objective, now.since(self.since))
    }

    /// Ends the watch, whole or not; a generation that hung until now was stalled until now.
    pub fn finish(mut self, now: Time) -> Tally {
        if self.begun {
            self.span(now.since(self.since));
        }
        self.tally.preemption.add(self.preempted);
        self.tally
    }

    fn span(&mut self, gap: Duration) {
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

/// Counts by time, in slots of one width that are written over in a circle.
#[derive(Clone, Debug)]
struct Ring {
    width: u64,
    slots: Vec<(u64, Tally)>,
}

impl Ring {
    fn open(width: Duration, slots: usize) -> Self {
        Self { width: micros(width), slots: vec![(0, Tally::default()); slots] }
    }

    fn record(&mut self, now: Time, tally: Tally) {
        let epoch = now.as_micros() / self.width;
        let index = (epoch % self.slots.len() as u64) as usize;
        let slot = &mut self.slots[index];
        if slot.0 != epoch {
            *slot = (epoch, Tally::default());
        }
        slot.1 += tally;
    }

    fn over(&self, now: Time, window: Duration) -> Tally {
        let epoch = now.as_micros() / self.width;
        let reach = micros(window) / self.width;
        let mut sum = Tally::default();
        for (at, tally) in &self.slots {
            if *at <= epoch && epoch - at < reach {
                sum += *tally;
            }
        }
        sum
    }
}

/// Slots of the short windows: five minutes by five seconds.
const FINE: (Duration, usize) = (Duration::from_secs(5), 60);

/// Slots of the long windows: six hours by five minutes. Both rings together take 12 KB a service.
const COARSE: (Duration, usize) = (Duration::from_secs(300), 72);

/// What one process remembers of one service.
#[derive(Clone, Debug)]
pub struct History {
    fine: Ring,
    coarse: Ring,
}

impl Default for History {
    fn default() -> Self {
        Self { fine: Ring::open(FINE.0, FINE.1), coarse: Ring::open(COARSE.0, COARSE.1) }
    }
}

impl History {
    /// Takes in counts of just now.
    pub fn record(&mut self, now: Time, tally: Tally) {
        self.fine.record(now, tally);
        self.coarse.record(now, tally);
    }

    /// One reading for each measure.
    pub fn readings(&self, now: Time, objective: &Objective) -> Vec<Reading> {
        let windows = WINDOWS.map(|window| match window == WINDOWS[0] {
            true => self.fine.over(now, window),
            false => self.coarse.over(now, window),
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
    /// Within budget, or too little seen.
    #[default]
    #[display("ok")]
    Ok,
    /// The budget goes too fast for the week: look today.
    #[display("slow")]
    Slow,
    /// The budget goes within days: look at once.
    #[display("fast")]
    Fast,
}

/// One measure of one service over all windows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// What is measured.
    pub measure: Measure,
    /// The share that may be bad.
    pub budget: f64,
    /// The counts over [`WINDOWS`].
    pub windows: [Count; 4],
}

impl Reading {
    /// Burn over each window: the bad share in budgets.
    pub fn burns(&self) -> [f64; 4] {
        self.windows.map(|count| count.share() / self.budget.max(f64::MIN_POSITIVE))
    }

    /// Adds what another process read of the same measure.
    pub fn merge(&mut self, other: &Self) {
        for (own, more) in self.windows.iter_mut().zip(other.windows) {
            *own += more;
        }
    }

    /// How urgent it is.
    pub fn level(&self) -> Level {
        let [five_minutes, half_hour, hour, six_hours] = self.burns();
        let enough = |window: usize| self.windows[window].total >= self.measure.least();
        if enough(2) && five_minutes >= FAST && hour >= FAST {
            return Level::Fast;
        }
        if enough(3) && half_hour >= SLOW && six_hours >= SLOW {
            return Level::Slow;
        }
        Level::Ok
    }
}

impl fmt::Display for Reading {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [short, _, _, long] = self.burns();
        write!(f, "{} burns {short:.1} (5 min), {long:.1} (6 h): {}", self.measure, self.level())
    }
}
