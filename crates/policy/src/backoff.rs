//! How often entries call a registry that does not answer.
//!
//! The registry may be down for seconds, or refuse some hosts, while hundreds of entries wait for
//! it. Calls of all of them would only add load and would learn nothing that a few can't learn: the
//! first entry that gets an answer announces it in its heartbeats. So a bounded number of active
//! entries call at the full rate, the other active entries slowly, and each standby entry only
//! after a random delay, chosen so that few of them call within an ordinary outage.

use std::ops::Range;
use std::time::Duration;

use crate::suppress;

/// Number of active entries that call at the full rate; more than the entries that watch the
/// registry, since it may refuse some of them.
pub const PRIMARIES: usize = 6;

/// Delays after consecutive failed calls, in milliseconds. Each is drawn from its range, so that
/// entries don't call at the same time.
const DELAYS_MS: [Range<f64>; 3] = [100.0..200.0, 200.0..400.0, 400.0..700.0];

/// How many times longer the delays of [`Role::Secondary`] are.
const SECONDARY_FACTOR: f64 = 6.0;

/// Time within which at least one standby entry calls, however many there are: the registry may
/// refuse the active entries that an entry is linked to and answer the entry itself.
pub const STANDBY_WINDOW: Duration = Duration::from_secs(20);

/// The role of an entry in calling the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// One of the first [`PRIMARIES`] active entries; it calls at the full rate.
    Primary,
    /// Any other entry that serves callers, or one that has neither callers nor links; it calls
    /// slowly.
    Secondary,
    /// An entry that serves no callers and receives what changes from those that do.
    Standby,
}

/// Returns the delay before the next call after `failures` consecutive failed calls, with `draw`
/// drawn evenly from 0 to 1.
pub fn delay(role: Role, failures: usize, draw: f64) -> Duration {
    let range = &DELAYS_MS[failures.saturating_sub(1).min(DELAYS_MS.len() - 1)];
    let delay = Duration::from_secs_f64((range.start + (range.end - range.start) * draw) / 1e3);
    match role {
        Role::Primary => delay,
        Role::Secondary => delay.mul_f64(SECONDARY_FACTOR),
        Role::Standby => suppress::delay(STANDBY_WINDOW, draw),
    }
}

/// Returns the delay before the first call of an entry that no longer receives updates from others,
/// with `draw` drawn evenly from 0 to 1.
pub fn initial_delay(role: Role, draw: f64) -> Duration {
    match role {
        Role::Primary | Role::Secondary => Duration::ZERO,
        Role::Standby => suppress::delay(STANDBY_WINDOW, draw),
    }
}
