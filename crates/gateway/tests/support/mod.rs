//! A gateway on loopback in front of scripted targets, which send exactly the bytes that a test
//! specifies.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod bodies;
pub(crate) mod caller;
pub(crate) mod counting;
pub(crate) mod engines;
pub(crate) mod forwarder;
pub(crate) mod proxy;
pub(crate) mod restarting;
pub(crate) mod stopping;
pub(crate) mod target;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::route::{Bounds, Engine, Kind, Part, Route, Service, Text, Workspace};
use fireflyhoist_policy::unit::{Bytes, Tokens};

use fireflyhoist_standin::registry::Registry;

/// How long a test waits for anything before it fails; generous, since no test measures it.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The API key of the workspace `archive`.
pub(crate) const KEY: &str = "k-1";

/// Returns a route of `kind` from `/name/` to the service of that name.
pub(crate) fn route(name: &str, kind: Kind) -> Route {
    Route {
        name: name.into(),
        host: "svc.example".into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(2),
        gap: None,
        silence: None,
        rank: 0,
        attempts: 2,
        public: false,
        parts: vec![Part { service: name.parse().expect("name"), weight: 1 }],
    }
}

/// Returns a configuration text with these routes, each with a service of the same name.
pub(crate) fn text(revision: u64, routes: Vec<Route>) -> Text {
    let service = |route: &Route| Service {
        name: route.name.parse().expect("name"),
        connections: 100,
        warmup: None,
        engine: route.kind.is_stream().then_some(Engine {
            slots: 8,
            memory: Tokens::new(100_000),
            tokens_per_event: 1,
            moves: true,
            backups: true,
        }),
    };
    Text {
        revision,
        services: routes.iter().map(service).collect(),
        routes,
        workspaces: vec![Workspace {
            id: "archive".parse().expect("name"),
            label: "Archive".into(),
            keys: vec![KEY.into()],
            rank: None,
        }],
        bounds: Bounds { body: Bytes::new(1 << 20) },
    }
}

/// Returns the settings of an entry that listens on free ports.
pub(crate) fn settings(name: &str, registry: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    Settings::parse(&settings_text(name, registry, seeds)).expect("settings")
}

/// Returns the settings file of an entry that listens on free ports.
pub(crate) fn settings_text(name: &str, registry: SocketAddr, seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        r#"
        host = "{name}"
        domain = "hala-a"
        callers = "127.0.0.1:0"
        readiness = "127.0.0.1:0"
        directory = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        metrics = "127.0.0.1:0"
        power = 1.0
        seeds = [{}]
        registry = "{registry}"
        [bounds]
        grace_s = 4
        retry_ratio = 0.2
        retry_burst = 160
        entries_ttl_s = 5
        "#,
        seeds.join(",")
    )
}

/// Starts a gateway and waits until it is ready.
pub(crate) async fn gateway(registry: &Registry) -> Gateway {
    let gateway = unready(registry.address(), "entry-1", &[]).await;
    until_ready(&gateway).await;
    gateway
}

/// Starts a gateway that announces this power, in cores.
pub(crate) async fn start_with_power(
    registry: SocketAddr,
    name: &str,
    seeds: &[SocketAddr],
    power: f64,
) -> Gateway {
    let settings = Settings { power, ..settings(name, registry, seeds) };
    Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway")
}

/// Starts a gateway that announces this power, and whose peers connect to it through a proxy.
pub(crate) async fn start_behind_proxy(
    registry: SocketAddr,
    name: &str,
    seeds: &[SocketAddr],
    power: f64,
) -> (Gateway, proxy::Proxy) {
    let (proxy, pending) = proxy::Proxy::open();
    let own = settings(name, registry, seeds);
    let (peers, peers_listen) = (proxy.address(), Some(own.peers));
    let settings = Settings { power, peers, peers_listen, ..own };
    let gateway = Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
    pending.forward_to(gateway.peers_listen());
    (gateway, proxy)
}

/// Starts entries that know each other and, until the proxies are stalled, have links to each other;
/// then only those of the first entry are left.
pub(crate) async fn fleet_behind_proxies(
    registry: &Registry,
    count: usize,
    adjust: impl Fn(&mut Settings),
) -> (Vec<Gateway>, Vec<proxy::Proxy>) {
    let (mut fleet, mut proxies): (Vec<Gateway>, Vec<_>) = (Vec::new(), Vec::new());
    for nth in 0..count {
        let seeds: Vec<_> = fleet.iter().map(Gateway::peers).collect();
        let mut settings = settings(&format!("entry-{nth}"), registry.address(), &seeds);
        adjust(&mut settings);
        let (proxy, pending) = proxy::Proxy::open();
        if nth > 0 {
            (settings.peers_listen, settings.peers) = (Some(settings.peers), proxy.address());
        }
        let entry =
            Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
        pending.forward_to(entry.peers_listen());
        until_ready(&entry).await;
        fleet.push(entry);
        proxies.push(proxy);
    }
    let known = caller::Request::get("/v1/entries?domain=hala-a");
    for entry in &fleet {
        let all = async || known.send(entry.directory()).await.body.matches("entry-").count();
        eventually(async || all().await == count).await;
    }
    (fleet, proxies)
}

/// Starts a gateway without waiting until it is ready.
pub(crate) async fn unready(registry: SocketAddr, name: &str, seeds: &[SocketAddr]) -> Gateway {
    let settings = settings(name, registry, seeds);
    Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway")
}

/// Waits until the readiness endpoint of a gateway answers 200.
pub(crate) async fn until_ready(gateway: &Gateway) {
    let probe = caller::Request::get("/readyz");
    eventually(async || probe.send(gateway.readiness()).await.status == 200).await;
}

/// Waits until a condition holds, and panics after [`TEST_TIMEOUT`].
pub(crate) async fn eventually(mut holds: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + TEST_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "the condition holds in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
