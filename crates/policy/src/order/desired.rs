//! The desired state of each engine, a pure function of the version and the published engines.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;
use crate::unit::Bytes;

/// Which phases of inference an engine runs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    #[display("both")]
    Both,
    /// Prefill only.
    #[display("prefill")]
    Prefill,
    /// Decode only.
    #[display("decode")]
    Decode,
}

/// The setup that an engine holds or should hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// The model.
    pub model: id::Model,
    /// The version of the model's weights.
    pub version: SmolStr,
    /// The adapters loaded with the model, sorted.
    pub adapters: Vec<SmolStr>,
    /// The engine's role.
    pub role: Role,
}

/// Whether engines check the fencing numbers of orders, as declared by the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine rejects an order whose number is not above the highest it has seen.
    Checked,
    /// The engine ignores fencing numbers.
    Ignored,
}

/// One engine as the operators' text declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The engine's name.
    pub target: id::Target,
    /// The host it runs on.
    pub host: id::Host,
    /// The service it belongs to.
    pub service: id::Service,
    /// The setup it should hold.
    pub setup: Setup,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Bytes that loading its model reads from the weight store.
    pub weights: Bytes,
}

/// Returns the engines to be ordered: those declared, except those whose host is not `published` as
/// live.
///
/// An engine on a leaving host is not ordered, since the host would be taken away in the middle of
/// the load. The result is sorted by target name, and adapters are sorted and deduplicated, so that
/// every entry of one version gets the same result.
pub fn engines(
    declared: impl IntoIterator<Item = Engine>,
    published: impl Fn(&id::Host) -> bool,
) -> Vec<Engine> {
    let mut engines: Vec<Engine> =
        declared.into_iter().filter(|engine| published(&engine.host)).collect();
    engines.iter_mut().for_each(|engine| {
        engine.setup.adapters.sort();
        engine.setup.adapters.dedup();
    });
    engines.sort_by(|a, b| a.target.cmp(&b.target));
    engines.dedup_by(|a, b| a.target == b.target);
    engines
}
