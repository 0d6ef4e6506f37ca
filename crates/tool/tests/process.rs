//! The tool as a process: what it prints where, and its exit codes.

mod scripted;

use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};

use fireflyhoist_harness::{client, entry, host_list, program, standin, until_ready};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::script::Script;
use yare::parameterized;

fn tool(arguments: &[&str]) -> Output {
    Command::new(program("fireflyhoist"))
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .expect("the tool runs")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("ffh-tool-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

#[parameterized(
    no_command = { &[], 2 },
    unknown_command = { &["publish"], 2 },
    no_file = { &["check"], 2 },
    file_not_there = { &["check", "no-such-file.toml"], 2 },
    no_entry = { &["status"], 2 },
    host_name = { &["status", "--entry", "brno-1:7000"], 2 },
    format = { &["burn", "--entry", "127.0.0.1:1", "--format", "xml"], 2 },
    nobody_there = { &["status", "--entry", "127.0.0.1:1"], 1 },
)]
fn a_failure_is_told_on_standard_error(arguments: &[&str], code: i32) {
    let output = tool(arguments);
    assert_eq!(output.status.code(), Some(code), "{}", err(&output));
    assert!(!err(&output).is_empty());
    assert_eq!(out(&output), "");
}

#[parameterized(
    help = { &["--help"], "Available commands" },
    command_help = { &["submit", "--help"], "publishes nothing itself" },
    version = { &["--version"], "0.1.0" },
    completion = { &["--bpaf-complete-style-bash"], "complete" },
)]
fn help_and_completions_go_to_standard_output(arguments: &[&str], text: &str) {
    let output = tool(arguments);
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    assert!(out(&output).contains(text), "{}", out(&output));
}

#[test]
fn check_names_file_and_line_of_each_fault() {
    let bad = file("bad.toml", "revision = 0\n[[workspace]]\nname = \"A\"\n");
    let output = tool(&["check", &bad]);
    assert_eq!(output.status.code(), Some(1));
    let lines = err(&output);
    assert!(lines.contains(&format!("{bad}:1: revision `0` is out of range")), "{lines}");
    assert!(lines.contains(&format!("{bad}:3: `\"A\"`: name holds 'A'")), "{lines}");
    assert!(!lines.contains('\x1b'), "colour is for terminals");
}

#[test]
fn diff_finds_a_revision_that_was_not_raised() {
    let old = file("old.toml", "revision = 3\n[[workspace]]\nname = \"a\"\n");
    let same = file("same.toml", "revision = 3\n[[workspace]]\nname = \"b\"\n");
    let next = file("next.toml", "revision = 4\n[[workspace]]\nname = \"b\"\n");
    let output = tool(&["diff", &old, &next]);
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    assert_eq!(out(&output), "- workspace a: its key is refused\n+ workspace b: is served\n");
    let output = tool(&["diff", &old, &same]);
    assert_eq!(output.status.code(), Some(1));
    assert!(err(&output).contains("set revision = 4"), "{}", err(&output));
}

async fn put(platform: SocketAddr, path: &str, body: String, kind: &'static str) {
    let url = format!("http://{platform}/operator/{path}");
    client().await.put(url).content_type(kind).send_body(body).await.expect("published");
}

fn text(revision: u64, engine: SocketAddr) -> String {
    format!(
        "revision = {revision}\n[[service]]\nname = \"scan\"\n\
         target = [{{ name = \"t1\", host = \"m1\", address = \"{engine}\" }}]\n"
    )
}

/// An operator's day: look at the fleet, submit a text while the pipeline publishes it, ask for a
/// page, read the burn; then submit a text whose revision was forgotten, and one that the
/// pipeline never publishes.
#[ntex::test]
async fn an_operators_day_with_two_daemons() {
    let (_platform, platform) = standin("platform", &[]);
    let (_engine, engine) = standin("engine", &[]);
    let (a, b) = (entry("t-brno-1", "hala-a", platform), entry("t-brno-2", "hala-b", platform));
    put(platform, "hosts", host_list(&[&a, &b]), "application/json").await;
    put(platform, "text", text(1, engine), "text/plain").await;
    let http = client().await;
    until_ready(&http, a.http).await;
    until_ready(&http, b.http).await;
    let (one, two) = (a.http.to_string(), b.http.to_string());
    let fleet = ["--entry", one.as_str(), "--entry", two.as_str()];
    let with = |first: &[&str], rest: &[&str]| tool(&[first, &fleet, rest].concat());

    let second = file("second.toml", &text(2, engine));
    let following = Command::new(program("fireflyhoist"))
        .args([&["submit"], &fleet[..], &["--timeout", "25", &second]].concat())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    put(platform, "text", text(2, engine), "text/plain").await;
    let submitted = following.wait_with_output().expect("it ends");
    assert_eq!(submitted.status.code(), Some(0), "{}", err(&submitted));
    assert!(out(&submitted).contains("is in force on 2 of 2 hosts"), "{}", out(&submitted));

    let status = with(&["status"], &[]);
    assert_eq!(status.status.code(), Some(0), "{}{}", out(&status), err(&status));
    assert!(out(&status).contains("t-brno-2") && out(&status).contains("in use"));
    let json: serde_json::Value =
        serde_json::from_str(&out(&with(&["status"], &["--format", "json"]))).expect("json");
    assert_eq!(json[0]["status"]["in_force"]["revision"], 2);
    let entries = with(&["entries"], &["--workspace", "archive"]);
    assert!(out(&entries).contains(&one) && out(&entries).contains(&two), "{}", out(&entries));

    let prompt = "the manifest of the Hansa lines=20";
    let asked = with(&["ask"], &["scan", prompt]);
    assert_eq!(asked.status.code(), Some(0), "{}", err(&asked));
    let script = Script::of(prompt, Generation::new(0), u64::MAX);
    assert_eq!(out(&asked), format!("{}\n", script.text()));
    let burn = with(&["burn"], &[]);
    assert!(out(&burn).contains("between tokens"), "{}", out(&burn));
    let json: serde_json::Value =
        serde_json::from_str(&out(&with(&["burn"], &["--format", "json"]))).expect("json");
    assert_eq!(json[2]["measure"], "between_tokens");
    assert_eq!(json[2]["windows"][0]["total"], 79);

    let forgotten = file("forgotten.toml", &text(1, engine));
    let output = with(&["submit"], &[&forgotten]);
    assert_eq!(output.status.code(), Some(1), "{}", out(&output));
    assert!(err(&output).contains("set revision = 3"), "{}", err(&output));
    let unpublished = file("unpublished.toml", &text(9, engine));
    let output = with(&["submit", "--timeout", "0"], &[&unpublished]);
    assert_eq!(output.status.code(), Some(1), "{}", out(&output));
    assert!(err(&output).contains("t-brno-2 has 2-"), "{}", err(&output));
}

/// The open requests of an entry, by its own word.
async fn open(entry: SocketAddr) -> u64 {
    let response = client().await.get(format!("http://{entry}/v1/status")).send().await;
    let status: serde_json::Value = response.expect("sent").json().await.expect("a status");
    status["open"].as_u64().expect("a count")
}

/// A volunteer's page is being printed when the entry that serves it dies. The command goes on at
/// the other entry, from the same generation; every line is printed once.
#[ntex::test]
async fn ask_prints_a_page_whole_though_its_entry_is_killed() {
    let (_platform, platform) = standin("platform", &[]);
    let (_engine, engine) = standin("engine", &["--between-us", "10000"]);
    let mut entries =
        [entry("k-brno-1", "hala-a", platform), entry("k-brno-2", "hala-b", platform)];
    let list = host_list(&[&entries[0], &entries[1]]);
    put(platform, "hosts", list, "application/json").await;
    put(platform, "text", text(1, engine), "text/plain").await;
    let http = client().await;
    until_ready(&http, entries[0].http).await;
    until_ready(&http, entries[1].http).await;

    let prompt = "the manifest of the Saxonia lines=60";
    let (one, two) = (entries[0].http.to_string(), entries[1].http.to_string());
    let asking = Command::new(program("fireflyhoist"))
        .args(["ask", "--entry", &one, "--entry", &two, "scan", prompt])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    let serving = loop {
        let counts = [open(entries[0].http).await, open(entries[1].http).await];
        if let Some(serving) = counts.iter().position(|count| *count > 0) {
            break serving;
        }
    };
    ntex::time::sleep(std::time::Duration::from_millis(300)).await;
    entries[serving].process.kill();
    let output = asking.wait_with_output().expect("it ends");
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    let script = Script::of(prompt, Generation::new(0), u64::MAX);
    assert_eq!(out(&output), format!("{}\n", script.text()), "{}", err(&output));
    assert!(err(&output).contains("going on"), "{}", err(&output));
}

#[test]
fn ask_without_a_service_that_exists_gives_up_with_the_reason() {
    let mut server = scripted::Server::open(vec![scripted::entries, scripted::problem_404]);
    let output = tool(&["ask", "--entry", &server.address(), "nothing", "prompt"]);
    assert_eq!(output.status.code(), Some(1), "{}", err(&output));
    assert!(err(&output).contains("it was not run"), "{}", err(&output));
    server.end();
}

/// The entry dies after two tokens of a page. The next one, asked with the handle and the last
/// event, is full for a moment and then goes on: the page is printed whole, every token once.
#[test]
fn ask_resumes_elsewhere_and_obeys_retry_after() {
    let mut server = scripted::Server::open(vec![
        scripted::entries,
        scripted::two_tokens_then_cut,
        scripted::full,
        scripted::rest,
    ]);
    let output = tool(&["ask", "--entry", &server.address(), "scan", "prompt"]);
    assert_eq!(out(&output), "abc\n", "{}", err(&output));
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    let requests = server.end();
    let resumed = requests.last().expect("requests");
    assert!(resumed.contains("fireflyhoist-resume: handle-1"), "{resumed}");
    assert!(resumed.contains("last-event-id: g:1"), "{resumed}");
    assert!(err(&output).contains("going on in 0.3 s"), "{}", err(&output));
}

/// Something between caller and entry has lost track of the connection: it looks open and nothing
/// comes. The command leaves it after a few seconds and goes on over a new one.
#[test]
fn ask_leaves_a_connection_that_went_silent() {
    let mut server = scripted::Server::open(vec![
        scripted::entries,
        scripted::two_tokens_then_silence,
        scripted::rest,
    ]);
    let output = tool(&["ask", "--entry", &server.address(), "scan", "prompt"]);
    assert_eq!(out(&output), "abc\n", "{}", err(&output));
    assert!(err(&output).contains("went silent"), "{}", err(&output));
    server.end();
}
