//! What every program around a gateway does: settings, log, serving, and how it ends.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::ParseFailure;

use crate::platform::Platform;
use crate::{Gateway, Settings, start_log};

/// Exit code of a wrong command line or settings file.
const USAGE: u8 = 2;

/// The widest help text in columns.
const HELP_WIDTH: usize = 100;

/// Serves with the settings in `path` until SIGTERM.
///
/// Settings that can't be used end the program with code 2 and the remedy, before anything listens.
pub async fn run<P: Platform>(name: &str, path: PathBuf) -> ExitCode {
    let settings = match Settings::open(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{name}: {}: {error}", path.display());
            return ExitCode::from(USAGE);
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
        // Guards against a process that has drained and is killed at the end of its grace: the
        // runtime would wait for connections that idle callers keep open.
        Ok(()) => std::process::exit(0),
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints help, version, completions or what is wrong with the command line.
pub fn explained(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE),
        _ => ExitCode::SUCCESS,
    }
}
