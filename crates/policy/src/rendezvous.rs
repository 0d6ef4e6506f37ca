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
