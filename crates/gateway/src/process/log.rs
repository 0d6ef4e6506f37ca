//! The log: one line of key=value pairs for each event, on standard output.
//!
//! Lines are written by a thread of their own behind a bounded queue. **Failure:** whoever reads
//! the output stops, the pipe fills, and every request stands still in the middle of a log call.
//! **Guard:** a full queue drops lines and never waits.

use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Our own events, and of the libraries only what is wrong; `RUST_LOG` changes it.
const DEFAULT_FILTER: &str = "warn,fireflyhoist_gateway=info,fireflyhoist_edge=info";

/// Lines that wait for the writer: two seconds at a thousand requests a second with two lines each,
/// and under a megabyte.
const BACKLOG: usize = 4_096;

/// Starts the log of this process; a second call changes nothing.
pub fn start() {
    let filter = RustLogFilterBuilder::from_default_env_or(DEFAULT_FILTER).build();
    let output = Stdout::default().with_layout(LogfmtLayout::default());
    let queued = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(BACKLOG))
        .overflow_drop_incoming()
        .append(output)
        .build();
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(queued))
        .try_apply();
    drop(started);
}

/// How long a process that ends waits for its last lines to be written.
const LAST_LINES: std::time::Duration = std::time::Duration::from_millis(200);

/// Gives the last lines a moment to be written.
///
/// The failure: whoever reads the output has stopped, and a process that drained in time hangs in
/// its last log call until it is killed. The wait is bounded; the thread ends with the process.
pub(crate) fn flush() {
    let (done, flushed) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        // Nobody waits any more where the time was up.
        let _ = done.send(());
    });
    if flushed.recv_timeout(LAST_LINES).is_err() {
        eprintln!("the last lines of the log were not written in time");
    }
}
