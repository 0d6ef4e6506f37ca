//! How long the calls of a route take, by which an entry that shuts down decides whether another one
//! still ends in time.
//!
//! Calls that have ended say most. Calls that run say more where they take longer than all before:
//! after a change, the first of them ends only after many others have been sent.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::time::Time;

/// Number of ended calls that are kept.
const WINDOW: usize = 64;

/// Number of ended calls from which their durations are used.
const MIN_ENDED: usize = 4;

/// Quantile of the durations by which calls are judged that may be repeated.
const QUANTILE: f64 = 0.9;

/// For how many ended calls another one must still run before those that run are taken for slow: a few
/// hang at a target that has ended.
const ENDED_PER_RUNNING: u64 = 9;

/// What the durations of calls vary by, as a divisor, and in all.
const VARIATION_DIVISOR: u32 = 20;
const VARIATION: Duration = Duration::from_millis(100);

/// The durations of the calls of one route at one entry.
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    recent: VecDeque<Duration>,
    running: BTreeMap<Call, Running>,
    ended: u64,
    next: u64,
}

/// A call that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call(u64);

#[derive(Clone, Copy, Debug)]
struct Running {
    began_at: Time,
    /// Number of calls that had ended by then.
    ended: u64,
}

/// How long a call is expected to take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expected {
    /// By the calls that have ended; `None` while there are too few.
    pub ended: Option<Duration>,
    /// By those that run, which take at least as long.
    pub running: Duration,
}

impl CallTimes {
    /// Records that a call is sent to a target.
    pub fn begin(&mut self, now: Time) -> Call {
        let call = Call(self.next);
        self.next += 1;
        self.running.insert(call, Running { began_at: now, ended: self.ended });
        call
    }

    /// Records the end of a call, with a complete answer or not.
    pub fn end(&mut self, call: Call, now: Time, complete: bool) {
        let Some(running) = self.running.remove(&call).filter(|_| complete) else { return };
        self.ended += 1;
        if self.recent.len() == WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(now.since(running.began_at));
    }

    /// Returns how long another call is expected to take; one that must not be repeated as long as
    /// the longest.
    pub fn expected(&self, now: Time, repeatable: bool) -> Expected {
        Expected {
            ended: self.ended_quantile(if repeatable { QUANTILE } else { 1.0 }).map(with_variation),
            running: self.longest_running(now).map(with_variation).unwrap_or_default(),
        }
    }

    /// Returns whether no call runs.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    fn ended_quantile(&self, quantile: f64) -> Option<Duration> {
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        if sorted.len() < MIN_ENDED {
            return None;
        }
        sorted.sort_unstable();
        let at = ((sorted.len() - 1) as f64 * quantile).round() as usize;
        sorted.get(at).copied()
    }

    /// Returns for how long the oldest call has run since whose begin few have ended.
    fn longest_running(&self, now: Time) -> Option<Duration> {
        let left = (1..=self.running.len() as u64).rev();
        let mut running = left.zip(self.running.values());
        let (_, oldest) = running
            .find(|(left, running)| left * ENDED_PER_RUNNING >= self.ended - running.ended)?;
        Some(now.since(oldest.began_at))
    }
}

fn with_variation(time: Duration) -> Duration {
    time + time / VARIATION_DIVISOR + VARIATION
}
