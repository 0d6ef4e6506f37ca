//! A fleet within the test process: a platform, engines and daemons on loopback.

#![allow(dead_code, reason = "each test file uses only some items")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_daemon::{Daemon, Settings};
use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::Running;
use fireflyhoist_standin::engine::{Engine, Pace};
use fireflyhoist_standin::platform::Platform;
use fireflyhoist_standin::script::Script;
use fireflyhoist_wire::caller::Completion;
use fireflyhoist_wire::platform::{Host, Hosts, Listen, State};

/// A loopback address whose port the system chooses.
pub(crate) const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The platform of one test and the host list that it publishes.
pub(crate) struct Fleet {
    pub(crate) running: Running,
    pub(crate) platform: Arc<Platform>,
    pub(crate) hosts: Hosts,
}

impl Fleet {
    pub(crate) fn open(text: &str) -> Self {
        let (running, platform) = Platform::bind(ANY).expect("platform");
        fireflyhoist_text::Text::parse(text).expect("the test's text is valid");
        platform.publish(text);
        Self { running, platform, hosts: Hosts { sequence: 1, hosts: Vec::new() } }
    }

    /// Starts a daemon in this process, lists it and waits until it is ready.
    pub(crate) async fn daemon(&mut self, name: &str) -> Daemon {
        let daemon = Daemon::bind(settings(name, self.running.address())).await.expect("daemon");
        let listen = Listen { http: daemon.http_address(), peer: daemon.peer_address() };
        self.list(name, listen);
        fireflyhoist_harness::until_ready(
            &fireflyhoist_harness::client().await,
            daemon.http_address(),
        )
        .await;
        daemon
    }

    /// Adds an entry host to the host list and publishes the list.
    pub(crate) fn list(&mut self, name: &str, listen: Listen) {
        self.hosts.hosts.push(Host {
            name: name.parse().expect("name"),
            domain: "hala-a".parse().expect("name"),
            state: State::Live,
            entry: Some(listen),
            serves: Vec::new(),
        });
        self.hosts.sequence += 1;
        self.platform.set_hosts(self.hosts.clone());
    }
}

pub(crate) fn settings(name: &str, platform: SocketAddr) -> Settings {
    let source = format!(
        "host = \"{name}\"\ndomain = \"hala-a\"\nlisten = \"{ANY}\"\npeer_listen = \"{ANY}\"\n\
         platform = \"{platform}\"\npeer_key = \"test\"\nworkers = 1\n"
    );
    Settings::parse(source.as_bytes()).expect("settings")
}

/// A text with one model service on these engines.
///
/// With its objective of 5 ms between tokens, a link counts as silent after 100 ms without a byte.
pub(crate) fn text(delivery: &str, patience_ms: u64, engines: &[SocketAddr]) -> String {
    let targets: Vec<String> = engines
        .iter()
        .enumerate()
        .map(|(n, address)| {
            format!("{{ name = \"t{n}\", host = \"m{n}\", address = \"{address}\" }}")
        })
        .collect();
    format!(
        "revision = 1\n[[service]]\nname = \"transcribe\"\ndelivery = \"{delivery}\"\n\
         patience_ms = {patience_ms}\ntarget = [{}]\n\
         [service.objective]\nbetween_tokens_ms = 5\n",
        targets.join(", ")
    )
}

/// Starts an engine with 2 ms from token to token.
pub(crate) fn engine() -> (Running, Arc<Engine>) {
    paced(2_000)
}

/// Starts an engine with this many microseconds from token to token.
pub(crate) fn paced(micros: u64) -> (Running, Arc<Engine>) {
    let between = Duration::from_micros(micros);
    let pace = Pace { first: Duration::from_millis(2), between, ..Pace::default() };
    Engine::bind(ANY, pace).expect("engine")
}

pub(crate) fn completion(prompt: &str) -> Completion {
    Completion {
        model: "transcribe".into(),
        prompt: prompt.to_owned(),
        max_tokens: None,
        stream: true,
    }
}

/// Returns the answer of an engine to a prompt without salt.
pub(crate) fn expected(prompt: &str) -> String {
    Script::of(prompt, Generation::new(0), u64::MAX).text()
}

/// A text with plain services: `dispatch` and `payroll`, which are not idempotent, and `search`,
/// which is; a call to `search` times out after 200 ms without a reply.
pub(crate) fn plain_text(dispatch: &[SocketAddr], search: &[SocketAddr]) -> String {
    let list = |prefix: &str, targets: &[SocketAddr]| -> String {
        let named = targets.iter().enumerate().map(|(n, address)| {
            format!("{{ name = \"{prefix}{n}\", host = \"m{n}\", address = \"{address}\" }}")
        });
        named.collect::<Vec<_>>().join(", ")
    };
    let closed = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let other_closed = SocketAddr::from((Ipv4Addr::LOCALHOST, 2));
    let search = if search.is_empty() { &[other_closed] } else { search };
    format!(
        "revision = 1\n\
         [[workspace]]\nname = \"default\"\n[[workspace]]\nname = \"bergen\"\n\
         [[service]]\nname = \"dispatch\"\nkind = \"plain\"\nidempotent = false\n\
         patience_ms = 2000\ntarget = [{}]\n\
         [[service]]\nname = \"payroll\"\nkind = \"plain\"\nidempotent = false\n\
         patience_ms = 2000\ntarget = [{}]\n\
         [[service]]\nname = \"search\"\nkind = \"plain\"\npatience_ms = 2000\ntarget = [{}]\n\
         [service.objective]\nfirst_token_ms = 20\n",
        list("d", dispatch),
        list("p", &[closed]),
        list("s", search)
    )
}

/// Sends raw bytes and returns the open connection.
pub(crate) fn raw(address: SocketAddr, bytes: &str) -> std::net::TcpStream {
    let mut stream = std::net::TcpStream::connect(address).expect("connected");
    std::io::Write::write_all(&mut stream, bytes.as_bytes()).expect("written");
    stream
}

/// Starts a target that sends the first bytes of each connection to the receiver and never replies.
pub(crate) fn recorder() -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let listener = std::net::TcpListener::bind(ANY).expect("port");
    let address = listener.local_addr().expect("address");
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buffer = [0; 4096];
            let read = std::io::Read::read(&mut stream, &mut buffer).unwrap_or(0);
            let _ = sender.send(String::from_utf8_lossy(&buffer[..read]).into_owned());
        }
    });
    (address, receiver)
}
