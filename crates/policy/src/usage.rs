//! Who holds engine memory now, and who holds far more than an equal part.
//!
//! Load pattern: long jobs among short ones, a hot caller. Fair turns alone come too late there:
//! a workspace that was alone for a minute holds all memory with answers that run for minutes, and
//! the first short one of another must wait for one of them to end. So a workspace that holds more
//! than its part leaves a slice of every engine free for the rest.

use std::collections::BTreeMap;

use crate::id;

/// Tokens that each workspace holds at this entry.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    held: BTreeMap<id::Workspace, f64>,
    total: f64,
}

impl Usage {
    /// Adds what a workspace holds more, or takes away where negative.
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

    /// How far a workspace stands above an equal part: 0 at or below it, 1 where it holds all
    /// while others hold next to nothing, and 0 where nobody else holds any.
    pub fn excess(&self, workspace: &id::Workspace) -> f64 {
        if self.held.len() < 2 || self.total <= 0.0 {
            return 0.0;
        }
        let held = self.held.get(workspace).copied().unwrap_or_default() / self.total;
        let equal = 1.0 / self.held.len() as f64;
        ((held - equal) / (1.0 - equal)).clamp(0.0, 1.0)
    }
}
