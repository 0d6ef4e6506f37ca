//! Random delays that let few of many processes do what one may do for all.
//!
//! With delays drawn evenly from a window, the number of processes that act before they learn of
//! the first one grows with the fleet. With a distribution that grows exponentially over the window
//! it does not; protocols that suppress feedback in multicast groups use the same distribution.

use std::time::Duration;

/// Fleet size for which the distribution is made; in larger fleets slightly more entries act.
const FLEET_SIZE: f64 = 1_000.0;

/// Returns a delay of at most `window`, with `draw` drawn evenly from 0 to 1.
pub fn delay(window: Duration, draw: f64) -> Duration {
    window.mul_f64((draw * (FLEET_SIZE - 1.0)).ln_1p() / FLEET_SIZE.ln())
}
