//! Requests that may run once at most, whatever comes between sending and running them.

mod support;

use std::time::Duration;

use fireflyhoist_gateway::Gateway;
use fireflyhoist_policy::route::{Kind, Route, Text};
use fireflyhoist_standin::registry::Registry;
use futures_util::future::join_all;
use support::bodies::{BODIES, Body, PAUSE, request, send};
use support::caller::Answer;
use support::counting::{Counting, Fault, Ledger, Point, STALL, whole};
use support::{eventually, gateway, route, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::sleep;
use yare::parameterized;

const STREAM: Kind = Kind::Stream { resumable: false };

/// The kinds of requests that may run once at most, with the most targets each may be sent to.
const ROUTES: [(Kind, u32); 4] = [(Kind::Unsafe, 1), (Kind::Unsafe, 2), (STREAM, 1), (STREAM, 2)];

/// How long a run may go on at one target after the next one has begun at another.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

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
    // Its port must not go to a target of another test in the same process.
    let address = setup.targets[0].listed.address;
    let held = TcpSocket::new_v4().expect("a socket");
    eventually(async || held.bind(address).is_ok()).await;
    for nth in 0..8 {
        let id = format!("r-{nth}");
        let answer = setup.send(&id, BODIES[nth % BODIES.len()]).await;
        setup.check(&id, &answer);
        assert!(answer.status == 200 && answer.whole, "{id}: {answer:?}");
    }
}

/// Guards against a request that is sent elsewhere, or refused as not run, since its time is over while
/// its target stands still with it.
#[parameterized(
    unread = { Point::Arrived },
    after_head = { Point::Head },
    after_body = { Point::Body },
)]
#[test_macro(ntex::test)]
async fn a_request_that_is_late_is_not_sent_elsewhere(point: Point) {
    for (kind, attempts) in ROUTES {
        let setup = Setup::open(kind, attempts, 3).await;
        setup.ledger.arm(Fault::StandStill(point));
        let request = request(kind, "r-1").header("fireflyhoist-timeout-ms", "500");
        let answer = send(setup.entry.callers(), &request, "r-1", Body::Length).await;
        sleep(STALL).await;
        setup.check("r-1", &answer);
        assert_eq!(answer.status, 504, "{answer:?}");
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

/// Guards against requests of a connection that run again, or under another's id, since the caller sent
/// several at once, waited for an interim answer, or left in between.
#[parameterized(
    pipelined = { "", 3, false },
    with_expectation = { "expect: 100-continue\r\n", 1, false },
    pipelined_with_expectation = { "expect: 100-continue\r\n", 3, false },
    pipelined_by_a_caller_that_leaves = { "", 3, true },
)]
#[test_macro(ntex::test)]
async fn requests_of_one_connection_run_once_each(header: &str, count: usize, leaves: bool) {
    let setup = Setup::open(Kind::Unsafe, 2, 3).await;
    setup.ledger.arm(Fault::StandStill(Point::Body));
    let mut bytes = Vec::new();
    for nth in 1..=count {
        let own = request(Kind::Unsafe, &format!("r-{nth}")).without("connection: close\r\n");
        let last = if nth == count { "connection: close\r\n" } else { "" };
        let framed = format!("{header}{last}transfer-encoding: chunked\r\n\r\n");
        let text = String::from_utf8(own.bytes()).expect("text");
        bytes.extend_from_slice(text.trim_end_matches("\r\n").as_bytes());
        bytes.extend_from_slice(format!("\r\n{framed}3\r\nr-{nth}\r\n0\r\n\r\n").as_bytes());
    }
    let mut caller = tokio::net::TcpStream::connect(setup.entry.callers()).await.expect("open");
    caller.write_all(&bytes).await.expect("the entry reads");
    if leaves {
        eventually(async || !setup.ledger.is_armed()).await;
        drop(caller);
        sleep(STALL * 2).await;
    } else {
        let mut received = String::new();
        caller.read_to_string(&mut received).await.expect("answers");
        assert_eq!(received.matches("whole").count(), count, "{received}");
    }
    for nth in 1..=count {
        let runs = setup.ledger.runs(&format!("r-{nth}"));
        assert!(runs.len() <= 1, "{runs:?}");
        assert!(leaves || runs.len() == 1, "r-{nth} ran {} times", runs.len());
    }
}

/// Guards against a stream that begins again at a second target while the first, which stands still and
/// has not noticed that its connection is lost, still has it.
#[ntex::test]
async fn a_stream_begins_again_only_after_its_run() {
    let setup = Setup::open(Kind::Stream { resumable: true }, 2, 3).await;
    for body in BODIES {
        let id = format!("{body:?}");
        setup.ledger.arm(Fault::Cut(Point::Body));
        let answer = setup.send(&id, body).await;
        sleep(STALL).await;
        assert!(answer.status == 200 && answer.whole, "{answer:?}");
        assert_eq!(setup.ledger.runs(&id).len(), 2);
        let overlap = setup.ledger.overlap(&id);
        assert!(overlap < MAX_OVERLAP, "{id} was at work at two targets for {overlap:?}");
    }
}
