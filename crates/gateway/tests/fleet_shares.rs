//! What a workspace uses at one entry counts at the others.

mod support;

use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_gateway::Settings;
use fireflyhoist_policy::route::{Kind, Workspace};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Standin, Step, event, stream_head};
use support::{eventually, fleet_behind_proxies, route, text};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Starts a registry with one engine, whose answers do not end, and the workspaces `archive` and
/// `small`.
async fn registry() -> (Registry, Standin) {
    let registry = Registry::open().await;
    let mut text = text(1, vec![route("gen", Kind::Stream { resumable: false })]);
    text.workspaces.push(Workspace {
        id: "small".parse().expect("name"),
        label: "Small".into(),
        keys: vec!["k-2".into()],
        rank: None,
    });
    registry.publish(text);
    let engine = Standin::open("e-1", "gen", |_| vec![stream_head(), event(1), Step::Hang]).await;
    registry.put(engine.listed.clone());
    (registry, engine)
}

/// Begins a generation with a key; it runs until the stream is dropped.
async fn begin(entry: &Gateway, key: &str) -> TcpStream {
    let request = Request::keyless("POST", "/gen/x")
        .header("authorization", &format!("Bearer {key}"))
        .header("fireflyhoist-prompt-tokens", "100")
        .header("fireflyhoist-max-tokens", "200");
    request.body("b").open(entry.callers()).await
}

async fn heavy_workspaces(entry: &Gateway) -> Option<String> {
    let page = Request::get("/metrics").send(entry.metrics()).await.body;
    let line = page.lines().find(|line| line.starts_with("fireflyhoist_heavy_workspaces"))?;
    line.split(' ').next_back().map(str::to_owned)
}

fn with_shares(settings: &mut Settings) {
    settings.scheduling.fleet_shares = true;
}

/// Guards against a workspace that looks light at each entry because the others do not learn of what
/// it uses: of three entries, the first two serve one workspace, and the third learns that it is
/// heavy. When its answers end, it is no longer heavy anywhere.
#[ntex::test]
async fn an_entry_learns_what_a_workspace_uses_at_others() {
    let (registry, engine) = registry().await;
    let (fleet, _proxies) = fleet_behind_proxies(&registry, 3, with_shares).await;
    let small = begin(&fleet[2], "k-2").await;
    let mut large = Vec::new();
    for nth in 0..4 {
        large.push(begin(&fleet[nth % 2], support::KEY).await);
    }
    eventually(async || engine.seen().len() == 5).await;
    for entry in &fleet {
        eventually(async || heavy_workspaces(entry).await.as_deref() == Some("1")).await;
    }
    drop(large);
    for entry in &fleet {
        eventually(async || heavy_workspaces(entry).await.as_deref() == Some("0")).await;
    }
    drop(small);
}

/// Guards against announcements and effects of the mechanism at entries that do not use it, as
/// those of the previous release.
#[ntex::test]
async fn entries_without_the_switch_announce_and_count_nothing() {
    let (registry, engine) = registry().await;
    let adjust = |settings: &mut Settings| {
        settings.scheduling.fleet_shares = settings.host.as_str() == "entry-1";
    };
    let (fleet, _proxies) = fleet_behind_proxies(&registry, 2, adjust).await;
    let mut streams = vec![begin(&fleet[1], "k-2").await];
    for _ in 0..4 {
        streams.push(begin(&fleet[0], support::KEY).await);
    }
    eventually(async || engine.seen().len() == 5).await;
    sleep(Duration::from_millis(1_500)).await;
    for entry in &fleet {
        assert_eq!(heavy_workspaces(entry).await.as_deref(), Some("0"));
    }
}
