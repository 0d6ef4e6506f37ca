//! `check`: everything that is wrong with a text.

use std::path::Path;

use fireflyhoist_text::{Faults, Text};

use crate::Outcome;
use crate::error::Error;

pub(crate) fn run(file: &Path) -> Result<Outcome, Error> {
    match open(file)? {
        Ok(text) => {
            println!("{}: clean, {}", file.display(), summary(&text));
            Ok(Outcome::Clean)
        }
        Err(faults) => Ok(told(file, &faults)),
    }
}

/// Reads and checks a file.
pub(crate) fn open(file: &Path) -> Result<Result<Text, Faults>, Error> {
    Ok(Text::parse_bytes(&read(file)?))
}

pub(crate) fn read(file: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(file).map_err(|error| Error::Read {
        path: file.display().to_string(),
        reason: error.to_string(),
    })
}

/// Writes faults to standard error as compilers do, so that editors find the line.
pub(crate) fn told(file: &Path, faults: &Faults) -> Outcome {
    for fault in faults.iter() {
        eprintln!("{}:{}: {}", file.display(), fault.line(), fault.problem());
    }
    Outcome::Finding
}

fn summary(text: &Text) -> String {
    let targets: usize = text.services.iter().map(|service| service.targets.len()).sum();
    format!(
        "revision {}: {} services, {targets} targets, {} models, {} workspaces",
        text.revision,
        text.services.len(),
        text.models.len(),
        text.workspaces.len()
    )
}
