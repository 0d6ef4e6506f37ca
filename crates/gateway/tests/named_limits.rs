//! Targets that name how many requests a second they take, of all entries together.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_gateway::native::RATE_LIMIT_HEADER;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use parking_lot::Mutex;
use support::caller::{Answer, Request};
use support::target::{Seen, Standin, Step};
use support::{eventually, route, text, unready, until_ready};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// The bound on what a target gets in [`SPAN`]: one and a half times its limit and five requests.
const OVER: f64 = 1.5;
const MORE: f64 = 5.0;
const SPAN: Duration = Duration::from_secs(4);

/// The part of its limit that a target must get where more is asked.
const USED: f64 = 0.8;

/// From when a limit is named until it is kept to, by entries that had it named to them.
const TOLD: Duration = Duration::from_millis(500);

/// Between two requests of the callers.
const PAUSE: Duration = Duration::from_millis(12);

/// A target whose limit a test sets.
#[derive(Clone)]
struct Limited {
    standin: Standin,
    limit: Arc<Mutex<Option<String>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Limited {
    async fn open(name: &str, limit: Option<&str>) -> Self {
        let limit = Arc::new(Mutex::new(limit.map(str::to_owned)));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (named, noted) = (Arc::clone(&limit), Arc::clone(&arrivals));
        let script = move |_: &Seen| {
            noted.lock().push(Instant::now());
            let named = named.lock().clone();
            let header = named.map(|limit| format!("{RATE_LIMIT_HEADER}: {limit}\r\n"));
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

    /// The most requests in [`SPAN`], and all, from some time on.
    fn got(&self, from: Instant) -> (usize, usize) {
        let arrivals = self.arrivals.lock();
        let arrivals: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
        let within = |first: &Instant| {
            arrivals.iter().filter(|at| **at >= *first && **at < *first + SPAN).count()
        };
        (arrivals.iter().map(within).max().unwrap_or_default(), arrivals.len())
    }

    /// Asserts that no span had more than is allowed, and that what it takes was mostly used.
    fn assert_kept(&self, from: Instant, limit: f64) {
        let (most, all) = self.got(from);
        let allowed = OVER * limit * SPAN.as_secs_f64() + MORE;
        assert!(most as f64 <= allowed, "{most} in four seconds, {allowed} allowed");
        let used = all as f64 / (limit * from.elapsed().as_secs_f64());
        assert!(used >= USED, "{all} requests, {used:.2} of the limit");
    }
}

struct World {
    entries: Vec<Gateway>,
    targets: Vec<Limited>,
    answers: Arc<Mutex<Vec<Answer>>>,
}

impl World {
    async fn open(entries: usize, limits: &[Option<&str>]) -> Self {
        let registry = Registry::open().await;
        let web = Route { objective: Duration::from_millis(500), ..route("web", Kind::Safe) };
        registry.publish(text(1, vec![web]));
        let mut targets = Vec::new();
        for (nth, limit) in limits.iter().enumerate() {
            let target = Limited::open(&format!("t-{nth}"), *limit).await;
            registry.put(target.standin.listed.clone());
            targets.push(target);
        }
        let mut world = Self { entries: Vec::new(), targets, answers: Arc::default() };
        for nth in 0..entries {
            let seeds: Vec<_> = world.entries.iter().map(Gateway::peers).collect();
            let entry = unready(registry.address(), &format!("entry-{nth}"), &seeds).await;
            until_ready(&entry).await;
            world.entries.push(entry);
        }
        let known = Request::get("/v1/entries?domain=hala-a");
        let all = async |answer: Answer| answer.body.matches("entry-").count() == entries;
        eventually(async || all(known.send(world.entries[0].directory()).await).await).await;
        world
    }

    /// Asks for some time, at the entries in turn, without waiting for answers.
    async fn ask(&self, span: Duration, entries: &[usize]) {
        let end = Instant::now() + span;
        for nth in entries.iter().cycle() {
            if Instant::now() >= end {
                return;
            }
            let (to, answers) = (self.entries[*nth].callers(), Arc::clone(&self.answers));
            tokio::task::spawn_local(async move {
                let answer = Request::new("POST", "/web/x").body("b").send(to).await;
                answers.lock().push(answer);
            });
            sleep(PAUSE).await;
        }
    }

    fn refused(&self) -> usize {
        self.answers.lock().iter().filter(|answer| answer.status != 200).count()
    }
}

/// Guards against a limit that holds over all entries being counted by each for itself, or not at all.
#[parameterized(
    one_entry = { 1, "5" },
    three_entries = { 3, "5" },
    below_one_a_second = { 3, "0.6" },
)]
#[test_macro(ntex::test)]
async fn a_target_gets_what_it_takes_and_others_the_rest(entries: usize, limit: &'static str) {
    let world = World::open(entries, &[Some(limit), None, None]).await;
    let all: Vec<usize> = (0..entries).collect();
    world.ask(TOLD, &all).await;
    let from = Instant::now();
    world.ask(Duration::from_secs(6), &all).await;
    world.targets[0].assert_kept(from, limit.parse().expect("a number"));
    assert_eq!(world.refused(), 0);
}

/// Guards against an entry that has all the traffic being held to a small share, and against a limit
/// passed while traffic moves from one entry to another.
#[ntex::test]
async fn a_limit_follows_the_traffic() {
    let world = World::open(3, &[Some("5"), None]).await;
    world.ask(TOLD, &[0, 1, 2]).await;
    let from = Instant::now();
    for entry in 0..3 {
        world.ask(Duration::from_secs(2), &[entry]).await;
    }
    world.targets[0].assert_kept(from, 5.0);
    assert_eq!(world.refused(), 0);
}

/// Guards against requests waiting in vain where no target takes more.
#[ntex::test]
async fn where_no_target_takes_more_a_request_is_refused_at_once() {
    let world = World::open(2, &[Some("5"), Some("5")]).await;
    world.ask(TOLD, &[0, 1]).await;
    let from = Instant::now();
    world.ask(Duration::from_secs(5), &[0, 1]).await;
    world.targets.iter().for_each(|target| target.assert_kept(from, 5.0));
    let answers = world.answers.lock();
    let refused: Vec<&Answer> = answers.iter().filter(|answer| answer.status == 503).collect();
    assert!(!refused.is_empty());
    for answer in refused {
        assert!(answer.body.contains("\"ran\":\"no\""), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(answer.took < Duration::from_millis(400), "{answer:?}");
    }
}

/// Guards against a limit that is named no more being kept to, and against one that rises.
#[ntex::test]
async fn a_limit_that_rises_or_is_gone_is_followed() {
    let world = World::open(2, &[Some("3"), None]).await;
    world.ask(TOLD * 2, &[0, 1]).await;
    world.targets[0].set(Some("15"));
    world.ask(Duration::from_secs(1), &[0, 1]).await;
    let from = Instant::now();
    world.ask(Duration::from_secs(3), &[0, 1]).await;
    world.targets[0].assert_kept(from, 15.0);
    world.targets[0].set(None);
    world.ask(Duration::from_secs(1), &[0, 1]).await;
    let from = Instant::now();
    world.ask(Duration::from_secs(2), &[0, 1]).await;
    let (_, all) = world.targets[0].got(from);
    let (_, other) = world.targets[1].got(from);
    assert!(all * 2 > other, "{all} at the one that was limited, {other} at the other");
}

/// Guards against what can't be read being taken for a limit, or for the end of one.
#[ntex::test]
async fn a_limit_that_cannot_be_read_changes_nothing() {
    let world = World::open(1, &[Some("3"), Some("-1")]).await;
    world.ask(TOLD, &[0]).await;
    world.targets[0].set(Some("many"));
    let from = Instant::now();
    world.ask(Duration::from_secs(4), &[0]).await;
    world.targets[0].assert_kept(from, 3.0);
    assert_eq!(world.refused(), 0);
}
