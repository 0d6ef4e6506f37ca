//! Migration of a running generation to another engine.
//!
//! Three strategies, in the order in which they are tried: resuming from a backup that was copied
//! while the answer grew, which takes a few engine steps; transferring the run's memory, which
//! takes time in proportion to its size; and, if the operators allow it, a new run after the last
//! event.

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
use crate::request::attempt::{self, Error, Options, Started};
use crate::request::{Context, Worker, admission, quarantine, transfer};

/// Minimum number of expected tokens for which an answer is backed up. Shorter answers end within
/// the notice that engines give before they stop, so their backup would never be used: at 57 ms a
/// token they take less than four seconds, at the engines' usual speed far less.
pub(crate) const WORTH_A_COPY: u64 = 64;

/// Fraction of an engine's memory that backups leave free for answers.
///
/// Backups protect against engines that stop without notice. They cost memory, and bandwidth that
/// answers need to leave engines that do give notice. If every stop has a notice, the benchmark
/// score is 0.706 and 0.484 on two deployments with a reserve of 0.3, 0.713 and 0.513 with 0.65,
/// and 0.721 and 0.515 without backups. With four crashes without notice it is 0.881 with a reserve
/// of 0.65 and 0.837 without backups.
const BACKUP_RESERVE: f64 = 0.65;

/// Delay before the next attempt to migrate when every engine is at its limit.
const LIMITED_PAUSE: Duration = Duration::from_millis(150);

/// Whether an answer is expected to take longer than the notice that an engine or an entry gives
/// before it stops.
pub(crate) fn is_long(context: &Context) -> bool {
    expected(context).get() >= WORTH_A_COPY
}

/// Returns the expected length of an answer: the caller's estimate, or else the maximum that it
/// requested.
pub(crate) fn expected(context: &Context) -> Tokens {
    context.facts.guess.unwrap_or(context.facts.limit)
}

/// A copy of an answer's memory that another engine keeps up to date while the answer grows.
#[derive(Debug)]
pub(crate) struct Backup {
    kept: Kept,
    listed: Target,
}

impl Backup {
    /// Chooses an engine for a backup. Returns `None` if the service keeps no backups, the answer
    /// is short, or no engine has enough memory.
    pub(crate) fn choose(
        worker: &Worker,
        context: &Context,
        pass: &Pass,
        at: &id::Target,
    ) -> Option<Self> {
        let backups = context.service.engine.as_ref().is_some_and(|engine| engine.backups);
        if !backups || !is_long(context) {
            return None;
        }
        let near = worker.process.neighbours(at);
        let refuges = pass.refuges(&near, Some(BACKUP_RESERVE));
        let refuge = refuges.into_iter().find(|refuge| refuge != at)?;
        let target = worker.process.target(&refuge)?;
        let kept = Kept::open(&worker.process, &target.id, context.facts.prompt.get());
        Some(Self { kept, listed: target })
    }

    pub(crate) fn target(&self) -> &id::Target {
        self.kept.target()
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listed.address
    }

    /// Returns the engine as it was listed when the backup was requested.
    pub(crate) fn listed(&self) -> &Target {
        &self.listed
    }

    /// Sets the number of tokens that the backup holds now.
    pub(crate) fn grow(&mut self, tokens: u64) {
        self.kept.grow(tokens);
    }
}

/// How an answer resumes at another engine.
#[derive(Clone, Debug)]
pub(crate) enum Way {
    /// From the backup that the next engine keeps.
    Switch,
    /// From its memory, which is transferred from the current engine.
    Move {
        /// The engine that runs it now.
        from: Target,
        /// Number of tokens that it is expected to produce from now on.
        left: Tokens,
        /// Number of tokens in its memory.
        held: Tokens,
    },
    /// By a new run that continues after the last event.
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

/// One attempt to migrate an answer.
pub(crate) struct Trip {
    pub(crate) way: Way,
    /// Engines that may run it, the best first.
    pub(crate) to: Vec<Target>,
    /// The id of the last event sent to the caller, which grows while a transfer is in progress.
    pub(crate) last: Rc<Cell<Option<u64>>>,
}

/// An answer that has resumed at another engine.
pub(crate) struct Arrived {
    pub(crate) to: id::Target,
    pub(crate) started: Started,
    /// The memory counted for its copy, until the answer itself is counted at the new engine.
    pub(crate) kept: Option<Kept>,
}

/// Migrates an answer to the next engine. The old run continues until this returns, except during
/// the final step of a transfer.
pub(crate) async fn go<P: Platform>(
    worker: Worker,
    context: Rc<Context>,
    trip: Trip,
) -> Result<Arrived, Error> {
    let word = trip.way.word();
    let result = travel::<P>(&worker, &context, trip).await;
    let outcome = match &result {
        Ok(_) => "arrived",
        Err(error) => error.reason(),
    };
    worker.process.metrics.carried(if result.is_ok() { word } else { "failed" });
    log::info!(
        request = context.facts.request.as_str(), way = word, outcome = outcome; "carried on"
    );
    result
}

async fn travel<P: Platform>(
    worker: &Worker,
    context: &Context,
    trip: Trip,
) -> Result<Arrived, Error> {
    let request = &context.facts.request;
    let to = admission::within_limits(worker, trip.to).await;
    let Some(first) = to.first().cloned() else {
        // Without a pause all attempts would be used up before any engine accepts more.
        sleep(LIMITED_PAUSE).await;
        return Err(Error::NotRun("limited"));
    };
    if !matches!(trip.way, Way::Move { .. }) && quarantine::acquire(worker, context).await.is_some()
    {
        return Err(Error::NotRun("held back"));
    }
    match trip.way {
        Way::Switch => {
            let copy = Copy { at: first.address, name: request.clone() };
            resume::<P>(worker, context, &first, Some(copy), &trip.last).await
        }
        Way::Move { from, left, held } => {
            let began = worker.process.clock.now();
            let turn = Turn::wait(&worker.fleet, &from.id, request, left).await;
            let turned = worker.process.clock.now();
            let moved = transfer::move_run::<P>(worker, context, &from, &to, held).await;
            log::info!(
                request = request.as_str(), from:% = from.id, left:% = left,
                waited_ms = millis(turned.since(began)),
                moved_ms = millis(worker.process.clock.now().since(turned)); "moved"
            );
            let moved = moved?;
            // The rest of the migration does not use the link between the two engines.
            drop(turn);
            let (last, copy) = (&trip.last, Some(moved.copy.clone()));
            let resumed = match resume::<P>(worker, context, &moved.to, copy.clone(), last).await {
                // The source has stopped the run and still holds all of its memory.
                Err(error) if error.did_not_run() => {
                    worker.fleet.spend(&from.id);
                    resume::<P>(worker, context, &from, copy, last).await
                }
                result => result,
            };
            let kept = resumed.is_ok().then(|| moved.used());
            resumed.map(|arrived| Arrived { kept, ..arrived })
        }
        Way::Again => resume::<P>(worker, context, &first, None, &trip.last).await,
    }
}

/// Sends the request to another engine, which resumes it after the last event sent to the caller.
async fn resume<P: Platform>(
    worker: &Worker,
    context: &Context,
    to: &Target,
    copy: Option<Copy>,
    last: &Cell<Option<u64>>,
) -> Result<Arrived, Error> {
    let options = Options { backup: None, copy, last_event: last.get() };
    let started = attempt::send::<P>(worker, context, &to.id, &options).await?;
    match started.response.status {
        StatusCode::OK => Ok(Arrived { to: to.id.clone(), started, kept: None }),
        _ => Err(Error::Unknown("refused")),
    }
}
