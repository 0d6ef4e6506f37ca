//! Bytes from engines and plain services in trouble that are no answer: statuses out of range,
//! another protocol, heads that stop, bodies that are shorter than they say.

mod support;

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fireflyhoist_harness::{Ended, Transcript, client};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::plain::Plain;
use fireflyhoist_standin::script::Script;
use fireflyhoist_wire::caller::{TICKET_HEADER, Ticket};
use support::{ANY, Fleet, completion, engine, plain_text, raw, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// The rest of an answer after its first line.
const REST: &str = "x-stamp: s-1\r\ncontent-length: 5\r\n\r\nhello";

/// The beginning of a head that stops before its end.
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-stamp: s-1\r\n";

/// How long a caller waits; longer than a body may take.
const PATIENCE: Duration = Duration::from_secs(20);

/// How long a caller waits that reads a body as it arrives.
const STREAM_PATIENCE: Duration = Duration::from_secs(2);

/// How a connection ends after bytes that are no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
    Open,
}

const ENDS: [End; 3] = [End::Closed, End::Reset, End::Open];

/// Sends `bytes` in answer to each request but those for load reports. Returns the address, and how
/// many requests there were.
async fn odd(bytes: &str, end: End) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(ANY).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (calls, bytes) = (Arc::new(AtomicUsize::new(0)), bytes.to_owned());
    let counted = Arc::clone(&calls);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream, bytes.clone(), end, Arc::clone(&counted)));
        }
    });
    (address, calls)
}

async fn serve(mut stream: TcpStream, bytes: String, end: End, calls: Arc<AtomicUsize>) {
    let mut head = vec![0; 16 << 10];
    let read = stream.read(&mut head).await.unwrap_or(0);
    if head[..read].starts_with(b"GET /v1/load") {
        let _ = stream.write_all(b"HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n").await;
        return;
    }
    calls.fetch_add(1, Ordering::SeqCst);
    let _ = stream.write_all(bytes.as_bytes()).await;
    match end {
        End::Closed => {}
        End::Reset => {
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.set_zero_linger().expect("a socket option");
        }
        End::Open => while stream.read(&mut head).await.is_ok_and(|read| read > 0) {},
    }
}

/// What a caller received.
#[derive(Debug)]
struct Answer {
    status: u16,
    /// The head and what follows it.
    text: String,
    /// Whether it is complete by its framing.
    whole: bool,
}

/// Sends a request and reads until the connection ends.
async fn send(entry: SocketAddr, head: String) -> Answer {
    send_within(PATIENCE, entry, head).await
}

/// Sends a request and reads until the connection ends, or brings nothing for that time.
async fn send_within(patience: Duration, entry: SocketAddr, head: String) -> Answer {
    let read = ntex::rt::spawn_blocking(move || {
        let mut stream = raw(entry, &head);
        stream.set_read_timeout(Some(patience)).expect("a socket option");
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        bytes
    });
    let text = String::from_utf8_lossy(&read.await.expect("no panic")).to_lowercase();
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let whole = match length.and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => body.len() >= length,
        None => head.contains("chunked") && body.ends_with("0\r\n\r\n"),
    };
    Answer { status, text, whole }
}

impl Answer {
    /// Whether the caller learns that there is no answer, or that it is cut.
    fn has_failed(&self) -> bool {
        let is_own = !self.text.contains("x-stamp");
        matches!(self.status, 502..=504) && is_own || self.status == 200 && !self.whole
    }
}

/// Guards against bytes that are no answer, or a part of one, being passed on as a whole answer;
/// against idempotent calls that are lost although another target answers, and against others that
/// are sent twice.
#[parameterized(
    status_000 = { format!("HTTP/1.1 000 OK\r\n{REST}"), false },
    status_099 = { format!("HTTP/1.1 099 OK\r\n{REST}"), false },
    status_20 = { format!("HTTP/1.1 20 OK\r\n{REST}"), false },
    status_2000 = { format!("HTTP/1.1 2000 OK\r\n{REST}"), false },
    status_none = { format!("HTTP/1.1\r\n{REST}"), false },
    status_101 = { format!("HTTP/1.1 101 Switching Protocols\r\n{REST}"), false },
    status_600 = { format!("HTTP/1.1 600 X\r\n{REST}"), false },
    status_999 = { format!("HTTP/1.1 999 X\r\n{REST}"), false },
    other_protocol = { format!("RTSP/1.0 200 OK\r\n{REST}"), false },
    version_2_0 = { format!("HTTP/2.0 200 OK\r\n{REST}"), false },
    nothing = { String::new(), false },
    in_the_first_line = { "HTTP/1.1 20".to_owned(), false },
    after_the_first_line = { "HTTP/1.1 200 OK\r\n".to_owned(), false },
    in_a_field = { "HTTP/1.1 200 OK\r\nx-stamp: s-1".to_owned(), false },
    after_a_field = { HEAD.to_owned(), false },
    half_of_the_empty_line = { format!("{HEAD}\r"), false },
    after_a_length = { format!("{HEAD}content-length: 5\r\n"), false },
    after_a_length_of_0 = { format!("{HEAD}content-length: 0\r\n"), false },
    after_chunks = { format!("{HEAD}transfer-encoding: chunked\r\n"), false },
    interim_answer = { "HTTP/1.1 100 Continue\r\n\r\n".to_owned(), false },
    interim_answers = { "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(3), false },
    no_length = { format!("{HEAD}\r\nhello"), false },
    body_without_its_end = { format!("{HEAD}content-length: 5\r\n\r\nhel"), true },
    length_without_a_body = { format!("{HEAD}content-length: 5\r\n\r\n"), true },
    chunks_without_their_end = { format!("{HEAD}transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n"), true },
    old_version = { format!("HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhel"), true },
    old_version_without_a_body = { format!("HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\n"), true },
)]
#[test_macro(ntex::test)]
async fn bytes_that_are_no_answer_are_not_passed_on(bytes: String, has_head: bool) {
    for end in ENDS {
        let (first, calls) = odd(&bytes, end).await;
        let (second, _service) = Plain::bind(ANY).expect("plain");
        let (other, other_calls) = odd(&bytes, end).await;
        let mut fleet = Fleet::open(&plain_text(&[other], &[first, second.address()]));
        let entry = fleet.daemon("brno-1").await.http_address();
        let get = "GET /s/search/x HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n";
        let mut asked = 0;
        while calls.load(Ordering::SeqCst) == 0 && asked < 20 {
            let answer = send_within(STREAM_PATIENCE, entry, get.to_owned()).await;
            let is_sound = answer.status == 200 && answer.whole && answer.text.contains("get /x\n");
            assert!(is_sound || has_head && answer.has_failed(), "{end:?}: {answer:?}");
            asked += 1;
        }
        assert!(calls.load(Ordering::SeqCst) > 0, "{end:?}: the odd target was not asked");
        let url = format!("http://{entry}/v1/tickets");
        let body = serde_json::json!({ "service": "dispatch" });
        let issued = client().await.post(url).send_json(&body).await.expect("sent");
        let ticket = issued.json::<Ticket>().await.expect("a ticket").ticket;
        let post = format!(
            "POST /s/dispatch/x HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\
             {TICKET_HEADER}: {ticket}\r\ncontent-length: 1\r\n\r\nb"
        );
        let answer = send(entry, post).await;
        assert!(answer.has_failed() && answer.status != 200, "{end:?}: {answer:?}");
        assert_eq!(other_calls.load(Ordering::SeqCst), 1, "{end:?}");
    }
}

/// Returns an address at which nothing listens.
fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 3))
}

/// Answers each request on a connection with its path, and sends `before` that and `late` after it.
async fn chatty(before: &'static str, late: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(ANY).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut head = vec![0; 16 << 10];
                while let Ok(read @ 1..) = stream.read(&mut head).await {
                    let head = String::from_utf8_lossy(&head[..read]);
                    let path = head.split(' ').nth(1).unwrap_or_default();
                    let length = path.len();
                    let answer =
                        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{path}");
                    for part in [before, &answer, late] {
                        let _ = stream.write_all(part.as_bytes()).await;
                        tokio::time::sleep(Duration::from_millis(30)).await;
                    }
                }
            });
        }
    });
    address
}

/// Guards against bytes that follow an answer, or what was taken for one, being given to the next
/// caller.
#[parameterized(
    interim_answer = { "HTTP/1.1 100 Continue\r\n\r\n", "" },
    stray_answer = { "", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray" },
    stray_bytes = { "", "stray" },
)]
#[test_macro(ntex::test)]
async fn no_caller_gets_the_answer_to_another_request(before: &'static str, late: &'static str) {
    let target = chatty(before, late).await;
    let mut fleet = Fleet::open(&plain_text(&[unused_address()], &[target]));
    let entry = fleet.daemon("brno-1").await.http_address();
    for nth in 0..6 {
        let get = format!("GET /s/search/{nth} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n");
        let answer = send(entry, get).await;
        let is_own = answer.status == 200 && answer.text.contains(&format!("\r\n/{nth}\r\n"));
        let is_refused = matches!(answer.status, 502..=504);
        assert!(is_own || !before.is_empty() && is_refused, "{nth}: {answer:?}");
    }
}

/// Guards against a body that ends with its connection being taken for whole after a reset.
#[parameterized(
    closed = { End::Closed, true },
    reset = { End::Reset, false },
)]
#[test_macro(ntex::test)]
async fn a_body_without_a_length_ends_with_an_orderly_close(end: End, whole: bool) {
    let (target, _calls) = odd("HTTP/1.0 200 OK\r\n\r\nhello", end).await;
    let mut fleet = Fleet::open(&plain_text(&[unused_address()], &[target]));
    let entry = fleet.daemon("brno-1").await.http_address();
    let get = "GET /s/search/x HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n";
    let answer = send(entry, get.to_owned()).await;
    assert_eq!(answer.status == 200 && answer.whole, whole, "{answer:?}");
    assert!(!whole || answer.text.contains("hello"), "{answer:?}");
}

/// Guards against a sound answer being refused since it has neither a length nor chunks.
#[ntex::test]
async fn an_answer_that_ends_with_its_connection_is_passed_on() {
    let (target, _calls) = odd(&format!("{HEAD}\r\nhello"), End::Closed).await;
    let mut fleet = Fleet::open(&plain_text(&[unused_address()], &[target]));
    let entry = fleet.daemon("brno-1").await.http_address();
    let get = "GET /s/search/x HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n";
    let answer = send(entry, get.to_owned()).await;
    assert!(answer.status == 200 && answer.whole && answer.text.contains("hello"), "{answer:?}");
}

/// Guards against a completion that is lost, or whose end is missing, since one engine answers with
/// bytes that are no answer.
#[parameterized(
    status_000 = { format!("HTTP/1.1 000 OK\r\n{REST}") },
    status_101 = { format!("HTTP/1.1 101 Switching Protocols\r\n{REST}") },
    status_600 = { format!("HTTP/1.1 600 X\r\n{REST}") },
    status_2000 = { format!("HTTP/1.1 2000 OK\r\n{REST}") },
    nothing = { String::new() },
    in_the_first_line = { "HTTP/1.1 20".to_owned() },
    after_a_field = { HEAD.to_owned() },
    after_a_length_of_0 = { format!("{HEAD}content-length: 0\r\n") },
    empty = { format!("{HEAD}content-length: 0\r\n\r\n") },
    no_length = { format!("{HEAD}\r\n") },
    interim_answer = { "HTTP/1.1 100 Continue\r\n\r\n".to_owned() },
)]
#[test_macro(ntex::test)]
async fn completions_survive_engines_that_do_not_answer(bytes: String) {
    for end in [End::Closed, End::Reset] {
        let (first, calls) = odd(&bytes, end).await;
        let (second, _engine) = engine();
        let mut fleet = Fleet::open(&text("live", 5_000, &[first, second.address()]));
        let entry = fleet.daemon("brno-1").await.http_address();
        let client = client().await;
        for nth in 0..4 {
            let prompt = format!("the Hansa tokens=12 salt {nth}");
            let mut got = Transcript::default();
            let ended = got.ask(&client, entry, &completion(&prompt), "").await;
            assert!(matches!(ended, Ended::Whole), "{end:?}: {ended:?}");
            let generation: Generation =
                got.generation.as_deref().expect("one").parse().expect("id");
            assert_eq!(got.text(), Script::of(&prompt, generation, u64::MAX).text());
        }
        assert!(calls.load(Ordering::SeqCst) > 0, "{end:?}: the odd engine was not asked");
    }
}
