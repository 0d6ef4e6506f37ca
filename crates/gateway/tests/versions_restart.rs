//! A stream goes on only at the version that began it where entries or engines have started again, or
//! an entry has an outdated list of targets.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::lease::{Start, Target};
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::{Answer, Request};
use support::engines::{
    ALL, BEGUN, Engines, PROPAGATION, begin_and_break, finish_or, report, take_up,
};
use support::target::{Seen, Step, events};
use support::{fleet_behind_proxies, gateway, unready, until_ready};
use tokio::time::sleep;
use yare::parameterized;

/// Longer than other entries take to notice that one is cut off.
const CUT: Duration = Duration::from_secs(1);

async fn start_entry(registry: &Registry, name: &str, known: &[&Gateway]) -> Gateway {
    let seeds: Vec<_> = known.iter().map(|entry| entry.peers()).collect();
    let entry = unready(registry.address(), name, &seeds).await;
    until_ready(&entry).await;
    entry
}

fn is_refused(answer: &Answer) -> bool {
    answer.status == 503 && answer.body.contains("\"ran\":\"no\"")
}

/// When the version that began a stream ceased to take new work, as an entry sees it that does not
/// know the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Left {
    Draining,
    Gone,
    GoneThenDrained,
}

/// Guards against a stream that goes on at engines without a version, which are the only ones left, as
/// if its own had never been there.
#[parameterized(
    draining = { Left::Draining },
    gone = { Left::Gone },
    drained_and_gone = { Left::GoneThenDrained },
)]
#[test_macro(ntex::test)]
async fn engines_without_versions_take_up_no_stream_of_a_version_that_left(left: Left) {
    let mut engines = Engines::open_with_first().await;
    let first = gateway(&engines.registry).await;
    let alone = start_entry(&engines.registry, "entry-2", &[]).await;
    let begun = begin_and_break(&first, &mut engines, &["", ""]).await;
    assert_eq!((begun.status, begun.whole), (200, false));
    let engine = &engines.engines[0].0;
    let software = Some("v1".parse().expect("a version"));
    let draining = Target { software, start: Some(Start::new(1)), ..engine.draining() };
    if left != Left::Gone {
        engines.registry.put(draining.clone());
        sleep(PROPAGATION).await;
    }
    if left != Left::Draining {
        engines.registry.remove(&draining);
    }
    sleep(PROPAGATION).await;
    let answer = take_up("r-1").send(alone.callers()).await;
    assert!(is_refused(&answer) && engines.taken_up().is_empty(), "{answer:?}");
    if left == Left::Draining {
        let new = start_entry(&engines.registry, "entry-3", &[]).await;
        let answer = take_up("r-1").send(new.callers()).await;
        assert!(is_refused(&answer) && engines.taken_up().is_empty(), "{answer:?}");
    }
}

/// Guards against sending a stream to an engine that has started again with another version and is too
/// slow to say so.
#[ntex::test]
async fn an_engine_that_does_not_confirm_its_start_in_time_gets_no_stream() {
    let mut engines = Engines::open_with_first().await;
    let gateway = gateway(&engines.registry).await;
    let begun = begin_and_break(&gateway, &mut engines, &[]).await;
    assert!(!begun.whole);
    engines.engines[0].0.end();
    let started_again = |seen: &Seen| match seen.line().contains("/v1/report") {
        true => [vec![Step::Wait(Duration::from_millis(800))], report(2)].concat(),
        false => finish_or(seen, Step::Reset),
    };
    engines.start_with_report("e-again", "v1", started_again).await;
    sleep(PROPAGATION).await;
    let refused = take_up("r-1").send(gateway.callers()).await;
    assert!(engines.taken_up().is_empty(), "{refused:?}");
}

/// Guards against refusing a stream for good because an engine was slow to confirm its start once.
#[ntex::test]
async fn a_stream_goes_on_once_its_engine_confirms_its_start() {
    let mut engines = Engines::open_with_first().await;
    let gateway = gateway(&engines.registry).await;
    let begun = begin_and_break(&gateway, &mut engines, &[]).await;
    assert!(!begun.whole);
    engines.engines[0].0.end();
    let slow = Arc::new(AtomicBool::new(true));
    let script = move |seen: &Seen| match seen.line().contains("/v1/report") {
        true if slow.swap(false, Ordering::SeqCst) => vec![Step::Hang],
        true => report(1),
        false => finish_or(seen, Step::Reset),
    };
    engines.start_with_report("e-slow", "v1", script).await;
    sleep(PROPAGATION).await;
    let answer = take_up("r-1").send(gateway.callers()).await;
    assert_eq!((answer.status, answer.body), (200, events(BEGUN + 1, ALL)));
}

/// Which entries are killed while a stream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    All,
    AllButOne,
}

/// Guards against a stream that goes on at another version after entries were killed and came back.
#[parameterized(
    all = { Killed::All, Mood::Well },
    all_while_the_registry_is_busy = { Killed::All, Mood::Busy },
    all_but_one = { Killed::AllButOne, Mood::Well },
)]
#[test_macro(ntex::test)]
async fn a_stream_is_taken_up_at_its_version_or_refused_after_a_kill(killed: Killed, mood: Mood) {
    let mut engines = Engines::open_with_first().await;
    let first = gateway(&engines.registry).await;
    let second = start_entry(&engines.registry, "entry-2", &[&first]).await;
    sleep(PROPAGATION).await;
    let begun = begin_and_break(&first, &mut engines, &["v2", "v2"]).await;
    assert_eq!((begun.status, begun.whole), (200, false));
    engines.start("v1", |seen| finish_or(seen, Step::Reset)).await;
    engines.registry.set_mood(mood);
    let known: &[&Gateway] = if killed == Killed::All { &[] } else { &[&second] };
    let seeds: Vec<_> = known.iter().map(|entry| entry.peers()).collect();
    let new = unready(engines.registry.address(), "entry-3", &seeds).await;
    let at_once = take_up("r-1").send(new.callers()).await;
    engines.registry.set_mood(Mood::Well);
    until_ready(&new).await;
    sleep(PROPAGATION).await;
    let later = take_up("r-1").named("r-4").send(new.callers()).await;
    match killed {
        Killed::All => assert!(is_refused(&later), "{later:?}"),
        Killed::AllButOne => assert_eq!((later.status, later.body), (200, events(BEGUN + 1, ALL))),
    }
    assert!(engines.taken_up().iter().all(|version| *version == "v1"), "{at_once:?}");
}

/// Guards against a stream of a new version that an entry takes up with an older list of targets, while
/// it is cut off from the others or its registry is silent, and right after that.
#[parameterized(
    cut_off = { true, false },
    cut_off_without_registry = { true, true },
    without_registry = { false, true },
)]
#[test_macro(ntex::test)]
async fn an_entry_with_an_older_list_takes_up_no_stream_at_another_version(
    cut: bool,
    silent: bool,
) {
    let mut engines = Engines::open().await;
    for _ in 0..2 {
        engines.start("v1", |seen| finish_or(seen, Step::Reset)).await;
    }
    let (fleet, proxies) = fleet_behind_proxies(&engines.registry, 3, |_| {}).await;
    if cut {
        proxies.iter().for_each(|proxy| proxy.stall());
    }
    if silent {
        engines.registry.set_mood(Mood::Silent);
        engines.registry.lose_calls();
        sleep(Duration::from_millis(200)).await;
    }
    for (engine, _) in &engines.engines {
        engines.registry.remove(&engine.listed);
    }
    engines.start("v2", |seen| finish_or(seen, Step::Reset)).await;
    // Only this entry reads the registry.
    let reader = start_entry_reading(&engines, silent).await;
    let begun = Request::stream("/gen/x", 20).body("b").send(reader.callers()).await;
    assert_eq!((begun.status, begun.body.as_str()), (200, events(1, BEGUN).as_str()));
    let at_once = take_up("r-1").send(fleet[2].callers()).await;
    proxies.iter().for_each(|proxy| proxy.resume());
    engines.registry.set_mood(Mood::Well);
    let right_after = take_up("r-1").named("r-3").send(fleet[2].callers()).await;
    sleep(CUT).await;
    let later = take_up("r-1").named("r-4").send(fleet[2].callers()).await;
    let versions = engines.taken_up();
    let all = (at_once, right_after, later);
    assert!(versions.iter().all(|version| *version == "v2"), "{versions:?} {all:?}");
}

async fn start_entry_reading(engines: &Engines, silent: bool) -> Gateway {
    if silent {
        engines.registry.set_mood(Mood::Well);
    }
    let reader = start_entry(&engines.registry, "entry-r", &[]).await;
    if silent {
        engines.registry.set_mood(Mood::Silent);
    }
    reader
}
