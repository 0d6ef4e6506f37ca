//! Entries that carry more than they can, and what the directory says of them.
//!
//! The processor time that an entry measures is that of the whole test program, so one test runs at a
//! time.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Standin, Step, answer};
use support::{eventually, route, settings, text, until_ready};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Starts an entry of the domain `hala-a` with these switches.
async fn entry(
    registry: &Registry,
    name: &str,
    seeds: &[std::net::SocketAddr],
    adjust: impl Fn(&mut Settings),
) -> Gateway {
    let mut own = settings(name, registry.address(), seeds);
    adjust(&mut own);
    let entry = Gateway::bind::<Native>(own, PathBuf::from("none")).await.expect("gateway");
    until_ready(&entry).await;
    entry
}

/// Returns how many of some answers of a directory list each entry.
async fn listed(directory: &Gateway, name: &str) -> usize {
    let known = Request::get("/v1/entries?domain=hala-a");
    let mut count = 0;
    for _ in 0..20 {
        count += usize::from(known.send(directory.directory()).await.body.contains(name));
    }
    count
}
/// Publishes a route to a target that answers while the flag is not set.
async fn holding_target(registry: &Registry) -> (Standin, Arc<AtomicBool>) {
    let patient = Route { timeout: Duration::from_secs(60), ..route("web", Kind::Unsafe) };
    registry.publish(text(1, vec![patient]));
    let holds = Arc::new(AtomicBool::new(true));
    let held = Arc::clone(&holds);
    let script = move |_: &support::target::Seen| {
        let held = Arc::clone(&held);
        let until = Step::Until(Arc::new(move || !held.load(Ordering::Acquire)));
        [vec![until], answer(200, "done")].concat()
    };
    (Standin::open("t-1", "web", script).await, holds)
}

/// Sends requests to an entry without waiting for their answers.
async fn open_many(entry: &Gateway, count: usize) -> Vec<TcpStream> {
    let mut open = Vec::new();
    for nth in 0..count {
        let request = Request::new("POST", "/web/x").named(&format!("r-{nth}")).body("b");
        open.push(request.open(entry.callers()).await);
    }
    open
}

/// Guards against callers that are sent to an entry which carries more than it can, and against one
/// that stays left out afterwards.
#[ntex::test]
async fn an_overloaded_entry_is_left_out_of_the_directory_and_comes_back() {
    let _alone = ALONE.lock().await;
    let registry = Registry::open().await;
    let (target, holds) = holding_target(&registry).await;
    registry.put(target.listed.clone());
    // The first entry can carry 240 open requests by its power. The processor time that it measures is
    // that of the whole test, which uses less than it can carry.
    let mut fleet: Vec<Gateway> = Vec::new();
    for nth in 0..3 {
        let seeds: Vec<_> = fleet.iter().map(Gateway::peers).collect();
        let power = if nth == 0 { 0.4 } else { 4.0 };
        let adjust = |own: &mut Settings| {
            own.scheduling.entry_load = true;
            own.power = power;
        };
        fleet.push(entry(&registry, &format!("entry-{nth}"), &seeds, adjust).await);
    }
    for entry in &fleet {
        eventually(async || listed(entry, "entry-0").await == 20).await;
    }
    let open = open_many(&fleet[0], 400).await;
    for entry in &fleet {
        eventually(async || listed(entry, "entry-0").await <= 10).await;
        assert_eq!(listed(entry, "entry-1").await, 20);
    }
    holds.store(false, Ordering::Release);
    drop(open);
    let back = async || {
        while listed(&fleet[1], "entry-0").await < 20 {
            sleep(Duration::from_secs(1)).await;
        }
    };
    timeout(Duration::from_secs(40), back()).await.expect("it is listed again");
}

/// Guards against callers that ask an entry which serves none itself, and hears from two entries only,
/// being sent to an overloaded one.
#[ntex::test]
async fn a_leaf_leaves_out_what_its_primary_active_does() {
    let _alone = ALONE.lock().await;
    let registry = Registry::open().await;
    let (target, holds) = holding_target(&registry).await;
    registry.put(target.listed.clone());
    // More than twelve entries are not all active, and of one failure domain six are.
    let mut fleet: Vec<Gateway> = Vec::new();
    for nth in 0..14 {
        let seeds: Vec<_> = fleet.iter().take(3).map(Gateway::peers).collect();
        let adjust = |own: &mut Settings| own.scheduling.entry_load = true;
        fleet.push(entry(&registry, &format!("entry-{nth:02}"), &seeds, adjust).await);
    }
    let known = Request::get("/v1/entries?domain=hala-a");
    let names = async |entry: &Gateway| {
        let body = known.send(entry.directory()).await.body;
        let is_listed = |nth: &usize| body.contains(&format!("entry-{nth:02}"));
        (0..14).filter(is_listed).collect::<Vec<_>>()
    };
    eventually(async || {
        let first = names(&fleet[0]).await;
        first.len() == 6 && names(&fleet[13]).await == first
    })
    .await;
    let actives = names(&fleet[0]).await;
    let leaf = (0..14).find(|nth| !actives.contains(nth)).expect("a leaf");
    let busy = format!("entry-{:02}", actives[0]);
    let open = open_many(&fleet[actives[0]], 1_200).await;
    eventually(async || listed(&fleet[leaf], &busy).await <= 10).await;
    assert_eq!(listed(&fleet[leaf], &format!("entry-{:02}", actives[1])).await, 20);
    holds.store(false, Ordering::Release);
    drop(open);
}
