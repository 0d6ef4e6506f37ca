//! Targets in several failure domains.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Standin, Step, answer, event, stream_end, stream_head};
use support::{eventually, route, settings, text, until_ready};
use tokio::time::sleep;
use yare::parameterized;

/// Returns a target as it is listed in a failure domain.
fn in_domain(target: &Standin, domain: &str) -> Target {
    Target { domain: domain.parse().expect("name"), ..target.listed.clone() }
}

/// Starts an entry of the domain `hala-a` with these switches.
async fn entry(
    registry: &Registry,
    name: &str,
    seeds: &[std::net::SocketAddr],
    adjust: impl Fn(&mut Settings),
) -> Gateway {
    let mut own = settings(name, registry.address(), seeds);
    adjust(&mut own);
    let entry = Gateway::bind::<Native>(own, PathBuf::from("none")).await.expect("gateway");
    until_ready(&entry).await;
    entry
}

/// Guards against requests that cross to another failure domain although their own has room, and
/// against ones that wait for a target of their own domain.
#[parameterized(
    plain = { Kind::Unsafe },
    generations = { Kind::Stream { resumable: false } },
)]
#[test_macro(ntex::test)]
async fn targets_of_the_own_domain_are_preferred_while_they_have_room(kind: Kind) {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", kind)]));
    let holds = Arc::new(AtomicBool::new(false));
    let script = {
        let holds = Arc::clone(&holds);
        move |_: &support::target::Seen| {
            let held = Arc::clone(&holds);
            let until = Step::Until(Arc::new(move || !held.load(Ordering::Acquire)));
            match kind.is_stream() {
                false => [vec![until], answer(200, "done")].concat(),
                true => [vec![stream_head(), until], vec![event(0), event(1)], vec![stream_end()]]
                    .concat(),
            }
        }
    };
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for nth in 0..2 {
        near.push(Standin::open(&format!("t-near-{nth}"), "web", script.clone()).await);
        far.push(Standin::open(&format!("t-far-{nth}"), "web", script.clone()).await);
    }
    near.iter().for_each(|target| registry.put(in_domain(target, "hala-a")));
    far.iter().for_each(|target| registry.put(in_domain(target, "hala-b")));
    let entry = entry(&registry, "entry-1", &[], |own| own.scheduling.locality = true).await;
    let request = match kind.is_stream() {
        true => Request::stream("/web/x", 2).body("b"),
        false => Request::new("POST", "/web/x").body("b"),
    };
    let seen =
        |targets: &[Standin]| targets.iter().map(|target| target.seen().len()).sum::<usize>();
    for _ in 0..20 {
        assert_eq!(request.send(entry.callers()).await.status, 200);
    }
    assert_eq!((seen(&near), seen(&far)), (20, 0));
    holds.store(true, Ordering::Release);
    let mut open = Vec::new();
    for _ in 0..4 {
        open.push(request.open(entry.callers()).await);
        sleep(Duration::from_millis(50)).await;
    }
    eventually(async || seen(&far) >= 2).await;
    assert_eq!(seen(&near) + seen(&far), 24);
    holds.store(false, Ordering::Release);
    // A request is counted when its target begins to answer.
    let metrics = Request::get("/metrics");
    for domain in ["own", "other"] {
        let line = format!("fireflyhoist_sends_total{{domain=\"{domain}\"}}");
        eventually(async || metrics.send(entry.metrics()).await.body.contains(&line)).await;
    }
    drop(open);
}

/// Guards against requests that are refused or wait where a failure domain has lost all targets.
#[ntex::test]
async fn requests_cross_where_the_own_domain_has_no_target() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let near = Standin::open("t-near", "web", |_| answer(200, "near")).await;
    let far = Standin::open("t-far", "web", |_| answer(200, "far")).await;
    registry.put(in_domain(&near, "hala-a"));
    registry.put(in_domain(&far, "hala-b"));
    let entry = entry(&registry, "entry-1", &[], |own| own.scheduling.locality = true).await;
    let request = Request::new("POST", "/web/x").body("b");
    assert_eq!(request.send(entry.callers()).await.body, "near");
    registry.put(Target { domain: "hala-a".parse().expect("name"), ..near.draining() });
    eventually(async || request.send(entry.callers()).await.body == "far").await;
    for _ in 0..10 {
        assert_eq!(request.send(entry.callers()).await.body, "far");
    }
}
