//! Reconciles the engines that this host owns with the version in force, in the background.
//!
//! Requests do not depend on this: an engine that cannot be ordered keeps serving the model that it
//! has loaded.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::order::desired::{Engine, Fencing};
use fireflyhoist_policy::order::fence::Epoch;
use fireflyhoist_policy::order::owner;
use fireflyhoist_policy::order::pace::{self, Pacer};
use fireflyhoist_policy::order::plan::{self, Action, Observed, Order};
use fireflyhoist_policy::order::rollout::{self, Status};
use fireflyhoist_policy::time::Time;
use fireflyhoist_wire::platform::{Host, State};
use futures_util::future::join_all;
use smol_str::{SmolStr, ToSmolStr};

use crate::connection::order::{Outcome, read, write};
use crate::process::Worker;
use crate::version::{Snapshot, desired};

/// The interval between rounds while an engine differs from its desired setup.
const BUSY_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between rounds otherwise: a new version must be in force within 11 s, and reading
/// the 2.5 engines per host of the design size costs a quarter of a kilobyte a second.
const IDLE_INTERVAL: Duration = Duration::from_secs(4);

/// Runs reconciliation rounds until the process ends.
pub(crate) async fn run(worker: Worker) {
    let mut reconciler = Reconciler::default();
    loop {
        let busy = !worker.process.is_leaving() && reconciler.round(&worker).await;
        ntex::time::sleep(if busy { BUSY_INTERVAL } else { IDLE_INTERVAL }).await;
    }
}

/// The state kept between rounds; losing it only repeats a log line or starts a load too early.
#[derive(Debug, Default)]
struct Reconciler {
    pacer: Pacer,
    reported: HashMap<id::Target, SmolStr>,
}

/// The inputs of one reconciliation round.
struct Round<'a> {
    worker: &'a Worker,
    snapshot: Arc<Snapshot>,
    epoch: Epoch,
    engines: Vec<Engine>,
    /// This host's share of the weight store's rate, in bytes per second.
    rate: f64,
}

impl Reconciler {
    /// Reads the engines that this host owns and sends the orders that are due.
    ///
    /// Returns whether to run the next round after [`BUSY_INTERVAL`]: an engine is loading,
    /// unreadable, to be loaded, cannot be ordered or has just taken a higher fencing number, or
    /// this process is not ready to serve.
    async fn round(&mut self, worker: &Worker) -> bool {
        let Some(snapshot) = worker.process.serving() else { return true };
        let (revision, digest) = (snapshot.version.revision(), snapshot.version.digest());
        let epoch = match Epoch::of(revision, digest) {
            Ok(epoch) => epoch,
            Err(error) => {
                ::log::warn!(error:% = error; "no engine can be ordered");
                return false;
            }
        };
        let engines = desired::engines(&snapshot.text, &worker.process.hosts());
        let candidates = candidates(worker);
        let own = &worker.process.settings.host;
        let names: Vec<id::Target> = engines.iter().map(|e| e.target.clone()).collect();
        let rate = snapshot.text.weight_store.map_or(0.0, |store| store.gib_per_second);
        let rate = rate * desired::GIB as f64 * pace::share(own, &candidates, &names).get();
        let owned = |e: &&Engine| owner::of(&e.target, &candidates) == Some(own);
        let owned: Vec<Engine> = engines.iter().filter(owned).cloned().collect();
        self.reported.retain(|target, _| owned.iter().any(|e| e.target == *target));
        let round = Round { worker, snapshot, epoch, engines, rate };
        let observed = round.read(&owned).await;
        let mut busy = false;
        for (engine, observed) in owned.iter().zip(observed) {
            busy |= self.reconcile(&round, engine, observed).await;
        }
        busy
    }

    /// Sends one engine the order that it needs, if any.
    ///
    /// Returns whether the next round should follow after [`BUSY_INTERVAL`].
    async fn reconcile(
        &mut self,
        round: &Round<'_>,
        engine: &Engine,
        observed: Option<Observed>,
    ) -> bool {
        let Some(observed) = observed else { return true };
        match plan::decide(&engine.setup, engine.fencing, round.epoch, &observed) {
            Ok(Action::Nothing) => {
                self.reported.remove(&engine.target);
                observed.loading.is_some()
            }
            Ok(Action::RaiseFence(order)) => round.send(engine, &order).await == Outcome::Taken,
            Ok(Action::Load(order)) => {
                self.load(round, engine, &order).await;
                true
            }
            Err(error) => {
                self.report(engine, &error.to_smolstr());
                true
            }
        }
    }

    async fn load(&mut self, round: &Round<'_>, engine: &Engine, order: &Order) {
        if engine.fencing == Fencing::Ignored {
            // Without fencing, an entry that was suspended could undo a newer version's order.
            return self.report(engine, "engines that ignore fencing numbers get no orders yet");
        }
        let now = round.worker.process.clock.now();
        if !self.pacer.may_start(now) || !round.may_load(engine).await {
            return;
        }
        if round.send(engine, order).await != Outcome::Unknown {
            self.charge(now, round, engine);
        }
    }

    fn charge(&mut self, now: Time, round: &Round<'_>, engine: &Engine) {
        self.pacer.charge(now, engine.weights, round.rate);
        self.reported.remove(&engine.target);
    }

    /// Logs why an engine gets no order, unless the same cause was logged last.
    fn report(&mut self, engine: &Engine, cause: &str) {
        if self.reported.get(&engine.target).is_none_or(|known| known != cause) {
            ::log::warn!(target_name:% = engine.target, cause:% = cause; "engine not ordered");
            self.reported.insert(engine.target.clone(), cause.into());
        }
    }
}

impl Round<'_> {
    async fn read(&self, engines: &[Engine]) -> Vec<Option<Observed>> {
        join_all(engines.iter().map(async |engine| {
            let address = desired::address(&self.snapshot.text, engine)?;
            read(&self.worker.client, address).await
        }))
        .await
    }

    /// Returns whether the service has enough other engines that this one may load now.
    ///
    /// Reads the status of all engines of the service.
    async fn may_load(&self, engine: &Engine) -> bool {
        let peers = self.engines.iter().filter(|peer| peer.service == engine.service);
        let peers: Vec<Engine> = peers.cloned().collect();
        let observed = self.read(&peers).await;
        let status = |(peer, observed): (&Engine, Option<Observed>)| {
            let status = observed.map_or(Status::Unreachable, |o| o.status(&peer.setup));
            (peer.target.clone(), status)
        };
        let statuses: Vec<_> = peers.iter().zip(observed).map(status).collect();
        rollout::eligible(&engine.service, &statuses).contains(&&engine.target)
    }

    async fn send(&self, engine: &Engine, order: &Order) -> Outcome {
        let Some(address) = desired::address(&self.snapshot.text, engine) else {
            return Outcome::Unknown;
        };
        let written = write(&self.worker.client, address, order).await;
        ::log::info!(
            target_name:% = engine.target, model:% = order.setup.model,
            model_version:% = order.setup.version, role:% = order.setup.role,
            fence:% = order.fence, version:% = self.snapshot.version, written:? = written;
            "engine ordered"
        );
        written
    }
}

/// Returns the live entry hosts, among which the owner of each engine is chosen.
fn candidates(worker: &Worker) -> Vec<id::Host> {
    let hosts = worker.process.hosts();
    let usable = |host: &&Host| host.entry.is_some() && host.state == State::Live;
    hosts.hosts.iter().filter(usable).map(|host| host.name.clone()).collect()
}
