//! Planned work under load: entries that are stopped in turn, reloads, new texts, and targets that
//! stall meanwhile.
//!
//! Nothing else is done to the processes in such a run, so every request that an entry has read must
//! end whole or be refused.

pub(crate) mod caller;
mod connection;
pub(crate) mod counts;
pub(crate) mod plan;
pub(crate) mod text;
mod verdict;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ledger::Kind;

pub(crate) use verdict::violations;

/// How a caller uses its connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) enum Manner {
    /// One request after the other.
    #[display("kept")]
    Kept,
    /// Several requests at once.
    #[display("pipelined")]
    Pipelined,
    /// Bodies that arrive slowly.
    #[display("slow body")]
    SlowBody,
    /// Large answers that are read slowly.
    #[display("slow reader")]
    SlowReader,
}

/// A request on a connection that its caller uses until the entry closes it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Rolled {
    pub(crate) request: SmolStr,
    pub(crate) kind: Kind,
    pub(crate) manner: Manner,
    pub(crate) entry: usize,
    /// When its connection was opened.
    pub(crate) opened: Duration,
    /// When its first byte was sent, or the answer before it on the connection had ended.
    pub(crate) from: Duration,
    /// When its last byte was sent, or the answer before it had ended; `None` if it was not sent as a
    /// whole.
    pub(crate) sent: Option<Duration>,
    pub(crate) to: Duration,
    /// Whether an answer before it on the connection was the last one, so that it was not read.
    pub(crate) unread: bool,
    /// The status of the answer, if one began.
    pub(crate) status: Option<u16>,
    pub(crate) whole: bool,
    /// Bytes of the answer's body that came.
    pub(crate) length: usize,
    pub(crate) hung: bool,
    /// What a refusal says.
    pub(crate) refusal: Option<Refusal>,
}

/// What the body of a refusal says.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Refusal {
    pub(crate) reason: SmolStr,
    /// Whether it says that no target ran the request.
    pub(crate) not_run: bool,
}

/// From SIGTERM to an entry until another process took its place.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Stop {
    pub(crate) entry: usize,
    pub(crate) from: Duration,
    /// When its process had ended.
    pub(crate) ended: Duration,
}

/// What was seen of planned work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) requests: Vec<Rolled>,
    pub(crate) stops: Vec<Stop>,
    /// Requests that reached targets, those that stalled included.
    pub(crate) reached: BTreeSet<SmolStr>,
    /// When the targets' work on requests was complete.
    pub(crate) finished: BTreeMap<SmolStr, Duration>,
    /// The time that entries have to drain.
    pub(crate) grace: Duration,
    /// The longest time by which a timer of the soak was late.
    pub(crate) delay: Duration,
    /// When texts were published, and the timeouts of their routes.
    pub(crate) timeouts: Vec<(Duration, Duration)>,
}
