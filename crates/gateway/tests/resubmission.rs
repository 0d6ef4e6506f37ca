//! Requests that are sent away and come back to another entry.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Seen, Standin, Step, event, stream_end, stream_head};
use support::{eventually, route, text, unready, until_ready};

const STREAM: Kind = Kind::Stream { resumable: false };

/// Three heartbeats.
const PROPAGATION: Duration = Duration::from_millis(450);

/// Drafts after which an engine is surely full.
const MAX_DRAFTS: usize = 12;

/// A draft of 12,000 tokens, of which some five fit into an engine.
fn draft(body: &str) -> Request {
    Request::new("POST", "/gen/x")
        .header("fireflyhoist-prompt-tokens", "12000")
        .header("fireflyhoist-max-tokens", "500")
        .body(body)
}

async fn linked_pair(registry: &Registry) -> (Gateway, Gateway) {
    let first = unready(registry.address(), "entry-1", &[]).await;
    let second = unready(registry.address(), "entry-2", &[first.peers()]).await;
    until_ready(&first).await;
    until_ready(&second).await;
    let known = Request::get("/v1/entries?domain=hala-a");
    eventually(async || known.send(first.directory()).await.body.matches("entry-").count() == 2)
        .await;
    // Both have told each other what they hold, and so know what the engine has.
    tokio::time::sleep(PROPAGATION).await;
    (first, second)
}

/// An estimator's draft is refused when all engines are full, and comes back to another entry just
/// as one place is free. A second estimator's draft, new and still able to begin on time, comes in
/// the same moment. Taken for new, the first would take the place and make both late.
#[ntex::test]
async fn a_resubmitted_request_does_not_displace_a_new_one() {
    let registry = Registry::open().await;
    let generation = Route { objective: Duration::from_millis(900), ..route("gen", STREAM) };
    registry.publish(text(1, vec![generation]));
    let first_may_end = Arc::new(AtomicBool::new(false));
    let may_end = Arc::clone(&first_may_end);
    let script = move |seen: &Seen| match seen.body.as_str() {
        // The first of the two ends when told.
        "first" => {
            let mut steps = vec![stream_head(), event(1)];
            let may_end = Arc::clone(&may_end);
            steps.push(Step::Until(Arc::new(move || may_end.load(Ordering::SeqCst))));
            steps.extend([event(2), stream_end()]);
            steps
        }
        _ => vec![stream_head(), event(1), Step::Hang],
    };
    let engine = Standin::open("e-1", "gen", script).await;
    registry.put(engine.listed.clone());
    let (first, second) = linked_pair(&registry).await;
    let (one, two) = (first.callers(), second.callers());
    // Drafts fill the engine until one is refused.
    let mut refused = None;
    for number in 0..MAX_DRAFTS {
        let body = if number == 0 { "first".to_owned() } else { format!("draft {number}") };
        let answer = ntex::rt::spawn({
            let body = body.clone();
            async move { draft(&body).send(one).await }
        });
        let runs = async || engine.seen().iter().any(|seen| seen.body == body);
        eventually(async || runs().await || answer.is_finished()).await;
        if answer.is_finished() {
            refused = Some((body, answer.await.expect("an answer")));
            break;
        }
    }
    let (refused, answer) = refused.expect("one is refused");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("\"ran\":\"no\"") && answer.header("retry-after").is_some());
    first_may_end.store(true, Ordering::SeqCst);
    // A place is free, and the other entry knows it.
    tokio::time::sleep(PROPAGATION).await;
    let resubmitted = refused.clone();
    ntex::rt::spawn(async move { draft(&resubmitted).send(two).await }).detach();
    tokio::time::sleep(PROPAGATION).await;
    ntex::rt::spawn(async move { draft("new").send(two).await }).detach();
    let ran = |body: &str| engine.seen().iter().any(|seen| seen.body == body);
    eventually(async || ran("new")).await;
    assert!(!ran(&refused), "the one that came back waits");
}
