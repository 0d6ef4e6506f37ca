//! The gateway forwards any request that a route describes to a target, and returns the answer.
//!
//! Decisions are made in `fireflyhoist-policy`; this crate does the I/O and holds the state that
//! lives as long as the process. The names that a deployment uses on the wire are behind the traits
//! of [`platform`]: the product's own are in [`native`], others in adapters outside this crate.
//! Modules are grouped by the lifetime of their state: connection, process, request and version.

pub(crate) mod connection;
pub mod header;
pub mod json;
pub mod native;
pub mod platform;
pub(crate) mod process;
pub mod program;
pub(crate) mod request;
pub mod uri;
pub(crate) mod version;

pub use process::clock::Clock;
pub use process::log::start as start_log;
pub use process::service_gate::{Pass, ServiceGate, TargetLoad};
pub use process::settings::{Resources, Settings, SettingsError};
pub use process::signals::Signals;
pub use process::{Gateway, StartError};
