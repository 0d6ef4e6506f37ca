//! What targets say of themselves in their answers.

mod support;

use std::path::PathBuf;
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_gateway::native::Native;
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Seen, Standin, Step, answer, event, stream_end};
use support::{eventually, route, settings, text, until_ready};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// An answer with one more header.
fn with_header(steps: Vec<Step>, header: &str) -> Vec<Step> {
    let add = |step| match step {
        Step::Write(text) => Step::Write(text.replacen("\r\n", &format!("\r\n{header}\r\n"), 1)),
        step => step,
    };
    steps.into_iter().map(add).collect()
}

/// The script of a whole answer that says that its target leaves.
fn leaving(status: u16) -> Vec<Step> {
    with_header(answer(status, "x"), "fireflyhoist-leaving: 1")
}

fn declined() -> Vec<Step> {
    with_header(support::target::declined(), "fireflyhoist-leaving: 1")
}

fn stream() -> Vec<Step> {
    let head = with_header(vec![support::target::stream_head()], "fireflyhoist-leaving: 1");
    head.into_iter().chain([event(1), stream_end()]).collect()
}

/// The script of an answer that turns a request away and asks for rest.
fn rest(retry_after: &str) -> Vec<Step> {
    with_header(support::target::declined(), &format!("retry-after: {retry_after}"))
}

/// Two entries before targets that all run the same script, and one more that runs its own.
struct Fleet {
    entries: Vec<Gateway>,
    registry: Registry,
    speaker: Standin,
    others: Vec<Standin>,
}

impl Fleet {
    async fn open(
        script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static,
        others: usize,
    ) -> Self {
        let registry = Registry::open().await;
        let look = Route {
            timeout: Duration::from_secs(2),
            objective: Duration::from_millis(500),
            ..route("look", Kind::Safe)
        };
        registry.publish(text(1, vec![look]));
        let speaker = Standin::open("t-speaker", "look", script).await;
        let mut standins = Vec::new();
        for nth in 0..others {
            let name = format!("t-{nth}");
            standins.push(Standin::open(&name, "look", |_| answer(200, "found")).await);
        }
        registry.put(speaker.listed.clone());
        standins.iter().for_each(|target| registry.put(target.listed.clone()));
        let (first, second) = ("entry-0", "entry-1");
        let entry = support::unready(registry.address(), first, &[]).await;
        let settings = settings(second, registry.address(), &[entry.peers()]);
        let peer = Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
        let entries = vec![entry, peer];
        for entry in &entries {
            until_ready(entry).await;
            let known = Request::get("/v1/entries?domain=hala-a");
            let count = async || known.send(entry.directory()).await.body.matches("entry-").count();
            eventually(async || count().await == 2).await;
        }
        Self { entries, registry, speaker, others: standins }
    }

    /// Sends lookups to an entry until the speaker has got one.
    async fn until_spoken(&self, nth: usize) {
        eventually(async || {
            Request::new("GET", "/look/x").send(self.entries[nth].callers()).await;
            !self.speaker.seen().is_empty()
        })
        .await;
    }

    /// Sends lookups to an entry for a time; returns how many, and how many were found.
    async fn ask(&self, nth: usize, span: Duration) -> (usize, usize) {
        let end = Instant::now() + span;
        let (mut asked, mut found) = (0, 0);
        while Instant::now() < end {
            let answer = Request::new("GET", "/look/x").send(self.entries[nth].callers()).await;
            asked += 1;
            found += usize::from(answer.status == 200);
            sleep(Duration::from_millis(10)).await;
        }
        (asked, found)
    }
}

/// Requests reach a target after an answer of it has said that it leaves, although the registry does
/// not know yet, or denies it.
#[parameterized(
    answered = { leaving(200) },
    server_error = { leaving(500) },
    turned_away = { declined() },
    in_chunks = { stream() },
)]
#[test_macro(ntex::test)]
async fn a_target_that_says_it_leaves_gets_nothing_more(script: Vec<Step>) {
    let fleet = Fleet::open(move |_| script.clone(), 3).await;
    fleet.until_spoken(0).await;
    sleep(Duration::from_millis(300)).await;
    let before = fleet.speaker.seen().len();
    assert_eq!(before, 1, "it said so in its first answer");
    for nth in [0, 1] {
        let (asked, found) = fleet.ask(nth, Duration::from_millis(500)).await;
        assert_eq!(found, asked, "entry {nth}");
    }
    let listed = fleet.speaker.listed.clone();
    let renewal = listed.renewal + 1;
    fleet.registry.put(fireflyhoist_policy::lease::Target { renewal, ..listed });
    sleep(Duration::from_millis(300)).await;
    fleet.ask(0, Duration::from_millis(500)).await;
    assert_eq!(fleet.speaker.seen().len(), before);
    let got: usize = fleet.others.iter().map(|target| target.seen().len()).sum();
    assert!(got > 20, "the others serve");
}

/// A target that turned a request away and asked for rest gets requests before its time is over.
#[parameterized(
    seconds = { "2", 2_000 },
    fraction = { "1.5", 1_500 },
)]
#[test_macro(ntex::test)]
async fn a_target_that_asks_for_rest_gets_none_until_it_is_over(asked_for: &'static str, ms: u64) {
    let fleet = Fleet::open(move |_| rest(asked_for), 2).await;
    fleet.until_spoken(0).await;
    let from = Instant::now();
    let before = fleet.speaker.seen().len();
    let until = Duration::from_millis(ms * 4 / 5).saturating_sub(from.elapsed());
    let (asked, found) = fleet.ask(0, until).await;
    assert_eq!(found, asked, "the others serve");
    assert!(fleet.speaker.seen().len() <= before, "it got {}", fleet.speaker.seen().len());
    eventually(async || {
        fleet.ask(0, Duration::from_millis(50)).await;
        fleet.speaker.seen().len() > before
    })
    .await;
    assert!(from.elapsed() >= Duration::from_millis(ms * 9 / 10), "after {:?}", from.elapsed());
}

/// Requests wait for targets that all rest, or are told to come back before the rest is over.
#[ntex::test]
async fn requests_are_refused_at_once_while_all_targets_rest() {
    let fleet = Fleet::open(|_| rest("4"), 0).await;
    fleet.until_spoken(0).await;
    let answer = Request::new("GET", "/look/x").send(fleet.entries[0].callers()).await;
    assert_eq!(answer.status, 503);
    assert!(answer.took < Duration::from_millis(200), "it took {:?}", answer.took);
    let after: f64 = answer.header("retry-after").and_then(|s| s.parse().ok()).expect("a number");
    assert!((3.5..5.1).contains(&after), "come back after {after} s");
    assert_eq!(fleet.speaker.seen().len(), 1);
}
