//! The signals by which a process is told to reload its settings or to leave.

use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::timeout;

use crate::process::StartError;

/// How long other signals may take to arrive that were sent before or with a SIGHUP.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Drain and end.
    Leave,
    /// Read the settings again.
    Reload,
}

/// Receives the signals of the process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Begins to receive signals, which by default end the process. A program does so before it
    /// listens, so that no signal ends it together with the requests that it has accepted.
    ///
    /// # Errors
    ///
    /// Fails if signals can't be received, since the process could then not be stopped gracefully.
    pub fn open() -> Result<Self, StartError> {
        let open = |kind| signal(kind).map_err(StartError::Signal);
        Ok(Self {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            hangup: open(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal, also one that came before this call.
    ///
    /// Of several, the one to leave comes first, since settings that are changed after it do not apply
    /// to the drain. The system delivers SIGHUP before SIGTERM if both are pending.
    pub(crate) async fn next(&mut self) -> Order {
        let reload = tokio::select! {
            biased;
            () = leave(&mut self.terminate, &mut self.interrupt) => return Order::Leave,
            _ = self.hangup.recv() => leave(&mut self.terminate, &mut self.interrupt),
        };
        match timeout(SETTLE_TIME, reload).await {
            Ok(()) => Order::Leave,
            Err(_) => Order::Reload,
        }
    }
}

async fn leave(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
