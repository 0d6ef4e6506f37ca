//! Requests that may run once at most, whatever comes between sending and running them.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::route::{Kind, Route, Text};
use fireflyhoist_standin::registry::Registry;
use futures_util::future::join_all;
use support::caller::{self, Answer, Request};
use support::counting::{Counting, Fault, Ledger, Point, STALL, whole};
use support::{gateway, route, text};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use yare::parameterized;

const STREAM: Kind = Kind::Stream { resumable: false };

/// The kinds of requests that may run once at most, with the most targets each may be sent to.
const ROUTES: [(Kind, u32); 4] = [(Kind::Unsafe, 1), (Kind::Unsafe, 2), (STREAM, 1), (STREAM, 2)];

/// More than one packet.
const LARGE_BYTES: usize = 200 << 10;

/// The pause between parts of a body that comes late.
const PAUSE: Duration = Duration::from_millis(120);

/// How the body of a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    Length,
    Chunks,
    Large,
    Late,
}

const BODIES: [Body; 4] = [Body::Length, Body::Chunks, Body::Large, Body::Late];

/// Which requests are answered whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Served {
    /// All.
    All,
    /// Those that may be sent to another target.
    Elsewhere,
    /// None: the request may have run.
    None,
    /// Any: a reset may arrive before the connection counts as open, and then nothing was sent.
    Any,
}

/// Returns the text with one route of this kind, whose engines move no runs and keep no backups.
fn single_route(revision: u64, kind: Kind, attempts: u32) -> Text {
    let mut text = text(revision, vec![Route { attempts, ..route("once", kind) }]);
    for engine in text.services.iter_mut().filter_map(|service| service.engine.as_mut()) {
        (engine.moves, engine.backups) = (false, false);
    }
    text
}

/// An entry before targets that count their runs.
struct Setup {
    registry: Registry,
    ledger: Ledger,
    targets: Vec<Counting>,
    entry: Gateway,
    kind: Kind,
}

impl Setup {
    async fn open(kind: Kind, attempts: u32, targets: usize) -> Self {
        let (registry, ledger) = (Registry::open().await, Ledger::default());
        registry.publish(single_route(1, kind, attempts));
        let mut opened = Vec::new();
        for nth in 0..targets {
            let target = Counting::open(&format!("t-{nth}"), "once", &ledger).await;
            registry.put(target.listed.clone());
            opened.push(target);
        }
        let entry = gateway(&registry).await;
        Self { registry, ledger, targets: opened, entry, kind }
    }

    async fn send(&self, id: &str, body: Body) -> Answer {
        send(self.entry.callers(), &request(self.kind, id), id, body).await
    }

    /// Checks that a request ran at most once, and as its answer says.
    fn check(&self, id: &str, answer: &Answer) {
        let runs = self.ledger.runs(id);
        assert!(runs.len() <= 1, "{id} ran at {runs:?}, answer {answer:?}");
        if answer.body.contains("\"ran\":\"no\"") {
            assert!(runs.is_empty(), "{id} was refused as not run, but ran: {runs:?}");
        }
        if answer.status == 200 && answer.whole {
            assert_eq!(runs.len(), 1, "{id} is answered");
            assert_eq!(answer.body, whole(self.kind.is_stream()));
        }
        assert!(runs.iter().all(|ran| ran.body.starts_with(id)), "{runs:?}");
    }
}

fn request(kind: Kind, id: &str) -> Request {
    let path = format!("/once/{id}?part=%2F1");
    let request = match kind.is_stream() {
        true => Request::stream(&path, 50),
        false => Request::new("POST", &path),
    };
    request.named(id)
}

/// Sends a request whose body begins with `id`, and reads its answer.
async fn send(to: SocketAddr, request: &Request, id: &str, body: Body) -> Answer {
    let framed = |text: &str| request.clone().header("content-length", &text.len().to_string());
    match body {
        Body::Length => framed(id).raw(id.as_bytes()).send(to).await,
        Body::Large => {
            let text = format!("{id}{}", "x".repeat(LARGE_BYTES));
            framed(&text).raw(text.as_bytes()).send(to).await
        }
        Body::Chunks => {
            let parts = [chunk(id), chunk("second"), "0\r\n\r\n".to_owned()];
            let head = request.clone().header("transfer-encoding", "chunked");
            send_in_parts(to, &head, &parts).await
        }
        Body::Late => {
            let text = format!("{id} and more");
            let head = framed(&text);
            let (first, rest) = text.split_at(id.len());
            send_in_parts(to, &head, &[String::new(), first.to_owned(), rest.to_owned()]).await
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn send_in_parts(to: SocketAddr, head: &Request, parts: &[String]) -> Answer {
    let mut stream: TcpStream = head.open(to).await;
    for part in parts {
        sleep(PAUSE).await;
        // Fails where the entry has answered already.
        let _ = stream.write_all(part.as_bytes()).await;
    }
    caller::read(stream).await
}

/// Sends a request with this body while the fault happens to it.
async fn suffer(kind: Kind, attempts: u32, body: Body, fault: Fault, served: Served) {
    let setup = Setup::open(kind, attempts, 3).await;
    setup.ledger.arm(fault);
    let answer = setup.send("r-1", body).await;
    assert!(!setup.ledger.is_armed(), "{fault:?} did not happen: {answer:?}");
    // A target that stands still goes on later.
    sleep(STALL + PAUSE).await;
    setup.check("r-1", &answer);
    let is_whole = answer.status == 200 && answer.whole;
    let expected = match served {
        Served::All => true,
        Served::Elsewhere => attempts > 1,
        Served::None => false,
        Served::Any => is_whole,
    };
    assert_eq!(is_whole, expected, "{fault:?}, {kind:?}, {attempts}, {body:?}: {answer:?}");
    if served == Served::Elsewhere && !expected {
        assert!(answer.body.contains("\"ran\":\"no\""), "{kind:?}, {body:?}: {answer:?}");
    }
}

/// Guards against a request that is sent to a second target although the first has run it or may
/// run it later, and against one that is given up although it has certainly not run.
#[parameterized(
    reset_when_accepted = { Fault::Reset(Point::Accepted), Served::Any },
    reset_unread = { Fault::Reset(Point::Arrived), Served::None },
    reset_after_head = { Fault::Reset(Point::Head), Served::None },
    reset_after_body = { Fault::Reset(Point::Body), Served::None },
    reset_after_first_byte = { Fault::Reset(Point::Answer), Served::None },
    closed_when_accepted = { Fault::Close(Point::Accepted), Served::None },
    closed_unread = { Fault::Close(Point::Arrived), Served::None },
    closed_after_head = { Fault::Close(Point::Head), Served::None },
    closed_after_body = { Fault::Close(Point::Body), Served::None },
    closed_after_first_byte = { Fault::Close(Point::Answer), Served::None },
    still_when_accepted = { Fault::StandStill(Point::Accepted), Served::All },
    still_unread = { Fault::StandStill(Point::Arrived), Served::All },
    still_after_head = { Fault::StandStill(Point::Head), Served::All },
    still_after_body = { Fault::StandStill(Point::Body), Served::All },
    still_after_first_byte = { Fault::StandStill(Point::Answer), Served::All },
    restarted_when_accepted = { Fault::Restart(Point::Accepted), Served::Any },
    restarted_unread = { Fault::Restart(Point::Arrived), Served::None },
    restarted_after_head = { Fault::Restart(Point::Head), Served::None },
    restarted_after_body = { Fault::Restart(Point::Body), Served::None },
    restarted_after_first_byte = { Fault::Restart(Point::Answer), Served::None },
    replaced_unread = { Fault::Replace(Point::Arrived), Served::None },
    replaced_after_body = { Fault::Replace(Point::Body), Served::None },
    misdirected = { Fault::Misdirected, Served::Elsewhere },
    declined = { Fault::Declined, Served::Elsewhere },
    busy_without_word = { Fault::Fails(503), Served::None },
    too_many_without_word = { Fault::Fails(429), Served::None },
    failed = { Fault::Fails(500), Served::None },
    no_answer = { Fault::Junk, Served::None },
    answer_to_another = { Fault::Crossed("200 OK"), Served::None },
    another_declined = {
        Fault::Crossed("503 Service Unavailable\r\nfireflyhoist-declined: 1"), Served::None
    },
    another_misdirected = { Fault::Crossed("421 Misdirected Request"), Served::None },
)]
#[test_macro(ntex::test)]
async fn a_request_runs_once_at_most(fault: Fault, served: Served) {
    let cases = ROUTES.into_iter().flat_map(|route| BODIES.map(|body| (route, body)));
    let suffered =
        cases.map(|((kind, attempts), body)| suffer(kind, attempts, body, fault, served));
    join_all(suffered).await;
}

/// Guards against a request that is given up since its target accepts no connection, although none of
/// it was sent.
#[parameterized(
    call = { Kind::Unsafe, 1 },
    call_that_may_be_sent_on = { Kind::Unsafe, 2 },
    stream = { STREAM, 1 },
    stream_that_may_be_sent_on = { STREAM, 2 },
)]
#[test_macro(ntex::test)]
async fn a_request_goes_elsewhere_if_a_target_refuses_connections(kind: Kind, attempts: u32) {
    let setup = Setup::open(kind, attempts, 3).await;
    setup.targets[0].end();
    for nth in 0..8 {
        let id = format!("r-{nth}");
        let answer = setup.send(&id, BODIES[nth % BODIES.len()]).await;
        setup.check(&id, &answer);
        assert!(answer.status == 200 && answer.whole, "{id}: {answer:?}");
    }
}

/// Guards against requests that are sent anew under a new configuration while their targets, which
/// stand still, have them.
#[parameterized(call = { Kind::Unsafe }, stream = { STREAM })]
#[test_macro(ntex::test)]
async fn a_new_configuration_sends_nothing_again(kind: Kind) {
    let setup = Setup::open(kind, 2, 3).await;
    let (entry, registry) = (setup.entry.callers(), &setup.registry);
    setup.ledger.arm(Fault::StandStill(Point::Arrived));
    let ids: Vec<String> = (0..12).map(|nth| format!("r-{nth}")).collect();
    let sent = ids.iter().enumerate().map(|(nth, id)| async move {
        sleep(PAUSE * u32::try_from(nth).expect("few")).await;
        send(entry, &request(kind, id), id, BODIES[nth % BODIES.len()]).await
    });
    let changed = async {
        for revision in 2..8 {
            sleep(PAUSE * 2).await;
            registry.publish(single_route(revision, kind, 1 + u32::from(revision % 2 == 0)));
        }
    };
    let (answers, ()) = futures_util::future::join(join_all(sent), changed).await;
    sleep(STALL).await;
    for (id, answer) in ids.iter().zip(&answers) {
        setup.check(id, answer);
        assert!(answer.status == 200 && answer.whole, "{id}: {answer:?}");
    }
}
