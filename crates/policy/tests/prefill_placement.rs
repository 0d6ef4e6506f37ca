//! Placement of prompts: how often a prompt queues for prefill behind another at the same engine.

use std::collections::VecDeque;

use fireflyhoist_policy::placement::{CHOICES_FRESH, CHOICES_LAGGED, Candidate, NO_PREFIX, choose};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

/// Engines of a large deployment, without those on hosts that are being reclaimed.
const ENGINES: usize = 38;

/// Prompts per second of that deployment: 28 for pages and 32 for villages, its two kinds of
/// request.
const PROMPTS: f64 = 60.0;

/// Prefill time of one prompt: 2,600 tokens at 14 per millisecond, with half of the engine's time
/// left to running answers.
const READ_MS: f64 = 380.0;

/// Age of each entry's view of the prompts that other entries sent.
const LAG_MS: f64 = 20.0;

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
fn waiting(choices: usize) -> f64 {
    waiting_of(choices, ENGINES, PROMPTS, READ_MS)
}

fn waiting_of(choices: usize, engines: usize, prompts: f64, read_ms: f64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut free = vec![0.0_f64; engines];
    let mut unread: VecDeque<Sent> = VecDeque::new();
    let (mut now, mut waited, total) = (0.0, 0, 20_000);
    for _ in 0..total {
        now += -rng.random_range(f64::EPSILON..1.0).ln() * 1e3 / prompts;
        unread.retain(|sent| sent.done > now);
        let entry = rng.random_range(0..ENTRIES);
        let known = |sent: &&Sent| sent.entry == entry || sent.at + LAG_MS <= now;
        let mut load = vec![0.0; engines];
        unread.iter().filter(known).for_each(|sent| load[sent.engine] += 0.25);
        let candidate =
            |(key, load): (usize, &f64)| Candidate { key: key as u64, load: *load, weight: 1.0 };
        let candidates: Vec<Candidate> = load.iter().enumerate().map(candidate).collect();
        let engine = choose(&mut rng, NO_PREFIX, &candidates, choices).expect("one is usable");
        waited += usize::from(free[engine] > now);
        free[engine] = free[engine].max(now) + read_ms;
        unread.push_back(Sent { at: now, entry, engine, done: free[engine] });
    }
    waited as f64 / total as f64
}

/// Guards against a first token that is seconds late although most engines run no prefill, because
/// both candidates drawn for its prompt did. Entries know within 20 ms what the others sent, so
/// more candidates may be drawn without all entries picking the same engine.
#[test]
fn fresh_views_let_prompts_avoid_each_other() {
    let (two, six) = (waiting(CHOICES_LAGGED), waiting(CHOICES_FRESH));
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
fn more_draws_suit_other_loads_too(engines: usize, prompts: f64, read_ms: f64) {
    let of = |choices| waiting_of(choices, engines, prompts, read_ms);
    let (one, two, six, all) = (of(1), of(CHOICES_LAGGED), of(CHOICES_FRESH), of(engines));
    println!("{engines} engines, {prompts} a second: {one:.2} {two:.2} {six:.2} {all:.2}");
    assert!(six <= two, "{six} of {two}");
}
