//! The story that logs tell of one request.

use fireflyhoist_tool::explain::{Line, Story};
use yare::parameterized;

fn line(second: u32, rest: &str) -> String {
    format!(
        "timestamp=2026-01-01T00:00:{second:02}.0+00:00 level=INFO module=m position=p {rest}\n"
    )
}

fn tell(lines: &[&str]) -> Option<Story> {
    let text: String = lines.iter().zip(1..).map(|(rest, at)| line(at, rest)).collect();
    Story::tell("r-1", &[("entry-1".into(), text)])
}

const ATTEMPT: &str = "message=attempt request=r-1 target=t-1 outcome=broken revision=3";

#[parameterized(
    whole = { "message=\"stream ended\" request=r-1 end=Whole events=9 target=t-1", "answered whole, 9" },
    caller_left = { "message=\"stream ended\" request=r-1 end=Left events=9 target=t-1", "caller left" },
    cut = { "message=\"stream ended\" request=r-1 end=Cut events=9 target=t-1", "cut after 9 events at target t-1" },
    time_up = { "message=\"stream ended\" request=r-1 end=Late events=9 target=t-1", "time was up" },
    lost = { "message=refused request=r-1 status=502 reason=answer-lost", "at t-1, ended broken" },
    late = { "message=refused request=r-1 status=504 reason=late", "time was up while" },
    declined = { "message=refused request=r-1 status=503 reason=declined", "did not run it" },
    no_target = { "message=refused request=r-1 status=503 reason=no-target", "known to be up" },
    deadline = { "message=refused request=r-1 status=503 reason=deadline", "could not have begun" },
    queue_full = { "message=refused request=r-1 status=503 reason=queue-full", "too many requests" },
    budget = { "message=refused request=r-1 status=503 reason=retry-budget", "bound on repeats" },
    limited = { "message=refused request=r-1 status=503 reason=targets-limited", "took only so much" },
    crowded = { "message=refused request=r-1 status=503 reason=targets-crowded", "might have had no room" },
    resting = { "message=refused request=r-1 status=503 reason=targets-resting", "asked for rest" },
    cordoned = { "message=refused request=r-1 status=503 reason=targets-cordoned", "domain that is cordoned" },
    isolated = { "message=refused request=r-1 status=503 reason=isolated", "reached no target" },
    leaving = { "message=refused request=r-1 status=503 reason=leaving", "entry was leaving" },
    not_ready = { "message=refused request=r-1 status=503 reason=not-ready", "knew no text" },
    no_route = { "message=refused request=r-1 status=404 reason=no-route", "no route" },
    no_key = { "message=refused request=r-1 status=401 reason=unknown-key", "no workspace" },
    too_large = { "message=refused request=r-1 status=413 reason=too-large", "passes the limit" },
    body_late = { "message=refused request=r-1 status=408 reason=body-late", "body did not arrive" },
    bad_host = { "message=refused request=r-1 status=400 reason=bad-host", "names no host" },
    passed_on = { "message=answered request=r-1 status=500", "answered 500 as its target did" },
    unended = { "message=attempt request=r-1 target=t-1 outcome=200", "not ended in these logs" },
)]
fn every_end_has_its_cause(last: &str, cause: &str) {
    let story = tell(&[ATTEMPT, last]).expect("a story");
    assert!(story.cause().contains(cause), "{}", story.cause());
}

/// Guards against a refusal that does not say which targets were left out, and why.
#[test]
fn a_refusal_names_the_targets_that_were_left_out() {
    let story = tell(&[
        "message=\"no target takes it\" request=r-1 reason=targets-limited excluded=\"cordoned:15 cold:2\"",
        "message=refused request=r-1 status=503 reason=targets-limited",
    ]);
    let story = story.expect("a story");
    assert!(story.cause().contains("left out: 15 cordoned, 2 cold)"), "{}", story.cause());
}

/// On call at night: a page was cut, and the line that says that its engine was leaving stands in
/// the same log under the engine's name, not the request's. It belongs to the story.
#[test]
fn what_was_learned_of_its_target_belongs_to_the_story() {
    let story = tell(&[
        "message=attempt request=r-1 target=t-1 outcome=200",
        "message=\"target changed\" revision=9 change=\"t-1 draining at 127.0.0.1:1\"",
        "message=\"target changed\" revision=9 change=\"t-2 draining at 127.0.0.1:2\"",
        "message=\"carried on\" request=r-1 way=move outcome=\"move broken\"",
        "message=\"stream ended\" request=r-1 end=Cut events=4 target=t-1",
    ]);
    let told = serde_json::to_string(&story).expect("JSON");
    assert!(told.contains("t-1 draining") && !told.contains("t-2 draining"), "{told}");
    assert!(story.expect("a story").cause().contains("(move) ended move broken"));
}

/// An entry's clock goes back in the middle of a request; its own lines stay in their order.
#[test]
fn lines_of_one_log_keep_their_order() {
    let text = line(30, "message=attempt request=r-1 target=t-1 outcome=declined")
        + &line(10, "message=refused request=r-1 status=503 reason=declined");
    let story = Story::tell("r-1", &[("entry-1".into(), text)]).expect("a story");
    let told = serde_json::to_string(&story).expect("JSON");
    assert!(told.find("attempt") < told.find("refused"), "{told}");
}

#[test]
fn a_quoted_value_is_one_value() {
    let parsed = Line::parse(line(1, "message=\"a \\\"b\\\" c\" request=r-1").trim());
    let told = serde_json::to_string(&parsed).expect("JSON");
    assert!(told.contains(r#""event":"a \"b\" c""#), "{told}");
}

#[test]
fn a_request_that_is_not_there_has_no_story() {
    assert!(tell(&["message=attempt request=r-2 target=t-1 outcome=200"]).is_none());
    assert!(Line::parse("no log line").is_none());
}

fn placed(waited_ms: u64) -> String {
    format!(
        "message=placed request=r-1 target=t-1 waited_ms={waited_ms} objective_ms=1800 load=0.55 \
         streams=3 unread=2203 view_ms=40 late=false"
    )
}

fn began(waited_ms: u64, inside_ms: u64) -> String {
    let attempt =
        format!("message=attempt request=r-1 target=t-1 outcome=200 resumed=0 ms={inside_ms}");
    let carried = "message=attempt request=r-1 target=t-2 outcome=200 resumed=60 ms=31";
    let ended = "message=\"stream ended\" request=r-1 end=Whole events=90 target=t-2";
    let story = tell(&[&placed(waited_ms), &attempt, carried, ended]).expect("a story");
    story.cause().to_owned()
}

/// An estimator asks why a draft began after almost five seconds. The answer was whole, so nothing
/// else in the log says that anything was wrong; where it waited decides what there is to do.
#[test]
fn a_late_beginning_is_explained() {
    let inside = began(20, 4_580);
    assert!(inside.contains("after 4600 ms where 1800 are asked"), "{inside}");
    assert!(
        inside.contains("inside the target: 20 ms at the entry and 4580 ms at t-1"),
        "{inside}"
    );
    assert!(inside.contains("0.55 full with 3 answers and 2203 prompt tokens"), "{inside}");
    let entry = began(1_700, 400);
    assert!(entry.contains("most of it at the entry, for room: 1700 ms"), "{entry}");
    assert_eq!(began(20, 400), "answered whole, 90 events", "on time");
}

/// One that was sent away because it could no longer begin on time says so, and that nothing ran.
#[test]
fn a_refusal_past_the_objective_is_explained() {
    let refused =
        "message=refused request=r-1 status=503 reason=past-objective retry_after_ms=6000";
    let story = tell(&[refused]).expect("a story");
    let cause = story.cause();
    assert!(cause.contains("no longer begin on time") && cause.contains("sent to no target"));
}

/// Guards against a caller who is held back being told of nothing but a refusal: what ended stands in
/// other entries' logs, under other requests' names.
#[test]
fn a_request_that_is_held_back_is_explained_by_what_it_ended() {
    let broke = |request: &str, print: &str, target: &str| {
        format!(
            "message=\"run broke off\" request={request} print={print} target={target} fate=ended ends=1"
        )
    };
    let other = line(1, &broke("r-8", "a1", "t-1")) + &line(2, &broke("r-9", "b2", "t-2"));
    let own = line(5, "message=\"held back\" request=r-1 print=a1 decision=refused ends=4")
        + &line(5, "message=refused request=r-1 status=503 reason=ends-targets");
    let logs = [("entry-1".into(), other), ("entry-2".into(), own)];
    let story = Story::tell("r-1", &logs).expect("a story");
    assert!(story.cause().contains("4 targets ended while they ran the same"), "{}", story.cause());
    let told = serde_json::to_string(&story).expect("JSON");
    assert!(told.contains("t-1") && !told.contains("t-2"), "{told}");
}
