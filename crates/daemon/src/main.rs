//! `fireflyhoistd`, the daemon of one entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};
use fireflyhoist_daemon::{Daemon, Settings};

/// Exit code for an invalid command line or settings file.
const USAGE: u8 = 2;

/// The maximum width of the help text in columns.
const HELP_WIDTH: usize = 100;

/// Serves callers on this host until SIGTERM.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Flags {
    /// The settings of this host, in TOML.
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

#[ntex::main]
async fn main() -> ExitCode {
    let flags = match flags().run_inner(Args::current_args()) {
        Ok(flags) => flags,
        Err(failure) => return print_failure(&failure),
    };
    let settings = match Settings::open(&flags.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("fireflyhoistd: {}: {error}", flags.settings.display());
            return ExitCode::from(USAGE);
        }
    };
    fireflyhoist_daemon::start_log();
    match Daemon::bind(settings).await {
        Ok(daemon) => {
            daemon.run_until_signal().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("fireflyhoistd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the help, the version, completions or the command line error, and returns the exit code.
fn print_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE),
        _ => ExitCode::SUCCESS,
    }
}
