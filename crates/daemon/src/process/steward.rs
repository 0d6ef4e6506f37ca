//! Orders the engines that this host is the steward of, in the background.
//!
//! Nothing here is on the way of a request: an engine that cannot be ordered goes on serving what
//! it holds. See `docs/DESIGN.md`, section "Orders to engines".

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

use crate::connection::order::{Written, read, write};
use crate::process::Worker;
use crate::version::{Snapshot, wanted};

/// How often a steward reads its engines while one of them is not as it should be.
const BUSY: Duration = Duration::from_secs(1);

/// How often it reads them otherwise: a new version must be in force within 11 s, and 2.5 engines
/// a host at the size to design for cost a quarter of a kilobyte a second.
const IDLE: Duration = Duration::from_secs(4);

/// Runs until the process ends.
pub(crate) async fn run(worker: Worker) {
    let mut desk = Desk::default();
    loop {
        let busy = !worker.process.is_leaving() && desk.round(&worker).await;
        ntex::time::sleep(if busy { BUSY } else { IDLE }).await;
    }
}

/// What a steward remembers between rounds; losing it costs nothing but a repeated log line and a
/// load that may begin early.
#[derive(Debug, Default)]
struct Desk {
    pacer: Pacer,
    troubles: HashMap<id::Target, SmolStr>,
}

/// One version's engines, as one round sees them.
struct Round<'a> {
    worker: &'a Worker,
    snapshot: Arc<Snapshot>,
    mark: Epoch,
    engines: Vec<Engine>,
    /// This host's part of the weight store's rate, in bytes a second.
    rate: f64,
}

impl Desk {
    /// Reads this host's engines and orders what is due; says whether anything is left to do.
    async fn round(&mut self, worker: &Worker) -> bool {
        let Some(snapshot) = worker.process.serving() else { return true };
        let (revision, digest) = (snapshot.version.revision(), snapshot.version.digest());
        let mark = match Epoch::of(revision, digest) {
            Ok(mark) => mark,
            Err(error) => {
                ::log::warn!(error:% = error; "no engine can be ordered");
                return false;
            }
        };
        let engines = wanted::engines(&snapshot.text, &worker.process.hosts());
        let members = members(worker);
        let own = &worker.process.settings.host;
        let names: Vec<id::Target> = engines.iter().map(|e| e.target.clone()).collect();
        let rate = snapshot.text.weight_store.map_or(0.0, |store| store.gib_per_second);
        let rate = rate * wanted::GIB as f64 * pace::share(own, &members, &names).get();
        let mine = |e: &&Engine| owner::of(&e.target, &members) == Some(own);
        let mine: Vec<Engine> = engines.iter().filter(mine).cloned().collect();
        self.troubles.retain(|target, _| mine.iter().any(|e| e.target == *target));
        let round = Round { worker, snapshot, mark, engines, rate };
        let observed = round.read(&mine).await;
        let mut busy = false;
        for (engine, observed) in mine.iter().zip(observed) {
            busy |= self.attend(&round, engine, observed).await;
        }
        busy
    }

    /// Does what one engine needs; says whether it is not yet as it should be.
    async fn attend(
        &mut self,
        round: &Round<'_>,
        engine: &Engine,
        observed: Option<Observed>,
    ) -> bool {
        let Some(observed) = observed else { return true };
        match plan::decide(&engine.setup, engine.fencing, round.mark, &observed) {
            Ok(Action::Nothing) => {
                self.troubles.remove(&engine.target);
                observed.loading.is_some()
            }
            Ok(Action::RaiseFence(order)) => round.give(engine, &order).await == Written::Taken,
            Ok(Action::Load(order)) => {
                self.load(round, engine, &order).await;
                true
            }
            Err(error) => {
                self.trouble(engine, &error.to_smolstr());
                true
            }
        }
    }

    async fn load(&mut self, round: &Round<'_>, engine: &Engine, order: &Order) {
        if engine.fencing == Fencing::Ignored {
            // Without promises, an entry that paused could undo a newer version's order.
            return self.trouble(engine, "engines that ignore fencing numbers get no orders yet");
        }
        let now = round.worker.process.clock.now();
        if !self.pacer.may_start(now) || !round.may_go(engine).await {
            return;
        }
        if round.give(engine, order).await != Written::Unknown {
            self.paid(now, round, engine);
        }
    }

    fn paid(&mut self, now: Time, round: &Round<'_>, engine: &Engine) {
        self.pacer.charge(now, engine.weights, round.rate);
        self.troubles.remove(&engine.target);
    }

    /// Logs what keeps an engine from being ordered, once for each cause.
    fn trouble(&mut self, engine: &Engine, cause: &str) {
        if self.troubles.get(&engine.target).is_none_or(|known| known != cause) {
            ::log::warn!(target_name:% = engine.target, cause:% = cause; "engine not ordered");
            self.troubles.insert(engine.target.clone(), cause.into());
        }
    }
}

impl Round<'_> {
    async fn read(&self, engines: &[Engine]) -> Vec<Option<Observed>> {
        join_all(engines.iter().map(async |engine| {
            let address = wanted::address(&self.snapshot.text, engine)?;
            read(&self.worker.client, address).await
        }))
        .await
    }

    /// Whether the service can do without this engine now; reads all of its engines to know.
    async fn may_go(&self, engine: &Engine) -> bool {
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

    async fn give(&self, engine: &Engine, order: &Order) -> Written {
        let Some(address) = wanted::address(&self.snapshot.text, engine) else {
            return Written::Unknown;
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

/// The entries among which stewards are chosen.
fn members(worker: &Worker) -> Vec<id::Host> {
    let hosts = worker.process.hosts();
    let usable = |host: &&Host| host.entry.is_some() && host.state == State::Live;
    hosts.hosts.iter().filter(usable).map(|host| host.name.clone()).collect()
}
