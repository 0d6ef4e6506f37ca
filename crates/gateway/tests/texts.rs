//! Which version of the operators' text decides, from the first moment on.

mod support;

use std::time::Duration;

use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::Request;
use support::target::{Standin, answer};
use support::{eventually, gateway, route, start_with_power, text, unready, until_ready};

fn web() -> Route {
    route("web", Kind::Unsafe)
}

/// A member is told that the archive does not exist: the entry has just started and knows no text.
/// It says that it is not ready instead, that nothing ran, and when to come back.
#[ntex::test]
async fn an_entry_without_a_text_refuses_nothing_for_good() {
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

/// Requests without a route, or with a key that nobody holds, reach no target.
#[ntex::test]
async fn routes_and_keys_decide() {
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
    let ask = async |request: Request| request.body("b").send(gateway.callers()).await;
    assert_eq!(ask(Request::new("POST", "/web/x")).await.body, "web");
    assert_eq!(ask(Request::new("POST", "/web/inner/x")).await.body, "inner");
    assert_eq!(ask(Request::new("POST", "/none/x")).await.status, 404);
    assert_eq!(ask(Request::keyless("POST", "/open/x")).await.body, "open");
    assert_eq!(ask(Request::keyless("POST", "/web/x")).await.status, 401);
    let stranger = Request::keyless("POST", "/web/x").header("authorization", "Bearer other");
    assert_eq!(ask(stranger).await.status, 401);
    assert_eq!(ask(Request::get("/web/x")).await.status, 404, "another host");
    let twice = Request::new("POST", "/web/x").header("host", "other.example");
    assert_eq!(ask(twice).await.status, 400, "two hosts");
}

/// A revoked key still opens the archive, or a dropped route still answers, seconds after the
/// operators took it away.
#[ntex::test]
async fn a_newer_text_is_in_force_at_once() {
    let registry = Registry::open().await;
    registry.publish(text(7, vec![web()]));
    let target = Standin::open("t-1", "web", |_| answer(200, "web")).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    let ask =
        async || Request::new("POST", "/web/x").body("b").send(gateway.callers()).await.status;
    assert_eq!(ask().await, 200);
    let mut newer = text(9, vec![web()]);
    newer.workspaces[0].keys = vec!["k-2".into()];
    registry.publish(newer);
    eventually(async || ask().await == 401).await;
}

/// A dropped route comes back: a reading of an older text arrives after the newer one, from a
/// registry that serves stale copies. The higher revision stays.
#[ntex::test]
async fn an_older_text_never_comes_back() {
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

/// All machines lose power and return while the registry is down: whoever knows the text and the
/// targets tells the one that starts, which serves within a second or two.
#[ntex::test]
async fn an_entry_that_cannot_read_the_registry_learns_from_its_peers() {
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

/// An entry that leaves is out of the answer with addresses, says so itself, and still answers
/// those who come late, closing their connections.
#[ntex::test]
async fn an_entry_that_leaves_is_no_longer_named() {
    let registry = Registry::open().await;
    let page = route("gen", Kind::Stream { resumable: false });
    registry.publish(text(3, vec![web(), page]));
    let target = Standin::open("t-1", "web", |_| answer(200, "web")).await;
    registry.put(target.listed.clone());
    let first = gateway(&registry).await;
    let second = unready(registry.address(), "entry-2", &[first.peers()]).await;
    support::until_ready(&second).await;
    let (callers, readiness) = (second.callers(), second.readiness());
    ntex::rt::spawn(second.drain()).detach();
    eventually(async || Request::get("/readyz").send(readiness).await.status == 503).await;
    let named = async || {
        let entries = Request::get("/v1/entries").send(first.directory()).await.body;
        entries.contains(&callers.to_string())
    };
    eventually(async || !named().await).await;
    let late = Request::new("POST", "/web/x").body("b").send(callers).await;
    assert_eq!(late.status, 200);
    assert_eq!(late.header("connection"), Some("close"));
    let long = Request::stream("/gen/x", 500).body("b").send(callers).await;
    assert_eq!(long.status, 503, "it would be cut when the process ends");
    assert!(long.body.contains("\"ran\":\"no\"") && long.header("retry-after").is_some());
}

/// Eighty entries ask the registry again at each new text, and what the operators pay for calls grows
/// with the fleet. Those that stand by are told by two that carry the traffic, and know it in time.
#[ntex::test]
async fn entries_that_stand_by_are_told_of_texts() {
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
    // Links settle: seeds are dialled for three seconds.
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

/// A route that was published seconds ago is refused with 404 by every entry. The connections of
/// all their calls to the registry went silent, new ones work. Each awaits changes of the text for
/// half a minute, since the others would tell it; none of them hears any.
#[ntex::test]
async fn a_text_is_heard_of_though_all_watches_fell_silent() {
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
    // They know of each other, and all wait for changes.
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
