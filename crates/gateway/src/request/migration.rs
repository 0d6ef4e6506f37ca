//! Migration of a running generation to another engine.
//!
//! A generation goes on elsewhere only once its run has ended ([`fence`](crate::request::fence)).
//! While an engine works, it stops the run itself when the run's memory is transferred, which takes
//! time in proportion to its size. A run that was lost resumes from a backup that was copied while
//! the answer grew or, if the operators allow it, by a new run after the last event.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_policy::fragility::Ending;
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::origin::Constraint;
use fireflyhoist_policy::permit::Grant;
use fireflyhoist_policy::unit::Tokens;
use ntex::http::StatusCode;
use tokio::time::sleep;

use crate::platform::{Copy, Platform};
use crate::process::copy_usage::CopyUsage;
use crate::process::migration::Turn;
use crate::process::service_gate::Pass;
use crate::process::state::millis;
use crate::request::attempt::{self, Error, Options, Started};
use crate::request::fence::Ended;
use crate::request::transfer::{self, RunStream, Source, Transferred};
use crate::request::{Context, Worker, admission, quarantine};

/// Minimum number of expected tokens for which an answer is backed up. Shorter answers end within
/// the notice that engines give before they stop, so their backup would never be used: at 57 ms a
/// token they take less than four seconds, at the engines' usual speed far less.
pub(crate) const MIN_BACKUP_TOKENS: u64 = 64;

/// Fraction of an engine's memory that backups leave free for answers.
///
/// Backups protect against engines that stop without notice. They cost memory, and bandwidth that
/// migrations from engines that do give notice need. If every stop has a notice, callers are served
/// best without backups, almost as well with this reserve, and clearly worse with one of 0.3. With
/// four crashes without notice, backups with this reserve help far more than they cost.
const BACKUP_RESERVE: f64 = 0.65;

/// Delay before the next attempt to migrate when every engine is at its limit, or when the one that
/// was chosen can't be reached.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// How long a run whose memory was transferred tries to resume while neither engine can be reached:
/// engines that work may accept no connection for a second or so.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a run whose memory was transferred asks for a permit before it resumes at its source.
const MAX_PERMIT_TRIES: usize = 4;

/// Returns whether an answer is expected to take longer than the notice that an engine or an entry
/// gives before it stops.
pub(crate) fn is_long(context: &Context) -> bool {
    expected_tokens(context).get() >= MIN_BACKUP_TOKENS
}

/// Returns the expected length of an answer: the caller's estimate, or else the maximum that it
/// requested.
pub(crate) fn expected_tokens(context: &Context) -> Tokens {
    context.facts.expected_tokens.unwrap_or(context.facts.max_tokens)
}

/// A copy of an answer's memory that another engine keeps up to date while the answer grows.
#[derive(Debug)]
pub(crate) struct Backup {
    reservation: CopyUsage,
    listed: Target,
}

impl Backup {
    /// Chooses an engine for a backup. Returns `None` if the service keeps no backups, the answer
    /// is short, or no engine has enough memory.
    pub(crate) fn choose(
        worker: &Worker,
        context: &Context,
        pass: &Pass,
        current: &id::Target,
    ) -> Option<Self> {
        let backups = context.service.engine.as_ref().is_some_and(|engine| engine.backups);
        if !backups || !is_long(context) {
            return None;
        }
        let neighbours = worker.process.same_domain_targets(current);
        let candidates = pass.migration_targets(&neighbours, Some(BACKUP_RESERVE));
        // An engine of another version could not go on from it.
        let constraint = Constraint::to(worker.process.target(current)?.software.as_ref());
        let others = candidates.into_iter().filter(|candidate| candidate != current);
        let mut listed = others.filter_map(|candidate| worker.process.target(&candidate));
        let target = listed.find(|target| constraint.allows(target))?;
        let reservation =
            CopyUsage::open(&worker.process, &target.id, context.facts.prompt_tokens.get());
        Some(Self { reservation, listed: target })
    }

    pub(crate) fn target(&self) -> &id::Target {
        self.reservation.target()
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
        self.reservation.resize(tokens);
    }
}

/// How an answer resumes at another engine.
#[derive(Clone, Debug)]
pub(crate) enum Strategy {
    /// From the backup that the next engine keeps.
    Backup,
    /// From its memory, which is transferred from the current engine.
    Transfer {
        /// The engine that runs it now.
        from: Box<Target>,
        /// Number of tokens that it is expected to produce from now on.
        remaining: Tokens,
        /// Number of tokens in its memory.
        memory: Tokens,
    },
    /// By a new run that continues after the last event.
    Restart,
}

impl Strategy {
    /// Returns the name of the strategy in logs and metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Backup => "switch",
            Self::Transfer { .. } => "move",
            Self::Restart => "again",
        }
    }
}

/// One attempt to migrate an answer.
pub(crate) struct Plan {
    pub(crate) strategy: Strategy,
    /// Engines that may run it, the best first.
    pub(crate) candidates: Vec<Target>,
    /// The version that the answer must go on at.
    pub(crate) constraint: Constraint,
    /// The id of the last event sent to the caller, which grows while a transfer is in progress.
    pub(crate) last_event: Rc<Cell<Option<u64>>>,
    /// The stream of the current run.
    pub(crate) stream: Rc<RunStream>,
    /// How it is known that the run has ended; `None` if a transfer ends it.
    pub(crate) ended: Option<Ended>,
}

/// An answer that has resumed at another engine.
pub(crate) struct Resumed {
    pub(crate) target: id::Target,
    pub(crate) started: Started,
    /// The memory counted for its copy, until the answer itself is counted at the new engine.
    pub(crate) reservation: Option<CopyUsage>,
}

/// A failed attempt to migrate.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) error: Error,
    /// The engine that may run the answer now.
    pub(crate) reached: Option<Target>,
}

impl From<Error> for Failed {
    fn from(error: Error) -> Self {
        Self { error, reached: None }
    }
}

/// Migrates an answer to the next engine. A run that has not ended continues until the last step of
/// its transfer.
pub(crate) async fn migrate<P: Platform>(
    worker: Worker,
    context: Rc<Context>,
    plan: Plan,
) -> Result<Resumed, Failed> {
    let label = plan.strategy.label();
    let result = try_migrate::<P>(&worker, &context, plan).await;
    let outcome = match &result {
        Ok(_) => "arrived",
        Err(failed) => failed.error.reason(),
    };
    if result.as_ref().is_err_and(|failed| matches!(failed.error, Error::NotSent(_))) {
        // The next attempt may fail as fast.
        sleep(RETRY_DELAY).await;
    }
    worker.process.metrics.carried(if result.is_ok() { label } else { "failed" });
    log::info!(
        request = context.facts.request.as_str(), way = label, outcome = outcome; "carried on"
    );
    result
}

/// Migrates an answer; see [`migrate`], which also logs and counts the attempt.
async fn try_migrate<P: Platform>(
    worker: &Worker,
    context: &Context,
    plan: Plan,
) -> Result<Resumed, Failed> {
    let request = &context.facts.request;
    let (candidates, grant) = admission::within_limits(worker, plan.candidates).await;
    let Some(first) = candidates.first().cloned() else {
        // Without a pause all attempts would be used up before any engine accepts more.
        sleep(RETRY_DELAY).await;
        return Err(Error::NotRun("limited").into());
    };
    if !matches!(plan.strategy, Strategy::Transfer { .. })
        && quarantine::acquire(worker, context).await.is_some()
    {
        return Err(Error::NotRun("held back").into());
    }
    let position = Position {
        way: plan.strategy.label(),
        last_event: &plan.last_event,
        constraint: &plan.constraint,
        ended: plan.ended,
    };
    match plan.strategy {
        Strategy::Backup => {
            let copy = Copy { at: first.address, name: request.clone() };
            begin::<P>(worker, context, &first, Some(copy), position, grant).await
        }
        Strategy::Transfer { from, remaining, memory } => {
            let queued_at = worker.process.clock.now();
            let turn = Turn::wait(&worker.fleet, &from.id, request, remaining).await;
            let turn_at = worker.process.clock.now();
            let source =
                Source { engine: &from, last_event: &plan.last_event, stream: &plan.stream };
            let transferred =
                transfer::transfer_run::<P>(worker, context, &source, &candidates, memory).await;
            log::info!(
                request = request.as_str(), from:% = from.id, left:% = remaining,
                waited_ms = millis(turn_at.since(queued_at)),
                moved_ms = millis(worker.process.clock.now().since(turn_at)); "moved"
            );
            let transferred = transferred?;
            // The rest of the migration does not use the link between the two engines.
            drop(turn);
            let grant = renew_permit(worker, &transferred.to, grant).await;
            let position = Position { ended: Some(transferred.ended), ..position };
            let resumed =
                resume_transferred::<P>(worker, context, &from, &transferred, position, grant)
                    .await;
            let reservation = resumed.is_ok().then(|| transferred.keep());
            resumed.map(|resumed| Resumed { reservation, ..resumed })
        }
        Strategy::Restart => begin::<P>(worker, context, &first, None, position, grant).await,
    }
}

/// Returns a permit for an engine to which the memory of a run was transferred, if it is cold. The
/// transfer mostly takes longer than a permit may be used.
async fn renew_permit(worker: &Worker, to: &Target, grant: Option<Grant>) -> Option<Grant> {
    let now = worker.process.clock.now();
    if grant.is_none_or(|grant| grant.is_current(now)) {
        return grant;
    }
    for _ in 0..MAX_PERMIT_TRIES {
        match admission::check_limit(worker, &to.id).await {
            Ok(renewed) => return renewed,
            Err((_, wait)) => sleep(wait).await,
        }
    }
    grant
}

/// Where an answer goes on.
#[derive(Clone, Copy)]
struct Position<'a> {
    /// The name of the strategy.
    way: &'static str,
    /// The id of the last event sent to the caller.
    last_event: &'a Cell<Option<u64>>,
    /// The version that must go on.
    constraint: &'a Constraint,
    /// How it is known that the run before has ended.
    ended: Option<Ended>,
}

/// Resumes a run whose memory was transferred at the engine that received it or, if that does not run
/// it, at its source, which has stopped the run and still holds all of its memory.
///
/// Nothing else can go on with the answer, so this tries again while nothing can be sent to either.
async fn resume_transferred<P: Platform>(
    worker: &Worker,
    context: &Context,
    from: &Target,
    transferred: &Transferred,
    position: Position<'_>,
    mut grant: Option<Grant>,
) -> Result<Resumed, Failed> {
    let (to, copy) = (&transferred.to, Some(&transferred.copy));
    let give_up_at = worker.process.clock.now() + RESUME_TIMEOUT;
    loop {
        let at_destination = resume::<P>(worker, context, to, copy.cloned(), position, grant).await;
        let Err(failed) = at_destination else { return at_destination };
        if !failed.error.did_not_run() {
            return Err(failed);
        }
        worker.fleet.spend(&from.id);
        let at_source = resume::<P>(worker, context, from, copy.cloned(), position, None).await;
        let is_unsent = |failed: &Failed| matches!(failed.error, Error::NotSent(_));
        if !at_source.as_ref().is_err_and(is_unsent) || worker.process.clock.now() >= give_up_at {
            return at_source;
        }
        sleep(RETRY_DELAY).await;
        grant = renew_permit(worker, to, grant).await;
    }
}

/// Resumes a request at an engine that has not reserved room for it.
async fn begin<P: Platform>(
    worker: &Worker,
    context: &Context,
    to: &Target,
    copy: Option<Copy>,
    position: Position<'_>,
    grant: Option<Grant>,
) -> Result<Resumed, Failed> {
    let slot = worker.fleet.acquire_slot(&to.id).await.map_err(|_| Error::NotSent("crowded"))?;
    let resumed = resume::<P>(worker, context, to, copy, position, grant).await;
    if let Some(slot) = slot {
        slot.end(
            resumed.as_ref().map_or_else(|failed| failed.error.ending(), |_| Ending::Accepted),
        );
    }
    resumed
}

/// Sends the request to another engine, which resumes it after the last event sent to the caller.
async fn resume<P: Platform>(
    worker: &Worker,
    context: &Context,
    to: &Target,
    copy: Option<Copy>,
    position: Position<'_>,
    grant: Option<Grant>,
) -> Result<Resumed, Failed> {
    let options = Options {
        backup: None,
        copy,
        last_event: position.last_event.get(),
        constraint: position.constraint.clone(),
        grant,
        again: Some(position.way),
        run_before: position.ended,
    };
    let started = attempt::send::<P>(worker, context, &to.id, &options).await;
    let error = match started {
        Ok(started) if started.response.status == StatusCode::OK => {
            return Ok(Resumed { target: to.id.clone(), started, reservation: None });
        }
        Ok(_) => Error::Unknown("refused"),
        Err(error) => error,
    };
    let reached = (!error.did_not_run()).then(|| to.clone());
    Err(Failed { error, reached })
}
