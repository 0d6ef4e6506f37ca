//! The processes, links and back ends of one run.

mod strike;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_policy::route::Text;
use fireflyhoist_standin::port::Reserved;
use fireflyhoist_standin::registry::{Copy, Registry};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::backend::{self, Backend, Engines, SERVICES, Traits};
use crate::caller::{self, TIMEOUT};
use crate::entry::{self, Entry, Place};
use crate::forwarder::Forwarder;
use crate::ledger::{Ledger, Probed};
use crate::plan::{BACKENDS, CALM, LEAD, PROOF, Plan};
use crate::proxy::Proxy;
use crate::rolls::text::Change;
use crate::seen::Seen;
use crate::{PlayError, Size, parts, rolls, streams, text};

/// Time between two looks at which text an entry has.
const PROBE: Duration = Duration::from_millis(250);

/// Callers in each run.
const CALLERS: u64 = 12;

/// Everything of one run.
#[derive(Clone, Debug)]
pub(crate) struct World {
    entries: Rc<Vec<Entry>>,
    _ports: Rc<Vec<Reserved>>,
    backends: Rc<Vec<RefCell<Backend>>>,
    proxies: Rc<Vec<Proxy>>,
    starts: Rc<Cell<u32>>,
    /// The version that each slot's next target has.
    versions: Rc<RefCell<Vec<u32>>>,
    engines: Rc<Engines>,
    registry: Registry,
    /// Copies of the registry, the oldest first.
    copies: Rc<RefCell<VecDeque<Copy>>>,
    /// Failure domains that are cordoned.
    cordoned: Rc<RefCell<BTreeSet<usize>>>,
    version: Rc<Cell<u64>>,
    /// Changes that the current text has.
    changes: Rc<RefCell<Vec<Change>>>,
    /// The time that entries have to drain.
    grace: Duration,
    /// Slots whose targets were ended by a request.
    ended: mpsc::UnboundedSender<usize>,
    size: Size,
    logs: PathBuf,
    seed: u64,
    seen: Seen,
}

impl World {
    /// Starts the registry, the back ends, and the entries.
    pub(crate) async fn open(size: Size, seed: u64, logs: &Path) -> Result<Self, PlayError> {
        let seen = Seen::open();
        let registry = Registry::open().await;
        let engines = Rc::new(Engines::default());
        let (ended, ends) = mpsc::unbounded_channel();
        let (mut proxies, mut backends) = (Vec::new(), Vec::new());
        for slot in 0..SERVICES.len() * BACKENDS {
            let proxy = Proxy::open(registry.address()).await;
            let version = size.versions.then_some(0);
            let traits = Traits { version, unframed: size.unframed };
            let backend = Backend::start(slot, 0, traits, &proxy, &engines, &ended, &seen).await;
            seen.serves(&backend.listed);
            registry.put(backend.listed.clone());
            backends.push(RefCell::new(backend));
            proxies.push(proxy);
        }
        let mut ports = Vec::new();
        for _ in 0..2 * size.processes {
            ports.push(Reserved::open().map_err(PlayError::Program)?);
        }
        let (peers, callers) = ports.split_at(size.processes);
        let mut places = Vec::new();
        for (callers, listen) in callers.iter().zip(peers) {
            let (callers, listen) = (callers.address(), listen.address());
            let link = Proxy::open(registry.address()).await;
            let peers = if size.links { Some(Proxy::open(listen).await) } else { None };
            let forwarder = if size.isolated { Some(Forwarder::open().await) } else { None };
            places.push(Place { callers, listen, peers, link, forwarder });
        }
        let seeds: Vec<SocketAddr> = places.iter().take(3).map(Place::address).collect();
        let grace = rolls::plan::grace(seed, size);
        seen.drains_within(grace);
        let mut entries = Vec::new();
        for (nth, place) in places.into_iter().enumerate() {
            entries.push(entry::open(nth, place, &seeds, size.scheduling, grace, logs)?);
        }
        let world = Self {
            entries: Rc::new(entries),
            _ports: Rc::new(ports),
            backends: Rc::new(backends),
            proxies: Rc::new(proxies),
            starts: Rc::default(),
            versions: Rc::new(RefCell::new(vec![0; SERVICES.len() * BACKENDS])),
            engines,
            registry,
            copies: Rc::default(),
            cordoned: Rc::default(),
            version: Rc::default(),
            changes: Rc::default(),
            grace,
            ended,
            size,
            logs: logs.to_owned(),
            seed,
            seen,
        };
        spawn_local(world.clone().replace_ended(ends));
        world.seen.disturbed(None, LEAD);
        world.publish();
        Ok(world)
    }

    /// Plays a plan while callers ask.
    pub(crate) async fn play(&self, plan: &Plan) -> Result<(), PlayError> {
        let addresses: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.callers).collect();
        sleep(LEAD / 2).await;
        if self.size.rolls {
            spawn_local(rolls::caller::watch_delay(self.seen.clone()));
            for (nth, to) in addresses.iter().enumerate() {
                rolls::caller::start(nth, *to, self.seed, &self.seen);
            }
        } else {
            for number in 0..CALLERS {
                let seen = self.seen.clone();
                spawn_local(caller::run(number, self.seed, addresses.clone(), seen));
            }
        }
        if self.size.needy {
            spawn_local(caller::poison(self.seed, addresses.clone(), self.seen.clone()));
        }
        if self.size.parts {
            for bad in [true, false] {
                let (entries, seen) = (addresses.clone(), self.seen.clone());
                spawn_local(parts::run(bad, self.seed, entries, seen));
            }
        }
        if self.size.versions {
            for number in 0..streams::CALLERS {
                let (entries, seen) = (addresses.clone(), self.seen.clone());
                spawn_local(streams::run(number, self.seed, entries, seen));
            }
        }
        if self.size.isolated {
            for (nth, to) in addresses.iter().enumerate() {
                spawn_local(caller::look(nth, *to, self.seen.clone()));
            }
        }
        if self.size.restores {
            spawn_local(self.clone().copy());
        }
        spawn_local(self.clone().probe());
        spawn_local(self.clone().watch());
        for planned in &plan.faults {
            sleep(planned.at.saturating_sub(self.seen.now())).await;
            spawn_local(self.clone().strike(*planned));
        }
        sleep(plan.end.saturating_sub(self.seen.now()) + CALM).await;
        self.seen.calmed();
        self.check_cordons();
        sleep(PROOF).await;
        Ok(())
    }

    /// Ends every process and returns what was seen.
    pub(crate) async fn close(self) -> Ledger {
        self.seen.end();
        sleep(TIMEOUT / 2).await;
        for entry in self.entries.iter() {
            entry.busy.set(true);
            let mut child = entry.child.borrow_mut();
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.backends.iter().for_each(|backend| backend.borrow().crash());
        Ledger { entries: self.entries.len(), ..self.seen.take() }
    }

    /// The text of the current version.
    fn text(&self) -> Text {
        let text = if self.size.links { text::large } else { text::text };
        let mut text = text(self.version.get());
        if self.size.domains {
            text.services.iter_mut().for_each(|service| service.warmup = Some(backend::WARMUP));
        }
        self.changes.borrow().iter().for_each(|change| change.apply(&mut text));
        text
    }

    /// Notes which cordons the registry lists although the operator has lifted them, or lacks.
    fn check_cordons(&self) {
        let asked: BTreeSet<_> =
            self.cordoned.borrow().iter().map(|domain| backend::domain(*domain)).collect();
        let listed = self.registry.cordoned();
        listed.symmetric_difference(&asked).for_each(|domain| self.seen.strayed(domain.as_str()));
    }

    /// Publishes a text with a change, or without it if the text before has it.
    fn change(&self, change: Change) {
        let kept = |one: &Change| *one != change;
        let changes: Vec<Change> = self.changes.borrow().iter().copied().filter(kept).collect();
        let has = changes.len() < self.changes.borrow().len();
        *self.changes.borrow_mut() = changes;
        if !has {
            self.changes.borrow_mut().push(change);
        }
        self.publish();
    }

    fn publish(&self) {
        self.version.set(self.version.get() + 1);
        let text = self.text();
        let timeout = text.routes.iter().map(|route| route.timeout).min().unwrap_or(TIMEOUT);
        self.seen.published(self.version.get(), timeout);
        self.registry.publish(text);
    }

    /// Looks which text each entry has.
    async fn probe(self) {
        for nth in 0_u64.. {
            sleep(PROBE).await;
            if self.seen.is_over() {
                return;
            }
            for entry in 0..self.entries.len() {
                spawn_local(self.clone().probe_one(entry, nth));
            }
        }
    }

    async fn probe_one(self, nth: usize, count: u64) {
        let entry = &self.entries[nth];
        let start = entry.starts.get();
        let newest = self.version.get();
        for version in [newest, newest.saturating_sub(1)] {
            let Some(mut sender) = caller::connect(entry.callers).await else { return };
            let (id, path) = (format!("p-{nth}-{count}-{version}"), format!("/v{version}/x"));
            let from = self.seen.now();
            let answer = caller::ask(&mut sender, &id, &path).await;
            let Some(answer) = answer.filter(|answer| matches!(answer.status, 200 | 404)) else {
                continue;
            };
            let known = answer.status == 200;
            if start == entry.starts.get() && !entry.busy.get() {
                let to = self.seen.now();
                self.seen.probed(Probed { from, to, entry: nth, start, version, known });
            }
        }
    }

    /// Notes processes that end by themselves, and starts them anew.
    async fn watch(self) {
        while !self.seen.is_over() {
            sleep(Duration::from_millis(100)).await;
            for (nth, entry) in self.entries.iter().enumerate() {
                let ended = matches!(entry.child.borrow_mut().try_wait(), Ok(Some(_)));
                if ended && !entry.busy.replace(true) {
                    self.seen.exited(nth);
                    self.restart(nth).await;
                }
            }
        }
    }
}
