//! A daemon that is stopped alone, while nothing else is wrong: what comes after the signal is refused
//! before it is sent, and what was under way is answered.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_harness::client;
use fireflyhoist_standin::fault::{Fault, Order};
use fireflyhoist_standin::plain::Plain;
use fireflyhoist_wire::caller::{TICKET_HEADER, Ticket};
use ntex::rt::JoinHandle;
use ntex::time::sleep;
use support::{ANY, Fleet, plain_text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// The time between two calls.
const INTERVAL: Duration = Duration::from_millis(50);

/// How long the second half of a body takes to arrive.
const BODY_DELAY: Duration = Duration::from_millis(150);

/// How a call reaches the daemon.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    NewConnection,
    OpenConnection,
    LateBody,
    Pipelined,
}

/// Sends a call, and returns all that is answered.
async fn send(
    entry: SocketAddr,
    open: Option<TcpStream>,
    path: &str,
    ticket: &str,
    arrival: Arrival,
) -> String {
    let connection = match open {
        Some(open) => Ok(open),
        None => TcpStream::connect(entry).await,
    };
    let Ok(mut connection) = connection else { return String::new() };
    let call = |close: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: e\r\n{TICKET_HEADER}: {ticket}\r\n{close}\
             content-length: 4\r\n\r\nbody"
        )
    };
    let last = call("connection: close\r\n");
    let (first, rest) = match arrival {
        Arrival::LateBody => last.split_at(last.len() - 2),
        _ => last.split_at(last.len()),
    };
    if matches!(arrival, Arrival::Pipelined) {
        let _ = connection.write_all(call("").as_bytes()).await;
    }
    let _ = connection.write_all(first.as_bytes()).await;
    if !rest.is_empty() {
        sleep(BODY_DELAY).await;
        let _ = connection.write_all(rest.as_bytes()).await;
    }
    let mut received = Vec::new();
    // A reset ends the answer as well.
    let _ = connection.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

async fn ticket(entry: SocketAddr) -> String {
    let url = format!("http://{entry}/v1/tickets");
    let body = serde_json::json!({ "service": "dispatch" });
    let response = client().await.post(url).send_json(&body).await.expect("sent");
    response.json::<Ticket>().await.expect("a ticket").ticket.to_string()
}

/// Guards against calls that a daemon takes after it was told to stop, and that end with it, or that
/// keep it from its end.
#[parameterized(
    repeatable_short = { "search", 1 },
    repeatable_long = { "search", 15 },
    once_short = { "dispatch", 1 },
    once_long = { "dispatch", 100 },
)]
#[test_macro(ntex::test)]
async fn a_daemon_that_drains_takes_no_call(service: &'static str, slow: u32) {
    const UNDER_WAY: usize = 6;
    const LATE: usize = 40;
    let (target, plain) = Plain::bind(ANY).expect("a target");
    plain.set_fault(Some(Order { fault: Fault::Slow { by: slow }, times: None }));
    let addresses = [target.address()];
    let closed = SocketAddr::from(([127, 0, 0, 1], 3));
    let text = match service {
        "search" => plain_text(&[closed], &addresses),
        _ => plain_text(&addresses, &[]),
    };
    let mut fleet = Fleet::open(&text);
    let daemon = fleet.daemon("oslo-1").await;
    let entry = daemon.http_address();
    let path: &'static str = if service == "search" { "/s/search/x" } else { "/s/dispatch/x" };
    let mut tickets = Vec::new();
    let mut open = Vec::new();
    for _ in 0..UNDER_WAY + LATE {
        tickets.push(ticket(entry).await);
        open.push(TcpStream::connect(entry).await.expect("it listens"));
    }
    let mut tickets = tickets.into_iter();
    let mut start = |arrival: Arrival, open: TcpStream| -> JoinHandle<String> {
        let ticket = tickets.next().expect("a ticket each");
        let open = match arrival {
            Arrival::OpenConnection => Some(open),
            _ => None,
        };
        ntex::rt::spawn(async move { send(entry, open, path, &ticket, arrival).await })
    };
    let late = open.split_off(UNDER_WAY);
    let under_way: Vec<_> =
        open.into_iter().map(|open| start(Arrival::OpenConnection, open)).collect();
    while plain.calls() < UNDER_WAY as u64 {
        sleep(Duration::from_millis(1)).await;
    }
    let drain = ntex::rt::spawn(daemon.drain());
    // The drain has begun once its task has run.
    sleep(Duration::from_millis(5)).await;
    let mut sent = Vec::new();
    for (number, open) in late.into_iter().enumerate() {
        let arrival = match number % 4 {
            0 => Arrival::NewConnection,
            1 => Arrival::OpenConnection,
            2 => Arrival::LateBody,
            _ => Arrival::Pipelined,
        };
        sent.push(start(arrival, open));
        sleep(INTERVAL).await;
    }
    drain.await.expect("the drain ends");
    for call in under_way {
        let answer = call.await.expect("it ends");
        let whole = answer.ends_with("\nbody") || answer.ends_with("\nbody\r\n0\r\n\r\n");
        assert!(answer.starts_with("HTTP/1.1 200") && whole, "{answer}");
    }
    let (mut refused, mut unread) = (0, 0);
    for call in sent {
        let answer = call.await.expect("it ends");
        for answer in answer.split("HTTP/1.1 ").skip(1) {
            let not_run = answer.starts_with("503") && answer.contains("\"ran\":\"no\"");
            assert!(not_run && answer.contains("leaving"), "{answer}");
        }
        refused += usize::from(!answer.is_empty());
        unread += usize::from(answer.is_empty());
    }
    println!("{service} {slow}: {refused} refused, {unread} unread, {} run", plain.calls());
    assert!(refused > 0, "none came before its end");
    assert_eq!(plain.calls(), UNDER_WAY as u64, "calls that ran");
}
