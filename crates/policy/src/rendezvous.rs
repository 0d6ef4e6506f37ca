//! Rendezvous (highest-random-weight) hashing: all processes rank the same members alike without
//! coordination.
//!
//! When a member leaves, only the keys that it owned move, so callers, queues and ownership of
//! engines stay where they are when another member is replaced.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `member` for `key`; the member with the highest weight owns the key.
pub fn weight(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Orders `members` by descending weight for `key`, and by name where weights are equal.
pub fn rank<'a, T>(key: &str, members: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = members.iter().collect();
    ranked.sort_by(|a, b| {
        weight(key, name(b)).cmp(&weight(key, name(a))).then_with(|| name(a).cmp(name(b)))
    });
    ranked
}

/// Reorders `ranked` so that consecutive members share no failure domain where possible; the first
/// member stays first.
///
/// A caller whose first entry was lost with its failure domain tries the second one next, which
/// must not have been lost with it.
pub fn spread<'a, T>(ranked: Vec<&'a T>, domain: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut left = ranked;
    let mut spread: Vec<&'a T> = Vec::with_capacity(left.len());
    let mut used: Vec<&str> = Vec::new();
    while !left.is_empty() {
        let unused = left.iter().position(|member| !used.contains(&domain(member)));
        if unused.is_none() {
            used.clear();
        }
        let member = left.remove(unused.unwrap_or(0));
        used.push(domain(member));
        spread.push(member);
    }
    spread
}
