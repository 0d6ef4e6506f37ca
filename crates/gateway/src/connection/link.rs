//! Links between entries: WebSocket connections that carry frames.
//!
//! A link on which nothing arrives for [`SILENCE_TIMEOUT`] is closed.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::topology::Member;
use futures_util::future::{AbortHandle, Abortable};
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::{Request, Response};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config};

use crate::connection::frame::{Frame, MAX_FRAME_BYTES};
use crate::connection::limit::{Limit, Limits};
use crate::connection::monitor::{Monitor, MonitoredSocket};
use crate::connection::relay::{self, Incoming};
use crate::connection::traffic::Traffic;

/// A link on which no byte arrives for this long is closed: three times the interval of heartbeats
/// between an active and a leaf.
///
/// A middlebox may lose the state of a connection; its ends would then wait on it forever, although
/// new connections work. Received bytes count, not complete frames: a heartbeat may be queued
/// behind a large frame on a slow link, and closing the link then would lose the part of the frame
/// that has arrived. Each end decides only by what it receives, not by its own writes.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// How long opening a connection and the handshake on it may each take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(900);

/// The most that a connection may send until it has said which entry it is, or which target it wants.
const MAX_GREETING_BYTES: u64 = 16 << 10;

/// The most connections that have not said so. The oldest is closed for another one.
const MAX_GREETINGS: usize = 64;

/// The capacity of the send queue of a link, in frames. More are dropped, since heartbeats repeat
/// the state.
const SEND_QUEUE_FRAMES: usize = 64;

/// What happens on links.
#[derive(Debug)]
pub(crate) enum Event {
    /// A link was opened.
    Up(Member),
    /// The newest link to a host has ended.
    Down(id::Host, Loss),
    /// A frame was received.
    Frame(id::Host, Frame),
    /// Another entry requests a connection to a target.
    Relay(Box<Incoming>),
}

/// Why a link ended, and what had been received on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    pub(crate) reason: Reason,
    /// Time since the latest complete frame.
    pub(crate) frame_ago: Duration,
    /// Time since the latest byte.
    pub(crate) byte_ago: Duration,
    /// Bytes received since the latest complete frame.
    pub(crate) partial_bytes: u64,
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// Nothing was received for [`SILENCE_TIMEOUT`].
    Silent,
    /// This end closed the link, or has a newer one to the same host.
    Closed,
    /// The other end closed or reset the link, or sent an invalid frame.
    Ended,
}

impl Reason {
    /// Returns the name of the reason in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Closed => "closed",
            Self::Ended => "ended",
        }
    }
}

/// When the latest complete frame was received on a link.
struct LastFrame {
    received_at: Instant,
    /// All bytes received by then.
    received_bytes: u64,
}

impl LastFrame {
    fn now(monitor: &Monitor) -> Self {
        Self { received_at: Instant::now(), received_bytes: monitor.snapshot().received_bytes }
    }

    /// Describes the end of the link for this reason.
    fn loss(&self, reason: Reason, monitor: &Monitor) -> Loss {
        let snapshot = monitor.snapshot();
        Loss {
            reason,
            frame_ago: self.received_at.elapsed(),
            byte_ago: snapshot.last_received.elapsed(),
            partial_bytes: snapshot.received_bytes.saturating_sub(self.received_bytes),
        }
    }
}

/// All links of one entry.
#[derive(Debug)]
pub(crate) struct Links {
    own: Member,
    traffic: Traffic,
    events: mpsc::Sender<Event>,
    links: Mutex<HashMap<id::Host, Link>>,
    next_number: AtomicU64,
    limits: Limits,
    /// The accepted connections that have not said who they are, the oldest first.
    greetings: Mutex<VecDeque<(u64, AbortHandle)>>,
}

/// A connection that has not said who it is, until this is dropped.
#[derive(Debug)]
struct Greeting {
    links: Arc<Links>,
    number: u64,
}

impl Drop for Greeting {
    fn drop(&mut self) {
        self.links.greetings.lock().retain(|(number, _)| *number != self.number);
    }
}

#[derive(Clone, Debug)]
struct Link {
    number: u64,
    member: Member,
    frames: mpsc::Sender<Arc<Vec<u8>>>,
}

impl Links {
    /// Creates an empty set of links that sends its events to `events`.
    pub(crate) fn new(
        own: Member,
        traffic: Traffic,
        limits: Limits,
        events: mpsc::Sender<Event>,
    ) -> Arc<Self> {
        Arc::new(Self {
            own,
            traffic,
            events,
            links: Mutex::default(),
            next_number: AtomicU64::new(0),
            limits,
            greetings: Mutex::default(),
        })
    }

    /// Returns whether there is a link to the entry at an address.
    pub(crate) fn has_link_to(&self, address: SocketAddr) -> bool {
        self.links.lock().values().any(|link| link.member.peers == address)
    }

    /// Sends a frame to a host if there is a link to it.
    pub(crate) fn send(&self, to: &id::Host, frame: &Frame) {
        let link = self.links.lock().get(to).cloned();
        if let Some(link) = link {
            self.enqueue(&link, frame.kind(), Arc::new(frame.encode()));
        }
    }

    /// Sends an encoded frame to a host if there is a link to it.
    pub(crate) fn send_encoded(&self, to: &id::Host, kind: &'static str, bytes: Arc<Vec<u8>>) {
        let link = self.links.lock().get(to).cloned();
        if let Some(link) = link {
            self.enqueue(&link, kind, bytes);
        }
    }

    /// Sends a frame to those of several hosts that there are links to.
    pub(crate) fn send_all<'a>(&self, to: impl Iterator<Item = &'a id::Host>, frame: &Frame) {
        let bytes = Arc::new(frame.encode());
        let links = self.links.lock();
        for link in to.filter_map(|host| links.get(host)) {
            self.enqueue(link, frame.kind(), Arc::clone(&bytes));
        }
    }

    /// Queues a frame for sending, or drops it if the queue is full.
    fn enqueue(&self, link: &Link, kind: &'static str, bytes: Arc<Vec<u8>>) {
        let count = bytes.len();
        match link.frames.try_send(bytes) {
            Ok(()) => self.traffic.sent(kind, count),
            // A link with a full queue is usually closed soon, so this logs few lines.
            Err(error) => {
                self.traffic.dropped(kind);
                log::warn!(peer:% = link.member.host, frame = kind, error:% = error; "frame dropped");
            }
        }
    }

    /// Closes the link to a host.
    pub(crate) fn close(&self, host: &id::Host) {
        self.links.lock().remove(host);
    }

    /// Opens a link to the entry at an address, and runs it until it ends.
    pub(crate) async fn dial(self: Arc<Self>, address: SocketAddr) {
        let connected = timeout(HANDSHAKE_TIMEOUT, connect(address)).await;
        if let Ok(Some((socket, monitor))) = connected {
            self.run(socket, monitor, None).await;
        }
    }

    /// Records an accepted connection, for which the oldest that has not said who it is may be closed.
    fn greet(self: &Arc<Self>, handle: AbortHandle) -> Greeting {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let mut greetings = self.greetings.lock();
        greetings.push_back((number, handle));
        let oldest = if greetings.len() > MAX_GREETINGS { greetings.pop_front() } else { None };
        drop(greetings);
        if let Some((_, oldest)) = oldest {
            self.limits.reached(Limit::Greetings);
            oldest.abort();
        }
        Greeting { links: Arc::clone(self), number }
    }

    /// Accepts links until the process ends.
    pub(crate) async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Most likely the process is out of file descriptors; other connections will close.
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            let links = Arc::clone(&self);
            let (handle, registration) = AbortHandle::new_pair();
            let greeting = self.greet(handle);
            let served = async move {
                let _ = stream.set_nodelay(true);
                let (stream, monitor) = MonitoredSocket::new(stream);
                monitor.limit(MAX_GREETING_BYTES);
                let Ok(Some((socket, path))) = timeout(HANDSHAKE_TIMEOUT, accept(stream)).await
                else {
                    return;
                };
                if path == relay::PATH {
                    links.accept_relay(socket, monitor, greeting).await;
                } else {
                    links.run(socket, monitor, Some(greeting)).await;
                }
            };
            ntex::rt::spawn(async move {
                // It is aborted for another connection.
                let _ = Abortable::new(served, registration).await;
            })
            .detach();
        }
    }

    async fn accept_relay(
        &self,
        socket: WebSocketStream<MonitoredSocket<TcpStream>>,
        monitor: Monitor,
        greeting: Greeting,
    ) {
        if let Some(incoming) = Incoming::read(socket).await {
            monitor.lift_limit();
            drop(greeting);
            let _ = self.events.send(Event::Relay(Box::new(incoming))).await;
        }
    }

    /// Performs the handshake, then receives and sends frames until the link ends.
    async fn run<S, E>(self: Arc<Self>, socket: S, monitor: Monitor, greeting: Option<Greeting>)
    where
        S: Stream<Item = Result<Message, E>> + Sink<Message> + Unpin,
    {
        let (mut sink, mut source) = socket.split();
        let Some(member) = self.handshake(&mut sink, &mut source).await else { return };
        monitor.lift_limit();
        drop(greeting);
        let host = member.host.clone();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (frames, outgoing) = mpsc::channel(SEND_QUEUE_FRAMES);
        let link = Link { number, member: member.clone(), frames };
        self.links.lock().insert(host.clone(), link);
        let _ = self.events.send(Event::Up(member)).await;
        let mut last_frame = LastFrame::now(&monitor);
        // Receiving continues while a frame is sent, and is polled first: bytes that wait to be
        // read must not count as silence. Sending has no timeout: an operating system accepts bytes
        // in large chunks, on a slow link seconds apart, and the other end closes a silent link.
        let reason = tokio::select! {
            biased;
            reason = self.receive_frames(&host, &mut source, &monitor, &mut last_frame) => reason,
            reason = send_frames(&mut sink, outgoing) => reason,
            () = monitor.wait_idle(SILENCE_TIMEOUT) => Reason::Silent,
        };
        self.remove(&host, number, last_frame.loss(reason, &monitor)).await;
    }

    /// Exchanges [`Frame::Hello`], and returns the entry at the other end; `None` if that is this
    /// entry itself, or if no valid frame arrives in time.
    async fn handshake<S, R, E>(&self, sink: &mut S, source: &mut R) -> Option<Member>
    where
        S: Sink<Message> + Unpin,
        R: Stream<Item = Result<Message, E>> + Unpin,
    {
        let hello = Arc::new(Frame::Hello(self.own.clone()).encode());
        let handshake = async {
            write(sink, &hello).await.ok()?;
            read(source, &self.traffic).await
        };
        match timeout(HANDSHAKE_TIMEOUT, handshake).await {
            Ok(Some(Frame::Hello(member))) if member.host != self.own.host => Some(member),
            _ => None,
        }
    }

    /// Reads frames and passes them on until the link ends.
    async fn receive_frames<R, E>(
        &self,
        host: &id::Host,
        source: &mut R,
        monitor: &Monitor,
        last_frame: &mut LastFrame,
    ) -> Reason
    where
        R: Stream<Item = Result<Message, E>> + Unpin,
    {
        while let Some(frame) = read(source, &self.traffic).await {
            *last_frame = LastFrame::now(monitor);
            let _ = self.events.send(Event::Frame(host.clone(), frame)).await;
        }
        Reason::Ended
    }

    /// Removes an ended link, and reports its end unless there is a newer link to the host.
    async fn remove(&self, host: &id::Host, number: u64, loss: Loss) {
        self.traffic.lost(loss.reason.name());
        let gone = {
            let mut links = self.links.lock();
            if links.get(host).is_some_and(|link| link.number == number) {
                links.remove(host);
            }
            !links.contains_key(host)
        };
        if gone {
            let _ = self.events.send(Event::Down(host.clone(), loss)).await;
        }
    }
}

pub(crate) fn websocket_config() -> WebSocketConfig {
    // The default limit is 64 MB, which a faulty peer could make this end hold in memory.
    WebSocketConfig::default()
        .read_buffer_size(8 << 10)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Accepts a WebSocket, and returns it with the path that was requested.
async fn accept<S>(stream: S) -> Option<(WebSocketStream<S>, String)>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut path = String::new();
    #[expect(clippy::result_large_err, reason = "the library's callback returns it")]
    let read_path = |request: &Request, response: Response| {
        request.uri().path().clone_into(&mut path);
        Ok(response)
    };
    let socket = accept_hdr_async_with_config(stream, read_path, Some(websocket_config())).await;
    socket.ok().map(|socket| (socket, path))
}

async fn connect(
    address: SocketAddr,
) -> Option<(
    impl Stream<Item = Result<Message, tokio_tungstenite::tungstenite::Error>> + Sink<Message> + Unpin,
    Monitor,
)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (stream, monitor) = MonitoredSocket::new(stream);
    let url = format!("ws://{address}/peer");
    let connected =
        tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config())).await;
    connected.ok().map(|(socket, _)| (socket, monitor))
}

async fn read<S, E>(source: &mut S, traffic: &Traffic) -> Option<Frame>
where
    S: Stream<Item = Result<Message, E>> + Unpin,
{
    loop {
        match source.next().await? {
            Ok(Message::Binary(bytes)) => match Frame::decode(&bytes) {
                Ok(frame) => {
                    traffic.received(frame.kind(), bytes.len());
                    return Some(frame);
                }
                Err(error) => {
                    log::warn!(error:% = error; "link closed");
                    return None;
                }
            },
            Ok(Message::Close(_)) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

/// Sends queued frames until the queue is closed or a write fails.
async fn send_frames<S>(sink: &mut S, mut frames: mpsc::Receiver<Arc<Vec<u8>>>) -> Reason
where
    S: Sink<Message> + Unpin,
{
    while let Some(bytes) = frames.recv().await {
        if write(sink, &bytes).await.is_err() {
            return Reason::Ended;
        }
    }
    Reason::Closed
}

async fn write<S>(sink: &mut S, bytes: &Arc<Vec<u8>>) -> Result<(), S::Error>
where
    S: Sink<Message> + Unpin,
{
    sink.send(Message::binary(bytes.as_ref().clone())).await
}
