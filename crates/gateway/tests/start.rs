//! Entries that start, many of them at the same moment.

mod support;

use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::bootstrap::TRANSFER_GRACE;
use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::Request;
use support::target::{Standin, answer, listed};
use support::{route, start_with_power, text, unready, until_ready};

/// Number of entries with high power, which are to become actives.
const STRONG_ENTRIES: usize = 6;

async fn registry() -> Registry {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Safe)]));
    for n in 0..20 {
        registry.put(listed(&format!("t-{n}"), "web", "127.0.0.1:9".parse().expect("address")));
    }
    registry
}

/// Starts three seeds and `more` other entries, [`STRONG_ENTRIES`] of them with high power, and
/// waits until all are ready.
async fn start(registry: &Registry, more: usize) -> Vec<Gateway> {
    start_fleet(registry, STRONG_ENTRIES, more).await
}

/// Starts three seeds and `more` other entries, `strong` of them with high power, and waits until
/// all are ready.
async fn start_fleet(registry: &Registry, strong: usize, more: usize) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    let mut seeds = Vec::new();
    for n in 0..3 {
        // Each seed knows only the earlier ones, since ports are assigned when it binds.
        let seed = start_with_power(registry.address(), &format!("seed-{n}"), &seeds, 0.5).await;
        seeds.push(seed.peers());
        gateways.push(seed);
    }
    for n in 0..more {
        let power = if n < strong { 0.5 } else { 0.1 };
        gateways.push(start_with_power(registry.address(), &format!("e-{n}"), &seeds, power).await);
    }
    for gateway in &gateways {
        until_ready(gateway).await;
    }
    gateways
}

/// Guards against registry calls growing with the number of entries that start.
#[ntex::test]
async fn registry_calls_at_start_do_not_grow_with_the_fleet() {
    let registry = registry().await;
    let _gateways = start(&registry, 40).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Two lists for each of the few actives, and the calls of those that watch the registry.
    assert!(registry.calls() < 100, "{} calls", registry.calls());
}

/// Guards against a leaf receiving each change of targets from both of its actives.
#[ntex::test]
async fn a_leaf_receives_each_change_once() {
    const CHANGES: usize = 10;
    let registry = registry().await;
    let gateways = start_fleet(&registry, 0, 14).await;
    // Links to seeds that neither end uses are closed meanwhile.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let leaf = gateways.last().expect("a leaf");
    let before = changes_received(leaf).await;
    for n in 0..CHANGES {
        registry.put(listed(&format!("n-{n}"), "web", "127.0.0.1:9".parse().expect("address")));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let received = changes_received(leaf).await - before;
    // Up to half as many more, since the watch of the registry may report a change in two parts.
    assert!((1..=CHANGES + CHANGES / 2).contains(&received), "{received} for {CHANGES} changes");
}

/// Returns how many frames with changes of targets an entry has received.
async fn changes_received(gateway: &Gateway) -> usize {
    let page = Request::get("/metrics").send(gateway.metrics()).await.body;
    let name = r#"fireflyhoist_link_frames_total{frame="changes",way="received"} "#;
    let count = page.lines().find_map(|line| line.strip_prefix(name)?.parse().ok());
    count.unwrap_or_default()
}

/// Guards against an entry treating changes of targets as the complete list and never being ready.
#[ntex::test]
async fn entries_that_start_before_any_target_get_ready() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Safe)]));
    let seed = unready(registry.address(), "seed", &[]).await;
    until_ready(&seed).await;
    let put = async {
        for n in 0..20 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            registry.put(listed(&format!("t-{n}"), "web", "127.0.0.1:9".parse().expect("address")));
        }
    };
    let started = tokio::time::Instant::now();
    let second = unready(registry.address(), "second", &[seed.peers()]).await;
    tokio::join!(put, until_ready(&second));
    // Before the entry would have read the registry itself.
    assert!(started.elapsed() < TRANSFER_GRACE, "after {:?}", started.elapsed());
}

/// Guards against refusing requests while a starting entry receives what it needs.
#[ntex::test]
async fn a_request_during_the_start_is_served() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Safe)]));
    let target = Standin::open("t-1", "web", |_| answer(200, "web")).await;
    registry.put(target.listed.clone());
    let seed = unready(registry.address(), "seed", &[]).await;
    until_ready(&seed).await;
    let second = unready(registry.address(), "second", &[seed.peers()]).await;
    let answer = Request::new("GET", "/web/x").send(second.callers()).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "web"));
}

/// Guards against an entry that starts while the registry does not answer and learns nothing from
/// its peers.
#[ntex::test]
async fn an_entry_starts_from_its_peers_while_the_registry_is_silent() {
    let registry = registry().await;
    let first = unready(registry.address(), "first", &[]).await;
    until_ready(&first).await;
    registry.set_mood(Mood::Silent);
    let second = unready(registry.address(), "second", &[first.peers()]).await;
    let started = tokio::time::Instant::now();
    until_ready(&second).await;
    assert!(started.elapsed() < Duration::from_secs(2), "after {:?}", started.elapsed());
}

/// Guards against an entry waiting for seeds that cannot be reached.
#[ntex::test]
async fn an_entry_without_reachable_seeds_reads_the_registry() {
    let registry = registry().await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = closed.local_addr().expect("address");
    drop(closed);
    let entry = unready(registry.address(), "alone", &[address]).await;
    let started = tokio::time::Instant::now();
    until_ready(&entry).await;
    assert!(started.elapsed() < Duration::from_secs(3), "after {:?}", started.elapsed());
}
