//! `fireflyhoistd`: one entry host's daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use fireflyhoist_daemon::{Daemon, Settings};

/// Exit code of a wrong command line or settings file.
const USAGE: u8 = 2;

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
    let flags = flags().run();
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
