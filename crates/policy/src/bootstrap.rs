//! When an entry that has just started reads the registry itself.
//!
//! Pattern: hundreds of entries start at the same moment, and a few readings would do for all. The
//! seeds read at once. The others link to them first and read only if nobody tells them, each after
//! a wait by which few do ([`suppress`]).
//!
//! Nothing depends on one entry: seeds that hang or can't read delay the others by [`WINDOW`] at
//! most, and whoever reads first tells the seeds, which tell the rest.

use std::time::Duration;

use crate::suppress;
use crate::time::Time;

/// Within which time somebody reads where no seed can.
pub const WINDOW: Duration = Duration::from_secs(3);

/// How much longer one waits whose peer has what it needs: a large text on a narrow link takes
/// seconds, and a second copy would not come sooner.
pub const TRANSFER: Duration = Duration::from_secs(2);

/// How long an entry without any link waits at least: seeds that started with it take this long to
/// listen and greet.
const ALONE: Duration = Duration::from_millis(600);

/// Over how long the readings of entries without links are spread.
const ALONE_SPREAD: Duration = Duration::from_millis(600);

/// What the peers of a starting entry can do for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peers {
    /// No link is open.
    None,
    /// Those that are linked know nothing either.
    Blank,
    /// One of them has what is missing here.
    Informed,
}

/// The time until one starting entry reads the registry.
#[derive(Clone, Copy, Debug)]
pub struct Bootstrap {
    began: Time,
    waits: Option<Waits>,
}

#[derive(Clone, Copy, Debug)]
struct Waits {
    linked: Duration,
    alone: Duration,
}

impl Bootstrap {
    /// For an entry that others link to first, or that knows of no other.
    pub fn seed(now: Time) -> Self {
        Self { began: now, waits: None }
    }

    /// For any other entry, with a number drawn evenly from 0 to 1.
    pub fn member(now: Time, draw: f64) -> Self {
        let waits = Waits {
            linked: suppress::delay(WINDOW, draw),
            alone: ALONE + ALONE_SPREAD.mul_f64(draw),
        };
        Self { began: now, waits: Some(waits) }
    }

    /// Whether to read now what nobody has told yet.
    pub fn is_due(&self, now: Time, peers: Peers) -> bool {
        let Some(waits) = self.waits else { return true };
        let wait = match peers {
            Peers::None => waits.alone,
            Peers::Blank => waits.linked,
            Peers::Informed => waits.linked + TRANSFER,
        };
        now.since(self.began) >= wait
    }
}
