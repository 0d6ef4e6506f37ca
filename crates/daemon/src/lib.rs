//! The entry daemon `fireflyhoistd`: performs the I/O that `fireflyhoist-policy` decides on.
//!
//! Modules are grouped by the lifetime of what they manage: a request, a connection, a version of
//! the configuration text, or the process.

pub(crate) mod connection;
pub(crate) mod process;
pub(crate) mod request;
pub(crate) mod version;

pub use process::log::start as start_log;
pub use process::settings::{Settings, SettingsError};
pub use process::{Daemon, StartError};
