//! Replies of plain targets whose end is that of their connection, or that end before they are complete.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use fireflyhoist_daemon::Daemon;
use fireflyhoist_harness::client;
use fireflyhoist_wire::caller::{TICKET_HEADER, Ticket};
use fireflyhoist_wire::status::Brief;
use support::{ANY, Fleet, engine, plain_text, raw, settings, text};
use yare::parameterized;

/// Starts a server that answers each request by its first line, and closes the connection.
fn target(reply: impl Fn(&str) -> String + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind(ANY).expect("port");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = [0; 4096];
            let length = stream.read(&mut head).unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..length]);
            let _ = stream.write_all(reply(head.lines().next().unwrap_or_default()).as_bytes());
        }
    });
    address
}

/// What a caller gets: the status, and the body if it is complete.
async fn ask(service: &str, reply: &str) -> (u16, Option<String>) {
    let reply = reply.to_owned();
    let target = target(move |_| reply.clone());
    let closed = SocketAddr::from(([127, 0, 0, 1], 3));
    let mut fleet = match service {
        "search" => Fleet::open(&plain_text(&[closed], &[target])),
        _ => Fleet::open(&plain_text(&[target], &[])),
    };
    let daemon = fleet.daemon("brno-1").await;
    let entry = daemon.http_address();
    let client = client().await;
    let url = format!("http://{entry}/s/{service}/x");
    let response = match service {
        "search" => client.get(url).send().await,
        _ => {
            let body = serde_json::json!({ "service": service });
            let tickets = client.post(format!("http://{entry}/v1/tickets"));
            let issued = tickets.send_json(&body).await.expect("sent");
            let ticket = issued.json::<Ticket>().await.expect("a ticket").ticket.to_string();
            client.post(url).set_header(TICKET_HEADER, ticket).send_body("b").await
        }
    };
    let response = response.expect("an answer");
    let status = response.status().as_u16();
    let body = response.body().await.ok();
    (status, body.map(|body| String::from_utf8_lossy(&body).into_owned()))
}

/// Guards against a reply without a length or chunks that is passed on as one without a body.
#[parameterized(
    idempotent = { "search", "HTTP/1.1 200 OK\r\n\r\nhello" },
    once = { "dispatch", "HTTP/1.1 200 OK\r\n\r\nhello" },
    idempotent_closes = { "search", "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello" },
    once_closes = { "dispatch", "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello" },
)]
#[test_macro(ntex::test)]
async fn an_unframed_reply_is_not_passed_on_without_its_body(service: &str, reply: &str) {
    let (status, body) = ask(service, reply).await;
    let is_whole = (status, body.as_deref()) == (200, Some("hello"));
    assert!(is_whole || status == 502, "{status} {body:?}");
}

/// Guards against a reply that looks complete although its last part is missing.
#[parameterized(
    short = { "search", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello" },
    short_once = { "dispatch", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello" },
    no_last_chunk = { "search", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n" },
    no_last_chunk_once = { "dispatch", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n" },
    chunks_and_length = { "search", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n" },
)]
#[test_macro(ntex::test)]
async fn a_truncated_reply_does_not_look_whole(service: &str, reply: &str) {
    let (status, body) = ask(service, reply).await;
    assert!(status == 502 || body.is_none(), "{status} {body:?}");
}

/// Guards against replies without a body that are refused for the lack of a length.
#[parameterized(
    no_content = { "search", "HTTP/1.1 204 No Content\r\n\r\n", 204 },
    no_content_once = { "dispatch", "HTTP/1.1 204 No Content\r\n\r\n", 204 },
    not_modified = { "search", "HTTP/1.1 304 Not Modified\r\n\r\n", 304 },
    empty = { "search", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 200 },
    http_1_0 = { "search", "HTTP/1.0 200 OK\r\n\r\n", 200 },
)]
#[test_macro(ntex::test)]
async fn a_reply_without_a_body_is_passed_on(service: &str, reply: &str, status: u16) {
    assert_eq!(ask(service, reply).await, (status, Some(String::new())));
}

/// Guards against a text that breaks off with its connection and is put in force without its last
/// targets: it has no end mark.
#[parameterized(
    length = { "HTTP/1.1 200 OK\r\ncontent-length: ", true },
    http_1_0 = { "HTTP/1.0 200 OK\r\nx-length: ", false },
    http_1_1 = { "HTTP/1.1 200 OK\r\nx-length: ", false },
)]
#[test_macro(ntex::test)]
async fn a_text_without_a_length_is_not_put_in_force(head: &str, in_force: bool) {
    let text = plain_text(&[SocketAddr::from(([127, 0, 0, 1], 3))], &[]);
    let length = text.len();
    let text = format!("{head}{length}\r\nx-sequence: 1\r\n\r\n{text}");
    let platform = target(move |line| match line.contains("/v1/text") {
        true => text.clone(),
        false => "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_owned(),
    });
    let daemon = Daemon::bind(settings("brno-1", platform)).await.expect("daemon");
    ntex::time::sleep(Duration::from_secs(1)).await;
    let url = format!("http://{}/v1/version", daemon.http_address());
    let response = client().await.get(url).send().await.expect("an answer");
    let brief: Brief = response.json().await.expect("a version");
    assert_eq!(brief.in_force.is_some(), in_force, "{brief:?}");
}

/// What a caller over HTTP/1.0 gets: the head, the body, and whether the connection was closed in order.
async fn ask_over_http_1_0(reply: &str) -> (String, String, bool) {
    let reply = reply.to_owned();
    let target = target(move |_| reply.clone());
    let closed = SocketAddr::from(([127, 0, 0, 1], 3));
    let mut fleet = Fleet::open(&plain_text(&[closed], &[target]));
    let daemon = fleet.daemon("brno-1").await;
    let mut caller = raw(daemon.http_address(), "GET /s/search/x HTTP/1.0\r\nhost: e\r\n\r\n");
    let read = ntex::rt::spawn_blocking(move || {
        let mut received = Vec::new();
        let in_order = caller.read_to_end(&mut received).is_ok();
        (String::from_utf8_lossy(&received).into_owned(), in_order)
    });
    let (received, in_order) = read.await.expect("it ends");
    let (head, body) = received.split_once("\r\n\r\n").expect("a head");
    (head.to_owned(), body.to_owned(), in_order)
}

/// Guards against a reply in chunks that stand among its bytes for a caller over HTTP/1.0, which has
/// none, and against one that is cut and looks whole there.
#[parameterized(
    chunks = { "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true },
    length = { "content-length: 5\r\n\r\nhello", true },
    no_last_chunk = { "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", false },
    short = { "content-length: 9\r\n\r\nhello", false },
)]
#[test_macro(ntex::test)]
async fn a_caller_over_http_1_0_gets_a_whole_reply_or_sees_the_cut(reply: &str, whole: bool) {
    let (head, body, in_order) = ask_over_http_1_0(&format!("HTTP/1.1 200 OK\r\n{reply}")).await;
    assert!(!head.contains("transfer-encoding"), "{head}");
    let is_whole = head.contains(" 200 ") && in_order;
    assert_eq!((is_whole, body.contains("hello")), (whole, whole), "{head} {body}");
}

/// Guards against the events of an answer standing among the sizes of chunks for a caller over HTTP/1.0.
#[ntex::test]
async fn a_caller_over_http_1_0_gets_a_stream_without_chunks() {
    let (one, _engine) = engine();
    let mut fleet = Fleet::open(&text("live", 2_000, &[one.address()]));
    let daemon = fleet.daemon("brno-1").await;
    let body = r#"{"model":"transcribe","prompt":"tokens=3","stream":true}"#;
    let head = "POST /v1/completions HTTP/1.0\r\nhost: e\r\ncontent-type: application/json";
    let length = body.len();
    let request = format!("{head}\r\ncontent-length: {length}\r\n\r\n{body}");
    let mut caller = raw(daemon.http_address(), &request);
    let read = ntex::rt::spawn_blocking(move || {
        let mut received = String::new();
        caller.read_to_string(&mut received).map(|_| received)
    });
    let received = read.await.expect("it ends").expect("text");
    let (head, events) = received.split_once("\r\n\r\n").expect("a head");
    assert!(!head.contains("transfer-encoding"), "{head}");
    assert!(events.starts_with("id: ") && events.ends_with("data: [DONE]\n\n"), "{events}");
}
