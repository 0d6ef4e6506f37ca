//! Liveness checks of targets after a run was interrupted: whether the target crashed, or only the
//! connection to it was lost.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::resubmission::Fingerprint;
use fireflyhoist_policy::time::Time;
use ntex::time::timeout;
use smol_str::SmolStr;
use tokio::net::TcpStream;

use crate::connection::exchange::CONNECT_TIMEOUT;
use crate::process::state::{Inspection, Process, millis};
use crate::request::{Context, Worker};

/// The state of a target after a run on it was interrupted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It accepts connections.
    #[display("lives")]
    Lives,
    /// It was known to be draining when the run was interrupted.
    #[display("leaving")]
    Leaving,
    /// It accepts no connections, or has restarted.
    #[display("ended")]
    Ended,
}

/// A check of the target of an interrupted run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    process: Arc<Process>,
    request: SmolStr,
    print: Fingerprint,
    target: Target,
    /// When the request was sent to the target.
    sent: Time,
    /// Whether the target accepted new requests when the run was interrupted.
    ready: bool,
}

impl Run {
    /// Prepares a check for a request that was sent at `sent_at` to a target, as it was listed
    /// then.
    pub(crate) fn of(worker: &Worker, context: &Context, target: &Target, sent: Time) -> Self {
        let process = Arc::clone(&worker.process);
        let ready = process.is_target_ready(&target.id);
        let (request, print) = (context.facts.request.clone(), context.fingerprint);
        Self { process, request, print, target: target.clone(), sent, ready }
    }

    /// Checks the target in the background and records the result.
    pub(crate) fn spawn(self) {
        let inspection = Inspection::open(&self.process, self.print);
        let at = self.process.clock.now();
        ntex::rt::spawn(async move {
            self.note(self.fate().await, at);
            drop(inspection);
        })
        .detach();
    }

    /// Records a crash that is already known, without a check.
    pub(crate) fn ended(&self) {
        self.note(Fate::Ended, self.process.clock.now());
    }

    async fn fate(&self) -> Fate {
        if !self.ready {
            return Fate::Leaving;
        }
        match answers(self.target.address).await {
            true => Fate::Lives,
            false => Fate::Ended,
        }
    }

    /// Records the state of the target of a run that was interrupted at
    /// `interrupted_at`.
    fn note(&self, fate: Fate, at: Time) {
        let lasted = at.since(self.sent);
        self.process.metrics.broken(fate);
        let ends = match fate {
            Fate::Ended => self.process.note_end(at, self.print, &self.target, lasted),
            Fate::Lives => {
                self.process.doubt(at, self.print, &self.target, lasted);
                self.process.ends(self.print)
            }
            Fate::Leaving => self.process.ends(self.print),
        };
        log::info!(
            request = self.request.as_str(), print:% = self.print, target:% = self.target.id,
            fate:% = fate, lasted_ms = millis(lasted), ends = ends; "run broke off"
        );
    }
}

async fn answers(address: SocketAddr) -> bool {
    matches!(timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}
