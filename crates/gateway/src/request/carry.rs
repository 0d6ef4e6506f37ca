//! Carrying a running answer to another engine.
//!
//! Three ways, in the order in which they are tried: going on from a copy that was made as the
//! answer grew, which takes a few steps of an engine; moving its memory, which takes as long as the
//! memory is large; and, where the operators allow it, beginning anew after the last event.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::unit::Tokens;
use ntex::http::StatusCode;
use ntex::time::sleep;

use crate::platform::{Copy, Platform};
use crate::process::kept::Kept;
use crate::process::lane::Pass;
use crate::process::state::millis;
use crate::process::turn::Turn;
use crate::request::attempt::{self, Begun, Ended, Extra};
use crate::request::{Inquiry, Worker, admit, held, relocate};

/// Answers expected to hold fewer tokens end within the notice that engines give, so a copy of
/// them is never used: at 57 ms a token this is under two seconds, at the engines' own pace far
/// less.
pub(crate) const WORTH_A_COPY: u64 = 64;

/// Part of an engine's memory that copies leave to answers.
///
/// Copies protect against engines that vanish without a notice, and cost memory and the links that
/// answers need to leave engines that do give one. On days with notices only, copies that leave 0.3
/// free gave a mean worth of 0.706 and 0.484 (six days each of two deployments), 0.65 gave 0.713 and
/// 0.513, none 0.721 and 0.515. On a day of four crashes without notice 0.65 gave 0.881, none 0.837.
const BACKUP_RESERVE: f64 = 0.65;

/// How long an answer waits that must go on elsewhere, where no engine takes more.
const LIMITED_PAUSE: Duration = Duration::from_millis(150);

/// Whether an answer is expected to outlast the notice that an engine or an entry gives.
pub(crate) fn is_long(inquiry: &Inquiry) -> bool {
    expected(inquiry).get() >= WORTH_A_COPY
}

/// Tokens that an answer is expected to hold: its caller's guess, or the most that it asked for.
pub(crate) fn expected(inquiry: &Inquiry) -> Tokens {
    inquiry.facts.expected_tokens.unwrap_or(inquiry.facts.max_tokens)
}

/// The engine that keeps a copy of an answer's memory as it grows.
#[derive(Debug)]
pub(crate) struct Backup {
    kept: Kept,
    listed: Target,
}

impl Backup {
    /// Chooses an engine for a copy; `None` where the answer is short, or no engine has room.
    pub(crate) fn choose(
        worker: &Worker,
        inquiry: &Inquiry,
        pass: &Pass,
        at: &id::Target,
    ) -> Option<Self> {
        let backups = inquiry.service.engine.as_ref().is_some_and(|engine| engine.backups);
        if !backups || !is_long(inquiry) {
            return None;
        }
        let near = worker.process.same_domain_targets(at);
        let refuges = pass.refuges(&near, Some(BACKUP_RESERVE));
        let refuge = refuges.into_iter().find(|refuge| refuge != at)?;
        let target = worker.process.target(&refuge)?;
        let kept = Kept::open(&worker.process, &target.id, inquiry.facts.prompt_tokens.get());
        Some(Self { kept, listed: target })
    }

    pub(crate) fn target(&self) -> &id::Target {
        self.kept.target()
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listed.address
    }

    /// The engine as it was listed when the copy was asked for.
    pub(crate) fn listed(&self) -> &Target {
        &self.listed
    }

    /// Counts what the copy holds now.
    pub(crate) fn grow(&mut self, tokens: u64) {
        self.kept.grow(tokens);
    }
}

/// How an answer is to go on elsewhere.
#[derive(Clone, Debug)]
pub(crate) enum Way {
    /// From the copy that the next engine keeps.
    Switch,
    /// By moving its memory from this engine.
    Move {
        /// Where it runs now.
        from: Target,
        /// Tokens that it is expected to produce still.
        left: Tokens,
        /// Tokens in its memory.
        held: Tokens,
    },
    /// By a new run after the last event.
    Again,
}

impl Way {
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Self::Switch => "switch",
            Self::Move { .. } => "move",
            Self::Again => "again",
        }
    }
}

/// One try to carry an answer on.
pub(crate) struct Trip {
    pub(crate) way: Way,
    /// Engines that may take it, the best first.
    pub(crate) to: Vec<Target>,
    /// The last event that the caller was sent; it grows while a move is under way.
    pub(crate) last: Rc<Cell<Option<u64>>>,
}

/// An answer that goes on elsewhere.
pub(crate) struct Arrived {
    pub(crate) to: id::Target,
    pub(crate) begun: Begun,
    /// What it came with, until it counts there as an answer.
    pub(crate) kept: Option<Kept>,
}

/// Carries an answer to the next engine; the old run goes on until this returns, but for the last
/// part of a move.
pub(crate) async fn go<P: Platform>(
    worker: Worker,
    inquiry: Rc<Inquiry>,
    trip: Trip,
) -> Result<Arrived, Ended> {
    let word = trip.way.word();
    let result = travel::<P>(&worker, &inquiry, trip).await;
    let outcome = match &result {
        Ok(_) => "arrived",
        Err(ended) => ended.word(),
    };
    worker.process.metrics.carried(if result.is_ok() { word } else { "failed" });
    log::info!(
        request = inquiry.facts.request.as_str(), way = word, outcome = outcome; "carried on"
    );
    result
}

async fn travel<P: Platform>(
    worker: &Worker,
    inquiry: &Inquiry,
    trip: Trip,
) -> Result<Arrived, Ended> {
    let request = &inquiry.facts.request;
    let to = admit::within_limits(worker, trip.to).await;
    let Some(first) = to.first().cloned() else {
        // Tried again at once, all tries would be over before any of them takes more.
        sleep(LIMITED_PAUSE).await;
        return Err(Ended::Unrun("limited"));
    };
    if !matches!(trip.way, Way::Move { .. }) && held::wait(worker, inquiry).await.is_some() {
        return Err(Ended::Unrun("held back"));
    }
    match trip.way {
        Way::Switch => {
            let copy = Copy { at: first.address, name: request.clone() };
            resume::<P>(worker, inquiry, &first, Some(copy), &trip.last).await
        }
        Way::Move { from, left, held } => {
            let began = worker.process.clock.now();
            let turn = Turn::wait(&worker.fleet, &from.id, request, left).await;
            let turned = worker.process.clock.now();
            let moved = relocate::move_run::<P>(worker, inquiry, &from, &to, held).await;
            log::info!(
                request = request.as_str(), from:% = from.id, left:% = left,
                waited_ms = millis(turned.since(began)),
                moved_ms = millis(worker.process.clock.now().since(turned)); "moved"
            );
            let moved = moved?;
            // What is left of the move is between the two engines' links no more.
            drop(turn);
            let (last, copy) = (&trip.last, Some(moved.copy.clone()));
            let resumed = match resume::<P>(worker, inquiry, &moved.to, copy.clone(), last).await {
                // The source that stopped still has everything.
                Err(ended) if ended.is_unrun() => {
                    worker.fleet.spend(&from.id);
                    resume::<P>(worker, inquiry, &from, copy, last).await
                }
                result => result,
            };
            let kept = resumed.is_ok().then(|| moved.used());
            resumed.map(|arrived| Arrived { kept, ..arrived })
        }
        Way::Again => resume::<P>(worker, inquiry, &first, None, &trip.last).await,
    }
}

/// Sends the request again so that it goes on after the last event delivered.
async fn resume<P: Platform>(
    worker: &Worker,
    inquiry: &Inquiry,
    to: &Target,
    copy: Option<Copy>,
    last: &Cell<Option<u64>>,
) -> Result<Arrived, Ended> {
    let extra = Extra { backup: None, copy, last_event: last.get() };
    let begun = attempt::begin::<P>(worker, inquiry, &to.id, &extra).await?;
    match begun.response.status {
        StatusCode::OK => Ok(Arrived { to: to.id.clone(), begun, kept: None }),
        _ => Err(Ended::Unknown("refused")),
    }
}
