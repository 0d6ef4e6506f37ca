//! The choice of route, service and workspace for a request.

use std::time::Duration;

use fireflyhoist_policy::id::Service;
use fireflyhoist_policy::route::{Bounds, Kind, Part, Route, Table, Text, Workspace};
use fireflyhoist_policy::unit::Bytes;
use yare::parameterized;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    let part = |service: &str, weight| Part { service: service.parse().expect("name"), weight };
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        gap: None,
        silence: None,
        rank: 0,
        attempts: 1,
        public: false,
        parts: vec![part("old", 90), part("new", 10)],
    }
}

fn table() -> Table {
    let workspace = |name: &str, key: &str| Workspace {
        id: name.parse().expect("name"),
        label: name.into(),
        keys: vec![key.into()],
        rank: None,
    };
    Table::new(Text {
        revision: 1,
        routes: vec![
            route("all", "a.example", "/"),
            route("pages", "a.example", "/pages/"),
            route("old", "a.example", "/pages/old/"),
            route("other", "B.example", "/x/"),
        ],
        services: Vec::new(),
        workspaces: vec![workspace("one", "k-1"), workspace("two", "k-2")],
        bounds: Bounds { body: Bytes::new(1) },
    })
}

/// Guards against the targets of a service being judged by a lenient route beside a strict one.
#[test]
fn strictest_route_gives_the_objective_of_a_service() {
    let table = table();
    let mut text = table.text().clone();
    text.routes[1].objective = Duration::from_millis(150);
    let service: Service = "new".parse().expect("name");
    assert_eq!(text.answer_objectives().get(&service), Some(&Duration::from_millis(150)));
}

/// Guards against pauses that only the more lenient route to a service allows, and against a bound
/// for services whose routes have none.
#[test]
fn strictest_route_gives_the_longest_pause_of_a_service() {
    let mut text = table().text().clone();
    assert!(text.longest_pauses().is_empty());
    text.routes[1].gap = Some(Duration::from_millis(250));
    text.routes[2].gap = Some(Duration::from_millis(180));
    let service: Service = "new".parse().expect("name");
    assert_eq!(text.longest_pauses().get(&service), Some(&Duration::from_millis(180)));
}

#[parameterized(
    shortest = { "a.example", "/zzz", Some("all") },
    longer = { "a.example", "/pages/1", Some("pages") },
    longest = { "a.example", "/pages/old/1", Some("old") },
    prefix_without_slash = { "a.example", "/pages", Some("all") },
    port = { "a.example:8740", "/pages/1", Some("pages") },
    case_of_request = { "A.Example", "/pages/1", Some("pages") },
    case_of_configuration = { "b.example", "/x/1", Some("other") },
    unknown_prefix = { "b.example", "/y/1", None },
    unknown_host = { "c.example", "/x/1", None },
)]
fn longest_prefix_of_host_wins(host: &str, path: &str, name: Option<&str>) {
    let table = table();
    assert_eq!(table.route(host, path).map(|route| route.name.as_str()), name);
}

#[test]
fn key_identifies_workspace() {
    let table = table();
    assert_eq!(table.workspace("k-2").map(|w| w.label.as_str()), Some("two"));
    assert_eq!(table.workspace("k-3"), None);
    assert!(table.requires_keys());
}

/// Guards against entries sending the same request to different services of a split route, and
/// against shares that differ from the weights.
#[test]
fn split_follows_weights() {
    let route = route("split", "a", "/");
    let new = (0..1_000).filter(|draw| route.service(*draw).is_some_and(|s| s.as_str() == "new"));
    assert_eq!(new.count(), 100);
}
