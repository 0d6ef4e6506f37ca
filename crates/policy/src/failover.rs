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
const MAX_RETRIES: u32 = 3;

/// The delay before each retry; the first is immediate since most failures affect one connection.
const RETRY_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(200)];

/// The most doublings of the silence timeout for an engine that answers but produces nothing.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// What the service and the caller have configured for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Whether the answer is held at the entry until it is complete.
    pub buffered: bool,
    /// Whether the caller supports restarts: it discards what it has received on a restart event.
    pub restartable: bool,
    /// How long a link may bring no bytes before it counts as silent.
    pub silence_timeout: Duration,
    /// How long an engine that still answers may produce no token before it counts as failed.
    pub stall_timeout: Duration,
}

/// How a stream from an engine failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Failure {
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
    options: Options,
    delivered: bool,
    reached: bool,
    accepted: bool,
    retries: u32,
    silent_links: u32,
    last_progress: Time,
    last_received: Time,
}

impl Session {
    /// Creates the state of an answer; `delivered` says whether the caller already has tokens of
    /// this generation.
    pub fn open(now: Time, options: Options, delivered: bool) -> Self {
        Self {
            options,
            delivered,
            reached: false,
            accepted: false,
            retries: 0,
            silent_links: 0,
            last_progress: now,
            last_received: now,
        }
    }

    /// Records that a new generation starts, of which the caller has received nothing.
    pub fn begin(&mut self, now: Time) {
        *self = Self { reached: self.reached, ..Self::open(now, self.options, false) };
    }

    /// Records that a connection to an engine is about to be opened.
    pub fn connect(&mut self, now: Time) {
        self.accepted = false;
        self.last_received = now;
    }

    /// Records that the request may have reached an engine.
    pub fn mark_reached(&mut self) {
        self.reached = true;
    }

    /// Returns whether any engine may have run a part of the request.
    pub fn reached(&self) -> bool {
        self.reached
    }

    /// Records that the engine confirmed that it has the generation.
    pub fn mark_accepted(&mut self, now: Time) {
        self.reached = true;
        self.accepted = true;
        self.last_received = now;
    }

    /// Records that bytes arrived; `progress` says whether they contained tokens of the answer.
    pub fn receive(&mut self, now: Time, progress: bool) {
        self.last_received = now;
        if progress {
            self.last_progress = now;
            self.retries = 0;
            self.silent_links = 0;
            // The caller has not received what is held at the entry.
            self.delivered |= !self.options.buffered;
        }
    }

    /// Returns when the current link counts as silent.
    pub fn deadline(&self) -> Time {
        self.last_received
            + self.options.silence_timeout * 2u32.pow(self.silent_links.min(MAX_TIMEOUT_DOUBLINGS))
    }

    /// Decides on a stream that failed.
    pub fn fail(&mut self, now: Time, failure: Failure) -> Step {
        let abandon = match failure {
            Failure::Declined | Failure::Lost | Failure::Malformed => true,
            // No engine was ever reached, so none can be running the generation; use another one.
            Failure::Refused if !self.reached && !self.delivered => true,
            Failure::Refused | Failure::Cut | Failure::Silent => {
                now.since(self.last_progress) >= self.options.stall_timeout
                    || !self.count_retry(failure)
            }
        };
        match abandon {
            false => Step::Resume { after: self.retry_delay() },
            true if !self.delivered => Step::Elsewhere,
            true if self.options.restartable => Step::Restart,
            // Prevents spliced answers: once a token has been delivered, tokens of a second
            // generation would contradict it.
            true => Step::Interrupt,
        }
    }

    /// Counts a retry, unless the engine proved alive by answering over this link. Returns whether
    /// another attempt at the same engine is allowed.
    fn count_retry(&mut self, failure: Failure) -> bool {
        if failure == Failure::Silent && self.accepted {
            self.silent_links += 1;
            return true;
        }
        self.retries += 1;
        self.retries <= MAX_RETRIES
    }

    fn retry_delay(&self) -> Duration {
        let index = self.retries.saturating_sub(1) as usize;
        RETRY_DELAYS[index.min(RETRY_DELAYS.len() - 1)]
    }
}
