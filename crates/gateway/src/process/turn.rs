//! Turns at engines that leave, kept by one entry for all.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::turn::{Ask, Turns};
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

type Waiters = HashMap<(id::Target, SmolStr), oneshot::Sender<()>>;

/// The queues kept here, and the answers of this entry that wait in any.
#[derive(Debug, Default)]
pub(crate) struct Desk {
    turns: Mutex<Turns>,
    waiters: Mutex<Waiters>,
    asked: Notify,
}

impl Desk {
    /// Takes in an ask, of this entry or another.
    pub(crate) fn ask(&self, fleet: &Fleet, engine: &id::Target, ask: Ask) {
        let now = fleet.now();
        self.turns.lock().ask(now, engine, ask);
        self.asked.notify_one();
    }

    pub(crate) fn done(&self, engine: &id::Target, request: &str) {
        self.turns.lock().done(engine, request);
        self.asked.notify_one();
    }

    /// Takes in that an answer of this entry has its turn.
    pub(crate) fn grant(&self, engine: &id::Target, request: &SmolStr) {
        let waiter = self.waiters.lock().remove(&(engine.clone(), request.clone()));
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
        let keeper = fleet.keeper(engine);
        let turn = Self {
            fleet: Arc::clone(fleet),
            keeper,
            engine: engine.clone(),
            request: request.clone(),
        };
        let ask = Ask { entry: fleet.host().clone(), request: request.clone(), left };
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
        let frame = Frame::TurnDone { engine: self.engine.clone(), request: self.request.clone() };
        self.fleet.tell(&self.keeper, &frame);
    }
}
