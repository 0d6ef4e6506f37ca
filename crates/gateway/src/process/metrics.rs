//! Counters, gauges and latency histograms of OpenTelemetry, exported in the Prometheus text
//! format.
//!
//! Labels are kinds of requests, ranks and outcomes only, never workspaces or callers, so that the number
//! of time series does not grow with either.

use std::time::{Duration, Instant};

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::Reason;
use fireflyhoist_policy::reservation;
use ntex::util::Bytes;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use parking_lot::Mutex;
use prometheus::{Registry, TextEncoder};

use crate::connection::limit::Limits;
use crate::connection::traffic::Traffic;
use crate::request::liveness::Status;

/// Bucket bounds of latency histograms in seconds, dense around the objectives in use.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1.0, 1.8, 5.0, 15.0, 60.0];

/// The highest rank that has a label of its own; higher ones are counted with it.
const MAX_RANK_LABEL: u8 = 15;

/// The current values of the gauges.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GaugeValues {
    /// Whether the entry reaches no target.
    pub(crate) isolated: bool,
    /// Requests in flight.
    pub(crate) open: usize,
    /// The revision of the text in force.
    pub(crate) revision: u64,
    /// How often the registry was restored from a copy.
    pub(crate) era: u64,
    /// Requests that are suspected to crash their targets.
    pub(crate) held: usize,
    /// Targets that advertise a limit.
    pub(crate) limited: usize,
    /// Cordoned failure domains.
    pub(crate) cordoned: usize,
    /// Cold targets, which have started recently.
    pub(crate) cold: usize,
    /// Entries that the directory leaves out of answers.
    pub(crate) left_out: usize,
    /// Targets where a prompt would put running answers at risk.
    pub(crate) at_risk: usize,
    /// Workspaces that hold far more than an equal part, by service.
    pub(crate) heavy: usize,
    /// Bytes of bodies and answers.
    pub(crate) payload: usize,
}

/// The metrics of one process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Instruments stop working when their provider is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    sends: Counter<u64>,
    broken_runs: Counter<u64>,
    held_back: Counter<u64>,
    reservations: Counter<u64>,
    registry_restores: Counter<u64>,
    older_eras_refused: Counter<u64>,
    limited_sends: Counter<u64>,
    carried: Counter<u64>,
    relayed: Counter<u64>,
    registry_calls: Counter<u64>,
    long_pauses: Counter<u64>,
    answer_begins: Histogram<f64>,
    refusals: Counter<u64>,
    waits: Histogram<f64>,
    era: Gauge<u64>,
    held_requests: Gauge<u64>,
    limited: Gauge<u64>,
    cordoned: Gauge<u64>,
    cold: Gauge<u64>,
    left_out: Gauge<u64>,
    at_risk: Gauge<u64>,
    heavy: Gauge<u64>,
    open: Gauge<u64>,
    isolated: Gauge<u64>,
    revision: Gauge<u64>,
    held_payload: Gauge<u64>,
    traffic: Traffic,
    limits: Limits,
    /// The latest page, and when it was made.
    page: Mutex<Option<(Instant, Bytes)>>,
}

/// How long a page of metrics is served again: to make one takes milliseconds.
const PAGE_AGE: Duration = Duration::from_millis(100);

impl Metrics {
    /// Creates the metrics; `None` if the exporter can't be set up.
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
            sends: counter("fireflyhoist.sends", "Requests sent to targets, by failure domain"),
            broken_runs: counter(
                "fireflyhoist.broken_runs",
                "Runs that broke off, by what became of the target",
            ),
            limited_sends: counter(
                "fireflyhoist.limited_sends",
                "Requests for targets that take only so much, by reason and decision",
            ),
            reservations: counter(
                "fireflyhoist.reservations",
                "Reservations of prefill that were requested, by outcome",
            ),
            registry_restores: counter(
                "fireflyhoist.registry_restores",
                "Times that the registry came back from a copy",
            ),
            older_eras_refused: counter(
                "fireflyhoist.older_eras_refused",
                "Lists of an earlier era that were refused",
            ),
            held_back: counter(
                "fireflyhoist.held_back",
                "Requests under which targets ended, by decision",
            ),
            carried: counter("fireflyhoist.carried", "Answers carried to another target, by way"),
            relayed: counter(
                "fireflyhoist.relayed",
                "Connections that an isolated entry requested of others, by outcome",
            ),
            long_pauses: counter(
                "fireflyhoist.long_pauses",
                "Pauses in answers that were longer than their route allows",
            ),
            registry_calls: counter("fireflyhoist.registry_calls", "Calls of the registry"),
            answer_begins: meter
                .f64_histogram("fireflyhoist.answer_begins")
                .with_unit("s")
                .with_description("From a request's arrival to the head of its answer, by kind")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            refusals: counter(
                "fireflyhoist.refusals",
                "Requests that were refused for lack of capacity, by rank and reason",
            ),
            waits: meter
                .f64_histogram("fireflyhoist.waits")
                .with_unit("s")
                .with_description("From the arrival of a generation to its placement, by rank")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            limited: gauge("fireflyhoist.limited_targets", "Targets that name a limit"),
            at_risk: gauge(
                "fireflyhoist.targets_at_risk",
                "Targets where a prompt would interrupt answers for too long",
            ),
            cold: gauge("fireflyhoist.cold_targets", "Targets that are cold"),
            left_out: gauge(
                "fireflyhoist.entries_left_out",
                "Entries that the directory leaves out of answers because of their load",
            ),
            heavy: gauge(
                "fireflyhoist.heavy_workspaces",
                "Workspaces that hold far more than an equal part of the memory in use",
            ),
            cordoned: gauge("fireflyhoist.cordoned_domains", "Failure domains that are cordoned"),
            era: gauge(
                "fireflyhoist.registry_era",
                "How often the registry came back from a copy, as it says",
            ),
            held_requests: gauge(
                "fireflyhoist.held_requests",
                "Requests known to end their targets",
            ),
            open: gauge("fireflyhoist.open_requests", "Requests in progress"),
            isolated: gauge("fireflyhoist.isolated", "1 while the entry reaches no target"),
            revision: gauge("fireflyhoist.revision", "Revision of the text in force"),
            held_payload: gauge(
                "fireflyhoist.held_payload_bytes",
                "Memory of bodies and answers that are held",
            ),
            traffic: Traffic::new(&meter),
            limits: Limits::new(&meter),
            page: Mutex::default(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request, and records the time from its arrival to the head of its answer.
    pub(crate) fn request(&self, kind: &'static str, status: u16, elapsed: Duration) {
        let kind = KeyValue::new("kind", kind);
        self.answer_begins.record(elapsed.as_secs_f64(), std::slice::from_ref(&kind));
        self.requests.add(1, &[kind, KeyValue::new("status", i64::from(status))]);
    }

    /// Counts a refusal by the gate.
    pub(crate) fn refusal(&self, rank: u8, reason: Reason) {
        self.refusals.add(1, &[rank_label(rank), KeyValue::new("reason", reason.to_string())]);
    }

    /// Records the time from the arrival of a generation to its placement.
    pub(crate) fn wait(&self, rank: u8, elapsed: Duration) {
        self.waits.record(elapsed.as_secs_f64(), &[rank_label(rank)]);
    }

    /// Counts an attempt at a target.
    pub(crate) fn attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that was sent to a target, in the failure domain of this entry or another.
    pub(crate) fn sent(&self, is_near: bool) {
        let domain = if is_near { "own" } else { "other" };
        self.sends.add(1, &[KeyValue::new("domain", domain)]);
    }

    /// Counts a run that broke off, by the status of its target.
    pub(crate) fn broken_run(&self, status: Status) {
        self.broken_runs.add(1, &[KeyValue::new("target", status.to_string())]);
    }

    /// Counts a decision on a request for a limited or cold target.
    pub(crate) fn limited_send(&self, why: Exclusion, decision: &'static str) {
        let why = KeyValue::new("target", why.to_string());
        self.limited_sends.add(1, &[why, KeyValue::new("decision", decision)]);
    }

    /// Counts a request for a reservation of prefill.
    pub(crate) fn reservation(&self, outcome: reservation::Outcome) {
        self.reservations.add(1, &[KeyValue::new("outcome", outcome.to_string())]);
    }

    /// Counts a restore of the registry from a copy.
    pub(crate) fn registry_restore(&self) {
        self.registry_restores.add(1, &[]);
    }

    /// Counts a list of an earlier era that was refused.
    pub(crate) fn older_era_refused(&self) {
        self.older_eras_refused.add(1, &[]);
    }

    /// Counts a decision on a request that is suspected to crash its target.
    pub(crate) fn held_back(&self, decision: &'static str) {
        self.held_back.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Counts an answer that continued at another target, by the way it got there.
    pub(crate) fn carried(&self, way: &'static str) {
        self.carried.add(1, &[KeyValue::new("way", way)]);
    }

    /// Counts a connection that was requested of other entries, by outcome.
    pub(crate) fn relayed(&self, outcome: &'static str) {
        self.relayed.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call of the registry.
    pub(crate) fn registry_call(&self) {
        self.registry_calls.add(1, &[]);
    }

    /// Counts a pause in an answer that was longer than its route allows.
    pub(crate) fn long_pause(&self) {
        self.long_pauses.add(1, &[]);
    }

    /// Returns the counters of traffic on links.
    pub(crate) fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns the counters of limits on callers.
    pub(crate) fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns all metrics in the text format, with the given values of the gauges, or those of a moment
    /// ago.
    pub(crate) fn page(&self, gauges: impl FnOnce() -> GaugeValues) -> Bytes {
        let mut latest = self.page.lock();
        if let Some((made_at, page)) = &*latest
            && made_at.elapsed() < PAGE_AGE
        {
            return page.clone();
        }
        let page = Bytes::from(self.encode(gauges()));
        *latest = Some((Instant::now(), page.clone()));
        page
    }

    fn encode(&self, gauges: GaugeValues) -> String {
        self.open.record(gauges.open as u64, &[]);
        self.isolated.record(u64::from(gauges.isolated), &[]);
        self.revision.record(gauges.revision, &[]);
        self.era.record(gauges.era, &[]);
        self.held_requests.record(gauges.held as u64, &[]);
        self.limited.record(gauges.limited as u64, &[]);
        self.cordoned.record(gauges.cordoned as u64, &[]);
        self.cold.record(gauges.cold as u64, &[]);
        self.left_out.record(gauges.left_out as u64, &[]);
        self.at_risk.record(gauges.at_risk as u64, &[]);
        self.heavy.record(gauges.heavy as u64, &[]);
        self.held_payload.record(gauges.payload as u64, &[]);
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(|error| {
            ::log::warn!(error:% = error; "metrics can't be encoded");
            String::new()
        })
    }
}

fn rank_label(rank: u8) -> KeyValue {
    KeyValue::new("rank", i64::from(rank.min(MAX_RANK_LABEL)))
}
