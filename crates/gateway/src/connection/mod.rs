//! Connections: HTTP exchanges with targets and the registry, links between entries, and relays
//! through them.

pub(crate) mod buffer;
pub(crate) mod callers;
pub(crate) mod content;
pub(crate) mod deflate;
pub(crate) mod exchange;
pub(crate) mod filter;
pub(crate) mod forwarder;
pub(crate) mod frame;
pub(crate) mod limit;
pub(crate) mod link;
pub(crate) mod memory;
pub(crate) mod metered;
pub(crate) mod monitor;
pub(crate) mod relay;
pub(crate) mod traffic;
