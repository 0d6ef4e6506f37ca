//! The gateway: any request that a route describes, carried to a target and back.
//!
//! Decisions stand in `fireflyhoist-policy`; this crate does the I/O around them and keeps the
//! state that lives as long as a process. What a deployment calls things on the wire is behind the
//! traits of [`platform`]: the product's own names are in [`native`], others in adapters outside
//! this crate. Modules are grouped by life span, as `docs/DESIGN.md` says.

pub(crate) mod connection;
pub mod header;
pub mod native;
pub mod platform;
pub(crate) mod process;
pub mod program;
pub(crate) mod request;
pub(crate) mod version;

pub use process::clock::Clock;
pub use process::lane::{Lane, Pass, View};
pub use process::log::start as start_log;
pub use process::settings::{Settings, SettingsError};
pub use process::{Gateway, StartError};
