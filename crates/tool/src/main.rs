//! `fireflyhoist`: the operators' tool.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use fireflyhoist_tool::flags::command;
use fireflyhoist_tool::{Error, Outcome, run};

/// Exit code of a finding or of a failure that is not the command line's.
const FINDING: u8 = 1;

/// Exit code of a wrong command line or a file that cannot be read.
const USAGE: u8 = 2;

/// The widest help text in columns.
const HELP_WIDTH: usize = 100;

#[ntex::main]
async fn main() -> ExitCode {
    let command = match command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return explained(&failure),
    };
    match run(command).await {
        Ok(Outcome::Clean) => ExitCode::SUCCESS,
        Ok(Outcome::Finding) => ExitCode::from(FINDING),
        Err(error) => {
            eprintln!("fireflyhoist: {error}");
            let usage = matches!(error, Error::Read { .. });
            ExitCode::from(if usage { USAGE } else { FINDING })
        }
    }
}

/// Prints help, version, completions or what is wrong with the command line.
fn explained(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE),
        _ => ExitCode::SUCCESS,
    }
}
