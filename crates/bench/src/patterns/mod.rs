//! The load patterns, one file each.
//!
//! To add one: write `pub fn scene(seed: u64) -> Scene` in a file of its own and name it in
//! [`ALL`].

mod brno_night;
mod build;
mod burst;
mod contention;
mod hot_caller;
mod hot_prefix;
mod lag;
mod long_among_short;
mod mix;
mod oslo_day;
pub mod overload;
pub mod reclaim;
mod slow_target;

use fireflyhoist_policy::gate::{Gate, Settings};
use fireflyhoist_standin::batch::Admission;

use crate::baselines::{LeastLoaded, RoundRobin};
use crate::ours::Ours;
use crate::run::Run;
use crate::scene::Scene;
use crate::world::play;

/// A load pattern.
#[derive(Clone, Copy, Debug)]
pub struct Pattern {
    /// Its name on the command line.
    pub name: &'static str,
    /// Makes it concrete for a seed.
    pub scene: fn(u64) -> Scene,
}

/// Every pattern.
pub const ALL: &[Pattern] = &[
    Pattern { name: "burst", scene: burst::scene },
    Pattern { name: "hot-caller", scene: hot_caller::scene },
    Pattern { name: "contention", scene: contention::scene },
    Pattern { name: "others-alone", scene: hot_caller::alone },
    Pattern { name: "hot-prefix", scene: hot_prefix::scene },
    Pattern { name: "slow-target", scene: slow_target::scene },
    Pattern { name: "none-slow", scene: slow_target::alone },
    Pattern { name: "long-among-short", scene: long_among_short::scene },
    Pattern { name: "short-alone", scene: long_among_short::alone },
    Pattern { name: "overload", scene: overload::scene },
    Pattern { name: "lag", scene: lag::scene },
    Pattern { name: "reclaim", scene: reclaim::scene },
    Pattern { name: "brno-night", scene: brno_night::scene },
    Pattern { name: "oslo-day", scene: oslo_day::scene },
];

/// Plays ours with the given settings.
pub fn ours(name: &'static str, scene: &Scene, seed: u64, settings: &Settings) -> Run {
    let open = |entry: usize| {
        let mut gate = Gate::open(settings.clone());
        gate.set_entries(fireflyhoist_policy::time::Time::ZERO, scene.entries, Some(entry));
        Ours::open(gate)
    };
    play(name, scene, seed, Admission::Now, open)
}

/// Plays ours and every baseline.
pub fn all(scene: &Scene, seed: u64) -> Vec<Run> {
    let fixed = Admission::Fixed(scene.fixed);
    let shares = Settings { fleet_shares: true, ..Settings::default() };
    vec![
        ours("ours", scene, seed, &Settings::default()),
        ours("ours-shares", scene, seed, &shares),
        play("round-robin", scene, seed, Admission::Now, RoundRobin::open),
        play("least-loaded", scene, seed, Admission::Now, LeastLoaded::open),
        play("reserve-max", scene, seed, Admission::Reserve, LeastLoaded::open),
        play("fixed", scene, seed, fixed, LeastLoaded::open),
    ]
}
