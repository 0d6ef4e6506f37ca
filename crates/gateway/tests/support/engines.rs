//! Engines of several versions of software behind a registry, and a stream that breaks off at one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_gateway::native::{RESUMED_HEADER, Report};
use fireflyhoist_policy::lease::{Start, Target};
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use tokio::time::sleep;

use super::caller::{Answer, Request};
use super::target::{Seen, Standin, Step, answer, event, stream_end};
use super::{eventually, route, text};

/// The events that an engine writes before it ends.
pub(crate) const BEGUN: u64 = 3;

/// The events of a complete stream.
pub(crate) const ALL: u64 = 6;

/// How long entries may take to tell each other what they need to take a stream up.
pub(crate) const PROPAGATION: Duration = Duration::from_millis(500);

pub(crate) fn resumable() -> Route {
    Route { attempts: 4, ..route("gen", Kind::Stream { resumable: true }) }
}

/// The head of a stream that answers this request.
pub(crate) fn head(seen: &Seen) -> Step {
    let request = seen.header("fireflyhoist-request").unwrap_or_default();
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nfireflyhoist-request: {request}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    ))
}

pub(crate) fn run(seen: &Seen, from: u64, to: u64, end: Step) -> Vec<Step> {
    let mut steps = vec![head(seen)];
    for id in from..=to {
        steps.extend([event(id), Step::Wait(Duration::from_millis(20))]);
    }
    steps.push(end);
    steps
}

pub(crate) fn last_event(seen: &Seen) -> Option<u64> {
    seen.header("last-event-id").and_then(|last| last.parse().ok())
}

/// Runs what is left of a stream, or begins one and ends as told.
pub(crate) fn finish_or(seen: &Seen, end: Step) -> Vec<Step> {
    match last_event(seen) {
        Some(last) => run(seen, last + 1, ALL, stream_end()),
        None => run(seen, 1, BEGUN, end),
    }
}

/// The report of an engine that started at this time.
pub(crate) fn report(start: u64) -> Vec<Step> {
    let report = Report { start: Some(Start::new(start)), ..Report::default() };
    answer(200, &serde_json::to_string(&report).expect("JSON"))
}

/// A registry with a route to engines, and the engines.
pub(crate) struct Engines {
    pub(crate) registry: Registry,
    pub(crate) engines: Vec<(Standin, &'static str)>,
    /// Whether the first engine may end the run that it begins.
    pub(crate) may_end: Arc<AtomicBool>,
}

impl Engines {
    pub(crate) async fn open() -> Self {
        let registry = Registry::open().await;
        registry.publish(text(1, vec![resumable()]));
        Self { registry, engines: Vec::new(), may_end: Arc::default() }
    }

    /// Starts an engine of v1 that breaks its run off when told.
    pub(crate) async fn open_with_first() -> Self {
        let mut engines = Self::open().await;
        let may_end = Arc::clone(&engines.may_end);
        let script = move |seen: &Seen| {
            let may_end = Arc::clone(&may_end);
            let until = Step::Until(Arc::new(move || may_end.load(Ordering::SeqCst)));
            let mut steps = finish_or(seen, until);
            if last_event(seen).is_none() {
                steps.push(Step::Reset);
            }
            steps
        };
        engines.start("v1", script).await;
        engines
    }

    /// Starts an engine of a version.
    pub(crate) async fn start(
        &mut self,
        version: &'static str,
        script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Target {
        let name = format!("e-{}", self.engines.len());
        let script = move |seen: &Seen| match seen.line().contains("/v1/report") {
            true => report(1),
            false => script(seen),
        };
        self.start_with_report(&name, version, script).await
    }

    /// Starts an engine that answers calls for its report by its script as well.
    pub(crate) async fn start_with_report(
        &mut self,
        name: &str,
        version: &'static str,
        script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Target {
        let engine = Standin::open(name, "gen", script).await;
        let software = Some(version.parse().expect("a version"));
        let listed = Target { software, start: Some(Start::new(1)), ..engine.listed.clone() };
        self.registry.put(listed.clone());
        self.engines.push((engine, version));
        listed
    }

    /// Returns the versions of the engines that ran what `wanted` selects.
    pub(crate) fn ran(&self, wanted: impl Fn(&Seen) -> bool) -> Vec<&'static str> {
        let of = |(engine, version): &(Standin, &'static str)| {
            let runs = engine.seen().into_iter().filter(|seen| seen.line().contains("/gen/"));
            vec![*version; runs.filter(|seen| wanted(seen)).count()]
        };
        self.engines.iter().flat_map(of).collect()
    }

    pub(crate) fn taken_up(&self) -> Vec<&'static str> {
        self.ran(|seen| last_event(seen).is_some())
    }
}

/// Begins a stream at the only engine, of v1, starts others, and then ends the run. Returns what the
/// caller got.
pub(crate) async fn begin_and_break(
    at: &Gateway,
    engines: &mut Engines,
    others: &[&'static str],
) -> Answer {
    let (callers, request) = (at.callers(), Request::stream("/gen/x", 20).body("b"));
    let answered = ntex::rt::spawn(async move { request.send(callers).await });
    eventually(async || engines.ran(|seen| last_event(seen).is_none()) == ["v1"]).await;
    for version in others {
        engines.start(version, |seen| finish_or(seen, Step::Reset)).await;
    }
    sleep(PROPAGATION).await;
    engines.may_end.store(true, Ordering::SeqCst);
    answered.await.expect("an answer")
}

/// Takes the stream of `first` up after [`BEGUN`] events.
pub(crate) fn take_up(first: &str) -> Request {
    let request = Request::stream("/gen/x", 20).named("r-2").header(RESUMED_HEADER, first);
    request.header("last-event-id", &BEGUN.to_string()).body("b")
}
