//! Requests that end the targets that run them, and those that ran beside them.

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

/// The body of the request that ends what runs it.
const POISON: &str = "poison";

/// Sends that may still follow once three targets have ended.
const MORE: usize = 3;

/// Between two callers that ask for the same.
const PAUSE: Duration = Duration::from_millis(120);

fn serve(seen: &Seen) -> Vec<Step> {
    let pause = Step::Wait(Duration::from_millis(30));
    match seen.body.as_str() {
        POISON => vec![stream_head(), pause, Step::End],
        _ => vec![stream_head(), event(1), pause, event(2), stream_end()],
    }
}

struct World {
    registry: Arc<Registry>,
    toll: Crashes,
    entries: Vec<Gateway>,
}

impl World {
    /// Four targets behind so many entries.
    async fn open(entries: usize, kind: Kind) -> Self {
        let registry = Arc::new(Registry::open().await);
        let route = Route { attempts: 2, ..route("gen", kind) };
        registry.publish(text(1, vec![route]));
        let toll = Crashes::default();
        for name in ["a", "b", "c", "d"] {
            restarting::spawn(&registry, &toll, name, serve);
        }
        let mut world = Self { registry, toll, entries: Vec::new() };
        for _ in 0..entries {
            world.join().await;
        }
        world
    }

    /// Starts one more entry and waits until it knows the others.
    async fn join(&mut self) {
        let name = format!("entry-{}", self.entries.len());
        let seeds: Vec<_> = self.entries.iter().map(Gateway::peers).collect();
        let entry = unready(self.registry.address(), &name, &seeds).await;
        until_ready(&entry).await;
        self.entries.push(entry);
        let known = Request::get("/v1/entries?domain=hala-a");
        let count = self.entries.len();
        let all = async |answer: Answer| answer.body.matches("entry-").count() == count;
        eventually(async || all(known.send(self.entries[0].directory()).await).await).await;
    }

    async fn ask(&self, entry: usize, body: &str) -> Answer {
        Request::stream("/gen/x", 20).body(body).send(self.entries[entry].callers()).await
    }

    /// Asks for the poison until three targets have ended and all entries have had time to hear.
    async fn condemn(&self) {
        for entry in (0..self.entries.len()).cycle() {
            if self.toll.count() >= 3 {
                break;
            }
            self.ask(entry, POISON).await;
        }
        tokio::time::sleep(PAUSE * 4).await;
    }
}

/// Guards against a request that ends each target that runs it being sent to one after another.
#[parameterized(
    one_entry = { 1, RESUMABLE },
    two_entries = { 2, RESUMABLE },
    two_entries_whole = { 2, Kind::Safe },
    three_entries_unsafe = { 3, Kind::Unsafe },
)]
#[test_macro(ntex::test)]
async fn a_request_that_ends_its_targets_is_sent_no_more(entries: usize, kind: Kind) {
    let world = World::open(entries, kind).await;
    world.condemn().await;
    let ended = world.toll.count();
    for nth in 0..10 {
        world.ask(nth % entries, POISON).await;
        tokio::time::sleep(PAUSE).await;
    }
    let more = world.toll.count() - ended;
    assert!(more <= MORE, "{more} more targets ended");
    let refused = world.ask(0, POISON).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.body.contains("\"ran\":\"no\""), "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    let served = world.ask(entries - 1, "another").await;
    assert_eq!((served.status, served.body, served.whole), (200, events(1, 2), true));
}

/// Guards against an entry that has just joined sending what the others know to end targets.
#[ntex::test]
async fn an_entry_that_joins_is_told() {
    let mut world = World::open(2, RESUMABLE).await;
    world.condemn().await;
    for nth in 0..4 {
        world.ask(nth % 2, POISON).await;
    }
    let ended = world.toll.count();
    world.join().await;
    for _ in 0..6 {
        assert_eq!(world.ask(2, POISON).await.status, 503);
    }
    assert_eq!(world.toll.count(), ended);
}
