//! Decides whether an entry that shuts down serves a request or sends its caller away.
//!
//! In a rolling restart, entries are stopped one after the other, each with a grace period of some
//! seconds. Callers keep connecting to a stopping entry for as long as they cache its address, and
//! an answer that has not ended when the process does is cut.
//!
//! A caller that is told to retry soon would use the addresses that it still caches, reach another
//! entry that shuts down, and exhaust its retries: where two of six entries stop at a time, 46 of
//! 47 callers that are sent away are sent away twice. Callers are therefore told to retry once
//! their cached addresses have expired. Where no other entry accepts callers, requests that can
//! still end here are served.

use std::time::Duration;

use crate::call_time::Expected;
use crate::unit::Tokens;

/// The longest time per token on a full engine that also runs prefills. Engines take 9 to 13 ms; an
/// answer that does not finish before the process ends is lost, so the bound is higher.
const MAX_TOKEN_TIME: Duration = Duration::from_millis(15);

/// The longest time from sending a generation to its first token that is usual on a full engine.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(500);

/// The longest time that a repeatable request other than a generation is expected to take early in a
/// drain, whatever the objective of its route, while nothing is known of others. One that takes longer
/// at the end of a drain is still answered with a status, so a stall of its target is left out.
const MAX_LOOKUP_TIME: Duration = Duration::from_secs(1);

/// How much longer a generation may take at an engine that stalls. Engines that work may pause for a
/// second or so, and then run the requests of that time first.
const STALL_TIME: Duration = Duration::from_millis(2_600);

/// The factor applied to the caller's length estimate: half of all estimates are too short, and one
/// in five by more than this factor.
const LENGTH_FACTOR: u64 = 2;

/// The first part of the grace period, in which answers may begin by their callers' estimates. An
/// estimate may be wrong by any factor, and an answer that begins late in the grace period may be
/// cut although its caller could have been sent away.
const ACCEPT_FRACTION: f64 = 1.0 / 3.0;

/// The longest time from the first to the last token of an answer that is held back until it is
/// complete. Callers give up after two seconds without an event.
const MAX_HOLD_TIME: Duration = Duration::from_millis(1_500);

/// The shortest retry delay: a round trip and the caller's new connection.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time from the end of a process until its replacement serves: 15 to 20 ms of startup, after
/// the platform has taken some hundred milliseconds to start it.
const RESTART_TIME: Duration = Duration::from_millis(700);

/// The state of the entry and its peers.
#[derive(Clone, Copy, Debug)]
pub struct State {
    /// Whether any other entry accepts callers.
    pub peers_accept: bool,
    /// How long this entry has been shutting down.
    pub draining_for: Duration,
    /// The part of the grace period that is left.
    pub remaining: Duration,
    /// How long this entry still waits for answers; less than `remaining`.
    pub open_for: Duration,
    /// How long callers cache the addresses of entries.
    pub address_ttl: Duration,
}

/// What is known about how long a request takes once it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// What is asked of the target.
    pub kind: Kind,
    /// The time until the caller gives up, at which the request ends in any case.
    pub time_left: Duration,
}

/// What a request asks of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A generation.
    Generation {
        /// The caller's estimate of its length.
        expected: Tokens,
        /// The length that the caller allows; `None` if unlimited.
        limit: Option<Tokens>,
        /// Whether it is expected to take longer than the notice that entries give before they
        /// stop.
        long: bool,
    },
    /// Any other request.
    Lookup {
        /// The objective of the route.
        objective: Duration,
        /// How long it is expected to take, by others of its route.
        expected: Expected,
        /// Whether it may run more than once.
        repeatable: bool,
    },
}

/// What to do with a request that has not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Serve it here; it is expected to end in time.
    Serve,
    /// Send the caller away, to retry after this delay.
    RetryAfter(Duration),
}

/// Decides on a request that has not been sent to a target.
pub fn decide(state: &State, work: &Work) -> Decision {
    match is_served(state, work) {
        true => Decision::Serve,
        false => Decision::RetryAfter(retry_after(state)),
    }
}

/// Returns when a caller that is sent away should retry.
pub fn retry_after(state: &State) -> Duration {
    match state.peers_accept {
        true => state.address_ttl.saturating_sub(state.draining_for) + MIN_RETRY_DELAY,
        false => state.remaining + RESTART_TIME,
    }
}

/// Returns whether the answer to a request that was sent is held back until it is complete.
///
/// Late in a drain, an answer may be cut if its engine stalls. One that is held back then ends with a
/// status, and a short one is complete almost as soon as it begins.
pub fn is_held(state: &State, work: &Work) -> bool {
    let Kind::Generation { limit: Some(limit), .. } = work.kind else { return false };
    let may_be_cut = work.time_left.min(generation_time(limit) + STALL_TIME) >= state.open_for;
    may_be_cut && token_time(limit) <= MAX_HOLD_TIME
}

fn is_served(state: &State, work: &Work) -> bool {
    let time = match work.kind {
        Kind::Lookup { objective, expected, repeatable } => {
            let unknown = match repeatable && is_early(state) {
                true => objective.min(MAX_LOOKUP_TIME),
                false => objective,
            };
            expected.ended.unwrap_or(unknown).max(expected.running)
        }
        Kind::Generation { long: true, .. } if state.peers_accept && is_early(state) => {
            return false;
        }
        Kind::Generation { expected, .. } if is_early(state) => {
            generation_time(Tokens::new(expected.get().saturating_mul(LENGTH_FACTOR)))
        }
        Kind::Generation { limit: Some(limit), .. } if is_held(state, work) => {
            generation_time(limit)
        }
        Kind::Generation { limit: Some(limit), .. } => generation_time(limit) + STALL_TIME,
        Kind::Generation { limit: None, .. } => Duration::MAX,
    };
    time.min(work.time_left) < state.open_for
}

fn is_early(state: &State) -> bool {
    let grace = state.draining_for + state.remaining;
    state.draining_for <= grace.mul_f64(ACCEPT_FRACTION)
}

/// Returns the longest time that a generation of this length takes at an engine that does not stall.
fn generation_time(length: Tokens) -> Duration {
    FIRST_TOKEN_TIME + token_time(length)
}

fn token_time(length: Tokens) -> Duration {
    MAX_TOKEN_TIME.saturating_mul(u32::try_from(length.get()).unwrap_or(u32::MAX))
}
