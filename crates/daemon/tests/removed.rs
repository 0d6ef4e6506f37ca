//! Removal of a service while requests are queued for it.

mod support;

use std::time::Duration;

use fireflyhoist_harness::{client, read_answer};
use fireflyhoist_standin::batch::Shape;
use fireflyhoist_standin::engine::Engine;
use fireflyhoist_wire::problem::{Problem, Ran};

/// Engine memory that one answer fills, so that the next request has to queue at the entry.
const MEMORY: u64 = 150;

/// A request is queued behind another when a new text removes its service. The entry drops the
/// service's queue; unless it refuses the queued request at once, that caller never gets a
/// response. The answer that is already streaming must still arrive complete.
#[ntex::test]
async fn a_queued_request_is_refused_when_its_service_is_removed() {
    let shape = Shape { memory: MEMORY, base: 10_000.0, ..Shape::default() };
    let (engine, state) = Engine::bind_batching(support::ANY, shape).expect("engine");
    let text = support::text("whole", 60_000, &[engine.address()]);
    let mut fleet = support::Fleet::open(&text);
    let daemon = fleet.daemon("brno-1").await;
    let url = format!("http://{}/v1/completions", daemon.http_address());
    let client = client().await;

    let ask = |prompt: &'static str| {
        let request = client.post(&url);
        ntex::rt::spawn(async move { request.send_json(&support::completion(prompt)).await })
    };

    let running = ask("first tokens=120");
    while state.started_of("first tokens=120") == 0 {
        ntex::time::sleep(Duration::from_millis(5)).await;
    }
    // The gate learns from a report that the engine is full before the second request arrives.
    ntex::time::sleep(Duration::from_millis(700)).await;
    let queued = ask("second");
    ntex::time::sleep(Duration::from_millis(100)).await;
    fleet.platform.publish("revision = 2\n");

    let refused = queued.await.expect("task").expect("answered");
    assert_eq!(refused.status(), 503);
    let problem: Problem = refused.json().await.expect("a problem");
    assert_eq!(problem.ran, Ran::No);
    assert!(problem.retry_after_ms.is_some(), "the refusal names a retry time");
    assert_eq!(state.started_of("second"), 0, "the request never reached the engine");

    let (texts, done) = read_answer(running.await.expect("task").expect("answered")).await;
    assert!(done, "the running answer is complete");
    assert_eq!(texts.concat(), support::expected("first tokens=120"));
}
