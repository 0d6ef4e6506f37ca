//! Which neighbour a newer text is fetched from, and when to switch to another.

use std::time::Duration;

use crate::id;
use crate::time::Time;
use crate::version::Stamp;

/// How long a neighbour may take for one step before another one may be asked: longer than one
/// heartbeat interval of members, 1.5 s.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// A single fetch from a single neighbour at a time.
#[derive(Clone, Debug)]
pub struct Fetch<S = Stamp> {
    job: Option<Job<S>>,
}

impl<S> Default for Fetch<S> {
    fn default() -> Self {
        Self { job: None }
    }
}

#[derive(Clone, Debug)]
struct Job<S> {
    from: id::Host,
    stamp: S,
    asked_at: Time,
}

impl<S: Copy + Ord> Fetch<S> {
    /// Handles the announcement of a wanted version. Returns whether to start a fetch from this
    /// neighbour; while another fetch is running and has not timed out, only for a newer version.
    pub fn start(&mut self, now: Time, from: &id::Host, stamp: S) -> bool {
        // A neighbour may die or its link go silent during a fetch, and the version would never
        // arrive. After the timeout the next heartbeat of any neighbour starts the fetch again.
        let busy = |job: &Job<S>| job.stamp >= stamp && now.since(job.asked_at) < STEP_TIMEOUT;
        if self.job.as_ref().is_some_and(busy) {
            return false;
        }
        self.job = Some(Job { from: from.clone(), stamp, asked_at: now });
        true
    }

    /// Returns whether an answer comes from the neighbour that was asked and carries at least the
    /// version that it announced. If so, the timeout starts again.
    pub fn accept(&mut self, now: Time, from: &id::Host, stamp: S) -> bool {
        match self.job.as_mut() {
            Some(job) if job.from == *from && stamp >= job.stamp => {
                job.asked_at = now;
                true
            }
            _ => false,
        }
    }

    /// Returns whether the fetch is from this neighbour.
    pub fn is_from(&self, neighbour: &id::Host) -> bool {
        self.job.as_ref().is_some_and(|job| job.from == *neighbour)
    }

    /// Ends the fetch if it is for a version no newer than `stamp`, which has arrived from
    /// elsewhere.
    pub fn cancel_superseded(&mut self, stamp: S) {
        self.job.take_if(|job| job.stamp <= stamp);
    }

    /// Returns whether a fetch is running.
    pub fn is_open(&self) -> bool {
        self.job.is_some()
    }

    /// Ends the fetch, whether it succeeded or failed.
    pub fn end(&mut self) {
        self.job = None;
    }
}
