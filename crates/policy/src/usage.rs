//! Engine memory held by each workspace, and whether a workspace holds far more than an equal part.
//!
//! Fair turns alone come too late if a workspace that was alone for a minute holds all memory with
//! answers that run for minutes: the first short answer of another workspace must wait for one of
//! them to end. So a workspace that holds more than its part leaves part of every engine free for
//! the others.

use std::collections::BTreeMap;

use crate::id;

/// A workspace is heavy above this multiple of an equal part. Normal variation (a busy hour, one
/// long answer) stays below it; the large workspaces of either user are above it at their busiest.
const HEAVY_FACTOR: f64 = 1.5;

/// Tokens that each workspace holds through this entry.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    held: BTreeMap<id::Workspace, f64>,
    total: f64,
}

impl Usage {
    /// Adds tokens to what a workspace holds, or subtracts them where negative.
    pub fn add(&mut self, workspace: &id::Workspace, tokens: f64) {
        self.total = (self.total + tokens).max(0.0);
        let held = self.held.entry(workspace.clone()).or_default();
        *held += tokens;
        if *held < 0.5 {
            self.held.remove(workspace);
        }
        if self.held.is_empty() {
            self.total = 0.0;
        }
    }

    /// Returns the tokens that a workspace holds.
    pub fn held(&self, workspace: &id::Workspace) -> f64 {
        self.held.get(workspace).copied().unwrap_or_default()
    }

    /// Returns the tokens that each workspace holds.
    pub fn all(&self) -> impl Iterator<Item = (&id::Workspace, f64)> {
        self.held.iter().map(|(workspace, held)| (workspace, *held))
    }

    /// Returns whether a workspace holds far more than an equal part, and more than `floor` tokens,
    /// while others hold some as well.
    pub fn is_heavy(&self, workspace: &id::Workspace, floor: f64) -> bool {
        let held = self.held(workspace);
        held > floor
            && self.held.len() > 1
            && held * self.held.len() as f64 > HEAVY_FACTOR * self.total
    }
}
