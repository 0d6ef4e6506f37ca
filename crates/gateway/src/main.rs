//! `fireflyhoist-gateway`: the gateway with the product's own names on the wire.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf};
use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::program;

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
    match flags().run_inner(Args::current_args()) {
        Ok(flags) => program::run::<Native>("fireflyhoist-gateway", flags.settings).await,
        Err(failure) => program::print_usage(&failure),
    }
}
