//! A stream that an engine begins after it has started again with another version, which the registry
//! lists only later, belongs to that version.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use fireflyhoist_policy::lease::{Start, Target};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::engines::{
    ALL, BEGUN, Engines, PROPAGATION, begin_and_break, finish_or, last_event, report, run, take_up,
};
use support::target::{Seen, Standin, Step, event, events, stream_end};
use support::{eventually, gateway, unready, until_ready};
use tokio::time::sleep;
use yare::parameterized;

/// An engine that is listed as v1 and has started again as v2, whose streams run until told.
struct StartedAgain {
    engine: Standin,
    may_end: Arc<AtomicBool>,
}

impl StartedAgain {
    /// Starts the engine; the registry still lists its earlier start.
    async fn open(registry: &Registry) -> Self {
        let may_end = Arc::<AtomicBool>::default();
        let ends = Arc::clone(&may_end);
        let script = move |seen: &Seen| {
            if seen.line().contains("/v1/report") {
                return report(2);
            }
            let ends = Arc::clone(&ends);
            let until = Step::Until(Arc::new(move || ends.load(Ordering::SeqCst)));
            let from = last_event(seen).map_or(1, |last| last + 1);
            let mut steps = run(seen, from, BEGUN.max(from), until);
            for id in BEGUN.max(from) + 1..=ALL {
                steps.push(event(id));
            }
            steps.push(stream_end());
            steps
        };
        let engine = Standin::open("e-again", "gen", script).await;
        let own = Self { engine, may_end };
        registry.put(own.listed("v1", 1));
        own
    }

    fn listed(&self, version: &str, start: u64) -> Target {
        let software = Some(version.parse().expect("a version"));
        Target { software, start: Some(Start::new(start)), ..self.engine.listed.clone() }
    }

    fn runs(&self) -> usize {
        self.engine.seen().iter().filter(|seen| seen.line().contains("/gen/")).count()
    }
}

/// Guards against breaking off a stream that an engine has run since its new start, which the registry
/// lists only later, and going on at the version that was listed.
#[ntex::test]
async fn a_stream_of_a_new_start_goes_on_there_once_that_is_listed() {
    let mut engines = Engines::open().await;
    let again = StartedAgain::open(&engines.registry).await;
    let gateway = gateway(&engines.registry).await;
    let callers = gateway.callers();
    let request = Request::stream("/gen/x", 20).body("b");
    let answered = ntex::rt::spawn(async move { request.send(callers).await });
    eventually(async || again.runs() == 1).await;
    engines.start("v1", |seen| finish_or(seen, Step::Reset)).await;
    sleep(PROPAGATION).await;
    engines.registry.put(again.listed("v2", 2));
    sleep(Duration::from_millis(100)).await;
    again.may_end.store(true, Ordering::SeqCst);
    let answer = answered.await.expect("an answer");
    assert!(engines.taken_up().is_empty(), "{answer:?}");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, ALL), true));
    assert_eq!(again.runs(), 1);
}

/// Guards against a stream that its caller takes up at the version that was listed when it began, at
/// the entry that began it and at one that was told.
#[parameterized(
    same_entry = { 0 },
    another_entry = { 1 },
)]
#[test_macro(ntex::test)]
async fn a_stream_of_a_new_start_is_taken_up_at_its_version(entry: usize) {
    let mut engines = Engines::open().await;
    let again = StartedAgain::open(&engines.registry).await;
    let first = gateway(&engines.registry).await;
    let second = unready(engines.registry.address(), "entry-2", &[first.peers()]).await;
    until_ready(&second).await;
    sleep(PROPAGATION).await;
    let request = Request::stream("/gen/x", 20).body("b");
    let callers = first.callers();
    let answered = ntex::rt::spawn(async move { request.send(callers).await });
    eventually(async || again.runs() == 1).await;
    engines.start("v1", |seen| finish_or(seen, Step::Reset)).await;
    sleep(PROPAGATION).await;
    engines.registry.put(again.listed("v2", 2));
    sleep(Duration::from_millis(100)).await;
    again.may_end.store(true, Ordering::SeqCst);
    let answer = answered.await.expect("an answer");
    assert!(answer.whole, "{answer:?}");
    sleep(PROPAGATION).await;
    let at = [&first, &second][entry];
    let taken_up = take_up("r-1").send(at.callers()).await;
    assert!(engines.taken_up().is_empty(), "{taken_up:?}");
    assert_eq!((taken_up.status, taken_up.body), (200, events(BEGUN + 1, ALL)));
    assert_eq!(again.runs(), 2);
}

/// What an engine does whose new start is listed while the connection of a run is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum After {
    /// The connection is one of the start before and stays silent.
    Silent,
    /// The connection ends.
    Reset,
    /// The connection stays silent, and the engine answers no report.
    Unanswered,
}

/// Guards against waiting for a run of the start before until the caller's deadline, and against going
/// on with it at the version of the new start.
#[parameterized(
    silent = { After::Silent },
    reset = { After::Reset },
    unanswered = { After::Unanswered },
)]
#[test_macro(ntex::test)]
async fn a_stream_of_the_start_before_goes_on_at_its_version(after: After) {
    let mut engines = Engines::open().await;
    let is_new = Arc::<AtomicBool>::default();
    let started = Arc::clone(&is_new);
    let script = move |seen: &Seen| {
        let is_new = started.load(Ordering::SeqCst);
        if seen.line().contains("/v1/report") {
            return match (is_new, after) {
                (true, After::Unanswered) => vec![Step::Hang],
                (is_new, _) => report(1 + u64::from(is_new)),
            };
        }
        let started = Arc::clone(&started);
        let until = Step::Until(Arc::new(move || started.load(Ordering::SeqCst)));
        let end = if after == After::Reset { Step::Reset } else { Step::Hang };
        [run(seen, 1, BEGUN, until), vec![Step::Wait(Duration::from_millis(100)), end]].concat()
    };
    let first = engines.start_with_report("e-first", "v1", script).await;
    let gateway = gateway(&engines.registry).await;
    let request = Request::stream("/gen/x", 20).body("b");
    let callers = gateway.callers();
    let answered = ntex::rt::spawn(async move { request.send(callers).await });
    eventually(async || engines.ran(|_| true).len() == 1).await;
    engines.start("v2", |seen| finish_or(seen, Step::Reset)).await;
    engines.start("v1", |seen| finish_or(seen, Step::Reset)).await;
    sleep(PROPAGATION).await;
    is_new.store(true, Ordering::SeqCst);
    let software = Some("v2".parse().expect("a version"));
    engines.registry.put(Target { software, start: Some(Start::new(2)), ..first });
    let answer = answered.await.expect("an answer");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, ALL), true));
    assert_eq!(engines.taken_up(), ["v1"]);
}

/// Guards against a stream that a caller takes up at the version that began it, and that goes on at
/// another one since its engine turns out to have started again.
#[ntex::test]
async fn a_later_run_at_another_version_is_broken_off() {
    let mut engines = Engines::open_with_first().await;
    let gateway = gateway(&engines.registry).await;
    let begun = begin_and_break(&gateway, &mut engines, &[]).await;
    assert!(!begun.whole);
    engines.engines[0].0.end();
    // It starts again between its report and the run.
    let reports = AtomicU64::new(0);
    let script = move |seen: &Seen| match seen.line().contains("/v1/report") {
        true => report(1 + reports.fetch_add(1, Ordering::SeqCst).min(1)),
        false => run(seen, BEGUN + 1, BEGUN + 200, stream_end()),
    };
    let again = engines.start_with_report("e-again", "v1", script).await;
    sleep(PROPAGATION).await;
    let callers = gateway.callers();
    let answered = ntex::rt::spawn(async move { take_up("r-1").send(callers).await });
    eventually(async || engines.taken_up().len() == 1).await;
    engines.start("v1", |seen| finish_or(seen, Step::Reset)).await;
    sleep(PROPAGATION).await;
    let software = Some("v2".parse().expect("a version"));
    engines.registry.put(Target { software, start: Some(Start::new(2)), ..again });
    let answer = answered.await.expect("an answer");
    assert!(answer.body.len() < events(BEGUN + 1, BEGUN + 200).len(), "{answer:?}");
}
