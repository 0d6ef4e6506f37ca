//! The settings of one daemon, read once at startup.

use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use fireflyhoist_text::{Fault, Faults, Problem, Source};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

/// The reason why settings are refused.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot be read ({reason}); check the path and its permissions")]
    Read {
        /// The operating system's error.
        reason: String,
    },
    /// The file does not parse, or fields are invalid.
    #[display("{faults}")]
    Faulty {
        /// Each fault with its line and remedy.
        faults: Faults,
    },
}

/// The maximum size of a settings file in bytes; a larger file is not a settings file.
const MAX_SETTINGS: usize = 64 << 10;

/// The maximum number of workers; more than any host has cores.
const MAX_WORKERS: usize = 1_024;

/// The settings that a daemon needs before it can reach the platform or its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host that the daemon runs on, as named in the platform's host list.
    pub host: id::Host,
    /// The failure domain of that host.
    pub domain: id::Domain,
    /// The address that callers connect to: an IP number and a port; with port 0 the operating
    /// system chooses the port.
    pub listen: SocketAddr,
    /// The address that other daemons connect to.
    pub peer_listen: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Addresses of other daemons, dialed until some member sent a message, so that a start works
    /// while the platform is down; one that answers is enough to learn of the others.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The secret key by which daemons authenticate to one another.
    pub peer_key: SmolStr,
    /// The number of threads that serve callers; one per core if absent.
    #[serde(default = "workers")]
    pub workers: usize,
}

fn workers() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let source =
            std::fs::read(path).map_err(|e| SettingsError::Read { reason: e.to_string() })?;
        Self::parse(&source)
    }

    /// Parses and checks settings in TOML.
    pub fn parse(source: &[u8]) -> Result<Self, SettingsError> {
        Self::checked(source).map_err(|faults| SettingsError::Faulty { faults })
    }

    fn checked(source: &[u8]) -> Result<Self, Faults> {
        let source = Source::parse(source, MAX_SETTINGS)?;
        let settings: Self = source.read()?;
        let problems = settings.problems();
        let faults = problems.into_iter().map(|(field, problem)| {
            let line = source.line(field);
            Fault::new(line, problem)
        });
        let faults: Vec<Fault> = faults.collect();
        if faults.is_empty() { Ok(settings) } else { Err(Faults::new(faults)) }
    }

    /// Returns the invalid values, each with the name of its field.
    fn problems(&self) -> Vec<(&'static str, Problem)> {
        let mut problems = Vec::new();
        let platform = self.platform;
        if platform.port() == 0 || platform.ip().is_unspecified() {
            problems.push(("platform", Problem::Unreachable { value: platform.to_smolstr() }));
        }
        if self.peer_key.trim().is_empty() {
            problems.push(("peer_key", Problem::Blank { what: "peer_key" }));
        }
        if !(1..=MAX_WORKERS).contains(&self.workers) {
            let (value, range) = (self.workers.to_smolstr(), "from 1 to 1024, or leave it out");
            problems.push(("workers", Problem::Range { what: "workers", value, range }));
        }
        if self.listen == self.peer_listen && self.listen.port() != 0 {
            let value = self.peer_listen.to_smolstr();
            problems.push(("peer_listen", Problem::Shared { field: "listen", value }));
        }
        problems
    }
}
