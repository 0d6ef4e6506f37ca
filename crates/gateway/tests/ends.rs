//! Ends of streams and connections that are not the end of the answer.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::lease::{Start, Target};
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use parking_lot::Mutex;
use support::caller::{Answer, Request};
use support::engines::report;
use support::forwarder::{Forwarder, Mode};
use support::proxy::Proxy;
use support::target::{Seen, Standin, Step, answer, event, events, stream_end, stream_head};
use support::{eventually, gateway, route, settings, text, until_ready};
use tokio::time::sleep;
use yare::parameterized;

const STREAM: Kind = Kind::Stream { resumable: false };
const RESUMABLE: Kind = Kind::Stream { resumable: true };

fn write(text: impl Into<String>) -> Step {
    Step::Write(text.into())
}

/// The head of an answer with these fields beside its id.
fn head(fields: &str) -> Step {
    write(format!("HTTP/1.1 200 OK\r\nfireflyhoist-request: r-1\r\n{fields}\r\n"))
}

fn unframed() -> Step {
    head("content-type: text/event-stream\r\n")
}

fn pause() -> Step {
    Step::Wait(Duration::from_millis(50))
}

/// What an engine says of itself once it has got a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// It answers with this start.
    Started(u64),
    /// It closes the connection without an answer.
    Closes,
    /// It does not answer.
    Hangs,
}

/// An entry before two engines, of which the first one asked runs the first script.
struct Engines {
    entry: Gateway,
    engines: Vec<Standin>,
    _registry: Registry,
}

impl Engines {
    async fn open(kind: Kind, asked: Asked, scripts: Vec<Vec<Step>>) -> Self {
        let registry = Registry::open().await;
        registry.publish(text(1, vec![Route { attempts: 3, ..route("gen", kind) }]));
        let scripts = Arc::new(Mutex::new(scripts));
        let mut engines = Vec::new();
        for name in ["e-1", "e-2"] {
            let scripts = Arc::clone(&scripts);
            let has_run = AtomicBool::new(false);
            let script = move |seen: &Seen| {
                if seen.line().contains("/gen/") {
                    has_run.store(true, Ordering::SeqCst);
                    return scripts.lock().remove(0);
                }
                match asked {
                    Asked::Started(start) if has_run.load(Ordering::SeqCst) => report(start),
                    Asked::Closes if has_run.load(Ordering::SeqCst) => Vec::new(),
                    Asked::Hangs if has_run.load(Ordering::SeqCst) => vec![Step::Hang],
                    _ => report(1),
                }
            };
            let engine = Standin::open(name, "gen", script).await;
            registry.put(Target { start: Some(Start::new(1)), ..engine.listed.clone() });
            engines.push(engine);
        }
        Self { entry: gateway(&registry).await, engines, _registry: registry }
    }

    async fn ask(&self, limit: u64) -> Answer {
        Request::stream("/gen/x", limit).body("b").send(self.entry.callers()).await
    }

    /// Returns how often the engines were asked for a report.
    fn reports(&self) -> usize {
        let seen = self.engines.iter().flat_map(Standin::seen);
        seen.filter(|seen| seen.line().contains("/v1/report")).count()
    }
}

/// The start of a stream of which an engine writes a part.
fn begun() -> Vec<Step> {
    vec![unframed(), write(events(1, 3)), pause()]
}

/// Guards against a stream that looks complete although its engine was killed between two events: the
/// system closes the connections of a killed process in order.
#[parameterized(
    killed = { Asked::Started(1), &[Step::Exit] },
    closes_connections = { Asked::Closes, &[] },
    has_restarted = { Asked::Started(2), &[] },
)]
#[test_macro(ntex::test)]
async fn a_stream_whose_engine_has_ended_does_not_look_whole(asked: Asked, end: &[Step]) {
    let script = [begun(), end.to_vec()].concat();
    let engines = Engines::open(STREAM, asked, vec![script]).await;
    let answer = engines.ask(20).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 3), false));
}

/// Guards against a stream that ends early where it may go on elsewhere after its engine was killed
/// between two events.
#[parameterized(
    killed = { RESUMABLE, 20, Asked::Started(1), &[Step::Exit] },
    closes_connections = { RESUMABLE, 20, Asked::Closes, &[] },
    killed_with_a_backup = { STREAM, 500, Asked::Started(1), &[Step::Exit] },
)]
#[test_macro(ntex::test)]
async fn a_stream_whose_engine_has_ended_goes_on(
    kind: Kind,
    limit: u64,
    asked: Asked,
    end: &[Step],
) {
    let first = [begun(), end.to_vec()].concat();
    let second = vec![stream_head(), event(4), event(5), stream_end()];
    let engines = Engines::open(kind, asked, vec![first, second]).await;
    let answer = engines.ask(limit).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 5), true));
}

/// Guards against a complete stream that is cut, held back or costs calls where its end is known.
#[parameterized(
    the_engine_answers = { unframed(), 20, Asked::Started(1), 1 },
    the_engine_says_nothing = { unframed(), 20, Asked::Hangs, 1 },
    all_tokens_have_arrived = { unframed(), 3, Asked::Started(1), 0 },
    it_has_a_length = { head("content-length: 60\r\n"), 20, Asked::Started(1), 0 },
)]
#[test_macro(ntex::test)]
async fn a_complete_stream_is_whole(head: Step, limit: u64, asked: Asked, reports: usize) {
    let text = events(1, 3);
    let script = vec![head, write(text.clone()), write("\n".repeat(60 - text.len())), pause()];
    let engines = Engines::open(STREAM, asked, vec![script]).await;
    let answer = engines.ask(limit).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, text, true));
    assert_eq!(engines.reports(), reports);
    assert!(answer.took < Duration::from_millis(600), "it took {:?}", answer.took);
}

/// Guards against a stream that is cut after its last event, since its first engine was lost there and
/// the run that goes on has nothing left to write.
#[parameterized(
    the_engine_answers = { Asked::Started(1), true },
    the_engine_has_ended = { Asked::Closes, false },
)]
#[test_macro(ntex::test)]
async fn a_resumed_run_without_events_left_is_whole(asked: Asked, whole: bool) {
    let first = vec![unframed(), write(events(1, 3)), pause(), Step::Reset];
    let rest = || vec![unframed(), pause()];
    let engines = Engines::open(RESUMABLE, asked, vec![first, rest(), rest()]).await;
    let answer = engines.ask(20).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 3), whole));
}

/// Guards against a stream without an event that looks whole, where the head names a transfer coding
/// that does not tell the end.
#[parameterized(
    identity = { "transfer-encoding: identity\r\n" },
    gzip = { "transfer-encoding: gzip\r\n" },
    identity_and_length = { "transfer-encoding: identity\r\ncontent-length: 0\r\n" },
)]
#[test_macro(ntex::test)]
async fn a_transfer_coding_without_an_end_tells_no_end(fields: &str) {
    let script = vec![head(&format!("content-type: text/event-stream\r\n{fields}")), pause()];
    let engines = Engines::open(STREAM, Asked::Started(1), vec![script]).await;
    let answer = engines.ask(20).await;
    assert!(!answer.whole, "{answer:?}");
}

/// Guards against a plain answer that looks whole although its last chunk or a part of it is missing.
#[parameterized(
    no_last_chunk = { "transfer-encoding: chunked\r\n", "5\r\nhello\r\n", false },
    within_a_chunk = { "transfer-encoding: chunked\r\n", "9\r\nhello", false },
    chunks_and_length = { "transfer-encoding: chunked\r\ncontent-length: 5\r\n", "5\r\nhello\r\n", false },
    shorter_than_its_length = { "content-length: 9\r\n", "hello", false },
    identity_reset = { "transfer-encoding: identity\r\n", "hello", true },
    unframed_reset = { "", "hello", true },
)]
#[test_macro(ntex::test)]
async fn a_truncated_plain_answer_is_not_passed_on(fields: &str, body: &str, reset: bool) {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![Route { attempts: 1, ..route("web", Kind::Unsafe) }]));
    let mut script = vec![head(fields), write(body), pause()];
    script.extend(reset.then_some(Step::Reset));
    let target = Standin::open("t-1", "web", move |_: &Seen| script.clone()).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    assert_eq!(answer.status, 502, "{answer:?}");
}

/// How the connection through which another entry relays an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lost {
    /// The connection between the entries is closed in order.
    Link,
    /// The connection from the other entry to the target is reset.
    Target,
}

/// Guards against an answer whose end is that of its connection that looks whole, where another entry
/// relays the connection and loses it.
#[parameterized(
    stream_link = { STREAM, Lost::Link },
    stream_target = { STREAM, Lost::Target },
    call_link = { Kind::Unsafe, Lost::Link },
    call_target = { Kind::Unsafe, Lost::Target },
)]
#[test_macro(ntex::test)]
async fn an_answer_whose_relay_is_lost_does_not_look_whole(kind: Kind, lost: Lost) {
    let registry = Registry::open().await;
    let route_to = |name, kind| Route { attempts: 1, ..route(name, kind) };
    registry.publish(text(1, vec![route_to("gen", kind), route_to("other", Kind::Safe)]));
    let script = |seen: &Seen| match seen.line().contains("/gen/") {
        true => vec![unframed(), write(events(1, 3)), Step::Hang],
        false => answer(200, "{}"),
    };
    let target = Standin::open("t-1", "gen", script).await;
    registry.put(target.listed.clone());
    // An entry that reaches none of several targets uses the path of another.
    for nth in 0..8 {
        let other = Standin::open(&format!("t-other-{nth}"), "other", |_| answer(200, "")).await;
        registry.put(other.listed.clone());
    }
    let (proxy, pending) = Proxy::open();
    let (mut entries, mut forwarders) = (Vec::<Gateway>::new(), Vec::new());
    let mut pending = Some(pending);
    for nth in 0..2 {
        let seeds: Vec<_> = entries.iter().map(Gateway::peers).collect();
        let forwarder = Forwarder::open().await;
        let own = settings(&format!("entry-{nth}"), registry.address(), &seeds);
        let mut settings = Settings { forwarder: Some(forwarder.address), ..own };
        if nth == 0 {
            (settings.peers_listen, settings.peers) = (Some(settings.peers), proxy.address());
        }
        let bound = Gateway::bind::<Native>(settings, PathBuf::from("none")).await;
        let entry = bound.expect("gateway");
        if let Some(pending) = pending.take() {
            pending.forward_to(entry.peers_listen());
        }
        until_ready(&entry).await;
        entries.push(entry);
        forwarders.push(forwarder);
    }
    let known = Request::get("/v1/entries?domain=hala-a");
    for entry in &entries {
        let all = async || known.send(entry.directory()).await.body.matches("entry-").count() == 2;
        eventually(all).await;
    }
    forwarders[1].set_mode(Mode::Refuse);
    let (request, callers) = (Request::stream("/gen/x", 20).body("b"), entries[1].callers());
    let answered = tokio::task::spawn_local(async move { request.send(callers).await });
    let runs = || target.seen().iter().filter(|seen| seen.line().contains("/gen/")).count();
    eventually(async || runs() == 1).await;
    sleep(Duration::from_millis(100)).await;
    match lost {
        Lost::Link => proxy.close(),
        Lost::Target => forwarders[0].reset(),
    }
    let answer = answered.await.expect("an answer");
    match kind {
        Kind::Stream { .. } => {
            assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 3), false));
        }
        _ => assert_eq!(answer.status, 502, "{answer:?}"),
    }
}

/// Guards against a stream that looks complete where the forwarder of the host ends, which closes the
/// connections that it carries in order.
#[parameterized(
    only_target = { 0 },
    one_of_many = { 8 },
)]
#[test_macro(ntex::test)]
async fn a_stream_whose_forwarder_has_ended_does_not_look_whole(others: usize) {
    let registry = Registry::open().await;
    let route_to = |name, kind| Route { attempts: 1, ..route(name, kind) };
    registry.publish(text(1, vec![route_to("gen", STREAM), route_to("other", Kind::Safe)]));
    let script = |seen: &Seen| match seen.line().contains("/gen/") {
        true => vec![unframed(), write(events(1, 3)), Step::Hang],
        false => answer(200, "{}"),
    };
    let target = Standin::open("t-1", "gen", script).await;
    registry.put(target.listed.clone());
    for nth in 0..others {
        let other = Standin::open(&format!("t-other-{nth}"), "other", |_| answer(200, "")).await;
        registry.put(other.listed.clone());
    }
    let forwarder = Forwarder::open().await;
    let own = settings("entry-1", registry.address(), &[]);
    let settings = Settings { forwarder: Some(forwarder.address), ..own };
    let entry = Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
    until_ready(&entry).await;
    let (request, callers) = (Request::stream("/gen/x", 20).body("b"), entry.callers());
    let answered = tokio::task::spawn_local(async move { request.send(callers).await });
    eventually(async || target.seen().iter().any(|seen| seen.line().contains("/gen/"))).await;
    sleep(Duration::from_millis(100)).await;
    forwarder.set_mode(Mode::Refuse);
    forwarder.close();
    let answer = answered.await.expect("an answer");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 3), false));
}
