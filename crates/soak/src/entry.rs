//! Entry processes: their settings, and how they are started.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::PlayError;
use crate::backend;
use crate::forwarder::Forwarder;
use crate::proxy::Proxy;

/// Seconds that an entry has to drain, where no others are drawn.
pub(crate) const GRACE_S: u64 = 4;

/// Settings with every mechanism for contended targets switched on.
const SCHEDULING: &str = "[scheduling]\npace = true\nreservations = true\nranks = true\n\
     fleet_shares = true\nlocality = true\nentry_load = true\n";

/// An entry, whichever process runs as it.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) host: String,
    pub(crate) settings: PathBuf,
    pub(crate) callers: SocketAddr,
    /// Its way to the registry.
    pub(crate) link: Proxy,
    /// The way of others to it, where links between entries have faults.
    pub(crate) peers: Option<Proxy>,
    /// Its way to targets, where it may be cut from them.
    pub(crate) forwarder: Option<Forwarder>,
    pub(crate) child: RefCell<Child>,
    pub(crate) starts: Cell<u32>,
    /// Whether somebody is ending or starting it just now.
    pub(crate) busy: Cell<bool>,
}

/// The program, from the directory of the test or program that asks.
fn program() -> PathBuf {
    let asking = std::env::current_exe().expect("a program knows its own path");
    let beside = asking.ancestors().skip(1).take(2).map(|d| d.join("fireflyhoist-gateway"));
    beside.into_iter().find(|path| path.exists()).unwrap_or_else(|| "fireflyhoist-gateway".into())
}

/// Starts the program with its output in a file.
pub(crate) fn start(host: &str, settings: &Path, log: &Path) -> Result<Child, PlayError> {
    let log = File::create(log).map_err(PlayError::Report)?;
    let mut command = Command::new(program());
    command.arg("--settings").arg(settings).stdin(Stdio::null());
    let child = command.stdout(log).stderr(Stdio::inherit()).spawn();
    child.map_err(|error| PlayError::Program(std::io::Error::other(format!("{host}: {error}"))))
}

/// What the system says of a process that should have listened by now: what it waits for, and what it
/// has read and been stopped for. Files that can't be read are left out.
pub(crate) fn trace(child: u32, to: &Path) {
    let read = |name: &str| {
        let text = std::fs::read_to_string(format!("/proc/{child}/{name}")).ok()?;
        Some(format!("== {name}\n{text}\n"))
    };
    let files = ["wchan", "syscall", "stack", "status", "stat", "io", "schedstat"];
    let pressure = ["cpu", "io", "memory"].map(|of| format!("/proc/pressure/{of}"));
    let of_all = pressure.iter().filter_map(|path| std::fs::read_to_string(path).ok());
    let text: String = files.iter().filter_map(|name| read(name)).chain(of_all).collect();
    if let Err(error) = std::fs::write(to, text) {
        eprintln!("soak: no trace of {child} is kept: {error}");
    }
}

/// Where an entry is reached, and what it reaches.
pub(crate) struct Place {
    pub(crate) callers: SocketAddr,
    /// Where it listens for other entries.
    pub(crate) listen: SocketAddr,
    pub(crate) peers: Option<Proxy>,
    pub(crate) link: Proxy,
    pub(crate) forwarder: Option<Forwarder>,
}

impl Place {
    /// Where other entries link to it.
    pub(crate) fn address(&self) -> SocketAddr {
        self.peers.as_ref().map_or(self.listen, |proxy| proxy.address)
    }
}

/// Writes an entry's settings and starts it.
pub(crate) fn open(
    nth: usize,
    place: Place,
    seeds: &[SocketAddr],
    scheduling: bool,
    grace: Duration,
    logs: &Path,
) -> Result<Entry, PlayError> {
    let host = format!("entry-{nth}");
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let own = place.address();
    let Place { callers, listen, peers, link, forwarder } = place;
    let via = forwarder.as_ref().map(|one| format!("forwarder = \"{}\"\n", one.address));
    let registry = link.address;
    let settings = format!(
        "host = \"{host}\"\ndomain = \"d-{}\"\ncallers = \"{callers}\"\n\
         readiness = \"127.0.0.1:0\"\ndirectory = \"127.0.0.1:0\"\npeers = \"{own}\"\n\
         peers_listen = \"{listen}\"\n{}metrics = \"127.0.0.1:0\"\npower = 1\nseeds = [{}]\nregistry = \"{registry}\"\n[bounds]\n\
         grace_s = {}\nretry_ratio = 0.2\nretry_burst = 160\nentries_ttl_s = 5\n\
         cold_excess = {}\ncold_margin = {}\n{}",
        nth % 2,
        via.unwrap_or_default(),
        seeds.join(","),
        grace.as_secs(),
        backend::EXCESS,
        backend::MARGIN,
        if scheduling { SCHEDULING } else { "" },
    );
    let path = logs.join(format!("{host}.toml"));
    std::fs::write(&path, settings).map_err(PlayError::Report)?;
    let child = start(&host, &path, &logs.join(format!("{host}-0.log")))?;
    Ok(Entry {
        host,
        settings: path,
        callers,
        link,
        peers,
        forwarder,
        child: RefCell::new(child),
        starts: Cell::default(),
        busy: Cell::default(),
    })
}
