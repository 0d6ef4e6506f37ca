//! Liveness checks of targets after a run was interrupted: whether the target crashed, or only the
//! connection to it was lost.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::time::Time;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::exchange::CONNECT_TIMEOUT;
use crate::process::state::{CrashCheck, Process, millis};
use crate::request::{Context, Worker};

/// The state of a target after a run on it was interrupted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Status {
    /// It accepts connections.
    #[display("lives")]
    Alive,
    /// It was known to be draining when the run was interrupted.
    #[display("leaving")]
    Draining,
    /// It accepts no connections, or has restarted.
    #[display("ended")]
    Crashed,
}

/// A check of the target of an interrupted run.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    process: Arc<Process>,
    request: SmolStr,
    fingerprint: Fingerprint,
    target: Target,
    /// When the request was sent to the target.
    sent_at: Time,
    /// Whether the target accepted new requests when the run was interrupted.
    was_ready: bool,
}

impl Check {
    /// Prepares a check for a request that was sent at `sent_at` to a target, as it was listed
    /// then.
    pub(crate) fn new(worker: &Worker, context: &Context, target: &Target, sent_at: Time) -> Self {
        let process = Arc::clone(&worker.process);
        let was_ready = process.is_target_ready(&target.id);
        let (request, fingerprint) = (context.facts.request.clone(), context.fingerprint);
        Self { process, request, fingerprint, target: target.clone(), sent_at, was_ready }
    }

    /// Checks the target in the background and records the result.
    pub(crate) fn spawn(self) {
        let inspection = CrashCheck::open(&self.process, self.fingerprint);
        let interrupted_at = self.process.clock.now();
        ntex::rt::spawn(async move {
            self.record(self.status().await, interrupted_at);
            drop(inspection);
        })
        .detach();
    }

    /// Records a crash that is already known, without a check.
    pub(crate) fn record_crash(&self) {
        self.record(Status::Crashed, self.process.clock.now());
    }

    /// Determines the state of the target by opening a connection to it.
    async fn status(&self) -> Status {
        if !self.was_ready {
            return Status::Draining;
        }
        match accepts_connections(self.target.address).await {
            true => Status::Alive,
            false => Status::Crashed,
        }
    }

    /// Records the state of the target of a run that was interrupted at
    /// `interrupted_at`.
    fn record(&self, status: Status, interrupted_at: Time) {
        let run_time = interrupted_at.since(self.sent_at);
        self.process.metrics.broken_run(status);
        let crashes = match status {
            Status::Crashed => {
                self.process.record_crash(interrupted_at, self.fingerprint, &self.target, run_time)
            }
            Status::Alive => {
                self.process.record_unconfirmed_crash(
                    interrupted_at,
                    self.fingerprint,
                    &self.target,
                    run_time,
                );
                self.process.crashes(self.fingerprint)
            }
            Status::Draining => self.process.crashes(self.fingerprint),
        };
        log::info!(
            request = self.request.as_str(), print:% = self.fingerprint, target:% = self.target.id,
            fate:% = status, lasted_ms = millis(run_time), ends = crashes; "run broke off"
        );
    }
}

async fn accepts_connections(address: SocketAddr) -> bool {
    matches!(timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}
