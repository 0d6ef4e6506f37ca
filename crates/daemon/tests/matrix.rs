//! The fault matrix: every fault of a link or engine at every step of an exchange.
//!
//! Each cell is a service of its own in one text, with one engine behind a link that injects the
//! cell's fault at its step and another engine behind a healthy link. A cell is checked by what its
//! caller received and by how many generations its engines started.

mod support;

use std::fmt::Write;
use std::net::SocketAddr;

use fireflyhoist_harness::{Ended, Transcript, client, entry, host_list, standin, until_ready};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::engine::Engine;
use fireflyhoist_standin::link::{Link, Plan, Step, Strike};
use fireflyhoist_standin::script::Script;
use fireflyhoist_wire::caller::Completion;
use fireflyhoist_wire::problem::Ran;
use futures_util::future::join_all;
use ntex::client::Client;
use support::{Fleet, completion, engine};

/// Tokens of each answer.
const LENGTH: u64 = 12;

/// Requests within which the engine behind the faulty link must have been chosen.
const MAX_REQUESTS: usize = 24;

const STEPS: [Step; 9] = [
    Step::BeforeConnect,
    Step::Connected,
    Step::Partly,
    Step::Sent,
    Step::Accepted,
    Step::Token(0),
    Step::Token(LENGTH / 2),
    Step::Token(LENGTH - 1),
    Step::End,
];

struct Cell {
    service: String,
    whole: bool,
    plan: Plan,
    link: Link,
    healthy: Link,
}

/// What a cell's caller must receive, and how many generations must start for it.
struct Expected {
    whole: bool,
    runs: usize,
}

impl Cell {
    fn expected(&self) -> Expected {
        let streamed = matches!(self.plan.step, Step::Token(_));
        let started = streamed || matches!(self.plan.step, Step::Sent | Step::Accepted);
        match self.plan.strike {
            // The generation resumes over a new connection.
            Strike::Cut | Strike::Silent => Expected { whole: true, runs: 1 },
            Strike::Die if streamed && !self.whole => Expected { whole: false, runs: 1 },
            Strike::Die => Expected { whole: true, runs: 1 + usize::from(started) },
        }
    }

    /// Sends requests until the link has injected its fault, and checks every answer.
    async fn check(&self, client: &Client, address: SocketAddr, engines: [&Engine; 2]) {
        for n in 0..MAX_REQUESTS {
            let before = self.link.strikes();
            let prompt = format!("{} {n} tokens={LENGTH} salt", self.service);
            let body = Completion { model: self.service.as_str().into(), ..completion(&prompt) };
            let mut got = Transcript::default();
            let ended = got.ask(client, address, &body, "").await;
            let injected = self.link.strikes() > before || self.plan.step == Step::BeforeConnect;
            let expected = match injected {
                true => self.expected(),
                false => Expected { whole: true, runs: 1 },
            };
            let name = format!("{} {:?} whole={}", self.service, self.plan, self.whole);
            match (&ended, expected.whole) {
                (Ended::Whole, true) => assert_eq!(got.texts.len() as u64, LENGTH, "{name}"),
                (Ended::Failed(problem), false) => assert_eq!(problem.ran, Ran::Unknown, "{name}"),
                _ => panic!("{name}: {ended:?}"),
            }
            if let Some(generation) = &got.generation {
                let generation: Generation = generation.parse().expect("id");
                let script = Script::of(&prompt, generation, u64::MAX).text();
                assert!(script.starts_with(&got.text()), "{name}: {}", got.text());
            }
            let runs: usize = engines.iter().map(|engine| engine.started_of(&prompt)).sum();
            assert_eq!(runs, expected.runs, "{name}: generations started");
            if injected && self.link.strikes() >= self.plan.times {
                return;
            }
        }
        panic!("{}: the link was never used", self.service);
    }
}

fn cells(engines: [SocketAddr; 2]) -> Vec<Cell> {
    let streams = |line: &str| line.contains("/v1/streams");
    let mut cells = Vec::new();
    for whole in [false, true] {
        for (strike, times) in [
            (Strike::Cut, 1),
            (Strike::Cut, 2),
            (Strike::Silent, 1),
            (Strike::Silent, 2),
            (Strike::Die, 1),
        ] {
            for step in STEPS {
                // Before the connection exists it can be neither cut nor silent.
                if step == Step::BeforeConnect && strike != Strike::Die {
                    continue;
                }
                let plan = Plan { step, strike, times };
                cells.push(Cell {
                    service: format!("cell-{}", cells.len()),
                    whole,
                    plan,
                    link: Link::open(engines[0], Some(plan), streams).expect("link"),
                    healthy: Link::open(engines[1], None, streams).expect("link"),
                });
            }
        }
    }
    cells
}

fn text(cells: &[Cell]) -> String {
    let mut text = "revision = 1\n".to_owned();
    for (n, cell) in cells.iter().enumerate() {
        let delivery = if cell.whole { "whole" } else { "live" };
        let (link, healthy) = (cell.link.address(), cell.healthy.address());
        let _ = write!(
            text,
            "[[service]]\nname = \"{}\"\ndelivery = \"{delivery}\"\npatience_ms = 10000\n\
             target = [{{ name = \"a{n}\", host = \"m\", address = \"{link}\" }},\n\
             {{ name = \"b{n}\", host = \"m\", address = \"{healthy}\" }}]\n\
             [service.objective]\nbetween_tokens_ms = 10\n",
            cell.service
        );
    }
    text
}

/// A link is cut or goes silent, once or twice, or its engine dies for good, at each step from the
/// connection to the end mark. In no cell may a caller receive a token twice, out of order or of
/// two generations, and exactly as many generations must start as the fault requires.
#[ntex::test]
async fn link_faults_at_every_step_duplicate_no_token() {
    let (one, first) = engine();
    let (two, second) = engine();
    let cells = cells([one.address(), two.address()]);
    let mut fleet = Fleet::open(&text(&cells));
    let daemon = fleet.daemon("brno-1").await;
    let client = client().await;
    let address = daemon.http_address();
    join_all(cells.iter().map(|cell| cell.check(&client, address, [&first, &second]))).await;
}

/// An entry is killed (SIGKILL) during an answer, at each step that its caller can observe. The
/// caller presents its handle to another entry, which must resume the same generation.
#[ntex::test]
async fn an_entry_killed_at_any_step_loses_no_answer() {
    let (_platform, platform) = standin("platform", &[]);
    let (engine_process, engine) = standin("engine", &["--between-us", "20000"]);
    let survivor = entry("oslo-0", "sal-a", platform);
    let client = client().await;
    let text = support::text("live", 5_000, &[engine]);
    let put = |path: &str, body: String, kind: &'static str| {
        client.put(format!("http://{platform}{path}")).content_type(kind).send_body(body)
    };
    put("/operator/text", text, "text/plain").await.expect("text");
    for received in [0, 1, 10, 20] {
        let mut killed = entry(&format!("oslo-{}", received + 1), "sal-b", platform);
        let hosts = host_list(&[&survivor, &killed]);
        put("/operator/hosts", hosts, "application/json").await.expect("hosts");
        until_ready(&client, survivor.http).await;
        until_ready(&client, killed.http).await;
        let body = completion(&format!("tokens=20 salt {received}"));
        let mut got = Transcript { leave_after: Some(received), ..Transcript::default() };
        let ended = got.ask(&client, killed.http, &body, "").await;
        assert!(matches!(ended, Ended::Cut), "{ended:?}");
        killed.process.kill();
        got.leave_after = None;
        let ended = got.ask(&client, survivor.http, &body, "").await;
        assert!(matches!(ended, Ended::Whole), "{received}: {ended:?}");
        let generation: Generation = got.generation.as_deref().expect("one").parse().expect("id");
        assert_eq!(got.text(), Script::of(&body.prompt, generation, u64::MAX).text());
    }
    drop(engine_process);
}

/// An entry is paused (SIGSTOP) during an answer. Its caller receives nothing, not even a
/// keep-alive comment, and resumes at another entry; then the paused entry continues and still
/// holds the old call. Its late cancel must not end the generation that the other entry has
/// resumed.
#[ntex::test]
async fn the_late_cancel_of_a_paused_entry_ends_no_answer() {
    let (_platform, platform) = standin("platform", &[]);
    let (_engine, engine) = standin("engine", &["--between-us", "100000"]);
    let paused = entry("oslo-1", "sal-a", platform);
    let other = entry("oslo-2", "sal-b", platform);
    let client = client().await;
    let put = |path: &str, body: String, kind: &'static str| {
        client.put(format!("http://{platform}{path}")).content_type(kind).send_body(body)
    };
    put("/operator/text", support::text("live", 9_000, &[engine]), "text/plain").await.expect("ok");
    let hosts = host_list(&[&paused, &other]);
    put("/operator/hosts", hosts, "application/json").await.expect("hosts");
    until_ready(&client, paused.http).await;
    until_ready(&client, other.http).await;
    let body = completion("tokens=70 salt");
    let mut got = Transcript { leave_after: Some(3), ..Transcript::default() };
    got.ask(&client, paused.http, &body, "").await;
    paused.process.pause();
    got.leave_after = Some(6);
    let ended = got.ask(&client, other.http, &body, "").await;
    assert!(matches!(ended, Ended::Cut), "{ended:?}");
    // The continued entry cancels after its grace period of 3 s; the answer takes 7 s.
    got.leave_after = None;
    paused.process.wake();
    let ended = got.ask(&client, other.http, &body, "").await;
    assert!(matches!(ended, Ended::Whole), "{ended:?}");
    let generation: Generation = got.generation.as_deref().expect("one").parse().expect("id");
    assert_eq!(got.text(), Script::of(&body.prompt, generation, u64::MAX).text());
}
