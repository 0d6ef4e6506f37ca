//! Links between daemons: opened when something is to be said, replaced when they fall silent.

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

/// Frames that wait for one link; more are dropped, since heartbeats repeat what they say.
const MAX_QUEUED_FRAMES: usize = 64;

/// A link on which nothing came for this long is pinged: more than a heartbeat.
const PING_AFTER: Duration = Duration::from_millis(2_500);

/// A link on which even the ping is not answered by then is given up.
const DEAD_AFTER: Duration = Duration::from_secs(5);

/// A link that carried no frame either way for this long is closed; probes and partings leave some.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long one frame may take to be written before the link counts as stuck.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections of which the key is not proved yet; further ones wait in the listener's queue.
const MAX_HANDSHAKES: usize = 32;

/// What the links tell the process.
#[derive(Debug)]
pub(crate) enum Event {
    /// A frame from a host that proved the key; `era` tells frames from before a reset.
    Frame { era: u64, from: id::Host, frame: Frame },
    /// A host that answered at an address of the settings.
    Discovered(id::Host, SocketAddr),
    /// A host cannot be reached.
    Unreachable(id::Host),
}

/// All links of one daemon.
#[derive(Debug)]
pub(crate) struct Links {
    credentials: Credentials,
    events: mpsc::Sender<Event>,
    open: Mutex<HashMap<id::Host, Link>>,
    next: AtomicU64,
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
            next: AtomicU64::new(0),
            era: AtomicU64::new(0),
        })
    }

    /// The era that frames must carry to count.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Acquire)
    }

    /// Sends a frame over the newest link to a host, opening one where there is none.
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

    /// Closes every link and disowns what they have read.
    pub(crate) fn reset(&self) {
        self.era.fetch_add(1, Ordering::AcqRel);
        self.open.lock().clear();
    }

    /// Looks who answers at an address of the settings, and keeps the link.
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

    /// Takes in links until it is told to stop, which it confirms once the address is free again.
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
                    // Nobody waits any more where the daemon was dropped meanwhile.
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
                // Out of descriptors, most likely: the closing of others frees some.
                ntex::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            let links = Arc::clone(self);
            ntex::rt::spawn(async move {
                let proved = handshake::accept(&links.credentials, stream).await;
                drop(permit);
                links.admit(proved, from).await;
            })
            .detach();
        }
    }

    async fn admit(
        self: Arc<Self>,
        proved: Result<(Socket, id::Host), LinkError>,
        from: SocketAddr,
    ) {
        match proved {
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
        (Link { number: self.next.fetch_add(1, Ordering::Relaxed), frames }, receiver)
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

    /// Reads and writes one link until either end gives it up.
    async fn run_link(
        self: Arc<Self>,
        socket: Socket,
        host: id::Host,
        number: u64,
        mut frames: mpsc::Receiver<Vec<u8>>,
    ) {
        let era = self.era();
        let (mut sink, mut source) = socket.split();
        let (mut read, mut used, mut pinged) = (Instant::now(), Instant::now(), false);
        // Still wanted for reading after `frames` closed: the other end may know no newer link.
        let mut writable = true;
        while self.era() == era {
            let deadline = read + if pinged { DEAD_AFTER } else { PING_AFTER };
            tokio::select! {
                frame = frames.recv(), if writable => match frame {
                    Some(bytes) => {
                        used = Instant::now();
                        if !send_message(&mut sink, Message::binary(bytes)).await {
                            break;
                        }
                    }
                    None if self.has_link(&host) => writable = false,
                    None => break,
                },
                message = source.next() => match message {
                    Some(Ok(Message::Binary(bytes))) => {
                        (read, pinged, used) = (Instant::now(), false, Instant::now());
                        if !self.forward(era, &host, &bytes).await {
                            break;
                        }
                    }
                    Some(Ok(Message::Close(_)) | Err(_)) | None => break,
                    Some(Ok(_)) => (read, pinged) = (Instant::now(), false),
                },
                () = tokio::time::sleep_until(deadline) => {
                    // The failure: something between the ends lost track of the connection, and
                    // whoever waits on it waits for good, while new connections work. No answer to
                    // a ping within the deadline closes it, and the next frame opens a new one.
                    if pinged || used.elapsed() >= IDLE_TIMEOUT {
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

    /// Whether a link to this host is known at all.
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

/// Takes a socket that the process has bound already.
pub(crate) fn listener(bound: std::net::TcpListener) -> std::io::Result<TcpListener> {
    bound.set_nonblocking(true)?;
    TcpListener::from_std(bound)
}
