//! Whose answer leaves an engine next.
//!
//! **Load pattern** (`reclaim`): an engine that is taken back holds answers of several entries, and
//! each must be copied over the engine's one link in the second or two that are left.
//!
//! **Without it.** Every entry begins at once. All copies share the link's queue, so the last part
//! of each, for which its answer stands still, waits behind the first parts of all others: measured
//! pauses of 0.2 to 1.4 s, where 0.18 s is still on time. **With it** one answer at a time is
//! copied and stops only for its own last part, 20 to 40 ms on an idle link.
//!
//! One entry keeps the queue of each engine, by rendezvous among those that it sees. Two may keep
//! it for a moment; then two copies share the link, which is slow and not wrong. Nothing is lost
//! with the queue: whoever hears nothing goes ahead on its own.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;
use crate::time::Time;
use crate::unit::Tokens;

/// How long a queue collects before its first turn: entries learn that an engine leaves within a
/// few milliseconds of each other, and the order matters more than these.
const GATHER: Duration = Duration::from_millis(12);

/// How long a turn may last before the next begins all the same: a full engine's memory takes less
/// over an idle link within a failure domain, and who holds the turn may be gone.
const LONGEST: Duration = Duration::from_millis(900);

/// One answer that waits to be copied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Migration {
    /// The entry that it belongs to.
    pub entry: id::Host,
    /// Its request.
    pub request: SmolStr,
    /// Tokens that it is expected to produce still. The longest goes first: it is the most certain
    /// to be cut if it stays, and the most is lost with it.
    pub left: Tokens,
}

#[derive(Debug, Default)]
struct Queue {
    since: Time,
    waiting: Vec<Migration>,
    holder: Option<(Migration, Time)>,
}

impl Queue {
    fn next(&mut self, now: Time) -> Option<Migration> {
        if now.since(self.since) < GATHER {
            return None;
        }
        if self.holder.as_ref().is_some_and(|(_, since)| now.since(*since) < LONGEST) {
            return None;
        }
        let longest = self.waiting.iter().enumerate().max_by_key(|(_, ask)| ask.left);
        let at = longest.map(|(at, _)| at)?;
        let ask = self.waiting.swap_remove(at);
        self.holder = Some((ask.clone(), now));
        Some(ask)
    }

    fn is_over(&self, now: Time) -> bool {
        let held = self.holder.as_ref().is_some_and(|(_, since)| now.since(*since) < LONGEST);
        self.waiting.is_empty() && !held
    }
}

/// The queues that this entry keeps.
#[derive(Debug, Default)]
pub struct Queues {
    queues: BTreeMap<id::Target, Queue>,
}

impl Queues {
    /// Opens without a queue.
    pub fn open() -> Self {
        Self::default()
    }

    /// Takes an answer into the queue of its engine.
    pub fn ask(&mut self, now: Time, engine: &id::Target, ask: Migration) {
        let queue = self
            .queues
            .entry(engine.clone())
            .or_insert_with(|| Queue { since: now, ..Queue::default() });
        queue.waiting.push(ask);
    }

    /// Notes that an answer has been copied, or needs no copy any more.
    pub fn done(&mut self, engine: &id::Target, request: &str) {
        let Some(queue) = self.queues.get_mut(engine) else { return };
        queue.waiting.retain(|ask| ask.request != request);
        if queue.holder.as_ref().is_some_and(|(ask, _)| ask.request == request) {
            queue.holder = None;
        }
    }

    /// Hands out the turns that are due and forgets queues that are over.
    pub fn poll(&mut self, now: Time) -> Vec<(id::Target, Migration)> {
        let mut due = Vec::new();
        for (engine, queue) in &mut self.queues {
            due.extend(queue.next(now).map(|ask| (engine.clone(), ask)));
        }
        self.queues.retain(|_, queue| !queue.is_over(now));
        due
    }

    /// When [`Queues::poll`] may have something to do if nobody asks or ends: soon, or never.
    pub fn is_idle(&self) -> bool {
        self.queues.is_empty()
    }
}
