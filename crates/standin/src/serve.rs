//! What every stand-in shares: listening on loopback and a handle to end it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ntex::server::Server;
use ntex::web::{self, HttpServer, ServiceConfig};
use tokio::net::TcpSocket;

use crate::port;

/// A running stand-in.
#[derive(Clone, Debug)]
pub struct Running {
    address: SocketAddr,
    server: Server,
    _held: Arc<TcpSocket>,
}

impl Running {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends it at once, as a crash would: open connections are cut.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }
}

/// Serves `routes` on `listen`; port 0 lets the operating system choose.
pub(crate) fn bind<F>(listen: SocketAddr, routes: F) -> io::Result<Running>
where
    F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
{
    let (socket, held) = port::hold(listen)?;
    let address = held.local_addr()?;
    let listener = port::listen(socket)?;
    let server = HttpServer::new(async move || {
        let routes = routes.clone();
        web::App::new().configure(move |config: &mut ServiceConfig| routes(config))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(Running { address, server, _held: Arc::new(held) })
}
