//! Texts that take a good part of what an entry's link carries.
//!
//! Everything is a tenth of what it is at the size to design for: texts of a hundred kilobytes
//! stand for the megabyte that a text may have, and connections of 40 KB/s for a third each of a
//! link of 10 Mbit/s, which leads to two actives and the registry.

mod support;

use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::route::{Kind, Route, Text};
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::Request;
use support::proxy::Proxy;
use support::target::{Standin, answer};
use support::{eventually, route, start_behind_proxy, start_with_power, unready, until_ready};
use tokio::time::{Instant, sleep};

/// What one connection of a narrow host carries, in bytes a second.
const RATE: u64 = 40_000;

/// Within this time of its acknowledgement a text is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(3);

/// A text of so many routes, some 250 bytes each, to one service.
fn text(revision: u64, routes: usize) -> Text {
    let first = route("web", Kind::Unsafe);
    let numbered = |nth: usize| Route {
        name: format!("r-{nth}").into(),
        prefix: format!("/web/{nth}/").into(),
        ..first.clone()
    };
    let mut text = support::text(revision, vec![first.clone()]);
    text.routes = (0..routes).map(numbered).collect();
    text
}

/// Whether an entry knows the route with this number; without a target it can't be served.
async fn knows(entry: &Gateway, nth: usize) -> bool {
    let request = Request::new("POST", &format!("/web/{nth}/x")).body("b");
    request.send(entry.callers()).await.status == 503
}

/// Two strong entries, and twelve weak ones that reach all else over narrow links.
struct Fleet {
    leaves: Vec<Gateway>,
    actives: Vec<(Gateway, Proxy)>,
    to_registry: Proxy,
}

impl Fleet {
    /// Starts a fleet whose links are wide yet, and waits until all are linked.
    async fn open(registry: &Registry) -> Self {
        let to_registry = Proxy::to(registry.address());
        let mut seeds = Vec::new();
        let mut actives = Vec::new();
        for nth in 0..2 {
            let active =
                start_behind_proxy(registry.address(), &format!("active-{nth}"), &seeds, 1.0).await;
            seeds.push(active.1.address());
            actives.push(active);
        }
        let mut leaves = Vec::new();
        for nth in 0..12 {
            let name = format!("leaf-{nth}");
            leaves.push(start_with_power(to_registry.address(), &name, &seeds, 0.1).await);
        }
        for entry in leaves.iter().chain(actives.iter().map(|(active, _)| active)) {
            until_ready(entry).await;
        }
        // Links settle: seeds are dialled for three seconds.
        sleep(Duration::from_secs(4)).await;
        Self { leaves, actives, to_registry }
    }

    fn squeeze(&self) {
        self.actives.iter().for_each(|(_, narrow)| narrow.throttle(RATE));
        self.to_registry.throttle(RATE);
    }

    /// Links to the actives so far.
    fn links(&self) -> usize {
        self.actives.iter().map(|(_, narrow)| narrow.connections()).sum()
    }
}

/// Callers are refused with 404 for a route that was published four seconds ago. Two texts of
/// thousands of routes were published one right after the other. Each active sends the whole text
/// to every leaf that lacks it, and again as long as it lacks it; two copies are more than the
/// leaf's link carries before its links count as silent, so it closes them with what had arrived,
/// dials others, and they begin anew. A played day shows it: 148 links lost within a second, each
/// leaf taking in 4.9 MB for two texts of 1.1 MB that differ in one route.
#[ntex::test]
async fn large_texts_one_after_the_other_are_in_force_in_time() {
    let registry = Registry::open().await;
    registry.publish(text(1, 270));
    let fleet = Fleet::open(&registry).await;
    fleet.squeeze();
    let links = fleet.links();
    registry.publish(text(2, 400));
    sleep(Duration::from_secs(1)).await;
    registry.publish(text(3, 401));
    let published = Instant::now();
    for leaf in &fleet.leaves {
        eventually(async || knows(leaf, 400).await).await;
    }
    assert!(published.elapsed() < IN_FORCE, "{:?}", published.elapsed());
    assert_eq!(fleet.links(), links, "no link is lost for what it carries");
}

/// An entry starts behind a narrow link and never gets ready: its text takes longer to arrive than
/// the call that reads it may take, so it is given up nearly whole and read again from the start.
/// Bytes that keep coming are no reason to give up.
#[ntex::test]
async fn a_large_text_arrives_over_a_narrow_link_to_the_registry() {
    let registry = Registry::open().await;
    registry.publish(text(1, 400));
    let narrow = Proxy::to(registry.address());
    narrow.throttle(RATE);
    let entry = unready(narrow.address(), "entry-1", &[]).await;
    until_ready(&entry).await;
    assert!(knows(&entry, 399).await);
}

/// The same while the registry is away, with one peer that has the text.
#[ntex::test]
async fn a_large_text_arrives_over_a_narrow_link_to_a_peer() {
    let registry = Registry::open().await;
    registry.publish(text(1, 400));
    let target = Standin::open("t-1", "web", |_| answer(200, "web")).await;
    registry.put(target.listed.clone());
    let (first, narrow) = start_behind_proxy(registry.address(), "entry-1", &[], 1.0).await;
    until_ready(&first).await;
    narrow.throttle(RATE);
    let away = Registry::open().await;
    away.set_mood(Mood::Silent);
    let second = unready(away.address(), "entry-2", &[first.peers()]).await;
    until_ready(&second).await;
    let request = Request::new("POST", "/web/399/x").body("b");
    assert_eq!(request.send(second.callers()).await.status, 200);
}

/// An entry that starts behind a narrow link hears its peers seconds late: with each heartbeat that
/// says that it knows no targets it is sent all of them once more, and they queue on its link. It
/// asks, and is sent them once.
#[ntex::test]
async fn a_list_of_targets_is_sent_once() {
    // As many bytes as keep the narrow link busy for longer than a heartbeat.
    const TARGETS: u64 = 5_000;
    let registry = Registry::open().await;
    registry.publish(text(1, 1));
    let standin = Standin::open("t-0", "web", |_| answer(200, "web")).await;
    for nth in 0..TARGETS {
        // Names that don't deflate, as those of real targets.
        let id = format!("t-{:016x}", nth.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let id = id.parse().expect("a name");
        registry.put(Target { id, ..standin.listed.clone() });
    }
    let (first, narrow) = start_behind_proxy(registry.address(), "entry-1", &[], 1.0).await;
    until_ready(&first).await;
    narrow.throttle(RATE);
    let away = Registry::open().await;
    away.set_mood(Mood::Silent);
    let second = unready(away.address(), "entry-2", &[first.peers()]).await;
    until_ready(&second).await;
    // As long as three copies would take.
    sleep(Duration::from_secs(3)).await;
    let page = Request::get("/metrics").send(first.metrics()).await.body;
    let sent = r#"fireflyhoist_link_frames_total{frame="targets",way="sent"} "#;
    let frames = page.lines().find_map(|line| line.strip_prefix(sent));
    assert_eq!(frames, Some("1"), "lists sent");
    let sent = r#"fireflyhoist_link_bytes_total{frame="targets",way="sent"} "#;
    let bytes = page.lines().find_map(|line| line.strip_prefix(sent)?.parse().ok());
    assert!(bytes > Some(RATE), "{bytes:?} bytes are no load for the link");
}
