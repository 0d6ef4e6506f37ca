//! Which version of the operators' text an entry applies, from its start on.

mod support;

use std::time::Duration;

use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::Request;
use support::target::{Standin, answer};
use support::{
    eventually, gateway, route, start_behind_proxy, start_with_power, text, unready, until_ready,
};

fn web() -> Route {
    route("web", Kind::Unsafe)
}

/// Guards against an entry that has just started and has no text yet answering 404 for routes that
/// exist. It must answer 503 and say that the request did not run and when to retry.
#[ntex::test]
async fn an_entry_without_a_text_answers_503() {
    let registry = Registry::open().await;
    registry.set_mood(Mood::Busy);
    let gateway = unready(registry.address(), "entry-1", &[]).await;
    let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("\"ran\":\"no\""), "{}", answer.body);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(Request::get("/readyz").send(gateway.readiness()).await.status, 503);
    assert_eq!(Request::get("/v1/entries").send(gateway.directory()).await.status, 503);
}

/// Requests that match no route, or whose key is unknown, reach no target.
#[ntex::test]
async fn unknown_routes_and_keys_are_refused() {
    let registry = Registry::open().await;
    let inner = Route {
        prefix: "/web/inner/".into(),
        name: "inner".into(),
        ..route("inner", Kind::Unsafe)
    };
    let open = Route { public: true, ..route("open", Kind::Unsafe) };
    registry.publish(text(1, vec![web(), inner, open]));
    for name in ["web", "inner", "open"] {
        let target = Standin::open(&format!("t-{name}"), name, move |_| answer(200, name)).await;
        registry.put(target.listed.clone());
    }
    let gateway = gateway(&registry).await;
    let send = async |request: Request| request.body("b").send(gateway.callers()).await;
    assert_eq!(send(Request::new("POST", "/web/x")).await.body, "web");
    assert_eq!(send(Request::new("POST", "/web/inner/x")).await.body, "inner");
    assert_eq!(send(Request::new("POST", "/none/x")).await.status, 404);
    assert_eq!(send(Request::keyless("POST", "/open/x")).await.body, "open");
    assert_eq!(send(Request::keyless("POST", "/web/x")).await.status, 401);
    let unknown_key = Request::keyless("POST", "/web/x").header("authorization", "Bearer other");
    assert_eq!(send(unknown_key).await.status, 401);
    assert_eq!(send(Request::get("/web/x")).await.status, 404, "another host");
    let two_hosts = Request::new("POST", "/web/x").header("host", "other.example");
    assert_eq!(send(two_hosts).await.status, 400, "two hosts");
}

/// Guards against a revoked key or a removed route being accepted seconds after the operators
/// removed it.
#[ntex::test]
async fn a_newer_text_applies_at_once() {
    let registry = Registry::open().await;
    registry.publish(text(7, vec![web()]));
    let target = Standin::open("t-1", "web", |_| answer(200, "web")).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    let send =
        async || Request::new("POST", "/web/x").body("b").send(gateway.callers()).await.status;
    assert_eq!(send().await, 200);
    let mut newer = text(9, vec![web()]);
    newer.workspaces[0].keys = vec!["k-2".into()];
    registry.publish(newer);
    eventually(async || send().await == 401).await;
}

/// Guards against a removed route being served again because a registry that serves stale copies
/// returns an older text after the newer one. The text with the higher revision stays in force.
#[ntex::test]
async fn an_older_text_is_ignored() {
    let registry = Registry::open().await;
    let both = text(7, vec![web(), route("old", Kind::Unsafe)]);
    registry.publish(text(9, vec![web()]));
    let gateway = gateway(&registry).await;
    let calls = registry.calls();
    registry.publish(both);
    eventually(async || registry.calls() >= calls + 2).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let answer = Request::new("POST", "/old/x").body("b").send(gateway.callers()).await;
    assert_eq!(answer.status, 404);
}

/// Guards against an entry not starting while the registry is down, as after a power loss of all
/// hosts. It must get the text and the targets from peers that have them, and serve within a second
/// or two.
#[ntex::test]
async fn an_entry_without_a_registry_starts_from_its_peers() {
    let registry = Registry::open().await;
    registry.publish(text(3, vec![web()]));
    let target = Standin::open("t-1", "web", |_| answer(200, "web")).await;
    registry.put(target.listed.clone());
    let first = gateway(&registry).await;
    let down = Registry::open().await;
    down.set_mood(Mood::Silent);
    let second = unready(down.address(), "entry-2", &[first.peers()]).await;
    support::until_ready(&second).await;
    let answer = Request::new("POST", "/web/x").body("b").send(second.callers()).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "web"));
    let both = async || {
        let entries = Request::get("/v1/entries").send(first.directory()).await.body;
        let listed = |at: std::net::SocketAddr| entries.contains(&at.to_string());
        listed(first.callers()) && listed(second.callers())
    };
    eventually(both).await;
}

/// An entry that drains is removed from the directory, reports itself as not ready, and still
/// answers late requests, closing their connections. It refuses streams that would be cut when its
/// process ends.
#[ntex::test]
async fn a_draining_entry_is_not_listed() {
    let registry = Registry::open().await;
    let stream = route("gen", Kind::Stream { resumable: false });
    registry.publish(text(3, vec![web(), stream]));
    let target = Standin::open("t-1", "web", |_| answer(200, "web")).await;
    registry.put(target.listed.clone());
    let first = gateway(&registry).await;
    let second = unready(registry.address(), "entry-2", &[first.peers()]).await;
    support::until_ready(&second).await;
    let (callers, readiness) = (second.callers(), second.readiness());
    ntex::rt::spawn(second.drain()).detach();
    eventually(async || Request::get("/readyz").send(readiness).await.status == 503).await;
    let is_listed = async || {
        let entries = Request::get("/v1/entries").send(first.directory()).await.body;
        entries.contains(&callers.to_string())
    };
    eventually(async || !is_listed().await).await;
    let late = Request::new("POST", "/web/x").body("b").send(callers).await;
    assert_eq!(late.status, 200);
    assert_eq!(late.header("connection"), Some("close"));
    let long = Request::stream("/gen/x", 500).body("b").send(callers).await;
    assert_eq!(long.status, 503, "it would be cut when the process ends");
    assert!(long.body.contains("\"ran\":\"no\"") && long.header("retry-after").is_some());
}

/// Guards against every one of eighty entries reading each new text from the registry: the cost of
/// these calls grows with the fleet. Leaves receive texts from the two active entries, and in time.
#[ntex::test]
async fn leaves_receive_texts_from_active_entries() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![web()]));
    let mut entries = Vec::new();
    let mut seeds = Vec::new();
    for nth in 0..14 {
        let power = if nth < 2 { 1.0 } else { 0.1 };
        let entry = start_with_power(registry.address(), &format!("e-{nth}"), &seeds, power).await;
        if nth < 2 {
            seeds.push(entry.peers());
        }
        entries.push(entry);
    }
    for entry in &entries {
        until_ready(entry).await;
    }
    // Entries dial their seeds for three seconds before the links are stable.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = registry.calls();
    registry.publish(text(2, vec![web(), route("new", Kind::Unsafe)]));
    let published = tokio::time::Instant::now();
    let probe = Request::new("POST", "/new/x").body("b");
    for entry in &entries {
        eventually(async || probe.send(entry.callers()).await.status == 503).await;
    }
    assert!(published.elapsed() < Duration::from_secs(2), "{:?}", published.elapsed());
    let calls = registry.calls() - before;
    assert!(calls < 12, "{calls} calls for one text");
}

/// Guards against every entry answering 404 for a route that was published seconds ago. The
/// connections of all their registry calls hang, while new connections work. If each entry relied
/// on its peers to announce a text and waited for its own watch for half a minute, none would
/// receive it.
#[ntex::test]
async fn a_text_is_received_while_all_watches_hang() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![web()]));
    let first = gateway(&registry).await;
    let mut entries = Vec::new();
    for nth in 2..=4 {
        let name = format!("entry-{nth}");
        entries.push(unready(registry.address(), &name, &[first.peers()]).await);
    }
    entries.push(first);
    for entry in &entries {
        until_ready(entry).await;
    }
    // By now all entries know each other and wait for changes.
    tokio::time::sleep(Duration::from_secs(4)).await;
    registry.lose_calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    registry.publish(text(2, vec![web(), route("new", Kind::Unsafe)]));
    let published = tokio::time::Instant::now();
    let probe = Request::new("POST", "/new/x").body("b");
    for entry in &entries {
        eventually(async || probe.send(entry.callers()).await.status == 503).await;
    }
    assert!(published.elapsed() < Duration::from_secs(3), "{:?}", published.elapsed());
}

/// Guards against an entry missing a text for half a minute: it relies on peers and waits long at
/// the registry, its connection there hangs, and then it loses all peers.
#[ntex::test]
async fn a_text_is_received_after_the_peers_are_lost() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![web()]));
    let names = ["entry-1", "entry-2", "entry-3"];
    // The entry that ranks last does not watch targets, so it waits long for texts.
    let last = *rendezvous::rank("targets", &names, |name| name)[2];
    let mut entries = Vec::new();
    let mut seeds = Vec::new();
    for name in names {
        let (entry, proxy) = start_behind_proxy(registry.address(), name, &seeds, 1.0).await;
        seeds.push(entry.peers());
        entries.push((name, entry, proxy));
    }
    for (_, entry, _) in &entries {
        until_ready(entry).await;
    }
    // By now all entries know each other and wait for changes.
    tokio::time::sleep(Duration::from_secs(5)).await;
    registry.lose_calls();
    entries.iter().for_each(|(_, _, proxy)| proxy.stall());
    tokio::time::sleep(Duration::from_secs(2)).await;
    registry.publish(text(2, vec![web(), route("new", Kind::Unsafe)]));
    let published = tokio::time::Instant::now();
    let (_, entry, _) = entries.iter().find(|(name, ..)| *name == last).expect("started");
    let probe = Request::new("POST", "/new/x").body("b");
    eventually(async || probe.send(entry.callers()).await.status == 503).await;
    assert!(published.elapsed() < Duration::from_secs(2), "{:?}", published.elapsed());
}
