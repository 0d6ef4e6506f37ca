//! Generations whose engines stand still for a second, lose connections or leave: each goes on elsewhere
//! only once its run has ended where it was.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::{Copied, Move, Native};
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::Registry;
use parking_lot::Mutex;
use support::caller::{Answer, Request};
use support::forwarder::Forwarder;
use support::target::{Seen, Standin, Step, answer, event, events, stream_end, stream_head};
use support::{eventually, route, settings, text, until_ready};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// How long engines stand still.
const STALL: Duration = Duration::from_millis(1_200);

/// The events of each answer.
const LENGTH: u64 = 60;

/// What an engine was asked, or did, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    /// It began the run, or went on with it.
    Run,
    /// It was told to copy the run's memory while the run continues.
    Copy,
    /// It was told to stop the run.
    Stop,
    /// It stands still no longer.
    Wake,
}

/// What engines did, in order.
#[derive(Clone, Debug, Default)]
struct Ledger(Arc<Mutex<Vec<(Instant, String, Act)>>>);

impl Ledger {
    fn record(&self, engine: &str, act: Act) {
        self.0.lock().push((Instant::now(), engine.to_owned(), act));
    }

    fn acts(&self, wanted: Act) -> Vec<(Instant, String)> {
        let acts = self.0.lock();
        let wanted = acts.iter().filter(|(_, _, act)| *act == wanted);
        wanted.map(|(at, engine, _)| (*at, engine.clone())).collect()
    }
}

/// How an engine answers the call that stops a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Last {
    /// It stops the run and copies the rest.
    Copies,
    /// It stops the run and resets the connection of the call.
    StopsUnheard,
    /// It resets the connection of the first such call, and goes on.
    Ignores,
    /// It stops the run and keeps its memory, since the other engine has no room.
    Keeps,
}

/// The state of one engine that its scripts share.
#[derive(Clone, Debug)]
struct State {
    name: &'static str,
    ledger: Ledger,
    stalled: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    told: Arc<AtomicBool>,
    /// Whether the reply to the first copy waits.
    held: Arc<AtomicBool>,
    last: Last,
}

impl State {
    fn new(name: &'static str, ledger: &Ledger, last: Last) -> Self {
        let (stalled, stopped, told, held) = Default::default();
        Self { name, ledger: ledger.clone(), stalled, stopped, told, held, last }
    }

    /// Waits while the engine stands still.
    fn awake(&self) -> Step {
        let stalled = Arc::clone(&self.stalled);
        Step::Until(Arc::new(move || !stalled.load(Ordering::SeqCst)))
    }

    fn reply(&self, seen: &Seen) -> Vec<Step> {
        let line = seen.line();
        if line.contains("/v1/report") {
            return [vec![self.awake()], answer(200, "{}")].concat();
        }
        if line.contains("/move") {
            let request: Move = serde_json::from_str(&seen.body).expect("a move");
            return [vec![self.awake()], self.reply_to_move(request.last)].concat();
        }
        if line.starts_with("DELETE") {
            return answer(200, "");
        }
        self.ledger.record(self.name, Act::Run);
        self.stopped.store(false, Ordering::SeqCst);
        let last: u64 = seen.header("last-event-id").map_or(0, |id| id.parse().expect("a number"));
        self.run(last + 1)
    }

    fn reply_to_move(&self, last: bool) -> Vec<Step> {
        let copied = |status, name: &str| {
            let copied = Copied { copy: Some(name.into()) };
            answer(status, &serde_json::to_string(&copied).expect("JSON"))
        };
        if !last {
            self.ledger.record(self.name, Act::Copy);
            let held = Arc::clone(&self.held);
            let released = Step::Until(Arc::new(move || !held.load(Ordering::SeqCst)));
            return [vec![released], copied(200, "c-1")].concat();
        }
        self.ledger.record(self.name, Act::Stop);
        let is_first = !self.told.swap(true, Ordering::SeqCst);
        if self.last == Last::Ignores && is_first {
            return vec![Step::Reset];
        }
        if self.stopped.swap(true, Ordering::SeqCst) {
            return answer(404, "{}");
        }
        match self.last {
            Last::Copies | Last::Ignores => copied(200, "c-2"),
            Last::StopsUnheard => vec![Step::Reset],
            Last::Keeps => copied(503, "c-2"),
        }
    }

    /// Runs from an event until the end, or until the run is stopped, which ends its stream.
    fn run(&self, from: u64) -> Vec<Step> {
        let mut steps = vec![stream_head()];
        for id in from..=LENGTH {
            let stopped = Arc::clone(&self.stopped);
            let goes_on = move || !stopped.load(Ordering::SeqCst);
            let pause = Step::Wait(Duration::from_millis(20));
            steps.extend([self.awake(), Step::Only(Arc::new(goes_on)), event(id), pause]);
        }
        steps.push(stream_end());
        steps
    }
}

/// An entry before two engines, which it reaches through a forwarder.
struct Fleet {
    registry: Registry,
    entry: Gateway,
    forwarder: Forwarder,
    engines: Vec<(Standin, State)>,
    ledger: Ledger,
}

impl Fleet {
    async fn open(resumable: bool, backups: bool, last: Last) -> Self {
        let registry = Registry::open().await;
        let mut text = text(1, vec![route("gen", Kind::Stream { resumable })]);
        let engine = text.services[0].engine.as_mut().expect("a service of engines");
        engine.backups = backups;
        registry.publish(text);
        let ledger = Ledger::default();
        let mut engines = Vec::new();
        for name in ["e-1", "e-2"] {
            let state = State::new(name, &ledger, last);
            let own = state.clone();
            let engine = Standin::open(name, "gen", move |seen: &Seen| own.reply(seen)).await;
            registry.put(engine.listed.clone());
            engines.push((engine, state));
        }
        let forwarder = Forwarder::open().await;
        let own = settings("entry-1", registry.address(), &[]);
        let settings = Settings { forwarder: Some(forwarder.address), ..own };
        let entry =
            Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
        until_ready(&entry).await;
        Self { registry, entry, forwarder, engines, ledger }
    }

    /// Sends a generation, and returns its answer to come and the engine that runs it.
    async fn generation(&self) -> (JoinHandle<Answer>, Standin, State) {
        let callers = self.entry.callers();
        let request = Request::stream("/gen/x", 500).body("b");
        let answered = spawn_local(async move { request.send(callers).await });
        eventually(async || !self.ledger.acts(Act::Run).is_empty()).await;
        sleep(Duration::from_millis(200)).await;
        let name = self.ledger.acts(Act::Run)[0].1.clone();
        let engine = self.engines.iter().find(|(_, state)| state.name == name).expect("it runs");
        (answered, engine.0.clone(), engine.1.clone())
    }
}

/// Lets an engine stand still for a while; new connections to it hang if `hanging`.
fn stall(engine: &Standin, state: &State, forwarder: Option<&Forwarder>) {
    state.stalled.store(true, Ordering::SeqCst);
    let forwarder = forwarder.cloned();
    if let Some(forwarder) = &forwarder {
        forwarder.set_hanging(vec![engine.listed.address]);
    }
    let state = state.clone();
    spawn_local(async move {
        sleep(STALL).await;
        state.ledger.record(state.name, Act::Wake);
        state.stalled.store(false, Ordering::SeqCst);
        if let Some(forwarder) = forwarder {
            forwarder.set_hanging(Vec::new());
        }
    });
}

/// Guards against a generation that goes on at its backup while its engine only stands still.
#[parameterized(accepting = { false }, hanging = { true })]
#[test_macro(ntex::test)]
async fn an_engine_that_stands_still_keeps_its_run(hanging: bool) {
    let fleet = Fleet::open(false, true, Last::Copies).await;
    let (answered, engine, state) = fleet.generation().await;
    stall(&engine, &state, hanging.then_some(&fleet.forwarder));
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.body, answer.whole), (events(1, LENGTH), true));
    let runs = fleet.ledger.acts(Act::Run);
    assert_eq!(runs.len(), 1, "{runs:?}");
}

/// Guards against a generation that waits until its deadline for an engine that is lost without a word.
#[ntex::test]
async fn a_lost_engine_is_left_for_the_backup() {
    let fleet = Fleet::open(false, true, Last::Copies).await;
    let (answered, engine, state) = fleet.generation().await;
    state.stalled.store(true, Ordering::SeqCst);
    fleet.forwarder.set_hanging(vec![engine.listed.address]);
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.body, answer.whole), (events(1, LENGTH), true));
    assert_eq!(fleet.ledger.acts(Act::Run).len(), 2);
}

/// Guards against a generation that goes on elsewhere since its connection was reset, while its engine
/// stands still and has not noticed.
#[parameterized(from_a_backup = { false, true }, by_a_new_run = { true, false })]
#[test_macro(ntex::test)]
async fn a_reset_connection_is_no_end_of_its_run(resumable: bool, backups: bool) {
    let fleet = Fleet::open(resumable, backups, Last::Copies).await;
    let (answered, engine, state) = fleet.generation().await;
    stall(&engine, &state, None);
    fleet.forwarder.reset();
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.body, answer.whole), (events(1, LENGTH), true));
    let (runs, woke) = (fleet.ledger.acts(Act::Run), fleet.ledger.acts(Act::Wake));
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert!(runs[1].0 >= woke[0].0, "it went on {:?} too early", woke[0].0 - runs[1].0);
}

/// Guards against a generation that goes on elsewhere before its engine, which leaves, has stopped the
/// run: the engine stands still, its reply is lost, or it was not told at all.
#[parameterized(
    with_a_backup = { true, Last::Copies, false },
    without = { false, Last::Copies, false },
    standing_still = { false, Last::Copies, true },
    stopped_unheard = { false, Last::StopsUnheard, false },
    not_stopped = { false, Last::Ignores, false },
)]
#[test_macro(ntex::test)]
async fn a_leaving_engine_stops_a_run_before_it_goes_on(backups: bool, last: Last, stalls: bool) {
    let fleet = Fleet::open(false, backups, last).await;
    let (answered, engine, state) = fleet.generation().await;
    state.held.store(stalls, Ordering::SeqCst);
    fleet.registry.put(engine.draining());
    if stalls {
        eventually(async || !fleet.ledger.acts(Act::Copy).is_empty()).await;
        stall(&engine, &state, Some(&fleet.forwarder));
        state.held.store(false, Ordering::SeqCst);
    }
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.body, answer.whole), (events(1, LENGTH), true));
    assert!(state.stopped.load(Ordering::SeqCst), "the engine was not told to stop the run");
    let (runs, stops) = (fleet.ledger.acts(Act::Run), fleet.ledger.acts(Act::Stop));
    assert_eq!(runs.len(), 2, "{runs:?}");
    let stopped = stops[usize::from(last == Last::Ignores)].0;
    assert!(stopped <= runs[1].0, "it went on {:?} too early", stopped - runs[1].0);
}

/// Guards against an answer that is lost since its run was stopped for a move to an engine without room:
/// the engine that has stopped it still holds its memory.
#[ntex::test]
async fn a_stopped_run_resumes_where_its_memory_is() {
    let fleet = Fleet::open(false, false, Last::Keeps).await;
    let (answered, engine, _) = fleet.generation().await;
    fleet.registry.put(engine.draining());
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.body, answer.whole), (events(1, LENGTH), true));
    let runs: Vec<String> = fleet.ledger.acts(Act::Run).into_iter().map(|(_, at)| at).collect();
    assert!(runs.len() >= 2, "it was not resumed");
    assert!(runs.iter().all(|engine| *engine == runs[0]), "it runs at {runs:?}");
}
