//! Streams deliver every token once, in order and from one generation, whatever happens to their
//! engine.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::{Copied, Move, Report};
use fireflyhoist_policy::lease::{Start, Target};
use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::Request;
use support::target::{
    Seen, Standin, Step, answer, declined, event, events, stream_end, stream_head,
};
use support::{eventually, gateway, route, text};
use yare::parameterized;

const STREAM: Kind = Kind::Stream { resumable: false };
const RESUMABLE: Kind = Kind::Stream { resumable: true };

fn pause(ms: u64) -> Step {
    Step::Wait(Duration::from_millis(ms))
}

fn run(from: u64, to: u64, end: Step) -> Vec<Step> {
    let mut steps = vec![stream_head()];
    for id in from..=to {
        steps.extend([event(id), pause(20)]);
    }
    steps.push(end);
    steps
}

async fn registry(kind: Kind) -> Registry {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("gen", kind)]));
    registry
}

/// Guards against an entry buffering a stream until its end instead of forwarding each event.
#[ntex::test]
async fn events_are_forwarded_as_they_arrive() {
    let registry = registry(STREAM).await;
    let script = |_: &Seen| vec![stream_head(), event(1), pause(600), event(2), stream_end()];
    let engine = Standin::open("e-1", "gen", script).await;
    registry.put(engine.listed.clone());
    let gateway = gateway(&registry).await;
    let mut caller = Request::stream("/gen/x", 20).body("b").open(gateway.callers()).await;
    let began = tokio::time::Instant::now();
    let mut received = String::new();
    while !received.contains("id: 1\n") {
        let mut bytes = [0; 1024];
        let read = tokio::io::AsyncReadExt::read(&mut caller, &mut bytes).await.expect("bytes");
        assert!(read > 0, "{received}");
        received.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    assert!(!received.contains("id: 2"), "{received}");
}

/// Guards against a truncated stream looking complete when its engine crashes. It must not end like
/// a complete answer, an incomplete event must not be delivered, and no second answer may be
/// written into the first.
#[ntex::test]
async fn an_interrupted_stream_does_not_look_complete() {
    let registry = registry(STREAM).await;
    let partial_event = Step::Write("d\r\nid: 3\ndata: t\r\n".to_owned());
    let script = move |_: &Seen| {
        vec![stream_head(), event(1), event(2), partial_event.clone(), pause(50), Step::Reset]
    };
    let engine = Standin::open("e-1", "gen", script).await;
    registry.put(engine.listed.clone());
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert_eq!((answer.status, answer.body), (200, events(1, 2)));
    assert!(!answer.whole);
    assert_eq!(answer.trailing_bytes, 0);
}

/// Guards against a resumable stream being lost when its engine fails: it is resumed at another
/// engine after the last delivered event, within the same answer.
#[ntex::test]
async fn a_resumable_stream_resumes_at_another_engine() {
    let registry = registry(RESUMABLE).await;
    for name in ["e-1", "e-2"] {
        let script = |seen: &Seen| match seen.header("last-event-id") {
            Some(last) => {
                let last: u64 = last.parse().expect("a number");
                run(last + 1, 6, stream_end())
            }
            None => run(1, 3, Step::Reset),
        };
        registry.put(Standin::open(name, "gen", script).await.listed);
    }
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 6), true));
}

/// Guards against an answer that says that the request did not run although an earlier attempt was
/// interrupted and may have run.
#[ntex::test]
async fn a_refusal_after_an_interrupted_run_does_not_say_that_none_ran() {
    let registry = registry(RESUMABLE).await;
    let count = Arc::new(AtomicUsize::new(0));
    for name in ["e-1", "e-2"] {
        let count = Arc::clone(&count);
        let script = move |seen: &Seen| match seen.line().starts_with("GET ") {
            true => answer(200, "{}"),
            false if count.fetch_add(1, Ordering::SeqCst) == 0 => vec![Step::Reset],
            false => declined(),
        };
        registry.put(Standin::open(name, "gen", script).await.listed);
    }
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert_eq!((answer.status, count.load(Ordering::SeqCst)), (502, 2), "{answer:?}");
    assert!(!answer.body.contains("\"ran\":\"no\""), "{answer:?}");
}

/// Guards against a caller waiting until its timeout for a run that no longer exists. Its engine
/// was disconnected, crashed and restarted under the same name, while the entry's connection to the
/// earlier run stays open and silent. The newer start time shows that the run is lost, so the
/// stream resumes at another engine at once.
#[ntex::test]
async fn a_stream_resumes_elsewhere_after_its_engine_restarted() {
    let registry = registry(RESUMABLE).await;
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        let script = |seen: &Seen| match seen.header("last-event-id") {
            Some(last) => run(last.parse::<u64>().expect("a number") + 1, 6, stream_end()),
            None => run(1, 3, Step::Hang),
        };
        let mut engine = Standin::open(name, "gen", script).await;
        engine.listed.start = Some(Start::new(1_000));
        registry.put(engine.listed.clone());
        engines.push(engine);
    }
    let gateway = gateway(&registry).await;
    let callers = gateway.callers();
    let request = Request::stream("/gen/x", 20).body("b");
    let answered = ntex::rt::spawn(async move { request.send(callers).await });
    eventually(async || engines.iter().any(|engine| !engine.seen().is_empty())).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let first = engines.iter().find(|engine| !engine.seen().is_empty()).expect("one runs it");
    registry.put(Target { start: Some(Start::new(2_000)), ..first.listed.clone() });
    let answer = answered.await.expect("an answer");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 6), true));
    assert!(answer.took < Duration::from_secs(3), "{:?}", answer.took);
}

/// After a crash in the middle of a long stream, the stream resumes from the copy that a backup
/// engine received while it grew. The caller gets each event once.
#[ntex::test]
async fn a_stream_resumes_from_its_backup_copy() {
    let registry = registry(STREAM).await;
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        let script =
            |seen: &Seen| match (seen.header("fireflyhoist-copy"), seen.header("last-event-id")) {
                (Some(_), Some(last)) => {
                    let last: u64 = last.parse().expect("a number");
                    run(last + 1, 9, stream_end())
                }
                _ => run(1, 4, Step::Reset),
            };
        engines.push(Standin::open(name, "gen", script).await);
    }
    engines.iter().for_each(|engine| registry.put(engine.listed.clone()));
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 500).body("b").send(gateway.callers()).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 9), true));
    let seen: Vec<Seen> = engines.iter().flat_map(Standin::seen).collect();
    let first = seen.iter().find(|seen| seen.header("fireflyhoist-copy").is_none()).expect("a run");
    let backup = first.header("fireflyhoist-backup").expect("a backup copy is requested");
    let second =
        seen.iter().find(|seen| seen.header("fireflyhoist-copy").is_some()).expect("a run");
    assert_eq!(second.header("fireflyhoist-copy"), Some(format!("{backup}/r-1").as_str()));
}

/// Guards against losing a stream whose engine drains. Its memory is copied while it runs, then the
/// run is stopped, and it resumes at the engine that has the copy. Events that the first engine
/// produced in between are delivered once. A caller whose expected length was too short is treated
/// alike, since such estimates are often far off.
#[parameterized(
    as_expected = { "500" },
    longer_than_expected = { "10" },
)]
#[test_macro(ntex::test)]
async fn a_stream_migrates_when_its_engine_drains(expected_tokens: &str) {
    let registry = registry(STREAM).await;
    let mut engines = Vec::new();
    let moves = Arc::new(AtomicUsize::new(0));
    for name in ["e-1", "e-2"] {
        let moves = Arc::clone(&moves);
        let script = move |seen: &Seen| {
            if seen.line().starts_with("POST /v1/runs/r-1/move") {
                let request: Move = serde_json::from_str(&seen.body).expect("a move");
                let nth = moves.fetch_add(1, Ordering::SeqCst);
                assert_eq!(
                    request.last,
                    nth == 1,
                    "a copy of the running stream first, then of the rest"
                );
                let copied = Copied { copy: Some("c-7".into()) };
                return answer(200, &serde_json::to_string(&copied).expect("JSON"));
            }
            match (seen.header("fireflyhoist-copy"), seen.header("last-event-id")) {
                (Some(copy), Some(last)) => {
                    assert!(copy.ends_with("/c-7"), "{copy}");
                    let last: u64 = last.parse().expect("a number");
                    // The copy is slightly older than the last delivered event.
                    run(last.saturating_sub(1).max(1), 60, stream_end())
                }
                _ => run(1, 500, stream_end()),
            }
        };
        engines.push(Standin::open(name, "gen", script).await);
    }
    engines.iter().for_each(|engine| registry.put(engine.listed.clone()));
    let gateway = gateway(&registry).await;
    // Too large for a backup copy while it grows, so that it has to be migrated.
    let request = Request::new("POST", "/gen/x")
        .header("fireflyhoist-prompt-tokens", "60000")
        .header("fireflyhoist-max-tokens", "500")
        .header("fireflyhoist-expected-tokens", expected_tokens)
        .body("b");
    let callers = gateway.callers();
    let answered = ntex::rt::spawn(async move { request.send(callers).await });
    let runs = |engine: &Standin| !engine.seen().is_empty();
    eventually(async || engines.iter().any(runs)).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let source = engines.iter().find(|engine| runs(engine)).expect("one runs").clone();
    registry.put(source.draining());
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 60), true));
    assert_eq!(moves.load(Ordering::SeqCst), 2);
}

/// A full engine declines a stream whose route allows one attempt: the caller learns at once that
/// the request did not run, and when to retry.
#[ntex::test]
async fn a_declined_stream_is_refused_as_not_run() {
    let registry = Registry::open().await;
    let mut single = route("gen", STREAM);
    single.attempts = 1;
    registry.publish(text(1, vec![single]));
    let engine = Standin::open("e-1", "gen", |_| declined()).await;
    registry.put(engine.listed.clone());
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("\"ran\":\"no\"") && answer.header("retry-after").is_some());
    assert_eq!(engine.seen().len(), 1);
}

/// A stream that exceeds the timeout of its route is cut off, and does not look complete.
#[ntex::test]
async fn a_stream_is_cut_at_the_route_timeout() {
    let registry = Registry::open().await;
    let mut short = route("gen", STREAM);
    short.timeout = Duration::from_millis(400);
    registry.publish(text(1, vec![short]));
    let engine = Standin::open("e-1", "gen", |_| run(1, 500, stream_end())).await;
    registry.put(engine.listed.clone());
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert!(answer.status == 200 && !answer.whole, "{answer:?}");
    assert!(answer.took < Duration::from_millis(900), "{:?}", answer.took);
}

/// Guards against engines that fail in the middle of every stream being kept failing by the load of
/// repeated runs. A resumed run counts as an attempt of its route and draws on the retry budget.
#[ntex::test]
async fn resumed_runs_count_as_attempts_of_the_route() {
    let registry = registry(RESUMABLE).await;
    let mut engines = Vec::new();
    for name in ["e-1", "e-2", "e-3", "e-4"] {
        let script = |seen: &Seen| {
            let last = seen.header("last-event-id").and_then(|last| last.parse().ok());
            let next = last.unwrap_or(0) + 1;
            run(next, next, Step::Reset)
        };
        engines.push(Standin::open(name, "gen", script).await);
    }
    engines.iter().for_each(|engine| registry.put(engine.listed.clone()));
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert_eq!((answer.body, answer.whole), (events(1, 2), false));
    // Engines are asked for reports besides.
    let is_run = |seen: &&Seen| seen.line().starts_with("POST /gen/x");
    let runs = |engine: &Standin| engine.seen().iter().filter(is_run).count();
    assert_eq!(engines.iter().map(runs).sum::<usize>(), 2);
}

/// Guards against an engine that keeps generating after its caller has disconnected between two
/// events, when no write to the caller could fail. The entry must close its connection to the
/// engine as soon as the caller closes its own.
#[ntex::test]
async fn a_caller_disconnecting_between_events_closes_the_connection_to_the_engine() {
    let registry = registry(STREAM).await;
    let script = |_: &Seen| vec![stream_head(), event(1), Step::Hang];
    let engine = Standin::open("e-1", "gen", script).await;
    registry.put(engine.listed.clone());
    let gateway = gateway(&registry).await;
    let mut caller = Request::stream("/gen/x", 20).body("b").open(gateway.callers()).await;
    let mut received = String::new();
    while !received.contains("id: 1\n") {
        let mut bytes = [0; 1024];
        let read = tokio::io::AsyncReadExt::read(&mut caller, &mut bytes).await.expect("bytes");
        assert!(read > 0, "{received}");
        received.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    let disconnected_at = tokio::time::Instant::now();
    drop(caller);
    eventually(async || !engine.closed().is_empty()).await;
    assert!(
        disconnected_at.elapsed() < Duration::from_millis(500),
        "{:?}",
        disconnected_at.elapsed()
    );
}

/// The source of the notice that an engine drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    Registry,
    /// The engine's own report; the registry does not respond.
    Report,
}

/// Runs a stream at an engine that then drains; the copy of the running stream succeeds.
/// `final_move` answers the call that stops the run and copies the rest, and `end` is the last step
/// of the draining engine after its events. Returns the caller's answer and the requests that both
/// engines received.
async fn migrate_from_draining(
    notice: Notice,
    final_move: impl Fn() -> Vec<Step> + Clone + Send + Sync + 'static,
    end: Step,
) -> (support::caller::Answer, Vec<Seen>) {
    let leaving = Arc::new(parking_lot::Mutex::new(None::<String>));
    // An unresponsive registry is detected within two seconds.
    let event_count = if notice == Notice::Report { 160 } else { 40 };
    let registry = registry(STREAM).await;
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        let (final_move, end, leaving) = (final_move.clone(), end.clone(), Arc::clone(&leaving));
        let script = move |seen: &Seen| {
            if seen.line().starts_with("GET /v1/report") {
                let leaving = leaving.lock().as_deref() == Some(name);
                return answer(
                    200,
                    &serde_json::to_string(&Report { leaving, start: None }).expect("JSON"),
                );
            }
            if seen.line().starts_with("POST /v1/runs/r-1/move") {
                let request: Move = serde_json::from_str(&seen.body).expect("a move");
                let copied = Copied { copy: Some("c-1".into()) };
                return match request.last {
                    true => final_move(),
                    false => answer(200, &serde_json::to_string(&copied).expect("JSON")),
                };
            }
            if seen.line().starts_with("DELETE") {
                return answer(200, "");
            }
            match (seen.header("fireflyhoist-copy"), seen.header("last-event-id")) {
                // No backup copy was made while it grew.
                (Some(copy), _) if copy.ends_with("/r-1") => declined(),
                (Some(_), Some(last)) => {
                    run(last.parse::<u64>().expect("a number") + 1, event_count, stream_end())
                }
                _ => run(1, event_count - 10, end.clone()),
            }
        };
        engines.push(Standin::open(name, "gen", script).await);
    }
    engines.iter().for_each(|engine| registry.put(engine.listed.clone()));
    let gateway = gateway(&registry).await;
    let callers = gateway.callers();
    // Too large for a backup copy while it grows, so that it has to be migrated.
    let request =
        Request::stream("/gen/x", 500).header("fireflyhoist-prompt-tokens", "60000").body("b");
    let answered = ntex::rt::spawn(async move { request.send(callers).await });
    eventually(async || engines.iter().any(|engine| !engine.seen().is_empty())).await;
    let first = engines.iter().find(|engine| !engine.seen().is_empty()).expect("one runs it");
    tokio::time::sleep(Duration::from_millis(200)).await;
    match notice {
        Notice::Registry => registry.put(first.draining()),
        Notice::Report => {
            registry.set_mood(Mood::Silent);
            *leaving.lock() = Some(first.listed.id.to_string());
        }
    }
    let answer = answered.await.expect("an answer");
    tokio::time::sleep(Duration::from_millis(200)).await;
    (answer, engines.iter().flat_map(Standin::seen).collect())
}

/// Guards against recomputing a whole prompt although a copy exists: the draining engine had made a
/// first copy and had ended before the run could be stopped and the rest copied. The stream resumes
/// from the first copy, and the next engine recomputes what it lacks.
#[ntex::test]
async fn a_stream_resumes_from_a_partial_copy() {
    let (answer, seen) =
        migrate_from_draining(Notice::Registry, || vec![Step::Reset], Step::Reset).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 40), true));
    let copies: Vec<&str> = seen.iter().filter_map(|s| s.header("fireflyhoist-copy")).collect();
    assert!(copies.iter().any(|copy| copy.ends_with("/c-1")), "{copies:?}");
    assert!(!seen.iter().any(|seen| seen.line().starts_with("DELETE")));
}

/// Guards against engines with free memory refusing streams because copies of streams that ended
/// during their migration occupy it for seconds. Such a copy must be freed.
#[ntex::test]
async fn an_unused_copy_is_freed() {
    let (answer, seen) =
        migrate_from_draining(Notice::Registry, || answer(404, "{}"), stream_end()).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 30), true));
    let freed = seen.iter().any(|seen| seen.line().starts_with("DELETE /v1/copies/c-1"));
    assert!(freed, "{seen:?}");
}

/// Guards against every stream on an engine being cut two seconds after a notice that nobody could
/// read because the registry was unavailable when the engine was drained. The entry asks engines
/// for their own report, which says so too.
#[ntex::test]
async fn a_stream_migrates_on_the_report_of_its_engine() {
    let copied = || {
        let copied = Copied { copy: Some("c-2".into()) };
        answer(200, &serde_json::to_string(&copied).expect("JSON"))
    };
    let (answer, seen) = migrate_from_draining(Notice::Report, copied, Step::Reset).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 160), true));
    let copies: Vec<&str> = seen.iter().filter_map(|s| s.header("fireflyhoist-copy")).collect();
    assert!(copies.iter().any(|copy| copy.ends_with("/c-2")), "{copies:?}");
}

/// Guards against a stream starting seconds late at an engine that seemed empty while the memory of
/// another stream was being transferred to it, which only that engine knew. The entry that migrates
/// the stream reserves its memory there from the first call on, so a new stream waits at the entry
/// and can still be sent elsewhere.
#[ntex::test]
async fn memory_reserved_for_a_migration_is_not_given_to_a_new_stream() {
    const TRANSFER_TIME: Duration = Duration::from_millis(1_500);
    let registry = registry(STREAM).await;
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        let script = move |seen: &Seen| {
            if seen.line().starts_with("POST /v1/runs/r-1/move") {
                let copied = Copied { copy: Some("c-1".into()) };
                let reply = answer(200, &serde_json::to_string(&copied).expect("JSON"));
                return [vec![Step::Wait(TRANSFER_TIME)], reply].concat();
            }
            match seen.header("fireflyhoist-copy") {
                Some(copy) if copy.ends_with("/r-1") => declined(),
                _ => run(1, 300, stream_end()),
            }
        };
        engines.push(Standin::open(name, "gen", script).await);
    }
    engines.iter().for_each(|engine| registry.put(engine.listed.clone()));
    let gateway = gateway(&registry).await;
    let callers = gateway.callers();
    // One of these streams fills most of an engine.
    let stream_request = || {
        Request::new("POST", "/gen/x")
            .header("fireflyhoist-prompt-tokens", "80000")
            .header("fireflyhoist-max-tokens", "500")
            .body("b")
    };
    ntex::rt::spawn(async move { stream_request().send(callers).await }).detach();
    eventually(async || engines.iter().any(|engine| !engine.seen().is_empty())).await;
    let at = engines.iter().position(|engine| !engine.seen().is_empty()).expect("one runs it");
    let (source, next) = (&engines[at], &engines[1 - at]);
    registry.put(source.draining());
    let moving = |seen: &Seen| seen.line().starts_with("POST /v1/runs/r-1/move");
    eventually(async || source.seen().iter().any(moving)).await;
    ntex::rt::spawn(async move { stream_request().send(callers).await }).detach();
    tokio::time::sleep(TRANSFER_TIME / 2).await;
    // The first stream may have requested a backup copy there that was not made.
    let new = |seen: &Seen| seen.header("fireflyhoist-copy").is_none();
    assert!(!next.seen().iter().any(new), "{:?}", next.seen());
}
