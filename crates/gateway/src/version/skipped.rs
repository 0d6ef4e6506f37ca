//! Bounds the lines of log about registry entries that are skipped.
//!
//! Such an entry is read again with each list, and may be written again each second.

use std::collections::VecDeque;
use std::time::Duration;

use fireflyhoist_policy::time::Time;

/// How long the same reason is not logged again.
const INTERVAL: Duration = Duration::from_secs(60);

/// The most reasons that are logged in this time.
const MAX_REASONS: usize = 16;

/// The reasons that were logged lately.
#[derive(Debug, Default)]
pub(crate) struct Skipped {
    logged: VecDeque<(Time, String)>,
    /// Entries that were skipped without a line since the last one.
    unlogged: u64,
}

impl Skipped {
    /// Records that an entry was skipped. Returns how many were skipped without a line since the
    /// last one, if this one is to be logged.
    pub(crate) fn record(&mut self, now: Time, reason: &str) -> Option<u64> {
        while self.logged.front().is_some_and(|(at, _)| now.since(*at) >= INTERVAL) {
            self.logged.pop_front();
        }
        let is_known = self.logged.iter().any(|(_, known)| known == reason);
        if is_known || self.logged.len() >= MAX_REASONS {
            self.unlogged += 1;
            return None;
        }
        self.logged.push_back((now, reason.to_owned()));
        Some(std::mem::take(&mut self.unlogged))
    }
}
