//! `fireflyhoist`, the operators' tool.
//!
//! Each command is a module: what it decides and prints is plain logic, apart from the flags and
//! from the HTTP calls in [`fleet`]. `docs/OPERATIONS.md` describes each command.

pub mod ask;
pub mod burn;
pub(crate) mod check;
pub(crate) mod cordon;
pub(crate) mod diff;
pub(crate) mod entries;
pub(crate) mod error;
pub mod explain;
pub mod flags;
pub(crate) mod fleet;
pub(crate) mod paint;
pub(crate) mod status;
pub mod submit;
pub(crate) mod table;

pub use error::Error;

use flags::Command;

/// How a command ended, by which scripts go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Exit code 0.
    Clean,
    /// Exit code 1: it ran, and found something that the operator should look at.
    Finding,
}

/// Runs one command.
pub async fn run(command: Command) -> Result<Outcome, Error> {
    match command {
        Command::Check { file } => check::run(&file),
        Command::Diff { old, new } => diff::run(&old, &new),
        Command::Submit { fleet, timeout, file } => submit::run(&fleet, timeout, &file).await,
        Command::Status { fleet, format } => status::run(&fleet, format).await,
        Command::Entries { fleet, workspace, format } => {
            entries::run(&fleet, &workspace, format).await
        }
        Command::Burn { fleet, format } => burn::run(&fleet, format).await,
        Command::Explain { format, request, files } => explain::run(&request, &files, format),
        Command::Cordon { registry, lift, domain } => {
            cordon::run(registry, lift, domain.as_ref()).await
        }
        Command::Ask { fleet, question } => ask::run(&fleet, question).await,
    }
}
