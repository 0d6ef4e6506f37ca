//! Targets in several failure domains, and entries that carry more than they can.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Standin, Step, answer, event, stream_end, stream_head};
use support::{eventually, route, settings, text, until_ready};
use tokio::time::{sleep, timeout};
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
    let page = Request::get("/metrics").send(entry.metrics()).await.body;
    for domain in ["own", "other"] {
        assert!(
            page.contains(&format!("fireflyhoist_sends_total{{domain=\"{domain}\"}}")),
            "{page}"
        );
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

/// Returns how many of some answers of a directory list each entry.
async fn listed(directory: &Gateway, name: &str) -> usize {
    let known = Request::get("/v1/entries?domain=hala-a");
    let mut count = 0;
    for _ in 0..20 {
        count += usize::from(known.send(directory.directory()).await.body.contains(name));
    }
    count
}

/// Guards against callers that are sent to an entry which carries more than it can, and against one
/// that stays left out afterwards.
#[ntex::test]
async fn an_overloaded_entry_is_left_out_of_the_directory_and_comes_back() {
    let registry = Registry::open().await;
    let patient = Route { timeout: Duration::from_secs(60), ..route("web", Kind::Unsafe) };
    registry.publish(text(1, vec![patient]));
    let holds = Arc::new(AtomicBool::new(true));
    let held = Arc::clone(&holds);
    let target = Standin::open("t-1", "web", move |_| {
        let held = Arc::clone(&held);
        let until = Step::Until(Arc::new(move || !held.load(Ordering::Acquire)));
        [vec![until], answer(200, "done")].concat()
    })
    .await;
    registry.put(target.listed.clone());
    // The first entry can carry 240 open requests by its power. The processor time that it measures is
    // that of the whole test, which uses less than it can carry.
    let mut fleet: Vec<Gateway> = Vec::new();
    for nth in 0..3 {
        let seeds: Vec<_> = fleet.iter().map(Gateway::peers).collect();
        let power = if nth == 0 { 0.4 } else { 4.0 };
        let adjust = |own: &mut Settings| {
            own.scheduling.entry_load = true;
            own.power = power;
        };
        fleet.push(entry(&registry, &format!("entry-{nth}"), &seeds, adjust).await);
    }
    for entry in &fleet {
        eventually(async || listed(entry, "entry-0").await == 20).await;
    }
    let mut open = Vec::new();
    for nth in 0..400 {
        let request = Request::new("POST", "/web/x").named(&format!("r-{nth}")).body("b");
        open.push(request.open(fleet[0].callers()).await);
    }
    for entry in &fleet {
        eventually(async || listed(entry, "entry-0").await <= 10).await;
        assert_eq!(listed(entry, "entry-1").await, 20);
    }
    holds.store(false, Ordering::Release);
    drop(open);
    let back = async || {
        while listed(&fleet[1], "entry-0").await < 20 {
            sleep(Duration::from_secs(1)).await;
        }
    };
    timeout(Duration::from_secs(40), back()).await.expect("it is listed again");
}
