//! Which entries serve callers, and which entries link to each other.
//!
//! A fleet may consist of many small hosts and a few larger ones, with traffic that a handful could
//! carry. If every entry served callers and announced its in-flight requests to every other,
//! heartbeats would cost too much: 80 entries that sent seven heartbeats a second each spent a
//! fifth of their processors on each other and served one answer at a time each, which lost half of
//! the value of a day's traffic.
//!
//! Therefore only the strongest few entries of each failure domain are *active*: callers are sent
//! to them, and they announce their in-flight requests to each other. Every other entry is a
//! *leaf*: it links to two actives of its domain, from which it receives texts and targets, and is
//! ready to replace an active. Every entry ranks the members that it knows to be alive in the same
//! way, so no election is needed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::rendezvous;

/// The largest fleet in which every member is active. It needs few links, while in a larger one
/// each active that callers may use is one more that can fail unnoticed.
pub const MAX_ALL_ACTIVE: usize = 12;

/// The maximum number of actives in one failure domain. With five domains, thirty entries link to
/// each other.
pub const MAX_ACTIVES_PER_DOMAIN: usize = 6;

/// The minimum number of actives in one failure domain, so that one may fail without effect on
/// callers.
pub const MIN_ACTIVES_PER_DOMAIN: usize = 2;

/// The number of members of one failure domain that entries announce to each other.
///
/// Twice the maximum of actives and a few more, so that the members that replace failed actives are
/// already known, and lists do not grow with the fleet. It must exceed [`MAX_ALL_ACTIVE`], or a
/// large fleet would be taken for one in which all are active.
pub const ANNOUNCED_PER_DOMAIN: usize = 16;

/// The number of actives that a leaf links to.
pub const ACTIVES_PER_LEAF: usize = 2;

/// The power of an active relative to the strongest member. Callers choose evenly among the
/// actives, so a weaker one would get the same load and answer its share late.
const MIN_RELATIVE_POWER: f64 = 0.5;

/// An entry as it describes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The host that it runs on.
    pub host: id::Host,
    /// The failure domain of the host.
    pub domain: id::Domain,
    /// The capacity of the host, in cores.
    pub power: f64,
    /// The address on which it accepts links from other entries.
    pub peers: SocketAddr,
    /// The address on which it serves callers.
    pub callers: SocketAddr,
}

/// Returns the active members among those that are alive, grouped by failure domain unless all are
/// active.
pub fn actives(alive: &[Member]) -> Vec<&Member> {
    if alive.len() <= MAX_ALL_ACTIVE {
        return alive.iter().collect();
    }
    let strongest = alive.iter().map(|member| member.power).fold(0.0, f64::max);
    let strong = |m: &&&Member| m.power >= strongest * MIN_RELATIVE_POWER;
    let mut actives = Vec::new();
    for ranked in ranked(alive) {
        let count = ranked
            .iter()
            .filter(strong)
            .count()
            .clamp(MIN_ACTIVES_PER_DOMAIN, MAX_ACTIVES_PER_DOMAIN);
        actives.extend(ranked.into_iter().take(count));
    }
    actives
}

/// Returns the members that entries announce to each other: the first [`ANNOUNCED_PER_DOMAIN`] of
/// each failure domain.
pub fn announced(alive: &[Member]) -> Vec<&Member> {
    ranked(alive).flat_map(|ranked| ranked.into_iter().take(ANNOUNCED_PER_DOMAIN)).collect()
}

/// Returns the members of each failure domain, strongest first.
fn ranked(alive: &[Member]) -> impl Iterator<Item = Vec<&Member>> {
    let mut domains: BTreeMap<&id::Domain, Vec<&Member>> = BTreeMap::new();
    for member in alive {
        domains.entry(&member.domain).or_default().push(member);
    }
    domains.into_values().map(|mut members| {
        members.sort_by(|a, b| {
            let rank = |m: &Member| rendezvous::weight("active", m.host.as_str());
            b.power.total_cmp(&a.power).then_with(|| rank(b).cmp(&rank(a)))
        });
        members
    })
}

/// Returns the actives that a member links to.
///
/// An active links to all others. A leaf links to [`ACTIVES_PER_LEAF`] actives of its own domain,
/// or of any domain if its own has none.
pub fn links<'a>(own: &Member, actives: &[&'a Member]) -> Vec<&'a Member> {
    if actives.iter().any(|active| active.host == own.host) {
        return actives.iter().filter(|active| active.host != own.host).copied().collect();
    }
    let local: Vec<&'a Member> =
        actives.iter().filter(|active| active.domain == own.domain).copied().collect();
    let candidates = if local.is_empty() { actives.to_vec() } else { local };
    // Each leaf ranks by its own host, so that the leaves of a domain spread over its actives.
    let ranked = rendezvous::rank(own.host.as_str(), &candidates, |active| active.host.as_str());
    ranked.into_iter().take(ACTIVES_PER_LEAF).copied().collect()
}
