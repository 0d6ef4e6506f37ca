//! The queue of requests that wait at one gate, and the order in which they are served.
//!
//! If requests waited inside the engines instead, in order of arrival, a workspace with a thousand
//! pages or long jobs would delay the single request of every other workspace, and under overload a
//! caller would learn only at its deadline that it is not served.
//!
//! Classes are served in order of priority, except that every eighth turn goes to the lowest class
//! that waits, so that none starves. Within a class, ranks are served as [`crate::rank`] says, if
//! they are in use. Within a rank, workspaces are served by start-time fair queueing: each turn goes to the workspace that has received the least work for its weight. Work
//! is counted in tokens, first as predicted and then as produced, so that one long answer counts as
//! much as many short ones. A request that was refused before is served before those that were
//! first sent after it, as long as its workspace is not far ahead of others.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use crate::fleet_share::{self, Shares};
use crate::id;
use crate::rank::{Level, Turns};
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
/// How far a workspace may be ahead in received work, as a multiple of its next request, for that
/// request to be served by the time at which it was first sent if it was refused before. Beyond
/// this, fair turns apply, or one workspace with many refused requests would delay all others.
const MAX_ADVANCE: f64 = 4.0;

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
    level: Level,
    workspace: id::Workspace,
    since: Time,
    /// When its caller first sent it, if it was refused before.
    returned: Option<Time>,
}

impl Location {
    /// Returns when its caller first sent it.
    fn first_sent(&self) -> Time {
        self.returned.unwrap_or(self.since)
    }
}

#[derive(Clone, Debug, Default)]
struct Flow {
    items: VecDeque<Item>,
    work: f64,
}

/// The queue of one gate; see the [module](self).
#[derive(Clone, Debug, Default)]
pub struct Queue {
    levels: BTreeMap<Level, BTreeMap<id::Workspace, Flow>>,
    /// Whether ranks are in use.
    is_ranked: bool,
    rank_turns: Turns,
    /// Number of waiting requests that were refused before, by level.
    returned: BTreeMap<Level, usize>,
    accounts: BTreeMap<id::Workspace, Account>,
    weights: BTreeMap<id::Workspace, f64>,
    virtual_time: f64,
    locations: HashMap<id::Request, Location>,
    turns: u32,
    fair: bool,
    /// Requests that could be sent, but wait for a target where they interrupt nothing.
    held: BTreeMap<Level, HashMap<id::Request, Time>>,
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

    /// Serves requests in the order of their ranks within their classes, or no longer. Requests that
    /// wait are moved to their places in the new order.
    pub fn set_ranked(&mut self, is_ranked: bool) {
        if self.is_ranked == is_ranked {
            return;
        }
        self.is_ranked = is_ranked;
        for request in self.in_order() {
            self.relocate(request, |_| {});
        }
    }

    /// Changes the ranks of waiting requests to those that `rank` returns for them.
    pub fn update_ranks(&mut self, rank: impl Fn(id::Request) -> Option<u8>) {
        for request in self.in_order() {
            let Some(rank) = rank(request) else { continue };
            self.relocate(request, |request| request.rank = rank);
        }
    }

    /// Returns all waiting requests, those of each workspace in their order.
    fn in_order(&self) -> Vec<id::Request> {
        let flows = self.levels.values().flat_map(BTreeMap::values);
        flows.flat_map(|flow| &flow.items).map(|item| item.request.id).collect()
    }

    /// Changes a waiting request and moves it to its new level, where it keeps its place among the
    /// requests of its workspace by the time at which it began to wait.
    fn relocate(&mut self, request: id::Request, change: impl FnOnce(&mut Request)) {
        let Some(location) = self.locations.get(&request).cloned() else { return };
        let Some(at) = self.position(&location, request) else { return };
        let flow =
            self.levels.get_mut(&location.level).and_then(|f| f.get_mut(&location.workspace));
        let Some(item) = flow.and_then(|flow| flow.items.get_mut(at)) else { return };
        change(&mut item.request);
        let changed = item.request.clone();
        let level = self.level(&changed);
        if level == location.level {
            return;
        }
        let Some(item) = self.take(location.level, &location.workspace, at) else { return };
        let flow = self.levels.entry(level).or_default().entry(location.workspace.clone());
        let flow = flow.or_default();
        let locations = &self.locations;
        let since = |item: &Item| locations.get(&item.request.id).map(|other| other.since);
        let earlier = |other: &Item| since(other).is_some_and(|since| since <= location.since);
        let place = match item.request.retry {
            true => 0,
            false => flow.items.iter().rposition(earlier).map_or(0, |at| at + 1),
        };
        flow.work += item.work;
        flow.items.insert(place, item);
        self.insert_location(request, Location { level, ..location });
    }

    fn insert_location(&mut self, request: id::Request, location: Location) {
        if location.returned.is_some() {
            *self.returned.entry(location.level).or_default() += 1;
        }
        self.locations.insert(request, location);
    }

    fn remove_location(&mut self, request: id::Request) {
        let Some(location) = self.locations.remove(&request) else { return };
        if location.returned.is_some()
            && let Some(count) = self.returned.get_mut(&location.level)
        {
            *count -= 1;
            if *count == 0 {
                self.returned.remove(&location.level);
            }
        }
    }

    /// Returns the level of a request.
    pub fn level(&self, request: &Request) -> Level {
        Level { class: request.class, rank: if self.is_ranked { request.rank } else { 0 } }
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
        let in_time = self.levels.range(..Level::first(Class::Spare));
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

    /// Holds a request with this objective: it could be sent, but waits for a better target, and does
    /// not block the requests behind it.
    pub fn hold(&mut self, request: id::Request, level: Level, objective: Time) {
        self.held.entry(level).or_default().insert(request, objective);
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
    /// workspace, except for those in `tried`, and the first behind it that is not held. A level at
    /// which a request is not held keeps less urgent ones back.
    pub fn behind_held(&self, tried: &[(Level, id::Workspace)], count: usize) -> Vec<Request> {
        let mut behind = Vec::new();
        if self.held.is_empty() {
            return behind;
        }
        for (level, flows) in &self.levels {
            let held = self.held.get(level);
            let is_held = |id| held.is_some_and(|held| held.contains_key(id));
            let mut workspaces: Vec<&id::Workspace> = flows.keys().collect();
            workspaces.sort_by(|a, b| self.order(flows, a, b));
            for workspace in workspaces {
                let is_tried = tried.iter().any(|(l, w)| l == level && w == workspace);
                let items = flows.get(workspace).into_iter().flat_map(|flow| &flow.items);
                let mut items = items.take(MAX_PASSED).map(|item| &item.request);
                behind.extend(items.next().filter(|_| !is_tried).cloned());
                behind.extend(items.find(|request| !is_held(&request.id)).cloned());
            }
            if behind.len() >= count || !self.is_all_held(*level, flows) {
                break;
            }
        }
        behind.truncate(count);
        behind
    }

    /// Returns whether every request that waits at a level is held.
    fn is_all_held(&self, level: Level, flows: &BTreeMap<id::Workspace, Flow>) -> bool {
        let held = self.held.get(&level).map_or(0, HashMap::len);
        flows.values().map(|flow| flow.items.len()).sum::<usize>() <= held
    }

    /// Returns whether a request of this level may be sent without waiting for its turn: nothing of
    /// this level or a more urgent one waits unless it is held, and no turn of a less urgent rank of its class is due.
    pub fn may_pass(&self, level: Level) -> bool {
        let ahead =
            self.levels.range(..=level).any(|(level, flows)| !self.is_all_held(*level, flows));
        let is_due = self.rank_turns.is_due(level.class) && self.has_rank_after(level);
        !ahead && !is_due
    }

    /// Records that a request of this level was sent without waiting for its turn.
    pub fn record_pass(&mut self, level: Level, workspace: &id::Workspace) {
        if self.has_rank_after(level) {
            let part = self.part_after(level, &[workspace]);
            self.rank_turns.record(level.class, true, part);
        }
    }

    /// Returns whether a less urgent rank of the same class waits.
    fn has_rank_after(&self, level: Level) -> bool {
        let after = (Bound::Excluded(level), Bound::Included(Level::last(level.class)));
        level.rank < u8::MAX && self.levels.range(after).any(|(_, flows)| !flows.is_empty())
    }

    /// Returns the part of the workspaces waiting in a class that wait only at less urgent ranks than
    /// this level, where `own`, sorted, wait at this level.
    fn part_after(&self, level: Level, own: &[&id::Workspace]) -> f64 {
        let after = (Bound::Excluded(level), Bound::Included(Level::last(level.class)));
        let others = self.levels.range(after).flat_map(|(_, flows)| flows.keys());
        let others: BTreeSet<_> = others.filter(|w| own.binary_search(w).is_err()).collect();
        others.len() as f64 / (others.len() + own.len()).max(1) as f64
    }

    /// Returns the numbers of requests that wait in [`Class::Spare`], by rank.
    pub fn late(&self) -> impl Iterator<Item = (u8, usize)> {
        let spare = self.levels.range(Level::first(Class::Spare)..);
        spare.map(|(level, flows)| (level.rank, flows.values().map(|f| f.items.len()).sum()))
    }

    /// Returns the requests of [`Class::Spare`] that were refused before and whose deadline has
    /// passed, with their ranks.
    pub fn returned_overdue(&self, now: Time) -> Vec<(id::Request, u8)> {
        let levels = self.returned.range(Level::first(Class::Spare)..);
        let flows =
            levels.filter_map(|(level, _)| self.levels.get(level)).flat_map(BTreeMap::values);
        let overdue = |item: &&Item| {
            let location = self.locations.get(&item.request.id);
            item.request.deadline <= now && location.is_some_and(|l| l.returned.is_some())
        };
        let overdue = flows.flat_map(|flow| &flow.items).filter(overdue);
        overdue.map(|item| (item.request.id, item.request.rank)).collect()
    }

    /// Returns the ranks that wait in a class, the most urgent first.
    fn waiting_ranks(&self, class: Class) -> Vec<u8> {
        let levels = self.levels.range(Level::first(class)..=Level::last(class));
        levels.filter(|(_, flows)| !flows.is_empty()).map(|(level, _)| level.rank).collect()
    }

    /// Returns whether no request of this workspace is queued at this level.
    pub fn is_first(&self, level: Level, workspace: &id::Workspace) -> bool {
        self.levels.get(&level).is_none_or(|flows| !flows.contains_key(workspace))
    }

    /// Adds a request, with `front` before all others of its workspace (a retry of an accepted
    /// request).
    pub fn push(&mut self, now: Time, item: Item, front: bool) {
        self.push_returned(now, item, front, None);
    }

    /// Adds a request that its caller first sent at `returned`, if it was refused before. It is
    /// served before requests of its workspace that were first sent later.
    pub fn push_returned(&mut self, now: Time, item: Item, front: bool, returned: Option<Time>) {
        let workspace = item.request.workspace.clone();
        let level = self.level(&item.request);
        let location = Location { level, workspace: workspace.clone(), since: now, returned };
        let first_sent = location.first_sent();
        self.insert_location(item.request.id, location);
        // An idle workspace gains no credit for work that it did not ask for.
        let account = self.accounts.entry(workspace.clone()).or_default();
        let flows = self.levels.entry(level).or_default();
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
        if front {
            flow.items.push_front(item);
            return;
        }
        if returned.is_none() {
            flow.items.push_back(item);
            return;
        }
        let locations = &self.locations;
        let is_later = |other: &Item| {
            let location = locations.get(&other.request.id);
            !other.request.retry && location.is_some_and(|l| l.first_sent() > first_sent)
        };
        let at = flow.items.iter().position(is_later).unwrap_or(flow.items.len());
        flow.items.insert(at, item);
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

    /// Returns the workspaces to serve next, in order, and their level; at most [`CANDIDATES`] of a
    /// level, so that a workspace whose request fits on no target now does not block another whose
    /// request would fit.
    pub fn next_workspaces(&self) -> Vec<(Level, id::Workspace)> {
        let lowest = self.turns % LOWEST_CLASS_INTERVAL == LOWEST_CLASS_INTERVAL - 1;
        let mut waiting = self.levels.iter().filter(|(_, flows)| !flows.is_empty());
        let spare = self.is_spare_last;
        let chosen = match lowest {
            true => waiting.clone().rfind(|(level, _)| !spare || level.class != Class::Spare),
            false => None,
        };
        let chosen = chosen.or_else(|| waiting.next());
        let Some((Level { class, .. }, _)) = chosen else { return Vec::new() };
        let ranks = self.rank_turns.order(*class, &self.waiting_ranks(*class));
        let levels = ranks.into_iter().map(|rank| Level { class: *class, rank });
        levels.flat_map(|level| self.next_of_level(level)).collect()
    }

    /// Returns the workspaces of a level to serve next, in order.
    fn next_of_level(&self, level: Level) -> Vec<(Level, id::Workspace)> {
        let Some(flows) = self.levels.get(&level) else { return Vec::new() };
        let mut next: Vec<&id::Workspace> = flows.keys().collect();
        if next.len() > CANDIDATES {
            next.select_nth_unstable_by(CANDIDATES, |a, b| self.order(flows, a, b));
            next.truncate(CANDIDATES);
        }
        next.sort_by(|a, b| self.order(flows, a, b));
        if self.returned.contains_key(&level) {
            self.advance_returned(flows, &mut next);
        }
        next.into_iter().map(|workspace| (level, workspace.clone())).collect()
    }

    /// Moves workspaces whose first request was refused before ahead of those whose first request
    /// was first sent later, unless they have received far more than the one whose turn it is.
    fn advance_returned<'a>(
        &'a self,
        flows: &'a BTreeMap<id::Workspace, Flow>,
        next: &mut Vec<&'a id::Workspace>,
    ) {
        let least = next.first().map_or(0.0, |workspace| self.received(workspace));
        let head = |flow: &Flow| {
            let item = flow.items.front()?;
            let location = self.locations.get(&item.request.id)?;
            Some((location.returned, location.first_sent(), item.work))
        };
        let mut returned: Vec<(Time, &id::Workspace)> = flows
            .iter()
            .filter_map(|(workspace, flow)| match head(flow)? {
                (Some(since), _, work) => {
                    let ahead = self.received(workspace) - least;
                    (ahead <= MAX_ADVANCE * work).then_some((since, workspace))
                }
                _ => None,
            })
            .collect();
        returned.sort();
        for (since, workspace) in returned.into_iter().take(CANDIDATES) {
            let is_later = |other: &&id::Workspace| {
                flows.get(*other).and_then(head).is_some_and(|(_, first, _)| first > since)
            };
            let Some(to) = next.iter().position(is_later) else { continue };
            let from = next.iter().position(|other| *other == workspace);
            match from {
                Some(from) if from < to => {}
                Some(from) => next[to..=from].rotate_right(1),
                None => {
                    next.insert(to, workspace);
                    next.truncate(CANDIDATES);
                }
            }
        }
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
    pub fn head(&self, level: Level, workspace: &id::Workspace) -> Option<&Item> {
        self.levels.get(&level)?.get(workspace)?.items.front()
    }

    /// Removes the first request of a workspace's queue for sending.
    pub fn pop(&mut self, now: Time, level: Level, workspace: &id::Workspace) -> Option<Item> {
        let work = self.head(level, workspace)?.work;
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.drain.advance(now, true);
            account.drain.record(work);
            self.virtual_time = self.virtual_time.max(account.received);
        }
        let served = self.received(workspace);
        if let Some(fleet) = &mut self.fleet {
            fleet.served(served);
        }
        self.record_rank_turn(level);
        let item = self.take(level, workspace, 0)?;
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

    fn record_rank_turn(&mut self, level: Level) {
        let ranks = self.waiting_ranks(level.class);
        let [first, _, ..] = ranks[..] else { return };
        let first = Level { rank: first, ..level };
        let own: Vec<_> = self.levels.get(&first).into_iter().flat_map(BTreeMap::keys).collect();
        let part = self.part_after(first, &own);
        self.rank_turns.record(level.class, level == first, part);
    }

    fn take(&mut self, level: Level, workspace: &id::Workspace, at: usize) -> Option<Item> {
        let flows = self.levels.get_mut(&level)?;
        let flow = flows.get_mut(workspace)?;
        let item = flow.items.remove(at)?;
        flow.work = (flow.work - item.work).max(0.0);
        let is_empty = flow.items.is_empty();
        self.remove_location(item.request.id);
        if is_empty {
            self.remove_flow(level, workspace);
            self.evict_account(workspace);
        }
        if !self.held.is_empty() {
            self.release(item.request.id);
        }
        Some(item)
    }

    fn remove_flow(&mut self, level: Level, workspace: &id::Workspace) {
        let Some(flows) = self.levels.get_mut(&level) else { return };
        flows.remove(workspace);
        if flows.is_empty() {
            self.levels.remove(&level);
        }
    }

    /// Drops the account of a workspace that is not ahead of the virtual time, if there are many.
    fn evict_account(&mut self, workspace: &id::Workspace) {
        if self.received_here(workspace) <= self.virtual_time && self.accounts.len() > CAPACITY {
            self.accounts.remove(workspace);
        }
    }

    /// Removes a request, for example because its caller left.
    pub fn remove(&mut self, request: id::Request) -> Option<Item> {
        let location = self.locations.get(&request)?.clone();
        let at = self.position(&location, request)?;
        self.take(location.level, &location.workspace, at)
    }

    /// Returns the position of a request in the queue of its workspace.
    fn position(&self, location: &Location, request: id::Request) -> Option<usize> {
        let flow = self.levels.get(&location.level)?.get(&location.workspace)?;
        flow.items.iter().position(|item| item.request.id == request)
    }

    /// Removes and returns the request that a more urgent one displaces from a full queue: of those
    /// with the least urgent rank the last one, in the lowest class, of the workspace with the most
    /// work there. Returns `None` if no waiting request is less urgent than `rank`, or ranks are
    /// not in use. A request that may have reached a target is not displaced.
    pub fn displace(&mut self, rank: u8) -> Option<Item> {
        if !self.is_ranked {
            return None;
        }
        let mut levels: Vec<Level> =
            self.levels.keys().copied().filter(|l| l.rank > rank).collect();
        levels.sort_by_key(|level| std::cmp::Reverse((level.rank, level.class)));
        let victim = levels.into_iter().find_map(|level| {
            let flows = self.levels.get(&level)?.values();
            let last = |flow: &Flow| {
                flow.items.iter().rfind(|item| !item.request.retry).map(|i| i.request.id)
            };
            let flows = flows.filter_map(|flow| last(flow).map(|request| (flow.work, request)));
            flows.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, request)| request)
        })?;
        self.remove(victim)
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
        for (level, flows) in &self.levels {
            if !matches!(level.class, Class::Live | Class::Overnight) {
                continue;
            }
            let items = flows.values().flat_map(|flow| &flow.items);
            let passed = items.filter(|item| item.request.objective < now + lead);
            late.extend(passed.map(|item| item.request.id));
        }
        for request in late {
            let Some(Location { since, returned, .. }) = self.locations.get(&request).cloned()
            else {
                continue;
            };
            if let Some(mut item) = self.remove(request) {
                item.request.class = Class::Spare;
                self.push_returned(now, item, false, returned);
                self.locations.entry(request).and_modify(|location| location.since = since);
            }
        }
    }

    /// Removes and returns requests of [`Class::Spare`] that became late more than `max_wait` ago,
    /// where a request is late from `lead` before its objective. Those that were late on arrival or
    /// were refused before wait until their deadline.
    pub fn shed(&mut self, now: Time, lead: Duration, max_wait: Duration) -> Vec<Item> {
        let spare = self.levels.range(Level::first(Class::Spare)..=Level::last(Class::Spare));
        let expired = |item: &&Item| {
            let location = self.locations.get(&item.request.id);
            let may_stay = location.is_some_and(|location| {
                location.returned.is_some() || item.request.objective < location.since + lead
            });
            !may_stay && item.request.objective + max_wait < now + lead
        };
        let expired: Vec<id::Request> = spare
            .flat_map(|(_, flows)| flows.values())
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
        while let Some(request) = self.overdue(now) {
            expired.extend(self.remove(request));
        }
        expired
    }

    fn overdue(&self, now: Time) -> Option<id::Request> {
        let overdue = self.first_to_expire().find(|item| item.request.deadline <= now);
        overdue.map(|item| item.request.id)
    }

    /// Returns the requests among which the next one expires: the first of each workspace and,
    /// where requests that were refused before wait, all of the level. These stand before others
    /// that arrived earlier and expire earlier.
    fn first_to_expire(&self) -> impl Iterator<Item = &Item> {
        self.levels.iter().flat_map(|(level, flows)| {
            let count = if self.returned.contains_key(level) { usize::MAX } else { 1 };
            flows.values().flat_map(move |flow| flow.items.iter().take(count))
        })
    }

    /// Returns the earliest deadline of all waiting requests whose deadline is checked next.
    pub fn next_deadline(&self) -> Option<Time> {
        self.first_to_expire().map(|item| item.request.deadline).min()
    }

    /// Returns the work that is served before a further request of this workspace with this much
    /// work: all of more urgent levels, and of its own level what fair queueing serves first.
    pub fn work_ahead(&self, level: Level, workspace: &id::Workspace, work: f64) -> f64 {
        let higher: f64 =
            self.levels.range(..level).flat_map(|(_, flows)| flows.values()).map(|f| f.work).sum();
        let Some(flows) = self.levels.get(&level) else { return higher };
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
        higher + backlog.max((own + work) / self.weight_share(level, workspace) - work)
    }

    /// Returns how long the queue of one workspace takes to drain at its recent rate; `None` while
    /// that is unknown. It can be slower than fair turns suggest, if its requests fit on fewer
    /// targets than those of others.
    pub fn own_wait(
        &mut self,
        now: Time,
        level: Level,
        workspace: &id::Workspace,
        work: f64,
    ) -> Option<Duration> {
        let work_ahead = self.own_work(level, workspace)?;
        let account = self.accounts.get_mut(workspace)?;
        account.drain.advance(now, true);
        account.drain.wait(work_ahead + work)
    }

    /// Returns the work of a workspace that waits at a level or at more urgent ranks of its class;
    /// `None` if none does.
    fn own_work(&self, level: Level, workspace: &id::Workspace) -> Option<f64> {
        let levels = self.levels.range(Level::first(level.class)..=level);
        let flows = levels.filter_map(|(_, flows)| flows.get(workspace));
        flows.map(|flow| flow.work).reduce(|sum, work| sum + work)
    }

    /// Returns the share of this workspace in the weights of all workspaces that wait at a level,
    /// itself included.
    pub fn weight_share(&self, level: Level, workspace: &id::Workspace) -> f64 {
        let own = self.weight(workspace);
        let others = self.levels.get(&level).into_iter().flat_map(|flows| flows.keys());
        let others: f64 = others.filter(|w| *w != workspace).map(|w| self.weight(w)).sum();
        own / (own + others)
    }
}
