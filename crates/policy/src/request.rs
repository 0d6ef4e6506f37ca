//! Input and output types of the admission gate.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Time;
use crate::unit::Tokens;

/// The latency class of a request. The order of the variants is the order of priority.
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
    /// A small call that a page waits for; it never queues behind a generation.
    #[display("lookup")]
    Lookup,
    /// A generation whose tokens a person watches as they arrive.
    #[default]
    #[display("live")]
    Live,
    /// A generation whose whole answer is read the next day.
    #[display("overnight")]
    Overnight,
    /// A generation that can no longer meet its objective; it uses only capacity that others leave.
    #[display("spare")]
    Spare,
}

/// One request for admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id, unique in this process.
    pub id: id::Request,
    /// The workspace that the request belongs to.
    pub workspace: id::Workspace,
    /// The latency class.
    pub class: Class,
    /// The priority of its workspace or route; 0 is the most urgent.
    pub rank: u8,
    /// Tokens of the prompt, as estimated by the entry.
    pub prompt: Tokens,
    /// The most tokens that the answer may hold.
    pub limit: Tokens,
    /// A hash of the start of the prompt, used to reach an engine that has the prefix cached.
    pub prefix: u64,
    /// When the answer should have started.
    pub objective: Time,
    /// When an answer that has not started is of no more use.
    pub deadline: Time,
    /// A target that just failed this request and should not be tried next.
    pub avoid: Option<id::Target>,
    /// Whether an earlier attempt reached a target, so that this one draws on the retry budget.
    pub retry: bool,
}

/// The load that a target last reported.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Tokens that the engine's KV cache can hold.
    pub capacity: Tokens,
    /// Tokens that the KV cache holds now.
    pub used: Tokens,
    /// Streams being generated.
    pub running: u32,
    /// Streams queued inside the engine.
    pub waiting: u32,
    /// Preemptions since the engine started.
    pub preemptions: u64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No target of the service is known to be up.
    #[display("no-target")]
    NoTarget,
    /// No target of the version that began the stream is up.
    #[display("no-target-of-version")]
    Version,
    /// Every target is in a cordoned failure domain.
    #[display("targets-cordoned")]
    Cordoned,
    /// Every target that is up has announced a limit and admits no more for now.
    #[display("targets-limited")]
    Limited,
    /// Every target that is up is fragile and may have no room for one more request.
    #[display("targets-crowded")]
    Crowded,
    /// Every target that is up has asked for rest.
    #[display("targets-resting")]
    Resting,
    /// The queue is full.
    #[display("queue-full")]
    QueueFull,
    /// The deadline would pass before the request reached the head of the queue.
    #[display("deadline")]
    Deadline,
    /// The request can no longer meet its objective, and free capacity is reserved for those that
    /// can.
    #[display("past-objective")]
    Late,
    /// The workspace is over its own limits.
    #[display("workspace-limit")]
    WorkspaceLimit,
    /// The retry budget is spent.
    #[display("retry-budget")]
    RetryBudget,
}

/// A refusal and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// After how long a retry is likely to be served.
    pub retry_after: Duration,
}

/// The estimated load of the chosen target when a generation was placed, without that generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The fraction of the target's KV cache in use.
    pub load: f64,
    /// Generations that ran or were queued there.
    pub streams: u32,
    /// Prompt tokens that were queued for prefill there.
    pub unread: Tokens,
    /// The age of the target's report, from which the load caused by other entries is known.
    pub age: Duration,
    /// Whether the generation could no longer meet its objective.
    pub late: bool,
    /// Whether it is known to be in the failure domain of the entry.
    pub near: bool,
    /// The target's time per token, if placement takes it into account.
    pub pace: Option<Duration>,
    /// Answers that the prompt puts at risk there; see [`crate::pace`].
    pub risk: u32,
    /// Its rank.
    pub rank: u8,
}

/// The gate's decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to this target now.
    Send(id::Target),
    /// It is queued; [`crate::gate::Gate::poll`] decides later.
    Wait,
    /// It is refused and was not sent to any target.
    Refuse(Refusal),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Whole,
    /// The target failed, refused or vanished.
    Failed,
    /// Nothing came back from the target in time; it may only stall.
    Unanswered,
    /// The target answered with a server error, which says little about the next request.
    ServerError,
    /// The caller gave up.
    Cancelled,
}
