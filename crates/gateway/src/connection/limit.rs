//! Counts how often a limit on callers is reached, and logs it at a bounded rate.

use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use parking_lot::Mutex;

/// The shortest time between two lines of log about one limit.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A limit on what callers can make a process hold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Limit {
    /// Too many connections: one is closed, or a new one refused.
    #[display("connections")]
    Connections,
    /// Too many requests in progress: a new one is refused.
    #[display("requests")]
    Requests,
    /// Too much memory in bodies and answers: a body is refused, or an answer waits.
    #[display("payload")]
    Payload,
    /// The same: the connection of a caller that has stalled is closed.
    #[display("stalled")]
    Stalled,
    /// The head of a request is too long: it is refused, and its connection closed.
    #[display("head")]
    Head,
    /// Too many connections of other entries have not said who they are: the oldest is closed.
    #[display("greetings")]
    Greetings,
}

/// The number of limits.
const LIMITS: usize = 6;

/// What has not been logged of one limit.
#[derive(Clone, Copy, Debug, Default)]
struct Unlogged {
    count: u64,
    logged_at: Option<Instant>,
}

/// Counters over all limits of a process.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    counter: Counter<u64>,
    unlogged: Arc<Mutex<[Unlogged; LIMITS]>>,
}

impl Limits {
    /// Creates the counter with a meter.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = meter.u64_counter("fireflyhoist.caller_limits");
        let counter =
            counter.with_description("Times that a limit on callers was reached, by limit");
        Self { counter: counter.build(), unlogged: Arc::default() }
    }

    /// Records that a limit was reached.
    pub(crate) fn reached(&self, limit: Limit) {
        self.counter.add(1, &[KeyValue::new("limit", limit.to_string())]);
        let mut unlogged = self.unlogged.lock();
        let of_limit = &mut unlogged[limit as usize];
        of_limit.count += 1;
        if of_limit.logged_at.is_some_and(|logged_at| logged_at.elapsed() < LOG_INTERVAL) {
            return;
        }
        let count = std::mem::take(&mut of_limit.count);
        of_limit.logged_at = Some(Instant::now());
        log::warn!(limit:% = limit, count = count; "limit on callers reached");
    }
}
