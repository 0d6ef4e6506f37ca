//! The settings of one gateway, in TOML.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use smol_str::SmolStr;

/// Why settings can't be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("can't be read ({_0}); see that it exists and is readable")]
    Unreadable(std::io::Error),
    /// The text is not what the gateway expects.
    #[display("{_0}; correct the line")]
    Malformed(toml::de::Error),
}

/// One host's settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness: SocketAddr,
    /// Where callers ask which entries to use.
    pub directory: SocketAddr,
    /// Where other entries link to it.
    pub peers: SocketAddr,
    /// Where it listens for their links, if not at `peers`: behind a forwarded port the address
    /// that others use is none of this host's.
    #[serde(default)]
    pub peers_listen: Option<SocketAddr>,
    /// Where its metrics are read.
    pub metrics: SocketAddr,
    /// How much this host can carry, in cores; callers go to the strongest of each failure domain.
    pub power: f64,
    /// Entries to link to first; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The registry of texts and targets.
    pub registry: SocketAddr,
    /// Bounds that the operators set.
    pub bounds: Bounds,
}

/// Bounds that hold for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Seconds from SIGTERM to the end of the process.
    pub grace_s: f64,
    /// Retries of all entries together, as a part of requests.
    pub retry_ratio: f64,
    /// Retries of all entries together beyond that part, in one window.
    pub retry_burst: f64,
    /// Seconds for which callers keep an answer with addresses, at most.
    pub entries_ttl_s: f64,
    /// How many times the requests that a cold target takes it may get in one second.
    #[serde(default = "one", deserialize_with = "one_or_number")]
    pub cold_excess: f64,
    /// Requests that a cold target may get in one second beyond that.
    #[serde(default, deserialize_with = "zero_or_number")]
    pub cold_margin: f64,
}

/// A number, or the text of one that a template filled in; empty where the deployment has none.
#[derive(Deserialize)]
#[serde(untagged)]
enum Filled {
    Number(f64),
    Text(SmolStr),
}

fn number<'de, D: Deserializer<'de>>(input: D, absent: f64) -> Result<f64, D::Error> {
    let number = match Filled::deserialize(input)? {
        Filled::Number(number) => number,
        Filled::Text(text) if text.is_empty() => absent,
        Filled::Text(text) => text.parse().map_err(D::Error::custom)?,
    };
    match number.is_finite() && number >= 0.0 {
        true => Ok(number),
        false => Err(D::Error::custom(format_args!("{number} is below 0 or no number"))),
    }
}

const fn one() -> f64 {
    1.0
}

fn one_or_number<'de, D: Deserializer<'de>>(input: D) -> Result<f64, D::Error> {
    number(input, one())
}

fn zero_or_number<'de, D: Deserializer<'de>>(input: D) -> Result<f64, D::Error> {
    number(input, 0.0)
}

impl Bounds {
    /// From SIGTERM to the end of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s.max(0.0))
    }
}

impl Settings {
    /// Reads a settings file.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(SettingsError::Unreadable)?;
        Self::parse(&text)
    }

    /// Reads settings from their text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text).map_err(SettingsError::Malformed)
    }
}
