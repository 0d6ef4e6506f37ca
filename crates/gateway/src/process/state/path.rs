//! Connections to targets, which are opened directly or, while this entry is isolated, through
//! another one. Everything that is sent to a target goes through this module.

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::isolation::{self, CHECK_TIMEOUT, CHECKED_TARGETS, Detector};
use fireflyhoist_policy::lease::{State, Target};
use fireflyhoist_policy::permit::Grant;
use fireflyhoist_policy::presence::Presence;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::topology::Member;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout};
use tokio_util::either::Either;

use crate::connection::exchange::{
    self, CONNECT_TIMEOUT, Failure, Outgoing, Refusal, Reply, Response,
};
use crate::connection::forwarder;
use crate::connection::memory::Permit;
use crate::connection::relay::{self, Incoming, OpenError, Relayed};
use crate::process::state::{Process, millis};

/// How long another entry may take to open a connection: as long as a direct one may take, and a few
/// round trips more.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);

/// The most connections that this entry relays at one time. Each holds two descriptors and some 50 KB.
const MAX_RELAYED: usize = 256;

/// How long this entry must stay to relay a new connection, which ends with it: as long as a lookup
/// takes at a target that stalls. A request that is expected to take longer needs more.
const MIN_RELAY_TIME: Duration = Duration::from_millis(1_500);

/// A connection to a target.
pub(crate) type Connection = Either<TcpStream, Relayed>;

/// The path of this entry to targets.
#[derive(Debug)]
pub(super) struct Path {
    detector: Mutex<Detector>,
    /// The entries that reach targets, as far as this one knows.
    relays: Mutex<Arc<Vec<Presence>>>,
    /// Held while this entry checks whether it reaches any target.
    check: tokio::sync::Mutex<()>,
    /// Notified when the entry becomes isolated.
    isolated: Notify,
    /// Notified when the entry is no longer isolated.
    recovered: Notify,
    relayed: Semaphore,
}

impl Default for Path {
    fn default() -> Self {
        Self {
            detector: Mutex::default(),
            relays: Mutex::default(),
            check: tokio::sync::Mutex::default(),
            isolated: Notify::new(),
            recovered: Notify::new(),
            relayed: Semaphore::new(MAX_RELAYED),
        }
    }
}

impl Process {
    /// Returns whether this entry reaches no target.
    pub(crate) fn is_isolated(&self) -> bool {
        self.path.detector.lock().is_isolated()
    }

    /// Returns whether what becomes of a request at a target may be due to the path of this entry.
    pub(crate) fn is_path_suspect(&self) -> bool {
        self.path.detector.lock().is_suspect(self.clock.now())
    }

    /// Returns the number of connections that this entry relays for others.
    pub(crate) fn relayed(&self) -> usize {
        MAX_RELAYED - self.path.relayed.available_permits()
    }

    /// Sets the entries that reach targets.
    pub(crate) fn set_relays(&self, relays: Vec<Presence>) {
        *self.path.relays.lock() = Arc::new(relays);
    }

    /// Returns whether the entry that relays a connection is leaving, and a new connection would not end
    /// with it.
    pub(crate) fn must_leave_relay(&self, relay: &id::Host) -> bool {
        let known = Arc::clone(&self.path.relays.lock());
        let is_leaving = |host: &id::Host| {
            known.iter().any(|presence| presence.member.host == *host && !presence.ready)
        };
        is_leaving(relay) && (!self.is_isolated() || known.iter().any(|presence| presence.ready))
    }

    /// Opens a connection to a target, each step of it `within` that time. Returns the entry that
    /// relays it too, `None` where it is direct. `expected_use` is asked for only if one does.
    pub(crate) async fn connect(
        &self,
        target: &Target,
        within: Duration,
        expected_use: impl Fn() -> Duration,
    ) -> Result<(Connection, Option<id::Host>), Failure> {
        let began_at = self.clock.now();
        if !self.is_isolated() {
            match self.connect_directly(target, within).await {
                Ok(stream) => return Ok((Either::Left(stream), None)),
                Err(failure) if self.has_path(Some(target), began_at).await => return Err(failure),
                Err(_) => {}
            }
        }
        let (stream, relay) = self.connect_through_peer(target, within, expected_use()).await?;
        Ok((Either::Right(stream), Some(relay)))
    }

    async fn connect_directly(
        &self,
        target: &Target,
        within: Duration,
    ) -> Result<TcpStream, Failure> {
        let now = self.clock.now();
        let usual = self.path.detector.lock().connect_timeout(now, CONNECT_TIMEOUT);
        let within = usual.min(within);
        let stream = match self.settings.forwarder {
            Some(forwarder) => forwarder::connect(forwarder, target.address, within).await?,
            None => exchange::connect(target.address, within).await?,
        };
        self.record_connected();
        Ok(stream)
    }

    async fn connect_through_peer(
        &self,
        target: &Target,
        within: Duration,
        expected_use: Duration,
    ) -> Result<(Relayed, id::Host), Failure> {
        let request = relay::Request { target: target.id.clone(), use_ms: millis(expected_use) };
        let known = Arc::clone(&self.path.relays.lock());
        let relays: Vec<Member> =
            isolation::relays(&known, &mut rand::rng()).into_iter().cloned().collect();
        for Member { host, peers, .. } in relays {
            let error = match relay::open(peers, &request, RELAY_TIMEOUT.min(within)).await {
                Ok(stream) => {
                    self.metrics.relayed("opened");
                    return Ok((stream, host));
                }
                Err(error) => error,
            };
            log::info!(target:% = target.id, via:% = host, error:% = error; "not relayed");
            if error == (OpenError::Refused { reason: relay::Refusal::Unreached }) {
                return Err(Failure::ConnectFailed { reason: Refusal::NotRelayed });
            }
        }
        self.metrics.relayed("failed");
        Err(Failure::NoPath)
    }

    /// Returns whether this entry reaches any target, after a connection to `refused` that was begun at
    /// `began_at` could not be opened, or any connection broke then.
    async fn has_path(&self, refused: Option<&Target>, began_at: Time) -> bool {
        let must_check = || self.path.detector.lock().must_check(began_at);
        if !must_check() {
            return true;
        }
        let _turn = self.path.check.lock().await;
        // Another request may have checked while this one waited.
        if self.is_isolated() {
            return false;
        }
        if !must_check() {
            return true;
        }
        let checked_at = self.clock.now();
        let others = self.draw_targets(CHECKED_TARGETS, refused.map(|target| &target.id));
        if self.reaches_any(&others).await {
            return true;
        }
        let tried = others.len() + usize::from(refused.is_some());
        let isolated =
            self.path.detector.lock().record_failed_check(self.clock.now(), checked_at, tried);
        if isolated {
            ::log::warn!(tried = tried; "no target is reached; using other entries");
            self.path.isolated.notify_one();
            self.request_heartbeat();
        }
        !isolated
    }

    /// Draws ready targets at random.
    fn draw_targets(&self, count: usize, except: Option<&id::Target>) -> Vec<Target> {
        let leases = self.leases.lock();
        let ready = leases.all().filter(|target| target.state == State::Ready);
        let others = ready.filter(|target| Some(&target.id) != except);
        others.choose_multiple(&mut rand::rng(), count).into_iter().cloned().collect()
    }

    /// Returns whether a connection to any of these targets can be opened.
    async fn reaches_any(&self, targets: &[Target]) -> bool {
        // Mostly the first of them answers, so the others are spared the connection.
        for few in targets.chunks(CHECKED_TARGETS / 2) {
            let connects = few.iter().map(|target| self.connect_directly(target, CHECK_TIMEOUT));
            let mut connects: FuturesUnordered<_> = connects.collect();
            while let Some(connected) = connects.next().await {
                if connected.is_ok() {
                    return true;
                }
            }
        }
        false
    }

    fn record_connected(&self) {
        let now = self.clock.now();
        let ended = self.path.detector.lock().record_connected(now);
        if let Some(lasted) = ended {
            ::log::info!(lasted_ms = millis(lasted); "targets are reached again");
            self.path.recovered.notify_waiters();
            self.request_heartbeat();
        }
    }

    /// Waits, for at most `within`, until this entry reaches a target again. Returns whether it does;
    /// `false` at once if the isolation has lasted longer than targets stall.
    pub(crate) async fn recovers_path(&self, within: Duration) -> bool {
        let recovered = self.path.recovered.notified();
        let stall_left = self.path.detector.lock().stall_left(self.clock.now());
        let Some(stall_left) = stall_left else { return true };
        timeout(within.min(stall_left), recovered).await.is_ok()
    }

    /// Checks at intervals, while this entry is isolated, whether it reaches targets again. Runs as
    /// long as the process.
    pub(crate) async fn watch_path(&self) {
        loop {
            self.path.isolated.notified().await;
            while self.is_isolated() {
                sleep(isolation::RECHECK_INTERVAL).await;
                let targets = self.draw_targets(CHECKED_TARGETS, None);
                self.reaches_any(&targets).await;
            }
        }
    }

    /// Relays a connection to a target for another entry. It is opened directly, so that relays
    /// never form a loop.
    pub(crate) async fn relay(self: &Arc<Self>, incoming: Incoming) {
        // A leaving entry waits for what it relays.
        let _open = self.start_request();
        match self.open_relay(&incoming.request).await {
            Ok((stream, _permit)) => incoming.relay(stream).await,
            Err(refusal) => incoming.refuse(refusal).await,
        }
    }

    async fn open_relay(
        &self,
        request: &relay::Request,
    ) -> Result<(TcpStream, (SemaphorePermit<'_>, Permit)), relay::Refusal> {
        let relayed = self.path.relayed.try_acquire().map_err(|_| relay::Refusal::Busy)?;
        let permit = (relayed, self.memory.permit_attempt().ok_or(relay::Refusal::Busy)?);
        let target = self.target(&request.target).ok_or(relay::Refusal::Unknown)?;
        if self.is_resting(&target) {
            return Err(relay::Refusal::Resting);
        }
        let needed = MIN_RELAY_TIME.max(Duration::from_millis(request.use_ms));
        if self.leave_times().is_some_and(|times| times.open_for < needed) {
            return Err(relay::Refusal::Leaving);
        }
        if self.is_isolated() {
            return Err(relay::Refusal::Isolated);
        }
        let began_at = self.clock.now();
        match self.connect_directly(&target, CONNECT_TIMEOUT).await {
            Ok(stream) => Ok((stream, permit)),
            Err(_) if self.has_path(Some(&target), began_at).await => {
                Err(relay::Refusal::Unreached)
            }
            Err(_) => Err(relay::Refusal::Isolated),
        }
    }

    /// Sends a request to a target over a new connection and waits for the head of its response,
    /// for at most `within` after the connection is open.
    pub(crate) async fn send(
        &self,
        target: &Target,
        outgoing: Outgoing,
        within: Duration,
    ) -> Result<Response, Failure> {
        self.send_permitted(target, outgoing, within, None, || Duration::ZERO).await
    }

    /// The same for a request that was permitted by the owner of the target, unless the permit is
    /// outdated once the connection is open.
    pub(crate) async fn send_permitted(
        &self,
        target: &Target,
        outgoing: Outgoing,
        within: Duration,
        grant: Option<Grant>,
        expected_time: impl Fn() -> Duration,
    ) -> Result<Response, Failure> {
        if self.is_resting(target) {
            return Err(Failure::Resting);
        }
        let (stream, relay) = self.connect(target, within, expected_time).await?;
        if grant.is_some_and(|grant| !grant.is_current(self.clock.now())) {
            return Err(Failure::PermitExpired);
        }
        let mut response = match exchange::send_over(stream, target.address, outgoing, within).await
        {
            Ok(response) => response,
            Err(failure) => {
                self.check_path(&failure).await;
                return Err(failure);
            }
        };
        response.relay = relay;
        Ok(response)
    }

    /// Checks after a connection to a target broke whether it broke with the path of this entry, so
    /// that this is known when the outcome is reported.
    pub(crate) async fn check_path(&self, failure: &Failure) {
        if matches!(failure, Failure::Broken { .. }) && !self.is_path_suspect() {
            // The target may accept connections while all others stall.
            self.has_path(None, self.clock.now()).await;
        }
    }

    /// Sends a request to a target and reads a small response, all of it `within` that time.
    pub(crate) async fn call(
        &self,
        target: &Target,
        outgoing: Outgoing,
        within: Duration,
        limit: usize,
    ) -> Result<Reply, Failure> {
        let fetched = async {
            let mut response = self.send(target, outgoing, within).await?;
            let body = response.read_body(limit).await?;
            Ok(Reply { status: response.status, headers: response.headers, body })
        };
        timeout(within, fetched).await.unwrap_or(Err(Failure::TimedOut))
    }
}
