//! Stream recovery: the sequencer, the failover session and the resume handle.

use std::time::Duration;

use fireflyhoist_policy::failover::{Break, Session, Step, Terms};
use fireflyhoist_policy::handle::{Handle, HandleError};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_policy::mac::Key;
use fireflyhoist_policy::sequencer::{Position, Sink};
use fireflyhoist_policy::time::Time;
use proptest::prelude::*;
use yare::parameterized;

const TERMS: Terms = Terms {
    whole: false,
    restarts: false,
    silence: Duration::from_secs(1),
    stall: Duration::from_secs(30),
};

fn at(seconds: u64) -> Time {
    Time::from_micros(seconds * 1_000_000)
}

fn resume(millis: u64) -> Step {
    Step::Resume { after: Duration::from_millis(millis) }
}

proptest! {
    /// Tokens arrive over several links at once, in any order and mixed with tokens of other
    /// generations. The sequencer must accept exactly the answer's tokens, from the first one on
    /// and each once.
    #[test]
    fn whatever_arrives_the_sink_takes_a_prefix_once(
        arrivals in prop::collection::vec((0u128..3, 0u64..12), 0..200),
    ) {
        let wanted = Generation::new(1);
        let mut sink = Sink::open(wanted, 0);
        let taken: Vec<Position> = arrivals
            .into_iter()
            .map(|(generation, offset)| Position { generation: Generation::new(generation), offset })
            .filter(|position| sink.take(*position))
            .collect();
        let whole: Vec<Position> = (0..taken.len() as u64)
            .map(|offset| Position { generation: wanted, offset })
            .collect();
        prop_assert_eq!(taken, whole);
    }

    /// After any sequence of failures, a caller that has received a token is never moved to another
    /// generation without a restart event, and an engine that keeps failing is abandoned.
    #[test]
    fn a_shown_answer_is_never_spliced(
        breaks in prop::collection::vec((0u8..6, any::<bool>(), 0u64..5), 1..60),
        restarts in any::<bool>(),
    ) {
        let mut now = at(0);
        let mut session = Session::open(now, Terms { restarts, ..TERMS }, false);
        let mut shown = false;
        for (kind, token, seconds) in breaks {
            now = now + Duration::from_secs(seconds);
            session.connect(now);
            if token {
                session.link(now);
                session.hear(now, true);
                shown = true;
            }
            let kind = [Break::Refused, Break::Declined, Break::Cut, Break::Silent, Break::Lost,
                Break::Malformed][usize::from(kind)];
            match session.break_off(now, kind) {
                Step::Resume { .. } => {}
                Step::Elsewhere => {
                    prop_assert!(!shown);
                    session.begin(now);
                }
                Step::Restart => {
                    prop_assert!(shown && restarts);
                    shown = false;
                    session.begin(now);
                }
                Step::Interrupt => {
                    prop_assert!(shown && !restarts);
                    return Ok(());
                }
            }
        }
    }
}

#[test]
fn an_end_mark_ends_only_the_answer_that_it_counts() {
    let sink = Sink::open(Generation::new(1), 5);
    assert!(sink.ends(5));
    assert!(!sink.ends(4) && !sink.ends(6));
}

#[parameterized(
    no_offset = { "00000000000000000000000000000001" },
    sign = { "00000000000000000000000000000001:+1" },
    short = { "1:1" },
    huge = { "00000000000000000000000000000001:99999999999999999999" },
    empty = { "" },
)]
fn malformed_positions_are_refused(text: &str) {
    assert!(text.parse::<Position>().is_err());
}

/// The engine's process is gone: three retries fail, then another engine is chosen. The retries
/// take a quarter of a second, which bounds the added delay of the first token.
#[test]
fn an_engine_that_stays_away_is_given_up_after_three_tries() {
    let mut session = Session::open(at(0), TERMS, false);
    session.link(at(0));
    assert_eq!(session.break_off(at(0), Break::Cut), resume(0));
    assert_eq!(session.break_off(at(0), Break::Refused), resume(50));
    assert_eq!(session.break_off(at(0), Break::Refused), resume(200));
    assert_eq!(session.break_off(at(0), Break::Refused), Step::Elsewhere);
}

/// A link that fails repeatedly but delivers tokens in between is not abandoned.
#[test]
fn progress_renews_the_tries() {
    let mut session = Session::open(at(0), TERMS, false);
    for second in 0..20 {
        session.link(at(second));
        session.hear(at(second), true);
        assert_eq!(session.break_off(at(second), Break::Cut), resume(0));
    }
}

/// The generation is queued inside its engine, which answers but produces nothing. Each check costs
/// a new link, so the silence timeout doubles, and only the stall timeout ends the attempt.
#[test]
fn an_engine_that_answers_is_waited_for_until_the_patience_ends() {
    let mut session = Session::open(at(0), TERMS, false);
    let mut now = at(0);
    let mut links = 0;
    loop {
        session.connect(now);
        session.link(now);
        now = session.deadline();
        match session.break_off(now, Break::Silent) {
            Step::Resume { .. } => links += 1,
            step => {
                assert_eq!(step, Step::Elsewhere);
                break;
            }
        }
    }
    assert!(now >= at(30) && links <= 5, "{links} links by {now}");
}

/// Where no connection could be opened, nothing has run, and another target is tried.
#[test]
fn a_refused_connection_leaves_the_request_unrun() {
    let mut session = Session::open(at(0), TERMS, false);
    assert_eq!(session.break_off(at(0), Break::Refused), Step::Elsewhere);
    assert!(!session.reached());
}

#[parameterized(
    live = { false, false, Step::Interrupt },
    live_that_restarts = { false, true, Step::Restart },
    whole = { true, false, Step::Elsewhere },
)]
fn a_dead_engine_after_tokens(whole: bool, restarts: bool, expected: Step) {
    let mut session = Session::open(at(0), Terms { whole, restarts, ..TERMS }, false);
    session.link(at(0));
    session.hear(at(1), true);
    assert_eq!(session.break_off(at(1), Break::Lost), expected);
}

/// A caller resumes a buffered answer whose first entry had delivered a part before it failed. A
/// new generation must not follow what the caller already has.
#[test]
fn a_whole_answer_that_was_partly_handed_over_is_not_begun_anew() {
    let mut session = Session::open(at(0), Terms { whole: true, ..TERMS }, true);
    assert_eq!(session.break_off(at(0), Break::Lost), Step::Interrupt);
}

fn handle() -> Handle {
    Handle {
        generation: Generation::new(5),
        target: "t1".parse().expect("name"),
        address: "[::1]:80".parse().expect("address"),
        service: "transcribe".parse().expect("name"),
        workspace: "hamburg".parse().expect("name"),
        expires_s: 100,
    }
}

#[parameterized(
    good = { "k", "transcribe", "hamburg", 99, None },
    other_key = { "other", "transcribe", "hamburg", 99, Some(HandleError::Forged) },
    other_service = { "k", "draft", "hamburg", 99, Some(HandleError::Foreign) },
    other_workspace = { "k", "transcribe", "bremen", 99, Some(HandleError::Foreign) },
    too_late = { "k", "transcribe", "hamburg", 100, Some(HandleError::Expired) },
)]
fn handles_are_read_only_where_they_belong(
    key: &str,
    service: &str,
    workspace: &str,
    now_s: u64,
    refused: Option<HandleError>,
) {
    let text = handle().write(&Key::open("k"));
    let workspace = workspace.parse().expect("name");
    let service = service.parse().expect("name");
    let read = Handle::read(&Key::open(key), now_s, &workspace, &service, &text);
    match refused {
        None => assert_eq!(read, Ok(handle())),
        Some(error) => assert_eq!(read, Err(error)),
    }
}

proptest! {
    /// A caller modifies one character of its handle to reach another caller's stream.
    #[test]
    fn a_changed_handle_is_forged(index in 0usize..150, with in "[0-9a-z~:]") {
        let text = handle().write(&Key::open("k"));
        let index = index % text.len();
        let mut changed = text.to_string();
        changed.replace_range(index..=index, &with);
        prop_assume!(changed != text.as_str());
        let read = Handle::read(
            &Key::open("k"), 0, &handle().workspace, &handle().service, &changed,
        );
        prop_assert_eq!(read, Err(HandleError::Forged));
    }
}
