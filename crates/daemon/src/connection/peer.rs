//! Links between daemons: opened when there is a frame to send, replaced when they go silent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_wire::peer::{self, Frame};
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::Message;

use crate::connection::handshake::{self, Credentials, LinkError, Socket};

/// The maximum number of frames queued for one link; more are dropped, because later heartbeats
/// repeat their content.
const MAX_QUEUED_FRAMES: usize = 64;

/// A link that received nothing for this long is pinged; longer than a heartbeat interval.
const PING_AFTER: Duration = Duration::from_millis(2_500);

/// A link that received nothing for this long, not even the answer to the ping, is closed.
const DEAD_AFTER: Duration = Duration::from_secs(5);

/// A link that carried no frame in either direction for this long is closed; probes and leaving
/// members leave such links behind.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The timeout of writing one frame; then the link counts as stuck and is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of concurrent inbound handshakes; further connections wait in the listener's
/// queue.
const MAX_HANDSHAKES: usize = 32;

/// An event that the links report to the process.
#[derive(Debug)]
pub(crate) enum Event {
    /// A frame from an authenticated host; `era` identifies frames read before a reset.
    Frame { era: u64, from: id::Host, frame: Frame },
    /// A host that answered at a configured address.
    Discovered(id::Host, SocketAddr),
    /// A host that cannot be reached.
    Unreachable(id::Host),
}

/// All links of one daemon.
#[derive(Debug)]
pub(crate) struct Links {
    credentials: Credentials,
    events: mpsc::Sender<Event>,
    open: Mutex<HashMap<id::Host, Link>>,
    next_number: AtomicU64,
    era: AtomicU64,
}

#[derive(Debug)]
struct Link {
    number: u64,
    frames: mpsc::Sender<Vec<u8>>,
}

impl Links {
    pub(crate) fn open(credentials: Credentials, events: mpsc::Sender<Event>) -> Arc<Self> {
        Arc::new(Self {
            credentials,
            events,
            open: Mutex::default(),
            next_number: AtomicU64::new(0),
            era: AtomicU64::new(0),
        })
    }

    /// Returns the current era; frames of earlier eras must be ignored.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Acquire)
    }

    /// Queues a frame on the newest link to a host, opening one if there is none.
    pub(crate) fn send(self: &Arc<Self>, to: &id::Host, address: SocketAddr, frame: &Frame) {
        let bytes = peer::encode(frame);
        let mut open = self.open.lock();
        let bytes = match open.get(to).map(|link| link.frames.try_send(bytes)) {
            Some(Err(mpsc::error::TrySendError::Closed(bytes))) => bytes,
            Some(_) => return,
            None => peer::encode(frame),
        };
        let (link, frames) = self.new_link();
        let _ = link.frames.try_send(bytes);
        let number = link.number;
        open.insert(to.clone(), link);
        drop(open);
        let (links, to) = (Arc::clone(self), to.clone());
        ntex::rt::spawn(async move { links.dial(to, address, number, frames).await }).detach();
    }

    /// Closes the link to a host; the next frame opens a new one.
    pub(crate) fn close(&self, host: &id::Host) {
        if self.open.lock().remove(host).is_some() {
            log::info!(peer:% = host; "link replaced");
        }
    }

    /// Closes every link and starts a new era, so that frames read before are ignored.
    pub(crate) fn reset(&self) {
        self.era.fetch_add(1, Ordering::AcqRel);
        self.open.lock().clear();
    }

    /// Dials a configured address, reports the host that answers and keeps the link.
    pub(crate) async fn discover(self: &Arc<Self>, address: SocketAddr) {
        let Ok((socket, host)) = handshake::dial(&self.credentials, address, None).await else {
            return;
        };
        let (link, frames) = self.new_link();
        let number = link.number;
        self.open.lock().insert(host.clone(), link);
        let _ = self.events.send(Event::Discovered(host.clone(), address)).await;
        let links = Arc::clone(self);
        ntex::rt::spawn(async move { links.run_link(socket, host, number, frames).await }).detach();
    }

    /// Accepts links until `stop` resolves, then frees the address and confirms.
    pub(crate) async fn listen(
        self: Arc<Self>,
        listener: TcpListener,
        stop: oneshot::Receiver<oneshot::Sender<()>>,
    ) {
        tokio::select! {
            () = self.accept(&listener) => {}
            confirm = stop => {
                drop(listener);
                if let Ok(confirm) = confirm {
                    // The receiver is gone if the daemon was dropped meanwhile.
                    let _ = confirm.send(());
                }
            }
        }
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            let Ok((stream, from)) = listener.accept().await else {
                // Most likely out of file descriptors; closing connections frees some.
                ntex::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            let links = Arc::clone(self);
            ntex::rt::spawn(async move {
                let result = handshake::accept(&links.credentials, stream).await;
                drop(permit);
                links.admit(result, from).await;
            })
            .detach();
        }
    }

    async fn admit(
        self: Arc<Self>,
        result: Result<(Socket, id::Host), LinkError>,
        from: SocketAddr,
    ) {
        match result {
            Ok((socket, host)) => {
                let (link, frames) = self.new_link();
                let number = link.number;
                self.open.lock().insert(host.clone(), link);
                self.run_link(socket, host, number, frames).await;
            }
            Err(error) => log::warn!(from:% = from, error:% = error; "stranger refused"),
        }
    }

    fn new_link(&self) -> (Link, mpsc::Receiver<Vec<u8>>) {
        let (frames, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        (Link { number: self.next_number.fetch_add(1, Ordering::Relaxed), frames }, receiver)
    }

    async fn dial(
        self: Arc<Self>,
        to: id::Host,
        address: SocketAddr,
        number: u64,
        frames: mpsc::Receiver<Vec<u8>>,
    ) {
        log::info!(peer:% = to, address:% = address; "opening a link");
        match handshake::dial(&self.credentials, address, Some(&to)).await {
            Ok((socket, host)) => self.run_link(socket, host, number, frames).await,
            Err(error) => {
                log::debug!(peer:% = to, error:% = error; "no link");
                self.remove(&to, number);
                let _ = self.events.send(Event::Unreachable(to)).await;
            }
        }
    }

    fn remove(&self, host: &id::Host, number: u64) {
        let mut open = self.open.lock();
        if open.get(host).is_some_and(|link| link.number == number) {
            open.remove(host);
        }
    }

    /// Reads and writes one link until either end closes it or it times out.
    async fn run_link(
        self: Arc<Self>,
        socket: Socket,
        host: id::Host,
        number: u64,
        mut frames: mpsc::Receiver<Vec<u8>>,
    ) {
        let era = self.era();
        let (mut sink, mut source) = socket.split();
        let (mut last_read, mut last_used, mut pinged) = (Instant::now(), Instant::now(), false);
        // After `frames` closed the link is still read: the other end may not know a newer link.
        let mut writable = true;
        while self.era() == era {
            let deadline = last_read + if pinged { DEAD_AFTER } else { PING_AFTER };
            tokio::select! {
                frame = frames.recv(), if writable => match frame {
                    Some(bytes) => {
                        last_used = Instant::now();
                        if !send_message(&mut sink, Message::binary(bytes)).await {
                            break;
                        }
                    }
                    None if self.has_link(&host) => writable = false,
                    None => break,
                },
                message = source.next() => match message {
                    Some(Ok(Message::Binary(bytes))) => {
                        (last_read, pinged, last_used) = (Instant::now(), false, Instant::now());
                        if !self.forward(era, &host, &bytes).await {
                            break;
                        }
                    }
                    Some(Ok(Message::Close(_)) | Err(_)) | None => break,
                    Some(Ok(_)) => (last_read, pinged) = (Instant::now(), false),
                },
                () = tokio::time::sleep_until(deadline) => {
                    // A middlebox may drop the state of the connection, so that nothing arrives on
                    // it any more although new connections work. A link without an answer to the
                    // ping is closed, and the next frame opens a new one.
                    if pinged || last_used.elapsed() >= IDLE_TIMEOUT {
                        break;
                    }
                    pinged = true;
                    if !send_message(&mut sink, Message::Ping(Default::default())).await {
                        break;
                    }
                }
            }
        }
        self.remove(&host, number);
        let _ = timeout(WRITE_TIMEOUT, sink.close()).await;
    }

    /// Returns whether there is a link to this host.
    fn has_link(&self, host: &id::Host) -> bool {
        self.open.lock().contains_key(host)
    }

    async fn forward(&self, era: u64, from: &id::Host, bytes: &[u8]) -> bool {
        match peer::decode(bytes) {
            Ok(frame) => {
                let event = Event::Frame { era, from: from.clone(), frame };
                self.events.send(event).await.is_ok()
            }
            Err(error) => {
                log::warn!(peer:% = from, error:% = error; "frame refused");
                false
            }
        }
    }
}

async fn send_message<S>(sink: &mut S, message: Message) -> bool
where
    S: futures_util::Sink<Message> + Unpin,
{
    matches!(timeout(WRITE_TIMEOUT, sink.send(message)).await, Ok(Ok(())))
}

/// Converts a bound socket into an asynchronous listener.
pub(crate) fn listener(bound: std::net::TcpListener) -> std::io::Result<TcpListener> {
    bound.set_nonblocking(true)?;
    TcpListener::from_std(bound)
}
