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
