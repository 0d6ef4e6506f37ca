//! Turns to migrate answers from engines that are leaving. One entry owns the queue of each engine;
//! the order is decided by [`fireflyhoist_policy::migration_queue`].

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::migration_queue::{Migration, Queues};
use fireflyhoist_policy::unit::Tokens;
use ntex::time::{sleep, timeout};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use crate::connection::frame::Frame;
use crate::process::fleet::Fleet;

/// How long an answer waits for its turn before it is migrated without one. The notice period that
/// is left by then is too short to wait any longer.
const TURN_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The interval at which queues are polled while any exist.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// An engine, and the request of an answer in its queue.
type Key = (id::Target, SmolStr);

/// The queues that this entry owns, and the answers of this entry and its leaves that wait for a
/// turn.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    queues: Mutex<Queues>,
    waiters: Mutex<HashMap<Key, oneshot::Sender<()>>>,
    /// Requests of leaves that were forwarded to the owner of the queue, with the leaf.
    forwarded: Mutex<HashMap<Key, id::Host>>,
    /// Notified when a queue has changed.
    queue_changed: Notify,
}

impl Coordinator {
    /// Enqueues an answer of this entry or another. The request of a leaf is forwarded to the owner
    /// of the queue.
    pub(crate) fn enqueue(
        &self,
        fleet: &Fleet,
        from: &id::Host,
        engine: &id::Target,
        mut migration: Migration,
    ) {
        let owner = fleet.owner(engine.as_str());
        if owner != *fleet.host() && from != fleet.host() && migration.entry == *from {
            let key = (engine.clone(), migration.request.clone());
            self.forwarded.lock().insert(key, from.clone());
            migration.entry = fleet.host().clone();
            fleet.request_turn(&owner, engine, migration);
            return;
        }
        self.queues.lock().enqueue(fleet.now(), engine, migration);
        self.queue_changed.notify_one();
    }

    /// Ends a turn, or removes the answer from the queue if it no longer needs one. For an answer
    /// of a leaf the owner of the queue is notified.
    pub(crate) fn finish(&self, fleet: &Fleet, engine: &id::Target, request: &SmolStr) {
        let key = (engine.clone(), request.clone());
        if self.forwarded.lock().remove(&key).is_some() {
            let frame = Frame::MigrationDone { engine: key.0, request: key.1 };
            fleet.send(&fleet.owner(engine.as_str()), &frame);
            return;
        }
        self.queues.lock().finish(engine, request);
        self.queue_changed.notify_one();
    }

    /// Handles the grant of a turn to an answer of this entry, or of a leaf whose request was
    /// forwarded.
    pub(crate) fn grant(&self, fleet: &Fleet, engine: &id::Target, request: &SmolStr) {
        let key = (engine.clone(), request.clone());
        let leaf = self.forwarded.lock().get(&key).cloned();
        if let Some(leaf) = leaf {
            fleet.grant_turn(&leaf, engine, request);
            return;
        }
        let waiter = self.waiters.lock().remove(&key);
        if let Some(waiter) = waiter {
            // An answer that no longer waits has notified the owner of the queue.
            let _ = waiter.send(());
        }
    }

    /// Grants turns for as long as the process runs.
    pub(crate) async fn run(fleet: Arc<Fleet>) {
        loop {
            let idle = fleet.migrations.queues.lock().is_idle();
            if idle {
                fleet.migrations.queue_changed.notified().await;
            } else {
                // This timer waits in steps of 16 ms. Grants to the millisecond cut more answers.
                sleep(POLL_INTERVAL).await;
            }
            let due = fleet.migrations.queues.lock().poll(fleet.now());
            for (engine, migration) in due {
                fleet.grant_turn(&migration.entry, &engine, &migration.request);
            }
        }
    }
}

/// A turn to migrate an answer from an engine. When it is dropped, the next one begins.
#[derive(Debug)]
pub(crate) struct Turn {
    fleet: Arc<Fleet>,
    owner: id::Host,
    engine: id::Target,
    request: SmolStr,
}

impl Turn {
    /// Waits until it is the turn of this answer, for [`TURN_TIMEOUT`] at most. `remaining` is the
    /// number of tokens that the answer is expected to produce still.
    pub(crate) async fn wait(
        fleet: &Arc<Fleet>,
        engine: &id::Target,
        request: &SmolStr,
        remaining: Tokens,
    ) -> Self {
        let (sender, receiver) = oneshot::channel();
        let key = (engine.clone(), request.clone());
        fleet.migrations.waiters.lock().insert(key, sender);
        let owner = fleet.owner(engine.as_str());
        let turn = Self {
            fleet: Arc::clone(fleet),
            owner,
            engine: engine.clone(),
            request: request.clone(),
        };
        let migration =
            Migration { entry: fleet.host().clone(), request: request.clone(), remaining };
        fleet.request_turn(&turn.owner, engine, migration);
        // Without the timeout no answer would be migrated if the owner is down or unreachable.
        let _ = timeout(TURN_TIMEOUT, receiver).await;
        turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let key = (self.engine.clone(), self.request.clone());
        self.fleet.migrations.waiters.lock().remove(&key);
        let frame =
            Frame::MigrationDone { engine: self.engine.clone(), request: self.request.clone() };
        self.fleet.send(&self.owner, &frame);
    }
}
