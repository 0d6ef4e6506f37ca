//! What lives as long as a connection: the client's pool and the streams of engines.

pub(crate) mod engine;
pub(crate) mod load;

use ntex::SharedCfg;
use ntex::client::Client;

/// Builds one worker's client.
///
/// It follows no redirects, since a redirected POST would be sent twice, and sets no timeout of
/// its own: each call sets the one that fits.
pub(crate) async fn client() -> Option<Client> {
    Client::builder()
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(SharedCfg::default())
        .await
        .ok()
}
