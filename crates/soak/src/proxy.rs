//! A loopback link that can be cut, cut one way, delayed, narrowed and reset.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Passes them on.
    #[default]
    Open,
    /// Holds all of them, and answers no new connection.
    Silent,
    /// Passes on what is sent and holds what comes back.
    OneWay,
    /// Passes them on a quarter of a second late.
    Late,
    /// Each connection carries [`PART`] bytes in [`HOLD`] each way.
    Narrow,
}

/// Bytes that a connection in [`Mode::Narrow`] carries in [`HOLD`]: 100 KB/s, so that a large text takes
/// two and a half seconds as a whole, and is to be in force within two.
const PART: usize = 2_000;

/// How late a link in [`Mode::Late`] is: half of the shortest route's patience here.
const LATE: Duration = Duration::from_millis(250);

/// How often held bytes are looked at.
const HOLD: Duration = Duration::from_millis(20);

/// A link to one address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    to: Cell<SocketAddr>,
    mode: Cell<Mode>,
    resets: RefCell<Rc<Notify>>,
}

impl Proxy {
    /// Listens and links to `to`.
    pub(crate) async fn open(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let shared =
            Shared { to: Cell::new(to), mode: Cell::default(), resets: RefCell::default() };
        let own = Self { address, shared: Rc::new(shared) };
        let shared = Rc::clone(&own.shared);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(carry(Rc::clone(&shared), stream));
            }
        });
        own
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.shared.mode.set(mode);
    }

    /// Links to another address from now on.
    pub(crate) fn set_to(&self, to: SocketAddr) {
        self.shared.to.set(to);
        self.reset();
    }

    /// Resets every connection.
    pub(crate) fn reset(&self) {
        let resets = self.shared.resets.replace(Rc::default());
        resets.notify_waiters();
    }
}

async fn carry(shared: Rc<Shared>, mut near: TcpStream) {
    let reset = Rc::clone(&shared.resets.borrow());
    let reset = reset.notified();
    let _ = near.set_zero_linger();
    let connected = tokio::select! {
        connected = connect(&shared) => connected,
        () = reset => return,
    };
    let Some(mut far) = connected else { return };
    let _ = far.set_zero_linger();
    let reset = Rc::clone(&shared.resets.borrow());
    // Halves that own their stream would end it in order when they are dropped.
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    tokio::select! {
        () = pass(&shared, near_read, far_write, false) => {}
        () = pass(&shared, far_read, near_write, true) => {}
        () = reset.notified() => {}
    }
    // Dropping both ends with bytes that lie unread, or without lingering, resets them.
}

async fn connect(shared: &Shared) -> Option<TcpStream> {
    while shared.mode.get() == Mode::Silent {
        sleep(HOLD).await;
    }
    TcpStream::connect(shared.to.get()).await.ok()
}

/// Passes bytes on until one end closes; an orderly end is passed on as one.
async fn pass(
    shared: &Shared,
    mut from: tokio::net::tcp::ReadHalf<'_>,
    mut to: tokio::net::tcp::WriteHalf<'_>,
    back: bool,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let narrow = shared.mode.get() == Mode::Narrow;
        let part = if narrow { PART } else { bytes.len() };
        let count = match from.read(&mut bytes[..part]).await {
            Ok(count) => count,
            Err(_) => return,
        };
        loop {
            match shared.mode.get() {
                Mode::Silent => sleep(HOLD).await,
                Mode::OneWay if back => sleep(HOLD).await,
                Mode::Late => {
                    sleep(LATE).await;
                    break;
                }
                Mode::Narrow => {
                    sleep(HOLD).await;
                    break;
                }
                Mode::OneWay | Mode::Open => break,
            }
        }
        if count == 0 {
            // What the other direction still carries is waited for by its own reader.
            let _ = to.shutdown().await;
            sleep(Duration::from_secs(60)).await;
            return;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
