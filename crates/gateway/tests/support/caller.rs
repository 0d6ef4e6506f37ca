//! An HTTP client that exposes every byte of an answer, and whether the answer was complete.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::{KEY, TEST_TIMEOUT};

/// A request to an entry.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    head: String,
    body: Vec<u8>,
}

/// The answer to a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// 0 if there was no answer.
    pub(crate) status: u16,
    /// The status line and headers, in lowercase.
    pub(crate) head: String,
    /// The body, with its chunks joined.
    pub(crate) body: String,
    /// Whether the body arrived up to its end as given by its framing.
    pub(crate) whole: bool,
    /// Number of bytes after the answer.
    pub(crate) trailing_bytes: usize,
    /// Time from connecting until the connection ended.
    pub(crate) took: Duration,
}

impl Answer {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(prefix.as_str()))
    }
}

impl Request {
    /// Creates a request of the workspace `archive` with the request id `r-1`.
    pub(crate) fn new(method: &str, path: &str) -> Self {
        Self::keyless(method, path).header("authorization", &format!("Bearer {KEY}"))
    }

    /// Creates the same request without an API key.
    pub(crate) fn keyless(method: &str, path: &str) -> Self {
        let head = format!("{method} {path} HTTP/1.1\r\nhost: svc.example\r\n");
        let own = Self { head, body: Vec::new() };
        own.header("fireflyhoist-request", "r-1").header("connection", "close")
    }

    /// Creates a GET request without any headers of fireflyhoist.
    pub(crate) fn get(path: &str) -> Self {
        let head = format!("GET {path} HTTP/1.1\r\nhost: any\r\nconnection: close\r\n");
        Self { head, body: Vec::new() }
    }

    /// Creates a request for a generation of at most `limit` tokens.
    pub(crate) fn stream(path: &str, limit: u64) -> Self {
        Self::new("POST", path)
            .header("fireflyhoist-prompt-tokens", "100")
            .header("fireflyhoist-max-tokens", &limit.to_string())
    }

    /// Gives it another request id.
    pub(crate) fn named(mut self, id: &str) -> Self {
        let before = "fireflyhoist-request: ";
        let rest = |line: &str| line.strip_prefix(before).map(|_| format!("{before}{id}\r\n"));
        let line = |line: &str| rest(line).unwrap_or_else(|| line.to_owned());
        self.head = self.head.split_inclusive('\n').map(line).collect();
        self
    }

    pub(crate) fn header(mut self, name: &str, value: &str) -> Self {
        self.head.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    pub(crate) fn body(mut self, body: &str) -> Self {
        self.body = body.as_bytes().to_vec();
        self.header("content-length", &body.len().to_string())
    }

    /// Appends bytes to the head unchanged, without a `content-length`.
    pub(crate) fn raw(mut self, bytes: &[u8]) -> Self {
        self.body = bytes.to_vec();
        self
    }

    /// Removes a line of the head.
    pub(crate) fn without(mut self, line: &str) -> Self {
        self.head = self.head.replace(line, "");
        self
    }

    /// Makes it a request of HTTP/1.0.
    pub(crate) fn old(mut self) -> Self {
        self.head = self.head.replacen("HTTP/1.1", "HTTP/1.0", 1);
        self
    }

    /// Leaves the connection open after the answer.
    pub(crate) fn kept(self) -> Self {
        self.without("connection: close\r\n")
    }

    /// Returns the request as it is written.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        let mut bytes = format!("{}\r\n", self.head).into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Connects and writes the request.
    pub(crate) async fn open(&self, to: SocketAddr) -> TcpStream {
        let mut stream = TcpStream::connect(to).await.expect("the entry listens");
        stream.write_all(&self.bytes()).await.expect("the entry reads");
        stream
    }

    /// Sends the request and reads until the connection ends.
    pub(crate) async fn send(&self, to: SocketAddr) -> Answer {
        let started = Instant::now();
        let mut answer = read(self.open(to).await).await;
        answer.took = started.elapsed();
        answer
    }
}

/// Reads an answer until the connection ends.
pub(crate) async fn read(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    // A reset also ends the answer; what was received before it counts.
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    parse(&bytes)
}

/// Reads one answer, and leaves its connection open if it is complete.
pub(crate) async fn read_one(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let read = async {
        loop {
            let answer = parse(&bytes);
            // Without a head there is no framing yet.
            if answer.status > 0 && answer.whole {
                return;
            }
            let mut more = [0; 4096];
            match stream.read(&mut more).await {
                Ok(count) if count > 0 => bytes.extend_from_slice(&more[..count]),
                _ => return,
            }
        }
    };
    let _ = timeout(TEST_TIMEOUT, read).await;
    parse(&bytes)
}

/// Reads an answer that may have neither a length nor chunks, as over HTTP/1.0: such an answer is
/// complete if its connection ends in order.
pub(crate) async fn read_old(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let mut answer = parse(&bytes);
    let is_framed =
        ["content-length", "transfer-encoding"].map(|name| answer.header(name).is_some());
    if answer.status > 0 && !is_framed.contains(&true) {
        let body = bytes.windows(4).position(|four| four == b"\r\n\r\n").unwrap_or_default() + 4;
        answer.body = String::from_utf8_lossy(&bytes[body..]).into_owned();
        (answer.whole, answer.trailing_bytes) = (matches!(read, Ok(Ok(_))), 0);
    }
    answer
}

fn parse(bytes: &[u8]) -> Answer {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return Answer::default();
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default();
    let rest = &bytes[end + 4..];
    let mut answer = Answer { status, head, ..Answer::default() };
    if answer.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        (answer.body, answer.whole, answer.trailing_bytes) = dechunk(rest);
    } else {
        let length = answer.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        answer.whole = rest.len() >= length;
        answer.trailing_bytes = rest.len().saturating_sub(length);
        answer.body = String::from_utf8_lossy(&rest[..rest.len().min(length)]).into_owned();
    }
    answer
}

fn dechunk(mut rest: &[u8]) -> (String, bool, usize) {
    let mut body = Vec::new();
    while let Some(line) = rest.windows(2).position(|two| two == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).ok();
        let Some(size) = size.and_then(|text| usize::from_str_radix(text.trim(), 16).ok()) else {
            break;
        };
        rest = &rest[line + 2..];
        if size == 0 {
            let trailing_bytes = rest.len().saturating_sub(2);
            return (String::from_utf8_lossy(&body).into_owned(), true, trailing_bytes);
        }
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        if rest.len() < size + 2 {
            break;
        }
        rest = &rest[size + 2..];
    }
    (String::from_utf8_lossy(&body).into_owned(), false, 0)
}
