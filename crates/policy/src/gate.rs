//! The gate of one service: whom to send where, who waits, who is refused.
//!
//! One gate serves one service in one process; the daemon keeps each under a lock of its own and
//! carries out what it decides. Virtual-time benches drive the very same type.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Time;
use crate::unit::Tokens;

/// What kind of wait a caller can bear.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A small call that a page waits for; it never stands behind a generation.
    #[display("lookup")]
    Lookup,
    /// A generation that a person watches arrive.
    #[default]
    #[display("live")]
    Live,
    /// A generation whose whole answer is read the next day.
    #[display("overnight")]
    Overnight,
}

/// One request that asks to be served.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The request, unique in this process.
    pub request: id::Request,
    /// Whose request it is.
    pub workspace: id::Workspace,
    /// What wait it bears.
    pub class: Class,
    /// Tokens of the prompt, as estimated by the entry.
    pub prompt: Tokens,
    /// The most tokens the answer may hold.
    pub limit: Tokens,
    /// A hash of the prompt's beginning, by which engines' prefix caches are met again.
    pub prefix: u64,
    /// When an answer that has not begun is of no more use.
    pub deadline: Time,
    /// A target that just failed this request and should not be tried next.
    pub avoid: Option<id::Target>,
}

/// What a target last said of itself, and how old that is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Room for tokens in the engine's memory.
    pub capacity: Tokens,
    /// Tokens that its memory holds now.
    pub used: Tokens,
    /// Streams being generated.
    pub running: u32,
    /// Streams waiting inside the engine.
    pub waiting: u32,
    /// Preemptions since the engine began.
    pub preemptions: u64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No target of the service is known to be up.
    #[display("no-target")]
    NoTarget,
    /// The queue is at its bound.
    #[display("queue-full")]
    QueueFull,
    /// The deadline would pass before its turn.
    #[display("deadline")]
    Deadline,
    /// The workspace is over its own limits.
    #[display("workspace-limit")]
    WorkspaceLimit,
    /// The retry budget is spent.
    #[display("retry-budget")]
    RetryBudget,
}

/// A refusal and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When a retry is likely to be served.
    pub retry_after: Duration,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to this target now.
    Send(id::Target),
    /// It is queued; [`Gate::poll`] decides later.
    Wait,
    /// It is refused at once and has touched no target.
    Refuse(Refusal),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Whole,
    /// The target failed, refused or vanished.
    Failed,
    /// The caller gave up.
    Cancelled,
}

/// Which mechanisms decide; benches and tests switch one off to show what it is there for.
#[derive(Clone, Debug, Default)]
pub struct Settings {}

/// Decides for one service.
#[derive(Debug, Default)]
pub struct Gate {
    targets: Vec<id::Target>,
    running: BTreeMap<id::Request, id::Target>,
    next: usize,
}

impl Gate {
    /// Opens a gate that knows no target yet.
    pub fn open(_settings: Settings) -> Self {
        Self::default()
    }

    /// Tells how many entries the published list names, and which of them this one is.
    pub fn set_entries(&mut self, _now: Time, _entries: usize, _own: usize) {}

    /// Replaces the targets; requests already sent to a removed one go on until they finish.
    pub fn set_targets(&mut self, _now: Time, targets: Vec<id::Target>) {
        self.targets = targets;
    }

    /// Takes in a target's load report, which was taken `age` ago.
    pub fn report(&mut self, _now: Time, _target: &id::Target, _report: &Report, _age: Duration) {}

    /// Decides on a new request, or on a further attempt of one that failed before its answer.
    pub fn offer(&mut self, _now: Time, _rng: &mut impl Rng, ask: Ask) -> Verdict {
        let usable: Vec<&id::Target> =
            self.targets.iter().filter(|t| Some(*t) != ask.avoid.as_ref()).collect();
        let Some(target) = usable.get(self.next % usable.len().max(1)).copied().cloned() else {
            let retry_after = Duration::from_secs(1);
            return Verdict::Refuse(Refusal { reason: Reason::NoTarget, retry_after });
        };
        self.next = self.next.wrapping_add(1);
        self.running.insert(ask.request, target.clone());
        Verdict::Send(target)
    }

    /// Notes that a running request has produced `produced` tokens in all, the latest just now.
    pub fn progress(&mut self, _now: Time, _request: id::Request, _produced: Tokens) {}

    /// Notes that an attempt ended and frees what it held; a queued request is forgotten.
    pub fn finish(&mut self, _now: Time, request: id::Request, _outcome: Outcome) {
        self.running.remove(&request);
    }

    /// Decides on queued requests whose turn or deadline has come.
    pub fn poll(&mut self, _now: Time, _rng: &mut impl Rng) -> Vec<(id::Request, Verdict)> {
        Vec::new()
    }

    /// When [`Gate::poll`] has something to do next, if nothing else happens.
    pub fn next_poll(&self) -> Option<Time> {
        None
    }
}
