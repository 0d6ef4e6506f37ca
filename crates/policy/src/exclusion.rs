//! Why a target is not a candidate for a request.
//!
//! One list for all that chooses targets: first sends, repeats, hedges, resumptions, moves and copies ask
//! the same slot, and log lines and `fireflyhoist explain` use the same names.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a target gets no request now.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// It drains, or is listed no more.
    #[display("drains")]
    Drains,
    /// Its failure domain is cordoned.
    #[display("cordoned")]
    Cordoned,
    /// It named a limit, and takes no more for now.
    #[display("limited")]
    Limited,
    /// It started a short while ago, and takes no more for now.
    #[display("cold")]
    Cold,
    /// A request failed there just now.
    #[display("failed")]
    Failed,
    /// It fails or is slow, and is trusted with no more than it has.
    #[display("ejected")]
    Ejected,
}
