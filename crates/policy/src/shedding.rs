//! Load shedding of generations that can no longer begin by their objective.
//!
//! For seconds or minutes, a seventh more long answers are requested than fit into the memory of
//! the engines, because some engines are being replaced all the time. A late answer holds memory
//! for as long as one that is on time, and is worth a sixth of it to its caller. If both take
//! whatever is free, late requests make those behind them late as well: in the end a third are
//! late, although one in seven would have to be. Requests that find no room would wait, without an
//! answer, until their callers give up.
//!
//! So a late request takes room only where a third of an engine would stay free, which leaves room
//! for requests that can still begin on time. If it finds none, it is refused soon, with a retry
//! delay. If it returns, it is recognised as late ([`crate::resubmission`]) and waits for spare
//! capacity until its deadline.
//!
//! The cost is that a request that is late once is served after all that are not, or not at all.
//! Sizes and workspaces have no influence here; fairness is up to [`crate::queue`].

use std::time::Duration;

use rand::Rng;

/// Part of an engine's memory that late answers leave free: two ordinary answers of six. Without a
/// reserve, callers are served worse under heavy load; a reserve of 0.2 has about the same effect.
pub(crate) const RESERVE: f64 = 0.35;

/// How long a late request waits for room before it is refused. Room becomes free within tenths of
/// a second or not for seconds: with 4 s callers are served no better, and learn of the
/// refusal later.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(300);

/// Shortest retry delay: reclaimed engines are replaced after four to six seconds. The delay is
/// spread by up to half, so that requests that are refused together do not return together.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Returns the retry delay of a request that is refused because it is late.
pub(crate) fn retry_after(rng: &mut impl Rng) -> Duration {
    MIN_RETRY_AFTER.mul_f64(rng.random_range(1.0..1.5))
}
