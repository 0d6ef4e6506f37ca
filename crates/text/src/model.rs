//! The domain types of the text and the step from TOML to them.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use derive_more::{Display, Error};
use fireflyhoist_policy::gate::Class;
use fireflyhoist_policy::id;
use fireflyhoist_policy::unit::{TokenRate, Tokens};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Why a text is refused, in words that name the remedy.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The TOML does not parse or a field is wrong.
    #[display("{message}")]
    Syntax {
        /// What is wrong, where, and what to do.
        message: String,
    },
}

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines that generate token streams.
    #[default]
    #[display("model")]
    Model,
    /// Plain HTTP servers.
    #[display("plain")]
    Plain,
}

/// How a model service hands its answers over.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// Held at the entry until complete: a lost engine costs time, never the answer.
    #[display("whole")]
    Whole,
    /// Token by token as generated: an interruption after the first token is told.
    #[default]
    #[display("live")]
    Live,
}

/// One back end, fixed in the text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its name, unique in the text.
    pub name: id::Target,
    /// The host it runs on, as the platform's host list names it.
    pub host: id::Host,
    /// Where it listens; an IP number and a port.
    pub address: SocketAddr,
}

/// What a service promises, by which `burn` judges it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// Milliseconds to the first token, or to the response of a plain service.
    pub first_token_ms: u64,
    /// Milliseconds between tokens.
    pub between_tokens_ms: u64,
    /// The share of answers that must meet the above, from 0 to 1.
    pub share: f64,
}

impl Default for Objective {
    /// The letter's figures: 0.34 s and 57 ms for 95 in 100.
    fn default() -> Self {
        Self { first_token_ms: 340, between_tokens_ms: 57, share: 0.95 }
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, by which callers ask for it.
    pub name: id::Service,
    /// What stands behind it.
    #[serde(default)]
    pub kind: Kind,
    /// The model its engines run; model services only.
    #[serde(default)]
    pub model: Option<id::Model>,
    /// How answers are handed over; model services only.
    #[serde(default)]
    pub delivery: Delivery,
    /// What wait its callers bear.
    #[serde(default)]
    pub class: Class,
    /// Whether a call may run more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Whether its targets refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Services that this one calls.
    #[serde(default)]
    pub depends_on: Vec<id::Service>,
    /// What it promises.
    #[serde(default)]
    pub objective: Objective,
    /// The longest wait before an answer begins, in milliseconds.
    #[serde(default = "patience")]
    pub patience_ms: u64,
    /// Its back ends.
    #[serde(default, rename = "target")]
    pub targets: Vec<Target>,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: id::Workspace,
    /// Its weight among the others when all want more than there is.
    #[serde(default = "one")]
    pub weight: u32,
    /// Streams it may have open across all entries; none where absent.
    #[serde(default)]
    pub max_streams: Option<u32>,
    /// Tokens a second it may use across all entries; none where absent.
    #[serde(default)]
    pub tokens_per_second: Option<TokenRate>,
    /// SHA-256 of its bearer key, in hexadecimal; without one, any caller may name it.
    #[serde(default)]
    pub key_sha256: Option<SmolStr>,
}

/// One model that engines may be ordered to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// The version of its weights that is wanted.
    pub version: SmolStr,
    /// Adapters loaded beside it.
    #[serde(default)]
    pub adapters: Vec<SmolStr>,
    /// Bytes of its weights in gibibytes, by which loads are paced.
    #[serde(default)]
    pub weights_gib: u32,
    /// Room for tokens in one engine's memory.
    #[serde(default = "room")]
    pub memory: Tokens,
}

/// The whole text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Text {
    /// Grows with each publication; the order of versions rests on it.
    pub revision: u64,
    /// Who is served.
    #[serde(default, rename = "workspace")]
    pub workspaces: Vec<Workspace>,
    /// What engines may load.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// What is served.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
}

fn yes() -> bool {
    true
}

fn one() -> u32 {
    1
}

fn patience() -> u64 {
    30_000
}

fn room() -> Tokens {
    Tokens::new(100_000)
}

impl Text {
    /// Parses and checks a text, or says why it is refused.
    pub fn parse(source: &str) -> Result<Self, Fault> {
        toml::from_str(source).map_err(|e| Fault::Syntax { message: e.to_string() })
    }

    /// The service of this name.
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// Targets by name.
    pub fn targets(&self) -> BTreeMap<&id::Target, &Target> {
        self.services.iter().flat_map(|s| &s.targets).map(|t| (&t.name, t)).collect()
    }
}

/// A version of the text: revision first, then digest, so that any two differ in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    revision: u64,
    digest: [u8; 32],
}

impl Version {
    /// The version of a text published as `source` with `revision`.
    pub fn of(revision: u64, source: &str) -> Self {
        Self { revision, digest: Sha256::digest(source.as_bytes()).into() }
    }

    /// The revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

impl Ord for Version {
    fn cmp(&self, other: &Self) -> Ordering {
        self.revision.cmp(&other.revision).then_with(|| self.digest.cmp(&other.digest))
    }
}

impl PartialOrd for Version {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-", self.revision)?;
        self.digest[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
