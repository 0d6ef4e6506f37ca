//! Targets that are cold: they started a short while ago, and more than so many requests a second from all
//! entries together make them crash.
//!
//! Pattern `cold-return`: a failure domain comes back at once, its targets look emptiest to every entry,
//! and each sends there what it has waiting. A cold target is one whose limit is known beforehand: entries ask
//! the one that [keeps its bucket](crate::token_bucket) before each send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::Start;
use crate::unit::RequestRate;

/// How a service's targets start, as its operators declare it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long a target is cold after its start.
    pub lasts: Duration,
    /// Requests a second that it takes meanwhile.
    pub per_s: RequestRate,
}

/// What a cold target may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second that it takes.
    pub per_s: RequestRate,
    /// How many times that it may get in one second.
    pub excess: f64,
    /// Requests that it may get in one second beyond that.
    pub margin: f64,
}

impl Limit {
    /// The most requests that it may get in any second.
    pub fn max_per_second(&self) -> f64 {
        (self.per_s.get() * self.excess + self.margin).max(0.0).floor()
    }
}

/// What one entry tells another of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The target.
    pub target: id::Target,
    /// Which start of it.
    pub start: Option<Start>,
    /// For how many milliseconds it stays cold.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
}
