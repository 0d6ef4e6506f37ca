//! Recovery of one answer when a stream from an engine fails.
//!
//! Engines and links fail during generations of unknown length. Without these rules a cut link
//! would lose a whole generation, a silent one would hang its caller, and tokens of a second
//! generation appended to the first would give a contradictory answer.

use std::time::Duration;

use derive_more::Display;

use crate::time::Time;

/// How often a generation is requested again over new links that bring no token.
///
/// Three retries outlast a lost packet and a restarted switch port. An engine that is gone refuses
/// all of them or times out within [`RETRY_DELAYS`] and three silence timeouts.
const MAX_TRIES: u32 = 3;

/// The delay before each retry; the first is immediate since most failures affect one connection.
const DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(200)];

/// The most doublings of the silence timeout for an engine that answers but produces nothing.
const MAX_DOUBLINGS: u32 = 4;

/// What the service and the caller have configured for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Whether the answer is held at the entry until it is complete.
    pub whole: bool,
    /// Whether the caller supports restarts: it discards what it has received on a restart event.
    pub restarts: bool,
    /// How long a link may bring no bytes before it counts as silent.
    pub silence: Duration,
    /// How long an engine that still answers may produce no token before it counts as failed.
    pub stall: Duration,
}

/// How a stream from an engine failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Break {
    /// No connection could be opened, so nothing was written.
    #[display("refused")]
    Refused,
    /// The engine answered that it does not accept the generation.
    #[display("declined")]
    Declined,
    /// The connection ended before the end mark.
    #[display("cut")]
    Cut,
    /// The connection brought no bytes until the silence timeout.
    #[display("silent")]
    Silent,
    /// The engine does not know the generation.
    #[display("lost")]
    Lost,
    /// The engine sent data that the protocol does not allow.
    #[display("malformed")]
    Malformed,
}

/// What to do about a failed stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Open a new link after the delay and resume the same generation.
    Resume {
        /// How long to wait first.
        after: Duration,
    },
    /// Start a new generation at another engine; the caller has received nothing of this one.
    Elsewhere,
    /// Tell the caller to discard what it has received, then start a new generation at another
    /// engine.
    Restart,
    /// Tell the caller that its answer ends here, incomplete.
    Interrupt,
}

/// The recovery state of one answer.
#[derive(Clone, Debug)]
pub struct Session {
    terms: Terms,
    shown: bool,
    reached: bool,
    linked: bool,
    tries: u32,
    idle: u32,
    progressed: Time,
    heard: Time,
}

impl Session {
    /// Creates the state of an answer; `delivered` says whether the caller already has tokens of
    /// this generation.
    pub fn open(now: Time, terms: Terms, shown: bool) -> Self {
        Self {
            terms,
            shown,
            reached: false,
            linked: false,
            tries: 0,
            idle: 0,
            progressed: now,
            heard: now,
        }
    }

    /// Records that a new generation starts, of which the caller has received nothing.
    pub fn begin(&mut self, now: Time) {
        *self = Self { reached: self.reached, ..Self::open(now, self.terms, false) };
    }

    /// Records that a connection to an engine is about to be opened.
    pub fn connect(&mut self, now: Time) {
        self.linked = false;
        self.heard = now;
    }

    /// Records that the request may have reached an engine.
    pub fn reach(&mut self) {
        self.reached = true;
    }

    /// Whether any engine may have run a part of the request.
    pub fn reached(&self) -> bool {
        self.reached
    }

    /// Records that the engine confirmed that it has the generation.
    pub fn link(&mut self, now: Time) {
        self.reached = true;
        self.linked = true;
        self.heard = now;
    }

    /// Records that bytes arrived; `progress` says whether they contained tokens of the answer.
    pub fn hear(&mut self, now: Time, progress: bool) {
        self.heard = now;
        if progress {
            self.progressed = now;
            self.tries = 0;
            self.idle = 0;
            // The caller has not received what is held at the entry.
            self.shown |= !self.terms.whole;
        }
    }

    /// Returns when the current link counts as silent.
    pub fn deadline(&self) -> Time {
        self.heard + self.terms.silence * 2u32.pow(self.idle.min(MAX_DOUBLINGS))
    }

    /// Decides on a stream that failed.
    pub fn break_off(&mut self, now: Time, kind: Break) -> Step {
        let dead = match kind {
            Break::Declined | Break::Lost | Break::Malformed => true,
            // No engine was ever reached, so none can be running the generation; use another one.
            Break::Refused if !self.reached && !self.shown => true,
            Break::Refused | Break::Cut | Break::Silent => {
                now.since(self.progressed) >= self.terms.stall || !self.try_again(kind)
            }
        };
        match dead {
            false => Step::Resume { after: self.wait() },
            true if !self.shown => Step::Elsewhere,
            true if self.terms.restarts => Step::Restart,
            // Prevents spliced answers: once a token has been delivered, tokens of a second
            // generation would contradict it.
            true => Step::Interrupt,
        }
    }

    /// Counts a retry, unless the engine proved alive by answering over this link. Returns whether
    /// another attempt at the same engine is allowed.
    fn try_again(&mut self, kind: Break) -> bool {
        if kind == Break::Silent && self.linked {
            self.idle += 1;
            return true;
        }
        self.tries += 1;
        self.tries <= MAX_TRIES
    }

    fn wait(&self) -> Duration {
        let index = self.tries.saturating_sub(1) as usize;
        DELAYS[index.min(DELAYS.len() - 1)]
    }
}
