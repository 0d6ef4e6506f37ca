//! Which entries carry the traffic, and who links to whom.
//!
//! **Load pattern.** Many small hosts stand beside a few larger ones, and traffic that a handful
//! could carry. **Without this** every entry takes callers and tells every other what it holds: 80
//! entries with seven heartbeats a second each spent a fifth of their processors on each other and
//! half of what a day was worth was lost to it, while each served one answer at a time.
//!
//! **The way.** In each failure domain the strongest few are *active*: callers are sent to them, and
//! they tell each other what they hold. The others link to two actives of their domain, from which
//! they learn texts and targets, and stand ready to take an active's place: everyone ranks the
//! members it knows to be alive in the same way, so nobody is elected.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::rendezvous;

/// Members up to which all are active: links among them are few enough, and each that callers may
/// use is one more that can fail unnoticed.
pub const MAX_ALL_ACTIVE: usize = 12;

/// Actives of one failure domain at most; with five domains thirty entries link to each other.
pub const MAX_ACTIVES_PER_DOMAIN: usize = 6;

/// Actives of one failure domain at least, so that one may fail unnoticed.
pub const MIN_ACTIVES_PER_DOMAIN: usize = 2;

/// Members of one failure domain that entries tell each other of: twice the actives and a few more,
/// so that whoever takes the place of actives that are gone is known before, and lists don't grow
/// with the fleet. More than [`MAX_ALL_ACTIVE`], or a large fleet would pass for a small one.
pub const ANNOUNCED_PER_DOMAIN: usize = 16;

/// Actives that an entry which is none links to.
pub const ACTIVES_PER_LEAF: usize = 2;

/// The part of the strongest member's power that makes an active. Weaker ones would be loaded like
/// it, since callers choose evenly, and slow down their share of the answers.
const MIN_RELATIVE_POWER: f64 = 0.5;

/// An entry as it describes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its host.
    pub host: id::Host,
    /// Where it stands.
    pub domain: id::Domain,
    /// How much it can carry, in cores.
    pub power: f64,
    /// Where its peers link to it.
    pub peers: SocketAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
}

/// The active members among those that are alive, by host.
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

/// Those of the members that entries tell each other of: the first [`ANNOUNCED_PER_DOMAIN`] of each failure domain.
pub fn announced(alive: &[Member]) -> Vec<&Member> {
    ranked(alive).flat_map(|ranked| ranked.into_iter().take(ANNOUNCED_PER_DOMAIN)).collect()
}

/// The members of each failure domain, those that are to be active first.
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

/// The actives that a member links to: all where it is one itself, else two of its own domain, or
/// of any where its own has none.
pub fn links<'a>(own: &Member, actives: &[&'a Member]) -> Vec<&'a Member> {
    if actives.iter().any(|active| active.host == own.host) {
        return actives.iter().filter(|active| active.host != own.host).copied().collect();
    }
    let local: Vec<&'a Member> =
        actives.iter().filter(|active| active.domain == own.domain).copied().collect();
    let candidates = if local.is_empty() { actives.to_vec() } else { local };
    // Each leaf ranks for itself, so that the leaves of a domain spread over its actives.
    let ranked = rendezvous::rank(own.host.as_str(), &candidates, |active| active.host.as_str());
    ranked.into_iter().take(ACTIVES_PER_LEAF).copied().collect()
}
