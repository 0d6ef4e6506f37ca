//! When a process may serve: only after peers and platform were asked for the newest version.
//!
//! A process that starts, or wakes from a pause, knows nothing newer than what it is told first. If
//! that came from a stale platform, it would serve a version that the fleet has left behind.

use std::time::Duration;

use derive_more::Display;

use crate::time::Time;
use crate::version::Stamp;

/// How long each source may take to answer before it counts as silent: three heartbeats, and a
/// platform that answers in milliseconds needs none of it.
const PATIENCE: Duration = Duration::from_secs(3);

/// What came of asking one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Asked {
    /// No answer yet.
    #[default]
    Pending,
    /// It answered.
    Answered,
    /// It cannot be reached, or stayed silent.
    Silent,
}

/// Whether a process may serve, and if not, what it waits for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Standing {
    /// It may serve.
    #[display("ready")]
    Ready,
    /// Peers were not asked yet.
    #[display("asking peers")]
    AskingPeers,
    /// The platform was not asked yet.
    #[display("asking the platform")]
    AskingPlatform,
    /// Neither peers nor platform answered.
    #[display("neither peers nor the platform answer")]
    Alone,
    /// No text is known.
    #[display("no text is published")]
    NoVersion,
    /// A peer has announced a newer version, which is on its way.
    #[display("a newer text is on its way")]
    Behind,
}

/// What one process has asked since it started or woke.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    since: Time,
    peers: Asked,
    platform: Asked,
    newest: Stamp,
    ready: bool,
}

impl Readiness {
    /// Begins to ask at `now`.
    pub fn open(now: Time) -> Self {
        Self {
            since: now,
            peers: Asked::Pending,
            platform: Asked::Pending,
            newest: Stamp::default(),
            ready: false,
        }
    }

    /// Takes in what came of asking the platform.
    pub fn platform(&mut self, asked: Asked) {
        // An answer counts even where a later read fails: it has been asked.
        if self.platform != Asked::Answered {
            self.platform = asked;
        }
    }

    /// Takes in what came of asking the peers.
    pub fn peers(&mut self, asked: Asked) {
        if self.peers != Asked::Answered {
            self.peers = asked;
        }
    }

    /// Takes in a version that a peer announced and that is not refused here.
    pub fn announced(&mut self, stamp: Stamp) {
        self.newest = self.newest.max(stamp);
    }

    /// Whether the process may serve with the version behind `stamp` in force.
    ///
    /// Once it may, it goes on: the failure would be a fleet whose every member stops serving for a
    /// moment whenever a host is listed or a text published.
    pub fn standing(&mut self, now: Time, stamp: Stamp) -> Standing {
        let standing = if self.ready { Standing::Ready } else { self.asked(now, stamp) };
        self.ready = standing == Standing::Ready;
        standing
    }

    fn asked(&self, now: Time, stamp: Stamp) -> Standing {
        let late = now.since(self.since) >= PATIENCE;
        let settled = |asked: Asked| match asked {
            Asked::Pending if late => Asked::Silent,
            asked => asked,
        };
        match (settled(self.peers), settled(self.platform)) {
            (Asked::Pending, _) => Standing::AskingPeers,
            (_, Asked::Pending) => Standing::AskingPlatform,
            (Asked::Silent, Asked::Silent) => Standing::Alone,
            _ if stamp == Stamp::default() => Standing::NoVersion,
            _ if stamp < self.newest => Standing::Behind,
            _ => Standing::Ready,
        }
    }
}
