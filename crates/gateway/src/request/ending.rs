//! Whether the end of a connection is the end of the stream on it.
//!
//! A stream with neither a length nor chunks ends with its connection. So does one whose engine is
//! killed between two events, since the system closes the connections of a killed process in order. The
//! engine is asked for its report: one that still answers, as the start that is listed, has closed the
//! stream itself. Why it has done so can't be told from that.

use std::time::Duration;

use derive_more::Display;
use fireflyhoist_policy::lease::Target;
use tokio::time::{Instant, sleep};

use crate::connection::exchange::{Failure, Refusal};
use crate::platform::Platform;
use crate::process::state::{Process, millis};
use crate::request::fence::Ended;

/// How long the end of a stream waits for the report. An engine that stands still has closed the
/// stream before.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before an engine whose connection broke is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// How many calls to an engine must break for it to count as ended: it also resets connections when it
/// has too many.
const MAX_BROKEN: u32 = 2;

/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Why the connection of a stream was closed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Closed {
    /// The engine has closed the stream itself.
    #[display("engine")]
    ByEngine,
    /// The run was lost with its engine.
    #[display("{_0}")]
    RunLost(Ended),
    /// This entry lost its path to all targets, which may have closed the connection.
    #[display("path lost")]
    PathLost,
    /// There was no answer in time.
    #[display("unknown")]
    Unknown,
}

/// Asks an engine, as it was listed when the run began, whether it has closed a stream itself.
pub(super) async fn ask<P: Platform>(process: &Process, request: &str, engine: &Target) -> Closed {
    let began_at = Instant::now();
    let closed = try_ask::<P>(process, engine, began_at + REPORT_TIMEOUT).await;
    log::info!(
        request = request, engine:% = engine.id, closed_by:% = closed,
        ms = millis(began_at.elapsed()); "asked after the end of a stream"
    );
    closed
}

async fn try_ask<P: Platform>(process: &Process, engine: &Target, give_up_at: Instant) -> Closed {
    let mut broken = 0;
    loop {
        let left = give_up_at.saturating_duration_since(Instant::now());
        match process.call(engine, P::report().into(), left, MAX_REPORT_BYTES).await {
            Ok(reply) => {
                let starts = P::report_start(&reply.body).zip(engine.start);
                return match starts.is_some_and(|(reported, listed)| reported != listed) {
                    true => Closed::RunLost(Ended::Restarted),
                    false => Closed::ByEngine,
                };
            }
            Err(Failure::BodyTooLarge) => return Closed::ByEngine,
            Err(Failure::ConnectFailed { reason: Refusal::Refused }) => {
                return Closed::RunLost(Ended::Refused);
            }
            Err(
                Failure::Broken { .. } | Failure::ConnectFailed { reason: Refusal::NotForwarded },
            ) => broken += 1,
            Err(
                Failure::ConnectFailed { reason: Refusal::TimedOut | Refusal::NotRelayed }
                | Failure::TimedOut
                | Failure::Resting
                | Failure::PermitExpired,
            ) => return Closed::Unknown,
            Err(Failure::NoPath) => return Closed::PathLost,
        }
        if broken == MAX_BROKEN {
            return Closed::RunLost(Ended::Refused);
        }
        if Instant::now() + RETRY_DELAY >= give_up_at {
            return Closed::Unknown;
        }
        sleep(RETRY_DELAY).await;
    }
}
