//! The log: one line of key=value pairs per event, on standard error.

use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Events of this crate from `info` and of all others from `warn`; `RUST_LOG` overrides it.
const DEFAULT_FILTER: &str = "warn,fireflyhoist_daemon=info";

/// Starts the log of this process; further calls have no effect.
pub fn start() {
    let filter = RustLogFilterBuilder::from_default_env_or(DEFAULT_FILTER).build();
    let started =
        logforth::starter_log::stderr().layout(LogfmtLayout::default()).filter(filter).try_apply();
    drop(started);
}
