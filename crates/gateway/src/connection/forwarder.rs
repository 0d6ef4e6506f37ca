//! Connections through the forwarder of a host: an HTTP proxy that opens them for it.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use ntex::http::{Method, StatusCode};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::exchange::{self, Failure, Refusal};

/// Opens a connection to `address` through the forwarder `via`, all of it `within` that time.
pub(crate) async fn connect(
    via: SocketAddr,
    address: SocketAddr,
    within: Duration,
) -> Result<TcpStream, Failure> {
    let connected = async {
        let stream = exchange::connect(via, within).await?;
        let not_forwarded = Failure::ConnectFailed { reason: Refusal::NotForwarded };
        request_tunnel(stream, address).await.ok_or(not_forwarded)
    };
    let timed_out = Failure::ConnectFailed { reason: Refusal::TimedOut };
    timeout(within, connected).await.unwrap_or(Err(timed_out))
}

/// Requests a tunnel over a connection to a forwarder, and returns the connection once it carries
/// the bytes of the tunnel.
async fn request_tunnel(stream: TcpStream, address: SocketAddr) -> Option<TcpStream> {
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = driver.with_upgrades();
    ntex::rt::spawn(async move {
        // Errors of the connection are also returned by the response.
        let _ = driver.await;
    })
    .detach();
    let request = hyper::Request::builder().method(Method::CONNECT).uri(address.to_string());
    let request = request.body(Empty::<Bytes>::new()).ok()?;
    let response = sender.send_request(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let upgraded = hyper::upgrade::on(response).await.ok()?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>().ok()?;
    // A target sends nothing before it gets a request.
    parts.read_buf.is_empty().then(|| parts.io.into_inner())
}
