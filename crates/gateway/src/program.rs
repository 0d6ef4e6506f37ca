//! What every gateway program does: it reads settings, starts the log, serves, and exits.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::ParseFailure;
use tokio::signal::unix::{SignalKind, signal};

use crate::platform::Platform;
use crate::{Gateway, Settings, StartError, start_log};

/// The exit code for an invalid command line or settings file.
const USAGE_ERROR: u8 = 2;

/// The maximum width of the help text, in columns.
const HELP_WIDTH: usize = 100;

/// Serves with the settings in `path` until SIGTERM.
///
/// With settings that can't be used, the program prints the error and its remedy and exits with
/// code 2 before it listens anywhere.
pub async fn run<P: Platform>(name: &str, path: PathBuf) -> ExitCode {
    // Until it is handled, SIGHUP ends the process. Settings that it announces are read below.
    if let Err(error) = signal(SignalKind::hangup()) {
        eprintln!("{name}: {}", StartError::Signal(error));
        return ExitCode::FAILURE;
    }
    let settings = match Settings::open(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{name}: {}: {error}", path.display());
            return ExitCode::from(USAGE_ERROR);
        }
    };
    start_log();
    let gateway = match Gateway::bind::<P>(settings, path).await {
        Ok(gateway) => gateway,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::FAILURE;
        }
    };
    match gateway.run().await {
        // Returning would let the runtime wait for connections that idle callers keep open, and the
        // drained process would be killed at the end of its grace period.
        Ok(()) => std::process::exit(0),
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints help, the version, completions, or the error in the command line, and returns the exit
/// code.
pub fn print_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE_ERROR),
        _ => ExitCode::SUCCESS,
    }
}
