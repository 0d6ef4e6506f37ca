//! Placement with a hot prefix, lagging load figures and ejected targets.

use fireflyhoist_policy::placement::{CHOICES_LAGGED, Candidate, NO_PREFIX, choose, prefix};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn fleet(count: u64) -> Vec<Candidate> {
    (1..=count)
        .map(|n| Candidate { key: n.wrapping_mul(0x9e37_79b9_7f4a_7c15), load: 0.0, weight: 1.0 })
        .collect()
}

/// Guards against a shared prefix being computed at every engine: requests with the same prefix go
/// to the one engine that has it in its cache.
#[test]
fn a_prefix_keeps_its_home_while_there_is_room() {
    let candidates = fleet(12);
    let home = choose(&mut rng(), 77, &candidates, CHOICES_LAGGED);
    let mut rng = rng();
    assert!((0..50).all(|_| choose(&mut rng, 77, &candidates, CHOICES_LAGGED) == home));
}

/// Guards against affinity without a bound: if many callers send the same prefix at once, its home
/// engine fills up while others are idle.
#[test]
fn a_hot_prefix_spills_from_a_home_above_the_bound() {
    let mut candidates = fleet(12);
    let mut rng = rng();
    for _ in 0..1200 {
        let target = choose(&mut rng, 77, &candidates, CHOICES_LAGGED).expect("a target");
        candidates[target].load += 0.001;
    }
    let most = candidates.iter().map(|c| c.load).fold(0.0, f64::max);
    assert!(most < 0.2, "the most loaded target has {most}; an even spread would be 0.1");
}

/// Reports lag, so that for a while every decision sees one engine empty. If all requests went to
/// the least loaded engine, a whole burst would queue there.
#[test]
fn a_burst_on_stale_figures_does_not_herd() {
    let mut candidates = fleet(12);
    candidates.iter_mut().skip(1).for_each(|c| c.load = 0.5);
    let mut rng = rng();
    let sent = (0..1000)
        .filter(|_| choose(&mut rng, NO_PREFIX, &candidates, CHOICES_LAGGED) == Some(0))
        .count();
    assert!(sent < 250, "{sent} of 1000 went to the engine that looked empty");
}

/// An engine that is ejected, or has just returned from ejection with a cold cache, gets nothing or
/// little although its load is lowest.
#[test]
fn a_low_weight_limits_an_idle_target() {
    let mut candidates = fleet(4);
    candidates.iter_mut().for_each(|c| c.load = 0.5);
    candidates[0] = Candidate { load: 0.0, weight: 0.0, ..candidates[0] };
    candidates[1] = Candidate { load: 0.1, weight: 0.1, ..candidates[1] };
    let mut rng = rng();
    let mut sent = [0; 4];
    for _ in 0..1000 {
        let random = rng.random();
        sent[choose(&mut rng, random, &candidates, CHOICES_LAGGED).expect("a target")] += 1;
    }
    assert_eq!(sent[0], 0);
    assert!(sent[1] < sent[2] / 2 && sent[1] < sent[3] / 2, "{sent:?}");
}

#[test]
fn no_usable_candidate_yields_none() {
    assert_eq!(choose(&mut rng(), 1, &[], CHOICES_LAGGED), None);
    assert_eq!(
        choose(&mut rng(), 1, &[Candidate { key: 1, load: 0.0, weight: 0.0 }], CHOICES_LAGGED),
        None
    );
}

/// Pages of one archive differ only after their common instructions; they must share a prefix, or
/// each would go to an engine that has not cached it.
#[test]
fn prompts_that_begin_alike_share_a_prefix() {
    let instructions = "Transcribe the manifest line by line. ".repeat(10);
    let page = |n: u32| prefix(&format!("{instructions} page {n}"));
    assert_eq!(page(1), page(2));
    assert_ne!(page(1), prefix("Draft the roster of next week."));
    assert_ne!(prefix(""), NO_PREFIX);
}
