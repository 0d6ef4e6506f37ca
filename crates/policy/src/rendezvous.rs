//! Highest-random-weight hashing: every process ranks the same members alike without agreeing.
//!
//! When a member leaves, only the keys it held move, so callers, queues and stewardships stay put
//! through a replacement. See `docs/DESIGN.md`, section "What callers see".

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `member` for `key`; the highest weight is the key's home.
pub fn weight(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Orders `members` by descending weight for `key`; equal weights fall back to the names.
pub fn rank<'a, T>(key: &str, members: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = members.iter().collect();
    ranked.sort_by(|a, b| {
        weight(key, name(b)).cmp(&weight(key, name(a))).then_with(|| name(a).cmp(name(b)))
    });
    ranked
}

/// Reorders `ranked` so that neighbours in the list share no failure domain where that can be.
///
/// A caller whose first entry went with its failure domain tries the second next, which must not
/// have gone with it. The first stays first.
pub fn spread<'a, T>(ranked: Vec<&'a T>, domain: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut left = ranked;
    let mut spread: Vec<&'a T> = Vec::with_capacity(left.len());
    let mut round: Vec<&str> = Vec::new();
    while !left.is_empty() {
        let apart = left.iter().position(|member| !round.contains(&domain(member)));
        if apart.is_none() {
            round.clear();
        }
        let member = left.remove(apart.unwrap_or(0));
        round.push(domain(member));
        spread.push(member);
    }
    spread
}
