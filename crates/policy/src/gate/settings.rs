//! The switches of a gate's mechanisms.

use std::time::Duration;

use crate::placement;
use crate::retry;

/// Which mechanisms decide; benches and tests switch one off to show what it is there for.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The time between tokens that live callers are promised.
    pub between: Duration,
    /// Predict memory instead of sending whatever is asked.
    pub room: bool,
    /// Predict lengths instead of reserving the limit.
    pub length: bool,
    /// Divide free room among the entries.
    pub share: bool,
    /// Serve workspaces in fair turns.
    pub fair: bool,
    /// Keep a slice of memory from heavy workspaces.
    pub reserve: bool,
    /// Refuse on arrival what would miss its deadline.
    pub refuse: bool,
    /// Bound streams and unstarted prompts of live engines.
    pub pace: bool,
    /// Send prompts to where their beginning is cached.
    pub affinity: bool,
    /// How many targets are drawn for a request without a prefix, of which the best gets it.
    pub choices: usize,
    /// Leave targets that have just come to the entries whose turn it is; see [`crate::newcomer`].
    pub newcomers: bool,
    /// Bound what waits to be read at a target, for entries that tell each other at once.
    pub ahead: bool,
    /// Keep room from requests that are late, and send these away; see [`crate::late`].
    pub late: bool,
    /// Leave out slow and failing targets.
    pub outlier: bool,
    /// Charge second attempts of overnight answers as well, where operators bound them all.
    pub charge_all: bool,
    /// How many second attempts this entry may make.
    pub retries: retry::Limits,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            between: Duration::from_millis(57),
            room: true,
            length: true,
            share: true,
            fair: true,
            reserve: true,
            refuse: true,
            pace: true,
            affinity: true,
            choices: placement::CHOICES_LAGGED,
            newcomers: true,
            ahead: false,
            late: false,
            outlier: true,
            charge_all: false,
            retries: retry::Limits::default(),
        }
    }
}
