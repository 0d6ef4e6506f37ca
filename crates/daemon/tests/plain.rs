//! Plain calls: streamed in both directions, bounded, and retried only where that is safe.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use fireflyhoist_harness::client;
use fireflyhoist_standin::Running;
use fireflyhoist_standin::fault::{Fault, Order};
use fireflyhoist_standin::link::{Link, Plan, Step, Strike};
use fireflyhoist_standin::plain::Plain;
use fireflyhoist_wire::problem::{Problem, Ran};
use ntex::util::Bytes;
use support::{ANY, Fleet, plain_text};
use yare::parameterized;

fn plain() -> (Running, Arc<Plain>) {
    Plain::bind(ANY).expect("plain")
}

async fn fleet(search: &[SocketAddr]) -> (Fleet, fireflyhoist_daemon::Daemon) {
    let closed = SocketAddr::from(([127, 0, 0, 1], 3));
    let mut fleet = Fleet::open(&plain_text(&[closed], search));
    let daemon = fleet.daemon("brno-1").await;
    (fleet, daemon)
}

/// The connection to the target breaks during an idempotent call. Running it twice is harmless, so
/// it must be retried at another target.
#[parameterized(
    before_it_is_written = { Step::Connected, Strike::Cut },
    partly_written = { Step::Partly, Strike::Cut },
    written = { Step::Sent, Strike::Cut },
    silent_after_it_is_written = { Step::Sent, Strike::Silent },
    target_dies = { Step::Sent, Strike::Die },
    target_unreachable = { Step::BeforeConnect, Strike::Die },
)]
#[test_macro(ntex::test)]
async fn an_idempotent_call_is_retried_after_its_connection_breaks(step: Step, strike: Strike) {
    let (one, _first) = plain();
    let (two, second) = plain();
    let plan = Plan { step, strike, times: 1 };
    let link = Link::open(one.address(), Some(plan), |_| true).expect("link");
    let (_fleet, entry) = fleet(&[link.address(), two.address()]).await;
    let client = client().await;
    for n in 0..4 {
        let url = format!("http://{}/s/search/villages?q={n}", entry.http_address());
        let response = client.get(url).send().await.expect("sent");
        let body: Bytes = response.body().await.expect("body");
        assert_eq!(&body[..], format!("GET /villages?q={n}\n").as_bytes());
    }
    assert!(second.calls() > 0);
    assert_eq!(link.strikes(), 1, "the fault was injected");
}

/// Every target is unreachable or silent. The error must say whether the call may have run.
#[parameterized(
    unreachable = { true, Ran::No },
    written = { false, Ran::Unknown },
)]
#[test_macro(ntex::test)]
async fn a_failed_call_reports_whether_it_may_have_run(unreachable: bool, ran: Ran) {
    let (one, service) = plain();
    match unreachable {
        true => one.kill().await,
        false => service.set_fault(Some(Order { fault: Fault::LoseReply, times: None })),
    }
    let (_fleet, entry) = fleet(&[one.address()]).await;
    let url = format!("http://{}/s/search/villages", entry.http_address());
    let response = client().await.get(url).send().await.expect("sent");
    assert!(response.status().is_server_error());
    let problem: Problem = response.json().await.expect("problem details");
    assert_eq!(problem.ran, ran);
}

/// A body of 200 kB must pass unchanged in both directions, with a content length and chunked.
#[parameterized(
    content_length = { false },
    chunked = { true },
)]
#[test_macro(ntex::test)]
async fn bodies_pass_unchanged_in_both_directions(chunked: bool) {
    let (one, _service) = plain();
    let (_fleet, entry) = fleet(&[one.address()]).await;
    let page = vec![b'x'; 200_000];
    let url = format!("http://{}/s/search/scan", entry.http_address());
    let client = client().await;
    let request = client.post(url);
    let response = match chunked {
        false => request.send_body(page.clone()).await,
        true => {
            let parts: Vec<Result<Bytes, std::io::Error>> =
                page.chunks(7_000).map(|part| Ok(Bytes::copy_from_slice(part))).collect();
            request.send_stream(futures_util::stream::iter(parts)).await
        }
    };
    let body = response.expect("sent").body().limit(1 << 20).await.expect("body");
    assert_eq!(&body[..], [b"POST /scan\n".as_slice(), &page].concat());
}

/// Guards against a path whose escapes are decoded on the way to the target, where it means another
/// path or ends early.
#[parameterized(
    reserved = { "a%2Fb%3Fc%23d%26e%2Bf%25g" },
    escapes_of_escapes = { "a%252Fb" },
    blank_and_letters = { "a%20b/%C5%BE" },
    control_characters = { "a%0D%0Ab%00" },
    dots = { "a/%2E%2E/b/../c" },
    query = { "a?q=%2F%26&r=a+b%20c" },
    none = { "" },
)]
#[test_macro(ntex::test)]
async fn a_path_reaches_its_target_as_it_was_sent(path: &str) {
    let (listener, seen) = support::recorder();
    let (_fleet, entry) = fleet(&[listener]).await;
    let head = format!("GET /s/search/{path} HTTP/1.1\r\nhost: e\r\n\r\n");
    let _caller = support::raw(entry.http_address(), &head);
    let mut head = String::new();
    while head.is_empty() {
        ntex::time::sleep(std::time::Duration::from_millis(5)).await;
        head = seen.try_recv().unwrap_or_default();
    }
    assert_eq!(head.lines().next(), Some(format!("GET /{path} HTTP/1.1").as_str()));
}

/// Hop-by-hop headers and proxy credentials must not leak from the caller to a target; other
/// headers and the request id must reach it.
#[ntex::test]
async fn hop_by_hop_headers_and_credentials_do_not_reach_targets() {
    let (listener, seen) = support::recorder();
    let (_fleet, entry) = fleet(&[listener]).await;
    let _caller = support::raw(
        entry.http_address(),
        "GET /s/search/x HTTP/1.1\r\nhost: e\r\nconnection: keep-alive, x-secret\r\nx-secret: 1\r\n\
         te: trailers\r\nproxy-authorization: 2\r\nx-kept: 3\r\n\r\n",
    );
    let mut head = String::new();
    while head.is_empty() {
        ntex::time::sleep(std::time::Duration::from_millis(5)).await;
        head = seen.try_recv().unwrap_or_default();
    }
    let head = head.to_ascii_lowercase();
    for dropped in ["\nx-secret", "\nte:", "\nproxy-authorization"] {
        assert!(!head.contains(dropped), "{dropped} in {head}");
    }
    assert!(head.contains("x-kept: 3") && head.contains("fireflyhoist-request: "), "{head}");
}
