//! A service that a new text removes while requests wait for it.

mod support;

use std::time::Duration;

use fireflyhoist_harness::{client, read_answer};
use fireflyhoist_standin::batch::Shape;
use fireflyhoist_standin::engine::Engine;
use fireflyhoist_wire::problem::{Problem, Ran};

/// A memory that one answer fills, so that the next has to wait at the entry.
const MEMORY: u64 = 150;

/// A member's page waits behind another while operators publish a text without the service. The
/// entry drops the service's queue; without an answer at once the waiting member would never hear
/// anything. The page that had begun must still arrive whole.
#[ntex::test]
async fn a_waiting_request_is_answered_when_its_service_is_removed() {
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

    let begun = ask("first tokens=120");
    while state.started_of("first tokens=120") == 0 {
        ntex::time::sleep(Duration::from_millis(5)).await;
    }
    // The gate learns from a report that the engine is full before the second asks.
    ntex::time::sleep(Duration::from_millis(700)).await;
    let waiting = ask("second");
    ntex::time::sleep(Duration::from_millis(100)).await;
    fleet.platform.publish("revision = 2\n");

    let refused = waiting.await.expect("task").expect("answered");
    assert_eq!(refused.status(), 503);
    let problem: Problem = refused.json().await.expect("a problem");
    assert_eq!(problem.ran, Ran::No);
    assert!(problem.retry_after_ms.is_some(), "it says when to come back");
    assert_eq!(state.started_of("second"), 0, "the engine never saw it");

    let (texts, done) = read_answer(begun.await.expect("task").expect("answered")).await;
    assert!(done, "the page that had begun is whole");
    assert_eq!(texts.concat(), support::expected("first tokens=120"));
}
