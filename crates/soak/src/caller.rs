//! Callers: they keep their connections, and note how every request ended.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::backend::{length, name_of_run, path};
use crate::ledger::{Asked, End, Kind};
use crate::seen::Seen;

/// The key that callers show.
pub(crate) const KEY: &str = "k-1";

/// How long a route keeps a caller waiting.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(6);

/// How long past it a caller waits before nothing came in time.
const SLACK: Duration = Duration::from_secs(2);

/// How long opening a connection may take.
const CONNECT: Duration = Duration::from_secs(1);

/// Time between two lookups of [`look`].
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);

type Sender = SendRequest<Full<Bytes>>;

/// One answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
    closes: bool,
    pub(crate) whole: bool,
}

/// Opens a connection.
pub(crate) async fn connect(to: SocketAddr) -> Option<Sender> {
    let stream = timeout(CONNECT, TcpStream::connect(to)).await.ok()?.ok()?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        // Its failures reach the answer.
        let _ = driver.await;
    });
    Some(sender)
}

/// Sends one request and reads its answer; `None` where none began.
pub(crate) async fn ask(sender: &mut Sender, id: &str, path: &str) -> Option<Answer> {
    ask_with(sender, id, path, &[]).await
}

/// The same with more headers.
pub(crate) async fn ask_with(
    sender: &mut Sender,
    id: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Option<Answer> {
    let mut request = hyper::Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "svc.example")
        .header("authorization", format!("Bearer {KEY}"))
        .header("fireflyhoist-request", id)
        .header("fireflyhoist-prompt-tokens", "100")
        .header("fireflyhoist-max-tokens", length(name_of_run(id, path)).to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from_static(b"{}"))).expect("a request");
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let close = response.headers().get("connection").is_some_and(|value| value == "close");
    let mut answer = Answer { status, body: String::new(), closes: close, whole: true };
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                answer.body.push_str(&String::from_utf8_lossy(&data));
            }
            Err(_) => {
                answer.whole = false;
                break;
            }
        }
    }
    Some(answer)
}

/// Asks until the run ends.
pub(crate) async fn run(number: u64, seed: u64, entries: Vec<SocketAddr>, seen: Seen) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number);
    let mut kept: Option<(usize, Sender)> = None;
    for nth in 0.. {
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
        if seen.is_over() {
            return;
        }
        let kinds = [Kind::Safe, Kind::Unsafe, Kind::Unsafe, Kind::Page, Kind::Resumable];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let request = format_smolstr!("r-{number}-{nth}");
        // A connection is used for some requests, and then another entry is drawn.
        if rng.random_bool(0.2) {
            kept = None;
        }
        let entry = kept.as_ref().map_or_else(|| rng.random_range(0..entries.len()), |k| k.0);
        let from = seen.now();
        let (end, wrong) = one(&mut kept, entry, entries[entry], kind, &request).await;
        let to = seen.now();
        seen.asked(Asked { request, kind, entry, from, to, end, wrong });
    }
}

/// Sends lookups to one entry at a steady rate, each on a connection of its own, until the run ends.
pub(crate) async fn look(entry: usize, to: SocketAddr, seen: Seen) {
    for nth in 0.. {
        sleep(LOOKUP_INTERVAL).await;
        if seen.is_over() {
            return;
        }
        let kind = if nth % 2 == 0 { Kind::Safe } else { Kind::Unsafe };
        let seen = seen.clone();
        spawn_local(async move {
            let request = format_smolstr!("l-{entry}-{nth}");
            let from = seen.now();
            let (end, wrong) = one(&mut None, entry, to, kind, &request).await;
            let to = seen.now();
            seen.asked(Asked { request, kind, entry, from, to, end, wrong });
        });
    }
}

/// Asks for the poison at any entry, on a connection of its own each time, until the run ends.
pub(crate) async fn poison(seed: u64, entries: Vec<SocketAddr>, seen: Seen) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for nth in 0.. {
        sleep(Duration::from_millis(rng.random_range(100..500))).await;
        if seen.is_over() {
            return;
        }
        let request = format_smolstr!("poison-{nth}");
        let entry = rng.random_range(0..entries.len());
        let from = seen.now();
        let (end, wrong) = one(&mut None, entry, entries[entry], Kind::Poison, &request).await;
        let to = seen.now();
        seen.asked(Asked { request, kind: Kind::Poison, entry, from, to, end, wrong });
    }
}

async fn one(
    kept: &mut Option<(usize, Sender)>,
    entry: usize,
    to: SocketAddr,
    kind: Kind,
    request: &SmolStr,
) -> (End, Option<String>) {
    let sender = match kept.take() {
        Some((_, sender)) if !sender.is_closed() => Some(sender),
        _ => connect(to).await,
    };
    let Some(mut sender) = sender else { return (End::Unreached, None) };
    match timeout(TIMEOUT + SLACK, ask(&mut sender, request, path(kind))).await {
        Err(_) => (End::Hung, None),
        Ok(None) => (End::Broken, None),
        Ok(Some(answer)) => {
            if answer.whole && !answer.closes {
                *kept = Some((entry, sender));
            }
            let succeeded = answer.status == 200;
            let wrong = succeeded.then(|| wrong(&answer.body, answer.whole, kind, request));
            let end = if answer.whole { End::Status(answer.status) } else { End::Broken };
            (end, wrong.flatten())
        }
    }
}

/// What is wrong with an answer of success, whole or not.
pub(crate) fn wrong(body: &str, whole: bool, kind: Kind, request: &SmolStr) -> Option<String> {
    if matches!(kind, Kind::Safe | Kind::Unsafe) {
        let own = !whole || body == format!("{request} done");
        return (!own).then(|| format!("body {body:?}"));
    }
    let mut generation = None;
    let mut last = 0;
    let (events, rest) = body.rsplit_once("\n\n").unwrap_or_default();
    for event in events.split("\n\n").filter(|event| !event.is_empty()) {
        last += 1;
        let mut words = event.split(['\n', ' ']);
        let found = (words.nth(1), words.nth(1), words.next());
        let (Some(id), Some(own), Some(made)) = found else {
            return Some(format!("event {event:?}"));
        };
        if id != last.to_string() || own != request.as_str() {
            return Some(format!("event {last} is {event:?}"));
        }
        let first = *generation.get_or_insert(made);
        if kind == Kind::Page && first != made {
            return Some(format!("event {last} is of generation {made}, not {first}"));
        }
    }
    if whole && (last != length(request) || !rest.is_empty()) {
        return Some(format!("whole with {last} of {} events", length(request)));
    }
    None
}
