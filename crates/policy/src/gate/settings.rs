//! Switches for the mechanisms of a gate.

use std::time::Duration;

use crate::placement;
use crate::retry;

/// Selects the mechanisms of a gate. Simulations and tests turn one off to show its effect.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Objective for the time between tokens of live generations.
    pub token_interval: Duration,
    /// Send a generation only to targets where its memory is predicted to fit.
    pub memory: bool,
    /// Predict the lengths of answers instead of reserving their limits.
    pub length: bool,
    /// Divide the free memory of each target among the entries.
    pub share: bool,
    /// Queue workspaces fairly instead of in order of deadline.
    pub fair: bool,
    /// Keep part of each target's memory free of heavy workspaces.
    pub reserve: bool,
    /// Refuse requests on arrival that are predicted to miss their deadline.
    pub refuse: bool,
    /// Bound the streams and unstarted prompts of targets for live generations.
    pub pace: bool,
    /// Prefer targets that have the beginning of a prompt in their prefix cache.
    pub affinity: bool,
    /// How many random targets are compared for a request that has no prefix, or whose prefix has
    /// no home with room.
    pub choices: usize,
    /// Let entries begin to send to a target that has just joined one after another; see
    /// [`crate::stagger`].
    pub stagger: bool,
    /// Bound the prompt tokens that wait for prefill at a target. Useful only if entries announce
    /// to each other what they send.
    pub prefill_bound: bool,
    /// Let requests that are past their objective use only spare capacity, and shed those that find
    /// none; see [`crate::shedding`].
    pub shed_late: bool,
    /// Place generations by the pauses that their prompts are predicted to cause. Effective only
    /// with a longest pause.
    pub pause_aware: bool,
    /// Serve requests in the order of their ranks.
    pub ranks: bool,
    /// Count what workspaces use at other entries.
    pub fleet_shares: bool,
    /// Prefer targets in the failure domain of the entry.
    pub locality: bool,
    /// Eject slow and failing targets.
    pub outlier: bool,
    /// Charge retries of overnight generations to the retry budget as well, for operators who bound
    /// all retries.
    pub charge_overnight: bool,
    /// Budget of this entry for retries.
    pub retries: retry::Limits,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            token_interval: Duration::from_millis(57),
            memory: true,
            length: true,
            share: true,
            fair: true,
            reserve: true,
            refuse: true,
            pace: true,
            affinity: true,
            choices: placement::CHOICES_LAGGED,
            stagger: true,
            prefill_bound: false,
            shed_late: false,
            pause_aware: false,
            ranks: false,
            fleet_shares: false,
            locality: false,
            outlier: true,
            charge_overnight: false,
            retries: retry::Limits::default(),
        }
    }
}
