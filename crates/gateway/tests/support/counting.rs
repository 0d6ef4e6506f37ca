//! Targets that count what they run by the id of the request, and fail once at a point of the next
//! one when a test asks for it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::lease::Target;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until};

use super::target::{Seen, Step, event, events, listed, stream_end};

/// How long a target stands still.
pub(crate) const STALL: Duration = Duration::from_millis(1_300);

/// The delay from a crash until another process listens at the same address.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// The number of events of a stream.
const EVENTS: u64 = 4;

/// A point of a request at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Point {
    /// Its connection is accepted.
    Accepted,
    /// Bytes of it have arrived, and none is read.
    Arrived,
    /// Its head is read.
    Head,
    /// Its body is read too; it runs.
    Body,
    /// The first part of its answer is written.
    Answer,
}

/// What a target does to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Resets the connection. What was read is run.
    Reset(Point),
    /// Closes the connection. What was read is run.
    Close(Point),
    /// Does nothing at all for [`STALL`], then goes on.
    StandStill(Point),
    /// Stands still while its connection is reset on the way, which it notices once it is awake.
    Cut(Point),
    /// Crashes, and starts again under its name.
    Restart(Point),
    /// Crashes, and another target starts at its address.
    Replace(Point),
    /// Answers 421 without running it.
    Misdirected,
    /// Answers 503 and says that it did not run it.
    Declined,
    /// Runs it and answers with this status.
    Fails(u16),
    /// Runs it and sends bytes that are no answer.
    Junk,
    /// Runs it, but first sends an answer to another request, with this status line and header.
    Crossed(&'static str),
}

impl Fault {
    fn point(self) -> Point {
        match self {
            Self::Reset(point)
            | Self::Close(point)
            | Self::StandStill(point)
            | Self::Cut(point)
            | Self::Restart(point)
            | Self::Replace(point) => point,
            Self::Misdirected | Self::Declined | Self::Fails(_) | Self::Junk | Self::Crossed(_) => {
                Point::Body
            }
        }
    }
}

/// A request that a target has run.
#[derive(Clone, Debug)]
pub(crate) struct Ran {
    pub(crate) id: String,
    pub(crate) target: String,
    pub(crate) body: String,
    began_at: Instant,
    /// `None` while the target works on it.
    ended_at: Option<Instant>,
}

/// A run that its target works on until this is dropped.
struct Run {
    ledger: Ledger,
    index: usize,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.ledger.ran.lock()[self.index].ended_at = Some(Instant::now());
    }
}

/// What all targets of a test have run, and the fault of the next request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    ran: Arc<Mutex<Vec<Ran>>>,
    fault: Arc<Mutex<Option<Fault>>>,
}

impl Ledger {
    /// Sets what happens to the next request that reaches a target.
    pub(crate) fn arm(&self, fault: Fault) {
        *self.fault.lock() = Some(fault);
    }

    /// Returns whether the fault that was set has not happened yet.
    pub(crate) fn is_armed(&self) -> bool {
        self.fault.lock().is_some()
    }

    /// Returns the runs of one request.
    pub(crate) fn runs(&self, id: &str) -> Vec<Ran> {
        self.ran.lock().iter().filter(|ran| ran.id == id).cloned().collect()
    }

    /// Returns the number of all runs.
    pub(crate) fn count(&self) -> usize {
        self.ran.lock().len()
    }

    fn take(&self, point: Point) -> Option<Fault> {
        self.fault.lock().take_if(|fault| fault.point() == point)
    }

    /// Returns for how long a run of a request went on at most after the next one had begun.
    pub(crate) fn overlap(&self, id: &str) -> Duration {
        let runs = self.runs(id);
        let ended = |ran: &Ran| ran.ended_at.unwrap_or_else(Instant::now);
        let overlaps = runs.windows(2).map(|two| ended(&two[0]).duration_since(two[1].began_at));
        overlaps.max().unwrap_or_default()
    }

    fn begin(&self, target: &str, seen: &Seen) -> Run {
        let id = seen.header("fireflyhoist-request").unwrap_or_default().to_owned();
        let (target, body) = (target.to_owned(), seen.body.clone());
        let mut ran = self.ran.lock();
        ran.push(Ran { id, target, body, began_at: Instant::now(), ended_at: None });
        Run { ledger: self.clone(), index: ran.len() - 1 }
    }
}

/// A target that counts its runs.
#[derive(Clone)]
pub(crate) struct Counting {
    pub(crate) listed: Target,
    ledger: Ledger,
    state: Rc<Mutex<State>>,
}

struct State {
    instance: String,
    stalls_until: Instant,
    /// The tasks of the listener and the connections.
    tasks: Vec<AbortHandle>,
}

/// The target no longer serves a connection.
struct Ended;

impl Counting {
    /// Listens on a free port.
    pub(crate) async fn open(name: &str, service: &str, ledger: &Ledger) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let listed = listed(name, service, address);
        let state =
            State { instance: name.into(), stalls_until: Instant::now(), tasks: Vec::new() };
        let own = Self { listed, ledger: ledger.clone(), state: Rc::new(Mutex::new(state)) };
        own.listen(listener);
        own
    }

    /// Ends the target.
    pub(crate) fn end(&self) {
        self.state.lock().tasks.drain(..).for_each(|task| task.abort());
    }

    fn listen(&self, listener: TcpListener) {
        let own = self.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = own.clone();
                let serving = tokio::task::spawn_local(async move {
                    let _ = served.serve(stream).await;
                });
                own.state.lock().tasks.push(serving.abort_handle());
            }
        });
        self.state.lock().tasks.push(accepting.abort_handle());
    }

    /// Ends the target, and starts the next one at its address.
    fn restart(&self, instance: String) {
        let own = self.clone();
        tokio::task::spawn_local(async move {
            own.end();
            sleep(RESTART_DELAY).await;
            own.state.lock().instance = instance;
            let listener = bind_again(own.listed.address).await;
            own.listen(listener);
        });
    }

    fn stand_still(&self) {
        self.state.lock().stalls_until = Instant::now() + STALL;
    }

    async fn awake(&self) {
        let until = self.state.lock().stalls_until;
        sleep_until(until).await;
    }

    async fn serve(&self, mut stream: TcpStream) -> Result<(), Ended> {
        self.awake().await;
        self.pass(Point::Accepted, &stream).await?;
        let mut start = [0; 4];
        let arrived = stream.peek(&mut start).await.map_err(|_| Ended)?;
        if !start[..arrived].starts_with(b"POST") {
            let report = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
            return self.write(&mut stream, report).await;
        }
        self.pass(Point::Arrived, &stream).await?;
        let mut seen = read_head(&mut stream).await?;
        self.pass(Point::Head, &stream).await?;
        seen.body = read_body(&mut stream, &seen).await?;
        self.answer(stream, &seen).await
    }

    async fn answer(&self, mut stream: TcpStream, seen: &Seen) -> Result<(), Ended> {
        let id = seen.header("fireflyhoist-request").unwrap_or_default().to_owned();
        let instance = self.state.lock().instance.clone();
        let named = format!("fireflyhoist-request: {id}\r\n");
        let refuse = |line: &str| format!("HTTP/1.1 {line}\r\n{named}content-length: 0\r\n\r\n");
        if seen.header("fireflyhoist-instance") != Some(&instance) {
            return self.write(&mut stream, &refuse("421 Misdirected Request")).await;
        }
        let fault = self.ledger.take(Point::Body);
        match fault {
            Some(Fault::Misdirected) => {
                return self.write(&mut stream, &refuse("421 Misdirected Request")).await;
            }
            Some(Fault::Declined) => {
                let text = refuse("503 Service Unavailable\r\nfireflyhoist-declined: 1");
                return self.write(&mut stream, &text).await;
            }
            _ => {}
        }
        // What stands still here runs once the target is awake.
        if let Some(fault @ Fault::StandStill(_)) = fault {
            self.suffer(fault, &stream).await?;
        }
        let run = self.ledger.begin(self.listed.id.as_str(), seen);
        match fault {
            Some(fault @ Fault::Cut(_)) => {
                let own = self.clone();
                self.stand_still();
                tokio::task::spawn_local(async move {
                    own.awake().await;
                    drop(run);
                });
                return self.suffer(fault, &stream).await;
            }
            Some(Fault::Fails(status)) => {
                let text = format!("HTTP/1.1 {status} X\r\n{named}content-length: 3\r\n\r\nran");
                return self.write(&mut stream, &text).await;
            }
            Some(Fault::Junk) => return self.write(&mut stream, "\0no answer\r\n\r\n").await,
            Some(Fault::Crossed(line)) => {
                let first = "fireflyhoist-request: another\r\ncontent-length: 0\r\n\r\n";
                self.write(&mut stream, &format!("HTTP/1.1 {line}\r\n{first}")).await?;
            }
            Some(Fault::StandStill(_)) | None => {}
            Some(fault) => self.suffer(fault, &stream).await?,
        }
        let is_stream = seen.header("fireflyhoist-max-tokens").is_some();
        let (first, rest) = if is_stream { stream_parts(&named) } else { call_parts(&named) };
        self.write(&mut stream, &first).await?;
        self.pass(Point::Answer, &stream).await?;
        for part in rest {
            self.write(&mut stream, &part).await?;
        }
        let _ = stream.shutdown().await;
        Ok(())
    }

    async fn write(&self, stream: &mut TcpStream, text: &str) -> Result<(), Ended> {
        self.awake().await;
        stream.write_all(text.as_bytes()).await.map_err(|_| Ended)
    }

    /// Lets the fault happen that was set for this point.
    async fn pass(&self, point: Point, stream: &TcpStream) -> Result<(), Ended> {
        match self.ledger.take(point) {
            Some(fault) => self.suffer(fault, stream).await,
            None => {
                self.awake().await;
                Ok(())
            }
        }
    }

    async fn suffer(&self, fault: Fault, stream: &TcpStream) -> Result<(), Ended> {
        match fault {
            Fault::StandStill(_) => {
                self.stand_still();
                self.awake().await;
                return Ok(());
            }
            Fault::Restart(_) => self.restart(self.listed.instance.to_string()),
            Fault::Replace(_) => self.restart("another".to_owned()),
            Fault::Close(_) => return Err(Ended),
            _ => {}
        }
        stream.set_zero_linger().expect("a socket option");
        Err(Ended)
    }
}

/// Returns the parts of the answer to a call.
fn call_parts(named: &str) -> (String, Vec<String>) {
    (format!("HTTP/1.1 200 OK\r\n{named}content-length: 5\r\n\r\nw"), vec!["hole".to_owned()])
}

/// Returns the parts of a stream.
fn stream_parts(named: &str) -> (String, Vec<String>) {
    let head = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let steps = (2..=EVENTS).map(event).chain([stream_end()]);
    let first = format!("HTTP/1.1 200 OK\r\n{named}{head}{}", text(event(1)));
    (first, steps.map(text).collect())
}

fn text(step: Step) -> String {
    match step {
        Step::Write(text) => text,
        _ => String::new(),
    }
}

/// Returns the body of a whole answer.
pub(crate) fn whole(is_stream: bool) -> String {
    if is_stream { events(1, EVENTS) } else { "whole".to_owned() }
}

async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Reads a head, and nothing after it.
async fn read_head(stream: &mut TcpStream) -> Result<Seen, Ended> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.map_err(|_| Ended)?);
    }
    Ok(Seen { head: String::from_utf8_lossy(&bytes).into_owned(), body: String::new() })
}

/// Reads a body with a length.
async fn read_body(stream: &mut TcpStream, seen: &Seen) -> Result<String, Ended> {
    let length = seen.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.map_err(|_| Ended)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
