//! `submit`: checks a text against the fleet, then follows its publication.
//!
//! Nothing of the system writes what the platform holds, so this command publishes nothing: the
//! operators' own pipeline does, before or while the command follows.

use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

use fireflyhoist_text::{Text, Version};
use fireflyhoist_wire::status::Brief;

use crate::Outcome;
use crate::check;
use crate::error::Error;
use crate::flags;
use crate::fleet::{Fleet, Heard};

/// How often members are asked; a fraction of the 11 s in which a version should be in force.
const INTERVAL: Duration = Duration::from_millis(500);

/// The list of members is read anew after so many rounds: it names every target too, and a host
/// that leaves within these seconds is merely called silent.
const ROUNDS_A_LIST: u64 = 10;

/// What one member says of the version wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It has the version in force.
    InForce,
    /// It has a newer one in force, or another of the same revision.
    Newer(String),
    /// It has an older one, or none, in force.
    Older(String),
    /// It read a text and refused it, and has an older one in force.
    Refused(String),
    /// It does not answer.
    Silent(String),
}

/// What the members say, taken together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every member has it in force.
    Done,
    /// Another text, of this revision or a newer one, stands in its way.
    Overtaken(String),
    /// Some members lag.
    Wait,
}

/// The version wanted and the members' states.
#[derive(Clone, Debug)]
pub struct Progress {
    wanted: Version,
    states: Vec<(String, State)>,
}

impl Progress {
    /// Judges one round of answers.
    pub fn open(wanted: Version, answers: Vec<(String, Result<Brief, String>)>) -> Self {
        let states = answers.into_iter();
        let states = states.map(|(host, answer)| (host, state(wanted, answer))).collect();
        Self { wanted, states }
    }

    /// What follows from it.
    pub fn verdict(&self) -> Verdict {
        let newer = self.states.iter().find_map(|(_, state)| match state {
            State::Newer(version) => Some(version.clone()),
            _ => None,
        });
        if let Some(version) = newer {
            return Verdict::Overtaken(version);
        }
        if self.in_force() == self.states.len() { Verdict::Done } else { Verdict::Wait }
    }

    fn in_force(&self) -> usize {
        self.states.iter().filter(|(_, state)| *state == State::InForce).count()
    }

    /// One line for each member that lags, with the reason.
    pub fn lagging(&self) -> Vec<String> {
        let lags = |(host, state): &(String, State)| match state {
            State::InForce => None,
            State::Newer(version) => Some(format!("{host} has {version}")),
            State::Older(version) => Some(format!("{host} has {version}")),
            State::Refused(reason) => Some(format!("{host} refused the published text: {reason}")),
            State::Silent(reason) => Some(format!("{host} does not answer: {reason}")),
        };
        self.states.iter().filter_map(lags).collect()
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (wanted, all) = (self.wanted, self.states.len());
        write!(f, "{wanted} is in force on {} of {all} hosts", self.in_force())?;
        let lagging = self.lagging();
        if lagging.is_empty() { Ok(()) } else { write!(f, "; {}", lagging.join("; ")) }
    }
}

fn state(wanted: Version, answer: Result<Brief, String>) -> State {
    let status = match answer {
        Ok(status) => status,
        Err(reason) => return State::Silent(reason),
    };
    let Some(in_force) = status.in_force else {
        return status
            .refused
            .map_or_else(|| State::Older("no version yet".into()), State::Refused);
    };
    if in_force.version == wanted.to_string().as_str() {
        return State::InForce;
    }
    // Another text of the same revision would be decided by digest, which no operator means.
    let newer = in_force.revision >= wanted.revision();
    match (newer, status.refused) {
        (true, _) => State::Newer(in_force.version.to_string()),
        (false, Some(reason)) => State::Refused(reason),
        (false, None) => State::Older(in_force.version.to_string()),
    }
}

pub(crate) async fn run(flags: &flags::Fleet, timeout: u64, file: &Path) -> Result<Outcome, Error> {
    let source = check::read(file)?;
    let text = match Text::parse_bytes(&source) {
        Ok(text) => text,
        Err(faults) => return Ok(check::told(file, &faults)),
    };
    let wanted = Version::of(text.revision, &String::from_utf8_lossy(&source));
    let fleet = Fleet::open(flags).await?;
    let began = Instant::now();
    let mut said = String::new();
    let mut members = Vec::new();
    for round in 0u64.. {
        if round.is_multiple_of(ROUNDS_A_LIST) {
            members = fleet.members().await?;
        }
        let heard = fleet.ask(&members, "/v1/version").await;
        let progress = Progress::open(wanted, answers(heard));
        match progress.verdict() {
            Verdict::Done => {
                let span = began.elapsed().as_secs_f64();
                println!("{progress}, seen after {span:.1} s");
                return Ok(Outcome::Clean);
            }
            Verdict::Overtaken(version) => {
                eprintln!("{}", overtaken(file, &text, &version));
                return Ok(Outcome::Finding);
            }
            Verdict::Wait if began.elapsed() >= Duration::from_secs(timeout) => {
                eprintln!("{progress}; after {timeout} s nothing more is waited for");
                return Ok(Outcome::Finding);
            }
            Verdict::Wait => {}
        }
        let line = progress.to_string();
        if line != said {
            eprintln!("{line}");
            said = line;
        }
        ntex::time::sleep(INTERVAL).await;
    }
    Ok(Outcome::Finding)
}

fn answers(heard: Vec<Heard<Brief>>) -> Vec<(String, Result<Brief, String>)> {
    heard.into_iter().map(|heard| (heard.host, heard.report)).collect()
}

fn overtaken(file: &Path, text: &Text, version: &str) -> String {
    let newest = version.split('-').next().and_then(|number| number.parse::<u64>().ok());
    let next = newest.unwrap_or(text.revision).saturating_add(1);
    format!(
        "{}: the fleet has {version} in force, which revision {} does not replace; start from \
         the text in force and set revision = {next}",
        file.display(),
        text.revision
    )
}
