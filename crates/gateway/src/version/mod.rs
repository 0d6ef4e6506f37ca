//! Versioned data of the registry, which is texts and targets: how they are read and encoded.

pub(crate) mod follow;
pub(crate) mod history;
pub(crate) mod report;
pub(crate) mod source;
