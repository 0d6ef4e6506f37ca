//! At-most-once execution of calls to services that are not idempotent.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_daemon::Daemon;
use fireflyhoist_harness::client;
use fireflyhoist_standin::Running;
use fireflyhoist_standin::fault::{Fault, Order};
use fireflyhoist_standin::link::{Link, Plan, Step, Strike};
use fireflyhoist_standin::plain::Plain;
use fireflyhoist_wire::caller::{REPLAYED_HEADER, TICKET_HEADER, Ticket, WORKSPACE_HEADER};
use fireflyhoist_wire::platform::Listen;
use fireflyhoist_wire::problem::{Problem, Ran};
use ntex::client::Client;
use support::{ANY, Fleet, plain_text};
use yare::parameterized;

fn plain() -> (Running, Arc<Plain>) {
    Plain::bind(ANY).expect("plain")
}

async fn ticket(client: &Client, entry: SocketAddr, service: &str) -> String {
    let url = format!("http://{entry}/v1/tickets");
    let body = serde_json::json!({ "service": service });
    let response = client.post(url).send_json(&body).await.expect("sent");
    assert_eq!(response.status(), 200);
    response.json::<Ticket>().await.expect("a ticket").ticket.to_string()
}

/// What a caller received for a call.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Reply { body: String, replayed: bool },
    Refused { kind: String, ran: Ran },
}

impl Outcome {
    fn refused(kind: &str, ran: Ran) -> Self {
        Self::Refused { kind: kind.to_owned(), ran }
    }

    fn sent(replayed: bool) -> Self {
        Self::Reply { body: "POST /crew?ward=3\nat dawn".to_owned(), replayed }
    }
}

async fn dispatch(client: &Client, entry: SocketAddr, ticket: &str) -> Outcome {
    call(client, entry, "dispatch", "default", ticket, "at dawn").await
}

async fn call(
    client: &Client,
    entry: SocketAddr,
    service: &str,
    workspace: &str,
    ticket: &str,
    body: &'static str,
) -> Outcome {
    let mut request = client
        .post(format!("http://{entry}/s/{service}/crew?ward=3"))
        .header(WORKSPACE_HEADER, workspace);
    if !ticket.is_empty() {
        request = request.header(TICKET_HEADER, ticket);
    }
    let response = request.send_body(body).await.expect("the entry answers");
    let replayed = response.headers().contains_key(REPLAYED_HEADER);
    if !response.status().is_success() {
        let problem: Problem = response.json().await.expect("problem details");
        return Outcome::refused(&problem.kind, problem.ran);
    }
    let body = response.body().await.expect("body");
    Outcome::Reply { body: String::from_utf8_lossy(&body).into_owned(), replayed }
}

/// A client calls a service that is not idempotent without a ticket. The refusal must name the
/// remedy, and the call must not run.
#[ntex::test]
async fn a_call_without_a_ticket_is_refused_and_not_run() {
    let (target, service) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let entry = fleet.daemon("oslo-1").await;
    let outcome = dispatch(&client().await, entry.http_address(), "").await;
    assert_eq!(outcome, Outcome::refused("ticket-needed", Ran::No));
    assert_eq!(service.calls(), 0);
}

/// A client repeats a call with the same ticket, at the issuer of the ticket and at other entries.
/// The call must run once, and each repeat must get the first reply.
#[ntex::test]
async fn a_ticket_runs_once_wherever_it_is_presented() {
    let (target, service) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let one = fleet.daemon("oslo-1").await;
    let two = fleet.daemon("oslo-2").await;
    until_listed(&fleet, 2).await;
    let client = client().await;
    let ticket = ticket(&client, one.http_address(), "dispatch").await;
    assert_eq!(dispatch(&client, two.http_address(), &ticket).await, Outcome::sent(false));
    assert_eq!(dispatch(&client, one.http_address(), &ticket).await, Outcome::sent(true));
    assert_eq!(dispatch(&client, two.http_address(), &ticket).await, Outcome::sent(true));
    assert_eq!(service.calls(), 1);
}

/// A ticket is forged, or used for another service, workspace or body than its own. Each would run
/// a call that the issuer of the ticket has no record of.
#[parameterized(
    forged = { "oslo-1~0~1~9~00", "dispatch", "default", "at dawn", "bad-ticket" },
    empty_fields = { "~~~~", "dispatch", "default", "at dawn", "bad-ticket" },
    other_service = { "", "payroll", "default", "at dawn", "bad-ticket" },
    other_workspace = { "", "dispatch", "bergen", "at dawn", "bad-ticket" },
    other_body = { "", "dispatch", "default", "at dusk", "crossed-ticket" },
)]
#[test_macro(ntex::test)]
async fn a_forged_or_misused_ticket_runs_nothing(
    forged: &str,
    service: &str,
    workspace: &str,
    body: &'static str,
    kind: &str,
) {
    let (target, plain) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let entry = fleet.daemon("oslo-1").await.http_address();
    let client = client().await;
    let good = ticket(&client, entry, "dispatch").await;
    assert_eq!(dispatch(&client, entry, &good).await, Outcome::sent(false));
    let used = if forged.is_empty() { &good } else { forged };
    let outcome = call(&client, entry, service, workspace, used, body).await;
    assert_eq!(outcome, Outcome::refused(kind, Ran::No));
    assert_eq!(plain.calls(), 1);
}

/// The target reads and runs a call, and its connection breaks before it replies. The HTTP client
/// reports that as a failed connect; retrying on that error would run the call twice.
#[parameterized(
    cut = { Strike::Cut },
    silent = { Strike::Silent },
    target_dies = { Strike::Die },
)]
#[test_macro(ntex::test)]
async fn a_written_call_is_never_retried(strike: Strike) {
    let (one, first) = plain();
    let (two, second) = plain();
    let plan = Plan { step: Step::Sent, strike, times: 2 };
    let posts = |line: &str| line.starts_with("POST");
    let links = [one.address(), two.address()]
        .map(|target| Link::open(target, Some(plan), posts).expect("link"));
    let addresses = links.each_ref().map(Link::address);
    let mut fleet = Fleet::open(&plain_text(&addresses, &[]));
    let entry = fleet.daemon("oslo-1").await.http_address();
    let client = client().await;
    let ticket = ticket(&client, entry, "dispatch").await;
    for _ in 0..2 {
        let outcome = dispatch(&client, entry, &ticket).await;
        assert_eq!(outcome, Outcome::refused("target-failed", Ran::Unknown));
    }
    assert_eq!(first.calls() + second.calls(), 1);
}

/// The first target is unreachable. Nothing was written to it, so the call may fail over to the
/// other. With both unreachable the refusal must say that the call did not run, and the ticket must
/// stay usable.
#[ntex::test]
async fn an_unwritten_call_fails_over_and_keeps_its_ticket() {
    let (one, first) = plain();
    let (two, second) = plain();
    let mut fleet = Fleet::open(&plain_text(&[one.address(), two.address()], &[]));
    let entry = fleet.daemon("oslo-1").await.http_address();
    let client = client().await;
    one.kill().await;
    for _ in 0..2 {
        let ticket = ticket(&client, entry, "dispatch").await;
        assert_eq!(dispatch(&client, entry, &ticket).await, Outcome::sent(false));
    }
    assert_eq!((first.calls(), second.calls()), (0, 2));
    let address = two.address();
    two.kill().await;
    let ticket = ticket(&client, entry, "dispatch").await;
    let outcome = dispatch(&client, entry, &ticket).await;
    assert!(matches!(outcome, Outcome::Refused { ran: Ran::No, .. }), "{outcome:?}");
    let (_restarted, third) = Plain::bind(address).expect("the target restarts");
    // A failed target may be in backoff for a while; refusals until then must say `Ran::No`.
    for _ in 0..200 {
        match dispatch(&client, entry, &ticket).await {
            Outcome::Refused { ran: Ran::No, .. } => {
                ntex::time::sleep(Duration::from_millis(50)).await
            }
            outcome => {
                assert_eq!(outcome, Outcome::sent(false));
                break;
            }
        }
    }
    assert_eq!(third.calls(), 1);
}

/// A client disconnects while its call runs and retries, first while the call still runs and then
/// after it ended. The HTTP library drops the handler of a closed connection at once, so the call
/// must run in a task of its own, or its result would never be recorded.
#[ntex::test]
async fn the_result_of_a_call_survives_its_callers_disconnect() {
    let (target, service) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let entry = fleet.daemon("oslo-1").await.http_address();
    let client = client().await;
    let ticket = ticket(&client, entry, "dispatch").await;
    service.set_fault(Some(Order { fault: Fault::Slow { by: 30 }, times: Some(1) }));
    {
        let connection = support::raw(
            entry,
            &format!(
                "POST /s/dispatch/crew?ward=3 HTTP/1.1\r\nhost: e\r\n{TICKET_HEADER}: {ticket}\r\n\
                 content-length: 7\r\n\r\nat dawn"
            ),
        );
        until(|| service.calls() == 1).await;
        drop(connection);
    }
    let outcome = dispatch(&client, entry, &ticket).await;
    assert_eq!(outcome, Outcome::refused("still-running", Ran::Unknown));
    for _ in 0..200 {
        match dispatch(&client, entry, &ticket).await {
            Outcome::Refused { .. } => ntex::time::sleep(Duration::from_millis(10)).await,
            outcome => {
                assert_eq!(outcome, Outcome::sent(true));
                break;
            }
        }
    }
    assert_eq!(service.calls(), 1);
}

/// The issuer of a ticket restarts on the same address after it ran the call. The new process has
/// no record of the call, so neither it nor any other entry may run the call again.
#[ntex::test]
async fn a_restarted_issuer_refuses_its_old_tickets() {
    let (target, service) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let one = fleet.daemon("oslo-1").await;
    let two = fleet.daemon("oslo-2").await;
    until_listed(&fleet, 2).await;
    let client = client().await;
    let (http, peer) = (one.http_address(), one.peer_address());
    let used = ticket(&client, http, "dispatch").await;
    let unused = ticket(&client, http, "dispatch").await;
    assert_eq!(dispatch(&client, http, &used).await, Outcome::sent(false));
    one.drain().await;
    let mut settings = support::settings("oslo-1", fleet.running.address());
    (settings.listen, settings.peer_listen) = (http, peer);
    let restarted = Daemon::bind(settings).await.expect("the same address");
    fireflyhoist_harness::until_ready(&client, http).await;
    for entry in [restarted.http_address(), two.http_address()] {
        for ticket in [&used, &unused] {
            let outcome = dispatch(&fireflyhoist_harness::client().await, entry, ticket).await;
            assert_eq!(outcome, Outcome::refused("issuer-gone", Ran::Unknown));
        }
    }
    assert_eq!(service.calls(), 1);
}

/// The issuer of the ticket has left the fleet, or is listed but does not answer. Nobody else knows
/// whether the call ran, so it must not run.
#[parameterized(
    unlisted = { false },
    dead = { true },
)]
#[test_macro(ntex::test)]
async fn a_ticket_of_a_lost_issuer_runs_nothing(listed: bool) {
    let (target, service) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let one = fleet.daemon("oslo-1").await;
    let client = client().await;
    let ticket = ticket(&client, one.http_address(), "dispatch").await;
    let old = Listen { http: one.http_address(), peer: one.peer_address() };
    one.drain().await;
    fleet.hosts.hosts.clear();
    if listed {
        fleet.list("oslo-1", old);
    }
    let two = fleet.daemon("oslo-2").await;
    let outcome = dispatch(&client, two.http_address(), &ticket).await;
    assert_eq!(outcome, Outcome::refused("issuer-gone", Ran::Unknown));
    assert_eq!(service.calls(), 0);
}

/// Waits until each daemon lists this many entries; gives up on a daemon after 3,000 polls.
async fn until_listed(fleet: &Fleet, entries: usize) {
    let client = client().await;
    for host in &fleet.hosts.hosts {
        let address = host.entry.expect("an entry").http;
        for _ in 0..3_000 {
            let url = format!("http://{address}/v1/entries");
            let response = client.get(url).send().await.expect("sent");
            let list: fireflyhoist_wire::caller::Entries = response.json().await.expect("a list");
            if list.entries.len() == entries {
                break;
            }
            ntex::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn until(mut done: impl FnMut() -> bool) {
    for _ in 0..3_000 {
        if done() {
            return;
        }
        ntex::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition was not met in time");
}
