//! A randomized soak: real programs, faults injected from outside them, promises checked by what
//! callers and back ends see.
//!
//! A seed gives a plan: which fault, when, for how long. Processes are not deterministic, so a report
//! has the plan, the timeline and the evidence. The programs run on loopback; what they reach of the
//! registry, of targets and, where asked for, of each other goes through proxies that cut, delay, narrow,
//! reset and silence. Only processes that a run started are ever signalled, by their handles.

mod backend;
mod caller;
mod entry;
mod forwarder;
mod ledger;
mod parts;
mod plan;
mod proxy;
mod report;
mod rolls;
mod seen;
mod streams;
mod text;
mod world;

use std::fmt;
use std::io;
use std::path::Path;

use derive_more::{Display, Error};

use crate::ledger::Violation;
use crate::plan::Plan;
use crate::rolls::counts::Counts;
use crate::streams::TakenUp;
use crate::world::World;

/// How large one run is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size {
    /// Seconds of faults.
    pub seconds: u64,
    /// Entry processes.
    pub processes: usize,
    /// Whether links between entries have faults and texts are large. Off, a seed's plan is the one
    /// that it had before there were such faults.
    pub links: bool,
    /// Whether a request ends the targets that run it, and targets name limits.
    pub needy: bool,
    /// Whether the registry comes back from older copies.
    pub restores: bool,
    /// Whether failure domains are cordoned, and targets are cold after a start.
    pub domains: bool,
    /// Whether entries are cut from all targets.
    pub isolated: bool,
    /// Whether targets crash if they reject too much.
    pub overload: bool,
    /// Whether targets say in answers that they leave, or ask for rest.
    pub announcements: bool,
    /// Whether engines are replaced by ones of other versions, and callers take streams up.
    pub versions: bool,
    /// Whether requests share a part of their prompts that ends targets.
    pub parts: bool,
    /// Whether targets answer without a length, so that an answer ends with its connection.
    pub unframed: bool,
    /// Whether entries are stopped in turn, reloaded and given new texts while targets stall, and
    /// nothing else is done to them.
    pub rolls: bool,
    /// Whether entries use all mechanisms for contended targets.
    pub scheduling: bool,
}

/// Why a run can't be played.
#[derive(Debug, Display, Error)]
pub enum PlayError {
    /// A file can't be written.
    #[display("{_0}; see that the report's directory can be written")]
    Report(io::Error),
    /// A program can't be started.
    #[display("fireflyhoist-gateway can't be started ({_0}); build the whole workspace first")]
    Program(io::Error),
}

/// What a run showed.
#[derive(Debug)]
pub struct Verdict {
    seed: u64,
    faults: usize,
    asked: usize,
    served: usize,
    /// Lookups at isolated entries that were compared with others; `None` where none are isolated.
    compared: Option<usize>,
    /// Tries to take streams up, and those that went on; `None` where none are.
    taken_up: Option<TakenUp>,
    /// How requests around planned work ended; `None` where there is none.
    rolled: Option<Counts>,
    violations: Vec<Violation>,
}

impl Verdict {
    /// Whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Requests that were answered with success.
    pub fn served(&self) -> usize {
        self.served
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.is_clean() { "clean" } else { "BROKEN" };
        let Self { seed, faults, asked, served, .. } = self;
        write!(f, "seed {seed}: {word}, {faults} faults, {served} of {asked} served")?;
        if let Some(compared) = self.compared {
            write!(f, ", {compared} lookups of isolated entries compared")?;
        }
        if let Some(taken_up) = self.taken_up {
            write!(f, ", {taken_up}")?;
        }
        if let Some(rolled) = &self.rolled {
            write!(f, "{rolled}")?;
        }
        self.violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}

/// Plays one seed; what it saw is kept below `directory` where a promise was broken.
pub async fn play(seed: u64, size: Size, directory: &Path) -> Result<Verdict, PlayError> {
    let plan = Plan::draw(seed, size);
    let logs = directory.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&logs).map_err(PlayError::Report)?;
    let world = World::open(size, seed, &logs).await?;
    world.play(&plan).await?;
    let seen = world.close().await;
    let verdict = Verdict {
        seed,
        faults: plan.faults.len(),
        asked: seen.asked(),
        served: seen.served(),
        compared: size.isolated.then(|| seen.compared()),
        taken_up: size.versions.then(|| seen.taken_up()),
        rolled: size.rolls.then(|| Counts::of(&seen.rolls)),
        violations: seen.violations(),
    };
    if verdict.is_clean() {
        std::fs::remove_dir_all(&logs).map_err(PlayError::Report)?;
    } else {
        report::write(&logs, &plan, &seen, &verdict).map_err(PlayError::Report)?;
    }
    Ok(verdict)
}
