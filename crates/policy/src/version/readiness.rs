//! When a process may serve: only after it has asked peers and the platform for the newest version.
//!
//! A process that starts, or resumes after a pause, knows no version but the first one that it
//! receives. If that came from a stale platform, it would serve a version that the fleet has
//! already replaced.

use std::time::Duration;

use derive_more::Display;

use crate::time::Time;
use crate::version::Stamp;

/// How long each source may take to answer before it counts as silent: two heartbeat intervals of
/// members, while a platform answers within milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The result of asking one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Contact {
    /// It has not answered yet.
    #[default]
    Pending,
    /// It has answered.
    Answered,
    /// It cannot be reached or did not answer in time.
    Silent,
}

/// Whether a process may serve, and if not, what it waits for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Standing {
    /// It may serve.
    #[display("ready")]
    Ready,
    /// The peers have not answered yet.
    #[display("asking peers")]
    AskingPeers,
    /// The platform has not answered yet.
    #[display("asking the platform")]
    AskingPlatform,
    /// Neither peers nor the platform answered.
    #[display("neither peers nor the platform answer")]
    Alone,
    /// No text is known.
    #[display("no text is published")]
    NoVersion,
    /// A peer has announced a newer version, which is being fetched.
    #[display("a newer text is on its way")]
    Behind,
}

/// The sources that one process has asked since it started or resumed.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    since: Time,
    peers: Contact,
    platform: Contact,
    newest: Stamp,
    ready: bool,
}

impl Readiness {
    /// Starts asking at `now`.
    pub fn open(now: Time) -> Self {
        Self {
            since: now,
            peers: Contact::Pending,
            platform: Contact::Pending,
            newest: Stamp::default(),
            ready: false,
        }
    }

    /// Sets the result of asking the platform.
    pub fn set_platform(&mut self, contact: Contact) {
        // An answer still counts if a later read fails.
        if self.platform != Contact::Answered {
            self.platform = contact;
        }
    }

    /// Sets the result of asking the peers; an answer still counts if a later call reports none.
    pub fn set_peers(&mut self, contact: Contact) {
        if self.peers != Contact::Answered {
            self.peers = contact;
        }
    }

    /// Records a version that a peer announced and that is not refused here.
    pub fn note_announced(&mut self, stamp: Stamp) {
        self.newest = self.newest.max(stamp);
    }

    /// Returns whether the process may serve while `stamp` is in force.
    ///
    /// A process that may serve stays ready. Otherwise every process of the fleet would stop
    /// serving for a moment whenever a host is listed or a text is published.
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
