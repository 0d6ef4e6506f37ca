//! Ports that stay taken after their listener has gone.
//!
//! A test that takes a target away expects its address to refuse. Freed, the port may be given to a
//! server of another test in the same process, which then answers in the target's place: seen once
//! as an empty reply to a lookup. A second socket, bound but not listening, keeps the port; the
//! system refuses connections to it.

use std::io;
use std::net::{SocketAddr, TcpListener};

use tokio::net::TcpSocket;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// A free port on loopback that only a program which is told of it will take.
///
/// The system gives none of it to outgoing connections while this lives, and a program that reuses
/// addresses may listen on it, again and again.
#[derive(Debug)]
pub struct Reserved {
    address: SocketAddr,
    _held: TcpSocket,
}

impl Reserved {
    /// Reserves a port.
    pub fn open() -> io::Result<Self> {
        let held = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self { address: held.local_addr()?, _held: held })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A socket at `address`, not listening yet, and one that holds its port.
pub(crate) fn hold(address: SocketAddr) -> io::Result<(TcpSocket, TcpSocket)> {
    let socket = bind(address)?;
    let held = bind(socket.local_addr()?)?;
    Ok((socket, held))
}

/// Lets a socket listen; must be called within a runtime.
pub(crate) fn listen(socket: TcpSocket) -> io::Result<TcpListener> {
    let listener = socket.listen(BACKLOG)?.into_std()?;
    listener.set_nonblocking(false)?;
    Ok(listener)
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Both sockets of a port must say so; neither may be listening yet.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
