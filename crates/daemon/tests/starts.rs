//! The moment at which an engine receives its next prompt.

mod support;

use std::time::Duration;

use fireflyhoist_harness::client;

/// Tokens after which the relay reports progress to the gate in any case.
const PROGRESS_INTERVAL: u64 = 16;

/// An engine is sent one prompt at a time, and the next one as soon as the previous one has
/// produced its first token. When the gate learned of progress only with the sixteenth token, each
/// engine stayed idle for many times the objective between two prompts.
#[ntex::test]
async fn the_next_prompt_does_not_wait_past_the_first_token() {
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
    assert!(carried < PROGRESS_INTERVAL, "the second began after {carried} tokens of the first");
}
