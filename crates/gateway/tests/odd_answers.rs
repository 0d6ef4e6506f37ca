//! Bytes from a target in trouble that are no answer: statuses out of range, another protocol, heads
//! that stop. No caller may get them as an answer, directly or through another entry.

mod support;

use std::path::PathBuf;
use std::time::Duration;

use fireflyhoist_gateway::native::{Copied, Move, Native};
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use futures_util::future::join_all;
use support::caller::{Answer, Request};
use support::engines::{last_event, report};
use support::forwarder::{Forwarder, Mode};
use support::target::{Seen, Standin, Step, answer, event, events, stream_end, stream_head};
use support::{eventually, route, settings, text, until_ready};
use yare::parameterized;

/// The rest of an answer after its first line.
const REST: &str = "fireflyhoist-request: r-1\r\nx-stamp: s-1\r\ncontent-length: 5\r\n\r\nhello";

/// The beginning of a head that stops before its end.
const HEAD: &str = "HTTP/1.1 200 OK\r\nfireflyhoist-request: r-1\r\n";

const KINDS: [(&str, Kind); 4] = [
    ("safe", Kind::Safe),
    ("unsafe", Kind::Unsafe),
    ("stream", Kind::Stream { resumable: true }),
    ("page", Kind::Stream { resumable: false }),
];

/// How a connection ends after bytes that are no answer.
const ENDS: [&str; 3] = ["closed", "reset", "open"];

/// Whether the entry connects to targets itself, or through another entry.
const PATHS: [&str; 2] = ["direct", "relayed"];

/// Entries that share targets; the second one reaches them only through the first.
struct Fleet {
    entries: Vec<Gateway>,
    targets: Vec<Standin>,
    _registry: Registry,
}

impl Fleet {
    /// Starts two targets for each route.
    async fn open(
        routes: Vec<Route>,
        script: impl Fn(&Seen) -> Vec<Step> + Clone + Send + Sync + 'static,
    ) -> Self {
        let registry = Registry::open().await;
        let mut targets = Vec::new();
        for route in &routes {
            for nth in 0..2 {
                let name = format!("t-{}-{nth}", route.name);
                targets.push(Standin::open(&name, &route.name, script.clone()).await);
            }
        }
        let first = routes[0].name.clone();
        registry.publish(text(1, routes));
        targets.iter().for_each(|target| registry.put(target.listed.clone()));
        let mut entries: Vec<Gateway> = Vec::new();
        let mut forwarders = Vec::new();
        for nth in 0..2 {
            let seeds: Vec<_> = entries.iter().map(Gateway::peers).collect();
            let forwarder = Forwarder::open().await;
            let own = settings(&format!("entry-{nth}"), registry.address(), &seeds);
            let settings = Settings { forwarder: Some(forwarder.address), ..own };
            let entry =
                Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
            until_ready(&entry).await;
            entries.push(entry);
            forwarders.push(forwarder);
        }
        let known = Request::get("/v1/entries?domain=hala-a");
        for entry in &entries {
            let all = async || known.send(entry.directory()).await.body.matches("entry-").count();
            eventually(async || all().await == 2).await;
        }
        forwarders[1].set_mode(Mode::Refuse);
        let warm = Request::new("POST", &format!("/{first}/warm")).body("b");
        eventually(async || warm.send(entries[1].callers()).await.status == 200).await;
        Self { entries, targets, _registry: registry }
    }

    /// Returns how many requests for a path have reached targets.
    fn sent(&self, path: &str) -> usize {
        let seen = self.targets.iter().flat_map(Standin::seen);
        seen.filter(|seen| seen.line().contains(path)).count()
    }
}

/// The script of a target that sends `bytes` in place of the first answer to a path, or of each one.
fn script(bytes: String) -> impl Fn(&Seen) -> Vec<Step> + Clone + Send + Sync + 'static {
    let seen_paths = std::sync::Arc::new(parking_lot::Mutex::new(Vec::<String>::new()));
    move |seen: &Seen| {
        let line = seen.line().to_owned();
        if line.contains("/v1/") {
            return report(1);
        }
        if line.contains("/warm") {
            return answer(200, "hello");
        }
        let is_first = !seen_paths.lock().contains(&line);
        seen_paths.lock().push(line.clone());
        if is_first || line.contains("each") {
            let end = match ENDS.iter().find(|end| line.contains(*end)) {
                Some(&"reset") => vec![Step::Wait(Duration::from_millis(20)), Step::Reset],
                Some(&"open") => vec![Step::Hang],
                _ => Vec::new(),
            };
            return [vec![Step::Write(bytes.clone())], end].concat();
        }
        match line.contains("/stream") || line.contains("/page") {
            true => {
                let from = last_event(seen).unwrap_or(0) + 1;
                let events = (from..=3).map(event);
                std::iter::once(stream_head()).chain(events).chain([stream_end()]).collect()
            }
            false => answer(200, "hello"),
        }
    }
}

fn is_whole(kind: Kind, answer: &Answer) -> bool {
    let body = if kind.is_stream() { events(1, 3) } else { "hello".to_owned() };
    answer.status == 200 && answer.whole && answer.body == body && answer.trailing_bytes == 0
}

/// Guards against bytes that are no answer being passed on as one or as a part of one, and against a
/// request being lost that could have been repeated, or repeated that may have run.
#[parameterized(
    status_000 = { format!("HTTP/1.1 000 OK\r\n{REST}") },
    status_099 = { format!("HTTP/1.1 099 OK\r\n{REST}") },
    status_20 = { format!("HTTP/1.1 20 OK\r\n{REST}") },
    status_2000 = { format!("HTTP/1.1 2000 OK\r\n{REST}") },
    status_none = { format!("HTTP/1.1\r\n{REST}") },
    status_empty = { format!("HTTP/1.1  OK\r\n{REST}") },
    status_101 = { format!("HTTP/1.1 101 Switching Protocols\r\n{REST}") },
    status_600 = { format!("HTTP/1.1 600 X\r\n{REST}") },
    status_999 = { format!("HTTP/1.1 999 X\r\n{REST}") },
    other_protocol = { format!("RTSP/1.0 200 OK\r\n{REST}") },
    version_2_0 = { format!("HTTP/2.0 200 OK\r\n{REST}") },
    version_0_9 = { format!("HTTP/0.9 200 OK\r\n{REST}") },
    bare_body = { "hello".to_owned() },
    nothing = { String::new() },
    in_the_first_line = { "HTTP/1.1 20".to_owned() },
    after_the_status = { "HTTP/1.1 200".to_owned() },
    after_the_first_line = { "HTTP/1.1 200 OK\r\n".to_owned() },
    in_a_field = { "HTTP/1.1 200 OK\r\nfireflyhoist-request: r-1".to_owned() },
    after_a_field = { HEAD.to_owned() },
    half_of_the_empty_line = { format!("{HEAD}\r") },
    after_a_length = { format!("{HEAD}content-length: 5\r\n") },
    after_a_length_of_0 = { format!("{HEAD}content-length: 0\r\n") },
    half_of_the_empty_line_after_a_length_of_0 = { format!("{HEAD}content-length: 0\r\n\r") },
    after_chunks = { format!("{HEAD}transfer-encoding: chunked\r\n") },
    interim_answer = { "HTTP/1.1 100 Continue\r\n\r\n".to_owned() },
    interim_answers = { "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(3) },
)]
#[test_macro(ntex::test)]
async fn bytes_that_are_no_answer_are_not_passed_on(bytes: String) {
    play_all(bytes, |_, answer| {
        matches!(answer.status, 502 | 504) && !answer.head.contains("x-stamp")
    })
    .await;
}

/// Guards against an answer that stops in its body being passed on as a whole one.
#[parameterized(
    body_without_its_end = { format!("{HEAD}content-length: 5\r\n\r\nhel") },
    length_without_a_body = { format!("{HEAD}content-length: 5\r\n\r\n") },
    chunks_without_their_end = { format!("{HEAD}transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n") },
)]
#[test_macro(ntex::test)]
async fn answers_that_stop_in_their_bodies_are_not_whole(bytes: String) {
    let is_cut = |answer: &Answer| answer.status == 200 && !answer.whole && answer.body.is_empty();
    play_all(bytes, |kind, answer| {
        matches!(answer.status, 502 | 504) || kind.is_stream() && is_cut(answer)
    })
    .await;
}

/// Sends requests of each kind, directly and through another entry, to targets that send these bytes
/// once or each time. An answer is whole, from a repeat, or `has_failed`.
async fn play_all(bytes: String, has_failed: impl Fn(Kind, &Answer) -> bool) {
    let mut plays = Vec::new();
    for (name, kind) in KINDS {
        for end in ENDS {
            plays.extend(PATHS.map(|path| (format!("{name}-{end}-{path}"), kind)));
        }
    }
    let timeout = Duration::from_millis(1_500);
    let objective = Duration::from_millis(400);
    let play_route =
        |(name, kind): &(String, Kind)| Route { timeout, objective, ..route(name, *kind) };
    let fleet = Fleet::open(plays.iter().map(play_route).collect(), script(bytes)).await;
    let play = async |name: &str, kind: Kind| {
        let entry = &fleet.entries[usize::from(name.ends_with("relayed"))];
        let request = |path: &str| match kind.is_stream() {
            true => Request::stream(&format!("/{name}/{path}"), 50),
            false => Request::new("POST", &format!("/{name}/{path}")).body("b"),
        };
        for path in ["once", "each"] {
            let answer = request(path).send(entry.callers()).await;
            let sent = fleet.sent(&format!("/{name}/{path}"));
            let failed = has_failed(kind, &answer);
            let may_repeat = kind.is_idempotent() && path == "once" && !name.contains("open");
            let repeated = sent == 2 && is_whole(kind, &answer);
            let is_right = match (kind.is_idempotent(), path) {
                (true, "once") if may_repeat => repeated,
                (true, "once") => repeated || failed,
                (true, _) => failed && sent <= 2,
                (false, _) => failed && sent == 1,
            };
            assert!(is_right, "{name} {path}: sent {sent} times, {answer:?}");
        }
    };
    join_all(plays.iter().map(|(name, kind)| play(name, *kind))).await;
}

/// Guards against a run being taken for copied or stopped, or its answer being lost, since its engine
/// replies to a call to move it with bytes that are no answer.
#[parameterized(
    status_000 = { "HTTP/1.1 000 X\r\n{}", true },
    status_600 = { "HTTP/1.1 600 X\r\n{}", true },
    status_600_last = { "HTTP/1.1 600 X\r\n{}", false },
    status_101_last = { "HTTP/1.1 101 X\r\n{}", false },
    head_stops = { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n", true },
    head_stops_last = { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n", false },
    body_stops = { "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"copy\":\"c-odd\"}", true },
    body_stops_last = { "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"copy\":\"c-odd\"}", false },
    nothing_last = { "", false },
)]
#[test_macro(ntex::test)]
async fn a_run_is_not_moved_by_a_reply_that_is_none(bytes: &'static str, first: bool) {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("gen", Kind::Stream { resumable: true })]));
    let odd = "c-odd";
    let named = format!("content-length: 16\r\n\r\n{{\"copy\":\"{odd}\"}}");
    let bytes = match bytes.strip_suffix("\r\n{}") {
        Some(line) => format!("{line}\r\n{named}"),
        None => bytes.to_owned(),
    };
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        let bytes = bytes.clone();
        let script = move |seen: &Seen| {
            if seen.line().contains("/move") {
                let request: Move = serde_json::from_str(&seen.body).expect("a move");
                if first || request.last {
                    return vec![Step::Write(bytes.clone())];
                }
                let copied = Copied { copy: Some("c-1".into()) };
                return answer(200, &serde_json::to_string(&copied).expect("JSON"));
            }
            if seen.line().contains("/v1/") {
                return report(1);
            }
            let from = last_event(seen).unwrap_or(0) + 1;
            let each =
                (from..=100).flat_map(|id| [event(id), Step::Wait(Duration::from_millis(30))]);
            std::iter::once(stream_head()).chain(each).chain([stream_end()]).collect()
        };
        engines.push(Standin::open(name, "gen", script).await);
    }
    engines.iter().for_each(|engine| registry.put(engine.listed.clone()));
    let gateway = support::gateway(&registry).await;
    let request = Request::new("POST", "/gen/x")
        .header("fireflyhoist-prompt-tokens", "60000")
        .header("fireflyhoist-max-tokens", "100")
        .header("fireflyhoist-expected-tokens", "100")
        .body("b");
    let callers = gateway.callers();
    let answered = ntex::rt::spawn(async move { request.send(callers).await });
    let runs = |engine: &Standin| engine.seen().iter().any(|seen| seen.line().contains("/gen/"));
    eventually(async || engines.iter().any(runs)).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let source = engines.iter().find(|engine| runs(engine)).expect("one runs").clone();
    registry.put(source.draining());
    let answer = answered.await.expect("the caller ends");
    assert_eq!((answer.status, answer.body, answer.whole), (200, events(1, 100), true));
    let seen: Vec<Seen> = engines.iter().flat_map(Standin::seen).collect();
    assert!(seen.iter().any(|seen| seen.line().contains("/move")), "no move was asked");
    let copies = seen.iter().filter_map(|seen| seen.header("fireflyhoist-copy"));
    assert_eq!(copies.filter(|copy| copy.contains(odd)).count(), 0, "an odd copy was used");
}
