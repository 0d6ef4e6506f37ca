//! Cold targets: targets that started recently and crash if all entries together send them more
//! than a certain number of requests a second.
//!
//! When a failure domain returns, its targets are the least loaded that any entry sees, and every
//! entry would send its queued requests there at once. Since the limit of a cold target is known in
//! advance, entries ask the entry that owns the target's [token bucket](crate::token_bucket) before
//! each send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::Start;
use crate::unit::RequestRate;

/// How the targets of a service warm up, as configured by its operators.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long a target is cold after it starts.
    pub lasts: Duration,
    /// Requests a second that a cold target takes.
    pub per_s: RequestRate,
}

/// The limit of a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second that it takes.
    pub per_s: RequestRate,
    /// The factor by which a single second may exceed `per_s`.
    pub excess: f64,
    /// Requests that a single second may have in addition to `per_s * excess`.
    pub margin: f64,
}

impl Limit {
    /// Returns the largest whole number of requests that the target may get in any second.
    pub fn max_per_second(&self) -> f64 {
        (self.per_s.get() * self.excess + self.margin).max(0.0).floor()
    }

    /// Returns the stricter of what two entries know of the limit of one target.
    pub fn strictest(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) if other.per_s.get() < one.per_s.get() => Some(other),
            (one, other) => one.or(other),
        }
    }
}

/// The cold state of one target, as entries announce it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The target.
    pub target: id::Target,
    /// The start of the target that this is about, if the target reports its start.
    pub start: Option<Start>,
    /// For how many milliseconds the target is still cold.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
    /// The requests a second that it takes meanwhile; `None` from entries that do not say.
    #[serde(default)]
    pub per_s: Option<RequestRate>,
}
