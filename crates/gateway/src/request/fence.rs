//! Whether a run has ended, which must be known before its generation goes on elsewhere.
//!
//! Engines that work may stand still for a second or so. One that does keeps what it was sent, and goes
//! on with it although its connection was closed meanwhile, so neither silence nor a closed connection
//! shows that a run has ended. An answer to another call does: an engine that answers has noticed that
//! the connection of the run is closed.

use std::time::Duration;

use derive_more::Display;
use fireflyhoist_policy::isolation::STALL_TIME;
use fireflyhoist_policy::lease::Target;
use tokio::time::sleep;

use crate::connection::exchange::{Failure, Refusal};
use crate::platform::Platform;
use crate::process::state::Process;

/// Delay before an engine that did not answer is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How many calls to an engine must break for it to count as crashed.
const MAX_BROKEN: u32 = 2;

/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// How it is known that a run has ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Ended {
    /// Its engine has stopped it when it was told to.
    #[display("stopped")]
    Stopped,
    /// Its engine answers other calls.
    #[display("answered")]
    Answered,
    /// Its engine accepts no connections or closes them without an answer.
    #[display("refused")]
    Refused,
    /// Its engine has restarted.
    #[display("restarted")]
    Restarted,
    /// Nothing came from its engine for longer than engines stand still.
    #[display("silent")]
    Silent,
}

/// Asks an engine until it is known to be awake or lost.
///
/// A call that breaks says nothing by itself: the connections of this entry may have been reset while
/// the engine stands still. The next one shows it.
pub(crate) async fn check<P: Platform>(process: &Process, engine: &Target) -> Ended {
    let give_up_at = process.clock.now() + STALL_TIME;
    let mut broken = 0;
    loop {
        let left = give_up_at.since(process.clock.now());
        let called = process.call(engine, P::report().into(), left, MAX_REPORT_BYTES).await;
        match called {
            Ok(_) | Err(Failure::BodyTooLarge) => return Ended::Answered,
            Err(Failure::ConnectFailed { reason: Refusal::Refused }) => return Ended::Refused,
            Err(
                Failure::Broken { .. } | Failure::ConnectFailed { reason: Refusal::NotForwarded },
            ) => {
                broken += 1;
                if broken == MAX_BROKEN {
                    return Ended::Refused;
                }
            }
            Err(
                Failure::ConnectFailed { reason: Refusal::TimedOut | Refusal::NotRelayed }
                | Failure::TimedOut
                | Failure::Resting
                | Failure::PermitExpired
                | Failure::NoPath,
            ) => {}
        }
        if process.clock.now() + RETRY_DELAY >= give_up_at {
            return Ended::Silent;
        }
        sleep(RETRY_DELAY).await;
    }
}
