//! What lives as long as the process: settings, log, shared state, the server and its drain.

pub(crate) mod clock;
pub(crate) mod fleet;
pub(crate) mod kept;
pub(crate) mod lane;
pub(crate) mod log;
pub(crate) mod metrics;
pub(crate) mod serve;
pub(crate) mod settings;
pub(crate) mod state;
pub(crate) mod turn;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use ntex::time::{sleep, timeout};
use tokio::signal::unix::{SignalKind, signal};

use crate::platform::Platform;
use crate::process::fleet::Fleet;
use crate::process::serve::Listeners;
use crate::process::settings::Settings;
use crate::process::state::Process;
use crate::version::{engine_poll, watcher};

/// How often a drain looks whether requests are still in progress.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// How long a leaving process goes on answering at least. Callers keep an answer with addresses for
/// up to three times its [`request::entries::TTL`](crate::request::entries), so some still arrive.
const LINGER: Duration = Duration::from_millis(3_500);

/// Time before the end of the grace in which the process ends by itself, so that what it has
/// written is on its way before it is killed.
const MARGIN: Duration = Duration::from_millis(300);

/// How long the server may take to stop; what it still holds ends with the process.
const STOP: Duration = Duration::from_millis(100);

/// How often waiting requests are looked at for deadlines that passed.
const LANE_POLL: Duration = Duration::from_millis(20);

/// How often the settings file is looked at for changes that no signal announced.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Why a gateway does not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address can't be bound.
    #[display("{address} can't be bound ({reason}); see what else listens there")]
    Bind {
        /// The address of the settings.
        address: SocketAddr,
        /// What the system says.
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
    server: ntex::server::Server,
    path: PathBuf,
}

impl Gateway {
    /// Binds every address of the settings, which were read from `path`, and begins to serve.
    pub async fn bind<P: Platform>(settings: Settings, path: PathBuf) -> Result<Self, StartError> {
        let mut settings = settings;
        let listeners = Listeners::bind(&mut settings)?;
        let process = Process::open(settings).ok_or(StartError::Metrics)?;
        let address = process.settings.peers;
        let failed = |reason| StartError::Bind { address, reason };
        let peers = listeners.peers.try_clone().map_err(failed)?;
        let peers = tokio::net::TcpListener::from_std(peers).map_err(failed)?;
        let fleet = Fleet::spawn(Arc::clone(&process), peers);
        let server = serve::spawn::<P>(&process, &fleet, listeners).map_err(failed)?;
        watcher::spawn::<P>(&process, &fleet);
        engine_poll::spawn::<P>(&process, &fleet);
        let lanes = Arc::clone(&process);
        ntex::rt::spawn(async move {
            loop {
                sleep(LANE_POLL).await;
                lanes.poll_lanes();
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

    /// Serves until SIGTERM or SIGINT and then drains.
    ///
    /// # Errors
    ///
    /// Fails where signals can't be received; nothing would end the process in order.
    pub async fn run(self) -> Result<(), StartError> {
        let mut term = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signal)?;
        let mut hangup = signal(SignalKind::hangup()).map_err(StartError::Signal)?;
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => self.reload("signal"),
                () = sleep(SETTINGS_POLL) => self.reload("file"),
            }
        }
        self.drain().await;
        Ok(())
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.process.settings.callers
    }

    /// Where callers ask which entries to use.
    pub fn directory(&self) -> SocketAddr {
        self.process.settings.directory
    }

    /// Where it says whether it is ready.
    pub fn readiness(&self) -> SocketAddr {
        self.process.settings.readiness
    }

    /// Where other entries link to it.
    pub fn peers(&self) -> SocketAddr {
        self.process.settings.peers
    }

    /// Where it listens for their links.
    pub fn peers_listen(&self) -> SocketAddr {
        let settings = &self.process.settings;
        settings.peers_listen.unwrap_or(settings.peers)
    }

    /// Where its metrics are read.
    pub fn metrics(&self) -> SocketAddr {
        self.process.settings.metrics
    }

    /// Takes over what may change while the process runs.
    fn reload(&self, cause: &str) {
        match Settings::open(&self.path) {
            Ok(settings) => {
                if self.process.reload(settings) {
                    ::log::info!(cause = cause; "settings reloaded");
                }
            }
            Err(error) => {
                ::log::warn!(cause = cause, error:% = error; "settings kept");
            }
        }
    }

    /// Tells peers and callers that this host leaves, and waits for what is in progress.
    ///
    /// Callers that connect meanwhile are still answered, but for generations: these could not end
    /// before the process does.
    pub async fn drain(self) {
        let began = self.process.clock.now();
        self.process.leave();
        self.fleet.beat();
        ::log::info!(open = self.process.open_requests(); "leaving");
        let grace = self.process.bounds().grace().saturating_sub(MARGIN);
        loop {
            sleep(DRAIN_POLL).await;
            let passed = self.process.clock.now().since(began);
            let idle = self.process.open_requests() == 0 && passed >= LINGER;
            if idle || passed >= grace {
                break;
            }
        }
        ::log::info!(open = self.process.open_requests(); "stopped");
        log::flush();
        // Every answer that could end has ended; waiting for idle connections would outlast the
        // grace.
        if timeout(STOP, self.server.stop(false)).await.is_err() {
            ::log::warn!("the server did not stop in time; the process ends all the same");
        }
    }
}
