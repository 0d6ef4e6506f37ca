//! Distribution of texts that use a large share of the bandwidth of an entry's link.
//!
//! All sizes are a tenth of the design size: texts of 100 KB instead of the maximum of 1 MB, and
//! connections of 40 KB/s. Each of these stands for a third of a link of 10 Mbit/s that is shared
//! by the connections to two active entries and the registry.

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

/// Bandwidth of one connection of a narrow link, in bytes per second.
const LINK_BYTES_PER_S: u64 = 40_000;

/// Maximum time from the publication of a text until it is in force at every entry.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

/// A text with `routes` routes of about 250 bytes each, all to one service.
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

/// Whether an entry has the route with this number. The route has no target, so an entry that has
/// it answers 503, and 404 otherwise.
async fn has_route(entry: &Gateway, nth: usize) -> bool {
    let request = Request::new("POST", &format!("/web/{nth}/x")).body("b");
    request.send(entry.callers()).await.status == 503
}

/// Two powerful entries, which become active, and twelve weak ones, which become leaves and reach
/// everything else over narrow links.
struct Fleet {
    leaves: Vec<Gateway>,
    actives: Vec<(Gateway, Proxy)>,
    to_registry: Proxy,
}

impl Fleet {
    /// Starts a fleet with unlimited bandwidth and waits until all entries are linked.
    async fn start(registry: &Registry) -> Self {
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
        // Entries dial their seeds for three seconds before the links are stable.
        sleep(Duration::from_secs(4)).await;
        Self { leaves, actives, to_registry }
    }

    fn limit_bandwidth(&self) {
        self.actives.iter().for_each(|(_, narrow)| narrow.throttle(LINK_BYTES_PER_S));
        self.to_registry.throttle(LINK_BYTES_PER_S);
    }

    /// Number of links opened to the active entries so far.
    fn links_opened(&self) -> usize {
        self.actives.iter().map(|(_, narrow)| narrow.connections()).sum()
    }
}

/// Guards against 404 answers for a route that was published four seconds ago.
///
/// Two texts of thousands of routes are published in quick succession. If each active entry sends
/// the whole text to every leaf that lacks it, and repeats it while the leaf lacks it, two copies
/// exceed what the leaf's link carries before its links time out as silent. The leaf then closes
/// them, discards what had arrived, dials other entries and starts over. In one such case, 148
/// links were lost within a second and each leaf received 4.9 MB for two texts of 1.1 MB that
/// differ in one route.
#[ntex::test]
async fn consecutive_large_texts_are_in_force_in_time() {
    let registry = Registry::open().await;
    registry.publish(text(1, 270));
    let fleet = Fleet::start(&registry).await;
    fleet.limit_bandwidth();
    let links = fleet.links_opened();
    registry.publish(text(2, 400));
    sleep(Duration::from_secs(1)).await;
    registry.publish(text(3, 401));
    let published = Instant::now();
    for leaf in &fleet.leaves {
        eventually(async || has_route(leaf, 400).await).await;
    }
    assert!(published.elapsed() < IN_FORCE_TIMEOUT, "{:?}", published.elapsed());
    assert_eq!(fleet.links_opened(), links, "links were lost under load");
}

/// Guards against an entry behind a narrow link that never becomes ready. Its text takes longer to
/// arrive than the total timeout of the call that reads it, so the call would be aborted shortly
/// before the end and restarted from the beginning. A call must not time out while bytes keep
/// arriving.
#[ntex::test]
async fn a_large_text_arrives_over_a_narrow_link_to_the_registry() {
    let registry = Registry::open().await;
    registry.publish(text(1, 400));
    let narrow = Proxy::to(registry.address());
    narrow.throttle(LINK_BYTES_PER_S);
    let entry = unready(narrow.address(), "entry-1", &[]).await;
    until_ready(&entry).await;
    assert!(has_route(&entry, 399).await);
}

/// The same while the registry does not respond and one peer has the text.
#[ntex::test]
async fn a_large_text_arrives_over_a_narrow_link_to_a_peer() {
    let registry = Registry::open().await;
    registry.publish(text(1, 400));
    let target = Standin::open("t-1", "web", |_| answer(200, "web")).await;
    registry.put(target.listed.clone());
    let (first, narrow) = start_behind_proxy(registry.address(), "entry-1", &[], 1.0).await;
    until_ready(&first).await;
    narrow.throttle(LINK_BYTES_PER_S);
    let unresponsive = Registry::open().await;
    unresponsive.set_mood(Mood::Silent);
    let second = unready(unresponsive.address(), "entry-2", &[first.peers()]).await;
    until_ready(&second).await;
    let request = Request::new("POST", "/web/399/x").body("b");
    assert_eq!(request.send(second.callers()).await.status, 200);
}

/// Guards against repeated copies of the target list on the link of a starting entry. It receives
/// from its peers with a delay of seconds, and every heartbeat that it sends meanwhile says that it
/// has no targets. If each of them were answered with a copy, the copies would queue on the link.
/// The entry requests the list instead and receives it once.
#[ntex::test]
async fn a_list_of_targets_is_sent_once() {
    // Enough bytes to keep the narrow link busy for longer than a heartbeat interval.
    const TARGETS: u64 = 5_000;
    let registry = Registry::open().await;
    registry.publish(text(1, 1));
    let standin = Standin::open("t-0", "web", |_| answer(200, "web")).await;
    for nth in 0..TARGETS {
        // Names that do not compress, like those of real targets.
        let id = format!("t-{:016x}", nth.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let id = id.parse().expect("a name");
        registry.put(Target { id, ..standin.listed.clone() });
    }
    let (first, narrow) = start_behind_proxy(registry.address(), "entry-1", &[], 1.0).await;
    until_ready(&first).await;
    narrow.throttle(LINK_BYTES_PER_S);
    let unresponsive = Registry::open().await;
    unresponsive.set_mood(Mood::Silent);
    let second = unready(unresponsive.address(), "entry-2", &[first.peers()]).await;
    until_ready(&second).await;
    // The time that three copies would take.
    sleep(Duration::from_secs(3)).await;
    let page = Request::get("/metrics").send(first.metrics()).await.body;
    let sent = r#"fireflyhoist_link_frames_total{frame="targets",way="sent"} "#;
    let frames = page.lines().find_map(|line| line.strip_prefix(sent));
    assert_eq!(frames, Some("1"), "target lists sent");
    let sent = r#"fireflyhoist_link_bytes_total{frame="targets",way="sent"} "#;
    let bytes = page.lines().find_map(|line| line.strip_prefix(sent)?.parse().ok());
    assert!(bytes > Some(LINK_BYTES_PER_S), "{bytes:?} bytes do not load the link");
}
