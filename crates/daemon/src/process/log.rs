//! The log: one line of key=value pairs for each event, on standard error.

use logforth::layout::LogfmtLayout;

/// Starts the log of this process; a second call changes nothing.
pub fn start() {
    let started = logforth::starter_log::stderr().layout(LogfmtLayout::default()).try_apply();
    drop(started);
}
