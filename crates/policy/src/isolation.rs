//! Whether an entry is isolated: it reaches no target at all, while its callers and the other
//! entries still reach it.
//!
//! A failed connection does not tell whether its target failed or the path of the entry. If the entry
//! has opened no connection to any target since, it tries several others: if one of them answers, the
//! target has failed; if none does, the path has. An isolated entry reports nothing about targets. It
//! opens connections through other entries, which is transparent to targets, and announces its state,
//! so that callers are sent to entries that need no detour.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::presence::Presence;
use crate::time::Time;
use crate::topology::Member;

/// The number of targets that are tried to find out whether any can be reached.
pub const CHECKED_TARGETS: usize = 8;

/// How long each of them may take to accept a connection.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// The interval at which an isolated entry tries whether it reaches a target again.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long all targets may accept no connection although they work and the path does. An isolation
/// that is as short may be theirs.
pub const STALL_TIME: Duration = Duration::from_millis(1_500);

/// How many entries are asked one after another to open a connection.
pub const MAX_RELAYS: usize = 3;

/// The number of targets that must fail together. Of a single one it can't be told whether it has
/// crashed.
const MIN_FAILED: usize = 2;

/// The time after an isolation in which it is expected to return.
const RELAPSE_WINDOW: Duration = Duration::from_secs(5);

/// How long a connection may take to open in that time.
const RELAPSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Detects from the connections of one entry whether it is isolated.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// When a connection to a target was last opened.
    connected_at: Option<Time>,
    isolated_since: Option<Time>,
    /// When the last isolation ended.
    recovered_at: Option<Time>,
}

impl Detector {
    /// Records that a connection to a target was opened. Returns how long the entry was isolated if
    /// this ends an isolation.
    pub fn record_connected(&mut self, now: Time) -> Option<Duration> {
        self.connected_at = Some(now);
        let since = self.isolated_since.take()?;
        self.recovered_at = Some(now);
        Some(now.since(since))
    }

    /// Returns whether it is open if the path works after a connection failed that was begun at
    /// `began_at`: no connection to any target was opened since. One that was opened before shows
    /// nothing, however recent it is.
    pub fn must_check(&self, began_at: Time) -> bool {
        self.connected_at.is_none_or(|at| at < began_at)
    }

    /// Records that `failed` targets were tried since `began_at`, all without success. Returns whether
    /// the entry is isolated by this.
    pub fn record_failed_check(&mut self, now: Time, began_at: Time, failed: usize) -> bool {
        let connected = self.connected_at.is_some_and(|at| at >= began_at);
        if connected || failed < MIN_FAILED {
            return false;
        }
        self.isolated_since.get_or_insert(now);
        true
    }

    /// Returns whether the entry reaches no target.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Returns how much longer the targets of an isolated entry may only stall; `None` if it is not
    /// isolated.
    pub fn stall_left(&self, now: Time) -> Option<Duration> {
        self.isolated_since.map(|since| STALL_TIME.saturating_sub(now.since(since)))
    }

    /// Returns whether what becomes of a request at a target may be due to the path: the entry is
    /// isolated, or was until recently.
    pub fn is_suspect(&self, now: Time) -> bool {
        self.is_isolated() || self.has_recovered_recently(now)
    }

    fn has_recovered_recently(&self, now: Time) -> bool {
        self.recovered_at.is_some_and(|at| now.since(at) <= RELAPSE_WINDOW)
    }

    /// Returns how long a direct connection may take to open, where `usual` is the time without an
    /// isolation.
    pub fn connect_timeout(&self, now: Time, usual: Duration) -> Duration {
        if self.has_recovered_recently(now) { RELAPSE_TIMEOUT.min(usual) } else { usual }
    }
}

/// Returns the members of these that an isolated entry asks for connections, in random order so that
/// they share the load. Members that are not ready come last: one that is leaving may be the only one
/// with a path.
pub fn relays<'a>(members: &'a [Presence], rng: &mut impl Rng) -> Vec<&'a Member> {
    let mut members: Vec<&Presence> = members.iter().collect();
    members.shuffle(rng);
    members.sort_by_key(|presence| !presence.ready);
    members.into_iter().take(MAX_RELAYS).map(|presence| &presence.member).collect()
}

/// Removes isolated entries from those that callers are told to use.
///
/// They stay if they are the majority: the few others would be overloaded, while connections through
/// other entries are also opened by those that callers are not sent to.
pub fn retain_for_callers(ready: &mut Vec<Presence>) {
    let isolated = ready.iter().filter(|presence| presence.isolated).count();
    if isolated * 2 <= ready.len() {
        ready.retain(|presence| !presence.isolated);
    }
}
