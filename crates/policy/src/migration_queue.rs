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
const GATHER_TIME: Duration = Duration::from_millis(12);

/// How long a turn may last before the next begins all the same: a full engine's memory takes less
/// over an idle link within a failure domain, and who holds the turn may be gone.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(900);

/// One answer that waits to be copied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Migration {
    /// The entry that it belongs to.
    pub entry: id::Host,
    /// Its request.
    pub request: SmolStr,
    /// Tokens that it is expected to produce still. The longest goes first: it is the most certain
    /// to be cut if it stays, and the most is lost with it.
    #[serde(rename = "left")]
    pub remaining: Tokens,
}

#[derive(Debug, Default)]
struct Queue {
    opened_at: Time,
    waiting: Vec<Migration>,
    active: Option<(Migration, Time)>,
}

impl Queue {
    fn start_next(&mut self, now: Time) -> Option<Migration> {
        if now.since(self.opened_at) < GATHER_TIME {
            return None;
        }
        if self
            .active
            .as_ref()
            .is_some_and(|(_, started_at)| now.since(*started_at) < MIGRATION_TIMEOUT)
        {
            return None;
        }
        let longest =
            self.waiting.iter().enumerate().max_by_key(|(_, migration)| migration.remaining);
        let index = longest.map(|(index, _)| index)?;
        let migration = self.waiting.swap_remove(index);
        self.active = Some((migration.clone(), now));
        Some(migration)
    }

    fn is_finished(&self, now: Time) -> bool {
        let is_active = self
            .active
            .as_ref()
            .is_some_and(|(_, started_at)| now.since(*started_at) < MIGRATION_TIMEOUT);
        self.waiting.is_empty() && !is_active
    }
}

/// The queues that this entry keeps.
#[derive(Debug, Default)]
pub struct Queues {
    queues: BTreeMap<id::Target, Queue>,
}

impl Queues {
    /// Opens without a queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an answer into the queue of its engine.
    pub fn enqueue(&mut self, now: Time, engine: &id::Target, migration: Migration) {
        let queue = self
            .queues
            .entry(engine.clone())
            .or_insert_with(|| Queue { opened_at: now, ..Queue::default() });
        queue.waiting.push(migration);
    }

    /// Notes that an answer has been copied, or needs no copy any more.
    pub fn finish(&mut self, engine: &id::Target, request: &str) {
        let Some(queue) = self.queues.get_mut(engine) else { return };
        queue.waiting.retain(|migration| migration.request != request);
        if queue.active.as_ref().is_some_and(|(migration, _)| migration.request == request) {
            queue.active = None;
        }
    }

    /// Hands out the turns that are due and forgets queues that are over.
    pub fn poll(&mut self, now: Time) -> Vec<(id::Target, Migration)> {
        let mut due = Vec::new();
        for (engine, queue) in &mut self.queues {
            due.extend(queue.start_next(now).map(|migration| (engine.clone(), migration)));
        }
        self.queues.retain(|_, queue| !queue.is_finished(now));
        due
    }

    /// When [`Queues::poll`] may have something to do if nobody asks or ends: soon, or never.
    pub fn is_idle(&self) -> bool {
        self.queues.is_empty()
    }
}
