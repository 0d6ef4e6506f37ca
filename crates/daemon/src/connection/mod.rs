//! State with the lifetime of a connection: the HTTP client's pool, engine streams and peer links.

pub(crate) mod answer;
pub(crate) mod engine;
pub(crate) mod handshake;
pub(crate) mod load;
pub(crate) mod order;
pub(crate) mod peer;
pub(crate) mod server;
mod unread;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, Connect, Connector};
use ntex::connect;
use ntex::http::header::HOST;
use ntex::http::{Method, Uri};
use ntex::io::IoConfig;
use ntex::service::apply_fn_factory;
use ntex::time::Millis;

/// The timeout of opening a connection; a hundred round trips between failure domains.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of connections of one worker's client.
///
/// The gates bound what is sent, so this only has to be higher than they allow; with the library's
/// default of 8, the ninth stream would wait behind a generation without the gate's knowledge. It
/// must not be 0, which the library documents as unlimited but which never wakes a request that
/// waited for a connection.
const MAX_CONNECTIONS: usize = 65_536;

/// Builds one worker's client.
///
/// It follows no redirects, because a redirected POST would be sent twice, and has no default
/// timeout: each call sets its own.
pub(crate) async fn client() -> Option<Client> {
    let io = IoConfig::new().set_connect_timeout(Millis::from(CONNECT_TIMEOUT));
    let open = connect::Connector::<Uri>::new();
    let open = apply_fn_factory(open, async |message: connect::Connect<Uri>, open| {
        // The client also reports a failed connect where a target read a call and closed the
        // connection, which would make `ran: no` false. Only failures to open a connection are
        // mapped to `NoRecords` here, so that variant alone proves that nothing was written.
        let opened = open.call(message).await.map_err(|_| connect::ConnectError::NoRecords)?;
        Ok(opened.add_filter(unread::Limit))
    });
    Client::builder()
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .connector::<Connect>(Connector::new().limit(MAX_CONNECTIONS).connector(open))
        .build(SharedCfg::new("client").add(io).build())
        .await
        .ok()
}

/// Returns whether the call failed before a connection was open, so no byte of it was written.
pub(crate) fn unwritten(error: &ClientError) -> bool {
    matches!(error, ClientError::Connect(ConnectError::NoRecords))
}

/// Returns a request over a new connection, which is closed after it.
///
/// Pooled connections may be silently broken or may close while the request is written, and the
/// pool opens connections to one address one after the other. An authority that is used only once
/// bypasses the pool.
pub(crate) fn unpooled(
    client: &Client,
    method: Method,
    address: SocketAddr,
    path: &str,
) -> ClientRequest {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let authority = NEXT.fetch_add(1, Ordering::Relaxed);
    client
        .request(method, format!("http://{authority}.once{path}"))
        .address(address)
        .set_header(HOST, address.to_string())
        .force_close()
}
