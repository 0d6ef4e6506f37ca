//! Metrics of the traffic on links between entries.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// Counters over all links of a process.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    frames: Counter<u64>,
    bytes: Counter<u64>,
    dropped: Counter<u64>,
    lost: Counter<u64>,
}

impl Traffic {
    /// Creates the counters with a meter.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        Self {
            frames: counter("fireflyhoist.link_frames", "Frames of links by way and frame"),
            bytes: counter("fireflyhoist.link_bytes", "Bytes of links by way and frame"),
            dropped: counter("fireflyhoist.link_frames_dropped", "Frames not sent, by frame"),
            lost: counter("fireflyhoist.links_lost", "Links that ended, by reason"),
        }
    }

    pub(crate) fn sent(&self, frame: &'static str, bytes: usize) {
        self.count("sent", frame, bytes);
    }

    pub(crate) fn received(&self, frame: &'static str, bytes: usize) {
        self.count("received", frame, bytes);
    }

    pub(crate) fn dropped(&self, frame: &'static str) {
        self.dropped.add(1, &[KeyValue::new("frame", frame)]);
    }

    pub(crate) fn lost(&self, reason: &'static str) {
        self.lost.add(1, &[KeyValue::new("reason", reason)]);
    }

    fn count(&self, way: &'static str, frame: &'static str, bytes: usize) {
        let labels = [KeyValue::new("way", way), KeyValue::new("frame", frame)];
        self.frames.add(1, &labels);
        self.bytes.add(bytes as u64, &labels);
    }
}
