//! One attempt of a request at one target.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::request::Outcome;
use fireflyhoist_policy::time::Time;
use ntex::http::HeaderMap;

use crate::connection::exchange::{self, Failure, Outgoing, Response};
use crate::platform::{Copy, Platform, Stamp};
use crate::process::state::millis;
use crate::request::{Inquiry, URGENCY, Worker, broken};

/// The word for a target that may get nothing new.
const CORDONED: &str = "cordoned";

/// Why an attempt brought no answer that could go to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// Nothing was sent.
    Unsent(&'static str),
    /// The target certainly did not run it.
    Unrun(&'static str),
    /// It may have run.
    Unknown(&'static str),
}

impl Ended {
    fn of(failure: &Failure) -> Self {
        match failure {
            Failure::ConnectFailed => Self::Unsent("unreached"),
            Failure::TimedOut => Self::Unknown("late"),
            Failure::Broken { .. } => Self::Unknown("broken"),
            Failure::BodyTooLarge => Self::Unknown("large"),
        }
    }

    pub(crate) fn word(&self) -> &'static str {
        match self {
            Self::Unsent(word) | Self::Unrun(word) | Self::Unknown(word) => word,
        }
    }

    /// Whether the target surely does not run it.
    pub(crate) fn is_unrun(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }

    /// What it says of the target.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::Unsent(CORDONED) => Outcome::Cancelled,
            _ => Outcome::Failed,
        }
    }
}

/// The head of an answer.
pub(crate) struct Begun {
    pub(crate) response: Response,
    /// When the request was sent.
    pub(crate) sent: Time,
}

/// What an attempt carries beside the request itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Extra {
    pub(crate) backup: Option<SocketAddr>,
    pub(crate) copy: Option<Copy>,
    pub(crate) last_event: Option<u64>,
}

/// Sends the request to a target and waits for the head of an answer to it.
///
/// Whatever the target says of itself on the way is noted: that it leaves, or that its address is
/// another's now.
pub(crate) async fn begin<P: Platform>(
    worker: &Worker,
    inquiry: &Inquiry,
    target: &id::Target,
    extra: &Extra,
) -> Result<Begun, Ended> {
    let began = worker.process.clock.now();
    let result = exchange::<P>(worker, inquiry, target, extra).await;
    let elapsed = worker.process.clock.now().since(began);
    if !result.as_ref().is_err_and(Ended::is_unrun) {
        inquiry.trial.set(false);
    }
    let outcome = match &result {
        Ok(begun) => begun.response.status.as_str().to_owned(),
        Err(ended) => ended.word().to_owned(),
    };
    worker.process.metrics.attempt(match &result {
        Ok(_) => "answered",
        Err(ended) => ended.word(),
    });
    log::info!(
        request = inquiry.facts.request.as_str(), target:% = target, outcome = outcome.as_str(),
        revision = inquiry.table.text().revision, targets:% = worker.process.targets_position(),
        resumed = extra.last_event.unwrap_or(0), copy = extra.copy.is_some(),
        ms = millis(elapsed); "attempt"
    );
    result
}

async fn exchange<P: Platform>(
    worker: &Worker,
    inquiry: &Inquiry,
    id: &id::Target,
    extra: &Extra,
) -> Result<Begun, Ended> {
    let Some(target) = worker.process.target(id) else { return Err(Ended::Unrun("gone")) };
    // It may have been cordoned since it was chosen.
    if worker.process.is_cordoned(&target) {
        return Err(Ended::Unsent(CORDONED));
    }
    let left = inquiry.left(worker.process.clock.now());
    let stamp = Stamp {
        instance: &target.instance,
        left,
        workspace: inquiry.label.as_deref(),
        backup: extra.backup,
        copy: extra.copy.as_ref(),
        last_event: extra.last_event.or(inquiry.facts.last_event),
        urgency: URGENCY,
    };
    let outgoing = Outgoing {
        method: inquiry.method.clone(),
        path: inquiry.path.clone(),
        headers: stamped::<P>(&inquiry.headers, &stamp),
        body: inquiry.body.clone(),
    };
    let sent = worker.process.clock.now();
    let response = exchange::send(target.address, outgoing, left).await;
    let response = response.map_err(|failure| {
        if matches!(failure, Failure::Broken { .. }) {
            broken::Run::of(worker, inquiry, &target, sent).spawn();
        }
        Ended::of(&failure)
    })?;
    let reply = P::reply(response.status, &response.headers);
    if !reply.misdirected {
        worker.process.note_limit(&target, sent, reply.limit);
    }
    if reply.misdirected {
        worker.process.target_replaced(id);
        return Err(Ended::Unrun("misdirected"));
    }
    if reply.declined {
        return Err(Ended::Unrun("declined"));
    }
    // An answer to another request may lie on the connection before this one's.
    if reply.request.as_ref() != Some(&inquiry.facts.request) {
        return Err(Ended::Unknown("crossed"));
    }
    Ok(Begun { response, sent })
}

fn stamped<P: Platform>(headers: &HeaderMap, stamp: &Stamp<'_>) -> HeaderMap {
    let mut headers = headers.clone();
    P::stamp(&mut headers, stamp);
    headers
}

/// When a caller may come back after every target declined: its next try finds other targets, or
/// places that were freed. A fifth of its patience, within the time in which places are freed.
pub(crate) fn come_back(left: Duration) -> Duration {
    (left / 5).clamp(Duration::from_millis(50), Duration::from_secs(1))
}
