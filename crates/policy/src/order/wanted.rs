//! What each engine should hold, as a pure function of the version and the published engines.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id;
use crate::unit::Bytes;

/// What an engine does for its model.
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
    /// Prompts and answers.
    #[default]
    #[display("both")]
    Both,
    /// Prompts only.
    #[display("prefill")]
    Prefill,
    /// Answers only.
    #[display("decode")]
    Decode,
}

/// What an engine holds or should hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// The model.
    pub model: id::Model,
    /// The version of its weights.
    pub version: SmolStr,
    /// Adapters beside it, sorted.
    pub adapters: Vec<SmolStr>,
    /// What it does.
    pub role: Role,
}

/// Whether engines check who gives them an order; the operators say so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// An order with an old number is refused.
    Checked,
    /// The number is ignored.
    Ignored,
}

/// One engine as the text declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declared {
    /// Its name.
    pub target: id::Target,
    /// The host it runs on.
    pub host: id::Host,
    /// The service it stands behind.
    pub service: id::Service,
    /// What it should hold.
    pub setup: Setup,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// What loading its model draws from the weight store.
    pub weights: Bytes,
}

/// The engines to be ordered: those declared, less those whose host is not `published` as live.
///
/// A host that leaves is given nothing to load, since it would be taken back in the middle. Sorted
/// by name, with adapters sorted, so that every entry of one version sees the same.
pub fn engines(
    declared: impl IntoIterator<Item = Declared>,
    published: impl Fn(&id::Host) -> bool,
) -> Vec<Declared> {
    let mut engines: Vec<Declared> =
        declared.into_iter().filter(|engine| published(&engine.host)).collect();
    engines.iter_mut().for_each(|engine| {
        engine.setup.adapters.sort();
        engine.setup.adapters.dedup();
    });
    engines.sort_by(|a, b| a.target.cmp(&b.target));
    engines.dedup_by(|a, b| a.target == b.target);
    engines
}
