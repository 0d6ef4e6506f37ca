//! The operators' text: the one file that says what is served, for whom and on what.
//!
//! A text is accepted whole or refused whole; `docs/OPERATIONS.md` describes each field.

pub mod model;

pub use model::{
    Delivery, Fault, Kind, Model, Objective, Service, Target, Text, Version, Workspace,
};
