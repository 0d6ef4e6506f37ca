//! A stream goes on only at engines of the version of software that began it.

mod support;

use std::time::Duration;

use fireflyhoist_gateway::native::{Copied, RESUMED_HEADER};
use fireflyhoist_policy::lease::Target;
use support::caller::Request;
use support::engines::{
    ALL, BEGUN, Engines, PROPAGATION, begin_and_break, finish_or, head, last_event, report, run,
    take_up,
};
use support::target::{Seen, Standin, Step, answer, events, stream_end};
use support::{eventually, gateway, unready, until_ready};
use tokio::time::sleep;
use yare::parameterized;

/// Guards against a stream whose engine crashed going on at an engine of another version.
#[ntex::test]
async fn a_run_begins_anew_only_at_its_version() {
    let mut engines = Engines::open_with_first().await;
    let gateway = gateway(&engines.registry).await;
    let others = ["v2", "v2", "v1", "v2", "v2", "v2", "v2"];
    let answer = begin_and_break(&gateway, &mut engines, &others).await;
    assert_eq!(engines.taken_up(), ["v1"], "{answer:?}");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, ALL), true));
}

/// Guards against a stream that looks complete, or goes on elsewhere, where no engine of its version
/// is left. Versions whose names differ only in case or by a trailing `.0` are not the same.
#[parameterized(
    another = { "v2" },
    case = { "V1" },
    trailing_zero = { "v1.0" },
    none_known = { "" },
)]
#[test_macro(ntex::test)]
async fn a_run_whose_version_is_gone_is_broken_off(other: &'static str) {
    let mut engines = Engines::open_with_first().await;
    let gateway = gateway(&engines.registry).await;
    let answer = begin_and_break(&gateway, &mut engines, &[other, other]).await;
    assert_eq!((engines.taken_up().len(), answer.whole), (0, false), "{answer:?}");
    assert_eq!(answer.body, events(1, BEGUN));
}

/// Guards against a repeat that is held to the version of a run of which the caller has got nothing.
#[ntex::test]
async fn a_run_without_an_event_is_repeated_at_any_version() {
    let mut engines = Engines::open().await;
    engines.start("v1", |seen| vec![head(seen), Step::Reset]).await;
    let gateway = gateway(&engines.registry).await;
    engines.start("v2", |seen| run(seen, 1, ALL, stream_end())).await;
    sleep(PROPAGATION).await;
    for _ in 0..8 {
        let answer = Request::stream("/gen/x", 20).body("b").send(gateway.callers()).await;
        assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, ALL), true));
    }
}

/// Guards against backups that are kept at engines of another version, and streams that go on there.
#[ntex::test]
async fn backups_are_kept_only_at_the_version_of_the_run() {
    let mut engines = Engines::open().await;
    for version in ["v1", "v2", "v1", "v2", "v3"] {
        let script = |seen: &Seen| match seen.header("fireflyhoist-copy") {
            Some(_) => finish_or(seen, Step::Reset),
            None => run(seen, 1, BEGUN, Step::Reset),
        };
        engines.start(version, script).await;
    }
    let gateway = gateway(&engines.registry).await;
    for _ in 0..12 {
        let request = Request::stream("/gen/x", 500).body("b");
        let _ = request.send(gateway.callers()).await;
    }
    let version = |address: &str| {
        let of = |one: &&(Standin, &'static str)| one.0.listed.address.to_string() == address;
        engines.engines.iter().find(of).map(|(_, version)| *version)
    };
    let mut kept = 0;
    for (engine, own) in &engines.engines {
        for seen in engine.seen() {
            let Some(backup) = seen.header("fireflyhoist-backup") else { continue };
            assert_eq!(version(backup), Some(*own));
            kept += 1;
        }
    }
    assert!(kept > 0, "backups are still kept");
}

/// Guards against moving a stream to an engine of another version when its engine leaves: where no
/// other engine of its version is left, it ends where it is.
#[parameterized(
    another_is_left = { true },
    none_is_left = { false },
)]
#[test_macro(ntex::test)]
async fn a_leaving_engine_passes_streams_only_to_its_version(is_left: bool) {
    let mut engines = Engines::open().await;
    let script = |seen: &Seen| {
        if seen.line().starts_with("POST /v1/runs/") {
            let copied = Copied { copy: Some("c-7".into()) };
            return answer(200, &serde_json::to_string(&copied).expect("JSON"));
        }
        let from = last_event(seen).map_or(1, |last| last + 1);
        run(seen, from, 60, stream_end())
    };
    let first = engines.start("v1", script).await;
    let gateway = gateway(&engines.registry).await;
    let request = Request::stream("/gen/x", 500).body("b");
    let callers = gateway.callers();
    let answered = ntex::rt::spawn(async move { request.send(callers).await });
    eventually(async || engines.ran(|_| true).len() == 1).await;
    for version in ["v2", "v2", "v2"] {
        engines.start(version, script).await;
    }
    if is_left {
        engines.start("v1", script).await;
    }
    sleep(Duration::from_millis(200)).await;
    let draining = engines.engines[0].0.draining();
    engines.registry.put(Target { software: first.software, start: first.start, ..draining });
    let answer = answered.await.expect("an answer");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 60), true));
    let taken_up: &[&str] = if is_left { &["v1"] } else { &[] };
    assert_eq!(engines.taken_up(), taken_up);
}

/// Guards against a stream that a caller takes up at an engine of another version: at the entry that
/// began it, at another, and at one that has just started.
#[parameterized(
    same_entry = { 0 },
    another_entry = { 1 },
    entry_that_has_just_started = { 2 },
)]
#[test_macro(ntex::test)]
async fn a_caller_takes_a_stream_up_only_at_its_version(entry: usize) {
    let mut engines = Engines::open_with_first().await;
    let mut entries = vec![gateway(&engines.registry).await];
    let other = unready(engines.registry.address(), "entry-2", &[entries[0].peers()]).await;
    until_ready(&other).await;
    entries.push(other);
    sleep(PROPAGATION).await;
    let others = ["v2", "v2", "v2", "v2"];
    let begun = begin_and_break(&entries[0], &mut engines, &others).await;
    assert_eq!((begun.status, begun.whole), (200, false));
    engines.start("v1", |seen| finish_or(seen, Step::Reset)).await;
    let seeds = [entries[0].peers(), entries[1].peers()];
    let new = unready(engines.registry.address(), "entry-3", &seeds).await;
    until_ready(&new).await;
    entries.push(new);
    sleep(PROPAGATION).await;
    let answer = take_up("r-1").send(entries[entry].callers()).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, events(BEGUN + 1, ALL).as_str()));
    assert_eq!(engines.taken_up(), ["v1"]);
    // The attempt that took it up may be named too.
    let again = take_up("r-2").named("r-3").send(entries[0].callers()).await;
    assert_eq!((again.status, engines.taken_up().len()), (200, 2), "{again:?}");
}

/// Guards against sending a stream on whose version is not known: the entry is cut off from the
/// others, nobody knows the attempt, or it belongs to another workspace.
#[parameterized(
    cut_off = { "r-1", true },
    unknown = { "r-7", false },
    names_none = { "", false },
)]
#[test_macro(ntex::test)]
async fn a_stream_of_unknown_version_is_refused(first: &str, cut_off: bool) {
    let mut engines = Engines::open_with_first().await;
    let entry = gateway(&engines.registry).await;
    let alone = unready(engines.registry.address(), "entry-2", &[]).await;
    until_ready(&alone).await;
    let begun = begin_and_break(&entry, &mut engines, &["v1"]).await;
    let before = engines.taken_up().len();
    assert!(begun.status == 200, "{begun:?}");
    let to = if cut_off { &alone } else { &entry };
    let request = match first {
        "" => Request::stream("/gen/x", 20).named("r-2").header("last-event-id", "3").body("b"),
        first => take_up(first),
    };
    let answer = request.send(to.callers()).await;
    assert_eq!((answer.status, engines.taken_up().len()), (503, before), "{answer:?}");
    assert!(answer.body.contains("\"ran\":\"no\"") && answer.header("retry-after").is_some());
    assert!(answer.took < Duration::from_secs(1), "{:?}", answer.took);
}

/// Guards against an attempt that is named in no valid way being taken for a new request.
#[parameterized(
    empty = { &[""] },
    repeated = { &["r-1", "r-1"] },
    list = { &["r-1,r-1"] },
    own = { &["r-2"] },
)]
#[test_macro(ntex::test)]
async fn an_invalid_name_of_an_attempt_is_refused(names: &[&str]) {
    let mut engines = Engines::open().await;
    engines.start("v1", |seen| finish_or(seen, Step::Reset)).await;
    let entry = gateway(&engines.registry).await;
    let request = Request::stream("/gen/x", 20).named("r-2").header("last-event-id", "3");
    let request = names.iter().fold(request, |request, name| request.header(RESUMED_HEADER, name));
    let answer = request.body("b").send(entry.callers()).await;
    assert_eq!((answer.status, engines.taken_up().len()), (400, 0), "{answer:?}");
    assert!(answer.body.contains("\"ran\":\"no\""), "{answer:?}");
}

/// Guards against an engine that has started again under its name with another version, while the
/// registry still lists its earlier start.
#[ntex::test]
async fn an_engine_that_started_again_unseen_gets_no_stream_of_its_earlier_version() {
    let mut engines = Engines::open_with_first().await;
    let gateway = gateway(&engines.registry).await;
    let begun = begin_and_break(&gateway, &mut engines, &[]).await;
    assert!(!begun.whole);
    engines.engines[0].0.end();
    let started_again = |seen: &Seen| match seen.line().contains("/v1/report") {
        true => report(2),
        false => finish_or(seen, Step::Reset),
    };
    engines.start_with_report("e-again", "v1", started_again).await;
    sleep(PROPAGATION).await;
    let refused = take_up("r-1").send(gateway.callers()).await;
    assert_eq!((refused.status, engines.taken_up().len()), (503, 0), "{refused:?}");
    engines.start("v1", |seen| finish_or(seen, Step::Reset)).await;
    sleep(PROPAGATION).await;
    let taken_up = take_up("r-1").send(gateway.callers()).await;
    assert_eq!((taken_up.status, taken_up.body), (200, events(BEGUN + 1, ALL)));
}

/// Guards against refusing streams that are taken up where engines have no versions.
#[ntex::test]
async fn streams_without_versions_go_on_anywhere() {
    let mut engines = Engines::open().await;
    engines.start("", |seen| finish_or(seen, Step::Reset)).await;
    let entry = gateway(&engines.registry).await;
    let answer = take_up("r-7").send(entry.callers()).await;
    assert_eq!((answer.status, answer.body), (200, events(BEGUN + 1, ALL)));
}
