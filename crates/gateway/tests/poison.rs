//! Quarantine of requests that crash the targets that run them, without effect on other requests.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::{Answer, Request};
use support::restarting::{self, Crashes};
use support::target::{Seen, Step, event, events, stream_end, stream_head};
use support::{eventually, route, text, unready, until_ready};
use yare::parameterized;

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// The body of the request that crashes the target that runs it.
const POISON: &str = "poison";

/// The body of one that waits at its target before it is run.
const LATE_POISON: &str = "late poison";

/// Maximum number of sends of a request after it has crashed three targets.
const MAX_LATE_SENDS: usize = 3;

/// Interval between two callers that send the same request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);

fn serve(seen: &Seen) -> Vec<Step> {
    let pause = Step::Wait(Duration::from_millis(30));
    match seen.body.as_str() {
        POISON => vec![stream_head(), pause, Step::End],
        LATE_POISON => {
            vec![Step::Wait(Duration::from_millis(600)), stream_head(), pause, Step::End]
        }
        _ => vec![stream_head(), event(1), pause, event(2), stream_end()],
    }
}

struct Fleet {
    registry: Arc<Registry>,
    crashes: Crashes,
    entries: Vec<Gateway>,
}

impl Fleet {
    /// Starts four targets and `entries` entries.
    async fn open(entries: usize, kind: Kind) -> Self {
        let registry = Arc::new(Registry::open().await);
        let route = Route { attempts: 2, ..route("gen", kind) };
        registry.publish(text(1, vec![route]));
        let crashes = Crashes::default();
        for name in ["a", "b", "c", "d"] {
            restarting::spawn(&registry, &crashes, name, serve);
        }
        let mut fleet = Self { registry, crashes, entries: Vec::new() };
        for _ in 0..entries {
            fleet.join().await;
        }
        fleet
    }

    /// Starts another entry and waits until the first entry lists all of them.
    async fn join(&mut self) {
        let name = format!("entry-{}", self.entries.len());
        let seeds: Vec<_> = self.entries.iter().map(Gateway::peers).collect();
        let entry = unready(self.registry.address(), &name, &seeds).await;
        until_ready(&entry).await;
        self.entries.push(entry);
        let directory = Request::get("/v1/entries?domain=hala-a");
        let count = self.entries.len();
        let lists_all = async |answer: Answer| answer.body.matches("entry-").count() == count;
        eventually(async || lists_all(directory.send(self.entries[0].directory()).await).await)
            .await;
    }

    async fn send(&self, entry: usize, body: &str) -> Answer {
        Request::stream("/gen/x", 20).body(body).send(self.entries[entry].callers()).await
    }

    /// Sends the poison request until three targets have crashed, then waits until all entries have
    /// received the crashes.
    async fn crash_until_suspect(&self) {
        for entry in (0..self.entries.len()).cycle() {
            if self.crashes.count() >= 3 {
                break;
            }
            self.send(entry, POISON).await;
        }
        tokio::time::sleep(REQUEST_INTERVAL * 4).await;
    }
}

/// Guards against a request that crashes every target that runs it being sent to one target after
/// another.
#[parameterized(
    one_entry = { 1, RESUMABLE },
    two_entries = { 2, RESUMABLE },
    two_entries_safe = { 2, Kind::Safe },
    three_entries_unsafe = { 3, Kind::Unsafe },
)]
#[test_macro(ntex::test)]
async fn a_request_that_crashes_its_targets_is_quarantined(entries: usize, kind: Kind) {
    let fleet = Fleet::open(entries, kind).await;
    fleet.crash_until_suspect().await;
    let crashed = fleet.crashes.count();
    for nth in 0..10 {
        fleet.send(nth % entries, POISON).await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let more = fleet.crashes.count() - crashed;
    assert!(more <= MAX_LATE_SENDS, "{more} more targets crashed");
    let refused = fleet.send(0, POISON).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.body.contains("\"ran\":\"no\""), "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    let served = fleet.send(entries - 1, "another").await;
    assert_eq!((served.status, served.body, served.whole), (200, events(1, 2), true));
}

/// Guards against crashes being taken for a coincidence because the request had waited at its targets
/// before they began to run it.
#[ntex::test]
async fn a_request_that_waits_before_it_crashes_its_targets_is_quarantined() {
    let fleet = Fleet::open(2, RESUMABLE).await;
    for nth in 0..10 {
        fleet.send(nth % 2, LATE_POISON).await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    assert!(fleet.crashes.count() <= 3, "{} targets crashed", fleet.crashes.count());
}

/// Guards against an entry that has just joined sending a request that the other entries know to
/// crash targets.
#[ntex::test]
async fn a_joining_entry_receives_the_suspects() {
    let mut fleet = Fleet::open(2, RESUMABLE).await;
    fleet.crash_until_suspect().await;
    for nth in 0..4 {
        fleet.send(nth % 2, POISON).await;
    }
    let crashed = fleet.crashes.count();
    fleet.join().await;
    for _ in 0..6 {
        assert_eq!(fleet.send(2, POISON).await.status, 503);
    }
    assert_eq!(fleet.crashes.count(), crashed);
}
