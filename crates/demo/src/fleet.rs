//! The fleet of the demo: a platform, targets and three daemons on loopback, in one process.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use derive_more::{Display, Error, From};
use fireflyhoist_daemon::{Daemon, Settings, SettingsError, StartError};
use fireflyhoist_policy::unit::Tokens;
use fireflyhoist_standin::Running;
use fireflyhoist_standin::engine::{Engine, Pace};
use fireflyhoist_standin::plain::Plain;
use fireflyhoist_standin::platform::Platform;
use fireflyhoist_wire::platform::{Host, Hosts, Listen, State};
use tokio::sync::oneshot;

/// Any free port of loopback.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Slow enough to watch, fast enough for a page of 60 lines in a few seconds.
const PACE: Pace = Pace {
    first: Duration::from_millis(50),
    between: Duration::from_millis(15),
    memory: Tokens::new(100_000),
};

/// The hosts of the daemons and their failure domains.
const HOSTS: [(&str, &str); 3] = [("brno-1", "hala-a"), ("brno-2", "hala-b"), ("brno-3", "hala-c")];

/// Why the demo cannot begin.
#[derive(Debug, Display, Error, From)]
pub(crate) enum FleetError {
    /// A stand-in or thread does not start.
    #[display("a part of the fleet does not start ({_0}); check that loopback ports are free")]
    Start(io::Error),
    /// The demo's own settings are refused.
    #[display("the demo's settings are refused: {_0}")]
    Settings(SettingsError),
    /// A daemon does not start.
    #[display("a daemon does not start: {_0}")]
    Daemon(StartError),
    /// A daemon's thread ended early.
    #[display("a daemon ended before it listened; see its log above")]
    Ended,
}

/// One daemon in a thread and runtime of its own, so that taking it away ends all it does.
#[derive(Debug)]
pub(crate) struct Entry {
    name: &'static str,
    listen: Listen,
    domain: &'static str,
    kill: Option<oneshot::Sender<()>>,
}

/// One engine, by the name that the text gives it.
#[derive(Debug)]
pub(crate) struct Node {
    /// Its name in the text.
    pub(crate) name: String,
    running: Running,
    engine: Arc<Engine>,
}

/// Everything that runs.
#[derive(Debug)]
pub(crate) struct Fleet {
    platform: (Running, Arc<Platform>),
    scribes: Vec<Node>,
    rosters: Vec<Node>,
    search: (Running, Arc<Plain>),
    entries: Vec<Entry>,
}

fn nodes(prefix: &str, count: usize) -> Result<Vec<Node>, FleetError> {
    (1..=count)
        .map(|number| {
            let (running, engine) = Engine::bind(ANY, PACE)?;
            Ok(Node { name: format!("{prefix}-{number}"), running, engine })
        })
        .collect()
}

impl Fleet {
    /// Starts every part and publishes the host list and the text.
    pub(crate) async fn open() -> Result<Self, FleetError> {
        let platform = Platform::bind(ANY)?;
        let address = platform.0.address();
        let mut entries = Vec::new();
        for (name, domain) in HOSTS {
            entries.push(Entry::spawn(name, domain, address).await?);
        }
        let fleet = Self {
            platform,
            scribes: nodes("scribe", 3)?,
            rosters: nodes("roster", 2)?,
            search: Plain::bind(ANY)?,
            entries,
        };
        fleet.platform.1.set_hosts(fleet.hosts());
        fleet.platform.1.publish(&fleet.text());
        Ok(fleet)
    }

    fn hosts(&self) -> Hosts {
        let host = |entry: &Entry| Host {
            name: entry.name.parse().expect("a name of the table above"),
            domain: entry.domain.parse().expect("a name of the table above"),
            state: State::Live,
            entry: Some(entry.listen),
            serves: Vec::new(),
        };
        Hosts { sequence: 1, hosts: self.entries.iter().map(host).collect() }
    }

    /// The text that operators would keep in version control.
    pub(crate) fn text(&self) -> String {
        let targets = |nodes: &[Node]| -> String {
            let line = |node: &Node| {
                format!(
                    "  {{ name = \"{name}\", host = \"{name}\", address = \"{address}\" }},\n",
                    name = node.name,
                    address = node.running.address()
                )
            };
            nodes.iter().map(line).collect()
        };
        format!(
            "revision = 1\n\n\
             [[workspace]]\nname = \"default\"\n\n\
             [[workspace]]\nname = \"lodni-seznamy\"\nweight = 4\n\n\
             [[workspace]]\nname = \"renhold\"\nweight = 4\n\n\
             [[model]]\nname = \"scribe\"\nversion = \"1\"\n\n\
             [[service]]\nname = \"transcribe\"\nmodel = \"scribe\"\ndelivery = \"whole\"\n\
             class = \"overnight\"\ntarget = [\n{}]\n\n\
             [[service]]\nname = \"roster\"\nmodel = \"scribe\"\ndelivery = \"live\"\n\
             class = \"live\"\ntarget = [\n{}]\n\n\
             [[service]]\nname = \"search\"\nkind = \"plain\"\nclass = \"lookup\"\n\
             depends_on = [\"transcribe\"]\n\
             target = [{{ name = \"search-1\", host = \"web-1\", address = \"{}\" }}]\n",
            targets(&self.scribes),
            targets(&self.rosters),
            self.search.0.address()
        )
    }

    /// Where callers may ask first.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.listen.http).collect()
    }

    /// Whether any engine has begun this prompt.
    pub(crate) fn runs(&self, prompt: &str) -> bool {
        self.scribes.iter().any(|node| node.engine.started_of(prompt) > 0)
    }

    /// Takes away the engine that runs this prompt, as a reclaimed host would go; its name.
    pub(crate) async fn reclaim_engine(&mut self, prompt: &str) -> Option<String> {
        let at = self.scribes.iter().position(|node| node.engine.started_of(prompt) > 0)?;
        let node = self.scribes.remove(at);
        node.running.kill().await;
        Some(node.name)
    }

    /// Takes away the daemon at this address, as a crash would; its host.
    pub(crate) fn crash_daemon(&mut self, address: SocketAddr) -> Option<&'static str> {
        let entry = self.entries.iter_mut().find(|entry| entry.listen.http == address)?;
        // A daemon whose thread has ended needs no telling.
        let _ = entry.kill.take()?.send(());
        Some(entry.name)
    }

    /// Calls that the search pages ran.
    pub(crate) fn lookups(&self) -> u64 {
        self.search.1.calls()
    }
}

impl Entry {
    async fn spawn(
        name: &'static str,
        domain: &'static str,
        platform: SocketAddr,
    ) -> Result<Self, FleetError> {
        let source = format!(
            "host = \"{name}\"\ndomain = \"{domain}\"\nlisten = \"{ANY}\"\n\
             peer_listen = \"{ANY}\"\nplatform = \"{platform}\"\npeer_key = \"demo-key-of-16-bytes\"\n\
             workers = 1\n"
        );
        let settings = Settings::parse(source.as_bytes())?;
        let (started, listening) = oneshot::channel();
        let (kill, killed) = oneshot::channel();
        thread::Builder::new().name(name.to_owned()).spawn(move || {
            ntex::rt::System::new(name, ntex::rt::DefaultRuntime).block_on(async move {
                match Daemon::bind(settings).await {
                    Ok(daemon) => {
                        let listen =
                            Listen { http: daemon.http_address(), peer: daemon.peer_address() };
                        let _ = started.send(Ok(listen));
                        // An error means that the demo itself is ending.
                        let _ = killed.await;
                        daemon.kill().await;
                    }
                    Err(error) => {
                        let _ = started.send(Err(error));
                    }
                }
            });
        })?;
        let listen = listening.await.map_err(|_| FleetError::Ended)??;
        Ok(Self { name, listen, domain, kill: Some(kill) })
    }
}
