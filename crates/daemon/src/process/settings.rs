//! Settings of one daemon, read once at its start.

use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use fireflyhoist_text::{Fault, Faults, Problem, Source};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

/// Why settings are refused.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot be read ({reason}); check the path and its permissions")]
    Read {
        /// The operating system's words.
        reason: String,
    },
    /// The file does not parse or fields are wrong.
    #[display("{faults}")]
    Faulty {
        /// What is wrong, where, and the remedy of each.
        faults: Faults,
    },
}

/// The largest settings file in bytes; a larger one is some other file.
const MAX_SETTINGS: usize = 64 << 10;

/// More threads than any host has cores.
const MAX_WORKERS: usize = 1_024;

/// What a daemon must be told before it can ask anybody.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host it runs on, as the platform's host list names it.
    pub host: id::Host,
    /// The failure domain of that host.
    pub domain: id::Domain,
    /// Where it serves callers: an IP number and a port; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Where it serves other daemons.
    pub peer_listen: SocketAddr,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// Where other daemons listen, asked where the platform is down at the start; any that answers
    /// tells of the rest.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The key that daemons prove to one another.
    pub peer_key: SmolStr,
    /// Threads that serve callers; one for each core where absent.
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

    /// Checks settings in TOML.
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

    /// What the fields say that cannot be, each with the field's name.
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
