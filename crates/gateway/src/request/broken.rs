//! Runs that break off: whether their target ended, or only the connection to it.

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
use crate::process::state::{CrashCheck, Process, millis};
use crate::request::{Inquiry, Worker};

/// What became of a target at which a run broke off.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It takes connections.
    #[display("lives")]
    Lives,
    /// It was known to leave.
    #[display("leaving")]
    Leaving,
    /// It takes no connection any more, or has started again.
    #[display("ended")]
    Ended,
}

/// A run that broke off.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    process: Arc<Process>,
    request: SmolStr,
    print: Fingerprint,
    target: Target,
    /// When it was sent there.
    sent: Time,
    /// Whether the target took new work until then.
    ready: bool,
}

impl Run {
    /// The run of a request that was sent at `sent` to a target as it was listed then.
    pub(crate) fn of(worker: &Worker, inquiry: &Inquiry, target: &Target, sent: Time) -> Self {
        let process = Arc::clone(&worker.process);
        let ready = process.is_target_ready(&target.id);
        let (request, print) = (inquiry.facts.request.clone(), inquiry.print);
        Self { process, request, print, target: target.clone(), sent, ready }
    }

    /// Finds out in the background what became of the target.
    pub(crate) fn spawn(self) {
        let inspection = CrashCheck::open(&self.process, self.print);
        let at = self.process.clock.now();
        ntex::rt::spawn(async move {
            self.note(self.fate().await, at);
            drop(inspection);
        })
        .detach();
    }

    /// Notes that the target has ended, where that is known already.
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

    /// Notes what became of the target of a run that broke off at `at`.
    fn note(&self, fate: Fate, at: Time) {
        let lasted = at.since(self.sent);
        self.process.metrics.broken(fate);
        let ends = match fate {
            Fate::Ended => self.process.record_crash(at, self.print, &self.target, lasted),
            Fate::Lives => {
                self.process.record_unconfirmed_crash(at, self.print, &self.target, lasted);
                self.process.crashes(self.print)
            }
            Fate::Leaving => self.process.crashes(self.print),
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
