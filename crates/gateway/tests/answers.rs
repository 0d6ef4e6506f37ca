//! What a caller gets when a target's answer is cut, spoilt, crossed or lost.

mod support;

use std::time::Duration;

use fireflyhoist_policy::route::Kind;
use fireflyhoist_standin::registry::Registry;
use support::caller::{Answer, Request};
use support::target::{Seen, Standin, Step, answer, declined};
use support::{gateway, route, text};
use yare::parameterized;

const HEAD: &str = "HTTP/1.1 200 OK\r\nfireflyhoist-request: r-1\r\n";

/// What a target does with the first request; the second gets a whole answer.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Ends in order, without having given a length.
    Unframed,
    /// Is reset, without having given a length.
    UnframedReset,
    /// Ends before the length that it gave.
    Truncated,
    /// Sends bytes that are no response.
    Garbage,
    /// Answers another request.
    MismatchedId,
    /// Reads the request and hangs up.
    Reset,
    /// Says that it did not run it.
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
    // Both play by one count, so that the second request is answered wherever it goes.
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

/// A member searches for a ship and sees half a line as if it were the whole entry: the target's
/// answer broke off, and what had come was passed on as complete. An answer that can be fetched
/// again is, and the caller sees only the whole one.
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

/// A coordinator's dispatch is answered with a failure although it went out, she sends it again,
/// and two crews are paid; or the entry itself sends it again. The answer was lost after the target
/// had the request, so nobody can tell whether it ran: it is sent once, and the answer says so.
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

/// A dispatch fails although the next target was free: the first had said that it was full and had
/// not run it, which makes a second attempt safe for any request.
#[ntex::test]
async fn a_declined_request_goes_to_another_target() {
    let (answer, seen) = send(Kind::Unsafe, Fault::Declined).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
    assert_eq!(seen.len(), 2);
}

/// A service that never gives lengths seems to be down: its answers end with their connections, and
/// an orderly end is the end of a whole answer.
#[ntex::test]
async fn an_answer_that_ends_with_an_orderly_close_is_complete() {
    let (answer, seen) = send(Kind::Unsafe, Fault::Unframed).await;
    assert_eq!((answer.status, answer.body.as_str(), answer.whole), (200, "hello", true));
    assert_eq!(seen.len(), 1);
}

/// A caller that checks receipts finds the entry's own failure under a target's receipt, or a
/// target's failure turned into another. A target's failure goes back as it is.
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

/// Every target is full: the caller is told at once that nothing ran and when to come back.
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
    let after: f64 = answer.header("retry-after").and_then(|v| v.parse().ok()).expect("a time");
    assert!(after > 0.0 && after < 2.0, "{after}");
    assert!(answer.took < Duration::from_secs(1), "{:?}", answer.took);
}

/// A target is listed and gone: nothing listens there. No byte was written, so even a request that
/// may not run twice goes to the other.
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

/// A lookup is refused as not run although a target may have run it: both targets hung up after
/// they had the request. A refusal that says that nothing ran must be true for every kind.
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
