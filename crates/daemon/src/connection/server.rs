//! Limits on how slowly callers may send request bodies.

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;

/// The window within which at least [`MIN_BODY_BYTES`] of a body must arrive.
const BODY_RATE_WINDOW: Seconds = Seconds(3);

/// The timeout of a whole body; a megabyte in this time is 35 KB/s, slower than any line that
/// callers upload over.
const BODY_TIMEOUT: Seconds = Seconds(30);

/// The number of body bytes that must arrive within [`BODY_RATE_WINDOW`].
const MIN_BODY_BYTES: u32 = 1_024;

/// Returns the configuration of the server's connections.
///
/// By default the server bounds only the time of headers, so a caller that stalls in the middle of
/// its body would hold its connection forever, and a drain would never end. With a minimum rate for
/// bodies such a caller gets status 408 within seconds.
pub(crate) fn config() -> SharedCfg {
    let http = HttpServiceConfig::new().set_payload_read_rate(
        BODY_RATE_WINDOW,
        BODY_TIMEOUT,
        MIN_BODY_BYTES,
    );
    SharedCfg::new("entry").add(http).into()
}
