//! Selection of neighbours: the next and the previous live member on each of three rings.
//!
//! Each ring orders the members by a hash of its own. Together the rings form a graph in which
//! every member has at most six neighbours and two of 330 members are about four hops apart. The
//! relation is symmetric between members that know the same live members.

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::id;
use crate::rendezvous;

/// The names of the rings. Three rings give each member six links, so it stays connected when five
/// of its neighbours fail.
const RINGS: [&str; 3] = ["ring-0", "ring-1", "ring-2"];

/// The number of members that are asked to probe a silent neighbour, as in SWIM.
const PROBE_RELAYS: usize = 3;

/// Returns the neighbours of `own` among `members`, sorted by name and without duplicates.
pub fn neighbours(own: &str, members: &[&str]) -> Vec<String> {
    let mut chosen: Vec<String> = Vec::with_capacity(RINGS.len() * 2);
    for ring in RINGS {
        let position = |name: &str| (rendezvous::weight(ring, name), name.to_owned());
        let own_position = position(own);
        let mut positions: Vec<(u64, String)> =
            members.iter().filter(|name| **name != own).map(|name| position(name)).collect();
        positions.sort_unstable();
        let index = positions.partition_point(|other| *other < own_position);
        let next = positions.get(index).or(positions.first());
        let previous = positions[..index].last().or(positions.last());
        chosen.extend(next.into_iter().chain(previous).map(|(_, name)| name.clone()));
    }
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

/// Draws up to [`PROBE_RELAYS`] of `hosts`, leaving out `excluded`.
pub(crate) fn probe_relays<'a>(
    random: &mut impl Rng,
    hosts: impl Iterator<Item = &'a id::Host>,
    excluded: &id::Host,
) -> Vec<id::Host> {
    hosts.filter(|host| *host != excluded).cloned().choose_multiple(random, PROBE_RELAYS)
}
