//! Reasons why a target is not a candidate for a request.
//!
//! Everything that selects targets uses this list: first sends, retries, hedges, resumptions,
//! migrations and copies ask the same slot, and log lines and `fireflyhoist explain` use the same
//! names.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a target gets no requests at the moment.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// It is draining, or is not listed any more.
    #[display("drains")]
    Drains,
    /// Its failure domain is cordoned.
    #[display("cordoned")]
    Cordoned,
    /// It advertised a limit, and takes no more for now.
    #[display("limited")]
    Limited,
    /// It started recently, and takes no more for now.
    #[display("cold")]
    Cold,
    /// It is fragile, and may have no room for one more request.
    #[display("crowded")]
    Crowded,
    /// It asked for rest.
    #[display("resting")]
    Resting,
    /// It has just been seen to have crashed, and is still listed.
    #[display("crashed")]
    Crashed,
    /// A request has just failed there.
    #[display("failed")]
    Failed,
    /// It fails or is slow, and gets no more requests than it already has.
    #[display("ejected")]
    Ejected,
}
