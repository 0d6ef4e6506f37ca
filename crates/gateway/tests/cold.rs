//! The limit on requests to cold targets, which crash if all entries together exceed it.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_gateway::native::Native;
use fireflyhoist_policy::cold::Warmup;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::rendezvous;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_policy::unit::RequestRate;
use fireflyhoist_standin::registry::Registry;
use futures_util::future::join_all;
use parking_lot::Mutex;
use support::caller::Request;
use support::forwarder::{Forwarder, Mode};
use support::proxy::Proxy;
use support::target::{Standin, answer};
use support::{eventually, fleet_behind_proxies, route, settings, text, until_ready};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// The rate that a cold target takes, in requests a second.
const COLD_REQUESTS_PER_S: f64 = 2.0;

/// The most requests that it may get in any second: one and a half times the rate, plus one.
const MAX_PER_SECOND: usize = 4;

/// How long a target is cold after it starts.
const COLD_PERIOD: Duration = Duration::from_secs(3);

/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// A target that records when requests arrive.
struct Recorder {
    listed: Target,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Recorder {
    async fn open(name: &str, at: &str) -> Self {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded = Arc::clone(&arrivals);
        let script = move |_: &support::target::Seen| {
            recorded.lock().push(Instant::now());
            answer(200, "ok")
        };
        let mut listed = Standin::open(name, "web", script).await.listed;
        listed.domain = at.parse().expect("a name");
        Self { listed, arrivals }
    }

    fn cold(&self, renewal: u64) -> Target {
        let cold_ms = u64::try_from(COLD_PERIOD.as_millis()).expect("milliseconds");
        Target { cold_ms, renewal, ..self.listed.clone() }
    }

    fn count(&self) -> usize {
        self.arrivals.lock().len()
    }

    /// Returns the highest number of requests in any second.
    fn peak(&self) -> usize {
        let arrivals = self.arrivals.lock();
        let within = |(nth, first): (usize, &Instant)| {
            arrivals[nth..].iter().take_while(|at| **at <= *first + Duration::from_secs(1)).count()
        };
        arrivals.iter().enumerate().map(within).max().unwrap_or_default()
    }
}

async fn registry() -> Registry {
    let registry = Registry::open().await;
    let web = Route { objective: Duration::from_millis(500), ..route("web", Kind::Safe) };
    let mut text = text(1, vec![web]);
    text.services[0].warmup =
        Some(Warmup { lasts: COLD_PERIOD, per_s: RequestRate::new(COLD_REQUESTS_PER_S) });
    registry.publish(text);
    registry
}

async fn fleet(registry: &Registry, entries: usize) -> Vec<Gateway> {
    let mut fleet: Vec<Gateway> = Vec::new();
    for nth in 0..entries {
        let seeds: Vec<_> = fleet.iter().map(Gateway::peers).collect();
        let mut settings = settings(&format!("entry-{nth}"), registry.address(), &seeds);
        (settings.bounds.cold_excess, settings.bounds.cold_margin) = (1.5, 1.0);
        let entry = Gateway::bind::<Native>(settings, "none".into()).await.expect("an entry");
        until_ready(&entry).await;
        fleet.push(entry);
    }
    // Until entries know each other, each would own all token buckets.
    until_linked(&fleet).await;
    fleet
}

/// Sends requests to all entries in turn for this time, and returns how many.
async fn send_for(fleet: &[Gateway], lasts: Duration) -> usize {
    let end = Instant::now() + lasts;
    let mut served = 0;
    for entry in fleet.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        let answer = Request::new("POST", "/web/x").body("b").send(entry.callers()).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        served += 1;
        sleep(REQUEST_INTERVAL).await;
    }
    served
}

/// Guards against cold targets, which look least loaded to every entry, getting all the requests.
#[parameterized(one_entry = { 1 }, three_entries = { 3 })]
#[test_macro(ntex::test)]
async fn cold_targets_are_rate_limited(entries: usize) {
    let registry = registry().await;
    let warm = Recorder::open("web-1", "a").await;
    registry.put(warm.listed.clone());
    let fleet = fleet(&registry, entries).await;
    let cold = [Recorder::open("web-2", "b").await, Recorder::open("web-3", "b").await];
    cold.iter().for_each(|target| registry.put(target.cold(1)));
    let served = send_for(&fleet, COLD_PERIOD.mul_f64(0.8)).await;
    for target in &cold {
        assert!(target.peak() <= MAX_PER_SECOND, "{} requests in a second", target.peak());
        assert!(target.count() >= 1, "of {served}");
    }
    sleep(COLD_PERIOD).await;
    let before: usize = cold.iter().map(Recorder::count).sum();
    let served = send_for(&fleet, Duration::from_secs(1)).await;
    let after: usize = cold.iter().map(Recorder::count).sum();
    assert!(after - before > served / 3, "{} of {served}", after - before);
}

/// Guards against several entries granting the whole limit of a cold target while they have links to
/// different entries.
#[ntex::test]
async fn a_cold_target_is_rate_limited_while_links_are_missing() {
    let registry = registry().await;
    let warm = Recorder::open("web-1", "a").await;
    registry.put(warm.listed.clone());
    let (fleet, proxies) = fleet_behind_proxies(&registry, 4, |settings| {
        (settings.bounds.cold_excess, settings.bounds.cold_margin) = (1.5, 1.0);
    })
    .await;
    proxies.iter().for_each(Proxy::stall);
    // Links that fall silent are closed within a second.
    sleep(Duration::from_millis(1_500)).await;
    let cold = [Recorder::open("web-2", "b").await, Recorder::open("web-3", "b").await];
    cold.iter().for_each(|target| registry.put(target.cold(1)));
    send_for(&fleet, COLD_PERIOD.mul_f64(0.8)).await;
    for target in &cold {
        assert!(target.peak() <= MAX_PER_SECOND, "{} requests in a second", target.peak());
        assert!(target.count() >= 1);
    }
}

/// Guards against an owner that does not list a cold target, having missed its start, granting all
/// requests that others ask it for.
#[ntex::test]
async fn an_owner_that_does_not_list_a_cold_target_limits_it() {
    let (first, second) = (registry().await, registry().await);
    let warm = Recorder::open("web-1", "a").await;
    [&first, &second].iter().for_each(|registry| registry.put(warm.listed.clone()));
    let (sender, proxy) = entry_behind_proxy(&first, "entry-0", &[]).await;
    let seeds = [proxy.address()];
    let (owner, owner_proxy) = entry_behind_proxy(&second, "entry-1", &seeds).await;
    let fleet = [sender, owner];
    until_linked(&fleet).await;
    [&proxy, &owner_proxy].iter().for_each(|proxy| proxy.stall());
    until_unlinked(&fleet).await;
    // The registries are at the same position afterwards, so neither entry counts as behind.
    let cold = Recorder::open(&owned_by("entry-1", "entry-0"), "b").await;
    let other = Recorder::open("other-1", "a").await;
    let listed = Target { service: "none".parse().expect("a name"), ..other.listed.clone() };
    first.put(cold.cold(1));
    second.put(listed);
    [&proxy, &owner_proxy].iter().for_each(|proxy| proxy.resume());
    until_linked(&fleet).await;
    send_for(&fleet[..1], COLD_PERIOD / 2).await;
    assert!(cold.peak() <= MAX_PER_SECOND, "{} requests in a second", cold.peak());
    assert!(cold.count() >= 1);
}

/// Guards against permits that are used long after they were granted, on top of those granted since.
#[ntex::test]
async fn an_outdated_permit_is_not_used() {
    let registry = registry().await;
    let warm = Recorder::open("web-1", "a").await;
    registry.put(warm.listed.clone());
    let forwarder = Forwarder::open().await;
    let mut settings = settings("entry-0", registry.address(), &[]);
    (settings.bounds.cold_excess, settings.bounds.cold_margin) = (1.5, 1.0);
    settings.forwarder = Some(forwarder.address);
    let entry = Gateway::bind::<Native>(settings, "none".into()).await.expect("an entry");
    until_ready(&entry).await;
    // An entry that has just started grants nothing for cold targets.
    sleep(Duration::from_secs(2)).await;
    let cold = Recorder::open("web-2", "b").await;
    registry.put(cold.cold(1));
    forwarder.set_mode(Mode::Late(Duration::from_millis(200)));
    // Until connections are late for all requests.
    sleep(Duration::from_millis(300)).await;
    let entry = [entry];
    let callers = (0..8).map(|_| send_for(&entry, COLD_PERIOD / 2));
    let served: usize = join_all(callers).await.into_iter().sum();
    assert!(served >= 1 && cold.count() == 0, "{} of {served}", cold.count());
    forwarder.set_mode(Mode::Open);
    send_for(&entry, COLD_PERIOD / 3).await;
    assert!(cold.count() >= 1, "none of {served}");
}

/// Returns the name of a target whose permits the first entry grants.
fn owned_by(owner: &str, other: &str) -> String {
    let names = (2..).map(|n| format!("web-{n}"));
    let owned = |name: &String| *rendezvous::rank(name, &[owner, other], |name| name)[0] == owner;
    names.into_iter().find(owned).expect("one of them")
}

async fn entry_behind_proxy(
    registry: &Registry,
    name: &str,
    seeds: &[SocketAddr],
) -> (Gateway, Proxy) {
    let (proxy, pending) = Proxy::open();
    let mut settings = settings(name, registry.address(), seeds);
    (settings.peers_listen, settings.peers) = (Some(settings.peers), proxy.address());
    (settings.bounds.cold_excess, settings.bounds.cold_margin) = (1.5, 1.0);
    let entry = Gateway::bind::<Native>(settings, "none".into()).await.expect("an entry");
    pending.forward_to(entry.peers_listen());
    until_ready(&entry).await;
    (entry, proxy)
}

async fn until_linked(fleet: &[Gateway]) {
    until_listed(fleet, fleet.len()).await;
}

async fn until_unlinked(fleet: &[Gateway]) {
    until_listed(fleet, 1).await;
}

/// Waits until each entry names this many entries to callers.
async fn until_listed(fleet: &[Gateway], count: usize) {
    let known = Request::get("/v1/entries?domain=hala-a");
    for entry in fleet {
        let listed = async || known.send(entry.directory()).await.body.matches("entry-").count();
        eventually(async || listed().await == count).await;
    }
}

/// Guards against a target that becomes cold without a restart being treated as warm.
#[ntex::test]
async fn a_target_that_becomes_cold_again_is_rate_limited() {
    let registry = registry().await;
    let (warm, again) = (Recorder::open("web-1", "a").await, Recorder::open("web-2", "a").await);
    registry.put(warm.listed.clone());
    registry.put(again.listed.clone());
    let fleet = fleet(&registry, 2).await;
    send_for(&fleet, Duration::from_millis(500)).await;
    registry.put(again.cold(2));
    // Until the change has reached all entries.
    sleep(Duration::from_millis(300)).await;
    again.arrivals.lock().clear();
    send_for(&fleet, COLD_PERIOD / 2).await;
    assert!(again.peak() <= MAX_PER_SECOND, "{} requests in a second", again.peak());
}

/// Guards against a domain getting too many requests after its cordon is lifted, before its leases
/// say that it is cold.
#[ntex::test]
async fn a_domain_whose_cordon_is_lifted_is_treated_as_cold() {
    let registry = registry().await;
    let (open, returned) = (Recorder::open("web-1", "a").await, Recorder::open("web-2", "b").await);
    registry.put(open.listed.clone());
    registry.put(returned.listed.clone());
    let domain = "b".parse().expect("a name");
    registry.cordon(&domain);
    let fleet = fleet(&registry, 2).await;
    send_for(&fleet, Duration::from_millis(300)).await;
    assert_eq!(returned.count(), 0);
    registry.lift(&domain);
    send_for(&fleet, Duration::from_secs(2)).await;
    assert!(returned.peak() <= MAX_PER_SECOND, "{} requests in a second", returned.peak());
}

/// Guards against starting entries sending requests before they know which targets are cold.
#[ntex::test]
async fn entries_that_start_know_which_targets_are_cold() {
    let registry = registry().await;
    let (warm, cold) = (Recorder::open("web-1", "a").await, Recorder::open("web-2", "b").await);
    registry.put(warm.listed.clone());
    registry.put(cold.cold(1));
    let fleet = fleet(&registry, 3).await;
    send_for(&fleet, Duration::from_millis(800)).await;
    assert!(cold.peak() <= MAX_PER_SECOND, "{} requests in a second", cold.peak());
}
