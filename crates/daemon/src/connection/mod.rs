//! What lives as long as a connection: the client's pool and the streams of engines.

pub(crate) mod engine;
pub(crate) mod load;

use ntex::SharedCfg;
use ntex::client::{Client, Connector};

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
    Client::builder()
        .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(SharedCfg::default())
        .await
        .ok()
}
