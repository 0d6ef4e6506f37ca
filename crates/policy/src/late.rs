//! What becomes of generations that can no longer begin on time.
//!
//! **Load pattern** (`overload`): for seconds or minutes a seventh more long answers are asked for
//! than the engines' memory holds, because some engines are being replaced all the time.
//!
//! **Without it.** A late answer holds memory for as long as one that is on time, and is worth a
//! sixth of it to its caller. Where both take what is free, those that were late already make those
//! behind them late as well, and in the end a third are, though one in seven would have to be. Those
//! that find no room wait until their callers give up, without a word.
//!
//! **With it** what is late takes room only where a third of an engine would stay free, so that
//! requests that can still begin on time find some; it is told soon that it was not run, and when to
//! come back; and when it does come back it is known as the late one that it is
//! ([`crate::resubmission`]), and waits for what is left over for as long as its caller bears.
//!
//! The price: who was unlucky once is served after all who are not late yet, or not at all. Sizes
//! and workspaces are no part of it; their turns are [`crate::queue`]'s.

use std::time::Duration;

use rand::Rng;

/// Part of an engine's memory that late answers leave free: two ordinary answers of six. On two
/// heavy days of the larger new deployment the worth was 0.612 without any, 0.637 with 0.2, 0.634 with
/// 0.35, and 0.638 with 0.35 where late ones waited 4 s (trials).
pub(crate) const RESERVE: f64 = 0.35;

/// How long a request that is late waits for room before it is sent away. Room comes up within
/// tenths of a second or not for seconds: with 4 s the worth was the same within noise, and callers
/// were told later.
pub(crate) const LINGER: Duration = Duration::from_millis(300);

/// When those that are sent away are to come back: engines that were taken back are replaced after
/// four to six seconds. Spread by half, so that those refused together do not return together.
const AWAY: Duration = Duration::from_secs(5);

/// When one that is sent away is to come back.
pub(crate) fn come_back(rng: &mut impl Rng) -> Duration {
    AWAY.mul_f64(rng.random_range(1.0..1.5))
}
