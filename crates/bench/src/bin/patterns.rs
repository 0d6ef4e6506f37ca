//! `patterns`: plays the load patterns and prints ours beside each baseline.

use std::io::{self, Write};
use std::process::ExitCode;

use bpaf::Bpaf;
use derive_more::{Display, FromStr};
use fireflyhoist_bench::cost;
use fireflyhoist_bench::patterns::{self, ALL};
use fireflyhoist_bench::report::Row;
use serde::Serialize;
use tabled::{Table, Tabled};

#[derive(Clone, Copy, Debug, Display, FromStr)]
enum Format {
    #[display("table")]
    Table,
    #[display("json")]
    Json,
}

/// The name under which the cost of a decision is measured; it is no pattern to play.
const COST: &str = "cost";

/// Plays load patterns in virtual time over the decisions that the daemon runs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Flags {
    /// Only this pattern; all where absent. `cost` measures what one decision costs.
    #[bpaf(argument("NAME"))]
    pattern: Option<String>,
    /// What the random draws start from; the same seed prints the same figures.
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// `table`, or `json` with one object a line.
    #[bpaf(argument("FORMAT"), fallback(Format::Table), display_fallback)]
    format: Format,
}

fn main() -> ExitCode {
    let flags = flags().run();
    if flags.pattern.as_deref() == Some(COST) {
        return match print(&cost::measure(), flags.format) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::FAILURE,
        };
    }
    let chosen: Vec<_> =
        ALL.iter().filter(|p| flags.pattern.as_ref().is_none_or(|name| name == p.name)).collect();
    if chosen.is_empty() {
        let names: Vec<&str> = ALL.iter().map(|p| p.name).chain([COST]).collect();
        eprintln!("patterns: no such pattern; use one of {}", names.join(", "));
        return ExitCode::FAILURE;
    }
    for pattern in chosen {
        let scene = (pattern.scene)(flags.seed);
        let runs = patterns::all(&scene, flags.seed);
        let rows: Vec<Row> =
            runs.iter().map(|run| Row::of(pattern.name, flags.seed, &scene, run)).collect();
        if print(&rows, flags.format).is_err() {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn print<T: Serialize + Tabled>(rows: &[T], format: Format) -> io::Result<()> {
    let mut out = io::stdout().lock();
    match format {
        Format::Table => writeln!(out, "{}", Table::new(rows)),
        Format::Json => {
            for row in rows {
                serde_json::to_writer(&mut out, row)?;
                writeln!(out)?;
            }
            Ok(())
        }
    }
}
