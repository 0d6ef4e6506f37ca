//! The columns that every pattern prints, ours beside each baseline.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use tabled::Tabled;

use crate::run::{End, Run, histogram, micros};
use crate::scene::Scene;

/// One way of sending under one pattern and seed.
#[derive(Clone, Debug, Serialize, Tabled)]
pub struct Row {
    /// The pattern.
    pub pattern: &'static str,
    /// The seed.
    pub seed: u64,
    /// Who sent.
    pub policy: &'static str,
    /// Whole answers, begun in time.
    pub whole: u64,
    /// Refused on arrival.
    pub refused: u64,
    /// Accepted but not begun in time.
    pub late: u64,
    /// Accepted and lost.
    pub lost: u64,
    /// Median wait for the first token of watched requests, in milliseconds.
    pub wait_p50: u64,
    /// 99th percentile of that wait, in milliseconds.
    pub wait_p99: u64,
    /// Time beyond 250 ms between tokens, summed over answers, in seconds.
    #[tabled(format("{:.1}"))]
    pub stall_s: f64,
    /// Preemptions.
    pub preempt: u64,
    /// Tokens computed again.
    pub recomputed: u64,
    /// Median time between tokens, in milliseconds.
    #[tabled(format("{:.1}"))]
    pub gap_p50: f64,
    /// 99th percentile of the time between tokens, in milliseconds.
    #[tabled(format("{:.1}"))]
    pub gap_p99: f64,
    /// Tokens in whole, in-time answers as a share of the engines' best over the window.
    #[tabled(format("{:.3}"))]
    pub best: f64,
    /// The smallest share that a workspace received of the tokens it asked for.
    #[tabled(format("{:.3}"))]
    pub worst: f64,
    /// The share of engine time in which begun streams waited for memory.
    #[tabled(format("{:.4}"))]
    pub over: f64,
    /// Attempts beyond a request's first, as a share of all.
    #[tabled(format("{:.3}"))]
    pub resent: f64,
}

impl Row {
    /// Sums up a run.
    pub fn of(pattern: &'static str, seed: u64, scene: &Scene, run: &Run) -> Self {
        let count = |end: End| run.fates.iter().filter(|f| f.end == end).count() as u64;
        let waits = waits(scene, run);
        let stall: Duration = run.fates.iter().map(|f| f.stall).sum();
        Self {
            pattern,
            seed,
            policy: run.name,
            whole: count(End::Whole),
            refused: count(End::Refused),
            late: count(End::Late),
            lost: count(End::Lost),
            wait_p50: waits.value_at_quantile(0.5) / 1_000,
            wait_p99: waits.value_at_quantile(0.99) / 1_000,
            stall_s: stall.as_secs_f64(),
            preempt: run.preemptions,
            recomputed: run.recomputed,
            gap_p50: run.gaps.value_at_quantile(0.5) as f64 / 1e3,
            gap_p99: run.gaps.value_at_quantile(0.99) as f64 / 1e3,
            best: throughput(scene, run) / scene.best,
            worst: worst(scene, run),
            over: run.over,
            resent: run.resends as f64 / run.sends.max(1) as f64,
        }
    }
}

/// Waits of watched requests that were accepted; one that gave up waited its whole patience.
fn waits(scene: &Scene, run: &Run) -> hdrhistogram::Histogram<u64> {
    let mut waits = histogram();
    for (arrival, fate) in scene.arrivals.iter().zip(&run.fates).filter(|(a, _)| a.watched) {
        let wait = match fate.end {
            End::Late => Some(arrival.patience),
            _ => fate.wait,
        };
        if let Some(wait) = wait {
            waits.saturating_record(micros(wait));
        }
    }
    waits
}

/// Tokens a second in whole answers that ended within the scene's window.
pub fn throughput(scene: &Scene, run: &Run) -> f64 {
    throughput_in(scene.window, run)
}

/// Tokens a second in whole answers that ended within `window`.
pub fn throughput_in(
    window: (fireflyhoist_policy::time::Time, fireflyhoist_policy::time::Time),
    run: &Run,
) -> f64 {
    let inside = |f: &&crate::run::Fate| f.end == End::Whole && f.at >= window.0 && f.at < window.1;
    let tokens: u64 = run.fates.iter().filter(inside).map(|f| f.tokens).sum();
    tokens as f64 / window.1.since(window.0).as_secs_f64()
}

fn worst(scene: &Scene, run: &Run) -> f64 {
    let mut by: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    for (arrival, fate) in scene.arrivals.iter().zip(&run.fates) {
        let entry = by.entry(arrival.workspace).or_default();
        entry.0 += fate.tokens;
        entry.1 += arrival.length;
    }
    by.values().map(|(got, asked)| *got as f64 / (*asked).max(1) as f64).fold(1.0, f64::min)
}
