//! What an entry that leaves does with a generation that is asked of it.
//!
//! **Load pattern** (`rolling restart`): entries are stopped one after the other, each with some
//! seconds of grace, and callers go on connecting to one for as long as they keep its address. A
//! long answer that begins there is cut with the process.
//!
//! **Without it** a caller is sent away with a short time to come back, asks with the addresses that
//! it still keeps, meets another entry that leaves, and has used up its tries. On a day on which two
//! of six entries at a time were stopped, 46 of 47 callers who were sent away were sent away twice.
//! **With it** a caller comes back when its addresses are new; and where no other entry takes
//! callers, what can still end here is served.

use std::time::Duration;

use crate::unit::Tokens;

/// How long an engine takes for a token at most, full and with prompts to read: 9 to 13 ms were
/// measured, and an answer that does not end in time is lost.
const TOKEN: Duration = Duration::from_millis(15);

/// How many times longer than its caller's guess an answer is taken to be: half of all guesses are
/// too short, and one in five by more than this.
const CAUTION: u64 = 2;

/// The part of the grace in which long answers still begin. A guess may be wrong by any factor, and
/// an answer that began late in the grace is cut although its caller could have been sent away.
const EARLY: f64 = 1.0 / 3.0;

/// Shortest time to come back: a round trip, and the caller's new connection.
const SOON: Duration = Duration::from_millis(50);

/// From the end of a process until the one that takes its place serves: 15 to 20 ms were measured,
/// and the platform takes some hundred to start it.
const RESTART: Duration = Duration::from_millis(700);

/// Where the entry and its peers stand.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// Whether any other entry takes callers.
    pub others: bool,
    /// For how long this one has been leaving.
    pub since: Duration,
    /// How long it still runs.
    pub left: Duration,
    /// For how long callers keep addresses.
    pub fresh: Duration,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Serve it here: it ends in time.
    Serve,
    /// Send it away, to come back after so long.
    ComeBack(Duration),
}

/// Decides on a long answer that is expected to hold so many tokens.
pub fn choose(situation: &Situation, expected: Tokens) -> Choice {
    if situation.others {
        let stale = situation.fresh.saturating_sub(situation.since);
        return Choice::ComeBack(stale + SOON);
    }
    let tokens = u32::try_from(expected.get().saturating_mul(CAUTION)).unwrap_or(u32::MAX);
    let grace = situation.since + situation.left;
    let early = situation.since <= grace.mul_f64(EARLY);
    match early && TOKEN.saturating_mul(tokens) < situation.left {
        true => Choice::Serve,
        false => Choice::ComeBack(situation.left + RESTART),
    }
}
