//! The log: one line of key=value pairs for each event, on standard error.

use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Our own events, and of the libraries only what is wrong; `RUST_LOG` changes it.
const DEFAULT_FILTER: &str = "warn,fireflyhoist_daemon=info";

/// Starts the log of this process; a second call changes nothing.
pub fn start() {
    let filter = RustLogFilterBuilder::from_default_env_or(DEFAULT_FILTER).build();
    let started =
        logforth::starter_log::stderr().layout(LogfmtLayout::default()).filter(filter).try_apply();
    drop(started);
}
