//! Whether a run belongs to a start of its engine that was listed only after the run began.
//!
//! An engine may start again under its name with another version of its software, and run what is sent
//! to it before the registry lists its new start. Until then its runs count as those of the start
//! before. Once the new start is listed and the connection of a run is still open, the run is one of
//! the start before, which has ended without closing it, or one of the new start. The engine is asked
//! which start it is. What arrives on the connection after its answer was written by that start.

use std::cmp::Ordering;
use std::time::Duration;

use fireflyhoist_policy::lease::Target;
use tokio::time::Instant;

use crate::platform::Platform;
use crate::process::state::Process;

/// Timeout of a report call.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// How long nothing may arrive from a run after its engine has confirmed its new start.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// What an engine says of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// It is the one that is listed.
    Listed,
    /// It is a newer one.
    Newer,
    /// It is an older one, or there was no answer in time.
    Unconfirmed,
}

/// A start of a run's engine that was listed after the run began.
#[derive(Clone, Debug)]
pub(super) struct NewStart {
    /// The engine as it is listed now.
    pub(super) listed: Target,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unasked,
    Asked,
    /// It is the start that is listed; the run counts as lost if nothing has arrived by then.
    Confirmed(Instant),
    /// It is a newer start than is listed.
    Superseded,
}

impl NewStart {
    pub(super) fn new(listed: Target) -> Self {
        Self { listed, state: State::Unasked }
    }

    /// Returns the engine to ask, once.
    pub(super) fn take_unasked(&mut self) -> Option<Target> {
        let unasked = self.state == State::Unasked;
        unasked.then(|| {
            self.state = State::Asked;
            self.listed.clone()
        })
    }

    /// Records the answer of the engine; returns whether the run may belong to a start that is not the
    /// one before.
    pub(super) fn apply(&mut self, answer: Answer) -> bool {
        self.state = match answer {
            Answer::Listed => State::Confirmed(Instant::now() + SILENCE_TIMEOUT),
            Answer::Newer => State::Superseded,
            Answer::Unconfirmed => return false,
        };
        true
    }

    pub(super) fn is_asked(&self) -> bool {
        self.state == State::Asked
    }

    pub(super) fn is_confirmed(&self) -> bool {
        matches!(self.state, State::Confirmed(_))
    }

    /// Returns when a silent run of a confirmed start counts as lost.
    pub(super) fn give_up_at(&self) -> Option<Instant> {
        match self.state {
            State::Confirmed(at) => Some(at),
            State::Unasked | State::Asked | State::Superseded => None,
        }
    }
}

/// Asks an engine whether it is the start that is listed.
pub(super) async fn ask<P: Platform>(process: &Process, listed: &Target) -> Answer {
    let called = process.call(listed, P::report().into(), REPORT_TIMEOUT, MAX_REPORT_BYTES).await;
    let start = called.ok().and_then(|reply| P::report_start(&reply.body));
    match start.cmp(&listed.start) {
        Ordering::Equal if start.is_some() => Answer::Listed,
        Ordering::Greater => Answer::Newer,
        Ordering::Equal | Ordering::Less => Answer::Unconfirmed,
    }
}
