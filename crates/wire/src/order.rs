//! What a steward and an engine exchange about orders.
//!
//! `GET` on [`PATH`] answers [`Observed`]. `POST` of an [`Order`] answers 204 when it was taken and
//! 409 with [`Refused`] when its fencing number is not above the highest that the engine has seen.

pub use fireflyhoist_policy::order::plan::{Observed, Order};

use fireflyhoist_policy::order::fence::Fence;
use serde::{Deserialize, Serialize};

/// Where an engine takes orders and says what it holds.
pub const PATH: &str = "/v1/orders";

/// The body of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The highest number that the engine has seen.
    pub highest: Fence,
}
