//! Generations whose runs are taken for ended though nothing of their engines says so, and generations
//! that wait for engines from which nothing more comes.

mod support;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::{Copied, Move, Native};
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::route::{Kind, Route, Text};
use fireflyhoist_standin::registry::Registry;
use parking_lot::Mutex;
use support::caller::{Answer, Request};
use support::forwarder::{Forwarder, Mode};
use support::target::{Seen, Standin, Step, answer, event, events, stream_end, stream_head};
use support::{eventually, route, settings, text, until_ready};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use yare::parameterized;

/// How long engines stand still.
const STALL: Duration = Duration::from_millis(1_200);

/// How long an engine that is awake may take to notice that a connection is closed.
const NOTICE: Duration = Duration::from_millis(300);

/// The events of each answer.
const LENGTH: u64 = 120;

/// How an engine answers the call that stops a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Last {
    /// It stops the run and copies the rest.
    Copies,
    /// It resets the connection, and the run goes on.
    Resets,
}

/// What happens at one engine.
#[derive(Clone, Debug)]
struct State {
    name: &'static str,
    stalled: Arc<AtomicBool>,
    /// Whether its run writes nothing, while the engine answers other calls.
    quiet: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    /// Whether the reply to the first copy waits.
    held: Arc<AtomicBool>,
    copied: Arc<AtomicBool>,
    told: Arc<AtomicBool>,
    last: Last,
    /// When each run began, at any engine.
    runs: Arc<Mutex<Vec<(Instant, &'static str)>>>,
    /// When it last worked on a run.
    worked: Arc<Mutex<Option<Instant>>>,
}

impl State {
    fn new(
        name: &'static str,
        runs: &Arc<Mutex<Vec<(Instant, &'static str)>>>,
        last: Last,
    ) -> Self {
        let (stalled, quiet, stopped, held, copied, told) = Default::default();
        let (runs, worked) = (Arc::clone(runs), Arc::default());
        Self { name, stalled, quiet, stopped, held, copied, told, last, runs, worked }
    }

    /// Waits while a flag is set.
    fn while_set(flag: &Arc<AtomicBool>) -> Step {
        let flag = Arc::clone(flag);
        Step::Until(Arc::new(move || !flag.load(Ordering::SeqCst)))
    }

    /// Does something as a step of a script.
    fn act(act: impl Fn(&Self) + Send + Sync + 'static, own: &Self) -> Step {
        let own = own.clone();
        Step::Until(Arc::new(move || {
            act(&own);
            true
        }))
    }

    fn reply(&self, seen: &Seen) -> Vec<Step> {
        let awake = Self::while_set(&self.stalled);
        let line = seen.line();
        if line.contains("/v1/report") {
            return [vec![awake], answer(200, "{}")].concat();
        }
        if line.contains("/move") {
            let request: Move = serde_json::from_str(&seen.body).expect("a move");
            return self.reply_to_move(request.last);
        }
        if line.starts_with("DELETE") {
            return answer(200, "");
        }
        if line.starts_with("GET") {
            return answer(200, "found");
        }
        let is_first = self.runs.lock().is_empty();
        self.runs.lock().push((Instant::now(), self.name));
        let last: u64 = seen.header("last-event-id").map_or(0, |id| id.parse().expect("a number"));
        // A run that goes on takes a while until its first event.
        let pause = Duration::from_millis(if is_first { 0 } else { 600 });
        [vec![Step::Wait(pause)], self.run(last + 1)].concat()
    }

    fn reply_to_move(&self, last: bool) -> Vec<Step> {
        let copied = |name: &str| {
            let copied = Copied { copy: Some(name.into()) };
            answer(200, &serde_json::to_string(&copied).expect("JSON"))
        };
        let awake = Self::while_set(&self.stalled);
        if !last {
            self.copied.store(true, Ordering::SeqCst);
            return [vec![Self::while_set(&self.held)], copied("c-1")].concat();
        }
        self.told.store(true, Ordering::SeqCst);
        let stop = Self::act(|own| own.stopped.store(true, Ordering::SeqCst), self);
        match self.last {
            Last::Copies => [vec![awake, stop], copied("c-2")].concat(),
            Last::Resets => vec![awake, Step::Reset],
        }
    }

    /// Runs from an event until the end, until it is stopped, or until its connection is closed, which
    /// it learns when it writes.
    fn run(&self, from: u64) -> Vec<Step> {
        let mut steps = vec![Self::while_set(&self.stalled), stream_head()];
        for id in from..=LENGTH {
            let stopped = Arc::clone(&self.stopped);
            steps.extend([
                Self::while_set(&self.stalled),
                Self::while_set(&self.quiet),
                Step::Only(Arc::new(move || !stopped.load(Ordering::SeqCst))),
                Self::act(|own| *own.worked.lock() = Some(Instant::now()), self),
                event(id),
                Step::Wait(Duration::from_millis(20)),
            ]);
        }
        steps.push(stream_end());
        steps
    }

    fn set_for(flag: &Arc<AtomicBool>, span: Duration) {
        flag.store(true, Ordering::SeqCst);
        let flag = Arc::clone(flag);
        spawn_local(async move {
            sleep(span).await;
            flag.store(false, Ordering::SeqCst);
        });
    }
}

/// Entries before two engines, which each reaches through a forwarder of its own.
struct Fleet {
    registry: Registry,
    entries: Vec<Gateway>,
    forwarders: Vec<Forwarder>,
    engines: Vec<(Standin, State)>,
    runs: Arc<Mutex<Vec<(Instant, &'static str)>>>,
    _others: Vec<Standin>,
}

impl Fleet {
    async fn open(entries: usize, last: Last, adjust: impl Fn(&mut Text)) -> Self {
        let registry = Registry::open().await;
        let page = route("gen", Kind::Stream { resumable: false });
        let page = Route { timeout: Duration::from_secs(9), ..page };
        let routes = vec![page, route("look", Kind::Safe)];
        let mut text = text(1, routes);
        adjust(&mut text);
        registry.publish(text);
        let runs = Arc::default();
        let (mut engines, mut others) = (Vec::new(), Vec::new());
        for name in ["e-1", "e-2"] {
            let state = State::new(name, &runs, last);
            let own = state.clone();
            let engine = Standin::open(name, "gen", move |seen: &Seen| own.reply(seen)).await;
            registry.put(engine.listed.clone());
            engines.push((engine, state));
        }
        for name in ["t-1", "t-2", "t-3"] {
            let target = Standin::open(name, "look", |_: &Seen| answer(200, "found")).await;
            registry.put(target.listed.clone());
            others.push(target);
        }
        let mut fleet =
            Self { registry, entries: vec![], forwarders: vec![], engines, runs, _others: others };
        for nth in 0..entries {
            let seeds: Vec<_> = fleet.entries.iter().map(Gateway::peers).collect();
            let forwarder = Forwarder::open().await;
            let own = settings(&format!("entry-{nth}"), fleet.registry.address(), &seeds);
            let settings = Settings { forwarder: Some(forwarder.address), ..own };
            let entry =
                Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
            until_ready(&entry).await;
            fleet.entries.push(entry);
            fleet.forwarders.push(forwarder);
        }
        fleet
    }

    /// Sends a generation, and returns its answer to come and the engine that runs it.
    async fn generation(&self) -> (JoinHandle<Answer>, Standin, State) {
        let callers = self.entries[0].callers();
        let request = Request::stream("/gen/x", 500).body("b");
        let answered = spawn_local(async move { request.send(callers).await });
        eventually(async || !self.runs.lock().is_empty()).await;
        sleep(Duration::from_millis(200)).await;
        let name = self.runs.lock()[0].1;
        let engine = self.engines.iter().find(|(_, state)| state.name == name).expect("it runs");
        (answered, engine.0.clone(), engine.1.clone())
    }

    /// Checks that the answer is whole, and that no engine worked on it after it went on elsewhere.
    fn assert_one_at_a_time(&self, answer: Answer, first: &State) {
        assert_eq!((answer.body, answer.whole), (events(1, LENGTH), true));
        let runs = self.runs.lock();
        let worked = first.worked.lock().expect("it worked");
        if let Some((again, _)) = runs.get(1) {
            assert!(worked <= *again + NOTICE, "it went on {:?} too early", worked - *again);
        }
    }
}

/// Guards against a generation that goes on elsewhere since the call that asks its engine broke with
/// all connections of the entry, while the engine stands still.
#[parameterized(silent = { &[720] }, lost = { &[50, 200] })]
#[test_macro(ntex::test)]
async fn a_call_that_breaks_is_no_end_of_a_run(resets_at: &[u64]) {
    let fleet = Fleet::open(1, Last::Copies, |_| {}).await;
    let (answered, _, state) = fleet.generation().await;
    let began_at = Instant::now();
    State::set_for(&state.stalled, STALL);
    for at in resets_at {
        sleep_until(began_at + Duration::from_millis(*at)).await;
        fleet.forwarders[0].reset();
    }
    fleet.assert_one_at_a_time(answered.await.expect("the caller ends"), &state);
}

/// Guards against a generation that goes on elsewhere while its engine writes events, since calls that
/// stop its run break.
#[ntex::test]
async fn a_run_that_writes_has_not_ended() {
    let fleet = Fleet::open(1, Last::Resets, |_| {}).await;
    let (answered, engine, state) = fleet.generation().await;
    fleet.registry.put(engine.draining());
    fleet.assert_one_at_a_time(answered.await.expect("the caller ends"), &state);
}

/// Guards against a generation that goes on elsewhere while its engine writes events, since the engine
/// accepts no new connections.
#[ntex::test]
async fn a_run_whose_engine_refuses_connections_has_not_ended() {
    let fleet = Fleet::open(1, Last::Copies, |_| {}).await;
    let (answered, engine, state) = fleet.generation().await;
    state.held.store(true, Ordering::SeqCst);
    fleet.registry.put(engine.draining());
    eventually(async || state.copied.load(Ordering::SeqCst)).await;
    engine.close_listener();
    state.held.store(false, Ordering::SeqCst);
    fleet.assert_one_at_a_time(answered.await.expect("the caller ends"), &state);
}

/// Guards against a generation that goes on elsewhere since all connections were reset after its engine
/// was told to stop the run, while the engine stands still.
#[ntex::test]
async fn a_reset_stream_is_no_sign_that_a_run_was_stopped() {
    let fleet = Fleet::open(1, Last::Copies, |_| {}).await;
    let (answered, engine, state) = fleet.generation().await;
    state.held.store(true, Ordering::SeqCst);
    fleet.registry.put(engine.draining());
    eventually(async || state.copied.load(Ordering::SeqCst)).await;
    let woken_at = Instant::now() + STALL;
    State::set_for(&state.stalled, STALL);
    state.held.store(false, Ordering::SeqCst);
    eventually(async || state.told.load(Ordering::SeqCst)).await;
    fleet.forwarders[0].reset();
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.body, answer.whole), (events(1, LENGTH), true));
    let again = fleet.runs.lock()[1].0;
    assert!(again >= woken_at, "it went on {:?} too early", woken_at - again);
}

/// Guards against a generation that goes on elsewhere since an engine answers other calls, although it
/// works on and learns only on writing that its connection is closed.
#[ntex::test]
async fn an_engine_that_answers_may_still_run_what_it_was_sent() {
    let fleet = Fleet::open(1, Last::Copies, |_| {}).await;
    let (answered, _, state) = fleet.generation().await;
    State::set_for(&state.quiet, STALL);
    fleet.forwarders[0].reset();
    fleet.assert_one_at_a_time(answered.await.expect("the caller ends"), &state);
}

/// Guards against a generation that goes on elsewhere since an entry that relays for an isolated one
/// opened no connection in time to an engine that stands still.
#[ntex::test]
async fn a_connection_that_a_peer_does_not_open_is_no_end_of_a_run() {
    let fleet = Fleet::open(2, Last::Copies, |_| {}).await;
    let (answered, engine, state) = fleet.generation().await;
    fleet.forwarders[0].set_mode(Mode::Hang);
    for _ in 0..3 {
        Request::new("GET", "/look/x").send(fleet.entries[0].callers()).await;
    }
    fleet.forwarders[1].set_hanging(vec![engine.listed.address]);
    State::set_for(&state.stalled, STALL);
    fleet.forwarders[0].reset();
    let forwarder = fleet.forwarders[1].clone();
    spawn_local(async move {
        sleep(STALL).await;
        forwarder.set_hanging(Vec::new());
    });
    fleet.assert_one_at_a_time(answered.await.expect("the caller ends"), &state);
}

/// Guards against a generation that begins elsewhere since its connection was reset before its answer
/// began, while its engine stands still and has it.
#[ntex::test]
async fn a_generation_that_has_not_answered_may_have_begun() {
    let fleet = Fleet::open(1, Last::Copies, |text| {
        text.routes[0].kind = Kind::Stream { resumable: true };
    })
    .await;
    for (_, state) in &fleet.engines {
        state.stalled.store(true, Ordering::SeqCst);
    }
    let (answered, _, state) = fleet.generation().await;
    let began_at = Instant::now();
    for (_, state) in &fleet.engines {
        state.stalled.store(false, Ordering::SeqCst);
    }
    State::set_for(&state.stalled, STALL);
    fleet.forwarders[0].reset();
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.body, answer.whole), (events(1, LENGTH), true));
    let again = fleet.runs.lock()[1].0;
    assert!(again >= began_at + STALL, "it began {:?} too early", began_at + STALL - again);
}

/// Guards against an answer with a backup that waits until its deadline, since its engine answers calls
/// although nothing more comes on the connection.
#[ntex::test]
async fn a_dead_connection_to_an_engine_that_answers_is_left() {
    let fleet = Fleet::open(1, Last::Copies, |_| {}).await;
    let (answered, _, state) = fleet.generation().await;
    state.quiet.store(true, Ordering::SeqCst);
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.body, answer.whole), (events(1, LENGTH), true));
}

/// Guards against a busy loop while the engine of an answer that can't be moved leaves and stands still.
#[ntex::test]
async fn a_silent_run_that_cannot_be_moved_takes_no_processor_time() {
    let fleet = Fleet::open(1, Last::Copies, |text| {
        text.services[0].engine.as_mut().expect("a service of engines").moves = false;
    })
    .await;
    let (answered, engine, state) = fleet.generation().await;
    fleet.registry.put(engine.draining());
    sleep(Duration::from_millis(300)).await;
    State::set_for(&state.stalled, Duration::from_secs(2));
    sleep(Duration::from_secs(1)).await;
    let (began_at, used) = (Instant::now(), processor_time());
    sleep(Duration::from_millis(800)).await;
    let (passed, used) = (began_at.elapsed(), processor_time() - used);
    assert!(used < passed / 2, "{used:?} of processor time in {passed:?}");
    drop(answered);
}

/// Returns the processor time that the threads of this test have used: those with the same name, of which
/// the system keeps the beginning. Other tests run in the same process.
fn processor_time() -> Duration {
    let name_of = |task: &Path| std::fs::read_to_string(task.join("comm")).ok();
    let own = name_of(Path::new("/proc/thread-self"));
    let tasks = std::fs::read_dir("/proc/self/task").expect("threads");
    let used = tasks.filter_map(|task| {
        let task = task.ok()?.path();
        let time = std::fs::read_to_string(task.join("schedstat")).ok()?;
        (name_of(&task) == own).then_some(time.split(' ').next()?.parse::<u64>().ok()?)
    });
    Duration::from_nanos(used.sum())
}
