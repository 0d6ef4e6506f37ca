//! One worker's HTTP client.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, Connect, Connector};
use ntex::connect;
use ntex::http::{Method, Uri};
use ntex::io::IoConfig;
use ntex::service::apply_fn_factory;
use ntex::time::Millis;

/// How long opening a connection may take. A hundred round trips between failure domains, and less
/// than half of the shortest patience in use: what is not connected by then goes elsewhere, which
/// is safe, since no byte was written.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Connections that one worker's client may hold; the gates bound what is sent, so this only has
/// to stay out of their way.
const MAX_CONNECTIONS: usize = 65_536;

/// Builds one worker's client, which follows no redirects, sets no timeout of its own and adds no
/// headers.
pub(crate) async fn open() -> Option<Client> {
    let io = IoConfig::new().set_connect_timeout(Millis::from(CONNECT_TIMEOUT));
    let open = connect::Connector::<Uri>::new();
    let open = apply_fn_factory(open, async |message: connect::Connect<Uri>, open| {
        // Guards against a false `not run`: the client reports a target that read a request and
        // hung up as a failed connect too. Only this step maps to `NoRecords`, so that variant
        // alone proves that nothing was written.
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
/// The failure that this avoids: the library's pool opens connections to one address one after the
/// other, so a request waits unseen behind another's connect (a second, seen), and a pooled
/// connection may be closing or silent as the request is written, which leaves the fate of a call
/// that may not be repeated unknown. An authority used once keeps the request out of the pool.
pub(crate) fn fresh(
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
        .force_close()
}
