//! Which requests are forwarded to a target, in which form, and for how long.

mod support;

use std::time::{Duration, Instant};

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Standin, Step, answer};
use support::{eventually, gateway, route, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use yare::parameterized;

async fn single_target(route: Route, script: Vec<Step>) -> (Registry, Standin, Gateway) {
    let registry = Registry::open().await;
    let service = route.name.to_string();
    registry.publish(text(1, vec![route]));
    let target = Standin::open("t-1", &service, move |_| script.clone()).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    (registry, target, gateway)
}

/// Guards against a caller that sets headers reserved to the system: it would run in the name of
/// another workspace, ahead of other requests, or pin the memory of an engine. Such headers are
/// replaced or removed, and the caller's key is not forwarded.
#[ntex::test]
async fn reserved_headers_of_callers_are_replaced() {
    let (_registry, target, gateway) =
        single_target(route("web", Kind::Unsafe), answer(200, "x")).await;
    let forged = Request::new("POST", "/web/a%20b/?q=%2F&r")
        .header("fireflyhoist-workspace", "Bank")
        .header("fireflyhoist-rank", "0")
        .header("fireflyhoist-backup", "127.0.0.1:1")
        .header("fireflyhoist-copy", "127.0.0.1:1/x")
        .header("fireflyhoist-instance", "t-9")
        .header("x-own", "kept")
        .header("keep-alive", "timeout=9")
        .body("body");
    assert_eq!(forged.send(gateway.callers()).await.status, 200);
    let seen = target.seen().remove(0);
    assert_eq!(seen.line(), "POST /web/a%20b/?q=%2F&r HTTP/1.1");
    assert_eq!(seen.body, "body");
    assert_eq!(seen.header("fireflyhoist-workspace"), Some("Archive"));
    assert_eq!(seen.header("fireflyhoist-instance"), Some("t-1"));
    assert_ne!(seen.header("fireflyhoist-rank"), Some("0"));
    assert_eq!(seen.header("x-own"), Some("kept"));
    assert_eq!(seen.header("fireflyhoist-request"), Some("r-1"));
    for name in ["fireflyhoist-backup", "fireflyhoist-copy", "authorization", "keep-alive"] {
        assert_eq!(seen.header(name), None, "{name}");
    }
}

/// Guards against an engine that preempts running streams. If engines received the rank of a
/// request as its urgency, a full engine would stop a stream for a second to start a request of a
/// better rank and recompute its prompt afterwards. Every request is sent with the same urgency.
#[ntex::test]
async fn engines_receive_one_urgency_for_every_rank() {
    let mut urgencies = Vec::new();
    for rank in [0, 3] {
        let ranked = Route { rank, ..route("web", Kind::Unsafe) };
        let (_registry, target, gateway) = single_target(ranked, answer(200, "x")).await;
        let answered = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
        assert_eq!(answered.status, 200);
        let urgency = target.seen().remove(0).header("fireflyhoist-rank").map(str::to_owned);
        urgencies.push(urgency.expect("an urgency"));
    }
    assert_eq!(urgencies[0], urgencies[1]);
}

/// Guards against request smuggling: if both ends disagree on where a body ends, a second request
/// hidden in or behind it runs at a target in somebody else's name.
#[parameterized(
    both_framings = { "content-length: 4\r\ntransfer-encoding: chunked", "0\r\n\r\n" },
    two_lengths = { "content-length: 4\r\ncontent-length: 40", "abcd" },
    unknown_framing = { "transfer-encoding: chunked, x", "abcd" },
    length_with_sign = { "content-length: +4", "abcd" },
)]
#[test_macro(ntex::test)]
async fn a_request_with_ambiguous_framing_is_not_forwarded(framing: &str, body: &str) {
    let (_registry, target, gateway) =
        single_target(route("web", Kind::Unsafe), answer(200, "x")).await;
    let hidden = "GET /web/hidden HTTP/1.1\r\nhost: svc.example\r\n\r\n";
    let (name, value) = framing.split_once(": ").expect("a header");
    let request = Request::new("POST", "/web/x")
        .header(name, value)
        .raw(format!("{body}{hidden}").as_bytes());
    let answer = request.send(gateway.callers()).await;
    assert!(answer.status == 400 || answer.status == 0, "{}", answer.status);
    assert!(target.seen().is_empty(), "{:?}", target.seen());
}

/// A chunked body is forwarded complete, with a `content-length`.
#[ntex::test]
async fn a_chunked_body_is_forwarded_whole() {
    let (_registry, target, gateway) =
        single_target(route("web", Kind::Unsafe), answer(200, "x")).await;
    let request = Request::new("POST", "/web/x")
        .header("transfer-encoding", "chunked")
        .raw(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(request.send(gateway.callers()).await.status, 200);
    let seen = target.seen().remove(0);
    assert_eq!((seen.body.as_str(), seen.header("content-length")), ("abcde", Some("5")));
}

/// Guards against a target that keeps working after its caller has timed out because it was sent a
/// longer timeout than the time left.
#[ntex::test]
async fn a_target_receives_the_remaining_time() {
    let mut slow = route("web", Kind::Unsafe);
    slow.timeout = Duration::from_millis(800);
    let (_registry, target, gateway) = single_target(slow, answer(200, "x")).await;
    let request = Request::new("POST", "/web/x").header("fireflyhoist-timeout-ms", "60000");
    assert_eq!(request.body("b").send(gateway.callers()).await.status, 200);
    let seen = target.seen().remove(0);
    let left: u64 =
        seen.header("fireflyhoist-timeout-ms").and_then(|v| v.parse().ok()).expect("ms");
    assert!(left <= 800, "{left}");
}

/// Guards against a caller waiting past the timeout of its route for a target that does not
/// respond. The entry answers 504 and says that it is unknown whether the request ran.
#[ntex::test]
async fn an_unresponsive_target_is_answered_for_at_the_route_timeout() {
    let mut short = route("web", Kind::Unsafe);
    short.timeout = Duration::from_millis(300);
    let (_registry, target, gateway) = single_target(short, vec![Step::Hang]).await;
    let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    assert_eq!(answer.status, 504);
    assert!(answer.body.contains("\"ran\":\"unknown\""), "{}", answer.body);
    assert!(answer.took < Duration::from_millis(700), "{:?}", answer.took);
    eventually(async || !target.closed().is_empty()).await;
}

/// Guards against an entry that reads an answer to its end after the caller has disconnected, so
/// that the engine keeps generating it in vain. The entry must close its connection to the target
/// as soon as the caller closes its own.
#[parameterized(
    plain = { Kind::Unsafe },
    idempotent = { Kind::Safe },
    stream = { Kind::Stream { resumable: false } },
)]
#[test_macro(ntex::test)]
async fn a_disconnecting_caller_closes_the_connection_to_the_target(kind: Kind) {
    let (_registry, target, gateway) = single_target(route("web", kind), vec![Step::Hang]).await;
    let request = Request::stream("/web/x", 20).body("b");
    let caller = request.open(gateway.callers()).await;
    eventually(async || !target.seen().is_empty()).await;
    let disconnected_at = Instant::now();
    drop(caller);
    eventually(async || !target.closed().is_empty()).await;
    assert!(
        disconnected_at.elapsed() < Duration::from_millis(500),
        "{:?}",
        disconnected_at.elapsed()
    );
}

/// A caller that sends two requests on one connection gets an answer to each.
#[ntex::test]
async fn a_connection_serves_several_requests() {
    let (_registry, _target, gateway) =
        single_target(route("web", Kind::Unsafe), answer(200, "hello")).await;
    let mut caller = tokio::net::TcpStream::connect(gateway.callers()).await.expect("listens");
    let request = "GET /web/x HTTP/1.1\r\nhost: svc.example\r\nauthorization: Bearer k-1\r\n\
                   fireflyhoist-request: r-1\r\n\r\n";
    for _ in 0..2 {
        caller.write_all(request.as_bytes()).await.expect("written");
        let mut bytes = vec![0; 2048];
        let read = caller.read(&mut bytes).await.expect("an answer");
        let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
        assert!(text.starts_with("HTTP/1.1 200") && text.ends_with("hello"), "{text}");
    }
}

async fn first_attempt_hangs(retry_burst: f64) -> (Gateway, Vec<Standin>, Registry) {
    let registry = Registry::open().await;
    let mut lookup = route("web", Kind::Safe);
    lookup.objective = Duration::from_millis(200);
    lookup.timeout = Duration::from_millis(900);
    registry.publish(text(1, vec![lookup]));
    let count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let mut targets = Vec::new();
    for name in ["t-1", "t-2"] {
        let count = count.clone();
        let script = move |_: &support::target::Seen| match count
            .fetch_add(1, std::sync::atomic::Ordering::SeqCst)
        {
            0 => vec![Step::Hang],
            _ => answer(200, "hello"),
        };
        targets.push(Standin::open(name, "web", script).await);
    }
    targets.iter().for_each(|target| registry.put(target.listed.clone()));
    let mut settings = support::settings("entry-1", registry.address(), &[]);
    settings.bounds.retry_burst = retry_burst;
    settings.bounds.retry_ratio = 0.0;
    let gateway = Gateway::bind::<fireflyhoist_gateway::native::Native>(settings, "none".into());
    let gateway = gateway.await.expect("gateway");
    support::until_ready(&gateway).await;
    (gateway, targets, registry)
}

/// Guards against a lookup waiting for a target that has stopped responding while another is free.
/// A lookup may run twice, so after half of its objective it is sent to the other target as well,
/// and never again to the first.
#[ntex::test]
async fn a_lookup_at_an_unresponsive_target_is_hedged() {
    for _ in 0..6 {
        let (gateway, targets, _registry) = first_attempt_hangs(160.0).await;
        let answer = Request::new("GET", "/web/x").send(gateway.callers()).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
        assert!(answer.took < Duration::from_millis(500), "{:?}", answer.took);
        assert!(targets.iter().all(|target| target.seen().len() == 1));
    }
}

/// Guards against hedging doubling the load of targets that slow down together. A hedge draws on
/// the retry budget, also while the first attempt is in progress.
#[ntex::test]
async fn a_hedge_draws_on_the_retry_budget() {
    let (gateway, targets, _registry) = first_attempt_hangs(0.0).await;
    let answer = Request::new("GET", "/web/x").send(gateway.callers()).await;
    assert_eq!(answer.status, 504);
    assert_eq!(targets.iter().map(|target| target.seen().len()).sum::<usize>(), 1);
}
