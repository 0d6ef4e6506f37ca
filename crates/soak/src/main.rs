//! `soak`: the real programs as processes, faults from outside, and checks of what is promised.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};
use fireflyhoist_soak::{Size, play};

/// Plays seeds one after the other and says which promises were broken.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Flags {
    /// The first seed; the same seed gives the same plan.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// How many seeds to play.
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Seconds of faults in each.
    #[bpaf(argument("S"), fallback(20))]
    seconds: u64,
    /// Entry processes in each.
    #[bpaf(argument("N"), fallback(4))]
    processes: usize,
    /// Faults of links between entries, and large texts, as well.
    links: bool,
    /// A request that ends its targets, and targets that name limits, as well.
    needy: bool,
    /// A registry that comes back from older copies, as well.
    restores: bool,
    /// Failure domains that are cordoned, and targets that are cold after a start, as well.
    domains: bool,
    /// Entries that are cut from all targets, as well.
    isolated: bool,
    /// Targets that crash if they reject too much, as well.
    overload: bool,
    /// Targets that say in answers that they leave or ask for rest, as well.
    announcements: bool,
    /// Engines of several versions, and callers that take streams up, as well.
    versions: bool,
    /// A part of prompts that ends targets, as well.
    parts: bool,
    /// Answers that end with their connections, as well.
    unframed: bool,
    /// In place of all other faults: entries that are stopped in turn, reloaded and given new texts
    /// while targets stall.
    rolls: bool,
    /// Entries with all mechanisms for contended targets switched on.
    scheduling: bool,
    /// Where logs, timelines and plots of seeds that failed are kept.
    #[bpaf(argument("DIR"), fallback(PathBuf::from("target/soak")))]
    report: PathBuf,
}

#[ntex::main]
async fn main() -> ExitCode {
    let flags = match flags().run_inner(Args::current_args()) {
        Ok(flags) => flags,
        Err(failure) => {
            failure.print_message(100);
            let wrong = matches!(failure, ParseFailure::Stderr(_));
            return ExitCode::from(if wrong { 2 } else { 0 });
        }
    };
    let size = Size {
        seconds: flags.seconds,
        processes: flags.processes,
        links: flags.links,
        needy: flags.needy,
        restores: flags.restores,
        domains: flags.domains,
        isolated: flags.isolated,
        overload: flags.overload,
        announcements: flags.announcements,
        versions: flags.versions,
        parts: flags.parts,
        unframed: flags.unframed,
        rolls: flags.rolls,
        scheduling: flags.scheduling,
    };
    let mut failed = 0;
    for seed in flags.seed..flags.seed + flags.seeds {
        let verdict = match play(seed, size, &flags.report).await {
            Ok(verdict) => verdict,
            Err(error) => {
                eprintln!("soak: {error}");
                return ExitCode::FAILURE;
            }
        };
        failed += usize::from(!verdict.is_clean());
        println!("{verdict}");
    }
    println!("{} seeds, {failed} with a promise broken", flags.seeds);
    ExitCode::from(u8::from(failed > 0))
}
