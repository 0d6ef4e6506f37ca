//! Everything that lives as long as the process: settings, log, shared state, the server, and the
//! drain at its end.

pub(crate) mod clock;
pub(crate) mod copy_usage;
pub(crate) mod fleet;
pub(crate) mod log;
pub(crate) mod metrics;
pub(crate) mod migration;
pub(crate) mod serve;
pub(crate) mod service_gate;
pub(crate) mod settings;
pub(crate) mod signals;
pub(crate) mod state;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::time::{sleep, timeout};

use crate::connection::callers::{Action, Held};
use crate::platform::Platform;
use crate::process::fleet::Fleet;
use crate::process::serve::{Listeners, Server};
use crate::process::settings::Settings;
use crate::process::signals::{Order, Signals};
use crate::process::state::Process;
use crate::version::{engine_poll, watcher};

/// The interval at which a drain checks for requests in flight.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// The minimum duration of a drain. Callers cache an answer with addresses for up to three times
/// its [`request::entries::TTL`](crate::request::entries), so some still connect.
const MIN_DRAIN: Duration = Duration::from_millis(3_500);

/// How long before the end of the grace period a drain ends, so that the last answers are sent and
/// the log is written before the process is killed.
pub(crate) const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// How long the last requests may take to be answered, and their answers to be written, after a drain
/// that has taken all of its time.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// The interval at which the end of the last requests is checked.
const CLOSE_POLL: Duration = Duration::from_millis(5);

/// The interval at which waiting requests are checked for expired deadlines.
const DEADLINE_POLL: Duration = Duration::from_millis(20);

/// The interval of the same check while no request is open. Most entries of a large fleet carry no
/// requests.
const IDLE_POLL: Duration = Duration::from_millis(200);

/// The interval at which the settings file is checked for changes that no signal announced.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// An error that prevents a gateway from starting.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address can't be bound.
    #[display("{address} can't be bound ({reason}); see what else listens there")]
    Bind {
        /// The address in the settings.
        address: SocketAddr,
        /// The error of the system.
        reason: io::Error,
    },
    /// The metrics can't be set up.
    #[display("metrics can't be registered; report this with the release's version")]
    Metrics,
    /// Signals can't be received.
    #[display("signals can't be received ({_0}); see the limits of the process")]
    Signal(io::Error),
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    process: Arc<Process>,
    fleet: Arc<Fleet>,
    server: Server,
    path: PathBuf,
}

impl Gateway {
    /// Binds every address of the settings, which were read from `path`, and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the metrics can't be set up.
    pub async fn bind<P: Platform>(settings: Settings, path: PathBuf) -> Result<Self, StartError> {
        let mut settings = settings;
        let listeners = Listeners::bind(&mut settings)?;
        let process = Process::open(settings).ok_or(StartError::Metrics)?;
        let address = process.settings.peers;
        let bind_error = |reason| StartError::Bind { address, reason };
        let peers = listeners.peers.try_clone().map_err(bind_error)?;
        let peers = tokio::net::TcpListener::from_std(peers).map_err(bind_error)?;
        let fleet = Fleet::spawn(Arc::clone(&process), peers);
        let server = Server::spawn::<P>(&process, &fleet, listeners);
        watcher::spawn::<P>(&process, &fleet);
        engine_poll::spawn::<P>(&process, &fleet);
        let watched = Arc::clone(&process);
        ntex::rt::spawn(async move { watched.watch_path().await }).detach();
        let polled = Arc::clone(&process);
        ntex::rt::spawn(async move {
            loop {
                sleep(DEADLINE_POLL).await;
                // Without requests only leases and cordons expire.
                let _ = timeout(IDLE_POLL, polled.busy()).await;
                polled.poll_gates();
            }
        })
        .detach();
        let settings = &process.settings;
        ::log::info!(
            host:% = settings.host, domain:% = settings.domain, callers:% = settings.callers,
            peers:% = settings.peers, registry:% = settings.registry; "started"
        );
        Ok(Self { process, fleet, server, path })
    }

    /// Serves until SIGTERM or SIGINT, and then drains. SIGHUP reloads the settings.
    pub async fn run(self, mut signals: Signals) {
        loop {
            match timeout(SETTINGS_POLL, signals.next()).await {
                Ok(Order::Leave) => break,
                Ok(Order::Reload) => self.reload("signal"),
                Err(_) => self.reload("file"),
            }
        }
        self.drain().await;
    }

    /// Returns the address on which callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.process.settings.callers
    }

    /// Returns the address at which callers look up which entries to use.
    pub fn directory(&self) -> SocketAddr {
        self.process.settings.directory
    }

    /// Returns the address of the readiness probe.
    pub fn readiness(&self) -> SocketAddr {
        self.process.settings.readiness
    }

    /// Returns the address that other entries link to.
    pub fn peers(&self) -> SocketAddr {
        self.process.settings.peers
    }

    /// Returns the address on which links of other entries are accepted.
    pub fn peers_listen(&self) -> SocketAddr {
        let settings = &self.process.settings;
        settings.peers_listen.unwrap_or(settings.peers)
    }

    /// Returns the address of the metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.process.settings.metrics
    }

    /// Reads the settings file again, and applies those settings that may change at run time.
    fn reload(&self, cause: &str) {
        match Settings::open(&self.path) {
            Ok(settings) => {
                if self.process.reload(settings) {
                    ::log::info!(cause = cause; "settings reloaded");
                }
            }
            Err(error) => {
                ::log::warn!(
                    cause = cause, error:% = error;
                    "settings can't be reloaded; the previous ones stay in force"
                );
            }
        }
    }

    /// Announces to peers and callers that this entry is leaving, waits until no requests are in
    /// flight and all answers are written, or the grace period is over, and stops the server.
    ///
    /// Requests that arrive meanwhile are served if they can end before the process does. Until it
    /// has ended, the others are refused.
    pub async fn drain(self) {
        let started_at = self.process.clock.now();
        self.process.leave();
        self.fleet.send_heartbeats();
        ::log::info!(open = self.process.open_requests(); "leaving");
        let grace = self.process.bounds().grace().saturating_sub(EXIT_MARGIN);
        let left = || grace.saturating_sub(self.process.clock.now().since(started_at));
        sleep(MIN_DRAIN.min(left())).await;
        // Answers that take longer have some more time while the process closes.
        let _ = timeout(left(), self.sent_all(DRAIN_POLL, Action::Count)).await;
        self.close(left().max(CLOSE_TIMEOUT)).await;
        ::log::info!(open = self.process.open_requests(); "stopped");
        let held = self.process.held(Action::LogCut).await;
        let relayed = self.process.relayed();
        let Held { waiting, streams, unwritten } = held.unwrap_or_default();
        ::log::info!(
            waiting = waiting, streams = streams, unwritten = unwritten, relayed = relayed,
            known = held.is_some(); "exiting"
        );
        log::flush().await;
        self.server.stop();
    }

    /// Has all requests answered whose answers have not begun, and waits `within` that time until
    /// all answers are written.
    async fn close(&self, within: Duration) {
        self.process.close();
        // What has not been written by then is cut with the process.
        let _ = timeout(within, self.sent_all(CLOSE_POLL, Action::Close)).await;
    }

    /// Waits until nothing is left to send to callers, and does `action` at each check.
    async fn sent_all(&self, interval: Duration, action: Action) {
        while !self.process.has_sent_all(action).await {
            sleep(interval).await;
        }
    }
}
