//! A target that runs a script for each request and sends exactly the bytes in it.

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
    /// Waits until a condition holds.
    Until(Arc<dyn Fn() -> bool + Send + Sync>),
    /// Ends the script, and with it the connection, unless a condition holds.
    Only(Arc<dyn Fn() -> bool + Send + Sync>),
    /// Resets the connection, unless a condition holds.
    OrReset(Arc<dyn Fn() -> bool + Send + Sync>),
    /// Waits until the entry closes the connection, and records when.
    Hang,
    /// Resets the connection.
    Reset,
    /// Ends the target: closes its listener and all its connections.
    End,
    /// Closes the listener and then, in order, the connection, as the system does for a process that is
    /// killed.
    Exit,
}

/// A request that the target received.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// The request line and headers, as sent.
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
    /// The tasks of the listener and the connections; empty after the target has ended.
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

impl Standin {
    /// Listens on a free port and runs `script` for each request, each on its own connection.
    pub(crate) async fn open(
        name: &str,
        service: &str,
        script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Self::on(listener, name, service, script)
    }

    /// Does the same on an existing listener.
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

    /// Ends the target: closes its listener and all its connections.
    pub(crate) fn end(&self) {
        self.tasks.lock().drain(..).for_each(|task| task.abort());
    }

    /// Closes its listener; its connections live on.
    pub(crate) fn close_listener(&self) {
        self.tasks.lock().remove(0).abort();
    }

    /// Returns whether the target has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.tasks.lock().is_empty()
    }

    /// Returns the requests received so far.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().clone()
    }

    /// Returns when it was noticed that the entry had closed connections.
    pub(crate) fn closed(&self) -> Vec<Instant> {
        self.closed.lock().clone()
    }

    /// Returns its registry entry in the draining state.
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
                Step::Only(holds) => {
                    if !holds() {
                        return;
                    }
                }
                Step::OrReset(holds) => {
                    if !holds() {
                        stream.set_zero_linger().expect("a socket option");
                        return;
                    }
                }
                Step::Hang => {
                    // The entry closed or reset the connection.
                    let _ = stream.read(&mut [0; 16]).await;
                    self.closed.lock().push(Instant::now());
                }
                Step::Reset => {
                    stream.set_zero_linger().expect("a socket option");
                    return;
                }
                Step::Exit => {
                    self.close_listener();
                    sleep(Duration::from_millis(1)).await;
                    break;
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

/// Returns the registry entry of a ready target.
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
        slots: 0,
        start: None,
        software: None,
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

/// Returns the script of a complete answer to the request `r-1`.
pub(crate) fn answer(status: u16, body: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "HTTP/1.1 {status} X\r\nfireflyhoist-request: r-1\r\nx-stamp: s-1\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    ))]
}

/// Returns the script of an answer that says that the target did not run the request.
pub(crate) fn declined() -> Vec<Step> {
    vec![Step::Write(
        "HTTP/1.1 503 X\r\nfireflyhoist-request: r-1\r\nfireflyhoist-declined: 1\r\n\
         content-length: 0\r\n\r\n"
            .to_owned(),
    )]
}

/// Returns the step that sends the head of a stream.
pub(crate) fn stream_head() -> Step {
    Step::Write(
        "HTTP/1.1 200 OK\r\nfireflyhoist-request: r-1\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
            .to_owned(),
    )
}

/// Returns the step that sends one event in its own chunk.
pub(crate) fn event(id: u64) -> Step {
    let text = format!("id: {id}\ndata: t{id}\n\n");
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Returns the step that sends the end of a stream.
pub(crate) fn stream_end() -> Step {
    Step::Write("0\r\n\r\n".to_owned())
}

/// Returns the text of events `from` to `to`, both included.
pub(crate) fn events(from: u64, to: u64) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: t{id}\n\n")).collect()
}
