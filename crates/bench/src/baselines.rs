//! What the users would otherwise run: senders without a queue, before the engine's own queue.

use std::time::Duration;

use fireflyhoist_policy::gate::{Outcome, Reason, Refusal, Report, Request, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::policy::Policy;

fn refuse() -> Verdict {
    let retry_after = Duration::from_secs(1);
    Verdict::Refuse(Refusal { reason: Reason::NoTarget, retry_after })
}

/// Sends to each target in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    targets: Vec<id::Target>,
    next: usize,
}

impl RoundRobin {
    /// Opens the sender of one entry; entries begin at different targets.
    pub fn open(entry: usize) -> Self {
        Self { targets: Vec::new(), next: entry }
    }
}

impl Policy for RoundRobin {
    fn set_targets(&mut self, _now: Time, targets: Vec<id::Target>) {
        self.targets = targets;
    }

    fn report(&mut self, _now: Time, _target: &id::Target, _report: &Report, _age: Duration) {}

    fn offer(&mut self, _now: Time, _rng: &mut ChaCha8Rng, ask: Request) -> Verdict {
        for _ in 0..2 {
            self.next = self.next.wrapping_add(1);
            let at = self.next % self.targets.len().max(1);
            match self.targets.get(at) {
                Some(target) if Some(target) != ask.avoid.as_ref() => {
                    return Verdict::Send(target.clone());
                }
                _ => {}
            }
        }
        refuse()
    }

    fn finish(&mut self, _now: Time, _request: id::Request, _outcome: Outcome) {}
}

/// Sends to the target with the fewest streams on its latest report, however old that is.
#[derive(Debug, Default)]
pub struct LeastLoaded {
    targets: Vec<(id::Target, u32)>,
}

impl LeastLoaded {
    /// Opens the sender of one entry.
    pub fn open(_entry: usize) -> Self {
        Self::default()
    }
}

impl Policy for LeastLoaded {
    fn set_targets(&mut self, _now: Time, targets: Vec<id::Target>) {
        let old = std::mem::take(&mut self.targets);
        let load = |t: &id::Target| old.iter().find(|(o, _)| o == t).map_or(0, |(_, load)| *load);
        self.targets = targets.into_iter().map(|t| (t.clone(), load(&t))).collect();
    }

    fn report(&mut self, _now: Time, target: &id::Target, report: &Report, _age: Duration) {
        if let Some(slot) = self.targets.iter_mut().find(|(t, _)| t == target) {
            slot.1 = report.running + report.waiting;
        }
    }

    fn offer(&mut self, _now: Time, rng: &mut ChaCha8Rng, ask: Request) -> Verdict {
        let usable = || self.targets.iter().filter(|(t, _)| Some(t) != ask.avoid.as_ref());
        let Some(least) = usable().map(|(_, load)| *load).min() else { return refuse() };
        let ties: Vec<&id::Target> =
            usable().filter(|(_, load)| *load == least).map(|(t, _)| t).collect();
        Verdict::Send(ties[rng.random_range(0..ties.len())].clone())
    }

    fn finish(&mut self, _now: Time, _request: id::Request, _outcome: Outcome) {}
}
