//! A target that plays a script for each request, byte for byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::lease::{State, Target};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

/// One step of a script.
#[derive(Clone)]
pub(crate) enum Step {
    /// Writes these bytes.
    Write(String),
    /// Waits.
    Wait(Duration),
    /// Waits until something holds.
    Until(Arc<dyn Fn() -> bool + Send + Sync>),
    /// Waits until the entry closes its end, and notes when.
    Hang,
    /// Resets the connection.
    Reset,
    /// Ends the target: its listener and every connection close.
    End,
}

/// A request as the target got it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// The head, names in lowercase as sent.
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Seen {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head.lines().find_map(|line| {
            let matches =
                line.len() >= prefix.len() && line[..prefix.len()].eq_ignore_ascii_case(&prefix);
            matches.then(|| &line[prefix.len()..])
        })
    }

    pub(crate) fn line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }
}

type Script = Arc<dyn Fn(&Seen) -> Vec<Step> + Send + Sync>;

/// A target on loopback.
#[derive(Clone)]
pub(crate) struct Standin {
    pub(crate) listed: Target,
    seen: Arc<Mutex<Vec<Seen>>>,
    closed: Arc<Mutex<Vec<Instant>>>,
    /// The listener and the connections, until the target ends.
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

impl Standin {
    /// Listens and plays `script` for each request, each on a connection of its own.
    pub(crate) async fn open(
        name: &str,
        service: &str,
        script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Self::on(listener, name, service, script)
    }

    /// The same on a listener that is there.
    pub(crate) fn on(
        listener: TcpListener,
        name: &str,
        service: &str,
        script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("bound");
        let own = Self {
            listed: listed(name, service, address),
            seen: Arc::default(),
            closed: Arc::default(),
            tasks: Arc::default(),
        };
        let script: Script = Arc::new(script);
        let served = own.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = served.clone().serve(stream, Arc::clone(&script));
                let serving = tokio::task::spawn_local(serving).abort_handle();
                served.tasks.lock().push(serving);
            }
        });
        own.tasks.lock().push(accepting.abort_handle());
        own
    }

    /// Ends at once: nothing listens any more, and every connection closes.
    pub(crate) fn end(&self) {
        self.tasks.lock().drain(..).for_each(|task| task.abort());
    }

    /// Whether it has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.tasks.lock().is_empty()
    }

    /// Requests that came so far.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().clone()
    }

    /// When connections were found closed by the entry.
    pub(crate) fn closed(&self) -> Vec<Instant> {
        self.closed.lock().clone()
    }

    /// Its entry once it drains.
    pub(crate) fn draining(&self) -> Target {
        Target { state: State::Draining, ..self.listed.clone() }
    }

    async fn serve(self, mut stream: TcpStream, script: Script) {
        let Some(seen) = read(&mut stream).await else { return };
        self.seen.lock().push(seen.clone());
        for step in script(&seen) {
            match step {
                Step::Write(text) => {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        self.closed.lock().push(Instant::now());
                        return;
                    }
                }
                Step::Wait(span) => sleep(span).await,
                Step::Until(holds) => {
                    while !holds() {
                        sleep(Duration::from_millis(10)).await;
                    }
                }
                Step::Hang => {
                    // A reset or an orderly end: the entry has let go.
                    let _ = stream.read(&mut [0; 16]).await;
                    self.closed.lock().push(Instant::now());
                }
                Step::Reset => {
                    stream.set_zero_linger().expect("a socket option");
                    return;
                }
                Step::End => {
                    stream.set_zero_linger().expect("a socket option");
                    self.end();
                    return;
                }
            }
        }
        let _ = stream.shutdown().await;
    }
}

/// A registry entry of a target that is ready.
pub(crate) fn listed(name: &str, service: &str, address: SocketAddr) -> Target {
    Target {
        id: name.parse().expect("name"),
        instance: name.into(),
        service: service.parse().expect("name"),
        address,
        domain: "hala-a".parse().expect("name"),
        state: State::Ready,
        renewal: 1,
        cold_ms: 0,
        start: None,
    }
}

async fn read(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        let mut more = [0; 4096];
        match stream.read(&mut more).await.ok()? {
            0 => return None,
            count => bytes.extend_from_slice(&more[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut seen = Seen { head, body: String::new() };
    let length: usize = seen.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = bytes[end..].to_vec();
    while body.len() < length {
        let mut more = [0; 4096];
        match stream.read(&mut more).await.ok()? {
            0 => break,
            count => body.extend_from_slice(&more[..count]),
        }
    }
    seen.body = String::from_utf8_lossy(&body).into_owned();
    Some(seen)
}

/// A whole answer to request `r-1`.
pub(crate) fn answer(status: u16, body: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "HTTP/1.1 {status} X\r\nfireflyhoist-request: r-1\r\nx-stamp: s-1\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    ))]
}

/// The answer of a target that did not run the request.
pub(crate) fn declined() -> Vec<Step> {
    vec![Step::Write(
        "HTTP/1.1 503 X\r\nfireflyhoist-request: r-1\r\nfireflyhoist-declined: 1\r\n\
         content-length: 0\r\n\r\n"
            .to_owned(),
    )]
}

/// The head of a stream.
pub(crate) fn stream_head() -> Step {
    Step::Write(
        "HTTP/1.1 200 OK\r\nfireflyhoist-request: r-1\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
            .to_owned(),
    )
}

/// One event in a chunk of its own.
pub(crate) fn event(id: u64) -> Step {
    let text = format!("id: {id}\ndata: t{id}\n\n");
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// The end of a stream.
pub(crate) fn stream_end() -> Step {
    Step::Write("0\r\n\r\n".to_owned())
}

/// The text of events `from` to `to`.
pub(crate) fn events(from: u64, to: u64) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: t{id}\n\n")).collect()
}
