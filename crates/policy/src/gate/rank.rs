//! Ranks of waiting requests, displacement from a full queue, and requests that were refused before.

use std::time::Duration;

use rand::Rng;

use super::{FIRST_TOKEN, Gate, RETRY_AFTER, WAIT_FACTOR, refuse};
use crate::id;
use crate::request::{Class, Reason, Request, Verdict};
use crate::resubmission::Resubmission;
use crate::time::Time;

/// From this number of refusals on, a request waits until its deadline whatever the forecast says.
/// A forecast can be wrong, and a caller must not be sent away again and again by it.
const MAX_REFUSALS: u32 = 2;

/// Returns the predicted time to the first token of a request that would wait for `queued`; `None`
/// if it is unknown, or for requests that were refused before. The drain rate of the queue says
/// little about these: in simulations, it refused one in five of those that came back where four in
/// five were served.
pub(super) fn wait_for(
    queued: Option<Duration>,
    earlier: Option<Resubmission>,
) -> Option<Duration> {
    let queued = queued.filter(|_| earlier.is_none())?;
    Some(queued.mul_f64(WAIT_FACTOR) + FIRST_TOKEN)
}

impl Gate {
    /// Changes the ranks of waiting requests to those that `rank` returns for them.
    pub fn update_ranks(&mut self, rank: impl Fn(id::Request) -> Option<u8>) {
        self.queue.update_ranks(rank);
    }

    /// Takes the refusals of requests that were displaced from the queue since the last call.
    pub fn take_displaced(&mut self) -> Vec<(id::Request, Verdict)> {
        std::mem::take(&mut self.displaced)
    }

    /// Makes place in a full queue for a request of this rank; returns whether there is one.
    pub(super) fn displace(&mut self, rng: &mut impl Rng, rank: u8) -> bool {
        let Some(item) = self.queue.displace(rank) else { return false };
        let wait = self.drain.wait(item.work).unwrap_or(RETRY_AFTER.0);
        self.displaced.push((item.request.id, refuse(rng, Reason::QueueFull, wait)));
        true
    }

    /// Refuses a request that was refused before and can't be expected to begin before its
    /// deadline, with the time after which there is capacity for it.
    pub(super) fn refuse_returned(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: &Request,
        earlier: Resubmission,
    ) -> Option<Verdict> {
        if request.class != Class::Spare || earlier.refusals >= MAX_REFUSALS {
            return None;
        }
        let wait = self.forecast.refuse(request.rank, request.deadline.since(now))?;
        Some(refuse(rng, Reason::Deadline, wait))
    }

    /// Refuses waiting requests that were refused before and whose deadlines have passed, with the
    /// time after which there is capacity for them.
    pub(super) fn expire_returned(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        decided: &mut Vec<(id::Request, Verdict)>,
    ) {
        if !self.settings.ranks {
            return;
        }
        for (request, rank) in self.queue.returned_overdue(now) {
            if self.queue.remove(request).is_some() {
                decided.push((request, refuse(rng, Reason::Deadline, self.forecast.wait(rank))));
            }
        }
    }

    /// Counts the time for which late requests have waited.
    pub(super) fn advance_forecast(&mut self, now: Time) {
        self.forecast.advance(now, self.queue.late());
    }
}
