//! A TCP proxy on loopback with limited bandwidth.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

/// The interval at which a throttled connection forwards a chunk.
const TICK: Duration = Duration::from_millis(20);

/// The size of the socket buffers of the proxy, so that a heartbeat is delayed by what its sender
/// has written before and not by what the proxy has buffered.
const SOCKET_BUFFER_BYTES: u32 = 8 << 10;

/// The maximum segment size if packets are small, as on an Ethernet.
const SMALL_SEGMENT_BYTES: u32 = 1_400;

/// A proxy to one address. Limits apply to each connection on its own, and to bytes sent towards
/// the end that opened it.
#[derive(Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The limit in bytes a second; 0 for no limit.
    bytes_per_second: AtomicU64,
    stalled: AtomicBool,
    small_packets: AtomicBool,
    connections: AtomicUsize,
    closing: Notify,
}

impl Proxy {
    /// Listens on a free port, without a destination yet.
    pub(crate) fn open() -> (Self, PendingProxy) {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES).expect("a small window");
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES).expect("a small window");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let listener = socket.listen(64).expect("it listens");
        let address = listener.local_addr().expect("bound");
        let state = Arc::<State>::default();
        (Self { address, state: Arc::clone(&state) }, PendingProxy { listener, state })
    }

    /// Listens on a free port and forwards connections to `to`.
    pub(crate) fn to(to: SocketAddr) -> Self {
        let (proxy, pending) = Self::open();
        pending.forward_to(to);
        proxy
    }

    /// Returns the address that the proxy listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Limits every connection to this many bytes a second from now on.
    pub(crate) fn throttle(&self, bytes_per_second: u64) {
        self.state.bytes_per_second.store(bytes_per_second, Ordering::Relaxed);
    }

    /// Forwards no more bytes from now on.
    pub(crate) fn stall(&self) {
        self.state.stalled.store(true, Ordering::Relaxed);
    }

    /// Forwards bytes again.
    pub(crate) fn resume(&self) {
        self.state.stalled.store(false, Ordering::Relaxed);
    }

    /// Uses small packets on new connections. The size of a send buffer depends on that of packets
    /// and is two megabytes and more on loopback, where no write would ever have to wait.
    pub(crate) fn use_small_packets(&self) {
        self.state.small_packets.store(true, Ordering::Relaxed);
    }

    /// Closes all connections in order.
    pub(crate) fn close(&self) {
        self.state.closing.notify_waiters();
    }

    /// Returns how many connections were opened so far.
    pub(crate) fn connections(&self) -> usize {
        self.state.connections.load(Ordering::Relaxed)
    }
}

/// A proxy that has no destination yet.
pub(crate) struct PendingProxy {
    listener: TcpListener,
    state: Arc<State>,
}

impl PendingProxy {
    /// Starts forwarding connections to `to`.
    pub(crate) fn forward_to(self, to: SocketAddr) {
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = self.listener.accept().await {
                self.state.connections.fetch_add(1, Ordering::Relaxed);
                tokio::task::spawn_local(forward(Arc::clone(&self.state), near, to));
            }
        });
    }
}

async fn forward(state: Arc<State>, near: TcpStream, to: SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES).expect("a small window");
    if state.small_packets.load(Ordering::Relaxed) {
        SockRef::from(&socket).set_tcp_mss(SMALL_SEGMENT_BYTES).expect("small packets");
    }
    let Ok(far) = socket.connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let unlimited = State::default();
    tokio::select! {
        () = copy(&unlimited, near_read, far_write) => {}
        () = copy(&state, far_read, near_write) => {}
        () = state.closing.notified() => {}
    }
}

/// Copies bytes until either end closes.
async fn copy(state: &State, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    loop {
        let bytes_per_second = state.bytes_per_second.load(Ordering::Relaxed);
        let chunk = match bytes_per_second {
            0 => 16 << 10,
            rate => usize::try_from(rate).unwrap_or(usize::MAX) / 50,
        };
        let mut bytes = vec![0; chunk.max(1)];
        let Ok(count) = from.read(&mut bytes).await else { return };
        if count == 0 {
            // The other direction may still have bytes to copy.
            let _ = to.shutdown().await;
            return sleep(Duration::from_secs(5)).await;
        }
        while state.stalled.load(Ordering::Relaxed) {
            sleep(TICK).await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
        if bytes_per_second > 0 {
            sleep(TICK).await;
        }
    }
}
