//! `fireflyhoistd`: the I/O around the decisions of `fireflyhoist-policy`.
//!
//! Modules are grouped by life span: what lives for a request, a connection, a version, a process.
//! `docs/DESIGN.md` gives the reasons, `docs/OPERATIONS.md` what operators see.

pub(crate) mod connection;
pub(crate) mod process;
pub(crate) mod request;
pub(crate) mod version;

pub use process::log::start as start_log;
pub use process::settings::{Settings, SettingsError};
pub use process::{Daemon, StartError};
