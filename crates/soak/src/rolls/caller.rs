//! Callers that use their connections until the entry closes them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use smol_str::{SmolStr, format_smolstr};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::connection::{Answer, Connection};
use super::{Manner, Refusal, Rolled};
use crate::backend::{LARGE, LARGE_LENGTH, length, path};
use crate::caller::{self, KEY, TIMEOUT};
use crate::ledger::{Asked, End, Kind};
use crate::seen::Seen;

/// The callers of each entry.
const CALLERS: [Manner; 6] = [
    Manner::Kept,
    Manner::Kept,
    Manner::Kept,
    Manner::Pipelined,
    Manner::SlowBody,
    Manner::SlowReader,
];

/// How long past the longest timeout a caller waits.
const SLACK: Duration = Duration::from_secs(2);

/// The time between two tries to connect to an entry that does not listen.
const RECONNECT: Duration = Duration::from_millis(50);

/// Requests that are sent at once, at most.
const PIPELINED: usize = 4;

/// The body of requests, and the parts in which it arrives slowly.
const BODY: &str = "{\"text\":\"0123456789abcdef\"}";
const PARTS: usize = 4;

/// How often the soak looks how late it runs itself.
const TICK: Duration = Duration::from_millis(10);

/// Notes how late timers of the soak are, which delays targets and callers alike.
pub(crate) async fn watch_delay(seen: Seen) {
    while !seen.is_over() {
        let from = seen.now();
        sleep(TICK).await;
        seen.delayed(seen.now().saturating_sub(from + TICK));
    }
}

/// Starts the callers of an entry.
pub(crate) fn start(entry: usize, to: SocketAddr, seed: u64, seen: &Seen) {
    for (nth, manner) in CALLERS.into_iter().enumerate() {
        let name = format_smolstr!("w-{entry}-{nth}");
        let number = (entry * CALLERS.len() + nth) as u64;
        let rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(28) ^ number);
        let caller = Caller { entry, to, manner, name, rng, count: 0, seen: seen.clone() };
        spawn_local(caller.run());
    }
}

struct Caller {
    entry: usize,
    to: SocketAddr,
    manner: Manner,
    name: SmolStr,
    rng: ChaCha8Rng,
    count: u64,
    seen: Seen,
}

struct Request {
    id: SmolStr,
    kind: Kind,
}

impl Caller {
    async fn run(mut self) {
        while !self.seen.is_over() {
            let slow = self.manner == Manner::SlowReader;
            match Connection::open(self.to, slow).await {
                Some(connection) => self.use_up(connection).await,
                None => sleep(RECONNECT).await,
            }
        }
    }

    /// Sends requests on a connection until it ends.
    async fn use_up(&mut self, mut connection: Connection) {
        let opened = self.seen.now();
        loop {
            let pause = if self.manner == Manner::SlowReader { 200..800 } else { 5..60 };
            sleep(Duration::from_millis(self.rng.random_range(pause))).await;
            if self.seen.is_over() {
                return;
            }
            let count = match self.manner {
                Manner::Pipelined => self.rng.random_range(2..=PIPELINED),
                _ => 1,
            };
            let requests: Vec<Request> = (0..count).map(|_| self.next()).collect();
            let mut from = self.seen.now();
            let sent = self.send(&mut connection, &requests).await.then(|| self.seen.now());
            let mut closed = false;
            for request in requests {
                let mut answer = Answer::default();
                let hung = !closed
                    && timeout(TIMEOUT + SLACK, connection.read(&mut answer)).await.is_err();
                let to = self.seen.now();
                let sent = sent.map(|sent| sent.max(from));
                self.note(&request, &answer, [opened, from, to], sent, (closed, hung));
                closed |= answer.closes || !answer.whole;
                from = to;
            }
            if closed {
                return;
            }
        }
    }

    fn next(&mut self) -> Request {
        let kinds = [Kind::Safe, Kind::Unsafe, Kind::Page, Kind::Resumable];
        let kinds = if self.manner == Manner::SlowReader { &kinds[..2] } else { &kinds[..] };
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        self.count += 1;
        Request { id: format_smolstr!("{}-{}", self.name, self.count), kind }
    }

    /// Returns whether all bytes were taken.
    async fn send(&mut self, connection: &mut Connection, requests: &[Request]) -> bool {
        let heads = requests.iter().map(|request| self.head(request));
        if self.manner != Manner::SlowBody {
            let bytes: String = heads.map(|head| head + BODY).collect();
            return connection.write(bytes.as_bytes()).await;
        }
        let head: String = heads.collect();
        if !connection.write(head.as_bytes()).await {
            return false;
        }
        for part in BODY.as_bytes().chunks(BODY.len().div_ceil(PARTS)) {
            sleep(Duration::from_millis(self.rng.random_range(20..300))).await;
            if !connection.write(part).await {
                return false;
            }
        }
        true
    }

    fn head(&self, request: &Request) -> String {
        let Request { id, kind } = request;
        let path = match (self.manner, kind) {
            (Manner::SlowReader, Kind::Safe) => format!("/look/{LARGE}"),
            (Manner::SlowReader, _) => format!("/send/{LARGE}"),
            _ => path(*kind).to_owned(),
        };
        format!(
            "POST {path} HTTP/1.1\r\nhost: svc.example\r\nauthorization: Bearer {KEY}\r\n\
             fireflyhoist-request: {id}\r\nfireflyhoist-prompt-tokens: 100\r\n\
             fireflyhoist-max-tokens: {}\r\ncontent-length: {}\r\n\r\n",
            length(id),
            BODY.len(),
        )
    }

    fn note(
        &self,
        request: &Request,
        answer: &Answer,
        [opened, from, to]: [Duration; 3],
        sent: Option<Duration>,
        (unread, hung): (bool, bool),
    ) {
        let Request { id, kind } = request;
        let body = String::from_utf8_lossy(&answer.body);
        let refusal = (answer.status != Some(200) && answer.whole).then(|| refusal(&body));
        let wrong = match (answer.status, self.manner) {
            (Some(200), Manner::SlowReader) => {
                let own = format!("{id} done");
                let is_own = body.starts_with(&own) && body.len() == own.len() + LARGE_LENGTH;
                (answer.whole && !is_own).then(|| format!("{} bytes", body.len()))
            }
            (Some(200), _) => caller::wrong(&body, answer.whole, *kind, id),
            _ => None,
        };
        let end = match (hung, answer.whole, answer.status) {
            (true, ..) => End::Hung,
            (_, true, Some(status)) => End::Status(status),
            _ => End::Broken,
        };
        self.seen.rolled(Rolled {
            request: id.clone(),
            kind: *kind,
            manner: self.manner,
            entry: self.entry,
            opened,
            from,
            sent,
            to,
            unread,
            status: answer.status,
            whole: answer.whole,
            length: answer.body.len(),
            hung,
            refusal,
        });
        let request = id.clone();
        self.seen.asked(Asked { request, kind: *kind, entry: self.entry, from, to, end, wrong });
    }
}

/// Reads a refusal; answers of other forms have no reason.
fn refusal(body: &str) -> Refusal {
    #[derive(Deserialize)]
    struct Problem {
        #[serde(rename = "type")]
        kind: SmolStr,
        ran: SmolStr,
    }
    match serde_json::from_str::<Problem>(body) {
        Ok(problem) => Refusal { reason: problem.kind, not_run: problem.ran == "no" },
        Err(_) => Refusal { reason: "no-problem".into(), not_run: false },
    }
}
