//! Cordoned failure domains: no new request reaches their targets in any way.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::id;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::{Mood, Registry};
use support::caller::{Answer, Request};
use support::target::{Seen, Standin, Step, answer, event, events, stream_end, stream_head};
use support::{eventually, route, text, unready, until_ready};
use yare::parameterized;

/// The time within which every entry must know a change in the registry.
const PROPAGATION: Duration = Duration::from_secs(1);

/// The address of a registry that cannot be reached.
const UNREACHABLE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

fn domain(name: &str) -> id::Domain {
    name.parse().expect("a name")
}

async fn target(
    registry: &Registry,
    name: &str,
    at: &str,
    script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static,
) -> Standin {
    let service = if name.starts_with("web") { "web" } else { "gen" };
    let mut target = Standin::open(name, service, script).await;
    target.listed.domain = domain(at);
    registry.put(target.listed.clone());
    target
}

async fn lookup_target(registry: &Registry, name: &str, at: &str) -> Standin {
    target(registry, name, at, |_| answer(200, "ok")).await
}

async fn registry() -> Registry {
    let registry = Registry::open().await;
    let web = Route { objective: Duration::from_millis(200), ..route("web", Kind::Safe) };
    let generation = route("gen", Kind::Stream { resumable: true });
    registry.publish(text(1, vec![web, generation]));
    registry
}

async fn join(fleet: &mut Vec<Gateway>, registry: SocketAddr) {
    let seeds: Vec<_> = fleet.iter().map(Gateway::peers).collect();
    let entry = unready(registry, &format!("entry-{}", fleet.len()), &seeds).await;
    until_ready(&entry).await;
    fleet.push(entry);
}

async fn fleet(registry: &Registry, entries: usize) -> Vec<Gateway> {
    let mut fleet = Vec::new();
    for _ in 0..entries {
        join(&mut fleet, registry.address()).await;
    }
    fleet
}

async fn send(entry: &Gateway) -> Answer {
    Request::new("POST", "/web/x").body("b").send(entry.callers()).await
}

/// Sends eight requests for each entry, and returns how many of them reached a target.
async fn count_reached(fleet: &[Gateway], target: &Standin) -> usize {
    let before = target.seen().len();
    for entry in fleet.iter().cycle().take(8 * fleet.len()) {
        assert_eq!(send(entry).await.status, 200);
    }
    target.seen().len() - before
}

/// Guards against entries sending to a cordoned domain, or not sending after the cordon is lifted.
#[parameterized(one_entry = { 1 }, three_entries = { 3 })]
#[test_macro(ntex::test)]
async fn a_cordoned_domain_gets_nothing_until_it_is_lifted(entries: usize) {
    let registry = registry().await;
    let _open = lookup_target(&registry, "web-1", "a").await;
    let cordoned_target = lookup_target(&registry, "web-2", "b").await;
    let fleet = fleet(&registry, entries).await;
    assert!(count_reached(&fleet, &cordoned_target).await > 0);
    registry.cordon(&domain("b"));
    registry.cordon(&domain("nobody-knows-it"));
    tokio::time::sleep(PROPAGATION).await;
    assert_eq!(count_reached(&fleet, &cordoned_target).await, 0);
    registry.lift(&domain("b"));
    tokio::time::sleep(PROPAGATION).await;
    assert!(count_reached(&fleet, &cordoned_target).await > 0);
}

/// Guards against missing the last of several changes within a second.
#[parameterized(ends_cordoned = { true }, ends_lifted = { false })]
#[test_macro(ntex::test)]
async fn the_last_of_several_quick_changes_is_in_force(cordoned: bool) {
    let registry = registry().await;
    let _open = lookup_target(&registry, "web-1", "a").await;
    let cordoned_target = lookup_target(&registry, "web-2", "b").await;
    let fleet = fleet(&registry, 2).await;
    for nth in 0..7 {
        if (nth % 2 == 0) == cordoned {
            registry.cordon(&domain("b"));
        } else {
            registry.lift(&domain("b"));
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    tokio::time::sleep(PROPAGATION).await;
    assert_eq!(count_reached(&fleet, &cordoned_target).await == 0, cordoned);
}

/// Guards against missing a lifted cordon because the registry dropped that part of its history, or
/// because an answer was lost.
#[parameterized(
    history_dropped = { true },
    answers_lost = { false },
)]
#[test_macro(ntex::test)]
async fn a_change_missed_by_the_watch_is_read_from_the_list(dropped: bool) {
    let registry = registry().await;
    let _open = lookup_target(&registry, "web-1", "a").await;
    let cordoned_target = lookup_target(&registry, "web-2", "b").await;
    let other = lookup_target(&registry, "web-3", "c").await;
    registry.cordon(&domain("b"));
    let fleet = fleet(&registry, 2).await;
    assert_eq!(count_reached(&fleet, &cordoned_target).await, 0);
    if dropped {
        registry.set_mood(Mood::Busy);
        tokio::time::sleep(PROPAGATION / 4).await;
    }
    registry.lift(&domain("b"));
    registry.cordon(&domain("c"));
    if dropped {
        registry.forget();
        registry.set_mood(Mood::Well);
    } else {
        registry.lose_calls();
    }
    // A lost answer is noticed when the call of the watch times out.
    tokio::time::sleep(PROPAGATION * 3).await;
    assert!(count_reached(&fleet, &cordoned_target).await > 0);
    assert_eq!(count_reached(&fleet, &other).await, 0);
}

/// Guards against a registry that is restored from an older copy lifting a cordon, or keeping one
/// that was lifted.
#[parameterized(
    copy_lacks_it = { true },
    copy_still_has_it = { false },
)]
#[test_macro(ntex::test)]
async fn a_registry_restored_from_an_older_copy_changes_no_cordon(lacks: bool) {
    let registry = registry().await;
    let _open = lookup_target(&registry, "web-1", "a").await;
    let cordoned_target = lookup_target(&registry, "web-2", "b").await;
    let then = |registry: &Registry| match lacks {
        true => registry.cordon(&domain("b")),
        false => registry.lift(&domain("b")),
    };
    if !lacks {
        registry.cordon(&domain("b"));
    }
    let copy = registry.copy();
    let fleet = fleet(&registry, 2).await;
    then(&registry);
    tokio::time::sleep(PROPAGATION).await;
    registry.set_mood(Mood::Busy);
    tokio::time::sleep(Duration::from_millis(300)).await;
    registry.restore(copy);
    registry.set_mood(Mood::Well);
    // The operator's tool repeats the change only after entries have read the copy.
    tokio::time::sleep(PROPAGATION).await;
    if lacks {
        assert_eq!(count_reached(&fleet, &cordoned_target).await, 0);
    }
    then(&registry);
    tokio::time::sleep(PROPAGATION * 2).await;
    assert_eq!(count_reached(&fleet, &cordoned_target).await == 0, lacks);
}

/// Guards against a starting entry sending to a cordoned domain, whether or not it reaches the
/// registry.
#[parameterized(starts = { true }, registry_unreachable = { false })]
#[test_macro(ntex::test)]
async fn a_joining_entry_knows_cordons_before_it_is_ready(reads: bool) {
    let registry = registry().await;
    let _open = lookup_target(&registry, "web-1", "a").await;
    let cordoned_target = lookup_target(&registry, "web-2", "b").await;
    registry.cordon(&domain("b"));
    let mut fleet = fleet(&registry, 2).await;
    join(&mut fleet, if reads { registry.address() } else { UNREACHABLE }).await;
    assert_eq!(count_reached(&fleet[2..], &cordoned_target).await, 0);
    registry.lift(&domain("b"));
    registry.cordon(&domain("a"));
    tokio::time::sleep(PROPAGATION).await;
    assert_eq!(count_reached(&fleet[2..], &cordoned_target).await, 8);
}

/// Guards against requests waiting in vain, or being reported as possibly run.
#[parameterized(lookup = { false }, generation = { true })]
#[test_macro(ntex::test)]
async fn with_all_domains_cordoned_requests_are_refused_at_once(generation: bool) {
    let registry = registry().await;
    let targets = [
        lookup_target(&registry, "web-1", "a").await,
        target(&registry, "gen-1", "a", |_| vec![stream_head(), stream_end()]).await,
    ];
    registry.cordon(&domain("a"));
    let fleet = fleet(&registry, 1).await;
    let request = match generation {
        true => Request::stream("/gen/x", 20).body("b"),
        false => Request::new("POST", "/web/x").body("b"),
    };
    let refused = request.send(fleet[0].callers()).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.body.contains("targets-cordoned"), "{refused:?}");
    assert!(refused.body.contains("\"ran\":\"no\""), "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert!(refused.took < Duration::from_millis(500), "{refused:?}");
    assert!(targets.iter().all(|target| target.seen().is_empty()));
}

/// Guards against a queued request waiting until its deadline.
#[ntex::test]
async fn a_queued_request_is_refused_when_its_domain_is_cordoned() {
    let registry = registry().await;
    // No more requests are sent to an engine that has not prefilled the prompts it has.
    let slow_prefill =
        |_: &Seen| vec![stream_head(), Step::Wait(Duration::from_secs(3)), stream_end()];
    let engine = target(&registry, "gen-1", "a", slow_prefill).await;
    let fleet = fleet(&registry, 1).await;
    let callers = fleet[0].callers();
    let request = Request::stream("/gen/x", 20).body("b");
    let _reading = [request.open(callers).await, request.open(callers).await];
    eventually(async || engine.seen().len() == 2).await;
    let queued = tokio::task::spawn_local(async move { request.send(callers).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    registry.cordon(&domain("a"));
    let refused = queued.await.expect("an answer");
    assert_eq!((refused.status, engine.seen().len()), (503, 2), "{refused:?}");
    assert!(refused.took < PROPAGATION * 2, "{refused:?}");
}

/// Guards against running answers in a cordoned domain being cut off.
#[ntex::test]
async fn a_running_answer_in_a_cordoned_domain_completes_there() {
    let registry = registry().await;
    let pause = Step::Wait(Duration::from_millis(700));
    let script =
        move |_: &Seen| vec![stream_head(), event(1), pause.clone(), event(2), stream_end()];
    let engine = target(&registry, "gen-1", "a", script).await;
    let fleet = fleet(&registry, 1).await;
    let callers = fleet[0].callers();
    let running = tokio::task::spawn_local(async move {
        Request::stream("/gen/x", 20).body("b").send(callers).await
    });
    eventually(async || engine.seen().len() == 1).await;
    registry.cordon(&domain("a"));
    let answer = running.await.expect("an answer");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 2), true));
    assert_eq!(engine.seen().len(), 1);
}

/// Guards against hedges, retries and resumptions reaching a cordoned domain.
#[parameterized(
    hedge = { "/web/x", Duration::from_millis(600) },
    resumption = { "/gen/x", Duration::ZERO },
)]
#[test_macro(ntex::test)]
async fn no_hedge_or_resumption_reaches_a_cordoned_domain(path: &str, wait: Duration) {
    let registry = registry().await;
    let slow = move |_: &Seen| [vec![Step::Wait(wait)], answer(200, "ok")].concat();
    let broken = |_: &Seen| vec![stream_head(), event(1), Step::Reset];
    let _slow = target(&registry, "web-1", "a", slow).await;
    let _broken = target(&registry, "gen-1", "a", broken).await;
    let cordoned_targets = [
        lookup_target(&registry, "web-2", "b").await,
        target(&registry, "gen-2", "b", |_| vec![stream_head(), event(2), stream_end()]).await,
    ];
    registry.cordon(&domain("b"));
    let fleet = fleet(&registry, 1).await;
    let request = match path {
        "/gen/x" => Request::stream(path, 20).body("b"),
        _ => Request::new("POST", path).body("b"),
    };
    request.send(fleet[0].callers()).await;
    tokio::time::sleep(wait).await;
    assert!(cordoned_targets.iter().all(|target| target.seen().is_empty()));
}

/// Guards against copies of running answers being kept in a cordoned domain.
#[ntex::test]
async fn no_copy_is_kept_in_a_cordoned_domain() {
    let registry = registry().await;
    let script = |_: &Seen| vec![stream_head(), event(1), stream_end()];
    let engine = target(&registry, "gen-1", "a", script).await;
    let _cordoned = target(&registry, "gen-2", "b", script).await;
    let copies = |seen: &[Seen]| {
        seen.iter().filter(|seen| seen.header("fireflyhoist-backup").is_some()).count()
    };
    registry.cordon(&domain("b"));
    let fleet = fleet(&registry, 1).await;
    for _ in 0..4 {
        Request::stream("/gen/x", 500).body("b").send(fleet[0].callers()).await;
    }
    assert_eq!((engine.seen().len(), copies(&engine.seen())), (4, 0));
    registry.lift(&domain("b"));
    eventually(async || {
        Request::stream("/gen/x", 500).body("b").send(fleet[0].callers()).await;
        copies(&engine.seen()) > 0
    })
    .await;
}

/// Guards against an entry never learning that there are no cordons, because its link was opened
/// before its peer knew.
#[ntex::test]
async fn entries_that_start_together_learn_that_there_are_no_cordons() {
    let registry = registry().await;
    let _open = lookup_target(&registry, "web-1", "a").await;
    registry.set_mood(Mood::Busy);
    let first = unready(registry.address(), "entry-0", &[]).await;
    let second = unready(UNREACHABLE, "entry-1", &[first.peers()]).await;
    tokio::time::sleep(PROPAGATION).await;
    registry.set_mood(Mood::Well);
    until_ready(&first).await;
    until_ready(&second).await;
    assert_eq!(send(&second).await.status, 200);
}
