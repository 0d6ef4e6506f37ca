//! The order in which answers are migrated from an engine that is leaving.
//!
//! An engine that is reclaimed holds answers of several entries, and each must be copied over the
//! engine's single link in the second or two that are left. If every entry began at once, all
//! copies would share the link. The last part of each copy, during which its answer pauses, would
//! wait behind the first parts of all others: pauses of 0.2 to 1.4 s, while up to 0.18 s is on
//! time. With one migration at a time, an answer pauses only for its own last part, 20 to 40 ms on
//! an idle link.
//!
//! One entry owns the queue of each engine, chosen by rendezvous hashing among the entries that it
//! sees. Two entries may own it for a moment; two copies then share the link, which is slow but not
//! wrong. The loss of a queue loses no answers: an entry whose request for a turn is not answered
//! in time migrates without one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;
use crate::time::Time;
use crate::unit::Tokens;

/// How long a queue collects requests before its first migration starts. Entries learn that an
/// engine is leaving within a few milliseconds of each other, and the right order is worth this
/// delay.
const GATHER_TIME: Duration = Duration::from_millis(12);

/// How long a migration may take before the next one starts regardless. Copying the memory of a
/// full engine over an idle link within a failure domain takes less, and the entry that migrates
/// may be gone.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(900);

/// An answer that waits to be migrated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Migration {
    /// The entry that serves the answer.
    pub entry: id::Host,
    /// The request that it answers.
    pub request: SmolStr,
    /// Tokens that the answer is still expected to produce. The longest answer goes first: it is
    /// the most certain to be interrupted if it stays, and has the most to lose.
    #[serde(rename = "left")]
    pub remaining: Tokens,
}

/// The answers that wait at one engine, and the one being migrated with the time of its start.
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

/// The queues that this entry owns.
#[derive(Debug, Default)]
pub struct Queues {
    queues: BTreeMap<id::Target, Queue>,
}

impl Queues {
    /// Creates a set without queues.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an answer to the queue of its engine.
    pub fn enqueue(&mut self, now: Time, engine: &id::Target, migration: Migration) {
        let queue = self
            .queues
            .entry(engine.clone())
            .or_insert_with(|| Queue { opened_at: now, ..Queue::default() });
        queue.waiting.push(migration);
    }

    /// Records that an answer has been migrated or needs no migration any more.
    pub fn finish(&mut self, engine: &id::Target, request: &str) {
        let Some(queue) = self.queues.get_mut(engine) else { return };
        queue.waiting.retain(|migration| migration.request != request);
        if queue.active.as_ref().is_some_and(|(migration, _)| migration.request == request) {
            queue.active = None;
        }
    }

    /// Starts the migrations that are due, and drops queues that are finished.
    pub fn poll(&mut self, now: Time) -> Vec<(id::Target, Migration)> {
        let mut due = Vec::new();
        for (engine, queue) in &mut self.queues {
            due.extend(queue.start_next(now).map(|migration| (engine.clone(), migration)));
        }
        self.queues.retain(|_, queue| !queue.is_finished(now));
        due
    }

    /// Returns whether there are no queues, so that [`Queues::poll`] has nothing to do before the
    /// next [`Queues::enqueue`].
    pub fn is_idle(&self) -> bool {
        self.queues.is_empty()
    }
}
