//! What one play showed, seen from the callers.

use std::time::Duration;

use fireflyhoist_policy::time::Time;
use hdrhistogram::Histogram;

/// What became of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// Still open when the play ended.
    #[default]
    Open,
    /// The whole answer came, begun in time.
    Whole,
    /// Refused on arrival.
    Refused,
    /// Accepted, but not begun by its deadline.
    Late,
    /// Accepted and then lost.
    Lost,
}

/// One request's story.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fate {
    /// How it ended.
    pub end: End,
    /// From arrival to the first token, where one came.
    pub wait: Option<Duration>,
    /// When it ended.
    pub at: Time,
    /// Tokens received.
    pub tokens: u64,
    /// Time beyond [`STALL`] in gaps between its tokens.
    pub stall: Duration,
}

/// A gap between tokens longer than this reads as a stall: some four objectives of 57 ms.
pub const STALL: Duration = Duration::from_millis(250);

/// All that one play showed.
#[derive(Debug)]
pub struct Run {
    /// Who sent.
    pub name: &'static str,
    /// One for each arrival, in the same order.
    pub fates: Vec<Fate>,
    /// Gaps between tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// Preemptions in all engines.
    pub preemptions: u64,
    /// Tokens computed again in all engines.
    pub recomputed: u64,
    /// Attempts written to engines.
    pub sends: u64,
    /// Attempts beyond a request's first.
    pub resends: u64,
    /// The share of engine time in which a begun stream waited for memory.
    pub over: f64,
}

/// A histogram of microseconds up to an hour, three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are in order")
}

/// Microseconds of a span, for a histogram.
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1)
}
