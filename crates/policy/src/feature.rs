//! What a request has in common with others: the parts that its prompt shares with theirs, and the
//! model that answers it.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Most features of one request; those that come first in its prompt are kept.
pub const MAX_FEATURES: usize = 16;

/// One feature, as a hash of its kind and name.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Feature(u64);

impl Feature {
    /// Returns the feature of requests whose prompts share this part.
    pub fn part(id: &str) -> Self {
        Self::of("part", id)
    }

    /// Returns the feature of requests that this model answers.
    pub fn model(name: &str) -> Self {
        Self::of("model", name)
    }

    fn of(kind: &str, name: &str) -> Self {
        let mut hash = Xxh3::new();
        hash.update(kind.as_bytes());
        hash.update(&[0]);
        hash.update(name.as_bytes());
        Self(hash.digest())
    }
}

/// Returns the features of a request by its model and the ids of its prompt's parts, of which the last
/// belongs to the request alone.
pub fn of_request<'a>(
    model: Option<&str>,
    parts: impl IntoIterator<Item = &'a str>,
) -> Vec<Feature> {
    let mut parts: Vec<&str> = parts.into_iter().collect();
    parts.pop();
    let parts = parts.into_iter().map(Feature::part);
    let mut features: Vec<Feature> = Vec::new();
    for feature in model.map(Feature::model).into_iter().chain(parts) {
        if features.len() < MAX_FEATURES && !features.contains(&feature) {
            features.push(feature);
        }
    }
    features
}
