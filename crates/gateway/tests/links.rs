//! What an operator reads of the links between entries.

mod support;

use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::{behind, eventually, route, text, unready, until_ready};

/// An entry serves an old text and nobody can tell why: its links came and went. The metrics say
/// how many ended for which reason, and what they carried by kind of frame.
#[ntex::test]
async fn metrics_tell_what_links_carry_and_why_they_end() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let (first, link) = behind(registry.address(), "entry-1", &[], 1.0).await;
    let second = unready(registry.address(), "entry-2", &[first.peers()]).await;
    until_ready(&second).await;
    let says = async |what: &str| {
        let page = Request::get("/metrics").send(second.metrics()).await.body;
        page.contains(&format!("fireflyhoist_{what}"))
    };
    eventually(async || says(r#"link_bytes_total{frame="beat",way="received"}"#).await).await;
    assert!(!says("links_lost_total{").await);
    link.hold();
    eventually(async || says(r#"links_lost_total{reason="silent"}"#).await).await;
}
