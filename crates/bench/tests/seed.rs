//! The bench itself: the same seed plays the same way.

use fireflyhoist_bench::patterns::{ALL, all};
use fireflyhoist_bench::report::Row;
use fireflyhoist_policy::time::Time;

#[test]
fn the_same_seed_prints_the_same_figures() {
    let pattern = ALL.iter().find(|p| p.name == "short-alone").expect("the pattern is listed");
    let rows = || {
        let mut scene = (pattern.scene)(7);
        scene.horizon = Time::from_micros(60_000_000);
        let runs = all(&scene, 7);
        let rows: Vec<Row> = runs.iter().map(|r| Row::of(pattern.name, 7, &scene, r)).collect();
        serde_json::to_string(&rows).expect("rows are plain")
    };
    assert_eq!(rows(), rows());
}
