//! Records what callers received, by service, for the report on service-level burn rates.
//!
//! Each service's history has its own lock, which is held for a few additions.

use std::collections::HashMap;
use std::sync::Arc;

use fireflyhoist_policy::burn::{History, Objective, Progress, Reading, Tally};
use fireflyhoist_policy::id;
use fireflyhoist_text::Service;
use parking_lot::{Mutex, RwLock};

use crate::process::clock::Clock;
use crate::process::metrics::Metrics;

/// The burn histories of all services that received requests since the process started.
#[derive(Debug)]
pub(crate) struct Recorder {
    clock: Clock,
    metrics: Metrics,
    services: RwLock<HashMap<id::Service, Arc<Mutex<History>>>>,
}

impl Recorder {
    pub(crate) fn open(clock: Clock, metrics: Metrics) -> Self {
        Self { clock, metrics, services: RwLock::default() }
    }

    /// Returns the metrics that the same counts feed.
    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Starts to observe a request that just arrived.
    pub(crate) fn watch(self: &Arc<Self>, service: &Service) -> Watch {
        let progress = Progress::new(service.objective.burn(), self.clock.now());
        Watch {
            recorder: Arc::clone(self),
            service: service.name.clone(),
            progress: Some(progress),
        }
    }

    /// Adds counts to one service's history and metrics.
    pub(crate) fn record(&self, service: &id::Service, tally: Tally) {
        self.metrics.tally(service, &tally);
        let history = self.services.read().get(service).cloned();
        let history = history.unwrap_or_else(|| {
            let mut services = self.services.write();
            Arc::clone(services.entry(service.clone()).or_default())
        });
        history.lock().record(self.clock.now(), tally);
    }

    /// Drops the histories of services for which `declared` returns false.
    pub(crate) fn retain(&self, declared: impl Fn(&id::Service) -> bool) {
        self.services.write().retain(|service, _| declared(service));
    }

    /// Returns the readings of one service; all zero if it received no requests yet.
    pub(crate) fn readings(&self, service: &id::Service, objective: &Objective) -> Vec<Reading> {
        let history = self.services.read().get(service).cloned();
        let now = self.clock.now();
        match history {
            Some(history) => history.lock().readings(now, objective),
            None => History::default().readings(now, objective),
        }
    }
}

/// Observes one request and records its counts when dropped, however the request ends.
#[derive(Debug)]
pub(crate) struct Watch {
    recorder: Arc<Recorder>,
    service: id::Service,
    progress: Option<Progress>,
}

/// Tokens after which counts are recorded, so that an answer that takes an hour shows before its
/// end.
const TOKENS_PER_RECORD: u64 = 256;

impl Watch {
    /// Records that the token at `offset` arrived.
    pub(crate) fn token(&mut self, offset: u64) {
        let now = self.recorder.clock.now();
        let Some(progress) = &mut self.progress else { return };
        if let Some(elapsed) = progress.record_token(now) {
            self.recorder.metrics.first_token(&self.service, elapsed);
        }
        if offset.is_multiple_of(TOKENS_PER_RECORD) {
            let tally = progress.take_tally();
            self.recorder.record(&self.service, tally);
        }
    }

    /// Records that the request was refused, in place of its progress.
    pub(crate) fn refused(mut self) {
        self.progress = None;
        self.recorder.record(&self.service, Tally::refused());
    }

    /// Records that the response of a plain call begins.
    pub(crate) fn answered(mut self) {
        if let Some(progress) = self.progress.take() {
            let now = self.recorder.clock.now();
            self.recorder.record(&self.service, progress.finish_plain(now));
        }
    }

    /// Records that the engine preempted the generation.
    pub(crate) fn preempted(&mut self) {
        if let Some(progress) = &mut self.progress {
            progress.record_preemption();
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(progress) = self.progress.take() {
            let now = self.recorder.clock.now();
            self.recorder.record(&self.service, progress.finish(now));
        }
    }
}
