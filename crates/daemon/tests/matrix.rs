//! The fault matrix: every fault of a link or engine at every step of an exchange.
//!
//! Each cell is a service of its own in one text, with one engine behind a link that strikes at
//! the cell's step and another that is sound. A cell is judged by what its caller received and by
//! how many generations its engines began.

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

/// Requests after which the engine behind the link must have been chosen.
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
    sound: Link,
}

/// What a cell's caller must receive, and how many generations may begin for it.
struct Expected {
    whole: bool,
    runs: usize,
}

impl Cell {
    fn expected(&self) -> Expected {
        let shown = matches!(self.plan.step, Step::Token(_));
        let begun = shown || matches!(self.plan.step, Step::Sent | Step::Accepted);
        match self.plan.strike {
            // Another link carries on with the one generation.
            Strike::Cut | Strike::Silent => Expected { whole: true, runs: 1 },
            Strike::Die if shown && !self.whole => Expected { whole: false, runs: 1 },
            Strike::Die => Expected { whole: true, runs: 1 + usize::from(begun) },
        }
    }

    /// Asks until the link has struck, and judges every answer.
    async fn judge(&self, client: &Client, address: SocketAddr, engines: [&Engine; 2]) {
        for n in 0..MAX_REQUESTS {
            let before = self.link.strikes();
            let prompt = format!("{} {n} tokens={LENGTH} salt", self.service);
            let body = Completion { model: self.service.as_str().into(), ..completion(&prompt) };
            let mut got = Transcript::default();
            let ended = got.ask(client, address, &body, "").await;
            let struck = self.link.strikes() > before || self.plan.step == Step::BeforeConnect;
            let expected = match struck {
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
            assert_eq!(runs, expected.runs, "{name}: generations begun");
            if struck && self.link.strikes() >= self.plan.times {
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
                // Without a connection there is nothing to cut or to go silent.
                if step == Step::BeforeConnect && strike != Strike::Die {
                    continue;
                }
                let plan = Plan { step, strike, times };
                cells.push(Cell {
                    service: format!("cell-{}", cells.len()),
                    whole,
                    plan,
                    link: Link::open(engines[0], Some(plan), streams).expect("link"),
                    sound: Link::open(engines[1], None, streams).expect("link"),
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
        let (link, sound) = (cell.link.address(), cell.sound.address());
        let _ = write!(
            text,
            "[[service]]\nname = \"{}\"\ndelivery = \"{delivery}\"\npatience_ms = 10000\n\
             target = [{{ name = \"a{n}\", host = \"m\", address = \"{link}\" }},\n\
             {{ name = \"b{n}\", host = \"m\", address = \"{sound}\" }}]\n\
             [service.objective]\nbetween_tokens_ms = 10\n",
            cell.service
        );
    }
    text
}

/// A link is cut, goes silent, or its engine dies for good, once or twice, at each step from the
/// connection to the end mark. Whatever the cell, a caller never receives a token twice, out of
/// order or of two generations, and no generation is begun that the rules do not call for.
#[ntex::test]
async fn every_fault_of_a_link_at_every_step() {
    let (one, first) = engine();
    let (two, second) = engine();
    let cells = cells([one.address(), two.address()]);
    let mut fleet = Fleet::open(&text(&cells));
    let daemon = fleet.daemon("brno-1").await;
    let client = client().await;
    let address = daemon.http_address();
    join_all(cells.iter().map(|cell| cell.judge(&client, address, [&first, &second]))).await;
}

/// An entry is killed (SIGKILL) while an answer arrives, at each step at which its caller can
/// tell. The caller takes its handle to another entry, which goes on with the one generation.
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

/// An entry is paused (SIGSTOP) while an answer arrives. Its caller hears nothing, not even a
/// comment, and goes on at another entry; then the paused one wakes and still believes that it
/// serves that caller. Its late cancel must not end what has been taken up elsewhere.
#[ntex::test]
async fn an_entry_that_pauses_and_wakes_loses_no_answer() {
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
    // The one that wakes cancels after its grace of 3 s; the answer takes 7 s.
    got.leave_after = None;
    paused.process.wake();
    let ended = got.ask(&client, other.http, &body, "").await;
    assert!(matches!(ended, Ended::Whole), "{ended:?}");
    let generation: Generation = got.generation.as_deref().expect("one").parse().expect("id");
    assert_eq!(got.text(), Script::of(&body.prompt, generation, u64::MAX).text());
}
