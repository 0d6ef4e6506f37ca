//! What a chosen request needs and what its target has room for, and requests that are deferred
//! after their target was chosen.

use std::time::Duration;

use rand::Rng;

use crate::curve::Curve;
use crate::gate::pace::Choice;
use crate::gate::{Gate, Outcome, RETRY_AFTER, Reason, Verdict, is_lookup, refuse};
use crate::id;
use crate::queue::Item;
use crate::reservation::{Demand, Room};
use crate::time::Time;
use crate::unit::Tokens;

/// How long queued requests wait after owners deferred one of them as often as they may be asked.
const QUEUE_PAUSE: Duration = Duration::from_millis(20);

impl Gate {
    /// Returns what a running request needs at its target; `None` if it needs no reservation.
    pub fn demand(&self, now: Time, request: id::Request) -> Option<Demand> {
        let running = self.running.get(&request).filter(|running| !is_lookup(&running.request))?;
        let class = running.request.class;
        let memory = &self.targets[running.target].memory;
        let (memory, spare) = memory.increment(now, class, &running.curve);
        Some(Demand {
            class,
            prompt: running.request.prompt,
            memory: Tokens::new(memory as u64),
            spare: Tokens::new(spare as u64),
            mean_prompt: Tokens::new(self.mean_prompt.ceil() as u64),
        })
    }

    /// Returns what a target has room for in addition to what is known to run there, without the
    /// running request `own`, which a reservation is wanted for; `None` if the target is unknown.
    pub fn room(&self, target: &id::Target, own: Option<id::Request>) -> Option<Room> {
        let at = *self.index.get(target)?;
        let state = &self.targets[at];
        let own = own.and_then(|id| self.running.get(&id)).filter(|running| running.target == at);
        let (curve, prompt) = own
            .map_or((Curve::default(), 0), |running| (running.curve, running.request.prompt.get()));
        Some(Room {
            unread: Tokens::new(state.all_unread().saturating_sub(prompt)),
            mean_prompt: Tokens::new(self.mean_prompt.ceil() as u64),
            free: Tokens::new(state.memory.free_without(&curve) as u64),
            idle: state.memory.is_idle_without(u32::from(own.is_some())),
        })
    }

    /// Takes back a request that was chosen for a target and not sent, because the target's owner
    /// deferred it, and places no prompt there for `wait`.
    ///
    /// This is no suspension: migrations and answers that go on after an earlier run still use the
    /// target. With `draw`, another target is chosen at once if one has room. Otherwise the request
    /// waits before all others of its workspace, since it had its turn. Without `draw` the whole
    /// queue waits for [`QUEUE_PAUSE`]: this entry sees room that owners do not see, and would ask
    /// again with each announcement.
    pub fn defer(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: id::Request,
        wait: Duration,
        draw: bool,
    ) -> Verdict {
        let Some(running) = self.running.get(&request) else {
            return refuse(rng, Reason::NoTarget, RETRY_AFTER.0);
        };
        let (request, at, waited) = (running.request.clone(), running.target, running.waited);
        self.targets[at].deferred_until = now + wait;
        self.finish(now, request.id, Outcome::Cancelled);
        let request = self.classify(now, request);
        let (id, work, curve) = (request.id, self.work(&request), self.curve(&request, 0));
        if draw && let Choice::At(at) = self.place(now, rng, &request, &curve) {
            let verdict = self.send(now, at, request, work);
            self.running.entry(id).and_modify(|running| running.waited = waited);
            return verdict;
        }
        if !draw {
            self.deferred_until = now + QUEUE_PAUSE;
        }
        self.drain.advance(now, !self.queue.is_empty());
        if waited {
            self.drain.take_back(work);
        }
        self.queue.put_back(now, Item { request, work }, waited);
        Verdict::Wait
    }
}
