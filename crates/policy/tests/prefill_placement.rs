//! Placement of prompts: how often a prompt queues for prefill behind another at the same engine.

use std::collections::VecDeque;

use fireflyhoist_policy::placement::{CHOICES_FRESH, CHOICES_LAGGED, Candidate, NO_PREFIX, choose};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

/// Engines of a large fleet, without those on hosts that are being reclaimed.
const ENGINES: usize = 38;

/// Prompts per second of that fleet: 28 and 32 of its two kinds of request.
const PROMPTS_PER_S: f64 = 60.0;

/// Prefill time of one prompt: 2,600 tokens at 14 per millisecond, with half of the engine's time
/// left to running answers.
const PREFILL_MS: f64 = 380.0;

/// Age of each entry's view of the prompts that other entries sent.
const VIEW_AGE_MS: f64 = 20.0;

/// Entries that send prompts.
const ENTRIES: usize = 18;

struct Sent {
    at: f64,
    entry: usize,
    engine: usize,
    done: f64,
}

/// Returns the fraction of prompts that queue behind another, where each entry picks the best of
/// `choices` candidates. It knows its own prompts at once and those of others after the delay.
fn queued_share(choices: usize) -> f64 {
    queued_share_of(choices, ENGINES, PROMPTS_PER_S, PREFILL_MS)
}

fn queued_share_of(choices: usize, engines: usize, prompts_per_s: f64, prefill_ms: f64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut free_at = vec![0.0_f64; engines];
    let mut in_prefill: VecDeque<Sent> = VecDeque::new();
    let (mut now, mut queued, total) = (0.0, 0, 20_000);
    for _ in 0..total {
        now += -rng.random_range(f64::EPSILON..1.0).ln() * 1e3 / prompts_per_s;
        in_prefill.retain(|sent| sent.done > now);
        let entry = rng.random_range(0..ENTRIES);
        let known = |sent: &&Sent| sent.entry == entry || sent.at + VIEW_AGE_MS <= now;
        let mut load = vec![0.0; engines];
        in_prefill.iter().filter(known).for_each(|sent| load[sent.engine] += 0.25);
        let candidate =
            |(key, load): (usize, &f64)| Candidate { key: key as u64, load: *load, weight: 1.0 };
        let candidates: Vec<Candidate> = load.iter().enumerate().map(candidate).collect();
        let engine = choose(&mut rng, NO_PREFIX, &candidates, choices).expect("one is usable");
        queued += usize::from(free_at[engine] > now);
        free_at[engine] = free_at[engine].max(now) + prefill_ms;
        in_prefill.push_back(Sent { at: now, entry, engine, done: free_at[engine] });
    }
    queued as f64 / total as f64
}

/// Guards against a first token that is seconds late although most engines run no prefill, because
/// both candidates drawn for its prompt did. Entries know within 20 ms what the others sent, so
/// more candidates may be drawn without all entries picking the same engine.
#[test]
fn fresh_load_views_reduce_prefill_queueing() {
    let (two, six) = (queued_share(CHOICES_LAGGED), queued_share(CHOICES_FRESH));
    assert!(two > 0.3, "{two}");
    assert!(six < two / 2.0, "{six} of {two}");
}

/// Guards against a number of candidates that suits one load only: shorter prompts, half and double
/// the rate, and a third of the engines cordoned.
#[parameterized(
    short_answers = { 45, 62.0, 320.0 },
    half_the_rate = { 45, 31.0, 320.0 },
    double_the_rate = { 45, 124.0, 320.0 },
    half_the_prompt = { 45, 62.0, 160.0 },
    a_third_cordoned = { 30, 62.0, 320.0 },
    few_engines = { 9, 14.0, 380.0 },
)]
fn more_candidates_suit_other_loads(engines: usize, prompts_per_s: f64, prefill_ms: f64) {
    let of = |choices| queued_share_of(choices, engines, prompts_per_s, prefill_ms);
    let (one, two, six, all) = (of(1), of(CHOICES_LAGGED), of(CHOICES_FRESH), of(engines));
    println!("{engines} engines, {prompts_per_s} a second: {one:.2} {two:.2} {six:.2} {all:.2}");
    assert!(six <= two, "{six} of {two}");
}
