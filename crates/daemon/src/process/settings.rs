//! Settings of one daemon, read once at its start.

use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Why settings are refused.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot be read ({reason}); check the path and its permissions")]
    Read {
        /// The operating system's words.
        reason: String,
    },
    /// The file does not parse or a field is wrong.
    #[display("{reason}")]
    Syntax {
        /// What is wrong and where.
        reason: String,
    },
}

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
        let source = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Read { reason: e.to_string() })?;
        Self::parse(&source)
    }

    /// Checks settings in TOML.
    pub fn parse(source: &str) -> Result<Self, SettingsError> {
        toml::from_str(source).map_err(|e| SettingsError::Syntax { reason: e.to_string() })
    }
}
