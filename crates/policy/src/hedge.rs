//! Hedges: a second send of an idempotent lookup that is slower than most.
//!
//! **Load pattern.** Small lookups of the search and booking pages, of which now and then one
//! meets a stalled link or a paused target. A lookup simply has to answer.
//!
//! **Without it.** The page waits for the slowest target, up to the timeout.
//!
//! **Figures.** A hedge goes out after the [`QUANTILE`] of recent latencies, so that about one
//! lookup in twenty asks for one, and [`EARNED`] grants no more than that even when all are slow:
//! hedges must not double the load of an overloaded service. Generations are never hedged, since
//! a second one costs an engine's memory, and calls that are not idempotent run at most once.

use std::time::Duration;

/// The quantile of recent latencies after which a hedge goes out.
pub const QUANTILE: f64 = 0.95;

/// What one lookup earns, in hedges.
pub const EARNED: f64 = 0.05;

/// The most hedges that may be saved up: a stalled target holds about that many lookups.
pub const BURST: f64 = 5.0;

/// The shortest delay: below a round trip between failure domains a hedge can gain nothing.
pub const SHORTEST: Duration = Duration::from_millis(2);

/// Latencies remembered; enough for a steady 95th percentile, few enough to follow a change.
const WINDOW: usize = 256;

/// Latencies needed before the quantile means anything.
const NEEDED: usize = 20;

/// How many new latencies change the delay; sorting the window for each would be waste.
const REFRESH: usize = 16;

/// Decides on the hedges of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    recent: Vec<Duration>,
    next: usize,
    fresh: usize,
    delay: Option<Duration>,
    left: f64,
}

impl Budget {
    /// Opens a budget that has seen no lookup and grants no hedge yet.
    pub fn open() -> Self {
        Self::default()
    }

    /// Notes that a lookup was sent, which earns a part of a hedge.
    pub fn sent(&mut self) {
        self.left = (self.left + EARNED).min(BURST);
    }

    /// Notes how long an answered lookup took, hedged or not.
    pub fn answered(&mut self, latency: Duration) {
        match self.recent.get_mut(self.next) {
            Some(oldest) => *oldest = latency,
            None => self.recent.push(latency),
        }
        self.next = (self.next + 1) % WINDOW;
        self.fresh += 1;
        if self.recent.len() >= NEEDED && (self.fresh >= REFRESH || self.delay.is_none()) {
            self.fresh = 0;
            self.delay = Some(self.quantile().max(SHORTEST));
        }
    }

    /// How long to wait for the first answer before a hedge, or `None` while too little is known.
    pub fn delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Takes one hedge, or says that none is left.
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
