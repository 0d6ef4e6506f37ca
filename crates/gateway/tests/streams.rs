//! Every token once, in order and from one generation, whatever becomes of its engine.

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

const PAGE: Kind = Kind::Stream { resumable: false };
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

/// The entry collects a page and hands it over at its end: a supervisor watches nothing arrive.
#[ntex::test]
async fn events_go_on_as_they_come() {
    let registry = registry(PAGE).await;
    let script = |_: &Seen| vec![stream_head(), event(1), pause(600), event(2), stream_end()];
    let engine = Standin::open("e-1", "gen", script).await;
    registry.put(engine.listed.clone());
    let gateway = gateway(&registry).await;
    let mut caller = Request::stream("/gen/x", 20).body("b").open(gateway.callers()).await;
    let began = tokio::time::Instant::now();
    let mut got = String::new();
    while !got.contains("id: 1\n") {
        let mut bytes = [0; 1024];
        let read = tokio::io::AsyncReadExt::read(&mut caller, &mut bytes).await.expect("bytes");
        assert!(read > 0, "{got}");
        got.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    assert!(!got.contains("id: 2"), "{got}");
}

/// An engine ends in the middle of a page, and the page looks finished: a line of passengers is
/// missing and nobody knows. What is broken off never ends like a whole answer, half an event is
/// never shown, and no second answer is written into the first.
#[ntex::test]
async fn a_page_that_breaks_off_does_not_look_whole() {
    let registry = registry(PAGE).await;
    let half = Step::Write("d\r\nid: 3\ndata: t\r\n".to_owned());
    let script = move |_: &Seen| {
        vec![stream_head(), event(1), event(2), half.clone(), pause(50), Step::Reset]
    };
    let engine = Standin::open("e-1", "gen", script).await;
    registry.put(engine.listed.clone());
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert_eq!((answer.status, answer.body), (200, events(1, 2)));
    assert!(!answer.whole);
    assert_eq!(answer.surplus, 0);
}

/// A village is mapped half and then never: the engine broke off, and the kind of request may be
/// taken up by another. It goes on after the last event, within the answer that has begun.
#[ntex::test]
async fn a_resumable_answer_goes_on_at_another_engine() {
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

/// Guards against a refusal that says not run after an attempt that broke off and may have run.
#[ntex::test]
async fn a_refusal_after_a_run_that_broke_off_does_not_say_that_none_ran() {
    let registry = registry(RESUMABLE).await;
    let count = Arc::new(AtomicUsize::new(0));
    for name in ["e-1", "e-2"] {
        let count = Arc::clone(&count);
        let script = move |_: &Seen| match count.fetch_add(1, Ordering::SeqCst) {
            0 => vec![Step::Reset],
            _ => declined(),
        };
        registry.put(Standin::open(name, "gen", script).await.listed);
    }
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert_eq!((answer.status, count.load(Ordering::SeqCst)), (502, 2), "{answer:?}");
    assert!(!answer.body.contains("\"ran\":\"no\""), "{answer:?}");
}

/// An engine is cut off, crashes and starts again under its name. The entry's connection to the run
/// of before stays open and silent, and its caller would wait until its time is up. The newer start
/// tells that the run is gone, so the answer goes on at another engine at once.
#[ntex::test]
async fn an_answer_leaves_a_run_whose_engine_has_started_again() {
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

/// An engine crashes in the middle of a long page. Another keeps a copy of it, made as it grew, and
/// the page goes on from there: the caller sees each event once.
#[ntex::test]
async fn a_page_goes_on_from_its_copy() {
    let registry = registry(PAGE).await;
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
    let backup = first.header("fireflyhoist-backup").expect("a copy is asked for");
    let second =
        seen.iter().find(|seen| seen.header("fireflyhoist-copy").is_some()).expect("a run");
    assert_eq!(second.header("fireflyhoist-copy"), Some(format!("{backup}/r-1").as_str()));
}

/// An engine that is taken back: its page is copied while it goes on, stopped, and goes on at the
/// engine that has the copy. Events that the first made meanwhile are not shown twice. A caller that
/// had guessed a short answer loses it no more than others: guesses are often far off.
#[parameterized(
    as_guessed = { "500" },
    longer_than_guessed = { "10" },
)]
#[test_macro(ntex::test)]
async fn a_page_moves_when_its_engine_leaves(guess: &str) {
    let registry = registry(PAGE).await;
    let mut engines = Vec::new();
    let moves = Arc::new(AtomicUsize::new(0));
    for name in ["e-1", "e-2"] {
        let moves = Arc::clone(&moves);
        let script = move |seen: &Seen| {
            if seen.line().starts_with("POST /v1/runs/r-1/move") {
                let asked: Move = serde_json::from_str(&seen.body).expect("a move");
                let nth = moves.fetch_add(1, Ordering::SeqCst);
                assert_eq!(asked.last, nth == 1, "first a copy, then the rest");
                let copied = Copied { copy: Some("c-7".into()) };
                return answer(200, &serde_json::to_string(&copied).expect("JSON"));
            }
            match (seen.header("fireflyhoist-copy"), seen.header("last-event-id")) {
                (Some(copy), Some(last)) => {
                    assert!(copy.ends_with("/c-7"), "{copy}");
                    let last: u64 = last.parse().expect("a number");
                    // The copy is a little older than what was delivered.
                    run(last.saturating_sub(1).max(1), 60, stream_end())
                }
                _ => run(1, 500, stream_end()),
            }
        };
        engines.push(Standin::open(name, "gen", script).await);
    }
    engines.iter().for_each(|engine| registry.put(engine.listed.clone()));
    let gateway = gateway(&registry).await;
    // Too large for a copy ahead, so that it has to be moved.
    let request = Request::new("POST", "/gen/x")
        .header("fireflyhoist-prompt-tokens", "60000")
        .header("fireflyhoist-max-tokens", "500")
        .header("fireflyhoist-expected-tokens", guess)
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

/// A full engine says that it has not run a page. The route allows one attempt, so the caller is
/// told at once that nothing ran, and when to come back.
#[ntex::test]
async fn a_declined_page_is_refused_truly() {
    let registry = Registry::open().await;
    let mut single = route("gen", PAGE);
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

/// A page that has begun passes its route's timeout: it is broken off there, visibly.
#[ntex::test]
async fn a_page_is_broken_off_at_its_routes_timeout() {
    let registry = Registry::open().await;
    let mut short = route("gen", PAGE);
    short.timeout = Duration::from_millis(400);
    registry.publish(text(1, vec![short]));
    let engine = Standin::open("e-1", "gen", |_| run(1, 500, stream_end())).await;
    registry.put(engine.listed.clone());
    let gateway = gateway(&registry).await;
    let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
    assert!(answer.status == 200 && !answer.whole, "{answer:?}");
    assert!(answer.took < Duration::from_millis(900), "{:?}", answer.took);
}

/// Engines fail in the middle of every answer, each answer is begun again and again, and the load
/// keeps them failing. A run that begins anew counts as an attempt of its route, and draws on the
/// budget that bounds repeats.
#[ntex::test]
async fn an_answer_is_begun_anew_no_more_often_than_its_route_allows() {
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
    assert_eq!(engines.iter().map(|engine| engine.seen().len()).sum::<usize>(), 2);
}

/// A member closes a page that is half there, and its engine, which is between two tokens, goes on
/// generating for nobody: nothing is written to the caller that could fail. The engine's connection
/// closes as soon as the caller's does.
#[ntex::test]
async fn an_engine_is_told_when_the_caller_leaves_between_two_events() {
    let registry = registry(PAGE).await;
    let script = |_: &Seen| vec![stream_head(), event(1), Step::Hang];
    let engine = Standin::open("e-1", "gen", script).await;
    registry.put(engine.listed.clone());
    let gateway = gateway(&registry).await;
    let mut caller = Request::stream("/gen/x", 20).body("b").open(gateway.callers()).await;
    let mut got = String::new();
    while !got.contains("id: 1\n") {
        let mut bytes = [0; 1024];
        let read = tokio::io::AsyncReadExt::read(&mut caller, &mut bytes).await.expect("bytes");
        assert!(read > 0, "{got}");
        got.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    let left = tokio::time::Instant::now();
    drop(caller);
    eventually(async || !engine.closed().is_empty()).await;
    assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
}

/// Who tells that an engine is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    Registry,
    /// The engine's own report; the registry hangs.
    Report,
}

/// Plays a page at an engine that is taken back, of which one copy is made; `rest` answers the call
/// that stops the run. Returns the caller's answer and all that both engines saw.
async fn taken_back(
    notice: Notice,
    rest: impl Fn() -> Vec<Step> + Clone + Send + Sync + 'static,
    end: Step,
) -> (support::caller::Answer, Vec<Seen>) {
    let leaving = Arc::new(parking_lot::Mutex::new(None::<String>));
    // A registry that hangs is noticed within two seconds.
    let whole = if notice == Notice::Report { 160 } else { 40 };
    let registry = registry(PAGE).await;
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        let (rest, end, leaving) = (rest.clone(), end.clone(), Arc::clone(&leaving));
        let script = move |seen: &Seen| {
            if seen.line().starts_with("GET /v1/report") {
                let leaving = leaving.lock().as_deref() == Some(name);
                return answer(200, &serde_json::to_string(&Report { leaving }).expect("JSON"));
            }
            if seen.line().starts_with("POST /v1/runs/r-1/move") {
                let asked: Move = serde_json::from_str(&seen.body).expect("a move");
                let copied = Copied { copy: Some("c-1".into()) };
                return match asked.last {
                    true => rest(),
                    false => answer(200, &serde_json::to_string(&copied).expect("JSON")),
                };
            }
            if seen.line().starts_with("DELETE") {
                return answer(200, "");
            }
            match (seen.header("fireflyhoist-copy"), seen.header("last-event-id")) {
                // No copy was made as it grew.
                (Some(copy), _) if copy.ends_with("/r-1") => declined(),
                (Some(_), Some(last)) => {
                    run(last.parse::<u64>().expect("a number") + 1, whole, stream_end())
                }
                _ => run(1, whole - 10, end.clone()),
            }
        };
        engines.push(Standin::open(name, "gen", script).await);
    }
    engines.iter().for_each(|engine| registry.put(engine.listed.clone()));
    let gateway = gateway(&registry).await;
    let callers = gateway.callers();
    // Too large for a copy ahead, so that it has to be moved.
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

/// A volunteer scans a page again although its memory was safe: the engine that was taken back had
/// copied it, and was gone when the run was to be stopped for the rest. The page goes on from the
/// part, and the next engine reads what that lacks.
#[ntex::test]
async fn a_page_goes_on_from_the_part_that_was_copied() {
    let (answer, seen) = taken_back(Notice::Registry, || vec![Step::Reset], Step::Reset).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 40), true));
    let copies: Vec<&str> = seen.iter().filter_map(|s| s.header("fireflyhoist-copy")).collect();
    assert!(copies.iter().any(|copy| copy.ends_with("/c-1")), "{copies:?}");
    assert!(!seen.iter().any(|seen| seen.line().starts_with("DELETE")));
}

/// Pages are refused by engines with room: copies of answers that ended while they were moved keep
/// it for seconds. The engine is told that the copy is not needed.
#[ntex::test]
async fn a_copy_that_nobody_needs_is_freed() {
    let (answer, seen) = taken_back(Notice::Registry, || answer(404, "{}"), stream_end()).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 30), true));
    let freed = seen.iter().any(|seen| seen.line().starts_with("DELETE /v1/copies/c-1"));
    assert!(freed, "{seen:?}");
}

/// Every page on an engine is cut two seconds after a notice that nobody could read: the registry
/// was away while the engine was taken back. The engine says so itself, and is asked.
#[ntex::test]
async fn a_page_leaves_an_engine_whose_notice_cannot_be_read() {
    let copied = || {
        let copied = Copied { copy: Some("c-2".into()) };
        answer(200, &serde_json::to_string(&copied).expect("JSON"))
    };
    let (answer, seen) = taken_back(Notice::Report, copied, Step::Reset).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 160), true));
    let copies: Vec<&str> = seen.iter().filter_map(|s| s.header("fireflyhoist-copy")).collect();
    assert!(copies.iter().any(|copy| copy.ends_with("/c-2")), "{copies:?}");
}

/// A page begins seconds late beside an engine that seemed empty: the memory of another page was on
/// its way there, which only the engine knew. The entry that moves it counts it there from the
/// first call on, so the new page waits at the entry and could still go elsewhere.
#[ntex::test]
async fn no_page_is_sent_where_the_memory_of_another_is_on_its_way() {
    const UNDER_WAY: Duration = Duration::from_millis(1_500);
    let registry = registry(PAGE).await;
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        let script = move |seen: &Seen| {
            if seen.line().starts_with("POST /v1/runs/r-1/move") {
                let copied = Copied { copy: Some("c-1".into()) };
                let reply = answer(200, &serde_json::to_string(&copied).expect("JSON"));
                return [vec![Step::Wait(UNDER_WAY)], reply].concat();
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
    // One of them fills most of an engine.
    let page = || {
        Request::new("POST", "/gen/x")
            .header("fireflyhoist-prompt-tokens", "80000")
            .header("fireflyhoist-max-tokens", "500")
            .body("b")
    };
    ntex::rt::spawn(async move { page().send(callers).await }).detach();
    eventually(async || engines.iter().any(|engine| !engine.seen().is_empty())).await;
    let at = engines.iter().position(|engine| !engine.seen().is_empty()).expect("one runs it");
    let (source, next) = (&engines[at], &engines[1 - at]);
    registry.put(source.draining());
    let moving = |seen: &Seen| seen.line().starts_with("POST /v1/runs/r-1/move");
    eventually(async || source.seen().iter().any(moving)).await;
    ntex::rt::spawn(async move { page().send(callers).await }).detach();
    tokio::time::sleep(UNDER_WAY / 2).await;
    // The first page may have asked for a copy there that was not made.
    let new = |seen: &Seen| seen.header("fireflyhoist-copy").is_none();
    assert!(!next.seen().iter().any(new), "{:?}", next.seen());
}
