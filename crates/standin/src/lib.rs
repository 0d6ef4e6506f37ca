//! Small stand-ins for what the system meets: model engines, plain services and the platform.
//!
//! Each speaks the real protocol over HTTP, and none is more than its tests need.

pub mod batch;
mod batching;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod link;
pub mod order;
pub mod plain;
pub mod platform;
pub mod port;
pub mod registry;
pub mod script;
mod serve;

pub use serve::Running;
