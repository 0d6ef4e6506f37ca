//! Refused requests that their callers send again to another entry.

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

/// The time until a change has reached the other entry: three heartbeats.
const PROPAGATION: Duration = Duration::from_millis(450);

/// Number of drafts that exceeds the capacity of an engine.
const MAX_DRAFTS: usize = 12;

/// Returns a request with a prompt of 12,000 tokens, about five of which fit into an engine.
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
    // Until both entries know the load of each other on the engine.
    tokio::time::sleep(PROPAGATION).await;
    (first, second)
}

/// Guards against a resubmitted request being treated as new. A draft is refused while all engines
/// are full, and is sent again to another entry when a place becomes free. A new draft, which can
/// still begin on time, arrives shortly after. If the first one took the place, both would be late.
#[ntex::test]
async fn a_resubmitted_request_does_not_displace_a_new_one() {
    let registry = Registry::open().await;
    let generation = Route { objective: Duration::from_millis(900), ..route("gen", STREAM) };
    registry.publish(text(1, vec![generation]));
    let first_may_end = Arc::new(AtomicBool::new(false));
    let may_end = Arc::clone(&first_may_end);
    let script = move |seen: &Seen| match seen.body.as_str() {
        // The first draft runs until the test ends it.
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
    // Fills the engine until a draft is refused.
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
    let (refused, answer) = refused.expect("a draft is refused");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("\"ran\":\"no\"") && answer.header("retry-after").is_some());
    first_may_end.store(true, Ordering::SeqCst);
    // A place becomes free, and the other entry learns of it.
    tokio::time::sleep(PROPAGATION).await;
    let resubmitted = refused.clone();
    ntex::rt::spawn(async move { draft(&resubmitted).send(two).await }).detach();
    tokio::time::sleep(PROPAGATION).await;
    ntex::rt::spawn(async move { draft("new").send(two).await }).detach();
    let ran = |body: &str| engine.seen().iter().any(|seen| seen.body == body);
    eventually(async || ran("new")).await;
    assert!(!ran(&refused), "the resubmitted request waits");
}
