//! The settings of one gateway, a file in TOML.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::id;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use smol_str::SmolStr;

/// An error in reading a settings file.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("can't be read ({_0}); see that it exists and is readable")]
    Unreadable(std::io::Error),
    /// The text is not valid TOML, or does not have the expected keys and values.
    #[display("{_0}; correct the line")]
    Malformed(toml::de::Error),
}

/// The settings of the gateway on one host.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The id of this host.
    pub host: id::Host,
    /// The failure domain of this host.
    pub domain: id::Domain,
    /// The address on which callers are served.
    pub callers: SocketAddr,
    /// The address of the readiness probe.
    pub readiness: SocketAddr,
    /// The address at which callers look up which entries to use.
    pub directory: SocketAddr,
    /// The address that other entries link to.
    pub peers: SocketAddr,
    /// The address on which links are accepted, if not `peers`. Behind a forwarded port, the
    /// address that other entries use is not one of this host.
    #[serde(default)]
    pub peers_listen: Option<SocketAddr>,
    /// The address of the HTTP proxy through which this host opens connections to targets (by
    /// `CONNECT`), if it may not open them itself.
    #[serde(default)]
    pub forwarder: Option<SocketAddr>,
    /// The address of the metrics.
    pub metrics: SocketAddr,
    /// The capacity of this host, in cores. Callers are sent to the strongest hosts of each failure
    /// domain.
    pub power: f64,
    /// The addresses of entries to link to first. They need not be up.
    pub seeds: Vec<SocketAddr>,
    /// The address of the registry of texts and targets.
    pub registry: SocketAddr,
    /// Limits set by the operators.
    pub bounds: Bounds,
    /// What this host gives the process.
    #[serde(default)]
    pub resources: Resources,
    /// Which mechanisms for contended targets are in use.
    #[serde(default)]
    pub scheduling: Scheduling,
}

/// What a host gives the process, which bounds what callers can make it hold.
///
/// See docs/OPERATIONS.md, "Limits on callers".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// The memory of the process in MB of 2^20 bytes, with what the system has received for it.
    #[serde(deserialize_with = "memory_mb_or_number")]
    pub memory_mb: u32,
    /// The file descriptors of the process.
    #[serde(deserialize_with = "descriptors_or_number")]
    pub descriptors: u32,
    /// The longest head of a request, in KB of 2^10 bytes.
    #[serde(deserialize_with = "head_kb_or_number")]
    pub head_kb: u32,
}

impl Resources {
    /// The least memory with which a process serves callers, in MB.
    pub const MIN_MEMORY_MB: u32 = 64;

    /// The fewest descriptors with which a process serves callers.
    pub const MIN_DESCRIPTORS: u32 = 256;

    /// The least size of the longest head, in KB: texts in use allow as much.
    pub const MIN_HEAD_KB: u32 = 16;

    /// What a connection takes on average while all are in use.
    const CONNECTION_BYTES: usize = 32 << 10;

    /// The descriptors for what is no connection of a caller: listeners, links and the registry.
    const OWN_DESCRIPTORS: usize = 96;

    /// Returns the memory for bodies and answers, in bytes.
    pub(crate) fn payload_bytes(self) -> usize {
        self.part(20)
    }

    /// Returns the memory for requests in progress, in bytes.
    pub(crate) fn request_bytes(self) -> usize {
        self.part(30)
    }

    /// Returns the longest head of a request, in bytes.
    pub(crate) fn head_bytes(self) -> usize {
        (self.head_kb as usize) << 10
    }

    /// Returns the memory for connections and their buffers, in bytes.
    pub(crate) fn connection_bytes(self) -> usize {
        self.part(22)
    }

    /// Returns the most connections on all addresses that callers reach. Each has two descriptors,
    /// and may need another one for a connection to a target.
    pub(crate) fn connections(self) -> usize {
        let by_memory = self.connection_bytes() / Self::CONNECTION_BYTES;
        let by_descriptors = (self.descriptors as usize).saturating_sub(Self::OWN_DESCRIPTORS) / 3;
        by_memory.min(by_descriptors)
    }

    fn part(self, percent: usize) -> usize {
        (self.memory_mb as usize * percent / 100) << 20
    }
}

impl Default for Resources {
    fn default() -> Self {
        Self { memory_mb: 110, descriptors: 4_096, head_kb: 24 }
    }
}

/// Switches for the mechanisms of docs/design/contended-fleet.md, all off unless set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scheduling {
    /// Place generations by the pauses that their prompts are predicted to cause.
    pub pace: bool,
    /// Reserve prefill at an engine's owner before a generation is sent there.
    pub reservations: bool,
    /// Serve requests in the order of their ranks.
    pub ranks: bool,
    /// Count what a workspace uses at other entries in its share.
    pub fleet_shares: bool,
    /// Prefer targets in the failure domain of this entry.
    pub locality: bool,
    /// Send callers away from entries that are loaded beyond what they can carry.
    pub entry_load: bool,
}

/// Limits for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The grace period: seconds from SIGTERM to the end of the process.
    pub grace_s: f64,
    /// The retries of all entries together, as a fraction of requests.
    pub retry_ratio: f64,
    /// The retries of all entries together beyond that fraction, in one window.
    pub retry_burst: f64,
    /// The maximum number of seconds for which callers cache an answer with addresses.
    pub entries_ttl_s: f64,
    /// The limit of requests that a cold target may receive in one second, as a multiple of the
    /// requests that it can take.
    #[serde(default = "one", deserialize_with = "one_or_number")]
    pub cold_excess: f64,
    /// The requests that a cold target may receive in one second beyond that multiple.
    #[serde(default, deserialize_with = "zero_or_number")]
    pub cold_margin: f64,
}

/// A number, or a string with one that a template has filled in. The string is empty if the
/// deployment does not set the number.
#[derive(Deserialize)]
#[serde(untagged)]
enum TemplatedNumber {
    Number(f64),
    Text(SmolStr),
}

fn non_negative<'de, D: Deserializer<'de>>(input: D, default: f64) -> Result<f64, D::Error> {
    let number = match TemplatedNumber::deserialize(input)? {
        TemplatedNumber::Number(number) => number,
        TemplatedNumber::Text(text) if text.is_empty() => default,
        TemplatedNumber::Text(text) => text.parse().map_err(D::Error::custom)?,
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
    non_negative(input, one())
}

fn zero_or_number<'de, D: Deserializer<'de>>(input: D) -> Result<f64, D::Error> {
    non_negative(input, 0.0)
}

fn memory_mb_or_number<'de, D: Deserializer<'de>>(input: D) -> Result<u32, D::Error> {
    whole_number(input, Resources::default().memory_mb, Resources::MIN_MEMORY_MB)
}

fn descriptors_or_number<'de, D: Deserializer<'de>>(input: D) -> Result<u32, D::Error> {
    whole_number(input, Resources::default().descriptors, Resources::MIN_DESCRIPTORS)
}

fn head_kb_or_number<'de, D: Deserializer<'de>>(input: D) -> Result<u32, D::Error> {
    whole_number(input, Resources::default().head_kb, Resources::MIN_HEAD_KB)
}

/// Reads a number that is at least `min`; its fraction is dropped.
fn whole_number<'de, D: Deserializer<'de>>(
    input: D,
    default: u32,
    min: u32,
) -> Result<u32, D::Error> {
    let number = non_negative(input, f64::from(default))?;
    match number >= f64::from(min) && number <= f64::from(u32::MAX) {
        true => Ok(number as u32),
        false => Err(D::Error::custom(format_args!("{number} is not from {min} to {}", u32::MAX))),
    }
}

impl Bounds {
    /// Returns the grace period, from SIGTERM to the end of the process.
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

    /// Parses the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text).map_err(SettingsError::Malformed)
    }
}
