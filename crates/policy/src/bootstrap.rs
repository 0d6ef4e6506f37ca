//! When an entry that has just started reads the registry itself.
//!
//! Pattern: hundreds of entries start at the same moment, and a few readings would do for all. The
//! seeds read at once. The others link to them first and read only if nobody tells them, each after
//! a wait by which few do ([`suppress`]).
//!
//! Nothing depends on one entry: seeds that hang or can't read delay the others by [`READ_DEADLINE`] at
//! most, and whoever reads first tells the seeds, which tell the rest.

use std::time::Duration;

use crate::suppress;
use crate::time::Time;

/// Within which time somebody reads where no seed can.
pub const READ_DEADLINE: Duration = Duration::from_secs(3);

/// How much longer one waits whose peer has what it needs: a large text on a narrow link takes
/// seconds, and a second copy would not come sooner.
pub const TRANSFER_GRACE: Duration = Duration::from_secs(2);

/// How long an entry without any link waits at least: seeds that started with it take this long to
/// listen and greet.
const UNLINKED_DELAY: Duration = Duration::from_millis(600);

/// Over how long the readings of entries without links are spread.
const UNLINKED_SPREAD: Duration = Duration::from_millis(600);

/// What the peers of a starting entry can do for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peers {
    /// No link is open.
    None,
    /// Those that are linked know nothing either.
    Uninformed,
    /// One of them has what is missing here.
    Informed,
}

/// The time until one starting entry reads the registry.
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
    /// For an entry that others link to first, or that knows of no other.
    pub fn seed(now: Time) -> Self {
        Self { started_at: now, delays: None }
    }

    /// For any other entry, with a number drawn evenly from 0 to 1.
    pub fn member(now: Time, draw: f64) -> Self {
        let delays = Delays {
            linked: suppress::wait(READ_DEADLINE, draw),
            unlinked: UNLINKED_DELAY + UNLINKED_SPREAD.mul_f64(draw),
        };
        Self { started_at: now, delays: Some(delays) }
    }

    /// Whether to read now what nobody has told yet.
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
