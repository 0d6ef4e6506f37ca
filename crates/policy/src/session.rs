//! One answer across the failures of links and engines: what to do when a stream breaks.
//!
//! Load pattern: engines and links fail in the middle of generations whose length nobody knows.
//! Without these rules a cut link costs a whole generation, a silent one hangs its caller for
//! good, and a second generation spliced onto the first puts a passenger on two ships. See
//! `docs/DESIGN.md`, section "One answer from one generation".

use std::time::Duration;

use derive_more::Display;

use crate::time::Time;

/// How often a generation is asked for again over new links that bring nothing.
///
/// Three tries outlast a lost packet and a restarted switch port; an engine that is gone for good
/// refuses or times out all of them within [`DELAYS`] and three silence deadlines.
const MAX_TRIES: u32 = 3;

/// Waits before each further try; the first is immediate since most cuts are of one connection.
const DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(200)];

/// The most doublings of the silence deadline on an engine that answers but produces nothing.
const MAX_DOUBLINGS: u32 = 4;

/// What the service and the caller agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Whether the answer is held at the entry until it is complete.
    pub whole: bool,
    /// Whether the caller discards what it has when told that the answer starts anew.
    pub restarts: bool,
    /// How long a link may bring nothing before it counts as silent.
    pub silence: Duration,
    /// How long an engine that still answers may produce nothing before it counts as dead.
    pub stall: Duration,
}

/// How a stream from an engine broke.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Break {
    /// No connection could be opened, so nothing was written.
    #[display("refused")]
    Refused,
    /// The engine answered that it does not take the generation.
    #[display("declined")]
    Declined,
    /// The connection ended before the end mark.
    #[display("cut")]
    Cut,
    /// The connection brought nothing until the deadline.
    #[display("silent")]
    Silent,
    /// The engine does not know the generation.
    #[display("lost")]
    Lost,
    /// The engine sent what the protocol does not allow.
    #[display("malformed")]
    Malformed,
}

/// What to do about a broken stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Open a new link after the wait and go on with the same generation.
    Resume {
        /// How long to wait first.
        after: Duration,
    },
    /// Begin a fresh generation at another engine; the caller has seen nothing of this one.
    Elsewhere,
    /// Tell the caller to discard what it has, then begin a fresh generation elsewhere.
    Restart,
    /// Tell the caller that its answer ends here, unfinished.
    Interrupt,
}

/// The course of one answer.
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
    /// Opens a session; `shown` says whether the caller already has tokens of this generation.
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

    /// Notes that a fresh generation begins, of which the caller has seen nothing.
    pub fn begin(&mut self, now: Time) {
        *self = Self { reached: self.reached, ..Self::open(now, self.terms, false) };
    }

    /// Notes that a connection to an engine is about to be opened.
    pub fn connect(&mut self, now: Time) {
        self.linked = false;
        self.heard = now;
    }

    /// Notes that the request may have reached an engine.
    pub fn reach(&mut self) {
        self.reached = true;
    }

    /// Whether any engine may have run a part of the request.
    pub fn reached(&self) -> bool {
        self.reached
    }

    /// Notes that the engine answered that it has the generation.
    pub fn link(&mut self, now: Time) {
        self.reached = true;
        self.linked = true;
        self.heard = now;
    }

    /// Notes that bytes arrived, tokens of the answer among them or not.
    pub fn hear(&mut self, now: Time, progress: bool) {
        self.heard = now;
        if progress {
            self.progressed = now;
            self.tries = 0;
            self.idle = 0;
            // What is held at the entry has not been seen by the caller.
            self.shown |= !self.terms.whole;
        }
    }

    /// When the present link counts as silent.
    pub fn deadline(&self) -> Time {
        self.heard + self.terms.silence * 2u32.pow(self.idle.min(MAX_DOUBLINGS))
    }

    /// Decides on a stream that broke.
    pub fn break_off(&mut self, now: Time, kind: Break) -> Step {
        let dead = match kind {
            Break::Declined | Break::Lost | Break::Malformed => true,
            // Never connected: no other engine can be running the generation, so go there.
            Break::Refused if !self.reached && !self.shown => true,
            Break::Refused | Break::Cut | Break::Silent => {
                now.since(self.progressed) >= self.terms.stall || !self.try_again(kind)
            }
        };
        match dead {
            false => Step::Resume { after: self.wait() },
            true if !self.shown => Step::Elsewhere,
            true if self.terms.restarts => Step::Restart,
            // Guards against spliced answers: after the first token has been shown, tokens of a
            // second generation would contradict it. They show as a page with two hands in it.
            true => Step::Interrupt,
        }
    }

    /// Counts a try, unless the engine proved alive by answering over this link.
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
