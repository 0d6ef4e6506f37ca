//! Which processes watch the platform, and how often the others poll it.
//!
//! The platform counts a waiting watch as a call, and its call limits grow more slowly than the
//! fleet. A fixed number of processes in each failure domain therefore watches, and all others
//! share one fixed poll rate, whatever their number.

use std::time::Duration;

use rand::Rng;

use crate::id;
use crate::rendezvous;

/// The number of watchers in each failure domain: if one dies or stalls, changes still reach the
/// domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// The time between two polls of all non-watchers together. Two polls a second are a thousandth of
/// what the platform answers.
const FLEET_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest time between two polls of one process, so that a small fleet does not poll too
/// often.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// The jitter as a fraction of the interval, so that processes started together drift apart.
const JITTER: f64 = 0.5;

/// Returns whether `own` is a watcher of its failure domain `domain`, given the members of that
/// domain.
///
/// Every process computes the same ranking without coordination. Processes that see different
/// members may watch for a while in excess, which costs calls but nothing else.
pub fn is_watcher(own: &id::Host, domain: &id::Domain, domain_members: &[id::Host]) -> bool {
    let ranks_higher = |member: &&id::Host| {
        let theirs = rendezvous::weight(domain.as_str(), member.as_str());
        let ours = rendezvous::weight(domain.as_str(), own.as_str());
        (theirs, member.as_str()) > (ours, own.as_str())
    };
    domain_members.iter().filter(ranks_higher).count() < WATCHERS_PER_DOMAIN
}

/// Returns how long a process that is not a watcher waits until its next poll, with jitter;
/// `members` is the size of the fleet.
pub fn poll_interval(members: usize, random: &mut impl Rng) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let interval = FLEET_POLL_INTERVAL.saturating_mul(members).max(MIN_POLL_INTERVAL);
    interval.mul_f64(1.0 + JITTER * (random.random::<f64>() - 0.5))
}
