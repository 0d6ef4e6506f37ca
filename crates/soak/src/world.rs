//! The processes, links and back ends of one run, and how faults are done to them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_policy::lease::{State, Target};
use fireflyhoist_standin::port::Reserved;
use fireflyhoist_standin::registry::{Mood, Registry};
use rustix::process::{Pid, Signal, kill_process};
use smol_str::SmolStr;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Engines, SERVICES};
use crate::caller::{self, TIMEOUT};
use crate::entry::{self, Entry, GRACE_S, Place};
use crate::ledger::{Asked, Disturbed, Ledger, Probed};
use crate::plan::{BACKENDS, CALM, Fault, LEAD, PROOF, Plan, Planned};
use crate::proxy::{Mode, Proxy};
use crate::{PlayError, Size, text};

/// How long a target serves on after its leaving is known.
const NOTICE: Duration = Duration::from_secs(2);

/// From the end of a process or target until the next one starts.
const RESTART: Duration = Duration::from_millis(300);

/// An entry that was started anew and does not listen after so long is traced: the programs listen
/// within tenths of a second, and three runs beside builds had some that never did.
const STALLED: Duration = Duration::from_secs(4);

/// How long an entry that just started owes no bound.
const START: Duration = Duration::from_secs(2);

/// Time between two looks at which text an entry has.
const PROBE: Duration = Duration::from_millis(250);

/// Callers in each run.
const CALLERS: u64 = 12;

/// What everyone in a run notes what they see in.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    began: Instant,
    over: Rc<Cell<bool>>,
    ledger: Rc<RefCell<Ledger>>,
}

impl Seen {
    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.get()
    }

    pub(crate) fn ran(&self, request: &SmolStr, run: u64) {
        self.ledger.borrow_mut().runs.entry(request.clone()).or_default().insert(run);
    }

    pub(crate) fn arrived(&self, request: &SmolStr, target: &SmolStr) {
        let arrival = (request.clone(), target.clone(), self.now());
        self.ledger.borrow_mut().arrivals.push(arrival);
    }

    pub(crate) fn asked(&self, asked: Asked) {
        self.ledger.borrow_mut().asked.push(asked);
    }

    /// Notes that an entry, or where there is none all, owe no bound for a while.
    fn disturbed(&self, entry: Option<usize>, span: Duration) {
        let from = self.now();
        self.ledger.borrow_mut().disturbed.push(Disturbed { entry, from, to: from + span });
    }
}

/// Everything of one run.
#[derive(Clone, Debug)]
pub(crate) struct World {
    entries: Rc<Vec<Entry>>,
    _ports: Rc<Vec<Reserved>>,
    backends: Rc<Vec<RefCell<Backend>>>,
    proxies: Rc<Vec<Proxy>>,
    starts: Rc<Cell<u32>>,
    engines: Rc<Engines>,
    registry: Registry,
    version: Rc<Cell<u64>>,
    large: bool,
    logs: PathBuf,
    seed: u64,
    seen: Seen,
}

impl World {
    /// Starts the registry, the back ends, and the entries.
    pub(crate) async fn open(size: Size, seed: u64, logs: &Path) -> Result<Self, PlayError> {
        let seen = Seen { began: Instant::now(), over: Rc::default(), ledger: Rc::default() };
        let registry = Registry::open().await;
        let engines = Rc::new(Engines::default());
        let (mut proxies, mut backends) = (Vec::new(), Vec::new());
        for slot in 0..SERVICES.len() * BACKENDS {
            let proxy = Proxy::open(registry.address()).await;
            let backend = Backend::start(slot, 0, &proxy, &engines, &seen).await;
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
            places.push(Place { callers, listen, peers, link });
        }
        let seeds: Vec<SocketAddr> = places.iter().take(3).map(Place::address).collect();
        let mut entries = Vec::new();
        for (nth, place) in places.into_iter().enumerate() {
            entries.push(entry::open(nth, place, &seeds, logs)?);
        }
        let world = Self {
            entries: Rc::new(entries),
            _ports: Rc::new(ports),
            backends: Rc::new(backends),
            proxies: Rc::new(proxies),
            starts: Rc::default(),
            engines,
            registry,
            version: Rc::default(),
            large: size.links,
            logs: logs.to_owned(),
            seed,
            seen,
        };
        world.seen.disturbed(None, LEAD);
        world.publish();
        Ok(world)
    }

    /// Plays a plan while callers ask.
    pub(crate) async fn play(&self, plan: &Plan) -> Result<(), PlayError> {
        let addresses: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.callers).collect();
        sleep(LEAD / 2).await;
        for number in 0..CALLERS {
            let seen = self.seen.clone();
            spawn_local(caller::run(number, self.seed, addresses.clone(), seen));
        }
        spawn_local(self.clone().probe());
        spawn_local(self.clone().watch());
        for planned in &plan.faults {
            sleep(planned.at.saturating_sub(self.seen.now())).await;
            spawn_local(self.clone().strike(*planned));
        }
        sleep(plan.end.saturating_sub(self.seen.now()) + CALM).await;
        self.seen.ledger.borrow_mut().calm = self.seen.now();
        sleep(PROOF).await;
        Ok(())
    }

    /// Ends every process and returns what was seen.
    pub(crate) async fn close(self) -> Ledger {
        self.seen.over.set(true);
        sleep(TIMEOUT / 2).await;
        for entry in self.entries.iter() {
            entry.busy.set(true);
            let mut child = entry.child.borrow_mut();
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.backends.iter().for_each(|backend| backend.borrow().crash());
        self.seen.ledger.take()
    }

    fn publish(&self) {
        self.version.set(self.version.get() + 1);
        let published = (self.seen.now(), self.version.get());
        let text = if self.large { text::large } else { text::text };
        self.registry.publish(text(self.version.get()));
        self.seen.ledger.borrow_mut().published.push(published);
    }

    async fn strike(self, planned: Planned) {
        let Planned { span, fault, .. } = planned;
        match fault {
            Fault::Kill(nth) => self.kill(nth).await,
            Fault::KillAll => {
                let all = 0..self.entries.len();
                let kills = all.map(|nth| spawn_local(self.clone().kill_owned(nth)));
                for kill in kills.collect::<Vec<_>>() {
                    // A task of its own does not panic.
                    let _ = kill.await;
                }
            }
            Fault::Term(nth) => self.term(nth).await,
            Fault::Pause(nth) => self.pause(nth, span).await,
            Fault::Reload(nth) => self.signal(nth, Signal::HUP),
            Fault::Cut(nth) => self.link(nth, Mode::Silent, span).await,
            Fault::CutOneWay(nth) => self.link(nth, Mode::OneWay, span).await,
            Fault::Reset => {
                self.seen.disturbed(None, Duration::ZERO);
                self.entries.iter().for_each(|entry| entry.link.reset());
            }
            Fault::Busy => self.mood(Mood::Busy, span).await,
            Fault::Silent => self.mood(Mood::Silent, span).await,
            Fault::Forget => self.registry.forget(),
            Fault::Publish => self.publish(),
            Fault::Leave(slot) => self.leave(slot, true).await,
            Fault::LeaveSilently(slot) => self.leave(slot, false).await,
            Fault::Crash(slot) => self.crash(slot).await,
            Fault::ResetTarget(slot) => self.proxies[slot].reset(),
            Fault::Silence(slot) => self.target_link(slot, Mode::Silent, span).await,
            Fault::Lose(slot) => {
                self.backends[slot].borrow().set_losing(true);
                sleep(span).await;
                self.backends[slot].borrow().set_losing(false);
            }
            Fault::Delay(slot) => self.target_link(slot, Mode::Late, span).await,
            Fault::Narrow(nth) => {
                // No disturbance: what an entry owes, it owes on a narrow link as well.
                self.entries[nth].link.set_mode(Mode::Narrow);
                self.peers(nth, Mode::Narrow, span).await;
                self.entries[nth].link.set_mode(Mode::Open);
            }
            Fault::Hush(nth) => self.peers(nth, Mode::Silent, span).await,
            Fault::ResetPeers(nth) => {
                self.entries[nth].peers.iter().for_each(Proxy::reset);
            }
        }
    }

    async fn kill_owned(self, nth: usize) {
        self.kill(nth).await;
    }

    async fn kill(&self, nth: usize) {
        let entry = &self.entries[nth];
        if entry.busy.replace(true) {
            return;
        }
        self.seen.disturbed(Some(nth), RESTART + START);
        {
            let mut child = entry.child.borrow_mut();
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.restart(nth).await;
    }

    async fn term(&self, nth: usize) {
        let entry = &self.entries[nth];
        if entry.busy.replace(true) {
            return;
        }
        let grace = Duration::from_secs(GRACE_S);
        self.seen.disturbed(Some(nth), grace + RESTART + START);
        self.signal(nth, Signal::TERM);
        let end = Instant::now() + grace + Duration::from_secs(1);
        while Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
            if matches!(entry.child.borrow_mut().try_wait(), Ok(Some(_))) {
                break;
            }
        }
        {
            let mut child = entry.child.borrow_mut();
            // It has ended, or is ended as its platform would.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.restart(nth).await;
    }

    async fn restart(&self, nth: usize) {
        let entry = &self.entries[nth];
        sleep(RESTART).await;
        entry.starts.set(entry.starts.get() + 1);
        let log = self.logs.join(format!("{}-{}.log", entry.host, entry.starts.get()));
        match entry::start(&entry.host, &entry.settings, &log) {
            Ok(child) => *entry.child.borrow_mut() = child,
            Err(error) => eprintln!("soak: {error}"),
        }
        entry.busy.set(false);
        spawn_local(self.clone().trace_if_stalled(nth, entry.starts.get()));
    }

    /// Writes down what a process waits for that does not listen in time.
    async fn trace_if_stalled(self, nth: usize, start: u32) {
        sleep(STALLED).await;
        let entry = &self.entries[nth];
        let same = start == entry.starts.get() && !entry.busy.get() && !self.seen.is_over();
        if same && caller::connect(entry.callers).await.is_none() {
            let path = self.logs.join(format!("{}-{start}.trace", entry.host));
            let child = entry.child.borrow().id();
            entry::trace(child, &path);
            eprintln!("soak: {} does not listen; see {}", entry.host, path.display());
        }
    }

    async fn pause(&self, nth: usize, span: Duration) {
        if self.entries[nth].busy.replace(true) {
            return;
        }
        self.seen.disturbed(Some(nth), span);
        self.signal(nth, Signal::STOP);
        sleep(span).await;
        self.signal(nth, Signal::CONT);
        self.entries[nth].busy.set(false);
    }

    /// Signals an entry's process where it still runs.
    ///
    /// **Failure:** between the end of a process and the next one's start its number may be another
    /// program's, which a reload would end. A child that is not yet waited for keeps its number.
    fn signal(&self, nth: usize, signal: Signal) {
        let mut child = self.entries[nth].child.borrow_mut();
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        // It may end just now; its number is kept until it is waited for.
        let _ = id.map(|id| kill_process(id, signal));
    }

    async fn link(&self, nth: usize, mode: Mode, span: Duration) {
        self.seen.disturbed(Some(nth), span);
        self.entries[nth].link.set_mode(mode);
        sleep(span).await;
        self.entries[nth].link.set_mode(Mode::Open);
    }

    /// Does something to the links of others to an entry.
    async fn peers(&self, nth: usize, mode: Mode, span: Duration) {
        self.entries[nth].peers.iter().for_each(|proxy| proxy.set_mode(mode));
        sleep(span).await;
        self.entries[nth].peers.iter().for_each(|proxy| proxy.set_mode(Mode::Open));
    }

    async fn target_link(&self, slot: usize, mode: Mode, span: Duration) {
        self.proxies[slot].set_mode(mode);
        sleep(span).await;
        self.proxies[slot].set_mode(Mode::Open);
    }

    async fn mood(&self, mood: Mood, span: Duration) {
        self.seen.disturbed(None, span);
        self.registry.set_mood(mood);
        sleep(span).await;
        self.registry.set_mood(Mood::Well);
    }

    async fn leave(&self, slot: usize, says: bool) {
        let listed = self.backends[slot].borrow().listed.clone();
        self.backends[slot].borrow().leave();
        match says {
            true => self.registry.put(Target { state: State::Draining, ..listed.clone() }),
            false => self.registry.remove(&listed),
        }
        let at = self.seen.now();
        self.seen.ledger.borrow_mut().left.entry(listed.instance.clone()).or_insert(at);
        sleep(NOTICE + Duration::from_millis(500)).await;
        self.replace(slot, &listed).await;
    }

    async fn crash(&self, slot: usize) {
        let listed = self.backends[slot].borrow().listed.clone();
        self.backends[slot].borrow().crash();
        sleep(Duration::from_secs(1)).await;
        self.replace(slot, &listed).await;
    }

    /// Ends a target where it is still the one of its slot, and starts the next at its address.
    async fn replace(&self, slot: usize, old: &Target) {
        if self.backends[slot].borrow().listed.id != old.id {
            return;
        }
        self.backends[slot].borrow().crash();
        self.registry.remove(old);
        self.proxies[slot].reset();
        self.starts.set(self.starts.get() + 1);
        let (nth, proxy) = (self.starts.get(), &self.proxies[slot]);
        let next = Backend::start(slot, nth, proxy, &self.engines, &self.seen).await;
        self.registry.put(next.listed.clone());
        *self.backends[slot].borrow_mut() = next;
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
                let probed = Probed { from, to, entry: nth, start, version, known };
                self.seen.ledger.borrow_mut().probed.push(probed);
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
                    let exit = (self.seen.now(), nth);
                    self.seen.ledger.borrow_mut().exits.push(exit);
                    self.restart(nth).await;
                }
            }
        }
    }
}
