//! When an engine receives its next prompt.

mod support;

use std::time::Duration;

use fireflyhoist_harness::client;

/// Tokens after which the relay tells the gate of progress in any case.
const NOTED: u64 = 16;

/// Supervisors ask for rosters one after the other. An engine is sent one prompt at a time, and the
/// next as soon as the first token of the last is out; told only with the sixteenth, the gate kept
/// each engine idle for many times the objective between two prompts.
#[ntex::test]
async fn the_first_token_makes_the_way_free_for_the_next_prompt() {
    let (running, engine) = support::paced(300_000);
    let text = support::text("live", 30_000, &[running.address()]);
    let mut fleet = support::Fleet::open(&text);
    let daemon = fleet.daemon("oslo-1").await;
    let url = format!("http://{}/v1/completions", daemon.http_address());
    let client = client().await;
    let ask = |prompt: &'static str| {
        let request = client.post(&url);
        ntex::rt::spawn(async move { request.send_json(&support::completion(prompt)).await })
    };

    let _first = ask("first tokens=100");
    while engine.carried_max() == 0 {
        ntex::time::sleep(Duration::from_millis(5)).await;
    }
    let _second = ask("second tokens=100");
    while engine.started_of("second tokens=100") == 0 {
        ntex::time::sleep(Duration::from_millis(5)).await;
    }
    let carried = engine.carried_max();
    assert!(carried < NOTED, "the second began after {carried} tokens of the first");
}
