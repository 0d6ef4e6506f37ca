//! Links between entries: opened to all that are known, replaced when they fall silent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::topology::Member;
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::connection::frame::{Frame, MAX_FRAME_BYTES};
use crate::connection::monitor::{Monitor, MonitoredSocket};
use crate::connection::traffic::Traffic;

/// A link on which no byte came for this long is closed: three heartbeats.
///
/// The failure: something between two ends lost track of their connection, and whoever waits on it
/// waits for good, while new connections work. Bytes count and not whole frames: a heartbeat that
/// waits behind a large frame on a narrow link is no silence, and a link that is closed for it
/// loses what had arrived and begins anew. Both ends judge by what comes, and by nothing else.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// How long connecting and greeting may take together.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(900);

/// Frames that wait for one link; more are dropped, since heartbeats repeat what they say.
const SEND_QUEUE_FRAMES: usize = 64;

/// What the links tell the process.
#[derive(Debug)]
pub(crate) enum Event {
    /// A link is open.
    Up(Member),
    /// The newest link to a host is gone.
    Down(id::Host, Loss),
    /// A frame came.
    Frame(id::Host, Frame),
}

/// Why a link ended, and what had come on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    pub(crate) reason: Reason,
    /// Since the latest whole frame.
    pub(crate) frame_ago: Duration,
    /// Since the latest byte.
    pub(crate) byte_ago: Duration,
    /// Bytes that came since the latest whole frame.
    pub(crate) partial_bytes: u64,
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// Nothing came for [`SILENCE_TIMEOUT`].
    Silent,
    /// This end closed it, or has a newer one.
    Closed,
    /// The other end closed or reset it, or sent what is no frame.
    Ended,
}

impl Reason {
    /// The reason as metrics and log lines call it.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Closed => "closed",
            Self::Ended => "ended",
        }
    }
}

/// When the latest whole frame came on a link.
struct LastFrame {
    received_at: Instant,
    /// Bytes that had come by then.
    received_bytes: u64,
}

impl LastFrame {
    fn now(monitor: &Monitor) -> Self {
        Self { received_at: Instant::now(), received_bytes: monitor.snapshot().received_bytes }
    }

    /// What is to be said of a link that ends for this reason.
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
}

#[derive(Clone, Debug)]
struct Link {
    number: u64,
    member: Member,
    frames: mpsc::Sender<Arc<Vec<u8>>>,
}

impl Links {
    /// Opens a set without links; events arrive at the receiver of `events`.
    pub(crate) fn new(own: Member, traffic: Traffic, events: mpsc::Sender<Event>) -> Arc<Self> {
        Arc::new(Self {
            own,
            traffic,
            events,
            links: Mutex::default(),
            next_number: AtomicU64::new(0),
        })
    }

    /// Whether some link leads to an address.
    pub(crate) fn has_link_to(&self, address: SocketAddr) -> bool {
        self.links.lock().values().any(|link| link.member.peers == address)
    }

    /// Sends a frame to one host, if it has a link.
    pub(crate) fn send(&self, to: &id::Host, frame: &Frame) {
        let link = self.links.lock().get(to).cloned();
        if let Some(link) = link {
            self.enqueue(&link, frame.kind(), Arc::new(frame.encode()));
        }
    }

    /// Sends a frame that was encoded before to one host, if it has a link.
    pub(crate) fn send_encoded(&self, to: &id::Host, kind: &'static str, bytes: Arc<Vec<u8>>) {
        let link = self.links.lock().get(to).cloned();
        if let Some(link) = link {
            self.enqueue(&link, kind, bytes);
        }
    }

    /// Sends a frame to several hosts.
    pub(crate) fn send_all<'a>(&self, to: impl Iterator<Item = &'a id::Host>, frame: &Frame) {
        let bytes = Arc::new(frame.encode());
        let links = self.links.lock();
        for link in to.filter_map(|host| links.get(host)) {
            self.enqueue(link, frame.kind(), Arc::clone(&bytes));
        }
    }

    /// Queues a frame; one that finds the queue full is dropped.
    fn enqueue(&self, link: &Link, kind: &'static str, bytes: Arc<Vec<u8>>) {
        let count = bytes.len();
        match link.frames.try_send(bytes) {
            Ok(()) => self.traffic.sent(kind, count),
            // Such a link is about to be given up, so that few lines are written.
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

    /// Links to the entry at an address, until the link ends.
    pub(crate) async fn dial(self: Arc<Self>, address: SocketAddr) {
        let connected = timeout(HANDSHAKE_TIMEOUT, connect(address)).await;
        if let Ok(Some((socket, monitor))) = connected {
            self.run(socket, monitor).await;
        }
    }

    /// Takes in links for as long as the process lives.
    pub(crate) async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, most likely: the closing of others frees some.
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            let links = Arc::clone(&self);
            ntex::rt::spawn(async move {
                let _ = stream.set_nodelay(true);
                let (stream, monitor) = MonitoredSocket::new(stream);
                let accept =
                    tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config()));
                if let Ok(Ok(socket)) = timeout(HANDSHAKE_TIMEOUT, accept).await {
                    links.run(socket, monitor).await;
                }
            })
            .detach();
        }
    }

    /// Greets, then reads and writes one link until either end gives it up.
    async fn run<S, E>(self: Arc<Self>, socket: S, monitor: Monitor)
    where
        S: Stream<Item = Result<Message, E>> + Sink<Message> + Unpin,
    {
        let (mut sink, mut source) = socket.split();
        let Some(member) = self.handshake(&mut sink, &mut source).await else { return };
        let host = member.host.clone();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (frames, outgoing) = mpsc::channel(SEND_QUEUE_FRAMES);
        let link = Link { number, member: member.clone(), frames };
        self.links.lock().insert(host.clone(), link);
        let _ = self.events.send(Event::Up(member)).await;
        let mut last_frame = LastFrame::now(&monitor);
        // Reading goes on while a frame is written, and comes first: what waits to be read is no
        // silence. Writing has no limit of its own: a system takes bytes in lumps, some of them after
        // seconds on a narrow link, and an end that gets none closes the link as silent.
        let reason = tokio::select! {
            biased;
            reason = self.receive_frames(&host, &mut source, &monitor, &mut last_frame) => reason,
            reason = send_frames(&mut sink, outgoing) => reason,
            () = monitor.wait_idle(SILENCE_TIMEOUT) => Reason::Silent,
        };
        self.remove(&host, number, last_frame.loss(reason, &monitor)).await;
    }

    /// Says who this end is, and returns who the other one is; `None` where it is this entry itself,
    /// or does not say.
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

    /// Hands on frames until none can be read any more.
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

fn websocket_config() -> WebSocketConfig {
    // A faulty peer could otherwise make this end hold 64 MB for one message.
    WebSocketConfig::default()
        .read_buffer_size(8 << 10)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
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

/// Writes the frames that are queued until no more can be.
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
