//! Calls that may not be repeated run at most once, whatever happens around them.

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

/// What a caller was told about a call.
#[derive(Debug, PartialEq, Eq)]
enum Told {
    Reply { body: String, replayed: bool },
    Refused { kind: String, ran: Ran },
}

impl Told {
    fn refused(kind: &str, ran: Ran) -> Self {
        Self::Refused { kind: kind.to_owned(), ran }
    }

    fn sent(replayed: bool) -> Self {
        Self::Reply { body: "POST /crew?ward=3\nat dawn".to_owned(), replayed }
    }
}

async fn dispatch(client: &Client, entry: SocketAddr, ticket: &str) -> Told {
    call(client, entry, "dispatch", "default", ticket, "at dawn").await
}

async fn call(
    client: &Client,
    entry: SocketAddr,
    service: &str,
    workspace: &str,
    ticket: &str,
    body: &'static str,
) -> Told {
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
        return Told::refused(&problem.kind, problem.ran);
    }
    let body = response.body().await.expect("body");
    Told::Reply { body: String::from_utf8_lossy(&body).into_owned(), replayed }
}

/// A supervisor's program sends a crew and does not know about tickets. It is told what to do, and
/// no crew goes out.
#[ntex::test]
async fn without_a_ticket_the_remedy_is_named_and_nothing_runs() {
    let (target, service) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let entry = fleet.daemon("oslo-1").await;
    let told = dispatch(&client().await, entry.http_address(), "").await;
    assert_eq!(told, Told::refused("ticket-needed", Ran::No));
    assert_eq!(service.calls(), 0);
}

/// The answer to a dispatch is lost on its way, so the program sends it again, to the entry that
/// gave the ticket and to others. One crew goes out, and each repeat gets the first reply.
#[ntex::test]
async fn a_ticket_runs_once_wherever_it_is_presented() {
    let (target, service) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let one = fleet.daemon("oslo-1").await;
    let two = fleet.daemon("oslo-2").await;
    until_listed(&fleet, 2).await;
    let client = client().await;
    let ticket = ticket(&client, one.http_address(), "dispatch").await;
    assert_eq!(dispatch(&client, two.http_address(), &ticket).await, Told::sent(false));
    assert_eq!(dispatch(&client, one.http_address(), &ticket).await, Told::sent(true));
    assert_eq!(dispatch(&client, two.http_address(), &ticket).await, Told::sent(true));
    assert_eq!(service.calls(), 1);
}

/// A ticket is made up, changed, or used for another service, workspace or body than its own. Each
/// would run a call that its issuer does not know to have run.
#[parameterized(
    made_up = { "oslo-1~0~1~9~00", "dispatch", "default", "at dawn", "bad-ticket" },
    empty_fields = { "~~~~", "dispatch", "default", "at dawn", "bad-ticket" },
    other_service = { "", "payroll", "default", "at dawn", "bad-ticket" },
    other_workspace = { "", "dispatch", "bergen", "at dawn", "bad-ticket" },
    other_body = { "", "dispatch", "default", "at dusk", "crossed-ticket" },
)]
#[test_macro(ntex::test)]
async fn a_ticket_that_does_not_fit_runs_nothing(
    made_up: &str,
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
    assert_eq!(dispatch(&client, entry, &good).await, Told::sent(false));
    let used = if made_up.is_empty() { &good } else { made_up };
    let told = call(&client, entry, service, workspace, used, body).await;
    assert_eq!(told, Told::refused(kind, Ran::No));
    assert_eq!(plain.calls(), 1);
}

/// The target reads a dispatch, sends the crew, and its connection breaks before it replies. The
/// HTTP client calls that a failed connect; to believe it would send a second crew.
#[parameterized(
    cut = { Strike::Cut },
    silent = { Strike::Silent },
    target_dies = { Strike::Die },
)]
#[test_macro(ntex::test)]
async fn a_written_call_is_never_written_again(strike: Strike) {
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
        let told = dispatch(&client, entry, &ticket).await;
        assert_eq!(told, Told::refused("target-failed", Ran::Unknown));
    }
    assert_eq!(first.calls() + second.calls(), 1);
}

/// The first target's host is gone. Nothing was written there, so the other one may run the call.
/// With all gone the call has not run, is told so, and its ticket still works later.
#[ntex::test]
async fn a_call_that_was_not_written_may_go_elsewhere() {
    let (one, first) = plain();
    let (two, second) = plain();
    let mut fleet = Fleet::open(&plain_text(&[one.address(), two.address()], &[]));
    let entry = fleet.daemon("oslo-1").await.http_address();
    let client = client().await;
    one.kill().await;
    for _ in 0..2 {
        let ticket = ticket(&client, entry, "dispatch").await;
        assert_eq!(dispatch(&client, entry, &ticket).await, Told::sent(false));
    }
    assert_eq!((first.calls(), second.calls()), (0, 2));
    let address = two.address();
    two.kill().await;
    let ticket = ticket(&client, entry, "dispatch").await;
    let told = dispatch(&client, entry, &ticket).await;
    assert!(matches!(told, Told::Refused { ran: Ran::No, .. }), "{told:?}");
    let (_back, third) = Plain::bind(address).expect("the target comes back");
    // A target that failed may be left alone for a while; the refusals meanwhile are truthful.
    for _ in 0..200 {
        match dispatch(&client, entry, &ticket).await {
            Told::Refused { ran: Ran::No, .. } => {
                ntex::time::sleep(Duration::from_millis(50)).await
            }
            told => {
                assert_eq!(told, Told::sent(false));
                break;
            }
        }
    }
    assert_eq!(third.calls(), 1);
}

/// The supervisor's phone loses its network while the crew is being sent, and tries again: while
/// the first is still running, and after. The library drops the first handler at once, so without
/// a task of its own nobody would ever note that the call ended.
#[ntex::test]
async fn a_caller_that_vanishes_leaves_the_truth_behind() {
    let (target, service) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let entry = fleet.daemon("oslo-1").await.http_address();
    let client = client().await;
    let ticket = ticket(&client, entry, "dispatch").await;
    service.set_fault(Some(Order { fault: Fault::Slow { by: 30 }, times: Some(1) }));
    {
        let gone = support::raw(
            entry,
            &format!(
                "POST /s/dispatch/crew?ward=3 HTTP/1.1\r\nhost: e\r\n{TICKET_HEADER}: {ticket}\r\n\
                 content-length: 7\r\n\r\nat dawn"
            ),
        );
        until(|| service.calls() == 1).await;
        drop(gone);
    }
    let told = dispatch(&client, entry, &ticket).await;
    assert_eq!(told, Told::refused("still-running", Ran::Unknown));
    for _ in 0..200 {
        match dispatch(&client, entry, &ticket).await {
            Told::Refused { .. } => ntex::time::sleep(Duration::from_millis(10)).await,
            told => {
                assert_eq!(told, Told::sent(true));
                break;
            }
        }
    }
    assert_eq!(service.calls(), 1);
}

/// The entry that gave the ticket and ran its call is replaced on the same address. The new one
/// has forgotten what ran; it must not run it again, nor may any other.
#[ntex::test]
async fn a_restart_on_the_same_address_honours_no_old_ticket() {
    let (target, service) = plain();
    let mut fleet = Fleet::open(&plain_text(&[target.address()], &[]));
    let one = fleet.daemon("oslo-1").await;
    let two = fleet.daemon("oslo-2").await;
    until_listed(&fleet, 2).await;
    let client = client().await;
    let (http, peer) = (one.http_address(), one.peer_address());
    let used = ticket(&client, http, "dispatch").await;
    let unused = ticket(&client, http, "dispatch").await;
    assert_eq!(dispatch(&client, http, &used).await, Told::sent(false));
    one.drain().await;
    let mut settings = support::settings("oslo-1", fleet.running.address());
    (settings.listen, settings.peer_listen) = (http, peer);
    let again = Daemon::bind(settings).await.expect("the same address");
    fireflyhoist_harness::until_ready(&client, http).await;
    for entry in [again.http_address(), two.http_address()] {
        for ticket in [&used, &unused] {
            let told = dispatch(&fireflyhoist_harness::client().await, entry, ticket).await;
            assert_eq!(told, Told::refused("issuer-gone", Ran::Unknown));
        }
    }
    assert_eq!(service.calls(), 1);
}

/// The entry that gave the ticket has left the fleet or does not answer.
#[parameterized(
    unlisted = { false },
    dead = { true },
)]
#[test_macro(ntex::test)]
async fn a_ticket_of_an_entry_that_is_gone_runs_nothing(listed: bool) {
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
    let told = dispatch(&client, two.http_address(), &ticket).await;
    assert_eq!(told, Told::refused("issuer-gone", Ran::Unknown));
    assert_eq!(service.calls(), 0);
}

/// Waits until each daemon has read the list with this many entries.
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
    panic!("it never came about");
}
