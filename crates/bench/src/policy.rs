//! What the driver asks of a way of sending.

use std::time::Duration;

use fireflyhoist_policy::fleet_share::Shares;
use fireflyhoist_policy::gate::{Outcome, Report, Request, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use rand_chacha::ChaCha8Rng;

/// One entry's way of sending; it sees what an entry sees and nothing else.
pub trait Policy {
    /// Replaces the targets.
    fn set_targets(&mut self, now: Time, targets: Vec<id::Target>);

    /// Takes in a load report that was taken `age` ago.
    fn report(&mut self, now: Time, target: &id::Target, report: &Report, age: Duration);

    /// Decides on a request.
    fn offer(&mut self, now: Time, rng: &mut ChaCha8Rng, ask: Request) -> Verdict;

    /// Learns how far a request has come.
    fn progress(&mut self, _now: Time, _request: id::Request, _produced: Tokens) {}

    /// Learns how an attempt ended.
    fn finish(&mut self, now: Time, request: id::Request, outcome: Outcome);

    /// Decides on queued requests.
    fn poll(&mut self, _now: Time, _rng: &mut ChaCha8Rng) -> Vec<(id::Request, Verdict)> {
        Vec::new()
    }

    /// Returns what it announces to the other entries about the use of workspaces.
    fn shares(&mut self, _now: Time) -> Option<Shares> {
        None
    }

    /// Learns what workspaces use at all other entries.
    fn set_others(&mut self, _now: Time, _others: Shares) {}
}
