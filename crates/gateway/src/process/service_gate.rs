//! The gate of one service behind a lock, with the requests that wait for its decision.
//!
//! Each service has a lock of its own, so services never contend with each other.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::fleet_share::{Change, Shares};
use fireflyhoist_policy::gate::{
    Gate, Holding, Outcome, Placement, Reason, Refusal, Report, Request, Settings, TargetUpdate,
    Verdict,
};
use fireflyhoist_policy::id;
use fireflyhoist_policy::observation::{self, Observer};
use fireflyhoist_policy::outlier;
use fireflyhoist_policy::pace::{Figures, Sighting};
use fireflyhoist_policy::rank::{Owner, Ranks};
use fireflyhoist_policy::reservation::{Demand, Room};
use fireflyhoist_policy::resubmission::Resubmission;
use fireflyhoist_policy::retry;
use fireflyhoist_policy::stagger::Order;
use fireflyhoist_policy::unit::Tokens;
use parking_lot::Mutex;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::oneshot;

use crate::process::clock::Clock;
use crate::process::settings::Scheduling;

/// The delay before the callers of a removed service should retry. A text that adds the service
/// again takes seconds to come into force.
const REMOVED_RETRY: Duration = Duration::from_secs(10);

/// The load of all entries together at one target.
#[derive(Clone, Debug)]
pub struct TargetLoad {
    /// The target.
    pub target: id::Target,
    /// The memory and the answers in flight there.
    pub report: Report,
    /// Prompt tokens of other entries whose prefill is not done.
    pub unread: Tokens,
    /// Its pace and the answers that can be interrupted there, as other entries announce them.
    pub pace: Figures,
}

/// The gate of one service and the requests that wait for it.
#[derive(Debug)]
pub struct ServiceGate {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    waiters: HashMap<id::Request, Waiter>,
    /// The ranks in the text in force.
    ranks: Arc<Ranks>,
}

/// A request that waits for its decision.
#[derive(Debug)]
struct Waiter {
    sender: oneshot::Sender<Verdict>,
    owner: Option<Owner>,
}

impl State {
    fn notify(&mut self, decided: Vec<(id::Request, Verdict)>) {
        for (request, verdict) in decided {
            if let Some(waiter) = self.waiters.remove(&request) {
                // A cancelled request releases its place when its pass is dropped.
                let _ = waiter.sender.send(verdict);
            }
        }
    }
}

impl State {
    /// Returns the receiver of the later decision on a request that waits.
    fn add_waiter(
        &mut self,
        request: id::Request,
        owner: Option<Owner>,
        verdict: &Verdict,
    ) -> Option<oneshot::Receiver<Verdict>> {
        (*verdict == Verdict::Wait).then(|| {
            let (sender, receiver) = oneshot::channel();
            self.waiters.insert(request, Waiter { sender, owner });
            receiver
        })
    }
}

impl ServiceGate {
    /// Creates a gate with default settings.
    pub fn open(clock: Clock) -> Arc<Self> {
        Self::with_settings(clock, Settings::default())
    }

    /// Creates a gate with the given settings.
    pub fn with_settings(clock: Clock, settings: Settings) -> Arc<Self> {
        let gate = Gate::open(settings);
        let state = State { gate, waiters: HashMap::new(), ranks: Arc::default() };
        Arc::new(Self { clock, state: Mutex::new(state) })
    }

    /// Applies the outcome of a request of another entry at a target; see [`Gate::apply_outcome`].
    pub fn apply_outcome(
        &self,
        target: &id::Target,
        from: Observer,
        outcome: observation::Outcome,
    ) {
        self.state.lock().gate.apply_outcome(self.clock.now(), target, from, outcome);
    }

    /// Takes the outcomes of this entry's requests that are to be announced to other entries.
    pub fn take_outcomes(&self) -> Vec<(id::Target, observation::Outcome)> {
        self.state.lock().gate.take_outcomes()
    }

    /// Takes the ejections since the last call, each with the time that is left of it.
    pub fn take_ejections(&self) -> Vec<(outlier::Record, Duration)> {
        let now = self.clock.now();
        let records = self.state.lock().gate.take_ejections();
        let with_rest = |record: outlier::Record| {
            let rest = record.ejection.until.since(now);
            (record, rest)
        };
        records.into_iter().map(with_rest).collect()
    }

    /// Replaces the targets. Requests that are in flight at a removed target continue.
    pub fn set_targets(&self, targets: Vec<id::Target>) {
        self.set_targets_and_cordons(targets, &BTreeSet::new());
    }

    /// Replaces the targets, and sets which are in cordoned failure domains; see
    /// [`Gate::set_cordoned`].
    pub fn set_targets_and_cordons(
        &self,
        targets: Vec<id::Target>,
        cordoned: &BTreeSet<id::Target>,
    ) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.gate.set_targets(now, targets);
        state.gate.set_cordoned(now, cordoned);
        drop(state);
        self.poll();
    }

    /// Adds and removes single targets; see [`Gate::update_targets`].
    pub fn update_targets(&self, updates: &[TargetUpdate]) {
        self.state.lock().gate.update_targets(self.clock.now(), updates);
        self.poll();
    }

    /// Returns the number of excluded targets by reason, as `REASON:COUNT` separated by spaces.
    pub fn exclusions(&self) -> SmolStr {
        let counts = self.state.lock().gate.exclusions(self.clock.now());
        let parts = counts.iter().map(|(why, count)| format!("{why}:{count}"));
        parts.collect::<Vec<_>>().join(" ").into()
    }

    /// Sets the targets whose version few have; see [`Gate::set_scarce`].
    pub fn set_scarce(&self, scarce: BTreeSet<id::Target>) {
        self.state.lock().gate.set_scarce(scarce);
    }

    /// Sets the failure domain of this entry; see [`Gate::set_own_domain`].
    pub fn set_own_domain(&self, domain: id::Domain) {
        self.state.lock().gate.set_own_domain(Some(domain));
    }

    /// Sets the failure domains of targets; see [`Gate::set_domains`].
    pub fn set_domains(&self, domains: &BTreeMap<id::Target, id::Domain>) {
        self.state.lock().gate.set_domains(domains);
    }

    /// Sets which entries send to the targets; see [`Gate::set_order`].
    pub fn set_order(&self, order: Order) {
        self.state.lock().gate.set_order(order);
    }

    /// Applies the switches of the settings.
    pub fn set_scheduling(&self, scheduling: Scheduling) {
        self.state.lock().gate.set_scheduling(|settings| {
            settings.pause_aware = scheduling.pace;
            settings.ranks = scheduling.ranks;
            settings.fleet_shares = scheduling.fleet_shares;
            settings.locality = scheduling.locality;
        });
        self.poll();
    }

    /// Applies the ranks of a text to requests that wait and to those that come later.
    pub fn set_ranks(&self, ranks: &Arc<Ranks>) {
        let mut state = self.state.lock();
        let State { gate, waiters, ranks: current } = &mut *state;
        if **current == **ranks {
            return;
        }
        *current = Arc::clone(ranks);
        gate.update_ranks(|request| ranks.rank(waiters.get(&request)?.owner.as_ref()?));
        drop(state);
        self.poll();
    }

    /// Returns the rank of requests of `owner` in the text in force; see [`Ranks::rank`].
    pub fn rank(&self, owner: &Owner) -> Option<u8> {
        self.state.lock().ranks.rank(owner)
    }

    /// Sets the objective for the time to an answer; see [`Gate::set_answer_objective`].
    pub fn set_answer_objective(&self, objective: Duration) {
        self.state.lock().gate.set_answer_objective(objective);
    }

    /// Sets the longest pause that the routes of the service allow, and the tokens of one event.
    pub fn set_pauses(&self, longest: Option<Duration>, event_tokens: u32) {
        let mut state = self.state.lock();
        state.gate.set_longest_pause(longest);
        state.gate.set_event_tokens(event_tokens);
    }

    /// Returns the number of targets where a prompt would put running answers at risk.
    pub fn targets_at_risk(&self) -> usize {
        self.state.lock().gate.targets_at_risk(self.clock.now())
    }

    /// Sets the retry budget of this entry.
    pub fn set_retries(&self, limits: retry::Limits) {
        self.state.lock().gate.set_retries(limits);
    }

    /// Records that a target has restarted.
    pub fn restarted(&self, target: &id::Target) {
        self.state.lock().gate.restarted(self.clock.now(), target);
    }

    /// Forgets the pace of a target that has a new address.
    pub fn reset_pace(&self, target: &id::Target) {
        self.state.lock().gate.reset_pace(target);
    }

    /// Applies the values of the text in force: the weights of workspaces, and the objective of the
    /// service for the time between tokens.
    pub fn configure(&self, weights: &BTreeMap<id::Workspace, f64>, token_interval: Duration) {
        let mut state = self.state.lock();
        state.gate.set_weights(weights.clone());
        state.gate.set_token_interval(token_interval);
    }

    /// Refuses all waiting requests, because the service is no longer in the text.
    ///
    /// Without this, waiting requests would never be answered, not even at their deadlines: the
    /// gate of a removed service is no longer polled. Requests that are in flight continue to their
    /// end.
    pub fn close(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let waiters = std::mem::take(&mut state.waiters);
        for (request, waiter) in waiters {
            state.gate.finish(now, request, Outcome::Cancelled);
            let refusal = Refusal { reason: Reason::NoTarget, retry_after: REMOVED_RETRY };
            // The receiver is dropped if the request was cancelled.
            let _ = waiter.sender.send(Verdict::Refuse(refusal));
        }
    }

    /// Sets the number of entries in the published host list, and the index of this one.
    pub fn set_entries(&self, entries: usize, own: Option<usize>) {
        self.state.lock().gate.set_entries(self.clock.now(), entries, own);
    }

    /// Applies a report that was made at its engine `age` ago.
    pub fn apply_report(&self, target: &id::Target, report: &Report, age: Duration) {
        self.state.lock().gate.report(self.clock.now(), target, report, age);
        self.poll();
    }

    /// Waits for the decision on a request, and returns a pass for the target that was chosen.
    pub async fn admit(self: &Arc<Self>, request: Request) -> Result<Pass, Refusal> {
        self.admit_ranked(request, None, None).await
    }

    /// Waits for the decision on a request like [`ServiceGate::admit`].
    ///
    /// Its rank is that of `owner` in the text in force, also if that changes while it waits.
    /// `earlier` holds its earlier attempts if it was refused before.
    pub async fn admit_ranked(
        self: &Arc<Self>,
        mut request: Request,
        owner: Option<Owner>,
        earlier: Option<Resubmission>,
    ) -> Result<Pass, Refusal> {
        let id = request.id;
        let (verdict, waiter) = {
            let mut state = self.state.lock();
            let rank = owner.as_ref().and_then(|owner| state.ranks.rank(owner));
            request.rank = rank.unwrap_or(request.rank);
            let (now, mut rng) = (self.clock.now(), rand::rng());
            let verdict = state.gate.offer_returned(now, &mut rng, request, earlier);
            let waiter = state.add_waiter(id, owner.clone(), &verdict);
            let displaced = state.gate.take_displaced();
            state.notify(displaced);
            (verdict, waiter)
        };
        // The gate counts the request from here on. The pass releases what it holds if it is
        // dropped, or if this future is dropped while it waits.
        let gate = Arc::clone(self);
        let mut pass = Pass { gate, request: id, owner, target: None, done: false };
        pass.settle(verdict, waiter).await?;
        Ok(pass)
    }

    /// Decides at once on a request that may run only at the targets in `allowed`; see
    /// [`Gate::offer_among`].
    pub fn admit_among(
        self: &Arc<Self>,
        request: Request,
        allowed: &BTreeSet<id::Target>,
    ) -> Result<Pass, Refusal> {
        let id = request.id;
        let now = self.clock.now();
        let verdict = self.state.lock().gate.offer_among(now, &mut rand::rng(), request, allowed);
        match verdict {
            Verdict::Send(target) => {
                let gate = Arc::clone(self);
                Ok(Pass { gate, request: id, owner: None, target: Some(target), done: false })
            }
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Wait => unreachable!("the gate decides on it at once"),
        }
    }

    /// Lets the gate decide on waiting requests, and notifies those that it decides.
    pub fn poll(&self) {
        let mut state = self.state.lock();
        let decided = state.gate.poll(self.clock.now(), &mut rand::rng());
        state.notify(decided);
    }

    /// Returns why a target is ejected and for how long, as shown to operators; `None` if it is not
    /// ejected.
    pub fn ejection(&self, target: &id::Target) -> Option<SmolStr> {
        let now = self.clock.now();
        let ejection = self.state.lock().gate.ejection(now, target)?;
        let left = ejection.until.since(now).as_secs();
        Some(format_smolstr!("{}; tried again in {left} s", ejection.cause))
    }

    /// Sends no more requests to a target for `wait`; see [`Gate::suspend`].
    pub fn suspend_target(&self, target: &id::Target, wait: Duration, why: Exclusion) {
        self.state.lock().gate.suspend(self.clock.now(), target, wait, why);
    }

    /// Returns whether the targets have room for the answers of targets that leave; see
    /// [`Gate::has_spare_capacity`].
    pub fn has_spare_capacity(&self) -> bool {
        self.state.lock().gate.has_spare_capacity()
    }

    /// Returns what this entry's in-flight requests hold at each target.
    pub fn holdings(&self) -> Vec<Holding> {
        self.state.lock().gate.holdings().collect()
    }

    /// Returns what workspaces use through this entry; see [`Gate::shares`].
    pub fn shares(&self) -> Shares {
        self.state.lock().gate.shares(self.clock.now())
    }

    /// Sets what workspaces use through the other entries, and returns which have become heavy or
    /// ceased to be.
    pub fn set_others(&self, others: Shares) -> Vec<Change> {
        let mut state = self.state.lock();
        state.gate.set_others(self.clock.now(), others);
        state.gate.take_heavy_changes()
    }

    /// Returns the number of heavy workspaces; see [`Gate::heavy_workspaces`].
    pub fn heavy_workspaces(&self) -> usize {
        self.state.lock().gate.heavy_workspaces()
    }

    /// Updates the current load of all entries together at several targets.
    pub fn update_loads(&self, loads: &[TargetLoad]) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for load in loads {
            state.gate.report(now, &load.target, &load.report, Duration::ZERO);
            state.gate.set_unread(&load.target, load.unread);
            state.gate.set_pace(now, &load.target, load.pace);
        }
        drop(state);
        self.poll();
    }

    /// Returns what a target has room for without a request of this entry; see [`Gate::room`].
    pub fn room(&self, target: &id::Target, own: Option<id::Request>) -> Option<Room> {
        self.state.lock().gate.room(target, own)
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

/// The permission to use one target for one request. If it is dropped without
/// [`finish`](Self::finish), the request counts as cancelled.
#[derive(Debug)]
pub struct Pass {
    gate: Arc<ServiceGate>,
    request: id::Request,
    /// Whose rank it has; `None` for a request that never waits.
    owner: Option<Owner>,
    target: Option<id::Target>,
    done: bool,
}

impl Pass {
    /// Returns the target that was chosen.
    pub fn target(&self) -> &id::Target {
        self.target.as_ref().expect("an admitted request has a target")
    }

    /// Waits for the decision on the request if there is none yet, and sets the target.
    async fn settle(
        &mut self,
        verdict: Verdict,
        waiter: Option<oneshot::Receiver<Verdict>>,
    ) -> Result<(), Refusal> {
        let verdict = match waiter {
            Some(receiver) => receiver.await.unwrap_or(verdict),
            None => verdict,
        };
        match verdict {
            Verdict::Send(target) => {
                self.target = Some(target);
                Ok(())
            }
            Verdict::Refuse(refusal) => {
                self.done = true;
                Err(refusal)
            }
            Verdict::Wait => unreachable!("a waiting request is decided by Send or Refuse"),
        }
    }

    /// Returns what the request needs at its target; see [`Gate::demand`].
    pub fn demand(&self) -> Option<Demand> {
        let now = self.gate.clock.now();
        self.gate.state.lock().gate.demand(now, self.request)
    }

    /// Chooses another target, because the owner of this one deferred the request for `wait`; see
    /// [`Gate::defer`].
    pub async fn defer(&mut self, wait: Duration, draw: bool) -> Result<(), Refusal> {
        let (verdict, waiter) = {
            let (now, mut state) = (self.gate.clock.now(), self.gate.state.lock());
            let verdict = state.gate.defer(now, &mut rand::rng(), self.request, wait, draw);
            let owner = self.owner.clone();
            let waiter = state.add_waiter(self.request, owner, &verdict);
            (verdict, waiter)
        };
        self.settle(verdict, waiter).await
    }

    /// Records that the answer has `produced` tokens in all. `started` is set for the first token,
    /// after which the target can take the next prompt. Returns what the latest event showed about
    /// the target.
    pub fn progress(&self, produced: Tokens, started: bool) -> Sighting {
        let now = self.gate.clock.now();
        let sighting = {
            let mut state = self.gate.state.lock();
            state.gate.progress(now, self.request, produced);
            state.gate.take_sighting()
        };
        if started {
            self.gate.poll();
        }
        sighting
    }

    /// Returns the id of the request.
    pub fn request(&self) -> id::Request {
        self.request
    }

    /// Returns the state of the target when it was chosen; see [`Gate::placement`].
    pub fn placement(&self) -> Option<Placement> {
        self.gate.state.lock().gate.placement(self.request)
    }

    /// Returns the targets to copy or migrate the answer's memory to, best first; see
    /// [`Gate::migration_targets`].
    pub fn migration_targets(
        &self,
        near: &BTreeSet<id::Target>,
        reserve: Option<f64>,
    ) -> Vec<id::Target> {
        let now = self.gate.clock.now();
        let mut state = self.gate.state.lock();
        state.gate.migration_targets(now, &mut rand::rng(), self.request, near, reserve)
    }

    /// Takes a retry from the budget to restart the answer at another target; see
    /// [`Gate::try_repeat`].
    pub fn try_repeat(&self) -> bool {
        self.gate.state.lock().gate.try_repeat()
    }

    /// Records that the answer continues at another target.
    pub fn transfer(&mut self, to: &id::Target) {
        let now = self.gate.clock.now();
        self.gate.state.lock().gate.transfer(now, self.request, to);
        self.target = Some(to.clone());
        self.gate.poll();
    }

    /// Releases the target and records the outcome of the request.
    pub fn finish(mut self, outcome: Outcome) {
        self.done = true;
        self.gate.finish(self.request, outcome);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if !self.done {
            self.gate.finish(self.request, Outcome::Cancelled);
        }
    }
}
