//! Answers with neither a length nor chunks, which end with their connection.

mod support;

use std::time::Duration;

use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::{Answer, Request};
use support::target::{Seen, Standin, Step, answer, events};
use support::{gateway, route, text};
use yare::parameterized;

const STREAM: Kind = Kind::Stream { resumable: false };
const RESUMABLE: Kind = Kind::Stream { resumable: true };

fn write(text: impl Into<String>) -> Step {
    Step::Write(text.into())
}

fn head(version: &str) -> Step {
    write(format!(
        "HTTP/{version} 200 OK\r\nfireflyhoist-request: r-1\r\ncontent-type: text/event-stream\r\n\r\n"
    ))
}

fn pause() -> Step {
    Step::Wait(Duration::from_millis(50))
}

async fn ask(kind: Kind, scripts: Vec<Vec<Step>>) -> Answer {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![Route { attempts: 3, ..route("gen", kind) }]));
    // The engines share the scripts: the first one asked runs the first.
    let scripts = std::sync::Arc::new(parking_lot::Mutex::new(scripts));
    for name in ["e-1", "e-2"] {
        let scripts = std::sync::Arc::clone(&scripts);
        let script = move |seen: &Seen| match seen.line().contains("/gen/") {
            true => scripts.lock().remove(0),
            false => answer(200, "{}"),
        };
        registry.put(Standin::open(name, "gen", script).await.listed);
    }
    let gateway = gateway(&registry).await;
    Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await
}

/// Guards against a stream that is taken for broken off, or buffered, because its end is that of its
/// connection.
#[parameterized(
    http_1_1 = { "1.1" },
    http_1_0 = { "1.0" },
)]
#[test_macro(ntex::test)]
async fn a_stream_that_ends_with_its_connection_is_whole(version: &str) {
    let answer =
        ask(STREAM, vec![vec![head(version), write(events(1, 3)), pause(), write(events(4, 4))]])
            .await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 4), true));
}

/// Guards against a stream that looks complete though it was broken off: within a line, between the
/// lines of an event, or by a reset.
#[parameterized(
    within_a_line = { &[write("id: 3\nda")] },
    between_lines = { &[write("id: 3\n")] },
    before_the_blank_line = { &[write("id: 3\ndata: t3\n")] },
    reset_between_events = { &[Step::Reset] },
    reset_within_an_event = { &[write("id: 3\nda"), pause(), Step::Reset] },
)]
#[test_macro(ntex::test)]
async fn a_stream_that_is_broken_off_does_not_look_whole(end: &[Step]) {
    let mut script = vec![head("1.1"), write(events(1, 2)), pause()];
    script.extend_from_slice(end);
    let answer = ask(STREAM, vec![script]).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 2), false));
}

/// Guards against a stream without an event that looks whole, where its engine ended on beginning to
/// write.
#[ntex::test]
async fn a_stream_that_ends_after_its_head_does_not_look_whole() {
    let answer = ask(STREAM, vec![vec![head("1.1"), pause()]]).await;
    assert!(!answer.whole, "{answer:?}");
}

/// Guards against losing a stream that another engine may go on with, and against joining half an
/// event to the next run.
#[parameterized(
    after_the_head = { &[], 0 },
    reset_after_the_head = { &[Step::Reset], 0 },
    within_a_line = { &[write("id: 3\nda")], 2 },
    between_lines = { &[write("id: 3\n")], 2 },
    reset_between_events = { &[Step::Reset], 2 },
)]
#[test_macro(ntex::test)]
async fn a_stream_that_is_broken_off_goes_on_elsewhere(end: &[Step], written: u64) {
    let mut first = vec![head("1.1")];
    if written > 0 {
        first.push(write(events(1, written)));
    }
    first.push(pause());
    first.extend_from_slice(end);
    let second = vec![head("1.0"), write(events(written + 1, 5)), pause()];
    let answer = ask(RESUMABLE, vec![first, second]).await;
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 5), true));
}

/// Guards against a large answer without a length that is cut short behind a slow link, and against
/// one that is broken off and looks whole.
#[parameterized(
    whole = { false },
    reset = { true },
)]
#[test_macro(ntex::test)]
async fn a_large_answer_ends_with_its_connection(reset: bool) {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![Route { attempts: 1, ..route("web", Kind::Unsafe) }]));
    let part = "x".repeat(64 << 10);
    let script = move |_: &Seen| {
        let mut steps = vec![write("HTTP/1.1 200 OK\r\nfireflyhoist-request: r-1\r\n\r\n")];
        for _ in 0..8 {
            steps.extend([write(part.clone()), Step::Wait(Duration::from_millis(30))]);
        }
        steps.extend(reset.then_some(Step::Reset));
        steps
    };
    registry.put(Standin::open("t-1", "web", script).await.listed);
    let gateway = gateway(&registry).await;
    let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    match reset {
        true => assert_eq!(answer.status, 502, "{:?}", answer.body.len()),
        false => {
            assert_eq!((answer.status, answer.body.len(), answer.whole), (200, 512 << 10, true))
        }
    }
}
