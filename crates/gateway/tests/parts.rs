//! Requests that share a part of their prompts which crashes engines are held back, without effect on
//! others that share the rest.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_gateway::native::PROMPT_PARTS_HEADER;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::{Answer, Request};
use support::restarting::{self, Crashes};
use support::target::{Seen, Step, event, events, stream_end, stream_head};
use support::{eventually, route, text, unready, until_ready};
use tokio::time::sleep;
use yare::parameterized;

/// The part that crashes engines.
const BAD: &str = "bad";

/// Engines that may end before the part is held.
const MAX_CRASHES: usize = 5;

/// Requests with the part that may reach engines after that.
const MAX_LATE_SENDS: usize = 3;

/// Time after the fifth crash from which on the bound holds.
const STABLE: Duration = Duration::from_secs(3);

fn serve(seen: &Seen) -> Vec<Step> {
    let pause = Step::Wait(Duration::from_millis(30));
    let parts = seen.header(PROMPT_PARTS_HEADER).unwrap_or_default();
    match parts.split(',').any(|part| part == BAD) {
        true => vec![stream_head(), pause, Step::End],
        false => vec![stream_head(), event(1), pause, event(2), stream_end()],
    }
}

struct Fleet {
    registry: Arc<Registry>,
    crashes: Crashes,
    entries: Vec<Gateway>,
    sent: usize,
}

impl Fleet {
    /// Starts ten engines and `entries` entries.
    async fn open(entries: usize) -> Self {
        let registry = Arc::new(Registry::open().await);
        let route = Route { attempts: 2, ..route("gen", Kind::Stream { resumable: true }) };
        registry.publish(text(1, vec![route]));
        let crashes = Crashes::default();
        for name in ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"] {
            restarting::spawn(&registry, &crashes, name, serve);
        }
        let mut fleet = Self { registry, crashes, entries: Vec::new(), sent: 0 };
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

    /// Sends a request that is like no other, with these parts and one of its own.
    async fn send(&mut self, entry: usize, parts: &str) -> Answer {
        self.sent += 1;
        let own = self.sent;
        let request = Request::stream("/gen/x", 20)
            .header(PROMPT_PARTS_HEADER, &format!("{parts},own-{own}"))
            .body(&format!("prompt {own}"));
        request.send(self.entries[entry].callers()).await
    }

    /// Sends requests with the part to all entries in turn, each beside different other parts.
    async fn send_bad(&mut self, count: usize) -> Vec<Answer> {
        let mut answers = Vec::new();
        for nth in 0..count {
            let entry = nth % self.entries.len();
            answers.push(self.send(entry, &format!("shared-{},{BAD}", nth % 3)).await);
        }
        answers
    }

    /// Sends requests with the part until the bound on crashes holds.
    async fn crash_engines(&mut self) {
        for _ in 0..2 * MAX_CRASHES {
            if self.crashes.count() >= MAX_CRASHES {
                break;
            }
            self.send_bad(1).await;
        }
        sleep(STABLE).await;
    }
}

/// Guards against requests that keep ending engines because no two of them are alike, at any entry.
#[parameterized(
    one_entry = { 1 },
    three_entries = { 3 },
)]
#[test_macro(ntex::test)]
async fn a_part_that_crashes_engines_is_held(entries: usize) {
    let mut fleet = Fleet::open(entries).await;
    fleet.crash_engines().await;
    let before = fleet.crashes.count();
    assert!(before <= MAX_CRASHES + 1, "{before} engines ended before it was held");
    let answers = fleet.send_bad(20).await;
    sleep(Duration::from_millis(300)).await;
    let late = fleet.crashes.count() - before;
    assert!(late <= MAX_LATE_SENDS, "sent {late} times more");
    let refused = answers.iter().filter(|answer| answer.status == 503);
    for answer in refused.clone() {
        assert!(answer.body.contains("\"ran\":\"no\""), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(answer.took < Duration::from_millis(500), "{:?}", answer.took);
    }
    assert!(refused.count() >= answers.len() - MAX_LATE_SENDS);
}

/// Guards against an entry that joins and has to learn of the part by itself.
#[ntex::test]
async fn an_entry_that_joins_holds_the_part_too() {
    let mut fleet = Fleet::open(2).await;
    fleet.crash_engines().await;
    let before = fleet.crashes.count();
    fleet.join().await;
    for _ in 0..10 {
        fleet.send(2, &format!("shared-0,{BAD}")).await;
    }
    sleep(Duration::from_millis(300)).await;
    let late = fleet.crashes.count() - before;
    assert!(late <= MAX_LATE_SENDS, "sent {late} times more");
}

/// Guards against sound requests that are refused because they share their caller, their route and
/// other parts with those that crash engines, while these keep coming.
#[ntex::test]
async fn sound_requests_that_share_other_parts_are_served() {
    let mut fleet = Fleet::open(2).await;
    fleet.crash_engines().await;
    let mut served = 0;
    for nth in 0..20 {
        fleet.send_bad(1).await;
        let answer = fleet.send(nth % 2, &format!("shared-{},sound-{}", nth % 3, nth % 2)).await;
        served += usize::from((answer.status, answer.body) == (200, events(1, 2)));
    }
    assert!(served >= 18, "{served} of 20 sound requests are served");
}
