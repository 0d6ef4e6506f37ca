//! Decides whether an entry that shuts down serves a generation or sends its caller away.
//!
//! In a rolling restart, entries are stopped one after the other, each with a grace period of some
//! seconds. Callers keep connecting to a stopping entry for as long as they cache its address, and
//! a long answer that begins there is cut when the process ends.
//!
//! A caller that is told to retry soon would use the addresses that it still caches, reach another
//! entry that shuts down, and exhaust its retries: where two of six entries stop at a time, 46 of
//! 47 callers that are sent away are sent away twice. Callers are therefore told to retry once
//! their cached addresses have expired. Where no other entry accepts callers, answers that can
//! still finish here are served.

use std::time::Duration;

use crate::unit::Tokens;

/// The longest time per token on a full engine that also runs prefills. Engines take 9 to 13 ms; an
/// answer that does not finish before the process ends is lost, so the bound is higher.
const MAX_TOKEN_TIME: Duration = Duration::from_millis(15);

/// The factor applied to the caller's length estimate: half of all estimates are too short, and one
/// in five by more than this factor.
const LENGTH_FACTOR: u64 = 2;

/// The first part of the grace period, in which long answers may still begin. An estimate may be
/// wrong by any factor, and an answer that begins late in the grace period may be cut although its
/// caller could have been sent away.
const ACCEPT_FRACTION: f64 = 1.0 / 3.0;

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
    /// How long this entry still runs.
    pub remaining: Duration,
    /// How long callers cache the addresses of entries.
    pub address_ttl: Duration,
}

/// What to do with a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Serve it here; it is expected to finish in time.
    Serve,
    /// Send the caller away, to retry after this delay.
    RetryAfter(Duration),
}

/// Decides on a long answer with this expected number of tokens.
pub fn decide(state: &State, expected: Tokens) -> Decision {
    if state.peers_accept {
        let cached_for = state.address_ttl.saturating_sub(state.draining_for);
        return Decision::RetryAfter(cached_for + MIN_RETRY_DELAY);
    }
    let tokens = u32::try_from(expected.get().saturating_mul(LENGTH_FACTOR)).unwrap_or(u32::MAX);
    let grace = state.draining_for + state.remaining;
    let accepting = state.draining_for <= grace.mul_f64(ACCEPT_FRACTION);
    match accepting && MAX_TOKEN_TIME.saturating_mul(tokens) < state.remaining {
        true => Decision::Serve,
        false => Decision::RetryAfter(state.remaining + RESTART_TIME),
    }
}
