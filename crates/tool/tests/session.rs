//! What a caller makes of an answer that breaks off, is refused or is told twice.

use std::time::Duration;

use fireflyhoist_tool::ask::session::{Next, Session, Step};
use fireflyhoist_wire::caller::Entries;
use fireflyhoist_wire::problem::{Problem, Ran};
use fireflyhoist_wire::sse::Event;
use yare::parameterized;

fn token(generation: &str, offset: u64, text: &str) -> Event {
    let answer = serde_json::json!({
        "id": generation, "object": "text_completion", "choices": [{"index": 0, "text": text}],
    });
    Event { id: format!("{generation}:{offset}"), name: String::new(), data: answer.to_string() }
}

fn named(name: &str, data: &str) -> Event {
    Event { id: String::new(), name: name.into(), data: data.into() }
}

fn printed(session: &mut Session, events: &[Event]) -> String {
    let print = |event: &Event| match session.take(event) {
        Step::Print(text) => text,
        _ => String::new(),
    };
    events.iter().map(print).collect()
}

/// The connection broke after the entry had sent two tokens; the next entry begins one too early,
/// and a token of some other generation gets in between. Nothing is printed twice or out of order.
#[test]
fn late_crossed_and_doubled_tokens_are_not_printed() {
    let mut session = Session::open(false);
    session.set_handle("h1");
    let first = [token("g", 0, "a"), token("g", 1, "b")];
    assert_eq!(printed(&mut session, &first), "ab");
    assert_eq!(session.lost("cut"), Next::Elsewhere("cut".into()));
    assert_eq!((session.handle(), session.last_event()), (Some("h1"), Some("g:1")));
    let second = [token("g", 1, "b"), token("x", 2, "!"), token("g", 3, "!"), token("g", 2, "c")];
    assert_eq!(printed(&mut session, &second), "c");
    // A token went by that was not taken, so this end is not the whole answer's.
    assert!(matches!(session.take(&named("", "[DONE]")), Step::Cut));
    session.lost("cut");
    assert_eq!(printed(&mut session, &[token("g", 3, "d")]), "d");
    assert!(matches!(session.take(&named("", "[DONE]")), Step::Done));
}

#[test]
fn a_restart_discards_what_was_held_back() {
    let mut session = Session::open(true);
    assert_eq!(printed(&mut session, &[token("g", 0, "old")]), "");
    session.take(&named("restart", "{}"));
    session.take(&named("resume", "h2"));
    printed(&mut session, &[token("n", 0, "new")]);
    assert_eq!((session.held(), session.handle()), ("new", Some("h2")));
    assert_eq!(session.accepts(), "restart, resume");
}

#[test]
fn a_caller_that_prints_at_once_does_not_claim_to_understand_a_restart() {
    assert_eq!(Session::open(false).accepts(), "resume");
}

fn problem(status: u16, ran: Ran, after: Option<u64>) -> Problem {
    Problem {
        kind: "queue-full".into(),
        title: "queue full".into(),
        status,
        detail: "come back".into(),
        ran,
        retry_after_ms: after,
        entries: None,
    }
}

#[parameterized(
    full = { problem(503, Ran::No, Some(1_500)), Some(1_500) },
    over_limit = { problem(429, Ran::No, Some(400)), Some(400) },
    unauthorized = { problem(401, Ran::No, None), None },
    unknown_service = { problem(404, Ran::No, None), None },
    ticket_wanted = { problem(428, Ran::No, None), None },
)]
fn a_refusal_is_obeyed(problem: Problem, pause: Option<u64>) {
    let next = Session::open(false).refused(&problem);
    match pause {
        Some(millis) => {
            assert_eq!(
                next,
                Next::Wait(Duration::from_millis(millis), "queue-full: come back".into())
            );
        }
        None => {
            let said = "queue-full: come back (it was not run)".to_owned();
            assert_eq!(next, Next::GiveUp(said));
        }
    }
}

#[test]
fn a_leaving_entry_sends_the_caller_elsewhere_at_once() {
    let mut leaving = problem(503, Ran::No, Some(0));
    leaving.entries = Some(Entries::default());
    assert!(matches!(Session::open(false).refused(&leaving), Next::Elsewhere(_)));
}

/// The engine is lost in mid-answer and the service delivers live. What is printed cannot be taken
/// back, and tokens of another generation may not be spliced on, so the command says so and ends.
#[test]
fn an_answer_interrupted_after_its_first_token_is_not_begun_anew() {
    let lost = problem(502, Ran::Unknown, None);
    let mut session = Session::open(false);
    printed(&mut session, &[token("g", 0, "a")]);
    assert!(matches!(session.refused(&lost), Next::GiveUp(_)));

    let mut holding = Session::open(true);
    holding.set_handle("h1");
    printed(&mut holding, &[token("g", 0, "a")]);
    assert!(!matches!(holding.refused(&lost), Next::GiveUp(_)));
    assert_eq!((holding.held(), holding.handle(), holding.last_event()), ("", None, None));
}

#[test]
fn pauses_grow_and_stay_bounded() {
    let mut session = Session::open(false);
    let pauses: Vec<Duration> = (0..20)
        .map(|_| match session.lost("cut") {
            Next::Wait(pause, _) => pause,
            _ => Duration::ZERO,
        })
        .collect();
    assert_eq!(pauses[..3], [0, 200, 400].map(Duration::from_millis));
    assert!(pauses.iter().all(|pause| *pause <= Duration::from_secs(5)));
}
