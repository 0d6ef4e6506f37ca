//! What a gate is asked and what it answers.

use std::time::Duration;

use derive_more::Display;
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
    /// A generation that can no longer begin on time; it takes what others leave.
    #[display("spare")]
    Spare,
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
    /// When its answer should have begun.
    pub objective: Time,
    /// When an answer that has not begun is of no more use.
    pub deadline: Time,
    /// A target that just failed this request and should not be tried next.
    pub avoid: Option<id::Target>,
    /// Whether an earlier attempt arrived at a target, so that this one draws on the retry budget.
    pub repeat: bool,
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
    /// Every target stands in a failure domain that is cordoned.
    #[display("targets-cordoned")]
    Cordoned,
    /// Every target that is up has named a limit and takes no more for now.
    #[display("targets-limited")]
    Limited,
    /// The queue is at its bound.
    #[display("queue-full")]
    QueueFull,
    /// The deadline would pass before its turn.
    #[display("deadline")]
    Deadline,
    /// It can no longer begin on time, and what is free is kept for those that can.
    #[display("past-objective")]
    Late,
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

/// What decided where a generation was sent: the target as it was believed to stand, itself left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grounds {
    /// The part of the target's memory in use.
    pub load: f64,
    /// Answers that ran or waited there.
    pub streams: u32,
    /// Prompt tokens that waited to be read there.
    pub unread: Tokens,
    /// How old the view of what others hold there was.
    pub age: Duration,
    /// Whether the generation could no longer begin on time.
    pub late: bool,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to this target now.
    Send(id::Target),
    /// It is queued; [`crate::gate::Gate::poll`] decides later.
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
    /// The target answered with a failure of its own, which says little of the next request.
    Faulty,
    /// The caller gave up.
    Cancelled,
}
