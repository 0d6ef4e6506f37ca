//! The domain types of the text and the step from TOML to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use fireflyhoist_policy::burn;
use fireflyhoist_policy::gate::Class;
use fireflyhoist_policy::id;
pub use fireflyhoist_policy::order::desired::Role;
use fireflyhoist_policy::unit::{TokenRate, Tokens};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::check;
use crate::fault::Faults;

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

/// Where a service's targets come from when the text does not list them.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// The platform's host list, which names what each host serves.
    #[display("hosts")]
    Hosts,
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
    /// The role that its engine is ordered to take; model services only.
    #[serde(default)]
    pub role: Role,
}

/// What a service promises, by which `burn` judges it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// Milliseconds to the first token, or to the response of a plain service.
    pub first_token_ms: u64,
    /// Milliseconds between tokens.
    pub between_tokens_ms: u64,
    /// The share of answers that must meet the above, above 0 and below 1.
    pub share: f64,
    /// The share of generation time that may be stalled.
    pub stalled_share: f64,
    /// The share of answers that may be preempted at an engine.
    pub preempted_share: f64,
    /// The share of requests that may be refused.
    pub refused_share: f64,
}

impl Default for Objective {
    /// 0.34 s to the first token and 57 ms between tokens for 95 in 100 are the figures of the
    /// size to design for; one in a hundred for the rest is a start that operators overrule.
    fn default() -> Self {
        Self {
            first_token_ms: 340,
            between_tokens_ms: 57,
            share: 0.95,
            stalled_share: 0.01,
            preempted_share: 0.01,
            refused_share: 0.01,
        }
    }
}

impl Objective {
    /// The objective as the report on service-level burn takes it.
    pub fn burn(&self) -> burn::Objective {
        burn::Objective {
            first_token: Duration::from_millis(self.first_token_ms),
            between_tokens: Duration::from_millis(self.between_tokens_ms),
            late_share: 1.0 - self.share,
            stalled_share: self.stalled_share,
            preempted_share: self.preempted_share,
            refused_share: self.refused_share,
        }
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
    /// Where its back ends come from, where they are not listed.
    #[serde(default)]
    pub targets_from: Option<Origin>,
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

/// The platform's weight store, by whose rate loads of weights are paced.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Gibibytes a second that it serves to all engines together.
    pub gib_per_second: f64,
}

/// The whole text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Text {
    /// Grows with each publication; the order of versions rests on it.
    pub revision: u64,
    /// How fast weights can be loaded; loads go one at a time where absent.
    #[serde(default)]
    pub weight_store: Option<WeightStore>,
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
    /// Parses and checks a text, or says everything for which it is refused.
    pub fn parse(source: &str) -> Result<Self, Faults> {
        Self::parse_bytes(source.as_bytes())
    }

    /// Parses and checks bytes that may be no text at all.
    pub fn parse_bytes(bytes: &[u8]) -> Result<Self, Faults> {
        check::text(bytes)
    }

    /// The model of this name.
    pub fn model(&self, name: &id::Model) -> Option<&Model> {
        self.models.iter().find(|m| m.name == *name)
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
