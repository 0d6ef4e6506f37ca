//! Messages and codecs between callers, daemons, targets and the platform.
//!
//! Types here carry no behaviour beyond encoding; `docs/PROTOCOLS.md` describes each exchange.

pub mod caller;
pub mod engine;
pub mod order;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod registry;
pub mod sse;
pub mod status;
pub mod transcode;
