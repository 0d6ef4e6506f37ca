//! An entry that is stopped alone, while nothing else is wrong: what it passes on late ends before it
//! does, and what can't is refused before it is sent.

mod support;

use std::time::Duration;

use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::{Answer, Request, read};
use support::target::{Seen, Standin, Step, answer, event, stream_end, stream_head};
use support::{gateway, route, text};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use yare::parameterized;

const STREAM: Kind = Kind::Stream { resumable: false };
const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// The grace period of the entry.
const GRACE: Duration = Duration::from_secs(4);

/// The time from the beginning of a drain until the entry answers all that it has not answered.
const OPEN_FOR: Duration = Duration::from_millis(3_600);

/// The time between two requests.
const INTERVAL: Duration = Duration::from_millis(100);

/// How long the second half of a body takes to arrive.
const BODY_DELAY: Duration = Duration::from_millis(150);

/// The longest that an answer takes beside the work of its target, and what that varies by.
const SLACK: Duration = Duration::from_millis(150);

/// The tokens of each stream.
const TOKENS: u32 = 10;

/// What became of the requests of one stop.
#[derive(Debug, Default)]
struct Tally {
    /// Answered in full.
    served: usize,
    /// Refused as not run, and not sent.
    refused: usize,
    /// Not read before the process had ended.
    unread: usize,
    /// Ended at the timeout of the route.
    timed_out: usize,
    /// Sent, and answered with a status that says that it may have run; with their ages.
    unknown: Vec<Duration>,
    /// Sent, and ended without a complete answer, or with a refusal.
    cut: Vec<(Duration, u16)>,
    /// Not served although there was time; with their ages and statuses.
    missed: Vec<(Duration, u16)>,
}

impl Tally {
    fn record(&mut self, age: Duration, answer: &Answer, ran: bool, had_time: bool) {
        let says = |ran: &str| answer.body.contains(&format!("\"ran\":\"{ran}\""));
        match answer.status {
            200 if answer.whole => self.served += 1,
            503 if answer.whole && says("no") && !ran => self.refused += 1,
            408 if answer.whole && !ran => self.refused += 1,
            502 if answer.whole && says("unknown") => self.unknown.push(age),
            504 if answer.whole => self.timed_out += 1,
            0 if !ran => self.unread += 1,
            status => self.cut.push((age, status)),
        }
        if had_time && !(answer.status == 200 && answer.whole) {
            self.missed.push((age, answer.status));
        }
    }
}

/// How a request reaches the entry.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    NewConnection,
    OpenConnection,
    LateBody,
}

/// Returns the script of a target that works as long as the path of a request says.
fn works(seen: &Seen) -> Vec<Step> {
    let id = seen.header("fireflyhoist-request").unwrap_or_default();
    let path = seen.line().split(' ').nth(1).unwrap_or_default();
    let work = path.rsplit('/').next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
    let work = Duration::from_millis(work);
    let mut written = match path.starts_with("/gen") {
        false => vec![Step::Wait(work)],
        true => vec![],
    };
    if path.starts_with("/gen") {
        written.push(stream_head());
        let events = (1..=u64::from(TOKENS)).map(event);
        written.extend(events.flat_map(|event| [Step::Wait(work / TOKENS), event]));
        written.push(stream_end());
    } else {
        written.extend(answer(200, "w"));
    }
    let named = |step| match step {
        Step::Write(text) => Step::Write(text.replace("r-1", id)),
        step => step,
    };
    written.into_iter().map(named).collect()
}

fn request(kind: Kind, id: &str, work: Duration) -> Request {
    let work = work.as_millis();
    let request = match kind {
        Kind::Stream { .. } => Request::stream(&format!("/gen/{id}/{work}"), TOKENS.into()),
        _ => Request::new("POST", &format!("/web/{id}/{work}")),
    };
    request.named(id).body("body")
}

/// Sends a request, and returns when its last byte was sent, with the answer.
async fn send(
    request: Request,
    connection: std::io::Result<TcpStream>,
    arrival: Arrival,
) -> (Instant, Answer) {
    let Ok(mut connection) = connection else { return (Instant::now(), Answer::default()) };
    let bytes = request.bytes();
    let (first, rest) = match arrival {
        Arrival::LateBody => bytes.split_at(bytes.len() - 2),
        Arrival::NewConnection | Arrival::OpenConnection => bytes.split_at(bytes.len()),
    };
    let _ = connection.write_all(first).await;
    if !rest.is_empty() {
        sleep(BODY_DELAY).await;
        let _ = connection.write_all(rest).await;
    }
    let sent_at = Instant::now();
    (sent_at, read(connection).await)
}

/// Stops an entry to which requests come all the while. `before` are the durations of calls that
/// have ended when it is stopped.
async fn stop(route: Route, before: &[Duration], work: Duration) -> Tally {
    let kind = route.kind;
    let registry = Registry::open().await;
    let service = route.parts[0].service.to_string();
    registry.publish(text(1, vec![route]));
    let target = Standin::open("t-1", &service, works).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    let callers = gateway.callers();
    let earlier: Vec<JoinHandle<Answer>> = before
        .iter()
        .enumerate()
        .map(|(number, work)| {
            let request = request(kind, &format!("b-{number}"), *work);
            spawn_local(async move { request.send(callers).await })
        })
        .collect();
    for answer in earlier {
        assert_eq!(answer.await.expect("it ends").status, 200);
    }
    let count = GRACE.as_millis() / INTERVAL.as_millis();
    let mut kept = Vec::new();
    for _ in 0..count {
        kept.push(TcpStream::connect(callers).await);
    }
    let begins_at = Instant::now();
    let drain = spawn_local(gateway.drain());
    let mut sent = Vec::new();
    for (number, open) in (0..).zip(kept) {
        sleep_until(begins_at + INTERVAL * number).await;
        let id = format!("r-{number}");
        let request = request(kind, &id, work);
        let arrival = match number % 3 {
            0 => Arrival::NewConnection,
            1 => Arrival::OpenConnection,
            _ => Arrival::LateBody,
        };
        let sending = spawn_local(async move {
            let connection = match arrival {
                Arrival::OpenConnection => open,
                Arrival::NewConnection | Arrival::LateBody => TcpStream::connect(callers).await,
            };
            send(request, connection, arrival).await
        });
        sent.push((id, sending));
    }
    drain.await.expect("it ends");
    let mut tally = Tally::default();
    for (id, sending) in sent {
        let (sent_at, answer) = sending.await.expect("it ends");
        let age = sent_at - begins_at;
        let seen = target.seen();
        let ran = seen.iter().any(|seen| seen.header("fireflyhoist-request") == Some(id.as_str()));
        tally.record(age, &answer, ran, age + work.mul_f64(1.2) + SLACK < OPEN_FOR);
    }
    println!("{kind:?} {before:?} {work:?}: {tally:?}");
    tally
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a route with a timeout beyond the grace period.
fn patient(kind: Kind, objective: Duration) -> Route {
    let name = if kind.is_stream() { "gen" } else { "web" };
    Route { timeout: Duration::from_secs(20), objective, ..route(name, kind) }
}

/// Guards against calls that are sent late in a drain although calls of their route take longer than
/// what is left, and against calls that are refused although they would end in time.
#[parameterized(
    unsafe_short = { Kind::Unsafe, 10 },
    unsafe_second = { Kind::Unsafe, 1_000 },
    unsafe_long = { Kind::Unsafe, 2_500 },
    unsafe_longer = { Kind::Unsafe, 3_000 },
    unsafe_too_long = { Kind::Unsafe, 3_800 },
    unsafe_longer_than_the_drain = { Kind::Unsafe, 4_500 },
    safe_short = { Kind::Safe, 10 },
    safe_second = { Kind::Safe, 1_000 },
    safe_long = { Kind::Safe, 2_500 },
    safe_too_long = { Kind::Safe, 3_800 },
)]
#[test_macro(ntex::test)]
async fn calls_of_known_duration_are_served_or_refused(kind: Kind, work: u64) {
    let work = ms(work);
    let tally = stop(patient(kind, ms(2_000)), &[work; 6], work).await;
    assert!(tally.cut.is_empty(), "{tally:?}");
    assert!(tally.unknown.is_empty(), "{tally:?}");
    assert!(tally.missed.is_empty(), "{tally:?}");
}

/// Guards against calls that end without an answer, and against calls that are still sent late in a
/// drain while earlier ones run for longer than is left, where nothing is known of their route before
/// the drain, or what is known is wrong.
#[parameterized(
    unknown_second = { Kind::Unsafe, &[], 1_000, 2_000 },
    unknown_long = { Kind::Unsafe, &[], 3_000, 2_000 },
    unknown_too_long = { Kind::Unsafe, &[], 3_800, 2_000 },
    unknown_longer_than_the_drain = { Kind::Unsafe, &[], 4_500, 2_000 },
    short_before = { Kind::Unsafe, &[10; 100], 3_000, 2_000 },
    short_before_too_long = { Kind::Unsafe, &[10; 100], 3_800, 2_000 },
    safe_short_before = { Kind::Safe, &[10; 100], 3_800, 2_500 },
)]
#[test_macro(ntex::test)]
async fn calls_of_unknown_duration_are_answered(kind: Kind, before: &[u64], work: u64, until: u64) {
    let before: Vec<Duration> = before.iter().copied().map(ms).collect();
    let tally = stop(patient(kind, ms(2_000)), &before, ms(work)).await;
    assert!(tally.cut.is_empty(), "{tally:?}");
    assert!(tally.unknown.iter().all(|age| *age < ms(until)), "{tally:?}");
}

/// Guards against calls that are refused although they end in time, since an answer or the timeout of
/// their route ends each.
#[parameterized(
    ends_at_its_timeout = { 1_000, 3_000 },
    longer_than_the_drain = { 1_000, 4_500 },
)]
#[test_macro(ntex::test)]
async fn calls_that_end_at_their_timeout_are_sent(timeout: u64, work: u64) {
    let route = Route { timeout: ms(timeout), ..patient(Kind::Unsafe, ms(2_000)) };
    let tally = stop(route, &[], ms(work)).await;
    assert!(tally.cut.is_empty() && tally.unknown.is_empty(), "{tally:?}");
    assert!(tally.timed_out > 20, "{tally:?}");
}

/// Guards against streams that end without an answer since they are begun late in a drain, at an
/// engine that works at its usual pace.
#[parameterized(
    short = { STREAM, 10 },
    usual = { STREAM, 150 },
    slow = { STREAM, 1_000 },
    resumable_usual = { RESUMABLE, 150 },
    resumable_slow = { RESUMABLE, 1_000 },
    very_slow = { STREAM, 3_000 },
)]
#[test_macro(ntex::test)]
async fn streams_are_served_or_refused(kind: Kind, work: u64) {
    let tally = stop(patient(kind, ms(2_000)), &[ms(work); 6], ms(work)).await;
    assert!(tally.cut.is_empty(), "{tally:?}");
    assert!(tally.unknown.is_empty(), "{tally:?}");
}
