//! How long callers may take to say what they want.

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;

/// How long a caller may send less than [`MIN_BODY_BYTES`] of a body.
const BODY_RATE_WINDOW: Seconds = Seconds(3);

/// How long a body may take in all; a megabyte in this time is 35 KB/s, slower than any line that
/// members upload pages over.
const BODY_TIMEOUT: Seconds = Seconds(30);

/// Bytes that must arrive within [`BODY_RATE_WINDOW`].
const MIN_BODY_BYTES: u32 = 1_024;

/// What the server demands of connections.
///
/// The failure: a caller that stalls in the middle of its body holds a connection and, while it
/// drains, the whole daemon, for ever. It shows as a drain that does not end. By default the server
/// bounds only headers; with a least rate for bodies too, such a caller gets 408 within seconds.
pub(crate) fn config() -> SharedCfg {
    let http = HttpServiceConfig::new().set_payload_read_rate(
        BODY_RATE_WINDOW,
        BODY_TIMEOUT,
        MIN_BODY_BYTES,
    );
    SharedCfg::new("entry").add(http).into()
}
