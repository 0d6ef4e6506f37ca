//! The operators' text: the one file that says what is served, for whom and on what.
//!
//! A text is accepted whole or refused whole; `docs/OPERATIONS.md` describes each field.

mod check;
pub mod diff;
mod fault;
pub mod model;
pub mod section;
mod source;
pub mod transfer;
mod version;

pub use check::MAX_TEXT;
pub use fault::{Fault, Faults, Problem};
pub use model::{
    Delivery, Kind, Model, Objective, Origin, Role, Service, Target, Text, WeightStore, Workspace,
};
pub use source::Source;
pub use version::Version;
