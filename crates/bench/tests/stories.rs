//! Each mechanism by its story, judged by what callers receive, beside the same run without it.

use std::time::Duration;

use fireflyhoist_bench::patterns::{ALL, ours};
use fireflyhoist_bench::report::Row;
use fireflyhoist_bench::scene::Scene;
use fireflyhoist_policy::gate::Settings;
use fireflyhoist_policy::time::Time;

/// The first `secs` of a pattern: enough to show its story, few enough for an unoptimised build.
fn scene(name: &str, secs: u64) -> Scene {
    let pattern = ALL.iter().find(|p| p.name == name).expect("the pattern is listed");
    let mut scene = (pattern.scene)(1);
    scene.horizon = Time::ZERO + Duration::from_secs(secs);
    scene.window =
        (scene.window.0.min(scene.horizon - Duration::from_secs(secs / 2)), scene.horizon);
    let horizon = scene.horizon;
    scene.arrivals.retain(|arrival| arrival.at < horizon);
    scene
}

fn row(scene: &Scene, settings: &Settings) -> Row {
    Row::of("story", 1, scene, &ours("ours", scene, 1, settings))
}

/// Members upload far more pages than the engines hold. Whatever fits now is begun, memory fills in
/// the middle of generations, and the engines throw away and compute again what they had begun.
#[test]
fn overload_begins_no_more_than_will_fit() {
    let scene = scene("brno-night", 60);
    let with = row(&scene, &Settings::default());
    let without = row(&scene, &Settings { memory: false, ..Settings::default() });
    assert!(with.preempt * 10 <= without.preempt, "{} of {}", with.preempt, without.preempt);
    assert!(with.stall_s * 4.0 <= without.stall_s, "{} of {}", with.stall_s, without.stall_s);
}

/// Eight entries read the same report of an engine with some room, and each fills all of it.
#[test]
fn a_burst_is_divided_among_the_entries() {
    let scene = scene("burst", 30);
    let with = row(&scene, &Settings::default());
    let without = row(&scene, &Settings { share: false, ..Settings::default() });
    assert!(with.preempt * 4 < without.preempt, "{} of {}", with.preempt, without.preempt);
}

/// Twice what the engines can do arrives. Callers that would not be served in time must hear so at
/// once; without foretelling they wait out their patience.
#[test]
fn overload_is_refused_at_once() {
    let mut scene = scene("overload", 300);
    scene.arrivals.retain(|arrival| arrival.at >= Time::ZERO + Duration::from_secs(170));
    let with = row(&scene, &Settings::default());
    let without = row(&scene, &Settings { refuse: false, ..Settings::default() });
    assert!(with.refused > 0);
    assert!(with.late * 20 < with.whole, "{} late beside {} whole", with.late, with.whole);
    assert!(with.late * 4 < without.late, "{} of {}", with.late, without.late);
}

/// One workspace asks for three times what the others ask for together. Without fair turns they
/// stand behind it.
#[test]
fn a_hot_caller_waits_for_itself() {
    let scene = scene("hot-caller", 90);
    let with = row(&scene, &Settings::default());
    let off = Settings { fair: false, reserve: false, ..Settings::default() };
    let without = row(&scene, &off);
    assert!(with.wait_p99 * 2 < without.wait_p99, "{} of {}", with.wait_p99, without.wait_p99);
}

/// Registers of thousands of tokens hold all memory, and lines of others wait for one to end.
#[test]
fn short_answers_find_room_among_long_ones() {
    let scene = scene("long-among-short", 330);
    let with = row(&scene, &Settings::default());
    let without = row(&scene, &Settings { reserve: false, ..Settings::default() });
    assert!(with.wait_p99 < 120, "{} ms", with.wait_p99);
    assert!(with.wait_p99 * 2 < without.wait_p99, "{} of {}", with.wait_p99, without.wait_p99);
}

/// The fleet's prompts begin in twenty long ways, twice what a cache holds. Sent by load alone,
/// prompts are computed anew, and each holds back all streams of its engine.
#[test]
fn prompts_meet_their_cache() {
    let mut scene = scene("oslo-day", 400);
    scene.arrivals.retain(|arrival| arrival.at >= Time::ZERO + Duration::from_secs(300));
    let with = row(&scene, &Settings::default());
    let without = row(&scene, &Settings { affinity: false, ..Settings::default() });
    assert!(with.gap_p99 < without.gap_p99 * 0.75, "{} of {}", with.gap_p99, without.gap_p99);
}
