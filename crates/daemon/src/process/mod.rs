//! State with the lifetime of the process: settings, log, gates, and the server with its drain.

pub(crate) mod burn;
pub(crate) mod clock;
pub(crate) mod fleet;
pub(crate) mod limits;
pub(crate) mod log;
pub(crate) mod member;
pub(crate) mod metrics;
pub(crate) mod reconcile;
pub(crate) mod settings;
pub(crate) mod tickets;

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use fireflyhoist_policy::mac::Key;
use fireflyhoist_policy::version::{Standing, Verdict};
use fireflyhoist_text::{Text, Version};
use fireflyhoist_wire::platform::Hosts;
use ntex::client::Client;
use ntex::server::Server;
use ntex::web::{self, HttpServer};
use parking_lot::RwLock;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};

use crate::connection::handshake::Credentials;
use crate::connection::load;
use crate::connection::peer::{self, Links};
use crate::process::burn::Recorder;
use crate::process::clock::Clock;
use crate::process::limits::Limits;
use crate::process::member::Control;
use crate::process::metrics::Metrics;
use crate::process::settings::Settings;
use crate::process::tickets::Tickets;
use crate::request;
use crate::version::{Snapshot, watch};
use fireflyhoist_gateway::ServiceGate;

/// How often a drain checks whether requests are still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// How long a drain keeps serving so that peers receive the leave announcement before it stops:
/// two membership polls plus the network delay to each peer.
const LEAVE_NOTICE: Duration = Duration::from_millis(300);

/// How often gates are polled for expired deadlines; a tenth of the shortest objective in use.
const GATE_POLL: Duration = Duration::from_millis(10);

/// The reason why a daemon fails to start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[display("cannot listen on {address} ({reason}); set `listen` to a free address of this host")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        reason: io::Error,
    },
    /// Building the HTTP client failed.
    #[display("the HTTP client does not start; report this with the log")]
    Client,
    /// Setting up the metrics failed.
    #[display("the metrics do not start; report this with the log")]
    Metrics,
}

/// The state that all workers of one daemon share.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) key: Key,
    pub(crate) tickets: Tickets,
    pub(crate) control: Control,
    snapshot: RwLock<Option<Arc<Snapshot>>>,
    hosts: RwLock<Arc<Hosts>>,
    gates: RwLock<HashMap<id::Service, Arc<ServiceGate>>>,
    pub(crate) limits: Arc<Limits>,
    burn: Arc<Recorder>,
    refused: RwLock<Option<String>>,
    leaving: AtomicBool,
    ready: AtomicBool,
    departures: AtomicU64,
    stopped: AtomicBool,
    in_flight: AtomicUsize,
}

impl Process {
    fn open(settings: Settings, metrics: Metrics, http: SocketAddr, peer: SocketAddr) -> Arc<Self> {
        let clock = Clock::start();
        let control = Control::open(clock.now(), &settings, http, peer);
        Arc::new(Self {
            key: Key::open(&settings.peer_key),
            tickets: Tickets::open(clock, settings.host.clone()),
            settings,
            clock,
            limits: Limits::open(clock),
            control,
            burn: Arc::new(Recorder::open(clock, metrics)),
            refused: RwLock::default(),
            snapshot: RwLock::default(),
            hosts: RwLock::default(),
            gates: RwLock::default(),
            leaving: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            departures: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        })
    }

    /// Returns the version in force, or `None` before the first.
    pub(crate) fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.read().clone()
    }

    /// Returns the version in force, or `None` until this process is ready to serve.
    pub(crate) fn serving(&self) -> Option<Arc<Snapshot>> {
        self.snapshot().filter(|_| self.ready.load(Ordering::Acquire))
    }

    /// Returns what this process still waits for before it is ready to serve.
    pub(crate) fn standing(&self) -> Standing {
        self.control.view(self.clock.now()).standing
    }

    /// Returns whether the drain is complete, so that background tasks stop.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Returns the host list that was applied last.
    pub(crate) fn hosts(&self) -> Arc<Hosts> {
        Arc::clone(&self.hosts.read())
    }

    /// Returns the gate of a service that the version in force declares.
    pub(crate) fn gate(&self, service: &id::Service) -> Option<Arc<ServiceGate>> {
        self.gates.read().get(service).cloned()
    }

    /// Returns the recorder that counts answers and refusals for the burn rate report.
    pub(crate) fn burn(&self) -> &Arc<Recorder> {
        &self.burn
    }

    /// Applies a text that the platform published. Returns whether it changed anything.
    pub(crate) fn apply_published_text(&self, body: &[u8]) -> bool {
        let parsed = Text::parse_bytes(body);
        match (parsed, std::str::from_utf8(body)) {
            (Ok(text), Ok(source)) => {
                let version = Version::of(text.revision, source);
                self.offer(version, source, text)
            }
            (Err(faults), _) => self.refuse_text(faults.to_string()),
            (_, Err(fault)) => self.refuse_text(fault.to_string()),
        }
    }

    /// Applies a text that a peer has in force, fetched as `version`.
    pub(crate) fn apply_peer_text(&self, version: Version, source: &str) {
        match Text::parse(source) {
            Ok(text) if text.revision == version.revision() => {
                self.offer(version, source, text);
            }
            Ok(_) => {
                self.refuse_peer_text(version, source, "its revision is not the announced one")
            }
            Err(faults) => self.refuse_peer_text(version, source, &faults.to_string()),
        }
    }

    fn refuse_peer_text(&self, version: Version, source: &str, reason: &str) {
        self.control.offer(version, source, Err(reason.into()));
        self.refuse_text(format!("a peer runs {version}, which is refused here: {reason}"));
    }

    fn offer(&self, version: Version, source: &str, text: Text) -> bool {
        let known = self.control.versions();
        match self.control.offer(version, source, Ok(())) {
            Verdict::Adopt => {
                self.adopt(Snapshot { version, text });
                self.report_conflict(known.1);
                true
            }
            Verdict::Older => {
                let held = known.0.map(|version| version.to_string()).unwrap_or_default();
                self.report_conflict(known.1);
                self.refuse_text(format!(
                    "{version} is older than {held}, which is in force; the platform is stale, or \
                     raise `revision` above that of the text in force"
                ))
            }
            Verdict::Same | Verdict::Refused => false,
        }
    }

    fn report_conflict(&self, before: Option<(Version, Version)>) {
        let now = self.control.versions().1;
        if let Some((lower, higher)) = now.filter(|_| now != before) {
            ::log::warn!(
                lower:% = lower, higher:% = higher;
                "two texts share a revision; the higher digest is in force; publish a next revision"
            );
        }
    }

    /// Puts a version in force unless the same or a newer one is in force already.
    fn adopt(&self, next: Snapshot) {
        {
            let mut current = self.snapshot.write();
            // Two threads may reach this point in another order than their offers were decided.
            if current.as_ref().is_some_and(|now| now.version >= next.version) {
                return;
            }
            ::log::info!(version:% = next.version; "version in force");
            *current = Some(Arc::new(next.with_listed_targets(&self.hosts())));
        }
        *self.refused.write() = None;
        self.refresh_gates();
    }

    /// Records why the text read last was refused; the version in force stays.
    ///
    /// Returns whether the reason differs from the one recorded before.
    pub(crate) fn refuse_text(&self, reason: String) -> bool {
        let mut refused = self.refused.write();
        // The platform is read repeatedly, so each refused text is logged only once.
        let changed = refused.as_ref() != Some(&reason);
        if changed {
            ::log::warn!(reason:% = reason; "text refused");
            *refused = Some(reason);
        }
        changed
    }

    /// Returns why a text was refused, or `None` if none was refused since a version was adopted.
    pub(crate) fn refused(&self) -> Option<String> {
        self.refused.read().clone()
    }

    /// Returns the number of requests in flight.
    pub(crate) fn open_requests(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Applies a host list unless a newer one was seen. Returns whether it changed anything.
    pub(crate) fn set_hosts(&self, hosts: Hosts) -> bool {
        self.control.apply_host_list(self.clock.now(), &hosts);
        if self.control.is_stale(&hosts) || *self.hosts() == hosts {
            return false;
        }
        {
            let mut current = self.snapshot.write();
            let listed = |snapshot: &Arc<Snapshot>| {
                Arc::new(Snapshot::clone(snapshot).with_listed_targets(&hosts))
            };
            let takes_from_list = |snapshot: &&Arc<Snapshot>| {
                snapshot.text.services.iter().any(|service| service.targets_from.is_some())
            };
            if let Some(next) = current.as_ref().filter(takes_from_list).map(listed) {
                *current = Some(next);
            }
            *self.hosts.write() = Arc::new(hosts);
        }
        self.refresh_gates();
        true
    }

    /// Updates the flags and gates that requests read from the state of membership and versions.
    pub(crate) fn refresh(&self) {
        let view = self.control.view(self.clock.now());
        let ready = view.standing == Standing::Ready;
        if self.ready.swap(ready, Ordering::AcqRel) != ready {
            ::log::info!(ready = ready, standing:? = view.standing; "readiness");
        }
        if self.leaving.swap(view.leaving, Ordering::AcqRel) != view.leaving {
            ::log::info!(leaving = view.leaving; "leaving");
        }
        if self.departures.swap(view.departures, Ordering::AcqRel) != view.departures {
            self.refresh_gates();
        }
    }

    /// Updates limits, and every gate's weights, entries and targets that may receive new work.
    fn refresh_gates(&self) {
        let Some(snapshot) = self.snapshot() else { return };
        let hosts = self.hosts();
        self.limits.set(&snapshot.text, &hosts, &self.settings.host);
        let mut entries: Vec<&id::Host> =
            hosts.hosts.iter().filter(|h| h.entry.is_some()).map(|h| &h.name).collect();
        entries.sort();
        let own = entries.iter().position(|name| **name == self.settings.host);
        let weights = snapshot.text.workspaces.iter();
        let weights = weights.map(|w| (w.name.clone(), f64::from(w.weight))).collect();
        let mut gates = self.gates.write();
        gates.retain(|name, gate| {
            let kept = snapshot.text.service(name).is_some();
            if !kept {
                gate.close();
            }
            kept
        });
        self.burn.retain(|name| snapshot.text.service(name).is_some());
        for service in &snapshot.text.services {
            let usable = service.targets.iter().filter(|t| !self.control.is_leaving(&t.host));
            let gate =
                gates.entry(service.name.clone()).or_insert_with(|| ServiceGate::open(self.clock));
            let between = Duration::from_millis(service.objective.between_tokens_ms);
            gate.configure(&weights, between);
            gate.set_entries(entries.len(), own);
            gate.set_targets(usable.map(|t| t.name.clone()).collect());
        }
    }

    fn poll_gates(&self) {
        let gates: Vec<Arc<ServiceGate>> = self.gates.read().values().cloned().collect();
        gates.iter().for_each(|gate| gate.poll());
    }

    /// Returns whether this host accepts no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(Arc::clone(self))
    }
}

/// A guard that counts one request as in flight; a drain waits until none is left.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Process>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The shared state and the HTTP client of one worker thread.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) process: Arc<Process>,
    pub(crate) client: Client,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    process: Arc<Process>,
    http: SocketAddr,
    peer: SocketAddr,
    server: Server,
    stop_peers: oneshot::Sender<oneshot::Sender<()>>,
}

impl Daemon {
    /// Binds the listeners and starts the server and the background tasks.
    ///
    /// Must be called within an ntex system, such as under `#[ntex::main]`.
    pub async fn bind(settings: Settings) -> Result<Self, StartError> {
        let listen = |address: SocketAddr| {
            let listener = TcpListener::bind(address)
                .map_err(|reason| StartError::Listen { address, reason })?;
            let local =
                listener.local_addr().map_err(|reason| StartError::Listen { address, reason })?;
            Ok((listener, local))
        };
        let (listener, http) = listen(settings.listen)?;
        let (peer_listener, peer) = listen(settings.peer_listen)?;
        let metrics = Metrics::open().ok_or(StartError::Metrics)?;
        let process = Process::open(settings, metrics, http, peer);
        let client = crate::connection::client().await.ok_or(StartError::Client)?;
        let worker = Worker { process: Arc::clone(&process), client };
        let stop_peers = start_peering(&process, peer_listener, peer)
            .map_err(|reason| StartError::Listen { address: peer, reason })?;
        ntex::rt::spawn(watch::run(worker.clone(), watch::Key::Hosts)).detach();
        ntex::rt::spawn(watch::run(worker.clone(), watch::Key::Text)).detach();
        ntex::rt::spawn(load::run(worker.clone())).detach();
        ntex::rt::spawn(reconcile::run(worker)).detach();
        ntex::rt::spawn(run_gates(Arc::clone(&process))).detach();
        let server = serve(&process, listener)
            .map_err(|reason| StartError::Listen { address: http, reason })?;
        ::log::info!(http:% = http, peer:% = peer; "listening");
        Ok(Self { process, http, peer, server, stop_peers })
    }

    /// Returns the address that callers connect to.
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Returns the address that other daemons connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// Stops listening for peers, so that a replacement process can bind the address at once.
    async fn release_peer_address(&mut self) {
        let (confirm, confirmed) = oneshot::channel();
        let (unused, _) = oneshot::channel();
        let stop = std::mem::replace(&mut self.stop_peers, unused);
        if stop.send(confirm).is_ok() {
            let _ = confirmed.await;
        }
    }

    /// Serves until SIGTERM or SIGINT, then drains.
    pub async fn run_until_signal(self) {
        let term = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        if let (Ok(mut term), Ok(mut interrupt)) = (term, interrupt) {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        self.drain().await;
    }

    /// Stops at once, as a crash would: requests in flight are cut off.
    pub async fn kill(self) {
        self.server.stop(false).await;
    }

    /// Accepts no new work, finishes every request in flight, then stops.
    ///
    /// The server's own graceful stop can cut a streaming response after 0.1 s, so it runs only
    /// once nothing is in flight.
    pub async fn drain(mut self) {
        let process = &self.process;
        process.leaving.store(true, Ordering::Release);
        process.control.leave(process.clock.now());
        ::log::info!(open = self.process.in_flight.load(Ordering::Acquire); "draining");
        ntex::time::sleep(LEAVE_NOTICE).await;
        while self.process.in_flight.load(Ordering::Acquire) > 0 {
            ntex::time::sleep(DRAIN_POLL).await;
        }
        self.process.stopped.store(true, Ordering::Release);
        self.release_peer_address().await;
        self.server.stop(true).await;
        ::log::info!("stopped");
    }
}

/// Starts to accept links from peers and to exchange frames with them.
///
/// Sending on the returned channel stops the listener, which then confirms on the sender received.
fn start_peering(
    process: &Arc<Process>,
    listener: TcpListener,
    own: SocketAddr,
) -> io::Result<oneshot::Sender<oneshot::Sender<()>>> {
    let settings = &process.settings;
    let credentials = Credentials { host: settings.host.clone(), key: settings.peer_key.clone() };
    let (sender, events) = mpsc::channel(fleet::MAX_PENDING_EVENTS);
    let links = Links::open(credentials, sender);
    let listener = peer::listener(listener)?;
    let (stop, stopped) = oneshot::channel();
    ntex::rt::spawn(Arc::clone(&links).listen(listener, stopped)).detach();
    ntex::rt::spawn(fleet::discover(Arc::clone(process), Arc::clone(&links), own)).detach();
    ntex::rt::spawn(fleet::run(Arc::clone(process), links, events)).detach();
    Ok(stop)
}

async fn run_gates(process: Arc<Process>) {
    while !process.is_stopped() {
        ntex::time::sleep(GATE_POLL).await;
        process.poll_gates();
    }
}

fn serve(process: &Arc<Process>, listener: TcpListener) -> io::Result<Server> {
    let workers = process.settings.workers;
    let process = Arc::clone(process);
    let server = HttpServer::new(async move || {
        let process = Arc::clone(&process);
        web::App::new()
            .state_factory(async move || {
                let client = crate::connection::client().await;
                client
                    .map(|client| Worker { process: Arc::clone(&process), client })
                    .ok_or(StartError::Client)
            })
            .configure(request::routes)
    })
    .config(crate::connection::server::config())
    .workers(workers)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}
