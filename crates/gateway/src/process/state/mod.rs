//! The state that all requests of a process share, in shards under locks of their own.

mod cordon;
mod holdings;
mod intake;
mod poison;
mod targets;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use fireflyhoist_policy::cordon::Cordons;
use fireflyhoist_policy::gate;
use fireflyhoist_policy::lease::Leases;
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::resubmission::{Fingerprint, Ledger};
use fireflyhoist_policy::retry;
use fireflyhoist_policy::route::{Table, Text};
use fireflyhoist_policy::stagger::Order;
use fireflyhoist_policy::target_limit::Limits;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::token_bucket::Buckets;
use fireflyhoist_policy::{id, placement};
use ntex::time::timeout;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};

use crate::connection::frame::Load;
use crate::process::clock::Clock;
use crate::process::metrics::Metrics;
use crate::process::service_gate::ServiceGate;
use crate::process::settings::{Bounds, Settings};
use crate::process::state::poison::Poison;

pub(crate) use poison::Inspection;

/// The part of the bound on retries per request that entries earn; the rest covers requests that
/// are counted in another window than their retries.
const RETRY_EARNED: f64 = 0.5;

/// After how long an entry that has just started knows the others: links are open and lists of who is
/// alive told.
pub(crate) const SETTLED: Duration = Duration::from_secs(2);

/// How long a process counts as one that has just started.
const STARTING: Duration = Duration::from_secs(1);

/// How long a request waits for what a starting entry is about to be told: less than it would take to
/// come back after a refusal.
const WARM_UP: Duration = Duration::from_millis(300);

/// After how long without a request an entry counts as idle: callers keep addresses for seconds.
const IDLE: Duration = Duration::from_secs(3);

/// State of one process.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    bounds: RwLock<Bounds>,
    seeds: RwLock<Vec<std::net::SocketAddr>>,
    table: RwLock<Option<Arc<Table>>>,
    lanes: RwLock<HashMap<id::Service, Arc<ServiceGate>>>,
    /// The entries that carry the traffic.
    order: Mutex<Order>,
    leases: Mutex<Leases>,
    /// Failure domains that get nothing new.
    cordons: Mutex<Cordons>,
    /// Tokens of copies that this entry had made, by the target that keeps them.
    copies: Mutex<HashMap<id::Target, u64>>,
    /// Requests that any entry has refused lately.
    refused: Mutex<Ledger>,
    /// Requests under which targets ended.
    poison: Poison,
    /// What targets say they take.
    intake: Mutex<Limits>,
    /// What may still be sent to those, where this entry decides.
    keeper: Mutex<Buckets>,
    /// What other entries hold, by entry.
    others: Mutex<HashMap<id::Host, Vec<Load>>>,
    /// Changes whenever targets do, so that running answers look whether theirs leaves.
    targets: watch::Sender<u64>,
    /// Wakes the heartbeats when a generation was sent.
    sent: Notify,
    registry: AtomicBool,
    /// How often the registry is known to have come back from a copy.
    era: AtomicU64,
    /// Whether its latest watch of targets succeeded.
    watching: AtomicBool,
    /// Since when it leaves.
    leaving: OnceLock<Time>,
    listed: AtomicBool,
    open: AtomicUsize,
    /// The most entries that were seen to carry the traffic.
    actives: AtomicUsize,
    /// When the latest request came.
    begun: Mutex<Time>,
}

impl Process {
    pub(crate) fn open(settings: Settings) -> Option<Arc<Self>> {
        Some(Arc::new(Self {
            clock: Clock::start(),
            metrics: Metrics::open()?,
            bounds: RwLock::new(settings.bounds),
            seeds: RwLock::new(settings.seeds.clone()),
            table: RwLock::default(),
            lanes: RwLock::default(),
            order: Mutex::default(),
            leases: Mutex::default(),
            cordons: Mutex::default(),
            copies: Mutex::default(),
            refused: Mutex::default(),
            poison: Poison::default(),
            intake: Mutex::default(),
            keeper: Mutex::new(Buckets::with_membership_known_at(Time::ZERO + SETTLED)),
            others: Mutex::default(),
            targets: watch::channel(0).0,
            sent: Notify::new(),
            registry: AtomicBool::new(false),
            era: AtomicU64::new(0),
            watching: AtomicBool::new(false),
            leaving: OnceLock::new(),
            listed: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            actives: AtomicUsize::new(0),
            begun: Mutex::new(Time::ZERO),
            settings,
        }))
    }

    /// Takes over settings that may change; returns whether any did.
    pub(crate) fn reload(&self, settings: Settings) -> bool {
        let changed =
            *self.bounds.read() != settings.bounds || *self.seeds.read() != settings.seeds;
        *self.bounds.write() = settings.bounds;
        *self.seeds.write() = settings.seeds;
        changed
    }

    pub(crate) fn bounds(&self) -> Bounds {
        *self.bounds.read()
    }

    pub(crate) fn seeds(&self) -> Vec<std::net::SocketAddr> {
        self.seeds.read().clone()
    }

    /// The text in force.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.table.read().clone()
    }

    /// The revision of the text in force; 0 before the first.
    pub(crate) fn revision(&self) -> u64 {
        self.table.read().as_ref().map_or(0, |table| table.text().revision)
    }

    /// Puts a text in force if it is newer than the one that is.
    ///
    /// Readings overtake each other: of the registry, of peers, of a registry that serves stale
    /// ones. The highest revision wins and none goes back, so their order doesn't matter.
    pub(crate) fn adopt(&self, text: Text, source: &str) -> bool {
        let revision = text.revision;
        let mut table = self.table.write();
        let before = table.as_ref().map_or(0, |table| table.text().revision);
        if revision <= before && table.is_some() {
            return false;
        }
        let new = Arc::new(Table::new(text));
        *table = Some(Arc::clone(&new));
        drop(table);
        self.open_lanes(&new);
        self.refresh();
        ::log::info!(
            revision = revision, before = before, source = source,
            routes = new.text().routes.len(); "text in force"
        );
        true
    }

    fn open_lanes(&self, table: &Table) {
        let order = self.order.lock().clone();
        let mut lanes = self.lanes.write();
        for service in &table.text().services {
            let lane = lanes.entry(service.name.clone());
            lane.or_insert_with(|| ServiceGate::with_settings(self.clock, self.terms()))
                .set_order(order.clone());
        }
    }

    /// Takes in which entries carry the traffic.
    pub(crate) fn set_order(&self, order: Order) {
        let mut known = self.order.lock();
        if *known == order {
            return;
        }
        known.clone_from(&order);
        drop(known);
        self.lanes.read().values().for_each(|lane| lane.set_order(order.clone()));
    }

    /// Notes how many entries carry the traffic, among which the bound on retries is divided; it is never
    /// divided among fewer again.
    pub(crate) fn set_actives(&self, count: usize) {
        if self.actives.fetch_max(count, Ordering::AcqRel) < count {
            let terms = self.retries();
            self.lanes.read().values().for_each(|lane| lane.set_retries(terms));
        }
    }

    fn retries(&self) -> retry::Limits {
        let bounds = self.bounds();
        let earned = bounds.retry_ratio * RETRY_EARNED;
        retry::Limits::share(earned, bounds.retry_burst, self.actives.load(Ordering::Acquire))
    }

    fn terms(&self) -> gate::Settings {
        let retries = self.retries();
        // Entries tell each other several times a second what they hold, so none has to keep to a
        // share of an old report.
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

    pub(crate) fn lane(&self, service: &id::Service) -> Option<Arc<ServiceGate>> {
        self.lanes.read().get(service).cloned()
    }

    /// Notes that a generation was sent, which the other entries should learn of soon.
    pub(crate) fn note_sent(&self) {
        self.sent.notify_one();
    }

    /// Waits until a generation was sent.
    pub(crate) async fn sent(&self) {
        self.sent.notified().await;
    }

    /// Notes that a request was refused, here or by another entry, which has been wanted for `age`.
    pub(crate) fn note_refused(&self, print: Fingerprint, age: Duration) {
        let now = self.clock.now();
        self.refused.lock().record(now, print, now - age);
    }

    /// Since when a request has been wanted that comes back after a refusal.
    pub(crate) fn wanted_since(&self, print: Fingerprint) -> Option<Time> {
        self.refused.lock().since(self.clock.now(), print)
    }

    /// Notes how the latest call of the registry went; logs each loss and return.
    pub(crate) fn set_registry(&self, works: bool) {
        if self.registry.swap(works, Ordering::AcqRel) != works {
            if works {
                ::log::info!("registry answers");
            } else {
                ::log::warn!("registry lost; serving what is known");
            }
        }
    }

    pub(crate) fn registry_works(&self) -> bool {
        self.registry.load(Ordering::Acquire)
    }

    /// Notes how often the registry says, or peers know, that it came back from a copy; returns whether
    /// that is news.
    pub(crate) fn note_era(&self, era: u64, source: &str) -> bool {
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

    /// How often the registry is known to have come back from a copy.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Acquire)
    }

    /// Notes that something of an earlier era was not taken.
    pub(crate) fn refuse_older(&self, known: Position, told: Position, source: &str) {
        self.metrics.older_era_refused();
        ::log::info!(known:% = known, told:% = told, source = source; "targets of an earlier era refused");
    }

    /// Notes whether this entry hears of targets from the registry.
    pub(crate) fn set_watching(&self, watches: bool) {
        self.watching.store(watches, Ordering::Release);
    }

    pub(crate) fn is_watching(&self) -> bool {
        self.watching.load(Ordering::Acquire)
    }

    /// Takes no new callers from now on.
    pub(crate) fn leave(&self) {
        self.leaving.get_or_init(|| self.clock.now());
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// For how long it has been leaving, and how long it may still run.
    pub(crate) fn leaving(&self) -> Option<(Duration, Duration)> {
        let since = self.clock.now().since(*self.leaving.get()?);
        Some((since, self.bounds().grace().saturating_sub(since)))
    }

    /// Whether callers are well served here: all that decides is known, and it stays.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_informed() && !self.is_leaving()
    }

    /// Whether a text, targets and cordons are known.
    fn is_informed(&self) -> bool {
        self.revision() > 0 && self.is_listed() && self.knows_cordons()
    }

    /// Holds a request while this process has just started and is about to be told what it needs.
    pub(crate) async fn warm_up(&self) {
        let age = self.clock.now().since(Time::ZERO);
        if self.is_informed() || age >= STARTING {
            return;
        }
        let mut changes = self.watch_targets();
        let informed = async {
            // Its sender lives as long as the process.
            while !self.is_informed() && changes.changed().await.is_ok() {}
        };
        // Whoever is still not informed then refuses.
        let _ = timeout(WARM_UP, informed).await;
    }

    /// Whether it had no request for [`IDLE`].
    pub(crate) fn is_idle(&self) -> bool {
        self.open_requests() == 0 && self.clock.now().since(*self.begun.lock()) >= IDLE
    }

    pub(crate) fn open_requests(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Counts a request in progress until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> Open {
        self.open.fetch_add(1, Ordering::AcqRel);
        *self.begun.lock() = self.clock.now();
        Open { process: Arc::clone(self) }
    }
}

/// A request in progress; a drain waits for it.
#[derive(Debug)]
pub(crate) struct Open {
    process: Arc<Process>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.process.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Milliseconds for log lines.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
