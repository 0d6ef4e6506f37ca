//! Ranks of routes at a gateway.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_gateway::native::Native;
use fireflyhoist_policy::route::{Kind, Part, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Seen, Standin, Step, event, stream_end, stream_head};
use support::{eventually, route, settings, text, until_ready};

const STREAM: Kind = Kind::Stream { resumable: false };

/// Number of requests that exceeds the capacity of an engine.
const MAX_RUNNING: usize = 12;

/// How long a request must not reach an engine to count as waiting.
const WAITING: Duration = Duration::from_millis(300);

/// Returns a route to the service `one` with this rank, whose requests wait for long.
fn ranked(name: &str, rank: u8) -> Route {
    let parts = vec![Part { service: "one".parse().expect("name"), weight: 1 }];
    let (timeout, objective) = (Duration::from_secs(30), Duration::from_secs(20));
    Route { rank, parts, timeout, objective, ..route(name, STREAM) }
}

/// Returns a request with a prompt of 12,000 tokens, about five of which fit into an engine.
fn request(route: &str, body: &str) -> Request {
    Request::new("POST", &format!("/{route}/x"))
        .header("fireflyhoist-prompt-tokens", "12000")
        .header("fireflyhoist-max-tokens", "500")
        .body(body)
}

/// Guards against a text that changes the rank of a route taking effect only for requests that
/// arrive after it: the request that the text makes urgent is sent before one that came earlier.
#[ntex::test]
async fn a_text_changes_the_rank_of_waiting_requests() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![ranked("one", 1), ranked("two", 2)]));
    let first_may_end = Arc::new(AtomicBool::new(false));
    let may_end = Arc::clone(&first_may_end);
    let script = move |seen: &Seen| match seen.body.as_str() {
        "fill 0" => {
            let may_end = Arc::clone(&may_end);
            let until = Step::Until(Arc::new(move || may_end.load(Ordering::SeqCst)));
            vec![stream_head(), event(1), until, event(2), stream_end()]
        }
        _ => vec![stream_head(), event(1), Step::Hang],
    };
    let engine = Standin::open("e-1", "one", script).await;
    registry.put(engine.listed.clone());
    let mut settings = settings("entry-1", registry.address(), &[]);
    settings.scheduling.ranks = true;
    let gateway = Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
    until_ready(&gateway).await;
    let callers = gateway.callers();
    let send = |route: &'static str, body: String| {
        ntex::rt::spawn(async move { request(route, &body).send(callers).await }).detach();
    };
    let ran = |body: &str| engine.seen().iter().any(|seen| seen.body == body);
    // Fills the engine until a request waits.
    let mut waiting = None;
    for number in 0..MAX_RUNNING {
        let body = format!("fill {number}");
        send("one", body.clone());
        tokio::time::sleep(WAITING).await;
        if !ran(&body) {
            waiting = Some(body);
            break;
        }
    }
    let waiting = waiting.expect("a request waits");
    send("two", "urgent".to_owned());
    tokio::time::sleep(WAITING).await;
    let probe = Route { public: true, ..route("probe", Kind::Safe) };
    registry.publish(text(2, vec![ranked("one", 1), ranked("two", 0), probe]));
    let probe = Request::keyless("POST", "/probe/x");
    eventually(async || probe.send(callers).await.status != 404).await;
    assert!(!ran("urgent") && !ran(&waiting), "both wait");
    first_may_end.store(true, Ordering::SeqCst);
    eventually(async || ran("urgent")).await;
    assert!(!ran(&waiting), "the less urgent request waits");
}
