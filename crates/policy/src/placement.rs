//! Placement: which of the targets that have room receives a request.
//!
//! **Load pattern.** Many requests share a prompt's beginning (one archive's page template, one
//! franchise's roster form) and a few of those prefixes are hot. Load figures lag, and many
//! entries read the same ones.
//!
//! **Without it.** Sending to the least loaded target makes every entry pick the same one until
//! the next report (a herd), and scatters a prefix over all caches, so that each engine computes
//! it again. Plain affinity keeps the cache but melts the home of a hot prefix.
//!
//! **Figures.** A prefix stays at its home while that carries at most [`BOUND`] times the mean
//! load, the usual factor of consistent hashing with bounded loads: smaller spills too soon,
//! larger lets the home queue. A second home keeps a hot prefix in two caches before it spills
//! anywhere. What spills, or has no prefix, takes the better of two random targets, which is
//! within a small constant of the best choice and cannot herd. See `docs/DECISIONS.md`, section
//! "Placement".

use rand::Rng;
use rand::seq::index;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id;

/// How far above the mean a prefix's home may be loaded before its requests go elsewhere.
pub const BOUND: f64 = 1.25;

/// Load that counts as none. It lets a nearly idle fleet keep its affinity, and lets a weight
/// bear on targets without load.
const SLACK: f64 = 0.05;

/// Targets drawn where load figures are seconds old: the better of two is within a small constant of
/// the best choice, and more of them make every entry pick the same one until the next report.
pub const CHOICES_LAGGED: usize = 2;

/// Targets drawn where entries tell each other within some 20 ms what they sent.
///
/// **Load pattern.** Prompts take 0.2 s to be read and engines read six tenths of the time. With two
/// draws 0.38 of them wait behind another that was sent to the same engine, with six 0.11
/// (`tests/reading.rs`). All would do no better: entries that send within the same 20 ms would meet
/// again. On six heavy days of the two larger deployments the worth was 0.534 and 0.399 with two,
/// 0.535 and 0.421 with six, and half of the pages began 0.05 s sooner.
pub const CHOICES_FRESH: usize = 6;

/// The prefix of a request that shares none.
pub const NO_PREFIX: u64 = 0;

/// One target that may receive the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// [`key`] of its name, worked out once.
    pub key: u64,
    /// The share of it that is in use, from 0 to 1, with what was sent since the last report.
    pub load: f64,
    /// How far it is trusted, from 0 (ejected) to 1; see [`crate::outlier`].
    pub weight: f64,
}

impl Candidate {
    fn cost(&self) -> f64 {
        (self.load + SLACK) / self.weight
    }

    fn usable(&self) -> bool {
        self.weight > 0.0
    }
}

/// Bytes of a prompt that count as its beginning: longer than a greeting, shorter than the
/// instructions that the pages of one archive share.
const PREFIX_BYTES: usize = 256;

/// The prefix of a prompt; never [`NO_PREFIX`].
pub fn prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)]).max(NO_PREFIX + 1)
}

/// The hash of a target's name that [`choose`] ranks by.
pub fn key(target: &id::Target) -> u64 {
    xxh3_64(target.as_str().as_bytes())
}

/// Picks one of `candidates` for a request whose prompt begins as `prefix` says.
///
/// Without a prefix, or where its homes are loaded beyond the bound, it is the best of `choices`
/// that are drawn. Returns an index into `candidates`, or `None` where none may be used.
pub fn choose(
    rng: &mut impl Rng,
    prefix: u64,
    candidates: &[Candidate],
    choices: usize,
) -> Option<usize> {
    let usable = candidates.iter().filter(|c| c.usable()).count();
    if usable == 0 {
        return None;
    }
    if prefix != NO_PREFIX
        && let Some(home) = home(prefix, candidates, usable)
    {
        return Some(home);
    }
    // A target drawn twice would be no choice, which shows most where there are few.
    let drawn = index::sample(rng, usable, choices.clamp(1, usable));
    let drawn = drawn.into_iter().map(|n| nth_usable(candidates, n));
    drawn.min_by(|a, b| candidates[*a].cost().total_cmp(&candidates[*b].cost()))
}

/// The first of the prefix's two homes that is not loaded beyond the bound.
fn home(prefix: u64, candidates: &[Candidate], usable: usize) -> Option<usize> {
    let mut total = 0.0;
    let mut best: [Option<(u64, usize)>; 2] = [None, None];
    for (at, candidate) in candidates.iter().enumerate().filter(|(_, c)| c.usable()) {
        total += candidate.cost();
        let ranked = Some((mix(prefix, candidate.key), at));
        if ranked > best[0] {
            best = [ranked, best[0]];
        } else if ranked > best[1] {
            best[1] = ranked;
        }
    }
    let bound = BOUND * total / usable as f64;
    let fits = |at: &usize| candidates[*at].cost() <= bound;
    best.into_iter().flatten().map(|(_, at)| at).find(fits)
}

fn nth_usable(candidates: &[Candidate], n: usize) -> usize {
    let usable = candidates.iter().enumerate().filter(|(_, c)| c.usable());
    usable.map(|(at, _)| at).nth(n).unwrap_or_default()
}

/// Ranks a target for a prefix.
fn mix(prefix: u64, key: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), prefix)
}
