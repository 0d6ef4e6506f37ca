//! OpenTelemetry metrics, served over HTTP in the Prometheus text format.
//!
//! Counters are updated with each event, gauges with each scrape. Labels are services and measures
//! only, never workspaces or callers, so that the size of a scrape does not grow with their number.

use std::time::Duration;

use fireflyhoist_policy::burn::{Measure, Tally};
use fireflyhoist_policy::id;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bucket bounds of the first-token histogram in seconds, dense around the objective of 0.34 s.
const FIRST_TOKEN_BOUNDS: [f64; 11] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.5, 10.0, 60.0];

/// The metrics of one process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Kept alive because instruments stop working when their provider is dropped.
    _provider: SdkMeterProvider,
    total: Counter<u64>,
    bad: Counter<u64>,
    first_token: Histogram<f64>,
    open: Gauge<u64>,
    revision: Gauge<u64>,
    leaving: Gauge<u64>,
    refused: Gauge<u64>,
    hosts: Gauge<u64>,
}

/// The values of the gauges at the time of a scrape.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Levels {
    /// The number of requests in flight.
    pub(crate) open: usize,
    /// The revision of the version in force; 0 before the first.
    pub(crate) revision: u64,
    /// Whether this host accepts no new work.
    pub(crate) leaving: bool,
    /// Whether the text read last was refused.
    pub(crate) refused: bool,
    /// The number of entry hosts that the host list names as live.
    pub(crate) hosts: usize,
}

impl Metrics {
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
        let gauge = |name: &'static str, what: &'static str| {
            meter.u64_gauge(name).with_description(what).build()
        };
        let counter = |name: &'static str, what: &'static str| {
            meter.u64_counter(name).with_description(what).build()
        };
        Some(Self {
            total: counter("fireflyhoist.slo.events", "All of a measure, by service"),
            bad: counter("fireflyhoist.slo.bad_events", "The bad part of a measure, by service"),
            first_token: meter
                .f64_histogram("fireflyhoist.first_token")
                .with_unit("s")
                .with_description("From a request's arrival to its first token, by service")
                .with_boundaries(FIRST_TOKEN_BOUNDS.to_vec())
                .build(),
            open: gauge("fireflyhoist.open_requests", "Requests in progress"),
            revision: gauge("fireflyhoist.revision", "Revision of the text in force"),
            leaving: gauge("fireflyhoist.leaving", "1 while this host takes no new work"),
            refused: gauge("fireflyhoist.text_refused", "1 while the published text is refused"),
            hosts: gauge("fireflyhoist.live_hosts", "Entry hosts listed as live"),
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn tally(&self, service: &id::Service, tally: &Tally) {
        for measure in Measure::ALL {
            let count = tally.get(measure);
            if count.total == 0 {
                continue;
            }
            let labels = [
                KeyValue::new("service", service.to_string()),
                KeyValue::new("measure", label(measure)),
            ];
            self.total.add(count.total, &labels);
            self.bad.add(count.bad, &labels);
        }
    }

    pub(crate) fn first_token(&self, service: &id::Service, elapsed: Duration) {
        let labels = [KeyValue::new("service", service.to_string())];
        self.first_token.record(elapsed.as_secs_f64(), &labels);
    }

    /// Records the gauges and renders all metrics in the text format.
    pub(crate) fn page(&self, levels: Levels) -> String {
        self.open.record(levels.open as u64, &[]);
        self.revision.record(levels.revision, &[]);
        self.leaving.record(levels.leaving.into(), &[]);
        self.refused.record(levels.refused.into(), &[]);
        self.hosts.record(levels.hosts as u64, &[]);
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// Returns a measure's label value.
fn label(measure: Measure) -> &'static str {
    match measure {
        Measure::Stall => "stall_microseconds",
        Measure::Preemption => "preemptions",
        Measure::BetweenTokens => "between_tokens",
        Measure::FirstToken => "first_token",
        Measure::Refusal => "refusals",
    }
}
