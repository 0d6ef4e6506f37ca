//! Workspaces as the two users have them: about ten, a few of them large.

use std::time::Duration;

use fireflyhoist_policy::gate::Class;

use crate::lengths::Lengths;
use crate::scene::Source;

/// The shares of ten workspaces: three make two thirds of the load.
pub(super) const SHARES: [f64; 10] = [0.30, 0.20, 0.15, 0.08, 0.07, 0.06, 0.05, 0.04, 0.03, 0.02];

/// Pages of manifests: long tails, whole answers, nobody waits before the morning.
pub(super) fn pages() -> Vec<(Source, f64)> {
    let lengths = Lengths { median: 500.0, sigma: 1.0, limit: 8_192 };
    sources(Class::Overnight, (400, 300, 1), lengths, Duration::from_secs(8 * 3600))
}

/// Rosters and summaries that a person watches arrive. Each workspace has a long beginning for
/// either (its sites, its rules); the twenty of them are twice what a prefix cache holds.
pub(super) fn rosters(patience: Duration) -> Vec<(Source, f64)> {
    let lengths = Lengths { median: 300.0, sigma: 0.9, limit: 4_096 };
    sources(Class::Live, (150, 1_500, 2), lengths, patience)
}

fn sources(
    class: Class,
    (prompt, shared, templates): (u64, u64, u64),
    lengths: Lengths,
    patience: Duration,
) -> Vec<(Source, f64)> {
    let source = |workspace| Source {
        workspace,
        class,
        prompt,
        shared,
        templates,
        lengths,
        patience,
        watched: true,
    };
    SHARES.iter().enumerate().map(|(at, share)| (source(at), *share)).collect()
}
