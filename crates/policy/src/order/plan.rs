//! Decides what to do about one engine from the state just read from it.

use serde::{Deserialize, Serialize};

use crate::order::desired::{Fencing, Setup};
use crate::order::fence::{Epoch, Fence, FenceError};
use crate::order::rollout::Status;

/// The state that an engine reports about its orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// The highest fencing number it has accepted; engines that ignore fencing numbers may report
    /// none.
    #[serde(default)]
    pub fence: Fence,
    /// The setup that it serves, if any.
    #[serde(default)]
    pub holds: Option<Setup>,
    /// The setup that it is loading, if any.
    #[serde(default)]
    pub loading: Option<Setup>,
}

impl Observed {
    /// Compares the engine's state with the desired setup.
    pub fn status(&self, desired: &Setup) -> Status {
        match (&self.loading, &self.holds) {
            (Some(loading), _) if loading == desired => Status::Loading,
            (Some(_), _) => Status::LoadingOther,
            (None, Some(held)) if held == desired => Status::UpToDate,
            (None, Some(_)) => Status::Outdated,
            (None, None) => Status::Empty,
        }
    }
}

/// One order. It states the complete setup, so applying it twice has the same effect as applying it
/// once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number.
    pub fence: Fence,
    /// The setup that the engine should hold from now on.
    pub setup: Setup,
}

/// What to do about an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The engine holds or is loading the desired setup; do nothing.
    Nothing,
    /// Send this order, which makes the engine load.
    Load(Order),
    /// Send this order, which only raises the engine's highest fencing number.
    ///
    /// Without it, an engine that keeps its setup across two versions would still accept an order
    /// of an intermediate version from an owner that was paused or partitioned.
    RaiseFence(Order),
}

/// Decides on one engine.
///
/// The engine is read before each order. This repairs an order that was lost, arrived late or was
/// undone: the next round sees the actual state and orders again.
///
/// # Errors
///
/// [`FenceError`] where the engine follows a newer version or no fencing number is left; the
/// message says what to do.
pub fn decide(
    desired: &Setup,
    fencing: Fencing,
    epoch: Epoch,
    observed: &Observed,
) -> Result<Action, FenceError> {
    let current = observed.loading.as_ref().or(observed.holds.as_ref());
    let in_place = current == Some(desired);
    let fence_raised = fencing == Fencing::Ignored || observed.fence.epoch() >= epoch;
    if in_place && fence_raised {
        return Ok(Action::Nothing);
    }
    let order = Order { fence: observed.fence.next(epoch)?, setup: desired.clone() };
    Ok(if in_place { Action::RaiseFence(order) } else { Action::Load(order) })
}
