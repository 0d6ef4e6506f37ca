//! The queue of requests that wait at one gate, and the order in which they are served.
//!
//! If requests waited inside the engines instead, in order of arrival, a workspace with a thousand
//! pages or long jobs would delay the single request of every other workspace, and under overload a
//! caller would learn only at its deadline that it is not served.
//!
//! Classes are served in order of priority, except that every eighth turn goes to the lowest class
//! that waits, so that none starves. Within a class, workspaces are served by start-time fair
//! queueing: each turn goes to the workspace that has received the least work for its weight. Work
//! is counted in tokens, first as predicted and then as produced, so that one long answer counts as
//! much as many short ones.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::fleet_share::{self, Shares};
use crate::id;
use crate::request::{Class, Request};
use crate::throughput::Meter;
use crate::time::Time;

/// Capacity of the queue of one gate; a request takes about 300 bytes.
pub const CAPACITY: usize = 16_384;

/// One turn in this many goes to the lowest class that waits.
const LOWEST_CLASS_INTERVAL: u32 = 8;

/// Workspaces tried in one turn, at most.
const CANDIDATES: usize = 4;

/// Held requests of one workspace that are passed in one turn, at most.
const MAX_PASSED: usize = 32;

/// A queued request.
#[derive(Clone, Debug)]
pub struct Item {
    /// The request.
    pub request: Request,
    /// Its predicted work in tokens.
    pub work: f64,
}

/// Fair-queueing state of a workspace; it outlives the workspace's queued requests.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Work received, divided by the weight: its virtual time in fair queueing.
    received: f64,
    /// Drain rate of its own queue.
    drain: Meter,
}

/// Location of a queued request.
#[derive(Clone, Debug)]
struct Location {
    class: Class,
    workspace: id::Workspace,
    since: Time,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    items: VecDeque<Item>,
    work: f64,
}

/// The queue of one gate; see the [module](self).
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: BTreeMap<Class, BTreeMap<id::Workspace, Flow>>,
    accounts: BTreeMap<id::Workspace, Account>,
    weights: BTreeMap<id::Workspace, f64>,
    virtual_time: f64,
    locations: HashMap<id::Request, Location>,
    turns: u32,
    fair: bool,
    /// Requests that could be sent, but wait for a target where they interrupt nothing.
    held: BTreeMap<Class, HashMap<id::Request, Time>>,
    /// Work received through all entries, by which turns are given instead of by `accounts`.
    fleet: Option<fleet_share::Ledger>,
    /// Whether [`Class::Spare`] is left out of the turns of the lowest class.
    is_spare_last: bool,
}

impl Queue {
    /// Creates an empty queue. Without `fair`, the workspace whose first request has the earliest
    /// deadline is served next.
    pub fn open(fair: bool) -> Self {
        Self { fair, ..Self::default() }
    }

    /// Serves [`Class::Spare`] only when no other class waits; see [`crate::shedding`].
    pub fn with_spare_last(self, is_spare_last: bool) -> Self {
        Self { is_spare_last, ..self }
    }

    /// Sets the weights of workspaces; those without a weight have weight 1.
    pub fn set_weights(&mut self, weights: BTreeMap<id::Workspace, f64>) {
        self.weights = weights;
    }

    /// Counts the work that other entries give to workspaces in fair turns, or no longer does.
    pub fn set_fleet_shares(&mut self, is_on: bool) {
        if is_on != self.fleet.is_some() {
            self.fleet = is_on.then(fleet_share::Ledger::default);
        }
    }

    /// Replaces the work that the other entries gave to workspaces lately.
    pub fn set_others(&mut self, now: Time, others: &Shares) {
        if let Some(fleet) = &mut self.fleet {
            fleet.set_others(now, others);
        }
    }

    /// Lets received work decay until `now`, where other entries are counted.
    pub fn advance(&mut self, now: Time) {
        if let Some(fleet) = &mut self.fleet {
            fleet.advance(now);
        }
    }

    /// Adds the work that each workspace received lately through this entry, and the memory that its
    /// queued requests need, to what it uses. Late requests use only what others leave, so nobody
    /// leaves anything free for them.
    pub fn add_amounts(&self, amounts: &mut BTreeMap<id::Workspace, fleet_share::Amount>) {
        for (workspace, received) in self.fleet.iter().flat_map(fleet_share::Ledger::received) {
            amounts.entry(workspace.clone()).or_default().received += received;
        }
        let in_time = self.classes.range(..Class::Spare);
        for (workspace, flow) in in_time.flat_map(|(_, flows)| flows) {
            let prompts: u64 = flow.items.iter().map(|item| item.request.prompt.get()).sum();
            amounts.entry(workspace.clone()).or_default().waiting += prompts + flow.work as u64;
        }
    }

    pub(crate) fn weight(&self, workspace: &id::Workspace) -> f64 {
        self.weights.get(workspace).copied().unwrap_or(1.0).max(0.01)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns whether no request of this class or a higher one is queued, except for those that are
    /// held.
    pub fn is_empty_through(&self, class: Class) -> bool {
        self.classes.range(..=class).all(|(class, flows)| {
            let held = self.held.get(class).map_or(0, HashMap::len);
            flows.is_empty()
                || held > 0 && flows.values().map(|flow| flow.items.len()).sum::<usize>() <= held
        })
    }

    /// Holds a request with this objective: it could be sent, but waits for a better target, and does
    /// not block the requests behind it.
    pub fn hold(&mut self, request: id::Request, class: Class, objective: Time) {
        self.held.entry(class).or_default().insert(request, objective);
    }

    /// Ends the hold on requests with an objective until a time.
    pub fn release_until(&mut self, objective: Time) {
        self.held.retain(|_, held| {
            held.retain(|_, of_request| *of_request > objective);
            !held.is_empty()
        });
    }

    /// Ends the hold on a request.
    pub fn release(&mut self, request: id::Request) {
        self.held.retain(|_, held| {
            held.remove(&request);
            !held.is_empty()
        });
    }

    /// Returns up to `count` requests that may be sent although others are held: the first of each
    /// workspace, except for those in `tried`, and the first behind it that is not held. A class in
    /// which a request is not held keeps lower classes back.
    pub fn behind_held(&self, tried: &[(Class, id::Workspace)], count: usize) -> Vec<Request> {
        let mut behind = Vec::new();
        if self.held.is_empty() {
            return behind;
        }
        for (class, flows) in &self.classes {
            let held = self.held.get(class);
            let is_held = |id| held.is_some_and(|held| held.contains_key(id));
            let mut workspaces: Vec<&id::Workspace> = flows.keys().collect();
            workspaces.sort_by(|a, b| self.order(flows, a, b));
            for workspace in workspaces {
                let is_tried = tried.iter().any(|(c, w)| c == class && w == workspace);
                let items = flows.get(workspace).into_iter().flat_map(|flow| &flow.items);
                let mut items = items.take(MAX_PASSED).map(|item| &item.request);
                behind.extend(items.next().filter(|_| !is_tried).cloned());
                behind.extend(items.find(|request| !is_held(&request.id)).cloned());
            }
            if behind.len() >= count
                || flows.values().map(|flow| flow.items.len()).sum::<usize>()
                    > held.map_or(0, HashMap::len)
            {
                break;
            }
        }
        behind.truncate(count);
        behind
    }

    /// Returns whether no request of this workspace is queued in this class.
    pub fn is_first(&self, class: Class, workspace: &id::Workspace) -> bool {
        self.classes.get(&class).is_none_or(|flows| !flows.contains_key(workspace))
    }

    /// Adds a request, with `front` before all others of its workspace (a retry of an accepted
    /// request).
    pub fn push(&mut self, now: Time, item: Item, front: bool) {
        let workspace = item.request.workspace.clone();
        let location =
            Location { class: item.request.class, workspace: workspace.clone(), since: now };
        self.locations.insert(item.request.id, location);
        // An idle workspace gains no credit for work that it did not ask for.
        let account = self.accounts.entry(workspace.clone()).or_default();
        let flows = self.classes.entry(item.request.class).or_default();
        let waiting = flows.contains_key(&workspace);
        account.drain.advance(now, waiting);
        if !waiting {
            account.received = account.received.max(self.virtual_time);
        }
        let weight = self.weights.get(&workspace).copied().unwrap_or(1.0).max(0.01);
        if let Some(fleet) = self.fleet.as_mut().filter(|_| !waiting) {
            fleet.begin(&workspace, weight);
        }
        let flow = flows.entry(workspace).or_default();
        flow.work += item.work;
        if front { flow.items.push_front(item) } else { flow.items.push_back(item) }
    }

    /// Adds a request that could not be sent before all others of its workspace. `waited` tells
    /// whether it was removed by [`Queue::pop`], and so counts as one that left the queue.
    pub fn put_back(&mut self, now: Time, item: Item, waited: bool) {
        if waited && let Some(account) = self.accounts.get_mut(&item.request.workspace) {
            account.drain.take_back(item.work);
        }
        self.push(now, item, true);
    }

    /// Charges work to a workspace, or refunds it where `work` is negative.
    pub fn charge(&mut self, workspace: &id::Workspace, work: f64) {
        let weight = self.weight(workspace);
        let floor = self.virtual_time;
        let new = || Account { received: floor, drain: Meter::default() };
        let account = self.accounts.entry(workspace.clone()).or_insert_with(new);
        account.received = (account.received + work / weight).max(0.0);
        if let Some(fleet) = &mut self.fleet {
            fleet.charge(workspace, work);
        }
    }

    /// Returns the workspaces to serve next, in order, and their class; at most [`CANDIDATES`], so
    /// that a workspace whose request fits on no target now does not block another whose request
    /// would fit.
    pub fn next_workspaces(&self) -> Vec<(Class, id::Workspace)> {
        let lowest = self.turns % LOWEST_CLASS_INTERVAL == LOWEST_CLASS_INTERVAL - 1;
        let mut waiting = self.classes.iter().filter(|(_, flows)| !flows.is_empty());
        let spare = self.is_spare_last;
        let chosen = match lowest {
            true => waiting.clone().rfind(|(class, _)| !spare || **class != Class::Spare),
            false => None,
        };
        let chosen = chosen.or_else(|| waiting.next());
        let Some((class, flows)) = chosen else { return Vec::new() };
        let mut next: Vec<&id::Workspace> = flows.keys().collect();
        if next.len() > CANDIDATES {
            next.select_nth_unstable_by(CANDIDATES, |a, b| self.order(flows, a, b));
            next.truncate(CANDIDATES);
        }
        next.sort_by(|a, b| self.order(flows, a, b));
        next.into_iter().map(|workspace| (*class, workspace.clone())).collect()
    }

    /// Returns the work received, divided by the weight, in the order of which workspaces are served.
    fn received(&self, workspace: &id::Workspace) -> f64 {
        match &self.fleet {
            Some(fleet) => fleet.level(workspace) / self.weight(workspace),
            None => self.received_here(workspace),
        }
    }

    fn received_here(&self, workspace: &id::Workspace) -> f64 {
        self.accounts.get(workspace).map_or(0.0, |account| account.received)
    }

    fn order(
        &self,
        flows: &BTreeMap<id::Workspace, Flow>,
        a: &id::Workspace,
        b: &id::Workspace,
    ) -> std::cmp::Ordering {
        if self.fair {
            return self.received(a).total_cmp(&self.received(b));
        }
        let deadline = |w| flows.get(w).and_then(|f| f.items.front()).map(|i| i.request.deadline);
        deadline(a).cmp(&deadline(b))
    }

    /// Returns the first request of a workspace's queue.
    pub fn head(&self, class: Class, workspace: &id::Workspace) -> Option<&Item> {
        self.classes.get(&class)?.get(workspace)?.items.front()
    }

    /// Removes the first request of a workspace's queue for sending.
    pub fn pop(&mut self, now: Time, class: Class, workspace: &id::Workspace) -> Option<Item> {
        let work = self.head(class, workspace)?.work;
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.drain.advance(now, true);
            account.drain.record(work);
            self.virtual_time = self.virtual_time.max(account.received);
        }
        let level = self.received(workspace);
        if let Some(fleet) = &mut self.fleet {
            fleet.served(level);
        }
        let item = self.take(class, workspace, 0)?;
        self.turns = self.turns.wrapping_add(1);
        Some(item)
    }

    /// Removes a request for sending that need not be the first of its workspace's queue.
    pub fn pop_request(&mut self, now: Time, request: id::Request) -> Option<Item> {
        let item = self.remove(request)?;
        if let Some(account) = self.accounts.get_mut(&item.request.workspace) {
            account.drain.advance(now, true);
            account.drain.record(item.work);
            self.virtual_time = self.virtual_time.max(account.received);
        }
        self.turns = self.turns.wrapping_add(1);
        Some(item)
    }

    fn take(&mut self, class: Class, workspace: &id::Workspace, at: usize) -> Option<Item> {
        let flows = self.classes.get_mut(&class)?;
        let flow = flows.get_mut(workspace)?;
        let item = flow.items.remove(at)?;
        flow.work = (flow.work - item.work).max(0.0);
        self.locations.remove(&item.request.id);
        if flow.items.is_empty() {
            flows.remove(workspace);
            self.evict_account(workspace);
        }
        if !self.held.is_empty() {
            self.release(item.request.id);
        }
        Some(item)
    }

    /// Drops the account of a workspace that is not ahead of the virtual time, if there are many.
    fn evict_account(&mut self, workspace: &id::Workspace) {
        if self.received_here(workspace) <= self.virtual_time && self.accounts.len() > CAPACITY {
            self.accounts.remove(workspace);
        }
    }

    /// Removes a request, for example because its caller left.
    pub fn remove(&mut self, request: id::Request) -> Option<Item> {
        let Location { class, workspace, .. } = self.locations.get(&request)?.clone();
        let flow = self.classes.get(&class)?.get(&workspace)?;
        let at = flow.items.iter().position(|item| item.request.id == request)?;
        self.take(class, &workspace, at)
    }

    /// Moves generations that can no longer begin by their objective to [`Class::Spare`], the
    /// lowest class.
    ///
    /// Under overload that lasts for seconds the queue grows longer than the objective. If it were
    /// served in order of arrival, every answer would begin late, including those that could have
    /// begun on time. A late answer is worth a sixth of one that is on time to the users, so it
    /// still waits for room, in the lowest class. That class gets every eighth turn, unless
    /// [`Queue::with_spare_last`] leaves it out.
    pub fn demote(&mut self, now: Time, lead: Duration) {
        let mut late = Vec::new();
        for (class, flows) in &self.classes {
            if !matches!(class, Class::Live | Class::Overnight) {
                continue;
            }
            let items = flows.values().flat_map(|flow| &flow.items);
            let passed = items.filter(|item| item.request.objective < now + lead);
            late.extend(passed.map(|item| item.request.id));
        }
        for request in late {
            let since = self.locations.get(&request).map_or(now, |location| location.since);
            if let Some(mut item) = self.remove(request) {
                item.request.class = Class::Spare;
                self.push(now, item, false);
                self.locations.entry(request).and_modify(|location| location.since = since);
            }
        }
    }

    /// Removes and returns requests of [`Class::Spare`] that became late more than `max_wait` ago,
    /// where a request is late from `lead` before its objective. Those that were late on arrival
    /// wait until their deadline.
    pub fn shed(&mut self, now: Time, lead: Duration, max_wait: Duration) -> Vec<Item> {
        let spare = self.classes.get(&Class::Spare).into_iter().flat_map(BTreeMap::values);
        let expired = |item: &&Item| {
            let location = self.locations.get(&item.request.id);
            let late_on_arrival = location.is_some_and(|p| item.request.objective < p.since + lead);
            !late_on_arrival && item.request.objective + max_wait < now + lead
        };
        let expired: Vec<id::Request> = spare
            .flat_map(|flow| &flow.items)
            .filter(expired)
            .map(|item| item.request.id)
            .collect();
        expired.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<Item> {
        let all: Vec<id::Request> = self.locations.keys().copied().collect();
        all.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    /// Removes and returns requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some((class, workspace)) = self.overdue(now) {
            expired.extend(self.take(class, &workspace, 0));
        }
        expired
    }

    fn overdue(&self, now: Time) -> Option<(Class, id::Workspace)> {
        self.heads()
            .find(|(_, _, item)| item.request.deadline <= now)
            .map(|(c, w, _)| (c, w.clone()))
    }

    fn heads(&self) -> impl Iterator<Item = (Class, &id::Workspace, &Item)> {
        self.classes.iter().flat_map(|(class, flows)| {
            flows.iter().filter_map(|(workspace, flow)| {
                flow.items.front().map(|item| (*class, workspace, item))
            })
        })
    }

    /// Returns the earliest deadline among the first requests of all workspaces.
    pub fn next_deadline(&self) -> Option<Time> {
        self.heads().map(|(_, _, item)| item.request.deadline).min()
    }

    /// Returns the work that is served before a further request of this workspace with this much
    /// work: all of higher classes, and of its own class what fair queueing serves first.
    pub fn work_ahead(&self, class: Class, workspace: &id::Workspace, work: f64) -> f64 {
        let higher: f64 =
            self.classes.range(..class).flat_map(|(_, flows)| flows.values()).map(|f| f.work).sum();
        let Some(flows) = self.classes.get(&class) else { return higher };
        if !self.fair {
            return higher + flows.values().map(|f| f.work).sum::<f64>();
        }
        let own = flows.get(workspace).map_or(0.0, |f| f.work);
        let floor = if self.fleet.is_some() { 0.0 } else { self.virtual_time };
        let received = |w| self.received(w).max(floor);
        let end = received(workspace) + (own + work) / self.weight(workspace);
        let others = flows.iter().filter(|(w, _)| *w != workspace).map(|(w, flow)| {
            let turns = (end - received(w)).max(0.0) * self.weight(w);
            turns.min(flow.work)
        });
        let backlog = own + others.sum::<f64>();
        // Workspaces that keep sending requests also take their part of later turns.
        higher + backlog.max((own + work) / self.weight_share(class, workspace) - work)
    }

    /// Returns how long the queue of one workspace takes to drain at its recent rate; `None` while
    /// that is unknown. It can be slower than fair turns suggest, if its requests fit on fewer
    /// targets than those of others.
    pub fn own_wait(
        &mut self,
        now: Time,
        class: Class,
        workspace: &id::Workspace,
        work: f64,
    ) -> Option<Duration> {
        let flow = self.classes.get(&class)?.get(workspace)?;
        let account = self.accounts.get_mut(workspace)?;
        account.drain.advance(now, true);
        account.drain.wait(flow.work + work)
    }

    /// Returns the share of this workspace in the weights of all workspaces that wait in a class,
    /// itself included.
    pub fn weight_share(&self, class: Class, workspace: &id::Workspace) -> f64 {
        let own = self.weight(workspace);
        let others = self.classes.get(&class).into_iter().flat_map(|flows| flows.keys());
        let others: f64 = others.filter(|w| *w != workspace).map(|w| self.weight(w)).sum();
        own / (own + others)
    }
}
