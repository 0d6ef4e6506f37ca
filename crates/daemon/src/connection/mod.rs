//! What lives as long as a connection: the client's pool and the streams of engines.

pub(crate) mod engine;
pub(crate) mod handshake;
pub(crate) mod load;
pub(crate) mod order;
pub(crate) mod peer;
pub(crate) mod server;

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

/// How long opening a connection may take; a hundred round trips between failure domains.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections that one worker's client may hold.
///
/// The gates bound what is sent, so this only has to stay out of their way; the library's own
/// default of 8 made the ninth stream wait unseen behind a generation. It must not be 0, which the
/// library calls unlimited but which never wakes a request that waited for a connection.
const MAX_CONNECTIONS: usize = 65_536;

/// Builds one worker's client.
///
/// It follows no redirects, since a redirected POST would be sent twice, and sets no timeout of
/// its own: each call sets the one that fits.
pub(crate) async fn client() -> Option<Client> {
    let io = IoConfig::new().set_connect_timeout(Millis::from(CONNECT_TIMEOUT));
    let open = connect::Connector::<Uri>::new();
    let open = apply_fn_factory(open, async |message: connect::Connect<Uri>, open| {
        // Guards against a false `ran: no`: the client reports a target that read a call and hung
        // up as a failed connect too. Only this step maps to `NoRecords`, so that variant alone
        // proves that nothing was written.
        open.call(message).await.map_err(|_| connect::ConnectError::NoRecords)
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

/// Whether the call failed before a connection was open, so that no byte of it was written.
pub(crate) fn unwritten(error: &ClientError) -> bool {
    matches!(error, ClientError::Connect(ConnectError::NoRecords))
}

/// A request over a connection of its own, which is closed after it.
///
/// Pooled connections may have gone silent or may close as the request is written, and the pool
/// opens connections to one address one after the other. An authority used once keeps this request
/// out of all that.
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
