//! The state that all requests of a process share. Each part has a lock of its own.

mod cordon;
mod entry_load;
mod fragility;
mod held;
mod origin;
mod path;
mod poison;
mod reservation;
mod rest;
mod shares;
mod suspicion;
mod target_limits;
mod targets;
mod text;
mod usage;

use std::collections::{BTreeSet, HashMap};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use fireflyhoist_policy::cordon::Cordons;
use fireflyhoist_policy::fragility::{Grants, Services};
use fireflyhoist_policy::gate;
use fireflyhoist_policy::lease::Leases;
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::reservation::Reservations;
use fireflyhoist_policy::rest::Rests;
use fireflyhoist_policy::resubmission::{Fingerprint, Ledger, Resubmission};
use fireflyhoist_policy::retry;
use fireflyhoist_policy::route::{Service, Table};
use fireflyhoist_policy::stagger::Order;
use fireflyhoist_policy::target_limit::Limits;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::token_bucket::Buckets;
use fireflyhoist_policy::{id, load, placement};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::timeout;

use crate::connection::memory::Memory;
use crate::process::EXIT_MARGIN;
use crate::process::clock::Clock;
use crate::process::metrics::Metrics;
use crate::process::service_gate::ServiceGate;
use crate::process::settings::{Bounds, Scheduling, Settings};
use crate::process::state::entry_load::EntryLoad;
use crate::process::state::held::Question;
use crate::process::state::origin::Origins;
use crate::process::state::path::Path;
use crate::process::state::poison::Poison;
use crate::process::state::shares::FleetShares;
use crate::process::state::suspicion::Suspicions;

pub(crate) use path::Connection;
pub(crate) use poison::{BrokenRun, CrashCheck};

/// Share of the configured retry ratio that the entry's own successes earn. The rest leaves room
/// for requests that are counted in another window than their retries.
const RETRY_EARNED_SHARE: f64 = 0.5;

/// Time after its start by which an entry is taken to know the other entries: links are open and
/// lists of live members were exchanged.
pub(crate) const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time after the start in which a process holds requests that it cannot serve yet.
const STARTUP_WINDOW: Duration = Duration::from_secs(1);

/// Longest wait of a request for the initial state of a starting entry. It is shorter than a
/// refusal and the caller's retry would take.
const INITIAL_SYNC_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a request after which an entry is idle. Callers keep the addresses of entries for
/// seconds.
const IDLE_AFTER: Duration = Duration::from_secs(3);

/// What an entry does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Serving,
    /// It serves those that can end before it stops.
    Draining,
    /// It is about to stop, and sends nothing to targets.
    Closing,
}

/// The times of a process that leaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaveTimes {
    /// How long it has been leaving.
    pub(crate) since: Duration,
    /// The part of the grace period that is left.
    pub(crate) remaining: Duration,
    /// How long it still waits for answers.
    pub(crate) open_for: Duration,
}

/// Shared state of one entry process.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    /// What callers can make this process hold.
    pub(crate) memory: Arc<Memory>,
    bounds: RwLock<Bounds>,
    scheduling: RwLock<Scheduling>,
    seeds: RwLock<Vec<std::net::SocketAddr>>,
    table: RwLock<Option<Arc<Table>>>,
    /// Held while a text is put in force.
    applying_text: Mutex<()>,
    /// All services so far, each as described by the newest text that has it. Requests that were
    /// accepted under an earlier text may still run there.
    services: RwLock<HashMap<id::Service, Service>>,
    gates: RwLock<HashMap<id::Service, Arc<ServiceGate>>>,
    /// The active entries, which stagger their requests to an engine that has joined.
    order: Mutex<Order>,
    leases: Mutex<Leases>,
    /// Cordoned failure domains; their targets get no new requests.
    cordons: Mutex<Cordons>,
    /// Tokens of the copies that this entry had engines make, by the target that holds them.
    copies: Mutex<HashMap<id::Target, u64>>,
    /// Requests that any entry refused recently.
    refusals: Mutex<Ledger>,
    /// Requests that targets crashed on.
    poison: Poison,
    /// Features of requests that engines crashed on.
    suspicions: Suspicions,
    /// Versions of software that began streams.
    origins: Origins,
    path: Path,
    entry_load: EntryLoad,
    /// Services whose targets crash if they reject too much.
    fragile: Mutex<Services>,
    /// Grants of requests to such targets, used for the targets that this entry decides for.
    grants: Mutex<Grants>,
    /// Reservations of prefill, used for the engines that this entry decides for.
    reservations: Mutex<Reservations>,
    /// Targets that asked this entry for rest.
    rests: Mutex<Rests>,
    /// Request rates that targets advertise.
    target_limits: Mutex<Limits>,
    /// Token buckets of limited targets, used for the targets that this entry decides for.
    buckets: Mutex<Buckets>,
    /// Memory that other entries use at targets.
    peer_usage: Mutex<load::Peers>,
    /// What workspaces use through other entries.
    shares: FleetShares,
    /// Targets at which this entry used memory when that was last passed to the gates.
    used_targets: Mutex<BTreeSet<id::Target>>,
    /// Bumped whenever targets change, so that running answers check whether their target drains.
    target_changes: watch::Sender<u64>,
    /// Makes the next heartbeat go out early.
    early_heartbeat: Notify,
    registry_available: AtomicBool,
    /// Number of restores of the registry from an older copy that are known here.
    era: AtomicU64,
    /// Whether the latest watch of targets succeeded.
    watching: AtomicBool,
    /// When the process began to leave.
    leaving_since: OnceLock<Time>,
    phase: watch::Sender<Phase>,
    target_list_known: AtomicBool,
    open_requests: AtomicUsize,
    /// Asks the workers what they hold.
    workers: Mutex<Vec<mpsc::UnboundedSender<Question>>>,
    /// Notified when a request arrives while none is open.
    busy: Notify,
    /// Highest number of active entries seen so far.
    max_active_entries: AtomicUsize,
    /// When the latest request arrived.
    latest_request: Mutex<Time>,
}

impl Process {
    pub(crate) fn open(settings: Settings) -> Option<Arc<Self>> {
        let metrics = Metrics::open()?;
        let resources = settings.resources;
        let memory = Memory::open(
            resources.payload_bytes(),
            resources.request_bytes(),
            metrics.limits().clone(),
        );
        Some(Arc::new(Self {
            clock: Clock::start(),
            metrics,
            memory,
            bounds: RwLock::new(settings.bounds),
            scheduling: RwLock::new(settings.scheduling),
            seeds: RwLock::new(settings.seeds.clone()),
            table: RwLock::default(),
            applying_text: Mutex::default(),
            services: RwLock::default(),
            gates: RwLock::default(),
            order: Mutex::default(),
            leases: Mutex::default(),
            cordons: Mutex::default(),
            copies: Mutex::default(),
            refusals: Mutex::default(),
            poison: Poison::default(),
            suspicions: Suspicions::default(),
            origins: Origins::default(),
            path: Path::default(),
            entry_load: EntryLoad::default(),
            fragile: Mutex::default(),
            grants: Mutex::default(),
            reservations: Mutex::default(),
            rests: Mutex::default(),
            target_limits: Mutex::default(),
            buckets: Mutex::new(Buckets::with_membership_known_at(
                Time::ZERO + MEMBERSHIP_SETTLE_TIME,
            )),
            peer_usage: Mutex::default(),
            shares: FleetShares::default(),
            used_targets: Mutex::default(),
            target_changes: watch::channel(0).0,
            early_heartbeat: Notify::new(),
            registry_available: AtomicBool::new(false),
            era: AtomicU64::new(0),
            watching: AtomicBool::new(false),
            leaving_since: OnceLock::new(),
            phase: watch::channel(Phase::Serving).0,
            target_list_known: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            workers: Mutex::default(),
            busy: Notify::new(),
            max_active_entries: AtomicUsize::new(0),
            latest_request: Mutex::new(Time::ZERO),
            settings,
        }))
    }

    /// Applies the settings that may change at run time; returns whether any of them changed.
    pub(crate) fn reload(&self, settings: Settings) -> bool {
        let scheduling_changed = *self.scheduling.read() != settings.scheduling;
        let bounds_changed = *self.bounds.read() != settings.bounds;
        let changed = scheduling_changed || bounds_changed || *self.seeds.read() != settings.seeds;
        *self.bounds.write() = settings.bounds;
        if bounds_changed {
            self.update_retry_limits();
        }
        *self.seeds.write() = settings.seeds;
        if scheduling_changed {
            *self.scheduling.write() = settings.scheduling;
            self.gates.read().values().for_each(|gate| gate.set_scheduling(settings.scheduling));
        }
        changed
    }

    /// Returns the switches of mechanisms for contended targets.
    pub(crate) fn scheduling(&self) -> Scheduling {
        *self.scheduling.read()
    }

    pub(crate) fn bounds(&self) -> Bounds {
        *self.bounds.read()
    }

    pub(crate) fn seeds(&self) -> Vec<std::net::SocketAddr> {
        self.seeds.read().clone()
    }

    /// Sets the active entries among which requests to a joined engine are staggered, and passes
    /// them to the gates.
    pub(crate) fn set_order(&self, order: Order) {
        let mut known = self.order.lock();
        if *known == order {
            return;
        }
        known.clone_from(&order);
        drop(known);
        self.gates.read().values().for_each(|gate| gate.set_order(order.clone()));
    }

    /// Sets the number of active entries, by which the limit on retries is divided. The divisor is
    /// the highest count seen and never falls.
    pub(crate) fn set_active_entries(&self, count: usize) {
        if self.max_active_entries.fetch_max(count, Ordering::AcqRel) < count {
            self.update_retry_limits();
        }
    }

    fn update_retry_limits(&self) {
        let limits = self.retry_limits();
        self.gates.read().values().for_each(|gate| gate.set_retries(limits));
    }

    fn retry_limits(&self) -> retry::Limits {
        let bounds = self.bounds();
        let earned = bounds.retry_ratio * RETRY_EARNED_SHARE;
        retry::Limits::share(
            earned,
            bounds.retry_burst,
            self.max_active_entries.load(Ordering::Acquire),
        )
    }

    fn gate_settings(&self) -> gate::Settings {
        let retries = self.retry_limits();
        // Entries report to each other several times a second what they hold, so no entry has to
        // keep to its share of an old report.
        gate::Settings {
            share: false,
            charge_overnight: true,
            choices: placement::CHOICES_FRESH,
            prefill_bound: true,
            shed_late: true,
            retries,
            ..gate::Settings::default()
        }
    }

    pub(crate) fn gate(&self, service: &id::Service) -> Option<Arc<ServiceGate>> {
        self.gates.read().get(service).cloned()
    }

    /// Requests an early heartbeat, so that other entries learn of a change without waiting for the
    /// next regular one.
    pub(crate) fn request_heartbeat(&self) {
        self.early_heartbeat.notify_one();
    }

    /// Waits until an early heartbeat is requested.
    pub(crate) async fn heartbeat_requested(&self) {
        self.early_heartbeat.notified().await;
    }

    /// Records that this or another entry refused a request which was first submitted `age` ago.
    pub(crate) fn record_refusal(&self, fingerprint: Fingerprint, age: Duration) {
        let now = self.clock.now();
        self.refusals.lock().record(now, fingerprint, now - age);
    }

    /// Returns the earlier attempts of a request that is submitted again after a refusal; `None`
    /// where no refusal is known.
    pub(crate) fn resubmission(&self, fingerprint: Fingerprint) -> Option<Resubmission> {
        self.refusals.lock().find(self.clock.now(), fingerprint)
    }

    /// Records whether the latest registry call succeeded; logs each loss and each recovery.
    pub(crate) fn set_registry_available(&self, available: bool) {
        if self.registry_available.swap(available, Ordering::AcqRel) != available {
            if available {
                ::log::info!("registry answers");
            } else {
                ::log::warn!("registry lost; serving what is known");
            }
        }
    }

    pub(crate) fn is_registry_available(&self) -> bool {
        self.registry_available.load(Ordering::Acquire)
    }

    /// Raises the registry's era, as the registry or peers report it: the number of times it was
    /// restored from an older copy. Returns whether the era is new here.
    pub(crate) fn raise_era(&self, era: u64, source: &str) -> bool {
        let before = self.era.fetch_max(era, Ordering::AcqRel);
        if era > before {
            self.metrics.registry_restore();
            ::log::warn!(
                era = era, before = before, source = source;
                "registry came back from an older copy"
            );
        }
        era > before
    }

    /// Returns the highest registry era known, which is the number of its restores from an older
    /// copy.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Acquire)
    }

    /// Counts and logs a list of targets that was refused because it is of an earlier era.
    pub(crate) fn record_refused_list(&self, known: Position, refused: Position, source: &str) {
        self.metrics.older_era_refused();
        ::log::info!(known:% = known, told:% = refused, source = source; "targets of an earlier era refused");
    }

    /// Records whether this entry itself watches targets at the registry.
    pub(crate) fn set_watching(&self, watches: bool) {
        self.watching.store(watches, Ordering::Release);
    }

    pub(crate) fn is_watching(&self) -> bool {
        self.watching.load(Ordering::Acquire)
    }

    /// Starts to leave: from now on new callers are sent to other entries.
    pub(crate) fn leave(&self) {
        self.leaving_since.get_or_init(|| self.clock.now());
        self.phase.send_replace(Phase::Draining);
    }

    /// Ends the drain: requests that have not been sent are refused, and those that have been are
    /// answered at once.
    pub(crate) fn close(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    pub(crate) fn is_closing(&self) -> bool {
        *self.phase.borrow() == Phase::Closing
    }

    /// Waits until the drain has ended.
    pub(crate) async fn closing(&self) {
        // The sender lives as long as the process, so there is no error here.
        let _ = self.phase.subscribe().wait_for(|phase| *phase == Phase::Closing).await;
    }

    pub(crate) fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Returns the times of the drain; `None` if the process does not leave.
    pub(crate) fn leave_times(&self) -> Option<LeaveTimes> {
        let since = self.clock.now().since(*self.leaving_since.get()?);
        let remaining = self.bounds().grace().saturating_sub(since);
        Some(LeaveTimes { since, remaining, open_for: remaining.saturating_sub(EXIT_MARGIN) })
    }

    /// Returns whether this entry is ready for callers: it has all state that decisions need and is
    /// not leaving.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_synced() && !self.is_leaving()
    }

    /// Returns whether a text, a list of targets and the cordons are known.
    fn has_synced(&self) -> bool {
        self.revision() > 0 && self.has_target_list() && self.knows_cordons()
    }

    /// Holds a request until the initial state is there, for a limited time and only right after
    /// the start.
    pub(crate) async fn wait_for_initial_sync(&self) {
        let age = self.clock.now().since(Time::ZERO);
        if self.has_synced() || age >= STARTUP_WINDOW {
            return;
        }
        let mut changes = self.watch_targets();
        let synced = async {
            // The sender lives as long as the process, so `changed` returns no error here.
            while !self.has_synced() && changes.changed().await.is_ok() {}
        };
        // After the timeout the request is refused by the later checks.
        let _ = timeout(INITIAL_SYNC_TIMEOUT, synced).await;
    }

    /// Returns whether no request is open and none has arrived for [`IDLE_AFTER`].
    pub(crate) fn is_idle(&self) -> bool {
        self.open_requests() == 0
            && self.clock.now().since(*self.latest_request.lock()) >= IDLE_AFTER
    }

    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Waits until a request arrives, unless one is open.
    pub(crate) async fn busy(&self) {
        // Callers are served by another thread, so the wait begins before the check.
        let mut arrived = pin!(self.busy.notified());
        arrived.as_mut().enable();
        if self.open_requests() == 0 {
            arrived.await;
        }
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>) -> RequestGuard {
        if self.open_requests.fetch_add(1, Ordering::AcqRel) == 0 {
            self.busy.notify_waiters();
        }
        *self.latest_request.lock() = self.clock.now();
        RequestGuard { process: Arc::clone(self) }
    }
}

/// Counts as one open request until it is dropped; a leaving process waits for open requests.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    process: Arc<Process>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.process.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns whole milliseconds for log lines and messages; saturates at `u64::MAX`.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
