//! Streams to callers who speak HTTP/1.0, for whom an answer without a length ends with its connection.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::target::{Seen, Standin, Step, answer, event, events, stream_end, stream_head};
use support::{gateway, route, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use yare::parameterized;

fn pause() -> Step {
    Step::Wait(Duration::from_millis(50))
}

/// Sends a request over HTTP/1.0; returns what arrives, and whether the connection was closed in order.
async fn send_http_1_0(request: &Request, to: SocketAddr) -> (String, bool) {
    let bytes = String::from_utf8(request.bytes()).expect("text");
    let bytes = bytes.replacen("HTTP/1.1", "HTTP/1.0", 1);
    let mut stream = TcpStream::connect(to).await.expect("the entry listens");
    stream.write_all(bytes.as_bytes()).await.expect("it reads");
    let mut received = Vec::new();
    let read = timeout(support::TEST_TIMEOUT, stream.read_to_end(&mut received)).await;
    (String::from_utf8_lossy(&received).into_owned(), read.expect("it ends").is_ok())
}

/// Guards against a stream that was cut and looks whole to a caller over HTTP/1.0, for whom it ends
/// with the connection.
#[parameterized(
    within_an_event = { &[Step::Write("d\r\nid: 3\nda".to_owned())], false },
    between_events = { &[], false },
    reset = { &[Step::Reset], false },
    complete = { &[stream_end()], true },
)]
#[test_macro(ntex::test)]
async fn a_cut_is_visible(end: &[Step], whole: bool) {
    let script = [vec![stream_head(), event(1), event(2), pause()], end.to_vec()].concat();
    let registry = Registry::open().await;
    let kind = Kind::Stream { resumable: false };
    registry.publish(text(1, vec![Route { attempts: 1, ..route("gen", kind) }]));
    let script = move |seen: &Seen| match seen.line().contains("/gen/") {
        true => script.clone(),
        false => answer(200, "{}"),
    };
    registry.put(Standin::open("e-1", "gen", script).await.listed);
    let gateway = gateway(&registry).await;
    let request = Request::stream("/gen/x", 20).body("b");
    let (received, in_order) = send_http_1_0(&request, gateway.callers()).await;
    let (head, body) = received.split_once("\r\n\r\n").expect("a head");
    assert!(!head.contains("transfer-encoding"), "{head}");
    assert_eq!((body, in_order), (events(1, 2).as_str(), whole));
}
