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
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// What came of asking one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Contact {
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
    peers: Contact,
    platform: Contact,
    newest: Stamp,
    ready: bool,
}

impl Readiness {
    /// Begins to ask at `now`.
    pub fn open(now: Time) -> Self {
        Self {
            since: now,
            peers: Contact::Pending,
            platform: Contact::Pending,
            newest: Stamp::default(),
            ready: false,
        }
    }

    /// Takes in what came of asking the platform.
    pub fn set_platform(&mut self, contact: Contact) {
        // An answer counts even where a later read fails: it has been asked.
        if self.platform != Contact::Answered {
            self.platform = contact;
        }
    }

    /// Takes in what came of asking the peers.
    pub fn set_peers(&mut self, contact: Contact) {
        if self.peers != Contact::Answered {
            self.peers = contact;
        }
    }

    /// Takes in a version that a peer announced and that is not refused here.
    pub fn note_announced(&mut self, stamp: Stamp) {
        self.newest = self.newest.max(stamp);
    }

    /// Whether the process may serve with the version behind `stamp` in force.
    ///
    /// Once it may, it goes on: the failure would be a fleet whose every member stops serving for a
    /// moment whenever a host is listed or a text published.
    pub fn standing(&mut self, now: Time, stamp: Stamp) -> Standing {
        let standing = if self.ready { Standing::Ready } else { self.evaluate(now, stamp) };
        self.ready = standing == Standing::Ready;
        standing
    }

    fn evaluate(&self, now: Time, stamp: Stamp) -> Standing {
        let late = now.since(self.since) >= ANSWER_TIMEOUT;
        let settled = |contact: Contact| match contact {
            Contact::Pending if late => Contact::Silent,
            contact => contact,
        };
        match (settled(self.peers), settled(self.platform)) {
            (Contact::Pending, _) => Standing::AskingPeers,
            (_, Contact::Pending) => Standing::AskingPlatform,
            (Contact::Silent, Contact::Silent) => Standing::Alone,
            _ if stamp == Stamp::default() => Standing::NoVersion,
            _ if stamp < self.newest => Standing::Behind,
            _ => Standing::Ready,
        }
    }
}
