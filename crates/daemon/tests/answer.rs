//! One whole answer from one generation, whatever happens to links and engines.

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

/// A coordinator watches a roster arrive. A link to the engine is cut or goes silent in the
/// middle. Without a resume the roster would end there, or hang for good.
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
async fn a_broken_link_is_replaced_and_the_same_generation_goes_on(delivery: &str, fault: Fault) {
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

/// A page is held until it is complete. Its engine dies halfway; a member who reads the page the
/// next day must find it whole, and must not find lines of two generations in it.
#[ntex::test]
async fn a_whole_answer_outlives_its_engine() {
    let (one, first) = engine();
    let (two, second) = engine();
    let mut fleet = Fleet::open(&text("whole", 5_000, &[one.address(), two.address()]));
    let entry = fleet.daemon("brno-1").await;
    let client = client().await;
    let address = entry.http_address();
    first.set_fault(always(Fault::Stall { at: 20 }));
    second.set_fault(always(Fault::Stall { at: 20 }));
    let asked = ntex::rt::spawn(async move {
        let mut got = Transcript::default();
        let ended = got.ask(&client, address, &completion(SALTED), "").await;
        (got, ended)
    });
    until(|| first.started() + second.started() == 1).await;
    let (dead, alive) = if first.started() == 1 { (&one, &second) } else { (&two, &first) };
    alive.set_fault(None);
    dead.kill().await;
    let (got, ended) = asked.await.expect("asked");
    assert!(matches!(ended, Ended::Whole), "{ended:?}");
    assert_eq!(got.restarts, 0);
    let generation: Generation = got.generation.as_deref().expect("one").parse().expect("id");
    assert_eq!(got.text(), Script::of(SALTED, generation, u64::MAX).text());
}

/// A roster arrives live and its engine dies after the first sites were shown. Tokens of a second
/// generation could contradict them, so the caller gets a typed end, or starts anew if it said
/// that it understands that.
#[parameterized(
    told = { "", false },
    restarted = { "restart, resume", true },
)]
#[test_macro(ntex::test)]
async fn after_the_first_token_a_live_answer_ends_typed_or_restarts(accept: &str, restarts: bool) {
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
    let asked = ntex::rt::spawn(async move {
        let mut got = Transcript::default();
        let ended = got.ask(&client, address, &completion(SALTED), &accept).await;
        (got, ended)
    });
    let shown = |engine: &Engine| engine.carried_max() >= 20;
    until(|| shown(&first) || shown(&second)).await;
    // The tokens are on their way; the engine dies a little later.
    ntex::time::sleep(std::time::Duration::from_millis(50)).await;
    let (dead, alive) = if first.started() == 1 { (&one, &second) } else { (&two, &first) };
    alive.set_fault(None);
    dead.kill().await;
    let (got, ended) = asked.await.expect("asked");
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

/// An engine declines, or its host is gone, before anything was shown: the caller notices nothing.
#[parameterized(
    declines = { false },
    gone = { true },
)]
#[test_macro(ntex::test)]
async fn before_the_first_token_another_engine_answers(gone: bool) {
    let (one, first) = engine();
    let (two, second) = engine();
    let mut fleet = Fleet::open(&text("live", 5_000, &[one.address(), two.address()]));
    let entry = fleet.daemon("oslo-1").await;
    let client = client().await;
    match gone {
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

/// The only engine takes a roster, runs it and its reply is lost each time. No other engine is
/// there, so the request is refused; but to say that it was not run would be a lie, and the
/// coordinator would send a second crew.
#[ntex::test]
async fn a_refusal_after_an_engine_may_have_run_says_so() {
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

/// The engine doubles tokens, sends one that is ahead and one of another stream, or an end mark
/// that counts too few. None of it may reach the page.
#[parameterized(
    crossed = { "live", Fault::Lie { at: 10 } },
    early_end = { "whole", Fault::EndEarly { at: 10 } },
)]
#[test_macro(ntex::test)]
async fn late_crossed_and_doubled_tokens_fall(delivery: &str, fault: Fault) {
    let (one, liar) = engine();
    let (two, honest) = engine();
    let mut fleet = Fleet::open(&text(delivery, 5_000, &[one.address(), two.address()]));
    let entry = fleet.daemon("brno-1").await;
    liar.set_fault(always(fault));
    for _ in 0..2 {
        let mut got = Transcript::default();
        let ended = got.ask(&client().await, entry.http_address(), &completion(PROMPT), "").await;
        assert!(matches!(ended, Ended::Whole), "{ended:?}");
        assert_eq!(got.text(), expected(PROMPT));
    }
    assert!(liar.started() > 0 && honest.started() > 0, "both were asked");
}

/// The entry dies while a roster arrives. The coordinator's program goes to another entry with the
/// handle that it was given, and the roster goes on at the next token of the same generation.
#[parameterized(
    nothing_received = { 0 },
    midway = { 25 },
    all_but_the_end_mark = { 60 },
)]
#[test_macro(ntex::test)]
async fn any_entry_goes_on_where_another_left_off(received: usize) {
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

/// A caller goes away for good in the middle of a long answer. The engine would go on for nobody,
/// so it is told; but not before the caller has had time to come back elsewhere.
#[ntex::test]
async fn what_nobody_waits_for_is_cancelled() {
    let (one, engine) = support::paced(20_000);
    let mut fleet = Fleet::open(&text("live", 5_000, &[one.address()]));
    let entry = fleet.daemon("oslo-1").await;
    let mut got = Transcript { leave_after: Some(3), ..Transcript::default() };
    let body = completion("tokens=5000");
    let ended = got.ask(&client().await, entry.http_address(), &body, "").await;
    assert!(matches!(ended, Ended::Cut), "{ended:?}");
    until(|| engine.cancelled() == 1).await;
}

/// A caller that wants one body instead of events gets the whole text in it.
#[ntex::test]
async fn an_answer_without_events_is_one_body() {
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
    panic!("it never came about");
}

/// Somebody changes a handle, uses it for another workspace or sends a position of another answer,
/// to read a page that is not theirs. Each is refused with a remedy and no engine is asked.
#[parameterized(
    changed = { |h: &str| h.replace("~t0~", "~t1~"), "default", None, 400, "bad-handle" },
    cut_short = { |h: &str| h[..60].to_owned(), "default", None, 400, "bad-handle" },
    foreign = { |h: &str| h.to_owned(), "bremen", None, 403, "foreign-handle" },
    crossed = {
        |h: &str| h.to_owned(), "default", Some("00000000000000000000000000000001:5"), 400,
        "bad-position"
    },
    no_position = { |h: &str| h.to_owned(), "default", Some("last"), 400, "bad-position" },
)]
#[test_macro(ntex::test)]
async fn a_handle_that_does_not_belong_is_refused(
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

/// A host is being replaced while a long page is on its way to a member on a slow line. The page
/// arrives whole; new work is refused meanwhile, truthfully and with the addresses to use.
#[parameterized(
    live = { "live" },
    whole = { "whole" },
)]
#[test_macro(ntex::test)]
async fn a_drain_cuts_nothing(delivery: &str) {
    const LONG: &str = "the Hansa tokens=30000";
    let (one, engine) = support::paced(20);
    let mut fleet = Fleet::open(&text(delivery, 5_000, &[one.address()]));
    let leaving = fleet.daemon("brno-1").await;
    let client = client().await;
    let address = leaving.http_address();
    let asking = client.clone();
    let asked = ntex::rt::spawn(async move {
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
                assert!(problem.entries.is_some(), "the list comes along");
                break;
            }
            ended => assert!(matches!(ended, Ended::Whole), "{ended:?}"),
        }
    }
    let (got, ended) = asked.await.expect("asked");
    assert!(matches!(ended, Ended::Whole), "{ended:?}");
    assert_eq!(got.texts.len(), 30_000);
    drained.await.expect("drained");
}
