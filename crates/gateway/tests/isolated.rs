//! An entry that reaches no target, while its callers, the registry and its peers reach it.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::{Copied, Native};
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::forwarder::{Forwarder, Mode};
use support::target::{Seen, Standin, Step, answer, event, events, stream_end, stream_head};
use support::{eventually, route, settings, text, until_ready};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// How long an entry may take to notice that it reaches no target.
const NOTICE: Duration = Duration::from_secs(1);

/// Routes to lookups, with the time that callers in use have for them, and to long answers.
fn routes() -> Vec<Route> {
    let lookup = |name, kind| Route {
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        ..route(name, kind)
    };
    let page = route("page", Kind::Stream { resumable: false });
    let long = Route { timeout: Duration::from_secs(20), ..route("long", Kind::Unsafe) };
    vec![lookup("look", Kind::Safe), lookup("send", Kind::Unsafe), page, long]
}

/// Three entries that know each other; each reaches the targets through a forwarder of its own.
struct Fleet {
    entries: Vec<Gateway>,
    forwarders: Vec<Forwarder>,
    targets: Vec<Standin>,
}

impl Fleet {
    async fn open() -> Self {
        Self::open_with(|_| answer(200, "found")).await
    }

    /// Starts a fleet whose targets run this script.
    async fn open_with(
        script: impl Fn(&Seen) -> Vec<Step> + Clone + Send + Sync + 'static,
    ) -> Self {
        let registry = Registry::open().await;
        let mut targets = Vec::new();
        for service in ["look", "send", "page", "long"] {
            for nth in 0..3 {
                let name = format!("t-{service}-{nth}");
                targets.push(Standin::open(&name, service, script.clone()).await);
            }
        }
        registry.publish(text(1, routes()));
        targets.iter().for_each(|target| registry.put(target.listed.clone()));
        let (mut entries, mut forwarders) = (Vec::<Gateway>::new(), Vec::new());
        for nth in 0..3 {
            let seeds: Vec<_> = entries.iter().map(Gateway::peers).collect();
            let forwarder = Forwarder::open().await;
            let own = settings(&format!("entry-{nth}"), registry.address(), &seeds);
            let settings = Settings { forwarder: Some(forwarder.address), ..own };
            let entry =
                Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
            until_ready(&entry).await;
            entries.push(entry);
            forwarders.push(forwarder);
        }
        let fleet = Self { entries, forwarders, targets };
        for entry in &fleet.entries {
            eventually(async || fleet.listed(entry).await == 3).await;
        }
        fleet
    }

    /// Returns how many entries the directory of an entry lists.
    async fn listed(&self, entry: &Gateway) -> usize {
        let known = Request::get("/v1/entries?domain=hala-a");
        known.send(entry.directory()).await.body.matches("entry-").count()
    }

    /// Returns how many requests that must not be repeated have reached targets.
    fn posts(&self) -> usize {
        let seen = self.targets.iter().flat_map(Standin::seen);
        seen.filter(|seen| seen.line().starts_with("POST")).count()
    }

    /// Returns how many of `count` first tries at an entry are answered by a target in time.
    async fn served(&self, nth: usize, count: usize) -> usize {
        let mut served = 0;
        for number in 0..count {
            let request = match number % 2 {
                0 => Request::new("GET", "/look/x"),
                _ => Request::new("POST", "/send/x").body("once"),
            };
            let request = request.header("fireflyhoist-timeout-ms", "1000");
            let answer = request.send(self.entries[nth].callers()).await;
            let in_time = answer.took < Duration::from_secs(1);
            served += usize::from(answer.status == 200 && answer.whole && in_time);
        }
        served
    }
}

/// Callers of an entry without a path to any target are served through the other entries.
#[parameterized(
    connections_hang = { Mode::Hang },
    connections_are_refused = { Mode::Refuse },
)]
#[test_macro(ntex::test)]
async fn an_isolated_entry_serves_its_callers(mode: Mode) {
    let fleet = Fleet::open().await;
    assert_eq!(fleet.served(0, 6).await, 6, "all are served before");
    fleet.forwarders[0].set_mode(mode);
    let cut_at = Instant::now();
    let _ = fleet.served(0, 4).await;
    sleep(NOTICE.saturating_sub(cut_at.elapsed())).await;
    let (isolated, others) = (fleet.served(0, 20).await, fleet.served(1, 20).await);
    assert_eq!(others, 20, "the other entries serve as before");
    assert!(fleet.posts() <= 25, "{} sent for 25 asked", fleet.posts());
    assert!(isolated * 3 >= others * 2, "{isolated} of 20 served, {others} of 20 elsewhere");
}

/// Callers keep being sent to an isolated entry, which only others can serve.
#[ntex::test]
async fn callers_are_not_sent_to_an_isolated_entry() {
    let fleet = Fleet::open().await;
    fleet.forwarders[0].set_mode(Mode::Hang);
    fleet.served(0, 2).await;
    for entry in &fleet.entries {
        eventually(async || fleet.listed(entry).await == 2).await;
    }
    fleet.forwarders[0].set_mode(Mode::Open);
    for entry in &fleet.entries {
        eventually(async || fleet.listed(entry).await == 3).await;
    }
}

/// An entry keeps using others after its own path is back.
#[ntex::test]
async fn connections_are_direct_again_within_a_second() {
    let fleet = Fleet::open().await;
    fleet.forwarders[0].set_mode(Mode::Hang);
    assert_eq!(fleet.served(0, 4).await, 4);
    fleet.forwarders[0].set_mode(Mode::Open);
    sleep(Duration::from_secs(1)).await;
    let before = fleet.forwarders[0].opened();
    assert_eq!(fleet.served(0, 10).await, 10);
    assert!(fleet.forwarders[0].opened() >= before + 10, "connections still take a detour");
}

/// Targets that work are ejected, or a request is held back as if it had crashed them, since the
/// answers of an entry were lost with its path.
#[ntex::test]
async fn a_lost_path_is_no_fault_of_targets_or_requests() {
    let slow =
        |_: &Seen| [vec![Step::Wait(Duration::from_millis(100))], answer(200, "found")].concat();
    let fleet = Fleet::open_with(slow).await;
    for _ in 0..3 {
        let entry = fleet.entries[0].callers();
        let sent: Vec<_> = (0..12)
            .map(|_| async move { Request::new("POST", "/send/x").body("once").send(entry).await })
            .map(tokio::task::spawn_local)
            .collect();
        let all = fleet.posts() + 12;
        eventually(async || fleet.posts() >= all).await;
        fleet.forwarders[0].set_mode(Mode::Refuse);
        fleet.forwarders[0].reset();
        for answer in sent {
            assert_eq!(answer.await.expect("it ends").status, 502, "it may have run");
        }
        fleet.served(0, 2).await;
        fleet.forwarders[0].set_mode(Mode::Open);
        sleep(Duration::from_millis(500)).await;
    }
    let posts = |target: &&Standin| target.listed.service.as_str() == "send";
    let targets: Vec<&Standin> = fleet.targets.iter().filter(posts).collect();
    for nth in [0, 1] {
        let before: Vec<usize> = targets.iter().map(|target| target.seen().len()).collect();
        assert_eq!(fleet.served(nth, 24).await, 24);
        for (target, before) in targets.iter().zip(before) {
            let got = target.seen().len() - before;
            assert!(got >= 2, "{} got {got} of 12 of entry {nth}", target.listed.id);
        }
    }
}

/// Requests wait for their timeouts at a fleet of which no entry reaches a target, or are said to
/// have run.
#[ntex::test]
async fn requests_are_refused_at_once_if_all_entries_are_isolated() {
    let fleet = Fleet::open().await;
    fleet.forwarders.iter().for_each(|forwarder| forwarder.set_mode(Mode::Refuse));
    for nth in 0..3 {
        fleet.served(nth, 2).await;
    }
    eventually(async || {
        let answer = Request::new("POST", "/send/x").body("once");
        let answer = answer.send(fleet.entries[0].callers()).await;
        answer.status == 503
            && answer.body.contains("isolated")
            && answer.header("retry-after").is_some()
            && answer.took < Duration::from_millis(100)
    })
    .await;
    assert_eq!(fleet.posts(), 0);
}

/// A target of a cut entry goes on with a request whose caller has left.
#[ntex::test]
async fn a_target_notices_through_a_relay_that_the_caller_has_left() {
    let slow = |_: &Seen| vec![Step::Hang];
    let fleet = Fleet::open_with(slow).await;
    fleet.forwarders[0].set_mode(Mode::Refuse);
    let left = Request::new("GET", "/look/x").open(fleet.entries[0].callers()).await;
    eventually(async || fleet.targets.iter().any(|target| !target.seen().is_empty())).await;
    drop(left);
    let left_at = Instant::now();
    let closed = || fleet.targets.iter().flat_map(Standin::closed).count();
    let seen = || fleet.targets.iter().flat_map(Standin::seen).count();
    eventually(async || closed() == seen()).await;
    assert!(left_at.elapsed() < Duration::from_millis(500), "it took {:?}", left_at.elapsed());
}

/// An answer whose connection is lost with the path is cut although its engine still runs it.
#[parameterized(
    connections_fall_silent = { false },
    connections_are_reset = { true },
)]
#[test_macro(ntex::test)]
async fn a_running_answer_continues_through_a_relay(reset: bool) {
    let cut = Arc::new(AtomicBool::new(false));
    let is_cut = Arc::clone(&cut);
    let script = move |seen: &Seen| {
        let is_cut = Arc::clone(&is_cut);
        match seen.header("fireflyhoist-copy") {
            Some(_) => vec![stream_head(), event(3), event(4), stream_end()],
            None => vec![
                stream_head(),
                event(1),
                event(2),
                Step::Until(Arc::new(move || is_cut.load(Ordering::Relaxed))),
                Step::Hang,
            ],
        }
    };
    let fleet = Fleet::open_with(script).await;
    let request = Request::stream("/page/x", 500);
    let entry = fleet.entries[0].callers();
    let answer = tokio::task::spawn_local(async move { request.send(entry).await });
    eventually(async || fleet.targets.iter().any(|target| !target.seen().is_empty())).await;
    sleep(Duration::from_millis(300)).await;
    fleet.forwarders[0].set_mode(Mode::Hang);
    cut.store(true, Ordering::Relaxed);
    if reset {
        fleet.forwarders[0].reset();
    }
    let answer = answer.await.expect("the caller ends");
    assert!(answer.whole, "cut after {:?}", answer.body);
    assert_eq!(answer.body, events(1, 4));
}

/// An entry refuses its callers although the only other entry with a path, which is leaving, could
/// still open connections.
#[ntex::test]
async fn a_leaving_entry_opens_connections_if_no_other_can() {
    let mut fleet = Fleet::open().await;
    fleet.forwarders[0].set_mode(Mode::Refuse);
    fleet.forwarders[2].set_mode(Mode::Refuse);
    let leaving = fleet.entries.remove(1);
    fleet.served(0, 4).await;
    fleet.served(1, 4).await;
    let drained = tokio::task::spawn_local(leaving.drain());
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.served(0, 10).await, 10);
    drained.await.expect("it stops");
}

/// A leaving entry opens connections for another until it ends, and cuts what runs on them.
#[parameterized(
    short = { "/send/x", 400, 0, 3 },
    known_to_be_long = { "/long/x", 2_000, 6, 6 },
)]
#[test_macro(ntex::test)]
async fn a_leaving_entry_opens_no_connection_that_it_would_cut(
    path: &'static str,
    work: u64,
    before: usize,
    part: usize,
) {
    let slow = move |seen: &Seen| {
        let work = if seen.line().starts_with("GET") { 10 } else { work };
        [vec![Step::Wait(Duration::from_millis(work))], answer(200, "found")].concat()
    };
    let mut fleet = Fleet::open_with(slow).await;
    let entry = fleet.entries[0].callers();
    let request = Request::new("POST", path).body("once");
    let known: Vec<_> = std::iter::repeat_n(request, before)
        .map(|request| tokio::task::spawn_local(async move { request.send(entry).await }))
        .collect();
    for answer in known {
        assert_eq!(answer.await.expect("it ends").status, 200);
    }
    fleet.forwarders[0].set_mode(Mode::Refuse);
    fleet.forwarders[2].set_mode(Mode::Refuse);
    let leaving = fleet.entries.remove(1);
    fleet.served(0, 2).await;
    fleet.served(1, 2).await;
    let drained = tokio::task::spawn_local(async move {
        leaving.drain().await;
        Instant::now()
    });
    let mut sent = Vec::new();
    while !drained.is_finished() {
        let request = Request::new("POST", path).body("once");
        let answered = async move { (request.send(entry).await, Instant::now()) };
        sent.push(tokio::task::spawn_local(answered));
        sleep(Duration::from_millis(60)).await;
    }
    let drained_at = drained.await.expect("it stops");
    let (count, mut served, mut cut) = (sent.len(), 0, 0);
    for answered in sent {
        let (answer, ended_at) = answered.await.expect("it ends");
        // The connections that a process relays end with it.
        let whole = answer.status == 200 && ended_at < drained_at;
        served += usize::from(whole);
        cut += usize::from(!whole && !answer.body.contains("\"ran\":\"no\""));
    }
    assert!(served * part > count, "{served} of {count} served");
    assert_eq!(cut, 0, "of {count}, {served} served");
}

/// A long answer that another entry relays is cut when that entry ends, although a third one could
/// have relayed the rest.
#[ntex::test]
async fn a_running_answer_leaves_a_leaving_entry() {
    let script = |seen: &Seen| {
        if seen.line().contains("/move") {
            let copied = Copied { copy: Some("c-1".into()) };
            return answer(200, &serde_json::to_string(&copied).expect("JSON"));
        }
        let last = seen.header("last-event-id").map(|id| id.parse::<u64>().expect("an id"));
        let run = |ids: std::ops::RangeInclusive<u64>| {
            let each = ids.flat_map(|id| [event(id), Step::Wait(Duration::from_millis(50))]);
            std::iter::once(stream_head()).chain(each).chain([stream_end()]).collect()
        };
        last.map_or_else(|| run(1..=200), |last| run(last + 1..=last + 2))
    };
    let mut fleet = Fleet::open_with(script).await;
    fleet.forwarders[0].set_mode(Mode::Refuse);
    fleet.forwarders[2].set_mode(Mode::Refuse);
    fleet.served(0, 2).await;
    fleet.served(2, 2).await;
    let entry = fleet.entries[0].callers();
    let request = Request::stream("/page/x", 500);
    let answer = tokio::task::spawn_local(async move { request.send(entry).await });
    sleep(Duration::from_millis(500)).await;
    fleet.forwarders[2].set_mode(Mode::Open);
    eventually(async || fleet.listed(&fleet.entries[0]).await == 2).await;
    tokio::task::spawn_local(fleet.entries.remove(1).drain());
    let answer = answer.await.expect("the caller ends");
    assert!(answer.whole, "it stays with the leaving entry: {answer:?}");
}
