//! From whom a newer text is fetched, and when another neighbour is asked instead.

use std::time::Duration;

use crate::id;
use crate::time::Time;
use crate::version::Stamp;

/// How long one neighbour may take for one step before another is asked: two heartbeats.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// One fetch at a time, from one neighbour at a time.
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
    /// A neighbour announced a version that is wanted; whether to ask it for the manifest.
    pub fn start(&mut self, now: Time, from: &id::Host, stamp: S) -> bool {
        // The failure: the neighbour died or its link fell silent during a fetch, and the version
        // never arrives here. After the patience any neighbour's next heartbeat begins anew.
        let busy = |job: &Job<S>| job.stamp >= stamp && now.since(job.asked_at) < STEP_TIMEOUT;
        if self.job.as_ref().is_some_and(busy) {
            return false;
        }
        self.job = Some(Job { from: from.clone(), stamp, asked_at: now });
        true
    }

    /// Whether an answer comes from the neighbour that was asked and carries at least the version
    /// that it announced; if so, its patience begins anew.
    pub fn accept(&mut self, now: Time, from: &id::Host, stamp: S) -> bool {
        match self.job.as_mut() {
            Some(job) if job.from == *from && stamp >= job.stamp => {
                job.asked_at = now;
                true
            }
            _ => false,
        }
    }

    /// Whether this neighbour is the one that is asked.
    pub fn is_from(&self, neighbour: &id::Host) -> bool {
        self.job.as_ref().is_some_and(|job| job.from == *neighbour)
    }

    /// A version came from elsewhere: a fetch of one that is no newer ends.
    pub fn cancel_superseded(&mut self, stamp: S) {
        self.job.take_if(|job| job.stamp <= stamp);
    }

    /// Whether any neighbour is asked.
    pub fn is_open(&self) -> bool {
        self.job.is_some()
    }

    /// The fetch has ended, whole or in vain.
    pub fn end(&mut self) {
        self.job = None;
    }
}
