//! Targets that advertise the maximum rate of requests that they accept from all entries together.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_gateway::native::RATE_LIMIT_HEADER;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use parking_lot::Mutex;
use support::caller::{Answer, Request};
use support::proxy::Proxy;
use support::target::{Seen, Standin, Step};
use support::{eventually, fleet_behind_proxies, route, text, unready, until_ready};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// Upper bound on the requests that a target receives in any [`WINDOW`]: this factor times what its
/// limit allows in that time, plus [`BURST_REQUESTS`].
const BURST_FACTOR: f64 = 1.5;
const BURST_REQUESTS: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(4);

/// Minimum share of its limit that a target receives while callers ask for more.
const MIN_USED_SHARE: f64 = 0.8;

/// Time until a limit is applied by the entries to which a target has advertised it.
const PROPAGATION: Duration = Duration::from_millis(500);

/// Interval between two requests of the callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);

/// A target that advertises a limit set by the test.
#[derive(Clone)]
struct LimitedTarget {
    standin: Standin,
    limit: Arc<Mutex<Option<String>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl LimitedTarget {
    async fn open(name: &str, limit: Option<&str>) -> Self {
        let limit = Arc::new(Mutex::new(limit.map(str::to_owned)));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (advertised, recorded) = (Arc::clone(&limit), Arc::clone(&arrivals));
        let script = move |_: &Seen| {
            recorded.lock().push(Instant::now());
            let advertised = advertised.lock().clone();
            let header = advertised.map(|limit| format!("{RATE_LIMIT_HEADER}: {limit}\r\n"));
            vec![Step::Write(format!(
                "HTTP/1.1 200 X\r\nfireflyhoist-request: r-1\r\n{}content-length: 2\r\n\r\nok",
                header.unwrap_or_default()
            ))]
        };
        Self { standin: Standin::open(name, "web", script).await, limit, arrivals }
    }

    fn set(&self, limit: Option<&str>) {
        *self.limit.lock() = limit.map(str::to_owned);
    }

    /// Returns the maximum number of requests in any [`WINDOW`] and the total number, both counted
    /// from `from` on.
    fn arrival_counts(&self, from: Instant) -> (usize, usize) {
        let arrivals = self.arrivals.lock();
        let arrivals: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
        let within = |first: &Instant| {
            arrivals.iter().filter(|at| **at >= *first && **at < *first + WINDOW).count()
        };
        (arrivals.iter().map(within).max().unwrap_or_default(), arrivals.len())
    }

    /// Asserts that no [`WINDOW`] exceeded the bound, and that the limit was used at least to
    /// [`MIN_USED_SHARE`].
    fn assert_within_limit(&self, from: Instant, limit: f64) {
        let (most, total) = self.arrival_counts(from);
        let allowed = BURST_FACTOR * limit * WINDOW.as_secs_f64() + BURST_REQUESTS;
        assert!(most as f64 <= allowed, "{most} requests in four seconds, {allowed} allowed");
        let used = total as f64 / (limit * from.elapsed().as_secs_f64());
        assert!(used >= MIN_USED_SHARE, "{total} requests, {used:.2} of the limit");
    }
}

struct Fleet {
    entries: Vec<Gateway>,
    targets: Vec<LimitedTarget>,
    answers: Arc<Mutex<Vec<Answer>>>,
}

impl Fleet {
    async fn open(entries: usize, limits: &[Option<&str>]) -> Self {
        let (registry, mut fleet) = Self::without_entries(limits).await;
        for nth in 0..entries {
            let seeds: Vec<_> = fleet.entries.iter().map(Gateway::peers).collect();
            let entry = unready(registry.address(), &format!("entry-{nth}"), &seeds).await;
            until_ready(&entry).await;
            fleet.entries.push(entry);
        }
        let directory = Request::get("/v1/entries?domain=hala-a");
        let lists_all = async |answer: Answer| answer.body.matches("entry-").count() == entries;
        eventually(async || lists_all(directory.send(fleet.entries[0].directory()).await).await)
            .await;
        fleet
    }

    /// Starts entries of which all but the first have a link to the first only.
    async fn with_missing_links(entries: usize, limits: &[Option<&str>]) -> Self {
        let (registry, mut fleet) = Self::without_entries(limits).await;
        let (entries, proxies) = fleet_behind_proxies(&registry, entries, |_| {}).await;
        proxies.iter().for_each(Proxy::stall);
        // Links that fall silent are closed within a second.
        sleep(Duration::from_millis(1_500)).await;
        fleet.entries = entries;
        fleet
    }

    async fn without_entries(limits: &[Option<&str>]) -> (Registry, Self) {
        let registry = Registry::open().await;
        let web = Route { objective: Duration::from_millis(500), ..route("web", Kind::Safe) };
        registry.publish(text(1, vec![web]));
        let mut targets = Vec::new();
        for (nth, limit) in limits.iter().enumerate() {
            let target = LimitedTarget::open(&format!("t-{nth}"), *limit).await;
            registry.put(target.standin.listed.clone());
            targets.push(target);
        }
        (registry, Self { entries: Vec::new(), targets, answers: Arc::default() })
    }

    /// Sends requests for `duration`, to the entries in turn, without waiting for the answers.
    async fn send_load(&self, duration: Duration, entries: &[usize]) {
        let end = Instant::now() + duration;
        for nth in entries.iter().cycle() {
            if Instant::now() >= end {
                return;
            }
            let (to, answers) = (self.entries[*nth].callers(), Arc::clone(&self.answers));
            tokio::task::spawn_local(async move {
                let answer = Request::new("POST", "/web/x").body("b").send(to).await;
                answers.lock().push(answer);
            });
            sleep(REQUEST_INTERVAL).await;
        }
    }

    fn refused(&self) -> usize {
        self.answers.lock().iter().filter(|answer| answer.status != 200).count()
    }
}

/// Guards against each entry enforcing the whole limit on its own instead of a share of it, and
/// against a limit that is not enforced.
#[parameterized(
    one_entry = { 1, "5" },
    three_entries = { 3, "5" },
    below_one_per_second = { 3, "0.6" },
)]
#[test_macro(ntex::test)]
async fn an_advertised_limit_holds_across_entries(entries: usize, limit: &'static str) {
    let fleet = Fleet::open(entries, &[Some(limit), None, None]).await;
    let all: Vec<usize> = (0..entries).collect();
    fleet.send_load(PROPAGATION, &all).await;
    let from = Instant::now();
    fleet.send_load(Duration::from_secs(6), &all).await;
    fleet.targets[0].assert_within_limit(from, limit.parse().expect("a number"));
    assert_eq!(fleet.refused(), 0);
}

/// Guards against several entries granting the whole limit while they have links to different entries,
/// as for a while after each start.
#[ntex::test]
async fn a_limit_holds_while_links_are_missing() {
    let fleet = Fleet::with_missing_links(4, &[Some("5"), None, None]).await;
    let all = [0, 1, 2, 3];
    fleet.send_load(PROPAGATION, &all).await;
    let from = Instant::now();
    fleet.send_load(Duration::from_secs(6), &all).await;
    fleet.targets[0].assert_within_limit(from, 5.0);
    assert_eq!(fleet.refused(), 0);
}

/// Guards against an entry being restricted to a small share while it has all the traffic, and
/// against a limit being exceeded while traffic moves from one entry to another.
#[ntex::test]
async fn a_limit_follows_the_traffic() {
    let fleet = Fleet::open(3, &[Some("5"), None]).await;
    fleet.send_load(PROPAGATION, &[0, 1, 2]).await;
    let from = Instant::now();
    for entry in 0..3 {
        fleet.send_load(Duration::from_secs(2), &[entry]).await;
    }
    fleet.targets[0].assert_within_limit(from, 5.0);
    assert_eq!(fleet.refused(), 0);
}

/// Guards against requests waiting until their timeout while all targets are at their limit.
#[ntex::test]
async fn requests_are_refused_at_once_when_all_targets_are_at_their_limit() {
    let fleet = Fleet::open(2, &[Some("5"), Some("5")]).await;
    fleet.send_load(PROPAGATION, &[0, 1]).await;
    let from = Instant::now();
    fleet.send_load(Duration::from_secs(5), &[0, 1]).await;
    fleet.targets.iter().for_each(|target| target.assert_within_limit(from, 5.0));
    let answers = fleet.answers.lock();
    let refused: Vec<&Answer> = answers.iter().filter(|answer| answer.status == 503).collect();
    assert!(!refused.is_empty());
    for answer in refused {
        assert!(answer.body.contains("\"ran\":\"no\""), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(answer.took < Duration::from_millis(400), "{answer:?}");
    }
}

/// Guards against a limit being enforced after its target has stopped advertising it, and against a
/// raised limit having no effect.
#[ntex::test]
async fn a_raised_or_withdrawn_limit_applies() {
    let fleet = Fleet::open(2, &[Some("3"), None]).await;
    fleet.send_load(PROPAGATION * 2, &[0, 1]).await;
    fleet.targets[0].set(Some("15"));
    fleet.send_load(Duration::from_secs(1), &[0, 1]).await;
    let from = Instant::now();
    fleet.send_load(Duration::from_secs(3), &[0, 1]).await;
    fleet.targets[0].assert_within_limit(from, 15.0);
    fleet.targets[0].set(None);
    fleet.send_load(Duration::from_secs(1), &[0, 1]).await;
    let from = Instant::now();
    fleet.send_load(Duration::from_secs(2), &[0, 1]).await;
    let (_, limited) = fleet.targets[0].arrival_counts(from);
    let (_, other) = fleet.targets[1].arrival_counts(from);
    assert!(limited * 2 > other, "{limited} at the formerly limited target, {other} at the other");
}

/// Guards against an invalid header being applied as a limit, or ending the current one.
#[ntex::test]
async fn an_invalid_limit_changes_nothing() {
    let fleet = Fleet::open(1, &[Some("3"), Some("-1")]).await;
    fleet.send_load(PROPAGATION, &[0]).await;
    fleet.targets[0].set(Some("many"));
    let from = Instant::now();
    fleet.send_load(Duration::from_secs(4), &[0]).await;
    fleet.targets[0].assert_within_limit(from, 3.0);
    assert_eq!(fleet.refused(), 0);
}
