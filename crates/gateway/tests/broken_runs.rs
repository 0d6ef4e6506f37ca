//! Runs that break off, and whether their targets have ended.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::proxy::Proxy;
use support::target::{
    Seen, Standin, Step, answer, event, events, listed, stream_end, stream_head,
};
use support::{eventually, gateway, route, text};
use yare::parameterized;

const SAFE: Kind = Kind::Safe;
const STREAM: Kind = Kind::Stream { resumable: false };

async fn broken_runs(gateway: &Gateway, fate: &str) -> String {
    let page = Request::get("/metrics").send(gateway.metrics()).await.body;
    let start = format!("fireflyhoist_broken_runs_total{{target=\"{fate}\"}} ");
    let found = page.lines().find_map(|line| line.strip_prefix(start.as_str()).map(str::to_owned));
    found.unwrap_or_default()
}

/// Guards against a target that ended being confused with one that reset a connection.
#[parameterized(
    ends_before_its_head = { SAFE, vec![Step::End], "ended" },
    ends_within_a_stream = { STREAM, vec![stream_head(), event(1), Step::End], "ended" },
    resets_before_its_head = { SAFE, vec![Step::Reset], "lives" },
    resets_within_a_stream = { STREAM, vec![stream_head(), event(1), Step::Reset], "lives" },
)]
#[test_macro(ntex::test)]
async fn an_ended_target_is_distinguished_from_a_live_one(
    kind: Kind,
    script: Vec<Step>,
    fate: &'static str,
) {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", kind)]));
    let target = Standin::open("t-1", "web", move |_| script.clone()).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    let _ = Request::stream("/web/x", 20).body("b").send(gateway.callers()).await;
    eventually(async || !broken_runs(&gateway, fate).await.is_empty()).await;
}

/// Guards against an engine that ended being considered alive because what forwards connections to it
/// accepts them.
#[ntex::test]
async fn an_ended_engine_behind_a_forwarder_has_ended() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", STREAM)]));
    let script = |_: &Seen| vec![stream_head(), event(1), Step::End];
    let target = Standin::open("t-1", "web", script).await;
    let forwarder = Proxy::to(target.listed.address);
    registry.put(listed("t-1", "web", forwarder.address()));
    let gateway = gateway(&registry).await;
    let _ = Request::stream("/web/x", 20).body("b").send(gateway.callers()).await;
    eventually(async || !broken_runs(&gateway, "ended").await.is_empty()).await;
}

/// Guards against requests being lost at an engine that this entry has just seen crash, while the
/// registry still lists it and what forwards connections to it accepts them.
#[ntex::test]
async fn a_crashed_engine_gets_no_more_requests() {
    let registry = Registry::open().await;
    let page = Route { name: "page".into(), prefix: "/page/".into(), ..route("web", STREAM) };
    let again = route("web", Kind::Stream { resumable: true });
    let mut text = text(1, vec![again]);
    text.routes.push(page);
    registry.publish(text);
    let has_crashed = Arc::new(AtomicBool::new(false));
    let script = move |seen: &Seen| match seen.body.as_str() {
        "crash" if has_crashed.swap(true, Ordering::SeqCst) => {
            vec![stream_head(), event(2), stream_end()]
        }
        "crash" => vec![stream_head(), event(1), Step::End],
        _ => vec![stream_head(), event(1), stream_end()],
    };
    let mut targets = Vec::new();
    for name in ["t-1", "t-2"] {
        let target = Standin::open(name, "web", script.clone()).await;
        let forwarder = Proxy::to(target.listed.address);
        registry.put(listed(name, "web", forwarder.address()));
        targets.push((target, forwarder));
    }
    let gateway = gateway(&registry).await;
    let crash = Request::stream("/web/x", 20).body("crash").send(gateway.callers()).await;
    assert_eq!(crash.body, events(1, 2));
    eventually(async || broken_runs(&gateway, "ended").await == "1").await;
    let page = async |_| Request::stream("/page/x", 20).body("b").send(gateway.callers()).await;
    let pages = futures_util::future::join_all((0..20).map(page)).await;
    pages.iter().for_each(|page| assert_eq!(page.status, 200, "{page:?}"));
}

/// Guards against an error response of a target being counted as a broken run.
#[ntex::test]
async fn an_error_response_is_not_a_broken_run() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let target = Standin::open("t-1", "web", |_| answer(500, "no")).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    assert_eq!(answer.status, 500);
    for fate in ["ended", "lives", "leaving"] {
        assert_eq!(broken_runs(&gateway, fate).await, "");
    }
}

/// Guards against a target being considered alive because its replacement listens at its address.
#[ntex::test]
async fn a_target_that_is_replaced_at_once_has_ended() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let script = |_: &Seen| vec![Step::Reset];
    let gateway = {
        let first = Standin::open("t-0", "web", script).await;
        registry.put(first.listed.clone());
        gateway(&registry).await
    };
    let page = async || Request::get("/metrics").send(gateway.metrics()).await.body;
    for nth in 0..3 {
        let _ = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
        eventually(async || broken_runs(&gateway, "lives").await == (nth + 1).to_string()).await;
        // The next target is listed, and the previous one is not any more.
        let next = Standin::open(&format!("t-{}", nth + 1), "web", script).await;
        registry.put(next.listed.clone());
        let old = listed(&format!("t-{nth}"), "web", next.listed.address);
        registry.remove(&old);
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    eventually(async || page().await.contains("fireflyhoist_held_requests 1")).await;
}

/// Guards against a target that ended being considered to have left, because another one answers
/// at its address.
#[ntex::test]
async fn a_target_whose_address_was_taken_over_has_ended() {
    let registry = Registry::open().await;
    let web = Route { attempts: 1, ..route("web", Kind::Unsafe) };
    registry.publish(text(1, vec![web]));
    let misdirected = "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n";
    let script = move |seen: &Seen| match seen.body.as_str() {
        "b" => vec![Step::Reset],
        _ => vec![Step::Write(misdirected.to_owned())],
    };
    let gateway = {
        let first = Standin::open("t-0", "web", script).await;
        registry.put(first.listed.clone());
        gateway(&registry).await
    };
    for nth in 0..3 {
        let send = async |body: &str| {
            Request::new("POST", "/web/x").body(body).send(gateway.callers()).await
        };
        send("b").await;
        eventually(async || broken_runs(&gateway, "lives").await == (nth + 1).to_string()).await;
        // Until the target gets requests again, after the pause that follows its failure.
        eventually(async || send("c").await.body.contains("declined")).await;
        let next = Standin::open(&format!("t-{}", nth + 1), "web", script).await;
        registry.put(next.listed.clone());
        registry.remove(&listed(&format!("t-{nth}"), "web", next.listed.address));
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    let page = async || Request::get("/metrics").send(gateway.metrics()).await.body;
    eventually(async || page().await.contains("fireflyhoist_held_requests 1")).await;
}
