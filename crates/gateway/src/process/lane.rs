//! One service's gate, its lock, and the requests that wait at it.
//!
//! A lane is a shard of the process's state: services never wait for one another's lock.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{
    Gate, Holding, Outcome, Placement, Reason, Refusal, Report, Request, Settings, Verdict,
};
use fireflyhoist_policy::id;
use fireflyhoist_policy::observation::{self, Observer};
use fireflyhoist_policy::retry;
use fireflyhoist_policy::stagger::Order;
use fireflyhoist_policy::unit::Tokens;
use parking_lot::Mutex;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::oneshot;

use crate::process::clock::Clock;

/// When a caller whose service was removed may ask again: a text that brings the service back
/// takes seconds to be in force.
const CLOSED_RETRY: Duration = Duration::from_secs(10);

/// What all entries together have at one target.
#[derive(Clone, Debug)]
pub struct View {
    /// The target.
    pub target: id::Target,
    /// Its memory and answers.
    pub report: Report,
    /// Prompt tokens of other entries that it has not read.
    pub unread: Tokens,
}

/// The gate of one service and its waiters.
#[derive(Debug)]
pub struct Lane {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    waiters: HashMap<id::Request, oneshot::Sender<Verdict>>,
}

impl Lane {
    /// Opens a lane whose gate decides on the usual terms.
    pub fn open(clock: Clock) -> Arc<Self> {
        Self::of(clock, Settings::default())
    }

    /// Opens a lane whose gate decides as `settings` say.
    pub fn of(clock: Clock, settings: Settings) -> Arc<Self> {
        let state = State { gate: Gate::open(settings), waiters: HashMap::new() };
        Arc::new(Self { clock, state: Mutex::new(state) })
    }

    /// Takes in how a request of another entry ended at a target; see [`Gate::apply_outcome`].
    pub fn hear(&self, target: &id::Target, from: Observer, outcome: observation::Outcome) {
        self.state.lock().gate.apply_outcome(self.clock.now(), target, from, outcome);
    }

    /// How requests ended, as far as other entries should hear of it.
    pub fn take_endings(&self) -> Vec<(id::Target, observation::Outcome)> {
        self.state.lock().gate.take_outcomes()
    }

    /// Replaces the targets; requests sent to a removed one go on.
    pub fn set_targets(&self, targets: Vec<id::Target>) {
        self.set_open(targets, &BTreeSet::new());
    }

    /// The same, where some stand in cordoned failure domains; see [`Gate::set_cordoned`].
    pub fn set_open(&self, targets: Vec<id::Target>, cordoned: &BTreeSet<id::Target>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.gate.set_targets(now, targets);
        state.gate.set_cordoned(now, cordoned);
        drop(state);
        self.poll();
    }

    /// How many targets are excluded for which reason, in words.
    pub fn exclusions(&self) -> SmolStr {
        let counts = self.state.lock().gate.exclusions(self.clock.now());
        let words = counts.iter().map(|(why, count)| format!("{why}:{count}"));
        words.collect::<Vec<_>>().join(" ").into()
    }

    /// Tells which entries send to the targets; see [`Gate::set_order`].
    pub fn set_order(&self, order: Order) {
        self.state.lock().gate.set_order(order);
    }

    /// Sets how many second attempts this entry may make.
    pub fn set_retries(&self, terms: retry::Limits) {
        self.state.lock().gate.set_retries(terms);
    }

    /// Notes that a target has started again.
    pub fn restarted(&self, target: &id::Target) {
        self.state.lock().gate.restarted(self.clock.now(), target);
    }

    /// Takes over what the text says: the weights of workspaces, and the time between tokens that
    /// the service's callers are promised.
    pub fn set_terms(&self, weights: &BTreeMap<id::Workspace, f64>, between: Duration) {
        let mut state = self.state.lock();
        state.gate.set_weights(weights.clone());
        state.gate.set_token_interval(between);
    }

    /// Answers all who wait: the service is no longer in the text.
    ///
    /// Guards against requests that are silently swallowed: a lane that is out of the process's
    /// table is polled no more, so its waiters would hear nothing, not even at their deadlines.
    /// What has been sent goes on to its end.
    pub fn close(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let waiters = std::mem::take(&mut state.waiters);
        for (request, waiter) in waiters {
            state.gate.finish(now, request, Outcome::Cancelled);
            let refusal = Refusal { reason: Reason::NoTarget, retry_after: CLOSED_RETRY };
            // A waiter that is gone needs no answer.
            let _ = waiter.send(Verdict::Refuse(refusal));
        }
    }

    /// Tells how many entries the published list names, and which of them this one is.
    pub fn set_entries(&self, entries: usize, own: Option<usize>) {
        self.state.lock().gate.set_entries(self.clock.now(), entries, own);
    }

    /// Takes in a report that its engine took `age` ago.
    pub fn report(&self, target: &id::Target, report: &Report, age: Duration) {
        self.state.lock().gate.report(self.clock.now(), target, report, age);
        self.poll();
    }

    /// Waits for the gate's decision and returns a pass to the target that it chose.
    pub async fn admit(self: &Arc<Self>, ask: Request) -> Result<Pass, Refusal> {
        let request = ask.id;
        let (verdict, waiter) = {
            let mut state = self.state.lock();
            let verdict = state.gate.offer(self.clock.now(), &mut rand::rng(), ask);
            let waiter = (verdict == Verdict::Wait).then(|| {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(request, sender);
                receiver
            });
            (verdict, waiter)
        };
        // From here on the request counts in the gate; dropping the pass, or this future while it
        // waits, must free what it holds.
        let mut pass = Pass { lane: Arc::clone(self), request, target: None, done: false };
        let verdict = match waiter {
            Some(receiver) => receiver.await.unwrap_or(verdict),
            None => verdict,
        };
        match verdict {
            Verdict::Send(target) => {
                pass.target = Some(target);
                Ok(pass)
            }
            Verdict::Refuse(refusal) => {
                pass.done = true;
                Err(refusal)
            }
            Verdict::Wait => unreachable!("a waiter is always told Send or Refuse"),
        }
    }

    /// Carries out what the gate decides about waiting requests.
    pub fn poll(&self) {
        let mut state = self.state.lock();
        let decided = state.gate.poll(self.clock.now(), &mut rand::rng());
        for (request, verdict) in decided {
            if let Some(waiter) = state.waiters.remove(&request) {
                // A waiter that is gone frees its place when its pass is dropped.
                let _ = waiter.send(verdict);
            }
        }
    }

    /// Why a target gets no new work now, in words; `None` where it does.
    pub fn ejection(&self, target: &id::Target) -> Option<SmolStr> {
        let now = self.clock.now();
        let ejection = self.state.lock().gate.ejection(now, target)?;
        let left = ejection.until.since(now).as_secs();
        Some(format_smolstr!("{}; tried again in {left} s", ejection.cause))
    }

    /// Sends nothing more to a target for some time; see [`Gate::suspend`].
    pub fn close_target(&self, target: &id::Target, wait: Duration, why: Exclusion) {
        self.state.lock().gate.suspend(self.clock.now(), target, wait, why);
    }

    /// Whether targets have room to take over what others hold; see [`Gate::has_spare_capacity`].
    pub fn has_refuge(&self) -> bool {
        self.state.lock().gate.has_spare_capacity()
    }

    /// What this entry's running requests hold, target by target.
    pub fn holdings(&self) -> Vec<Holding> {
        self.state.lock().gate.holdings().collect()
    }

    /// Takes in what all entries hold at several targets just now.
    pub fn look(&self, views: &[View]) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for view in views {
            state.gate.report(now, &view.target, &view.report, Duration::ZERO);
            state.gate.set_unread(&view.target, view.unread);
        }
        drop(state);
        self.poll();
    }

    fn finish(&self, request: id::Request, outcome: Outcome) {
        {
            let mut state = self.state.lock();
            state.waiters.remove(&request);
            state.gate.finish(self.clock.now(), request, outcome);
        }
        self.poll();
    }
}

/// Leave to use one target for one request; dropped without an end, it counts as cancelled.
#[derive(Debug)]
pub struct Pass {
    lane: Arc<Lane>,
    request: id::Request,
    target: Option<id::Target>,
    done: bool,
}

impl Pass {
    /// The target that the gate chose.
    pub fn target(&self) -> &id::Target {
        self.target.as_ref().expect("a pass handed out names its target")
    }

    /// Tells the gate how far the answer has come; `started` where this is news of its first
    /// token, which makes the way free for the next prompt.
    pub fn progress(&self, produced: Tokens, started: bool) {
        let now = self.lane.clock.now();
        self.lane.state.lock().gate.progress(now, self.request, produced);
        if started {
            self.lane.poll();
        }
    }

    /// The request that the gate knows this pass by.
    pub fn request(&self) -> id::Request {
        self.request
    }

    /// What decided for the target; see [`Gate::grounds`].
    pub fn grounds(&self) -> Option<Placement> {
        self.lane.state.lock().gate.grounds(self.request)
    }

    /// Where the answer's memory is best copied or moved; see [`Gate::migration_targets`].
    pub fn refuges(&self, near: &BTreeSet<id::Target>, reserve: Option<f64>) -> Vec<id::Target> {
        let now = self.lane.clock.now();
        let mut state = self.lane.state.lock();
        state.gate.migration_targets(now, &mut rand::rng(), self.request, near, reserve)
    }

    /// Whether the answer may be begun anew elsewhere; see [`Gate::try_repeat`].
    pub fn try_repeat(&self) -> bool {
        self.lane.state.lock().gate.try_repeat()
    }

    /// Notes that the answer goes on at another target.
    pub fn transfer(&mut self, to: &id::Target) {
        let now = self.lane.clock.now();
        self.lane.state.lock().gate.transfer(now, self.request, to);
        self.target = Some(to.clone());
        self.lane.poll();
    }

    /// Ends the request's use of its target.
    pub fn finish(mut self, outcome: Outcome) {
        self.done = true;
        self.lane.finish(self.request, outcome);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if !self.done {
            self.lane.finish(self.request, Outcome::Cancelled);
        }
    }
}
