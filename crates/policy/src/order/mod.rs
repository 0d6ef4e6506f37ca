//! Orders to engines: which models, adapters, versions and roles they hold, and which entry
//! decides.
//!
//! A new version changes the model of a service's engines, engines are replaced at any time, and
//! any entry may be partitioned, paused or restarted meanwhile. If every entry ordered every
//! engine, an entry resuming from a pause could restore an old model. If all engines of a service
//! loaded at once, none would serve, and sharing the weight store would keep all of them from
//! finishing.
//!
//! The desired state is a pure function of the version and the published engines ([`desired`]), so
//! that two owners with the same version issue the same orders. One entry is the [`owner`] of each
//! engine. Engines that check fencing numbers reject outdated owners themselves ([`fence`]); for
//! the others the owner needs a [`lease`] from a majority of the published hosts. [`plan`] decides
//! on one engine from the state just read from it, [`rollout`] limits how many of a service's
//! engines load at once, and [`pace`] limits how fast loads draw on the weight store.

pub mod desired;
pub mod fence;
pub mod lease;
pub mod owner;
pub mod pace;
pub mod plan;
pub mod rollout;
