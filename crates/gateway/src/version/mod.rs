//! Versioned data of the registry, which is texts and targets: how they are read and encoded.

pub(crate) mod encoding;
pub(crate) mod engine_poll;
pub(crate) mod history;
pub(crate) mod skipped;
pub(crate) mod watcher;
