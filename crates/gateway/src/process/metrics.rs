//! Counters and latency histograms by opentelemetry, read in Prometheus' text format.
//!
//! Labels are kinds of request and outcomes only, never workspaces or callers, so that the page
//! stays small at any number of either. `docs/OPERATIONS.md` lists the names.

use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::connection::traffic::Traffic;
use crate::request::liveness::Status;

/// Bounds of latency histograms in seconds, close together around the objectives in use.
const BOUNDS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1.0, 1.8, 5.0, 15.0, 60.0];

/// What gauges show.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Now {
    /// Requests in progress.
    pub(crate) open: usize,
    /// The revision of the text in force.
    pub(crate) revision: u64,
    /// How often the registry has come back from a copy.
    pub(crate) era: u64,
    /// Requests known to end their targets.
    pub(crate) held: usize,
    /// Targets that name a limit.
    pub(crate) limited: usize,
    /// Failure domains that are cordoned.
    pub(crate) cordoned: usize,
    /// Targets that are cold.
    pub(crate) cold: usize,
}

/// The metrics of one process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Kept because instruments end with their provider.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    broken: Counter<u64>,
    held: Counter<u64>,
    restored: Counter<u64>,
    older: Counter<u64>,
    kept_off: Counter<u64>,
    carried: Counter<u64>,
    calls: Counter<u64>,
    first: Histogram<f64>,
    era: Gauge<u64>,
    suspects: Gauge<u64>,
    limited: Gauge<u64>,
    cordoned: Gauge<u64>,
    cold: Gauge<u64>,
    open: Gauge<u64>,
    revision: Gauge<u64>,
    traffic: Traffic,
}

impl Metrics {
    /// `None` where the exporter can't be set up.
    pub(crate) fn open() -> Option<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .ok()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("fireflyhoist");
        let counter = |name: &'static str, what: &'static str| {
            meter.u64_counter(name).with_description(what).build()
        };
        let gauge = |name: &'static str, what: &'static str| {
            meter.u64_gauge(name).with_description(what).build()
        };
        Some(Self {
            requests: counter("fireflyhoist.requests", "Requests by kind and status"),
            attempts: counter("fireflyhoist.attempts", "Attempts at targets by outcome"),
            broken: counter(
                "fireflyhoist.broken_runs",
                "Runs that broke off, by what became of the target",
            ),
            kept_off: counter(
                "fireflyhoist.limited_sends",
                "Requests for targets that take only so much, by reason and decision",
            ),
            restored: counter(
                "fireflyhoist.registry_restores",
                "Times that the registry came back from a copy",
            ),
            older: counter(
                "fireflyhoist.older_eras_refused",
                "Lists of an earlier era that were refused",
            ),
            held: counter(
                "fireflyhoist.held_back",
                "Requests under which targets ended, by decision",
            ),
            carried: counter("fireflyhoist.carried", "Answers carried to another target, by way"),
            calls: counter("fireflyhoist.registry_calls", "Calls of the registry"),
            first: meter
                .f64_histogram("fireflyhoist.answer_begins")
                .with_unit("s")
                .with_description("From a request's arrival to the head of its answer, by kind")
                .with_boundaries(BOUNDS.to_vec())
                .build(),
            limited: gauge("fireflyhoist.limited_targets", "Targets that name a limit"),
            cold: gauge("fireflyhoist.cold_targets", "Targets that are cold"),
            cordoned: gauge("fireflyhoist.cordoned_domains", "Failure domains that are cordoned"),
            era: gauge(
                "fireflyhoist.registry_era",
                "How often the registry came back from a copy, as it says",
            ),
            suspects: gauge("fireflyhoist.held_requests", "Requests known to end their targets"),
            open: gauge("fireflyhoist.open_requests", "Requests in progress"),
            revision: gauge("fireflyhoist.revision", "Revision of the text in force"),
            traffic: Traffic::new(&meter),
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn request(&self, kind: &'static str, status: u16, elapsed: Duration) {
        let kind = KeyValue::new("kind", kind);
        self.first.record(elapsed.as_secs_f64(), std::slice::from_ref(&kind));
        self.requests.add(1, &[kind, KeyValue::new("status", i64::from(status))]);
    }

    pub(crate) fn attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn broken(&self, status: Status) {
        self.broken.add(1, &[KeyValue::new("target", status.to_string())]);
    }

    pub(crate) fn limited(&self, why: Exclusion, decision: &'static str) {
        let why = KeyValue::new("target", why.to_string());
        self.kept_off.add(1, &[why, KeyValue::new("decision", decision)]);
    }

    pub(crate) fn restored(&self) {
        self.restored.add(1, &[]);
    }

    pub(crate) fn older(&self) {
        self.older.add(1, &[]);
    }

    pub(crate) fn held(&self, decision: &'static str) {
        self.held.add(1, &[KeyValue::new("decision", decision)]);
    }

    pub(crate) fn carried(&self, way: &'static str) {
        self.carried.add(1, &[KeyValue::new("way", way)]);
    }

    pub(crate) fn registry_call(&self) {
        self.calls.add(1, &[]);
    }

    /// The part that links count in.
    pub(crate) fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// All metrics in the text format, with what is read of the process now.
    pub(crate) fn page(&self, now: Now) -> String {
        self.open.record(now.open as u64, &[]);
        self.revision.record(now.revision, &[]);
        self.era.record(now.era, &[]);
        self.suspects.record(now.held as u64, &[]);
        self.limited.record(now.limited as u64, &[]);
        self.cordoned.record(now.cordoned as u64, &[]);
        self.cold.record(now.cold as u64, &[]);
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(|error| {
            ::log::warn!(error:% = error; "metrics can't be written");
            String::new()
        })
    }
}
