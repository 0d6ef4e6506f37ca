//! What lives as long as a version: reading texts and targets from the registry.

pub(crate) mod follow;
pub(crate) mod history;
pub(crate) mod report;
pub(crate) mod source;
