//! Metrics of the links between entries.

mod support;

use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::Request;
use support::target::{Standin, answer};
use support::{eventually, route, start_behind_proxy, text, unready, until_ready};
use tokio::time::sleep;

/// Returns whether the metrics of an entry contain a name or series that starts with `prefix`.
async fn has_metric(entry: &Gateway, prefix: &str) -> bool {
    let page = Request::get("/metrics").send(entry.metrics()).await.body;
    page.contains(&format!("fireflyhoist_{prefix}"))
}

/// Guards against links that open and close without a trace, so that nobody can tell why an entry
/// serves an old configuration. The metrics count ended links by reason, and traffic by frame.
#[ntex::test]
async fn metrics_report_link_traffic_and_close_reasons() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let (first, proxy) = start_behind_proxy(registry.address(), "entry-1", &[], 1.0).await;
    let second = unready(registry.address(), "entry-2", &[first.peers()]).await;
    until_ready(&second).await;
    let heartbeats = r#"link_bytes_total{frame="beat",way="received"}"#;
    eventually(async || has_metric(&second, heartbeats).await).await;
    assert!(!has_metric(&second, "links_lost_total{").await);
    proxy.stall();
    eventually(async || has_metric(&second, r#"links_lost_total{reason="silent"}"#).await).await;
    // The end that still receives bytes learns of it when the other closes the link.
    eventually(async || has_metric(&first, r#"links_lost_total{reason="ended"}"#).await).await;
}

/// Guards against a link being closed while its end writes a list for which a slow link takes
/// seconds. If that end reads nothing meanwhile, its latest byte looks too old afterwards. And an
/// operating system that buffered a hundred kilobytes accepts no more until a third of them are
/// sent, so that a timeout for writes would take the link for stuck.
#[ntex::test]
async fn a_slow_write_does_not_close_a_link() {
    // A list of a quarter of a megabyte, part of which is buffered by the sockets.
    const TARGETS: usize = 2_500;
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let standin = Standin::open("t-0", "web", |_| answer(200, "web")).await;
    for nth in 0..TARGETS {
        let id = format!("t-{nth}").parse().expect("a name");
        registry.put(Target { id, ..standin.listed.clone() });
    }
    let (first, proxy) = start_behind_proxy(registry.address(), "entry-1", &[], 1.0).await;
    until_ready(&first).await;
    proxy.use_small_packets();
    proxy.throttle(40_000);
    let silent_registry = Registry::open().await;
    silent_registry.set_mood(Mood::Silent);
    let mut others = Vec::new();
    for nth in 2..8 {
        others.push(
            unready(silent_registry.address(), &format!("entry-{nth}"), &[first.peers()]).await,
        );
    }
    sleep(Duration::from_secs(6)).await;
    assert!(!has_metric(&first, "links_lost_total{").await);
}
