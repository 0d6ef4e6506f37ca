//! Turns at engines that leave, kept by one entry for all.

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

/// How long an answer waits for its turn before it goes ahead on its own: what is left by then is
/// too little to wait for.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// How often queues are looked at while there are any.
const POLL: Duration = Duration::from_millis(4);

/// An answer in the queue of an engine.
type Place = (id::Target, SmolStr);

/// The queues kept here, and the answers of this entry that wait in any.
#[derive(Debug, Default)]
pub(crate) struct Desk {
    turns: Mutex<Queues>,
    waiters: Mutex<HashMap<Place, oneshot::Sender<()>>>,
    /// Asks of leaves that were passed on, and whose they are.
    passed: Mutex<HashMap<Place, id::Host>>,
    asked: Notify,
}

impl Desk {
    /// Takes in an ask, of this entry or another; a leaf's is passed on to the queue's keeper.
    pub(crate) fn ask(
        &self,
        fleet: &Fleet,
        from: &id::Host,
        engine: &id::Target,
        mut ask: Migration,
    ) {
        let keeper = fleet.keeper(engine.as_str());
        if keeper != *fleet.host() && from != fleet.host() && ask.entry == *from {
            let place = (engine.clone(), ask.request.clone());
            self.passed.lock().insert(place, from.clone());
            ask.entry = fleet.host().clone();
            fleet.ask_turn(&keeper, engine, ask);
            return;
        }
        self.turns.lock().enqueue(fleet.now(), engine, ask);
        self.asked.notify_one();
    }

    pub(crate) fn done(&self, fleet: &Fleet, engine: &id::Target, request: &SmolStr) {
        let place = (engine.clone(), request.clone());
        if self.passed.lock().remove(&place).is_some() {
            let frame = Frame::MigrationDone { engine: place.0, request: place.1 };
            fleet.tell(&fleet.keeper(engine.as_str()), &frame);
            return;
        }
        self.turns.lock().finish(engine, request);
        self.asked.notify_one();
    }

    /// Takes in that an answer of this entry, or of a leaf that it speaks for, has its turn.
    pub(crate) fn grant(&self, fleet: &Fleet, engine: &id::Target, request: &SmolStr) {
        let place = (engine.clone(), request.clone());
        let leaf = self.passed.lock().get(&place).cloned();
        if let Some(leaf) = leaf {
            fleet.grant(&leaf, engine, request);
            return;
        }
        let waiter = self.waiters.lock().remove(&place);
        if let Some(waiter) = waiter {
            // One that stopped waiting has said so to the keeper of the queue.
            let _ = waiter.send(());
        }
    }

    /// Hands out turns for as long as the process lives.
    pub(crate) async fn run(fleet: Arc<Fleet>) {
        loop {
            let idle = fleet.desk.turns.lock().is_idle();
            if idle {
                fleet.desk.asked.notified().await;
            } else {
                sleep(POLL).await;
            }
            let due = fleet.desk.turns.lock().poll(fleet.now());
            for (engine, ask) in due {
                fleet.grant(&ask.entry, &engine, &ask.request);
            }
        }
    }
}

/// A turn at an engine that leaves; dropped, the next one begins.
#[derive(Debug)]
pub(crate) struct Turn {
    fleet: Arc<Fleet>,
    keeper: id::Host,
    engine: id::Target,
    request: SmolStr,
}

impl Turn {
    /// Waits until it is this answer's turn.
    pub(crate) async fn wait(
        fleet: &Arc<Fleet>,
        engine: &id::Target,
        request: &SmolStr,
        left: Tokens,
    ) -> Self {
        let (sender, receiver) = oneshot::channel();
        let key = (engine.clone(), request.clone());
        fleet.desk.waiters.lock().insert(key, sender);
        let keeper = fleet.keeper(engine.as_str());
        let turn = Self {
            fleet: Arc::clone(fleet),
            keeper,
            engine: engine.clone(),
            request: request.clone(),
        };
        let ask =
            Migration { entry: fleet.host().clone(), request: request.clone(), remaining: left };
        fleet.ask_turn(&turn.keeper, engine, ask);
        // Guards against a keeper that is gone or cut off: nobody would ever have a turn.
        let _ = timeout(PATIENCE, receiver).await;
        turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let key = (self.engine.clone(), self.request.clone());
        self.fleet.desk.waiters.lock().remove(&key);
        let frame =
            Frame::MigrationDone { engine: self.engine.clone(), request: self.request.clone() };
        self.fleet.tell(&self.keeper, &frame);
    }
}
