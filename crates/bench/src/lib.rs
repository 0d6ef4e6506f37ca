//! Load patterns over the decisions, in virtual time with a seed.
//!
//! [`world`] plays one [`scene::Scene`] against one way of sending: ours, which is the very gate
//! that the daemon runs, or a baseline. Callers, entries and lagged reports are events; an engine
//! is the memory model of [`fireflyhoist_standin::batch`]. Hosts and networks are not modelled:
//! this is a bench of decisions.

pub mod baselines;
pub mod cost;
pub mod lengths;
pub mod ours;
pub mod patterns;
pub mod policy;
pub mod report;
pub mod run;
pub mod scene;
pub mod target_change;
pub mod world;
