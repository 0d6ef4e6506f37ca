//! Placement: the choice among the targets that have room for a request.
//!
//! Many requests share the beginning of a prompt (the page template of an archive, the roster form
//! of a franchise), and a few of these prefixes are hot. Load figures lag, and many entries read
//! the same ones. If every entry sent to the least loaded target, all would choose the same one
//! until the next report (a herd), and a prefix would be scattered over all caches, so that each
//! engine computes it again. Affinity alone keeps the cache but overloads the home of a hot prefix.
//!
//! So a prefix stays at its home, the target that ranks first for it in rendezvous hashing, while
//! that has at most [`LOAD_BOUND`] times the mean load, the usual factor of consistent hashing with
//! bounded loads: with a smaller one requests spill too soon, with a larger one they queue at the
//! home. A second home, the next in rank, keeps a hot prefix in two caches before it spills
//! anywhere else. Requests that spill or have no prefix go to the better of two random targets,
//! which is within a small constant of the best choice and cannot herd.

use rand::Rng;
use rand::seq::index;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id;

/// Load of a prefix's home, as a multiple of the mean, above which its requests go elsewhere.
pub const LOAD_BOUND: f64 = 1.25;

/// Load that is added to every target's. It preserves affinity in a nearly idle fleet, and lets a
/// weight below 1 take effect on targets without load.
const BASE_LOAD: f64 = 0.05;

/// Targets compared where load figures are seconds old: the better of two is within a small
/// constant of the best choice, and with more of them every entry chooses the same one until the
/// next report.
pub const CHOICES_LAGGED: usize = 2;

/// Targets compared where entries announce what they send to each other within some 20 ms.
///
/// Prompts take 0.2 s of prefill, and engines spend six tenths of the time on it. With two targets
/// compared, 0.38 of the prompts wait behind another that was sent to the same engine, with six
/// 0.11 (see `tests/prefill_placement.rs`). Under heavy load, six are never worse for callers than
/// two, and half of the requests of one kind begin 0.05 s sooner. Comparing all targets is no
/// better: entries that send within the same 20 ms would choose the same one again.
pub const CHOICES_FRESH: usize = 6;

/// The prefix of a request that has none.
pub const NO_PREFIX: u64 = 0;

/// A target that may receive the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of its name, from [`key`].
    pub key: u64,
    /// Its load, from 0 to 1, including what was sent since the last report.
    pub load: f64,
    /// Its weight from the outlier detector, from 0 (ejected) to 1; see [`crate::outlier`].
    pub weight: f64,
}

impl Candidate {
    fn cost(&self) -> f64 {
        (self.load + BASE_LOAD) / self.weight
    }

    fn is_usable(&self) -> bool {
        self.weight > 0.0
    }
}

/// Bytes of a prompt that make its prefix: longer than a greeting, shorter than the instructions
/// that the pages of one archive share.
const PREFIX_BYTES: usize = 256;

/// Returns the hash of a prompt's prefix; it is never [`NO_PREFIX`].
pub fn prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)]).max(NO_PREFIX + 1)
}

/// Returns the hash of a target's name, by which [`choose`] ranks targets for a prefix.
pub fn key(target: &id::Target) -> u64 {
    xxh3_64(target.as_str().as_bytes())
}

/// Chooses one of `candidates` for a request with this prefix.
///
/// Without a prefix, or if both homes are loaded beyond the bound, it is the best of `choices`
/// random targets. Returns an index into `candidates`, or `None` if none of them is usable.
pub fn choose(
    rng: &mut impl Rng,
    prefix: u64,
    candidates: &[Candidate],
    choices: usize,
) -> Option<usize> {
    let usable = candidates.iter().filter(|c| c.is_usable()).count();
    if usable == 0 {
        return None;
    }
    if prefix != NO_PREFIX
        && let Some(home) = home(prefix, candidates, usable)
    {
        return Some(home);
    }
    // Sampling without replacement: comparing a target with itself is no choice, which matters most
    // where there are few.
    let drawn = index::sample(rng, usable, choices.clamp(1, usable));
    least_cost(candidates, drawn.into_iter().map(|n| nth_usable(candidates, n)))
}

/// Chooses the best of candidates that were drawn at random, all of them usable. Returns an index
/// into `drawn`, or `None` if it is empty.
pub(crate) fn choose_drawn(drawn: &[Candidate]) -> Option<usize> {
    least_cost(drawn, 0..drawn.len())
}

fn least_cost(candidates: &[Candidate], among: impl Iterator<Item = usize>) -> Option<usize> {
    among.min_by(|a, b| candidates[*a].cost().total_cmp(&candidates[*b].cost()))
}

/// Returns the first of the prefix's two homes that is not loaded beyond the bound.
fn home(prefix: u64, candidates: &[Candidate], usable: usize) -> Option<usize> {
    let mut total = 0.0;
    let mut best: [Option<(u64, usize)>; 2] = [None, None];
    for (at, candidate) in candidates.iter().enumerate().filter(|(_, c)| c.is_usable()) {
        total += candidate.cost();
        let ranked = Some((rank(prefix, candidate.key), at));
        if ranked > best[0] {
            best = [ranked, best[0]];
        } else if ranked > best[1] {
            best[1] = ranked;
        }
    }
    let bound = LOAD_BOUND * total / usable as f64;
    let fits = |at: &usize| candidates[*at].cost() <= bound;
    best.into_iter().flatten().map(|(_, at)| at).find(fits)
}

fn nth_usable(candidates: &[Candidate], n: usize) -> usize {
    let usable = candidates.iter().enumerate().filter(|(_, c)| c.is_usable());
    usable.map(|(at, _)| at).nth(n).unwrap_or_default()
}

/// Returns the rendezvous-hashing rank of a target for a prefix.
fn rank(prefix: u64, key: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), prefix)
}
