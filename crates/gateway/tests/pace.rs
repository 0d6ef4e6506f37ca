//! Pauses in answers, as an entry observes them.

mod support;

use std::time::Duration;

use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Seen, Standin, Step, event, events, stream_end, stream_head};
use support::{gateway, route, text};
use yare::parameterized;

/// Guards against pauses that operators do not see, and against a bound where a route has none.
#[parameterized(
    above_the_bound = { Some(100), "fireflyhoist_long_pauses_total 1" },
    below_the_bound = { Some(5_000), "" },
    without_a_bound = { None, "" },
)]
#[test_macro(ntex::test)]
async fn long_pauses_are_counted(gap_ms: Option<u64>, line: &str) {
    let registry = Registry::open().await;
    let gap = gap_ms.map(Duration::from_millis);
    let stream = Route { gap, ..route("gen", Kind::Stream { resumable: false }) };
    registry.publish(text(1, vec![stream]));
    let script = |_: &Seen| {
        let pause = Step::Wait(Duration::from_millis(400));
        vec![stream_head(), event(1), pause, event(2), event(3), stream_end()]
    };
    registry.put(Standin::open("e-1", "gen", script).await.listed);
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert_eq!((answer.status, answer.body), (200, events(1, 3)));
    let page = Request::get("/metrics").send(gateway.metrics()).await.body;
    let found = page.lines().find(|line| line.starts_with("fireflyhoist_long_pauses_total"));
    assert_eq!(found.unwrap_or_default(), line);
    assert!(page.contains("fireflyhoist_targets_at_risk 0"), "{page}");
}
