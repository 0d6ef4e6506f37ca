//! Completeness of streamed answers when links, engines or entries fail.

mod support;

use fireflyhoist_harness::{Ended, Transcript, client};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::engine::Engine;
use fireflyhoist_standin::fault::{Fault, Order};
use fireflyhoist_standin::script::Script;
use fireflyhoist_wire::caller::{LAST_EVENT_HEADER, RESUME_HEADER, WORKSPACE_HEADER};
use fireflyhoist_wire::problem::{Problem, Ran};
use support::{Fleet, completion, engine, expected, text};
use yare::parameterized;

const PROMPT: &str = "the Hansa lines=15";
const SALTED: &str = "the Hansa tokens=60 salt";

fn once(fault: Fault) -> Option<Order> {
    Some(Order { fault, times: Some(1) })
}

fn always(fault: Fault) -> Option<Order> {
    Some(Order { fault, times: None })
}

/// The link to the engine is cut or goes silent during a streamed answer. Without a resume the
/// answer would end there or never end.
#[parameterized(
    cut_before_the_first = { "live", Fault::Cut { at: 0 } },
    cut_midway = { "live", Fault::Cut { at: 30 } },
    cut_before_the_last = { "live", Fault::Cut { at: 59 } },
    cut_before_the_end_mark = { "live", Fault::Cut { at: 60 } },
    silent_before_the_first = { "live", Fault::Silent { at: 0 } },
    silent_midway = { "live", Fault::Silent { at: 30 } },
    silent_before_the_end_mark = { "live", Fault::Silent { at: 60 } },
    whole_cut_midway = { "whole", Fault::Cut { at: 30 } },
    whole_silent_midway = { "whole", Fault::Silent { at: 30 } },
    reply_lost = { "live", Fault::LoseReply },
)]
#[test_macro(ntex::test)]
async fn a_broken_link_is_replaced_and_the_generation_resumes(delivery: &str, fault: Fault) {
    let (one, engine) = engine();
    let mut fleet = Fleet::open(&text(delivery, 5_000, &[one.address()]));
    let entry = fleet.daemon("brno-1").await;
    engine.set_fault(once(fault));
    let mut got = Transcript::default();
    let ended = got.ask(&client().await, entry.http_address(), &completion(SALTED), "").await;
    assert!(matches!(ended, Ended::Whole), "{ended:?}");
    assert_eq!(engine.started(), 1, "one generation ran");
    let generation: Generation = got.generation.as_deref().expect("one").parse().expect("id");
    assert_eq!(got.text(), Script::of(SALTED, generation, u64::MAX).text());
}

/// The engine dies in the middle of an answer with `whole` delivery, which the entry holds until it
/// is complete. The caller must receive a complete answer with tokens of a single generation.
#[ntex::test]
async fn a_whole_answer_survives_the_death_of_its_engine() {
    let (one, first) = engine();
    let (two, second) = engine();
    let mut fleet = Fleet::open(&text("whole", 5_000, &[one.address(), two.address()]));
    let entry = fleet.daemon("brno-1").await;
    let client = client().await;
    let address = entry.http_address();
    first.set_fault(always(Fault::Stall { at: 20 }));
    second.set_fault(always(Fault::Stall { at: 20 }));
    let request = ntex::rt::spawn(async move {
        let mut got = Transcript::default();
        let ended = got.ask(&client, address, &completion(SALTED), "").await;
        (got, ended)
    });
    until(|| first.started() + second.started() == 1).await;
    let (dead, alive) = if first.started() == 1 { (&one, &second) } else { (&two, &first) };
    alive.set_fault(None);
    dead.kill().await;
    let (got, ended) = request.await.expect("the task ends");
    assert!(matches!(ended, Ended::Whole), "{ended:?}");
    assert_eq!(got.restarts, 0);
    let generation: Generation = got.generation.as_deref().expect("one").parse().expect("id");
    assert_eq!(got.text(), Script::of(SALTED, generation, u64::MAX).text());
}

/// The engine dies after tokens of a `live` answer reached the caller. Tokens of a second
/// generation could contradict them, so the stream ends with a typed error, or restarts if the
/// caller declared that it supports restarts.
#[parameterized(
    interrupted = { "", false },
    restarted = { "restart, resume", true },
)]
#[test_macro(ntex::test)]
async fn engine_death_after_the_first_token_interrupts_or_restarts(accept: &str, restarts: bool) {
    let (one, first) = engine();
    let (two, second) = engine();
    let mut fleet = Fleet::open(&text("live", 5_000, &[one.address(), two.address()]));
    let entry = fleet.daemon("oslo-1").await;
    let client = client().await;
    let address = entry.http_address();
    for engine in [&first, &second] {
        engine.set_fault(always(Fault::Stall { at: 20 }));
    }
    let accept = accept.to_owned();
    let request = ntex::rt::spawn(async move {
        let mut got = Transcript::default();
        let ended = got.ask(&client, address, &completion(SALTED), &accept).await;
        (got, ended)
    });
    let streamed = |engine: &Engine| engine.carried_max() >= 20;
    until(|| streamed(&first) || streamed(&second)).await;
    // Gives the tokens time to reach the caller before the engine dies.
    ntex::time::sleep(std::time::Duration::from_millis(50)).await;
    let (dead, alive) = if first.started() == 1 { (&one, &second) } else { (&two, &first) };
    alive.set_fault(None);
    dead.kill().await;
    let (got, ended) = request.await.expect("the task ends");
    match (restarts, ended) {
        (true, Ended::Whole) => {
            assert_eq!(got.restarts, 1);
            let generation: Generation =
                got.generation.as_deref().expect("one").parse().expect("id");
            assert_eq!(got.text(), Script::of(SALTED, generation, u64::MAX).text());
        }
        (false, Ended::Failed(problem)) => {
            assert_eq!(problem.kind, "interrupted");
            assert_eq!(problem.ran, Ran::Unknown);
            assert_eq!(got.texts.len(), 20);
        }
        (_, ended) => panic!("{ended:?}"),
    }
}

/// An engine refuses the request, or is unreachable, before any token was sent to the caller: the
/// request fails over to another engine, invisibly to the caller.
#[parameterized(
    refused = { false },
    unreachable = { true },
)]
#[test_macro(ntex::test)]
async fn failure_before_the_first_token_fails_over(unreachable: bool) {
    let (one, first) = engine();
    let (two, second) = engine();
    let mut fleet = Fleet::open(&text("live", 5_000, &[one.address(), two.address()]));
    let entry = fleet.daemon("oslo-1").await;
    let client = client().await;
    match unreachable {
        true => one.kill().await,
        false => first.set_fault(always(Fault::Refuse)),
    }
    for n in 0..4 {
        let prompt = format!("{PROMPT} {n}");
        let mut got = Transcript::default();
        let ended = got.ask(&client, entry.http_address(), &completion(&prompt), "").await;
        assert!(matches!(ended, Ended::Whole), "{ended:?}");
        assert_eq!(got.text(), expected(&prompt));
    }
    assert_eq!(first.started(), 0);
    assert_eq!(second.started(), 4);
}

/// The only engine runs the request, but its reply is lost. There is no other engine, so the
/// request is refused; a refusal that claims the request did not run would make the caller repeat
/// it.
#[ntex::test]
async fn refusal_after_a_lost_reply_reports_an_unknown_run() {
    let (one, engine) = engine();
    let mut fleet = Fleet::open(&text("live", 5_000, &[one.address()]));
    let entry = fleet.daemon("oslo-1").await;
    engine.set_fault(always(Fault::LoseReply));
    let mut got = Transcript::default();
    let ended = got.ask(&client().await, entry.http_address(), &completion(PROMPT), "").await;
    let Ended::Refused(problem) = ended else { panic!("{ended:?}") };
    assert_eq!(problem.ran, Ran::Unknown);
    assert_eq!(engine.started(), 1);
}

/// The engine sends duplicate tokens, a token ahead of its position and one of another stream, or
/// an end mark with too low a token count. None of these may reach the caller.
#[parameterized(
    wrong_tokens = { "live", Fault::Lie { at: 10 } },
    early_end = { "whole", Fault::EndEarly { at: 10 } },
)]
#[test_macro(ntex::test)]
async fn wrong_tokens_and_end_marks_are_discarded(delivery: &str, fault: Fault) {
    let (one, faulty) = engine();
    let (two, healthy) = engine();
    let mut fleet = Fleet::open(&text(delivery, 5_000, &[one.address(), two.address()]));
    let entry = fleet.daemon("brno-1").await;
    faulty.set_fault(always(fault));
    for _ in 0..2 {
        let mut got = Transcript::default();
        let ended = got.ask(&client().await, entry.http_address(), &completion(PROMPT), "").await;
        assert!(matches!(ended, Ended::Whole), "{ended:?}");
        assert_eq!(got.text(), expected(PROMPT));
    }
    assert!(faulty.started() > 0 && healthy.started() > 0, "both engines received a request");
}

/// The caller loses its entry during an answer and presents its resume handle to another entry,
/// which must continue at the next token of the same generation.
#[parameterized(
    nothing_received = { 0 },
    midway = { 25 },
    all_but_the_end_mark = { 60 },
)]
#[test_macro(ntex::test)]
async fn another_entry_resumes_an_answer_by_its_handle(received: usize) {
    let (one, engine) = engine();
    let mut fleet = Fleet::open(&text("live", 5_000, &[one.address()]));
    let first = fleet.daemon("oslo-1").await;
    let second = fleet.daemon("oslo-2").await;
    let client = client().await;
    let mut got = Transcript { leave_after: Some(received), ..Transcript::default() };
    let ended = got.ask(&client, first.http_address(), &completion(SALTED), "").await;
    assert!(matches!(ended, Ended::Cut), "{ended:?}");
    got.leave_after = None;
    let ended = got.ask(&client, second.http_address(), &completion(SALTED), "").await;
    assert!(matches!(ended, Ended::Whole), "{ended:?}");
    assert_eq!(engine.started(), 1, "one generation ran");
    let generation: Generation = got.generation.as_deref().expect("one").parse().expect("id");
    assert_eq!(got.text(), Script::of(SALTED, generation, u64::MAX).text());
}

/// The caller disconnects for good in the middle of a long answer. The entry must cancel the
/// generation, or the engine would keep running it; it does so only after a grace period in which
/// the caller can resume at another entry.
#[ntex::test]
async fn an_abandoned_generation_is_cancelled() {
    let (one, engine) = support::paced(20_000);
    let mut fleet = Fleet::open(&text("live", 5_000, &[one.address()]));
    let entry = fleet.daemon("oslo-1").await;
    let mut got = Transcript { leave_after: Some(3), ..Transcript::default() };
    let body = completion("tokens=5000");
    let ended = got.ask(&client().await, entry.http_address(), &body, "").await;
    assert!(matches!(ended, Ended::Cut), "{ended:?}");
    until(|| engine.cancelled() == 1).await;
}

/// A caller that does not ask for a stream gets the whole text in one body.
#[ntex::test]
async fn an_unstreamed_answer_is_one_body() {
    let (one, engine) = engine();
    let mut fleet = Fleet::open(&text("live", 5_000, &[one.address()]));
    let entry = fleet.daemon("oslo-1").await;
    engine.set_fault(once(Fault::Cut { at: 7 }));
    let mut body = completion(PROMPT);
    body.stream = false;
    let url = format!("http://{}/v1/completions", entry.http_address());
    let response = client().await.post(url).send_json(&body).await.expect("sent");
    let answer: fireflyhoist_wire::caller::Answer = response.json().await.expect("an answer");
    assert_eq!(answer.choices[0].text, expected(PROMPT));
    assert_eq!(answer.choices[0].finish_reason.as_deref(), Some("stop"));
}

async fn until(mut done: impl FnMut() -> bool) {
    for _ in 0..3_000 {
        if done() {
            return;
        }
        ntex::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("the condition was not met in time");
}

/// A resume handle is altered, truncated, used for another workspace or sent with a position of
/// another answer. Accepting one would expose an answer of somebody else; each must be refused, and
/// no engine may receive a request.
#[parameterized(
    altered = { |h: &str| h.replace("~t0~", "~t1~"), "default", None, 400, "bad-handle" },
    truncated = { |h: &str| h[..60].to_owned(), "default", None, 400, "bad-handle" },
    other_workspace = { |h: &str| h.to_owned(), "bremen", None, 403, "foreign-handle" },
    other_answer = {
        |h: &str| h.to_owned(), "default", Some("00000000000000000000000000000001:5"), 400,
        "bad-position"
    },
    malformed_position = { |h: &str| h.to_owned(), "default", Some("last"), 400, "bad-position" },
)]
#[test_macro(ntex::test)]
async fn an_invalid_handle_or_position_is_refused(
    change: fn(&str) -> String,
    workspace: &str,
    last: Option<&str>,
    status: u16,
    kind: &str,
) {
    let (one, engine) = engine();
    let mut fleet = Fleet::open(&text("live", 5_000, &[one.address()]));
    let entry = fleet.daemon("oslo-1").await;
    let client = client().await;
    let mut got = Transcript { leave_after: Some(2), ..Transcript::default() };
    got.ask(&client, entry.http_address(), &completion(PROMPT), "").await;
    let handle = change(got.handle.as_deref().expect("a handle"));
    let mut request = client
        .post(format!("http://{}/v1/completions", entry.http_address()))
        .header(RESUME_HEADER, handle)
        .header(WORKSPACE_HEADER, workspace);
    if let Some(last) = last {
        request = request.header(LAST_EVENT_HEADER, last);
    }
    let response = request.send_json(&completion(PROMPT)).await.expect("sent");
    assert_eq!(response.status().as_u16(), status);
    let problem: Problem = response.json().await.expect("problem details");
    assert_eq!(problem.kind, kind);
    assert_eq!(engine.started(), 1);
}

/// An entry drains while it streams a long answer. The answer must arrive complete; new requests
/// are refused as not run, with the addresses of the entries to use.
#[parameterized(
    live = { "live" },
    whole = { "whole" },
)]
#[test_macro(ntex::test)]
async fn a_drain_cuts_no_answer(delivery: &str) {
    const LONG: &str = "the Hansa tokens=30000";
    let (one, engine) = support::paced(20);
    let mut fleet = Fleet::open(&text(delivery, 5_000, &[one.address()]));
    let leaving = fleet.daemon("brno-1").await;
    let client = client().await;
    let address = leaving.http_address();
    let asking = client.clone();
    let request = ntex::rt::spawn(async move {
        let mut got = Transcript::default();
        let ended = got.ask(&asking, address, &completion(LONG), "").await;
        (got, ended)
    });
    until(|| engine.started() == 1).await;
    let drained = ntex::rt::spawn(leaving.drain());
    let mut got = Transcript::default();
    loop {
        match got.ask(&client, address, &completion(PROMPT), "").await {
            Ended::Refused(problem) => {
                assert_eq!((problem.kind.as_str(), problem.ran), ("leaving", Ran::No));
                assert!(problem.entries.is_some(), "the refusal lists the entries");
                break;
            }
            ended => assert!(matches!(ended, Ended::Whole), "{ended:?}"),
        }
    }
    let (got, ended) = request.await.expect("the task ends");
    assert!(matches!(ended, Ended::Whole), "{ended:?}");
    assert_eq!(got.texts.len(), 30_000);
    drained.await.expect("drained");
}
