//! What every stand-in shares: listening on loopback and a handle to end it.

use std::io;
use std::net::{SocketAddr, TcpListener};

use ntex::server::Server;
use ntex::web::{self, HttpServer, ServiceConfig};

/// A running stand-in.
#[derive(Clone, Debug)]
pub struct Running {
    address: SocketAddr,
    server: Server,
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
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let server = HttpServer::new(async move || {
        let routes = routes.clone();
        web::App::new().configure(move |config: &mut ServiceConfig| routes(config))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(Running { address, server })
}
