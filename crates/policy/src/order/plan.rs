//! What to do about one engine, from what was just read from it.

use serde::{Deserialize, Serialize};

use crate::order::fence::{Fence, FenceError, Mark};
use crate::order::roll::Status;
use crate::order::wanted::{Fencing, Setup};

/// What an engine says of its orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// The highest fencing number it has taken; engines that ignore numbers may report none.
    #[serde(default)]
    pub fence: Fence,
    /// What it serves.
    #[serde(default)]
    pub holds: Option<Setup>,
    /// What it loads.
    #[serde(default)]
    pub loading: Option<Setup>,
}

impl Observed {
    /// How the engine stands towards what is wanted of it.
    pub fn status(&self, wanted: &Setup) -> Status {
        match (&self.loading, &self.holds) {
            (Some(loading), _) if loading == wanted => Status::Loading,
            (Some(_), _) => Status::Diverted,
            (None, Some(held)) if held == wanted => Status::Settled,
            (None, Some(_)) => Status::Stale,
            (None, None) => Status::Empty,
        }
    }
}

/// One order, complete in itself: taking it twice ends where taking it once does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Its fencing number.
    pub fence: Fence,
    /// What the engine should hold from now on.
    pub setup: Setup,
}

/// What to do about an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It holds, or loads, what is wanted.
    Nothing,
    /// Give this order, which makes the engine load.
    Load(Order),
    /// Give this order, which changes nothing but the engine's highest number.
    ///
    /// Without it an engine that two versions in a row leave as it is would still take the order
    /// of a version between them, from a steward that was away.
    Claim(Order),
}

/// Decides on one engine.
///
/// Reading before each order is what repairs one that was lost, came late or was undone: the next
/// round sees the engine as it is and orders again.
///
/// # Errors
///
/// Where the engine follows a newer version, or no number is left; the message says what to do.
pub fn step(
    wanted: &Setup,
    fencing: Fencing,
    mark: Mark,
    observed: &Observed,
) -> Result<Step, FenceError> {
    let heading = observed.loading.as_ref().or(observed.holds.as_ref());
    let there = heading == Some(wanted);
    let claimed = fencing == Fencing::Ignored || observed.fence.mark() >= mark;
    if there && claimed {
        return Ok(Step::Nothing);
    }
    let order = Order { fence: observed.fence.next(mark)?, setup: wanted.clone() };
    Ok(if there { Step::Claim(order) } else { Step::Load(order) })
}
