//! Engines that act late on a call to stop a run.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::native::{COPY_HEADER, Copied, Move};
use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Seen, Standin, Step, answer, declined, events};
use support::{eventually, gateway, route, text};
use tokio::task::spawn_local;

fn head() -> Step {
    let head = "HTTP/1.1 200 OK\r\nfireflyhoist-request: r-1\r\ncontent-type: text/event-stream";
    Step::Write(format!("{head}\r\n\r\n"))
}

fn event(id: u64) -> [Step; 2] {
    [Step::Write(events(id, id)), Step::Wait(Duration::from_millis(50))]
}

/// Runs the first generation until it is told to stop, which it leaves unanswered; what resumes from a
/// copy is closed after two events.
fn reply(seen: &Seen, is_told: &Arc<AtomicBool>) -> Vec<Step> {
    let line = seen.line();
    if line.contains("/v1/report") {
        return answer(200, "{}");
    }
    if line.contains("/move") {
        let request: Move = serde_json::from_str(&seen.body).expect("a move");
        let was_told = is_told.fetch_or(request.last, Ordering::SeqCst);
        let copied = Copied { copy: Some("c-1".into()) };
        return match request.last {
            true => vec![Step::Reset],
            false if was_told => answer(503, "{}"),
            false => answer(200, &serde_json::to_string(&copied).expect("JSON")),
        };
    }
    if line.starts_with("DELETE") {
        return answer(200, "");
    }
    match seen.header(COPY_HEADER) {
        Some(_) if !is_told.load(Ordering::SeqCst) => declined(),
        Some(_) => [vec![head()], event(4).to_vec(), event(5).to_vec()].concat(),
        None => {
            let is_told = Arc::clone(is_told);
            let told = Step::Until(Arc::new(move || is_told.load(Ordering::SeqCst)));
            let begun = [event(1), event(2), event(3)].concat();
            [vec![head()], begun, vec![told, Step::Hang]].concat()
        }
    }
}

/// Guards against a stream given as complete that its engine stopped for a call of the run before, which
/// it had left unanswered.
#[ntex::test]
async fn a_run_stopped_by_an_earlier_call_does_not_look_whole() {
    let registry = Registry::open().await;
    let mut text = text(1, vec![route("gen", Kind::Stream { resumable: false })]);
    text.services[0].engine.as_mut().expect("a service of engines").backups = false;
    registry.publish(text);
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        let is_told = Arc::default();
        let engine = Standin::open(name, "gen", move |seen| reply(seen, &is_told)).await;
        registry.put(engine.listed.clone());
        engines.push(engine);
    }
    let entry = gateway(&registry).await;
    let callers = entry.callers();
    let request = Request::stream("/gen/x", 500).body("b");
    let answered = spawn_local(async move { request.send(callers).await });
    let runs = |engine: &Standin| engine.seen().iter().any(|seen| seen.line().contains("/gen/"));
    eventually(async || engines.iter().any(runs)).await;
    registry.put(engines.iter().find(|engine| runs(engine)).expect("one").draining());
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 5), false));
}
