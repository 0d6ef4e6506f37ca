//! Orders to engines: which models, adapters, versions and roles they hold, and who says so.
//!
//! **Load pattern.** A new version changes the model of a service's engines, engines are replaced
//! all day, and any of the entries may be partitioned, paused or restarted meanwhile.
//!
//! **Without it.** Every entry orders every engine; an entry that was paused puts an old model
//! back; all engines of a service load at once, so that nothing serves it, and share a weight
//! store that lets none of them finish.
//!
//! What is wanted is a pure function of the version and the published engines ([`wanted`]), so that
//! two stewards of one version order the same. One [`steward`] acts for each engine. Engines that
//! check fencing numbers are the arbiters themselves ([`fence`]); for the others the steward needs
//! [`promise`]s of a majority of the published hosts. [`plan`] decides on one engine from what was
//! just read from it, [`roll`] how many of a service's engines may load at once, [`pace`] how fast
//! they may draw on the weight store. See `docs/DESIGN.md`, section "Orders to engines".

pub mod fence;
pub mod pace;
pub mod plan;
pub mod promise;
pub mod roll;
pub mod steward;
pub mod wanted;
