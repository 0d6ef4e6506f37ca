//! Liveness checks of targets after a run was interrupted: whether the target crashed, or only the
//! connection to it was lost.
//!
//! An accepted connection does not show that a target lives: what forwards connections to it accepts
//! them for a dead one as well, and closes them. An engine is therefore asked for its report too. If
//! the connection closes without an answer, the engine has crashed, unless it closes connections
//! because it has too many: then the run had not begun either.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use fireflyhoist_policy::feature::Feature;
use fireflyhoist_policy::isolation;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::time::Time;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::connection::exchange::{CONNECT_TIMEOUT, Failure, Refusal};
use crate::platform::Platform;
use crate::process::state::{BrokenRun, Connection, CrashCheck, Process, millis};
use crate::request::{Context, Worker};

/// How long a target may accept no connection before it counts as crashed.
const STALL_TIME: Duration = isolation::STALL_TIME;

/// The longest time that a check of a target takes, apart from its report.
pub(crate) const CHECK_TIME: Duration = STALL_TIME.saturating_add(CONNECT_TIMEOUT);

/// Delay before the next connection to a target that accepts none.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of a report call, after which the target counts as alive: it may be slow.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// The state of a target after a run on it was interrupted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Status {
    /// It accepts connections, and answers on them where it was asked.
    #[display("lives")]
    Alive,
    /// It was known to be draining when the run was interrupted.
    #[display("leaving")]
    Draining,
    /// This entry reaches no target, so that nothing is known about this one.
    #[display("unreachable")]
    Unreachable,
    /// It accepts no connections, closes them without an answer, or has restarted.
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
    /// When the run began, or the request was sent if it had not.
    since: Time,
    /// Whether the target accepted new requests when the run was interrupted.
    was_ready: bool,
    /// Whether the target is an engine that had begun to answer.
    had_begun: bool,
    /// What the run had in common with others, if it had written nothing.
    features: Vec<Feature>,
}

impl Check {
    /// Prepares a check of a target, as it was listed when the request was sent to it. `since` is
    /// when it began to answer, or when the request was sent if it had not: what a request waits
    /// there says nothing about what its run does.
    pub(crate) fn new(worker: &Worker, context: &Context, target: &Target, since: Time) -> Self {
        let process = Arc::clone(&worker.process);
        let was_ready = process.is_target_ready(&target.id);
        let (request, fingerprint) = (context.facts.request.clone(), context.fingerprint);
        let target = target.clone();
        let features = context.facts.features.clone();
        let had_begun = false;
        Self { process, request, fingerprint, target, since, was_ready, had_begun, features }
    }

    /// Sets that the target had begun to answer, if it is an engine of the request's service.
    pub(crate) fn with_begun_run(self, context: &Context) -> Self {
        Self { had_begun: context.service.engine.is_some(), ..self }
    }

    /// Sets that the target had written events, so that it did not end on beginning to write.
    pub(crate) fn with_events(self, events: u64) -> Self {
        if events > 0 { Self { features: Vec::new(), ..self } } else { self }
    }

    /// Checks the target in the background and records the result.
    pub(crate) fn spawn<P: Platform>(self) {
        let inspection = CrashCheck::open(&self.process, self.fingerprint);
        let interrupted_at = self.process.clock.now();
        ntex::rt::spawn(async move {
            self.record(self.status::<P>().await, interrupted_at);
            drop(inspection);
        })
        .detach();
    }

    /// Records a crash that is already known, without a check.
    pub(crate) fn record_crash(&self) {
        self.record(Status::Crashed, self.process.clock.now());
    }

    /// Determines the state of the target by opening a connection to it.
    async fn status<P: Platform>(&self) -> Status {
        if !self.was_ready {
            return Status::Draining;
        }
        match self.connect().await {
            Err(Failure::NoPath) => Status::Unreachable,
            // Its host may have lost its network, so it may be used again.
            Err(Failure::ConnectFailed { reason: Refusal::TimedOut }) => Status::Crashed,
            Err(_) => self.suspend_crashed(),
            Ok(_) if self.had_begun && self.closes_connections::<P>().await => {
                self.suspend_crashed()
            }
            Ok(_) => Status::Alive,
        }
    }

    /// Opens a connection to the target, which is tried again for as long as it may only stall.
    async fn connect(&self) -> Result<Connection, Failure> {
        let give_up_at = self.process.clock.now() + STALL_TIME;
        loop {
            let connected =
                self.process.connect(&self.target, CONNECT_TIMEOUT, || Duration::ZERO).await;
            let timed_out = Failure::ConnectFailed { reason: Refusal::TimedOut };
            match connected {
                Ok((connection, _)) => return Ok(connection),
                Err(failure) if failure != timed_out => return Err(failure),
                Err(failure) if self.process.clock.now() >= give_up_at => return Err(failure),
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Sends nothing more to the target, which has crashed for certain.
    fn suspend_crashed(&self) -> Status {
        self.process.suspend_crashed(&self.target);
        Status::Crashed
    }

    /// Returns whether an engine closes a connection without an answer to a report call.
    async fn closes_connections<P: Platform>(&self) -> bool {
        let call = P::report().into();
        let response = self.process.send(&self.target, call, REPORT_TIMEOUT).await;
        matches!(response, Err(Failure::Broken { .. } | Failure::ConnectFailed { .. }))
    }

    /// Records the state of the target of a run that was interrupted at
    /// `interrupted_at`.
    fn record(&self, status: Status, interrupted_at: Time) {
        let run_time = interrupted_at.since(self.since);
        self.process.metrics.broken_run(status);
        let run = BrokenRun {
            at: interrupted_at,
            fingerprint: self.fingerprint,
            target: &self.target,
            run_time,
            features: &self.features,
        };
        let crashes = match status {
            Status::Crashed => self.process.record_crash(&run),
            Status::Alive => {
                self.process.record_unconfirmed_crash(&run);
                self.process.crashes(self.fingerprint)
            }
            Status::Draining | Status::Unreachable => self.process.crashes(self.fingerprint),
        };
        log::info!(
            request = self.request.as_str(), print:% = self.fingerprint, target:% = self.target.id,
            fate:% = status, lasted_ms = millis(run_time), ends = crashes,
            parts = list(&self.features).as_str(); "run broke off"
        );
    }
}

/// Returns the text of features in log lines.
fn list(features: &[Feature]) -> String {
    features.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}
