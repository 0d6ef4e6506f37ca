//! What a caller receives if the answer of a target is truncated, invalid, for another request or
//! missing.

mod support;

use std::time::Duration;

use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::Registry;
use support::caller::{Answer, Request};
use support::target::{Seen, Standin, Step, answer, declined};
use support::{gateway, route, text};
use yare::parameterized;

const HEAD: &str = "HTTP/1.1 200 OK\r\nfireflyhoist-request: r-1\r\n";

/// How the first request to a target fails; the second one gets a complete answer.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The answer has no length and ends with an orderly close.
    Unframed,
    /// The answer has no length and is cut off by a reset.
    UnframedReset,
    /// The answer ends before its `content-length`.
    Truncated,
    /// The bytes are not an HTTP response.
    Garbage,
    /// The answer has the id of another request.
    MismatchedId,
    /// The target reads the request and resets the connection.
    Reset,
    /// The answer says that the request was not run.
    Declined,
}

impl Fault {
    fn script(self) -> Vec<Step> {
        let write = |text: &str| Step::Write(text.to_owned());
        match self {
            Self::Unframed => vec![write(HEAD), write("connection: close\r\n\r\nhello")],
            Self::UnframedReset => {
                let pause = Step::Wait(Duration::from_millis(30));
                vec![write(HEAD), write("connection: close\r\n\r\nhel"), pause, Step::Reset]
            }
            Self::Truncated => vec![write(HEAD), write("content-length: 5\r\n\r\nhel")],
            Self::Garbage => vec![write("\u{1}\u{2} not http at all\r\n\r\n")],
            Self::MismatchedId => vec![write(
                "HTTP/1.1 200 OK\r\nfireflyhoist-request: r-0\r\ncontent-length: 5\r\n\r\nother",
            )],
            Self::Reset => vec![Step::Reset],
            Self::Declined => declined(),
        }
    }
}

async fn send(kind: Kind, fault: Fault) -> (Answer, Vec<Seen>) {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", kind)]));
    // Both targets share one count, so that the second request succeeds at either.
    let count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let mut targets = Vec::new();
    for name in ["t-1", "t-2"] {
        let count = count.clone();
        let script = move |_: &Seen| match count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
            0 => fault.script(),
            _ => answer(200, "hello"),
        };
        targets.push(Standin::open(name, "web", script).await);
    }
    targets.iter().for_each(|target| registry.put(target.listed.clone()));
    let gateway = gateway(&registry).await;
    let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    (answer, targets.iter().flat_map(Standin::seen).collect())
}

/// Guards against an answer that broke off being passed on as complete. An idempotent request is
/// sent again, and the caller receives only the complete answer.
#[parameterized(
    unframed_reset = { Fault::UnframedReset },
    truncated = { Fault::Truncated },
    garbage = { Fault::Garbage },
    mismatched_id = { Fault::MismatchedId },
    reset = { Fault::Reset },
    declined = { Fault::Declined },
)]
#[test_macro(ntex::test)]
async fn an_idempotent_request_is_retried_at_another_target(fault: Fault) {
    let (answer, seen) = send(Kind::Safe, fault).await;
    assert_eq!((answer.status, answer.body.as_str(), answer.whole), (200, "hello", true));
    assert_eq!(seen.len(), 2);
}

/// Guards against a request that must not run twice being sent again, by the entry or by a caller
/// that was told that it failed. If the answer is lost after the target received the request,
/// nobody knows whether it ran: it is sent once, and the error says `unknown`.
#[parameterized(
    unframed_reset = { Fault::UnframedReset },
    truncated = { Fault::Truncated },
    garbage = { Fault::Garbage },
    mismatched_id = { Fault::MismatchedId },
    reset = { Fault::Reset },
)]
#[test_macro(ntex::test)]
async fn a_non_idempotent_request_is_sent_once(fault: Fault) {
    let (answer, seen) = send(Kind::Unsafe, fault).await;
    assert_eq!(answer.status, 502);
    assert!(answer.body.contains("\"ran\":\"unknown\""), "{}", answer.body);
    assert_eq!(seen.len(), 1);
}

/// Guards against a request failing although another target was free: if a target says that it did
/// not run a request, a second attempt is safe for any kind.
#[ntex::test]
async fn a_declined_request_goes_to_another_target() {
    let (answer, seen) = send(Kind::Unsafe, Fault::Declined).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
    assert_eq!(seen.len(), 2);
}

/// Guards against a service that never sends lengths being taken for broken: its answers end with
/// their connections, and an orderly close completes an answer.
#[ntex::test]
async fn an_answer_that_ends_with_an_orderly_close_is_complete() {
    let (answer, seen) = send(Kind::Unsafe, Fault::Unframed).await;
    assert_eq!((answer.status, answer.body.as_str(), answer.whole), (200, "hello", true));
    assert_eq!(seen.len(), 1);
}

/// Guards against an error of a target being replaced by one of the entry, or the headers of a
/// target being added to such an error. Errors of targets are passed on unchanged.
#[ntex::test]
async fn an_error_response_of_a_target_is_passed_on_unchanged() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let target = Standin::open("t-1", "web", |_| answer(418, "teapot")).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    assert_eq!((answer.status, answer.body.as_str()), (418, "teapot"));
    assert_eq!(answer.header("x-stamp"), Some("s-1"));
}

/// If every target is full, the caller learns at once that nothing ran and when to retry.
#[ntex::test]
async fn a_request_declined_by_every_target_gets_a_retry_time() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let target = Standin::open("t-1", "web", |_| declined()).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("\"ran\":\"no\""), "{}", answer.body);
    let after: f64 =
        answer.header("retry-after").and_then(|v| v.parse().ok()).expect("a retry time");
    assert!(after > 0.0 && after < 2.0, "{after}");
    assert!(answer.took < Duration::from_secs(1), "{:?}", answer.took);
}

/// A listed target does not listen any more. No byte was written, so even a request that must not
/// run twice goes to another target.
#[ntex::test]
async fn a_request_that_could_not_connect_goes_to_another_target() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Unsafe)]));
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = free.local_addr().expect("bound");
    drop(free);
    registry.put(support::target::listed("t-0", "web", closed));
    let target = Standin::open("t-1", "web", |_| answer(200, "hello")).await;
    registry.put(target.listed.clone());
    let gateway = gateway(&registry).await;
    for _ in 0..6 {
        let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
    }
}

/// Guards against a request being reported as not run although a target may have run it: both
/// targets reset the connection after they received it. This must hold for idempotent requests too.
#[ntex::test]
async fn a_request_that_may_have_run_is_not_reported_as_not_run() {
    let registry = Registry::open().await;
    registry.publish(text(1, vec![route("web", Kind::Safe)]));
    for name in ["t-1", "t-2"] {
        let target = Standin::open(name, "web", |_| vec![Step::Reset]).await;
        registry.put(target.listed.clone());
    }
    let gateway = gateway(&registry).await;
    let answer = Request::new("POST", "/web/x").body("b").send(gateway.callers()).await;
    assert_eq!(answer.status, 502);
    assert!(answer.body.contains("\"ran\":\"unknown\""), "{}", answer.body);
}
