//! `diff`: what the fleet would do.

use std::path::Path;

use fireflyhoist_text::Text;
use fireflyhoist_text::diff::{Change, changes};

use crate::Outcome;
use crate::check;
use crate::error::Error;

pub(crate) fn run(old: &Path, new: &Path) -> Result<Outcome, Error> {
    let (before, after) = (check::open(old)?, check::open(new)?);
    match (before, after) {
        (Ok(before), Ok(after)) => Ok(shown(&before, &after)),
        (before, after) => {
            let _ = before.map_err(|faults| check::told(old, &faults));
            let _ = after.map_err(|faults| check::told(new, &faults));
            Ok(Outcome::Finding)
        }
    }
}

/// A difference is no finding; a text that the fleet would not take is.
fn shown(before: &Text, after: &Text) -> Outcome {
    let changes = changes(before, after);
    if changes.is_empty() {
        println!("nothing changes");
    }
    let mut outcome = Outcome::Clean;
    for change in changes {
        if matches!(change, Change::NotNewer { .. }) {
            eprintln!("{change}");
            outcome = Outcome::Finding;
        } else {
            println!("{change}");
        }
    }
    outcome
}
