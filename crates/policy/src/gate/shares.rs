//! What workspaces use through this entry and through the others; see [`crate::fleet_share`].

use std::collections::BTreeMap;

use crate::fleet_share::{Amount, Change, Heavies, Shares};
use crate::gate::Gate;
use crate::gate::place::HEAVY_RESERVE;
use crate::id;
use crate::time::Time;

impl Gate {
    /// Applies the switch for counting other entries.
    pub(super) fn apply_fleet_shares(&mut self) {
        self.queue.set_fleet_shares(self.settings.fleet_shares);
        if !self.settings.fleet_shares {
            (self.others, self.heavies) = (Shares::default(), Heavies::default());
            self.reserved = 1.0;
        }
    }

    /// Returns what workspaces use through this entry, to announce it to others.
    pub fn shares(&mut self, now: Time) -> Shares {
        self.queue.advance(now);
        let mut amounts: BTreeMap<id::Workspace, Amount> = BTreeMap::new();
        for (workspace, held) in self.usage.all() {
            amounts.entry(workspace.clone()).or_default().held = held as u64;
        }
        self.queue.add_amounts(&mut amounts);
        Shares::of(amounts)
    }

    /// Sets what workspaces use through all other entries together, and determines which are heavy.
    pub fn set_others(&mut self, now: Time, others: Shares) {
        if self.settings.fleet_shares {
            self.queue.set_others(now, &others);
            self.others = others;
            let all = Shares::long_sum([&self.shares(now), &self.others]);
            self.heavies.update(&all, |workspace| self.queue.weight(workspace));
            let listed = self.targets.iter().filter(|state| state.is_in_service());
            let capacity: f64 = listed.map(|state| state.memory.capacity()).sum();
            // With the reserve at all targets whenever anything waits, a tenth of the work was lost at a
            // demand of what fits.
            self.reserved = self.heavies.wanted() as f64 / (HEAVY_RESERVE * capacity).max(1.0);
        }
    }

    /// Returns the number of workspaces that hold far more than an equal part of all memory in use.
    pub fn heavy_workspaces(&self) -> usize {
        self.heavies.len()
    }

    /// Takes the workspaces that became heavy or ceased to be since the last call, for the log.
    pub fn take_heavy_changes(&mut self) -> Vec<Change> {
        self.heavies.take_changes()
    }
}
