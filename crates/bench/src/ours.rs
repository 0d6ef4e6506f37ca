//! The gate that the daemon runs, as the driver sees it.

use std::time::Duration;

use fireflyhoist_policy::fleet_share::Shares;
use fireflyhoist_policy::gate::{Gate, Outcome, Report, Request, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand_chacha::ChaCha8Rng;

use crate::policy::Policy;

/// One entry's gate.
#[derive(Debug)]
pub struct Ours(Gate);

impl Ours {
    /// Wraps a gate that was opened for one of the entries.
    pub fn open(gate: Gate) -> Self {
        Self(gate)
    }
}

impl Policy for Ours {
    fn set_targets(&mut self, now: Time, targets: Vec<id::Target>) {
        self.0.set_targets(now, targets);
    }

    fn report(&mut self, now: Time, target: &id::Target, report: &Report, age: Duration) {
        self.0.report(now, target, report, age);
    }

    fn offer(&mut self, now: Time, rng: &mut ChaCha8Rng, ask: Request) -> Verdict {
        self.0.offer(now, rng, ask)
    }

    fn progress(&mut self, now: Time, request: id::Request, produced: Tokens) {
        self.0.progress(now, request, produced);
    }

    fn finish(&mut self, now: Time, request: id::Request, outcome: Outcome) {
        self.0.finish(now, request, outcome);
    }

    fn poll(&mut self, now: Time, rng: &mut ChaCha8Rng) -> Vec<(id::Request, Verdict)> {
        self.0.poll(now, rng)
    }

    fn shares(&mut self, now: Time) -> Option<Shares> {
        Some(self.0.shares(now))
    }

    fn set_others(&mut self, now: Time, others: Shares) {
        self.0.set_others(now, others);
    }
}
