//! Requests at an entry that drains: one that would not end before the entry stops is refused while
//! nothing of it has been sent.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_policy::call_time::{Call, CallTimes, Expected};
use fireflyhoist_policy::shutdown::{self, Decision, Kind, State, Work};
use fireflyhoist_policy::time::Time;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::request::{Context, Worker, entries, migration};

/// How often the decision on a request that waits is made anew.
const DECISION_POLL: Duration = Duration::from_millis(50);

/// Number of routes of which the durations of calls are kept, beside those with calls that run.
const MAX_ROUTES: usize = 1_024;

/// How long calls take, by route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls(Rc<RefCell<HashMap<SmolStr, CallTimes>>>);

impl Calls {
    /// Records that a call of a route is sent to a target.
    pub(crate) fn begin(&self, route: &SmolStr, now: Time) -> RunningCall {
        let mut routes = self.0.borrow_mut();
        if routes.len() >= MAX_ROUTES && !routes.contains_key(route) {
            routes.retain(|_, times| !times.is_idle());
        }
        let call = routes.entry(route.clone()).or_default().begin(now);
        RunningCall { calls: self.clone(), route: route.clone(), call }
    }

    fn expected(&self, route: &SmolStr, now: Time, repeatable: bool) -> Expected {
        let routes = self.0.borrow();
        routes.get(route).map(|times| times.expected(now, repeatable)).unwrap_or_default()
    }
}

/// A call that runs, until this is dropped.
pub(crate) struct RunningCall {
    calls: Calls,
    route: SmolStr,
    call: Call,
}

impl RunningCall {
    /// Records a complete answer.
    pub(crate) fn complete(self, now: Time) {
        self.end(now, true);
    }

    fn end(&self, now: Time, complete: bool) {
        if let Some(times) = self.calls.0.borrow_mut().get_mut(&self.route) {
            times.end(self.call, now, complete);
        }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        // Nothing if it was complete.
        self.end(Time::ZERO, false);
    }
}

/// Waits until this entry would not serve a request that has not been sent, and returns when its
/// caller should retry.
pub(crate) async fn refused(worker: &Worker, context: &Context) -> Duration {
    let process = &worker.process;
    let mut phase = process.watch_phase();
    loop {
        if let Some(after) = retry_after(worker, context) {
            return after;
        }
        // The sender lives as long as the process, so `changed` returns no error here.
        match process.is_leaving() {
            true => drop(timeout(DECISION_POLL, phase.changed()).await),
            false => drop(phase.changed().await),
        }
    }
}

/// Waits until this entry closes, and returns when callers should retry.
pub(crate) async fn closing(worker: &Worker) -> Duration {
    loop {
        worker.process.closing().await;
        if let Some(after) = closing_retry_after(worker) {
            return after;
        }
    }
}

/// Returns when callers should retry if this entry is about to stop and sends nothing more.
pub(crate) fn closing_retry_after(worker: &Worker) -> Option<Duration> {
    retry_after_stop(worker).filter(|_| worker.process.is_closing())
}

/// Returns when callers should retry whose requests this entry does not serve because it drains.
pub(crate) fn retry_after_stop(worker: &Worker) -> Option<Duration> {
    state(worker).map(|state| shutdown::retry_after(&state))
}

/// Returns when to retry if this entry drains and the request would not end before it stops.
fn retry_after(worker: &Worker, context: &Context) -> Option<Duration> {
    let state = state(worker)?;
    if worker.process.is_closing() {
        return Some(shutdown::retry_after(&state));
    }
    match shutdown::decide(&state, &work(worker, context)) {
        Decision::Serve => None,
        Decision::RetryAfter(after) => Some(after),
    }
}

/// Returns whether an answer that begins now is held back until it is complete, since this entry may
/// stop before its end.
pub(crate) fn is_held(worker: &Worker, context: &Context) -> bool {
    state(worker).is_some_and(|state| shutdown::is_held(&state, &work(worker, context)))
}

/// Returns the state of this entry if it drains.
fn state(worker: &Worker) -> Option<State> {
    let times = worker.process.leave_times()?;
    Some(State {
        peers_accept: worker.fleet.has_ready_peer(),
        draining_for: times.since,
        remaining: times.remaining,
        open_for: times.open_for,
        address_ttl: entries::TTL,
    })
}

/// Returns how long the request is expected to take at a target; zero if its answer is a stream, which
/// may go on elsewhere.
pub(crate) fn expected_time(worker: &Worker, context: &Context) -> Duration {
    let Work { kind, time_left } = work(worker, context);
    match kind {
        Kind::Lookup { objective, expected, .. } => {
            expected.ended.unwrap_or(objective).max(expected.running).min(time_left)
        }
        Kind::Generation { .. } => Duration::ZERO,
    }
}

fn work(worker: &Worker, context: &Context) -> Work {
    let time_left = context.time_left(worker.process.clock.now());
    if !context.route.kind.is_stream() {
        let now = worker.process.clock.now();
        let repeatable = context.route.kind.is_idempotent();
        let expected = worker.calls.expected(&context.route.name, now, repeatable);
        let objective = context.route.objective;
        return Work { kind: Kind::Lookup { objective, expected, repeatable }, time_left };
    }
    let limit = context.facts.max_tokens;
    let kind = Kind::Generation {
        expected: migration::expected_tokens(context),
        limit: (limit.get() > 0).then_some(limit),
        long: migration::is_long(context),
    };
    Work { kind, time_left }
}
