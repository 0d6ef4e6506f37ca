//! What entries have in flight at each target, as they announce it to each other.
//!
//! The sums by target are kept up to date with each announcement. Summing the announcements of all
//! entries again whenever one of them arrives costs time that grows with the square of the entries
//! that serve callers, and passing the sums of all targets on costs time that grows with the
//! targets, although one announcement changes a few.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::id;
use crate::pace::Figures;
use crate::unit::Tokens;

/// The load that one or several entries have on one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The target.
    pub target: id::Target,
    /// Tokens that running answers hold in its memory.
    pub tokens: Tokens,
    /// Running answers.
    pub streams: u32,
    /// Prompt tokens that wait for prefill.
    pub unread: Tokens,
    /// Tokens that copies of answers which run elsewhere hold in its memory.
    pub copies: Tokens,
    /// Its pace as observed, and the answers that prompts can interrupt there.
    #[serde(default, skip_serializing_if = "Figures::is_none")]
    pub pace: Figures,
}

impl Load {
    /// Returns no load on a target.
    pub fn none(target: &id::Target) -> Self {
        let zero = Tokens::default();
        let pace = Figures::default();
        Self { target: target.clone(), tokens: zero, streams: 0, unread: zero, copies: zero, pace }
    }

    /// Adds the load of another entry on the same target.
    pub fn add(&mut self, other: &Self) {
        self.tokens += other.tokens;
        self.streams += other.streams;
        self.unread += other.unread;
        self.copies += other.copies;
        self.pace.add(&other.pace);
    }

    /// Returns whether nothing is in flight at the target.
    pub fn is_none(&self) -> bool {
        *self == Self::none(&self.target)
    }
}

/// Sums the loads of several entries by target.
pub fn sum<'a>(loads: impl Iterator<Item = &'a Load>) -> Vec<Load> {
    let mut sums: BTreeMap<id::Target, Load> = BTreeMap::new();
    for load in loads {
        sums.entry(load.target.clone()).or_insert_with(|| Load::none(&load.target)).add(load);
    }
    sums.into_values().collect()
}

/// The loads that other entries have announced.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_entry: HashMap<id::Host, BTreeMap<id::Target, Load>>,
    by_target: HashMap<id::Target, HashMap<id::Host, Load>>,
}

impl Peers {
    /// Replaces the loads of an entry, and returns the targets whose load has changed.
    pub fn replace(&mut self, entry: &id::Host, loads: Vec<Load>) -> Vec<id::Target> {
        let new: BTreeMap<id::Target, Load> =
            sum(loads.iter()).into_iter().map(|load| (load.target.clone(), load)).collect();
        let old = self.by_entry.remove(entry).unwrap_or_default();
        let gone = old.keys().filter(|target| !new.contains_key(*target)).cloned();
        let mut changed: Vec<id::Target> = gone.collect();
        for target in &changed {
            self.remove(target, entry);
        }
        for (target, load) in &new {
            if old.get(target) != Some(load) {
                changed.push(target.clone());
                let at_target = self.by_target.entry(target.clone()).or_default();
                at_target.insert(entry.clone(), load.clone());
            }
        }
        if !new.is_empty() {
            self.by_entry.insert(entry.clone(), new);
        }
        changed
    }

    fn remove(&mut self, target: &id::Target, entry: &id::Host) {
        if let Some(loads) = self.by_target.get_mut(target) {
            loads.remove(entry);
            if loads.is_empty() {
                self.by_target.remove(target);
            }
        }
    }

    /// Returns the load of all other entries together on a target. Its pace is the median of theirs.
    pub fn total(&self, target: &id::Target) -> Load {
        let mut total = Load::none(target);
        for load in self.by_target.get(target).into_iter().flat_map(HashMap::values) {
            total.add(load);
        }
        if let Some(loads) = self.by_target.get(target) {
            total.pace.set_median(loads.values().map(|load| &load.pace));
        }
        total
    }

    /// Returns the loads of the entries that `is_included` selects.
    pub fn loads(&self, is_included: impl Fn(&id::Host) -> bool) -> impl Iterator<Item = &Load> {
        let included = self.by_entry.iter().filter(move |(host, _)| is_included(host));
        included.flat_map(|(_, loads)| loads.values())
    }

    /// Returns whether an entry has announced load on any target.
    pub fn has_load(&self, entry: &id::Host) -> bool {
        self.by_entry.contains_key(entry)
    }
}
