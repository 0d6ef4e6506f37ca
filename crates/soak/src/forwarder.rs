//! The forwarder of one entry, through which it opens connections to targets: an HTTP proxy that can
//! stop to open them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::plan::Isolation;

/// A forwarder that is cut from targets while it has an [`Isolation`].
#[derive(Clone, Debug)]
pub(crate) struct Forwarder {
    pub(crate) address: SocketAddr,
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    isolation: Cell<Option<Isolation>>,
    /// Notified when the connections that are open end.
    cut: RefCell<Rc<Notify>>,
}

impl Forwarder {
    pub(crate) async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let own = Self { address, shared: Rc::default() };
        let shared = Rc::clone(&own.shared);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(Rc::clone(&shared), stream));
            }
        });
        own
    }

    /// Cuts the entry from all targets, or ends the cut.
    pub(crate) fn set_isolation(&self, isolation: Option<Isolation>) {
        self.shared.isolation.set(isolation);
        if matches!(isolation, Some(Isolation::Hang | Isolation::Reset)) {
            self.shared.cut.replace(Rc::default()).notify_waiters();
        }
    }
}

async fn serve(shared: Rc<Shared>, mut near: TcpStream) {
    let cut = Rc::clone(&shared.cut.borrow());
    let _ = near.set_zero_linger();
    match shared.isolation.get() {
        None => {}
        Some(Isolation::Hang) => return hold(near).await,
        Some(Isolation::Reset | Isolation::RefuseNew) => return,
    }
    let Some(mut far) = connect(&mut near).await else { return };
    let _ = far.set_zero_linger();
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        () = cut.notified() => {
            if shared.isolation.get() == Some(Isolation::Hang) {
                // The target goes on with what it runs, and nothing of it arrives.
                let ended = tokio::spawn(async move { far.read_to_end(&mut Vec::new()).await });
                hold(near).await;
                ended.abort();
            }
        }
    }
}

/// Keeps a connection on which nothing comes back until the entry closes it.
async fn hold(mut near: TcpStream) {
    let _ = near.read_to_end(&mut Vec::new()).await;
}

/// Reads the request for a tunnel and opens it.
async fn connect(near: &mut TcpStream) -> Option<TcpStream> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(near.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let to: SocketAddr = head.strip_prefix("CONNECT ")?.split(' ').next()?.parse().ok()?;
    let opened = TcpStream::connect(to).await;
    let reply = if opened.is_ok() { "200 OK" } else { "502 Bad Gateway" };
    near.write_all(format!("HTTP/1.1 {reply}\r\n\r\n").as_bytes()).await.ok()?;
    opened.ok()
}
