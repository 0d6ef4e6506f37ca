//! When an entry that has just started reads the registry itself.
//!
//! Hundreds of entries may start at the same moment, and a few reads are enough for all of them.
//! The seeds read at once. The others link to the seeds first and read the registry only if no peer
//! provides what they need, each after a delay drawn so that few of them read ([`suppress`]).
//!
//! No single entry is required: seeds that hang or cannot read the registry delay the others by
//! [`READ_DEADLINE`] at most, and the entry that reads first passes the result to the seeds, which
//! pass it to the rest.

use std::time::Duration;

use crate::suppress;
use crate::time::Time;

/// The time within which some entry reads the registry if no seed can.
pub const READ_DEADLINE: Duration = Duration::from_secs(3);

/// The extra time that an entry waits while a peer has what it needs. A large text takes seconds
/// over a narrow link, and a second copy would not arrive sooner.
pub const TRANSFER_GRACE: Duration = Duration::from_secs(2);

/// The minimum delay of an entry without any link: seeds that started at the same time take this
/// long to listen and to complete a handshake.
const UNLINKED_DELAY: Duration = Duration::from_millis(600);

/// The span over which the reads of entries without links are spread.
const UNLINKED_SPREAD: Duration = Duration::from_millis(600);

/// What the peers of a starting entry can provide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peers {
    /// No link is open.
    None,
    /// Links are open, but no linked peer has what is missing.
    Uninformed,
    /// A linked peer has what is missing.
    Informed,
}

/// How long an entry may be behind a peer before it requests what is missing: a few heartbeats, in
/// which changes that are on their way arrive, and a fraction of the 2 s within which a text or the
/// leaving of a target must be known.
pub const MAX_LAG: Duration = Duration::from_millis(450);

/// The peer that offers a starting entry its first list of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// One of the actives that this entry links to, or any peer if it is active itself.
    Own,
    /// Another peer, such as the seed that the entry has dialled.
    Other,
}

impl Source {
    /// Returns whether to request the list from the peer, which has offered it for this long.
    ///
    /// Every entry that starts links to a seed. If it also requested the list there, a seed would
    /// send as many lists as there are entries, each as long as there are targets. A seed with a
    /// narrow link takes most of a minute for that in a large fleet.
    pub fn is_due(self, offered_for: Duration) -> bool {
        self == Self::Own || offered_for >= MAX_LAG
    }
}

/// The delay until one starting entry reads the registry.
#[derive(Clone, Copy, Debug)]
pub struct Bootstrap {
    started_at: Time,
    delays: Option<Delays>,
}

#[derive(Clone, Copy, Debug)]
struct Delays {
    linked: Duration,
    unlinked: Duration,
}

impl Bootstrap {
    /// Creates the state of an entry that others link to first, or that knows no other entry.
    pub fn seed(now: Time) -> Self {
        Self { started_at: now, delays: None }
    }

    /// Creates the state of any other entry; `draw` is a random number, uniform between 0 and 1.
    pub fn member(now: Time, draw: f64) -> Self {
        let delays = Delays {
            linked: suppress::delay(READ_DEADLINE, draw),
            unlinked: UNLINKED_DELAY + UNLINKED_SPREAD.mul_f64(draw),
        };
        Self { started_at: now, delays: Some(delays) }
    }

    /// Returns whether to read the registry now, while the data is still missing.
    pub fn is_due(&self, now: Time, peers: Peers) -> bool {
        let Some(delays) = self.delays else { return true };
        let delay = match peers {
            Peers::None => delays.unlinked,
            Peers::Uninformed => delays.linked,
            Peers::Informed => delays.linked + TRANSFER_GRACE,
        };
        now.since(self.started_at) >= delay
    }
}
