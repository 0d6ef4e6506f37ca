//! The forwarder of one host: an HTTP proxy through which its entry opens connections to targets, and
//! which can stop to open them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

/// What happens to new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// They are opened.
    Open,
    /// They are opened after this time.
    Late(Duration),
    /// They are accepted, and nothing comes back.
    Hang,
    /// They are closed at once.
    Refuse,
}

/// A forwarder on loopback.
#[derive(Clone, Debug)]
pub(crate) struct Forwarder {
    pub(crate) address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    /// The addresses to which connections are accepted, and nothing comes back.
    hanging: Arc<Mutex<Vec<SocketAddr>>>,
    resets: Arc<Notify>,
    closing: Arc<Notify>,
    opened: Arc<AtomicUsize>,
}

impl Forwarder {
    /// Listens on a free port.
    pub(crate) async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let own = Self {
            address: listener.local_addr().expect("bound"),
            mode: Arc::new(Mutex::new(Mode::Open)),
            hanging: Arc::default(),
            resets: Arc::default(),
            closing: Arc::default(),
            opened: Arc::default(),
        };
        let served = own.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(served.clone().serve(stream));
            }
        });
        own
    }

    /// Sets what happens to new connections; those that are open live on.
    pub(crate) fn set_mode(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }

    /// Sets the addresses to which new connections hang in any mode.
    pub(crate) fn set_hanging(&self, addresses: Vec<SocketAddr>) {
        *self.hanging.lock() = addresses;
    }

    /// Returns how many connections were opened so far.
    pub(crate) fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// Resets the connections that are open.
    pub(crate) fn reset(&self) {
        self.resets.notify_waiters();
    }

    /// Closes the connections that are open in order.
    pub(crate) fn close(&self) {
        self.closing.notify_waiters();
    }

    async fn serve(self, mut near: TcpStream) {
        let (reset, closing) = (self.resets.notified(), self.closing.notified());
        let mode = *self.mode.lock();
        let _ = near.set_zero_linger();
        match mode {
            Mode::Refuse => return,
            Mode::Hang => {
                // Ends once the entry gives up.
                let _ = near.read_to_end(&mut Vec::new()).await;
                return;
            }
            Mode::Late(delay) => sleep(delay).await,
            Mode::Open => {}
        }
        let Some(to) = read_destination(&mut near).await else { return };
        if self.hanging.lock().contains(&to) {
            let _ = near.read_to_end(&mut Vec::new()).await;
            return;
        }
        let Some(mut far) = connect(&mut near, to).await else { return };
        self.opened.fetch_add(1, Ordering::Relaxed);
        tokio::select! {
            _ = copy_bidirectional(&mut near, &mut far) => {}
            () = reset => {}
            () = closing => {
                let _ = near.shutdown().await;
                // The reset on dropping it must not overtake what was sent.
                sleep(Duration::from_millis(500)).await;
            }
        }
    }
}

/// Reads the request for a tunnel.
async fn read_destination(near: &mut TcpStream) -> Option<SocketAddr> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(near.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    head.strip_prefix("CONNECT ")?.split(' ').next()?.parse().ok()
}

/// Opens a tunnel.
async fn connect(near: &mut TcpStream, to: SocketAddr) -> Option<TcpStream> {
    let opened = TcpStream::connect(to).await;
    let reply = if opened.is_ok() { "200 OK" } else { "502 Bad Gateway" };
    near.write_all(format!("HTTP/1.1 {reply}\r\n\r\n").as_bytes()).await.ok()?;
    opened.ok()
}
