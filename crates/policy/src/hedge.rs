//! Hedged requests: a second attempt of an idempotent lookup that takes longer than most.
//!
//! A small lookup that meets a stalled link or a paused target would otherwise wait up to the
//! timeout, and the page that needs it with it.
//!
//! The hedge is sent after the [`QUANTILE`] of recent latencies, so that about one lookup in twenty
//! qualifies, and [`EARNED_PER_LOOKUP`] bounds hedges to that rate even if all lookups are slow: hedges must
//! not double the load of an overloaded service. Generations are never hedged, since a second one
//! uses memory of an engine, and calls that are not idempotent run at most once.

use std::time::Duration;

/// Quantile of recent latencies after which a hedge is sent.
pub const QUANTILE: f64 = 0.95;

/// Hedges that one lookup adds to the budget.
pub const EARNED_PER_LOOKUP: f64 = 0.05;

/// Capacity of the budget, in hedges: about as many lookups are in flight at a target that stalls.
pub const BURST: f64 = 5.0;

/// Shortest delay before a hedge: below a round trip between failure domains a hedge gains nothing.
pub const MIN_DELAY: Duration = Duration::from_millis(2);

/// Latencies in the window: enough for a steady 95th percentile, few enough to follow a change.
const WINDOW: usize = 256;

/// Latencies needed before the quantile is meaningful.
const MIN_SAMPLES: usize = 20;

/// New latencies after which the delay is recomputed, since that selects from the whole window.
const REFRESH: usize = 16;

/// Budget and delay of hedges, for one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    recent: Vec<Duration>,
    next: usize,
    fresh: usize,
    delay: Option<Duration>,
    left: f64,
}

impl Budget {
    /// Creates a budget that has seen no lookup and grants no hedge yet.
    pub fn open() -> Self {
        Self::default()
    }

    /// Records that a lookup was sent, which adds [`EARNED_PER_LOOKUP`] to the budget.
    pub fn sent(&mut self) {
        self.left = (self.left + EARNED_PER_LOOKUP).min(BURST);
    }

    /// Records the latency of a lookup, hedged or not.
    pub fn answered(&mut self, latency: Duration) {
        match self.recent.get_mut(self.next) {
            Some(oldest) => *oldest = latency,
            None => self.recent.push(latency),
        }
        self.next = (self.next + 1) % WINDOW;
        self.fresh += 1;
        if self.recent.len() >= MIN_SAMPLES && (self.fresh >= REFRESH || self.delay.is_none()) {
            self.fresh = 0;
            self.delay = Some(self.quantile().max(MIN_DELAY));
        }
    }

    /// Returns how long to wait for the first attempt before a hedge is sent; `None` while too few
    /// latencies are known.
    pub fn delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Takes one hedge from the budget; returns false if none is left.
    pub fn try_take(&mut self) -> bool {
        let granted = self.left >= 1.0;
        if granted {
            self.left -= 1.0;
        }
        granted
    }

    fn quantile(&self) -> Duration {
        let mut sorted = self.recent.clone();
        let at = ((sorted.len() - 1) as f64 * QUANTILE) as usize;
        *sorted.select_nth_unstable(at).1
    }
}
