//! `demo`: the whole system on loopback in one process, its main job, and two failures in it.
//!
//! It ends by itself within a minute; its exit code says whether every answer was whole.

mod fleet;
mod screen;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::script::Script;
use fireflyhoist_tool::ask::caller::{Caller, Question};
use fireflyhoist_wire::caller::{Completion, Entries, WORKSPACE_HEADER};
use futures_util::future::{join, join_all};
use ntex::client::Client;

use crate::fleet::{Fleet, FleetError};
use crate::screen::{Shared, Transcript};

/// Lookups that the search pages send beside the generations.
const LOOKUPS: usize = 100;

/// How long to wait for the fleet to have the text in force.
const READY: Duration = Duration::from_secs(15);

/// How long an answer may make no progress.
const PATIENCE: Duration = Duration::from_secs(20);

/// Between two looks at what has happened.
const LOOK: Duration = Duration::from_millis(50);

/// Why the demo fails.
#[derive(Debug, Display, Error, From)]
enum DemoError {
    #[display("{_0}")]
    Fleet(FleetError),
    #[display("an answer could not be had: {_0}")]
    Ask(fireflyhoist_tool::Error),
    #[from(skip)]
    #[display("{what}; run it again, and report it if it recurs")]
    Wrong { what: &'static str },
}

#[ntex::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => {
            println!("\nEvery answer was whole, each byte as its engine produced it.");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), DemoError> {
    let begun = Instant::now();
    let mut fleet = Fleet::open().await?;
    let client = Client::new().await;
    ready(&client, &fleet.addresses()).await?;
    println!("Three daemons, five engines, a plain service and a platform are up.");
    println!("The text in force:\n\n{}", indented(&fleet.text()));
    addresses(&client, fleet.addresses()[0]).await?;
    ordinary_work(&fleet, &client).await?;
    failures(&mut fleet).await?;
    println!("Took {:.1} s.", begun.elapsed().as_secs_f64());
    Ok(())
}

fn indented(text: &str) -> String {
    text.lines().map(|line| format!("    {line}\n")).collect()
}

async fn ready(client: &Client, entries: &[SocketAddr]) -> Result<(), DemoError> {
    let end = Instant::now() + READY;
    for entry in entries {
        let url = format!("http://{entry}/readyz");
        while !client.get(&url).send().await.is_ok_and(|r| r.status().is_success()) {
            if Instant::now() >= end {
                return Err(DemoError::Wrong { what: "a daemon did not become ready" });
            }
            ntex::time::sleep(LOOK).await;
        }
    }
    Ok(())
}

async fn addresses(client: &Client, first: SocketAddr) -> Result<(), DemoError> {
    let request = client.get(format!("http://{first}/v1/entries"));
    let response = request.header(WORKSPACE_HEADER, "lodni-seznamy").send().await;
    let response = response.map_err(|_| DemoError::Wrong { what: "a daemon did not answer" })?;
    let entries: Entries = response
        .json()
        .await
        .map_err(|_| DemoError::Wrong { what: "a daemon answered no entries" })?;
    println!("Which addresses should lodni-seznamy use? In this order:");
    for entry in entries.entries {
        println!("    {} in {} at {}", entry.host, entry.domain, entry.address);
    }
    Ok(())
}

fn question(service: &str, workspace: &str, prompt: &str, whole: bool) -> Question {
    Question {
        completion: Completion {
            model: service.into(),
            prompt: prompt.to_owned(),
            max_tokens: None,
            stream: true,
        },
        workspace: workspace.parse().ok(),
        key: None,
        whole,
        patience: PATIENCE,
    }
}

async fn ask(
    fleet: &Fleet,
    question: Question,
    screen: Shared,
) -> Result<(), fireflyhoist_tool::Error> {
    Caller::open(fleet.addresses(), question, screen).await?.answer().await.map(drop)
}

fn check(prompt: &str, transcript: &Transcript) -> Result<(), DemoError> {
    let script = Script::of(prompt, Generation::new(0), u64::MAX);
    match transcript.text() == script.text() {
        true => Ok(()),
        false => Err(DemoError::Wrong { what: "an answer differs from what its engine produced" }),
    }
}

async fn look_up(client: &Client, entries: &[SocketAddr]) -> bool {
    let calls = (0..LOOKUPS).map(async |number| {
        let entry = entries[number % entries.len()];
        let request = client.get(format!("http://{entry}/s/search/people?n={number}"));
        let Ok(response) = request.send().await else { return false };
        let body = response.body().await.unwrap_or_default();
        body == format!("GET /people?n={number}\n").as_bytes()
    });
    join_all(calls).await.into_iter().all(|answered| answered)
}

async fn ordinary_work(fleet: &Fleet, client: &Client) -> Result<(), DemoError> {
    let page = "manifest of the Hansa, Bremen 1891 lines=60";
    let roster = "roster of 20 sites, week 49 lines=20";
    let (page_shown, roster_shown) = (Shared::default(), Shared::default());
    let answers = join(
        ask(fleet, question("transcribe", "lodni-seznamy", page, true), page_shown.clone()),
        ask(fleet, question("roster", "renhold", roster, false), roster_shown.clone()),
    );
    let entries = fleet.addresses();
    let ((page_answer, roster_answer), found) = join(answers, look_up(client, &entries)).await;
    page_answer?;
    roster_answer?;
    check(page, &page_shown.transcript())?;
    check(roster, &roster_shown.transcript())?;
    if !found {
        return Err(DemoError::Wrong { what: "a lookup was not answered" });
    }
    println!("\nA manifest page of 60 lines, whole; its first three:");
    print!("{}", indented(&page_shown.transcript().head(3)));
    println!("A roster of 20 sites, token by token; its first three:");
    print!("{}", indented(&roster_shown.transcript().head(3)));
    println!("{LOOKUPS} lookups beside them; the search service ran {}.", fleet.lookups());
    Ok(())
}

async fn failures(fleet: &mut Fleet) -> Result<(), DemoError> {
    println!("\nA second page; its engine and then its daemon are taken away in the middle.");
    let prompt = "manifest of the Fulda, Hamburg 1893 lines=60";
    let shown = Shared::default();
    let question = question("transcribe", "lodni-seznamy", prompt, true);
    let caller = Caller::open(fleet.addresses(), question, shown.clone()).await?;
    let answer = ntex::rt::spawn(caller.answer());
    let engine = reclaim(fleet, prompt).await?;
    println!("    engine {engine} is reclaimed");
    ntex::time::sleep(Duration::from_secs(1)).await;
    let Some(entry) = shown.transcript().entry() else {
        return Err(DemoError::Wrong { what: "the caller has turned to no entry" });
    };
    let host = fleet.crash_daemon(entry).unwrap_or("unknown");
    println!("    daemon {host} at {entry} crashes");
    let answered = answer.await.map_err(|_| DemoError::Wrong { what: "the caller ended early" })?;
    answered?;
    let transcript = shown.transcript();
    for note in transcript.notes() {
        println!("    caller: {note}");
    }
    check(prompt, &transcript)?;
    println!("    the page is whole: {} lines", transcript.text().lines().count());
    Ok(())
}

/// Waits until the page has begun at an engine, and a second more, then takes that engine away.
async fn reclaim(fleet: &mut Fleet, prompt: &str) -> Result<String, DemoError> {
    let end = Instant::now() + READY;
    while !fleet.runs(prompt) {
        if Instant::now() >= end {
            return Err(DemoError::Wrong { what: "the page did not begin at any engine" });
        }
        ntex::time::sleep(LOOK).await;
    }
    ntex::time::sleep(Duration::from_secs(1)).await;
    let taken = fleet.reclaim_engine(prompt).await;
    taken.ok_or(DemoError::Wrong { what: "no engine runs the page" })
}
