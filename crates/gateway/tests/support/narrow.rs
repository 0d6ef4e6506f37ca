//! A loopback link of small bandwidth.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

/// How often a part of what a connection may carry passes.
const TICK: Duration = Duration::from_millis(20);

/// Bytes that wait in the proxy's own sockets at most, so that a heartbeat waits behind what its
/// sender has written and not behind the proxy.
const WINDOW: u32 = 8 << 10;

/// Bytes in a packet where packets are small, as on an Ethernet.
const SMALL: u32 = 1_400;

/// A link to one address, whose connections each carry so many bytes a second towards whoever
/// opened them.
#[derive(Debug)]
pub(crate) struct Narrow {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Bytes a second; 0 where nothing bounds it.
    rate: AtomicU64,
    held: AtomicBool,
    small: AtomicBool,
    opened: AtomicUsize,
}

impl Narrow {
    /// Listens on a free port and leads nowhere yet.
    pub(crate) fn open() -> (Self, Listening) {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(WINDOW).expect("a small window");
        socket.set_send_buffer_size(WINDOW).expect("a small window");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let listener = socket.listen(64).expect("it listens");
        let address = listener.local_addr().expect("bound");
        let shared = Arc::<Shared>::default();
        (Self { address, shared: Arc::clone(&shared) }, Listening { listener, shared })
    }

    /// Listens on a free port and leads to `to`.
    pub(crate) fn to(to: SocketAddr) -> Self {
        let (narrow, listening) = Self::open();
        listening.lead(to);
        narrow
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bounds every connection to so many bytes a second from now on.
    pub(crate) fn squeeze(&self, rate: u64) {
        self.shared.rate.store(rate, Ordering::Relaxed);
    }

    /// Holds all bytes from now on.
    pub(crate) fn hold(&self) {
        self.shared.held.store(true, Ordering::Relaxed);
    }

    /// Carries small packets on connections from now on. A system takes in as many bytes for sending
    /// as some packets hold, which on loopback is two megabytes and more; then no write ever waits.
    pub(crate) fn small_packets(&self) {
        self.shared.small.store(true, Ordering::Relaxed);
    }

    /// Connections so far.
    pub(crate) fn opened(&self) -> usize {
        self.shared.opened.load(Ordering::Relaxed)
    }
}

/// A link that does not yet know where it leads.
pub(crate) struct Listening {
    listener: TcpListener,
    shared: Arc<Shared>,
}

impl Listening {
    /// Begins to carry connections.
    pub(crate) fn lead(self, to: SocketAddr) {
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = self.listener.accept().await {
                self.shared.opened.fetch_add(1, Ordering::Relaxed);
                tokio::task::spawn_local(carry(Arc::clone(&self.shared), near, to));
            }
        });
    }
}

async fn carry(shared: Arc<Shared>, near: TcpStream, to: SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(WINDOW).expect("a small window");
    if shared.small.load(Ordering::Relaxed) {
        SockRef::from(&socket).set_tcp_mss(SMALL).expect("small packets");
    }
    let Ok(far) = socket.connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let free = Shared::default();
    tokio::select! {
        () = pass(&free, near_read, far_write) => {}
        () = pass(&shared, far_read, near_write) => {}
    }
}

/// Passes bytes on until either end closes.
async fn pass(shared: &Shared, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    loop {
        let rate = shared.rate.load(Ordering::Relaxed);
        let part = match rate {
            0 => 16 << 10,
            rate => usize::try_from(rate).unwrap_or(usize::MAX) / 50,
        };
        let mut bytes = vec![0; part.max(1)];
        let Ok(count) = from.read(&mut bytes).await else { return };
        if count == 0 {
            // What is still on its way back is read by the other direction.
            let _ = to.shutdown().await;
            return sleep(Duration::from_secs(5)).await;
        }
        while shared.held.load(Ordering::Relaxed) {
            sleep(TICK).await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
        if rate > 0 {
            sleep(TICK).await;
        }
    }
}
