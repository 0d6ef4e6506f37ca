//! Who waits at the platform, and how seldom the others ask.
//!
//! The platform counts a waiting watch as a call and its rates grow more slowly than the fleet. So
//! a fixed number of processes in each failure domain watches, and the others share one fixed rate
//! of polls among them, whatever their number.

use std::time::Duration;

use rand::Rng;

use crate::id;
use crate::rendezvous;

/// Watchers in each failure domain: one may die or stall and the news still enters the domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// The time between two polls of all non-watchers together, a fleet-wide rate of two a second; a
/// thousandth of what the platform answers.
const FLEET_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The least time between polls of one process, so that a small fleet does not poll busily.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Jitter as a share of the interval, so that processes started together drift apart.
const JITTER: f64 = 0.5;

/// Whether `own` is one of the watchers of its failure domain, whose members are `domain_members`.
///
/// Every process ranks alike without agreeing; two that see different members may both watch for a
/// while, which costs calls and nothing else.
pub fn is_watcher(own: &id::Host, domain: &id::Domain, domain_members: &[id::Host]) -> bool {
    let ranks_higher = |member: &&id::Host| {
        let theirs = rendezvous::weight(domain.as_str(), member.as_str());
        let ours = rendezvous::weight(domain.as_str(), own.as_str());
        (theirs, member.as_str()) > (ours, own.as_str())
    };
    domain_members.iter().filter(ranks_higher).count() < WATCHERS_PER_DOMAIN
}

/// How long a process that is no watcher waits before it polls again.
pub fn poll_interval(members: usize, random: &mut impl Rng) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let interval = FLEET_POLL_INTERVAL.saturating_mul(members).max(MIN_POLL_INTERVAL);
    interval.mul_f64(1.0 + JITTER * (random.random::<f64>() - 0.5))
}
