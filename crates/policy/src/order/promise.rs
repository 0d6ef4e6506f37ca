//! Promises: leave to order an engine that ignores fencing numbers.
//!
//! Each published host promises one steward at a time, for [`SPAN`], that it will promise the
//! engine to no other. A steward with the promises of a majority of the *published* hosts is the
//! only one until they run out, since two majorities share a host. Nothing is logged, nobody is
//! elected, no operator is needed: a promise is one entry in memory that runs out by itself, and
//! without a majority only orders wait, never a request.
//!
//! Four guards, each against one failure:
//! - A process that just started may have promised and forgotten; it would show as two stewards
//!   at once. It promises nothing until one whole span has passed.
//! - A steward that was paused may believe in a promise that has run out; an old model would come
//!   back. [`Quorum::permits`] is asked again right before the write, counts from before the first
//!   question was sent, and keeps back [`WRITE`] for the order's own way.
//! - A steward of an old version may be asked for by hosts that know better; it would undo the new
//!   one. Hosts refuse a steward whose version is older than theirs.
//! - A host may promise a version that it does not follow yet. If it then promised the older one
//!   that it does follow, the old model would come back after a partition has moved. It remembers
//!   the newest version that it was ever asked for, one number in all, and refuses older ones.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::id;
use crate::order::fence::Mark;
use crate::time::Time;

/// How long a promise lasts: long enough to ask a majority, read the engine and write, and short
/// against the 11 s within which a version must be in force.
pub const SPAN: Duration = Duration::from_secs(4);

/// How long an order may take to arrive, kept back at the end of the span.
pub const WRITE: Duration = Duration::from_secs(1);

/// What two clocks may drift apart within one span: far above the 500 ppm of a bad crystal.
pub const DRIFT: Duration = Duration::from_millis(100);

/// A steward's question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The engine to be ordered.
    pub engine: id::Target,
    /// Who asks.
    pub steward: id::Host,
    /// The version that the steward follows.
    pub mark: Mark,
}

/// Why a host does not promise.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    /// It has just started and may have promised before.
    #[display("this entry has just started; ask again after one promise span")]
    Young,
    /// Another steward holds its promise.
    #[display("another entry holds the promise; ask again when it has run out")]
    Taken,
    /// It knows a newer version than the steward's.
    #[display("this entry knows a newer version; ask again when that one is in force")]
    Behind,
}

#[derive(Clone, Debug)]
struct Given {
    steward: id::Host,
    until: Time,
}

/// What one host has promised.
#[derive(Debug)]
pub struct Promiser {
    from: Time,
    newest: Mark,
    given: HashMap<id::Target, Given>,
}

impl Promiser {
    /// Opens the memory of a process that starts now.
    pub fn open(now: Time) -> Self {
        Self { from: now + SPAN, newest: Mark::default(), given: HashMap::new() }
    }

    /// Forgets that anything can be remembered, after the process found its own clock jumped.
    pub fn distrust(&mut self, now: Time) {
        self.from = now + SPAN;
    }

    /// Answers a steward; `own` is the version that this host follows.
    pub fn ask(&mut self, now: Time, own: Mark, ask: &Ask) -> Result<(), Refused> {
        if now < self.from {
            return Err(Refused::Young);
        }
        self.newest = self.newest.max(own);
        if ask.mark < self.newest {
            return Err(Refused::Behind);
        }
        self.given.retain(|_, given| now < given.until);
        if self.given.get(&ask.engine).is_some_and(|given| given.steward != ask.steward) {
            return Err(Refused::Taken);
        }
        self.newest = ask.mark;
        let given = Given { steward: ask.steward.clone(), until: now + SPAN };
        self.given.insert(ask.engine.clone(), given);
        Ok(())
    }
}

/// The answers to one question, gathered by the steward.
#[derive(Clone, Debug)]
pub struct Quorum {
    asked: Time,
    published: BTreeSet<id::Host>,
    granted: BTreeSet<id::Host>,
}

impl Quorum {
    /// Opens a question to the `published` hosts; `now` must be read before the first is sent.
    pub fn open(now: Time, published: impl IntoIterator<Item = id::Host>) -> Self {
        Self { asked: now, published: published.into_iter().collect(), granted: BTreeSet::new() }
    }

    /// Notes a promise; one of a host that is not published counts for nothing.
    pub fn grant(&mut self, host: &id::Host) {
        if self.published.contains(host) {
            self.granted.insert(host.clone());
        }
    }

    /// Whether an order that is written now would arrive while the promises of a majority hold.
    pub fn permits(&self, now: Time) -> bool {
        let majority = self.granted.len() * 2 > self.published.len();
        majority && now + WRITE + DRIFT <= self.asked + SPAN
    }
}
