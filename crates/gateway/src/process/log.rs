//! The log: one line of key=value pairs for each event, on standard output.
//!
//! A separate thread writes the lines from a bounded queue. If the reader of the output stops, the
//! pipe fills up, and direct writes would block every request in a log call; a full queue drops
//! lines instead of blocking.

use std::thread;
use std::time::Duration;

use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The default filter: events of this product, and only warnings and errors of libraries.
/// `RUST_LOG` overrides it.
const DEFAULT_FILTER: &str = "warn,fireflyhoist_gateway=info,fireflyhoist_edge=info";

/// The capacity of the queue in lines: 2 s of log at 1,000 requests a second with two lines each,
/// in less than 1 MB.
const BACKLOG: usize = 4_096;

/// Starts the log of this process. A second call has no effect.
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

/// How long [`flush`] waits for the lines, and then for its own message.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(10);

/// Waits until queued lines are written, for a bounded time.
///
/// If the reader of the output has stopped, an unbounded flush would block a process that has
/// drained in time until it is killed. The reader of errors has mostly stopped as well. Meanwhile the
/// thread of the caller goes on: it passes new connections to the server.
pub(crate) async fn flush() {
    if !ends_within(FLUSH_TIMEOUT, || log::logger().flush()).await {
        let tell = || eprintln!("the last log lines were not written in time");
        ends_within(MESSAGE_TIMEOUT, tell).await;
    }
}

/// Runs `write` on a thread, which ends with the process, and returns whether it ends in time.
async fn ends_within(time: Duration, write: impl FnOnce() + Send + 'static) -> bool {
    let (done, ended) = oneshot::channel();
    thread::spawn(move || {
        write();
        // The receiver is gone after the timeout.
        let _ = done.send(());
    });
    timeout(time, ended).await.is_ok()
}
