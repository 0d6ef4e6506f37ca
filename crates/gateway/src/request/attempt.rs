//! One attempt of a request at one target.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::fragility::Ending;
use fireflyhoist_policy::id;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::origin::Constraint;
use fireflyhoist_policy::permit::Grant;
use fireflyhoist_policy::request::Outcome;
use fireflyhoist_policy::time::Time;
use ntex::http::HeaderMap;

use crate::connection::exchange::{Failure, Outgoing, Refusal, Response};
use crate::platform::{Copy, Platform, TargetHeaders};
use crate::process::state::{Process, millis};
use crate::request::fence::Ended;
use crate::request::{Context, URGENCY, Worker, drain, liveness};

/// The reason of [`Error::NotSent`] if the target is cordoned.
const CORDONED: &str = "cordoned";

/// The reason of [`Error::Unknown`] if the response does not name the request.
const CROSSED: &str = "crossed";

/// The reason of [`Error::NotRun`] if the target turned the request away.
const DECLINED: &str = "declined";

/// The reason of [`Error::NotSent`] if the target takes nothing new.
const LEAVING: &str = "leaving";

/// The reason of [`Error::NotSent`] if no memory is left for the exchange.
const NO_MEMORY: &str = "no-memory";

/// The reason of [`Error::NotSent`] if the permit to send was granted too long ago.
const PERMIT_EXPIRED: &str = "permit-expired";

/// The reason of [`Error::NotSent`] if the target's software is of another version than began the
/// stream.
const OTHER_VERSION: &str = "other-version";

/// The reason of [`Error::NotSent`] if the target asked for rest.
const RESTING: &str = "resting";

/// The reason of [`Error::NotSent`] if the target did not say in time which start it is.
const UNCONFIRMED: &str = "unconfirmed";

/// The reason of [`Error::NotSent`] if the target accepted no connection in time.
const UNANSWERED: &str = "unanswered";

/// The reason of [`Error::Unknown`] if no answer came in time.
const LATE: &str = "late";

/// The reason of [`Error::NotSent`] if this entry reaches no target. It says nothing about the one that
/// was chosen.
const ISOLATED: &str = "isolated";

/// Timeout of a report call, after which the engine counts as slow.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Why an attempt returned no answer that can be sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Error {
    /// Nothing was sent to the target.
    NotSent(&'static str),
    /// The target did not run the request.
    NotRun(&'static str),
    /// The target may have run the request.
    Unknown(&'static str),
}

impl Error {
    fn from_failure(failure: &Failure) -> Self {
        match failure {
            Failure::ConnectFailed { reason: Refusal::TimedOut } => Self::NotSent(UNANSWERED),
            Failure::ConnectFailed { .. } => Self::NotSent("unreached"),
            Failure::NoPath => Self::NotSent(ISOLATED),
            Failure::Resting => Self::NotSent(RESTING),
            Failure::PermitExpired => Self::NotSent(PERMIT_EXPIRED),
            Failure::TimedOut => Self::Unknown(LATE),
            Failure::Broken { .. } => Self::Unknown("broken"),
            Failure::BodyTooLarge => Self::Unknown("large"),
        }
    }

    /// Returns the reason as it stands in logs and metrics.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::NotSent(reason) | Self::NotRun(reason) | Self::Unknown(reason) => reason,
        }
    }

    /// Returns whether the target certainly did not run the request.
    pub(crate) fn did_not_run(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }

    /// Returns how the request ended at a fragile target.
    pub(crate) fn ending(&self) -> Ending {
        match self {
            Self::NotRun(DECLINED) => Ending::Rejected,
            _ => Ending::Unknown,
        }
    }

    /// Returns whether this entry reaches no target, so that no other attempt can succeed.
    pub(crate) fn is_isolated(&self) -> bool {
        matches!(self, Self::NotSent(ISOLATED))
    }

    /// Returns the outcome that the gate records for the target.
    pub(crate) fn outcome(&self, process: &Process) -> Outcome {
        match self {
            Self::NotSent(
                CORDONED | ISOLATED | LEAVING | NO_MEMORY | OTHER_VERSION | PERMIT_EXPIRED
                | RESTING | UNCONFIRMED,
            ) => Outcome::Cancelled,
            // Otherwise an entry that loses its path would have its peers eject targets that work.
            Self::Unknown(_) if process.is_path_suspect() => Outcome::Cancelled,
            Self::NotSent(UNANSWERED) | Self::Unknown(LATE) => Outcome::Unanswered,
            _ => Outcome::Failed,
        }
    }
}

/// An answer whose head has been received.
pub(crate) struct Started {
    pub(crate) response: Response,
    /// The target as it was listed when the request was sent, without its version if it has
    /// restarted since.
    pub(crate) target: Target,
    /// When the target began to answer.
    pub(crate) began_at: Time,
}

/// What an attempt sends to the target in addition to the request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Options {
    /// The engine that keeps a backup of the run's memory.
    pub(crate) backup: Option<SocketAddr>,
    /// The copy of a run's memory from which the target resumes the run.
    pub(crate) copy: Option<Copy>,
    /// The last event sent to the caller, after which the target resumes.
    pub(crate) last_event: Option<u64>,
    /// At which targets the stream may run.
    pub(crate) constraint: Constraint,
    /// The permit of the target's owner, if that is cold.
    pub(crate) grant: Option<Grant>,
    /// Why it is sent again; `None` the first time.
    pub(crate) again: Option<&'static str>,
    /// How it is known that the run before has ended, if it resumes.
    pub(crate) run_before: Option<Ended>,
}

/// Sends the request to a target and waits for the head of its answer.
///
/// Records what the response says about the target: the limit that it advertises, and whether its
/// address belongs to another instance by now.
pub(crate) async fn send<P: Platform>(
    worker: &Worker,
    context: &Context,
    target: &id::Target,
    options: &Options,
) -> Result<Started, Error> {
    let started_at = worker.process.clock.now();
    let result = try_send::<P>(worker, context, target, options).await;
    let elapsed = worker.process.clock.now().since(started_at);
    if !result.as_ref().is_err_and(Error::did_not_run) {
        context.has_trial.set(false);
        context.has_feature_trial.set(false);
    }
    let outcome = match &result {
        Ok(started) => started.response.status.as_str().to_owned(),
        Err(error) => error.reason().to_owned(),
    };
    let listed = worker.process.target(target);
    if let Some(listed) = listed.as_ref().filter(|_| !matches!(result, Err(Error::NotSent(_)))) {
        worker.process.metrics.sent(listed.domain == worker.process.settings.domain);
    }
    let software = listed.and_then(|target| target.software);
    let relay = result.as_ref().ok().and_then(|started| started.response.relay.as_ref());
    worker.process.metrics.attempt(match &result {
        Ok(_) => "answered",
        Err(error) => error.reason(),
    });
    log::info!(
        request = context.facts.request.as_str(), target:% = target, outcome = outcome.as_str(),
        software = software.as_ref().map_or("unknown".to_owned(), ToString::to_string).as_str(),
        revision = context.table.text().revision, targets:% = worker.process.targets_position(),
        resumed = options.last_event.unwrap_or(0), copy = options.copy.is_some(),
        again = options.again.unwrap_or(""),
        run_before = options.run_before.map_or(String::new(), |ended| ended.to_string()).as_str(),
        via = relay.map_or("", id::Host::as_str),
        ms = millis(elapsed); "attempt"
    );
    result
}

/// Sends the request; see [`send`], which also logs and counts the attempt.
async fn try_send<P: Platform>(
    worker: &Worker,
    context: &Context,
    id: &id::Target,
    options: &Options,
) -> Result<Started, Error> {
    let Some(target) = worker.process.target(id) else { return Err(Error::NotRun("gone")) };
    // The target may have been cordoned, or have said that it leaves, since the gate chose it.
    if worker.process.is_cordoned(&target) {
        return Err(Error::NotSent(CORDONED));
    }
    if !options.constraint.allows(&target) {
        return Err(Error::NotSent(OTHER_VERSION));
    }
    let resumes_copy = options.copy.is_some();
    // An engine that has started again holds no copy, so it declines what resumes from one.
    if options.constraint != Constraint::Free && !resumes_copy {
        check_start::<P>(worker, &target).await?;
    }
    if !resumes_copy && !worker.process.is_target_ready(id) {
        return Err(Error::NotSent(LEAVING));
    }
    let permit = worker.process.memory.permit_attempt().ok_or(Error::NotSent(NO_MEMORY))?;
    let time_left = context.time_left(worker.process.clock.now());
    let stamp = TargetHeaders {
        instance: &target.instance,
        timeout: time_left,
        workspace: context.label.as_deref(),
        backup: options.backup,
        copy: options.copy.as_ref(),
        last_event: options.last_event.or(context.facts.last_event),
        rank: URGENCY,
    };
    let outgoing = Outgoing {
        method: context.method.clone(),
        path: context.path.clone(),
        headers: stamp_headers::<P>(&context.headers, &stamp),
        body: context.body.clone(),
    };
    let sent_at = worker.process.clock.now();
    let expected_time = || drain::expected_time(worker, context);
    let sent =
        worker.process.send_permitted(&target, outgoing, time_left, options.grant, expected_time);
    let response = sent.await;
    let mut response = response.map_err(|failure| {
        match failure {
            Failure::Broken { .. } => {
                liveness::Check::new(worker, context, &target, sent_at).spawn::<P>();
            }
            Failure::ConnectFailed { reason } => log::info!(
                request = context.facts.request.as_str(), target:% = id, reason:% = reason;
                "no connection"
            ),
            Failure::Resting
            | Failure::PermitExpired
            | Failure::NoPath
            | Failure::TimedOut
            | Failure::BodyTooLarge => {}
        }
        Error::from_failure(&failure)
    })?;
    response.permit = Some(permit);
    let reply = P::reply(response.status, &response.headers);
    worker.fleet.heed(&target, sent_at, &reply, response.relay.as_ref());
    // The connection may deliver a response to another request first, which says nothing about whether
    // this one ran.
    if reply.request.as_ref().is_some_and(|named| *named != context.facts.request) {
        return Err(Error::Unknown(CROSSED));
    }
    if reply.misdirected {
        worker.process.mark_target_replaced(&target);
        return Err(Error::NotRun("misdirected"));
    }
    if reply.declined {
        return Err(Error::NotRun(DECLINED));
    }
    if reply.request.is_none() {
        return Err(Error::Unknown(CROSSED));
    }
    let target = match worker.process.target(id) {
        Some(listed) if listed.start == target.start && listed.software == target.software => {
            target
        }
        _ => Target { software: None, ..target },
    };
    Ok(Started { response, target, began_at: worker.process.clock.now() })
}

/// Checks that an engine is the start that the registry lists, by its own report.
///
/// It may have started again under its name with another version of software, and the registry learns
/// of that only with its next renewal.
async fn check_start<P: Platform>(worker: &Worker, target: &Target) -> Result<(), Error> {
    let Some(listed) = target.start else { return Ok(()) };
    let call = P::report().into();
    let called = worker.process.call(target, call, REPORT_TIMEOUT, MAX_REPORT_BYTES).await;
    match called {
        Ok(reply) if P::report_start(&reply.body).is_none_or(|start| start == listed) => Ok(()),
        Ok(_) => {
            worker.process.suspend_crashed(target);
            Err(Error::NotSent(OTHER_VERSION))
        }
        // It may be slow, and another start than is listed as well.
        Err(Failure::TimedOut) if worker.process.is_unversioned(&target.service) => Ok(()),
        Err(Failure::TimedOut) => Err(Error::NotSent(UNCONFIRMED)),
        Err(failure) => match Error::from_failure(&failure) {
            Error::NotSent(reason) => Err(Error::NotSent(reason)),
            // Only the report was sent, not the request.
            _ => Err(Error::NotSent("unreached")),
        },
    }
}

fn stamp_headers<P: Platform>(headers: &HeaderMap, stamp: &TargetHeaders<'_>) -> HeaderMap {
    let mut headers = headers.clone();
    P::set_target_headers(&mut headers, stamp);
    headers
}

/// Returns the time after which a caller may retry when every target declined: a fifth of the time
/// left, within the 50 ms to 1 s in which targets free slots.
pub(crate) fn decline_retry_after(time_left: Duration) -> Duration {
    (time_left / 5).clamp(Duration::from_millis(50), Duration::from_secs(1))
}
