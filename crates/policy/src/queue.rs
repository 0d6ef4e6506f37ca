//! Who waits at the entry, and in which order they go.
//!
//! Load pattern: a hot caller, long jobs among short ones, overload. Without a queue of the
//! entry's own, everything waits inside the engines in order of arrival: one workspace's thousand
//! pages stand before everyone else's one, and a caller learns only at its deadline that it would
//! not be served.
//!
//! Classes go in order, and every eighth turn belongs to the lowest that waits, so that none
//! starves. Within a class, workspaces are served by start-time fair queueing: each turn goes to
//! the one that has received the least work for its weight, and work is counted in tokens, first
//! as predicted and then as produced, so that one long answer weighs as much as many short ones.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::drain::Drain;
use crate::id;
use crate::request::{Class, Request};
use crate::time::Time;

/// The most requests that wait at one gate; a request takes about 300 bytes.
pub const BOUND: usize = 16_384;

/// One turn in so many goes to the lowest class that waits.
const LOWEST_TURN: u32 = 8;

/// Workspaces tried in one turn.
const CANDIDATES: usize = 4;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Item {
    /// What was asked.
    pub ask: Request,
    /// Its predicted work in tokens.
    pub work: f64,
}

/// What is remembered of a workspace, waiting or not.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Work received for its weight: the virtual time of fair queueing.
    received: f64,
    /// How fast its own line drains.
    drain: Drain,
}

/// Where a request waits.
#[derive(Clone, Debug)]
struct Place {
    class: Class,
    workspace: id::Workspace,
    since: Time,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    items: VecDeque<Item>,
    work: f64,
}

/// The queue of one gate.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: BTreeMap<Class, BTreeMap<id::Workspace, Flow>>,
    accounts: BTreeMap<id::Workspace, Account>,
    weights: BTreeMap<id::Workspace, f64>,
    virtual_time: f64,
    places: HashMap<id::Request, Place>,
    turns: u32,
    fair: bool,
    /// Whether late requests have no turns of their own among the others.
    is_spare_last: bool,
}

impl Queue {
    /// Opens an empty queue; without `fair` it goes by order of arrival alone.
    pub fn open(fair: bool) -> Self {
        Self { fair, ..Self::default() }
    }

    /// Gives late requests no turns but those that nobody else wants; see [`crate::late`].
    pub fn with_spare_last(self, is_spare_last: bool) -> Self {
        Self { is_spare_last, ..self }
    }

    /// Sets the weights of workspaces; others weigh one.
    pub fn set_weights(&mut self, weights: BTreeMap<id::Workspace, f64>) {
        self.weights = weights;
    }

    fn weight(&self, workspace: &id::Workspace) -> f64 {
        self.weights.get(workspace).copied().unwrap_or(1.0).max(0.01)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether none of this class or a better one waits.
    pub fn is_clear(&self, class: Class) -> bool {
        self.classes.range(..=class).all(|(_, flows)| flows.is_empty())
    }

    /// Whether this workspace has none waiting.
    pub fn is_first(&self, class: Class, workspace: &id::Workspace) -> bool {
        self.classes.get(&class).is_none_or(|flows| !flows.contains_key(workspace))
    }

    /// Adds a request; a further attempt of an accepted one goes before its workspace's others.
    pub fn push(&mut self, now: Time, item: Item, front: bool) {
        let workspace = item.ask.workspace.clone();
        let place = Place { class: item.ask.class, workspace: workspace.clone(), since: now };
        self.places.insert(item.ask.id, place);
        // An idle workspace saves up no claim on the past.
        let account = self.accounts.entry(workspace.clone()).or_default();
        let flows = self.classes.entry(item.ask.class).or_default();
        let waiting = flows.contains_key(&workspace);
        account.drain.pass(now, waiting);
        if !waiting {
            account.received = account.received.max(self.virtual_time);
        }
        let flow = flows.entry(workspace).or_default();
        flow.work += item.work;
        if front { flow.items.push_front(item) } else { flow.items.push_back(item) }
    }

    /// Counts work done for a workspace, or takes back what was counted too much.
    pub fn charge(&mut self, workspace: &id::Workspace, work: f64) {
        let weight = self.weight(workspace);
        let floor = self.virtual_time;
        let new = || Account { received: floor, drain: Drain::default() };
        let account = self.accounts.entry(workspace.clone()).or_insert_with(new);
        account.received = (account.received + work / weight).max(0.0);
    }

    /// The workspaces whose turns are next, and their class; at most [`CANDIDATES`], so that one
    /// whose request does not fit anywhere now does not keep room from another's that would.
    pub fn turns(&self) -> Vec<(Class, id::Workspace)> {
        let lowest = self.turns % LOWEST_TURN == LOWEST_TURN - 1;
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

    fn received(&self, workspace: &id::Workspace) -> f64 {
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
        let oldest = |w| flows.get(w).and_then(|f| f.items.front()).map(|i| i.ask.deadline);
        oldest(a).cmp(&oldest(b))
    }

    /// The request at the head of a workspace's line.
    pub fn head(&self, class: Class, workspace: &id::Workspace) -> Option<&Item> {
        self.classes.get(&class)?.get(workspace)?.items.front()
    }

    /// Takes the head of a workspace's line for sending.
    pub fn pop(&mut self, now: Time, class: Class, workspace: &id::Workspace) -> Option<Item> {
        let work = self.head(class, workspace)?.work;
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.drain.pass(now, true);
            account.drain.take(work);
            self.virtual_time = self.virtual_time.max(account.received);
        }
        let item = self.take(class, workspace, 0)?;
        self.turns = self.turns.wrapping_add(1);
        Some(item)
    }

    fn take(&mut self, class: Class, workspace: &id::Workspace, at: usize) -> Option<Item> {
        let flows = self.classes.get_mut(&class)?;
        let flow = flows.get_mut(workspace)?;
        let item = flow.items.remove(at)?;
        flow.work = (flow.work - item.work).max(0.0);
        self.places.remove(&item.ask.id);
        if flow.items.is_empty() {
            flows.remove(workspace);
            self.forget(workspace);
        }
        Some(item)
    }

    /// Drops what is known of workspaces that have no more than the present virtual time.
    fn forget(&mut self, workspace: &id::Workspace) {
        if self.received(workspace) <= self.virtual_time && self.accounts.len() > BOUND {
            self.accounts.remove(workspace);
        }
    }

    /// Forgets a request whose caller went away.
    pub fn remove(&mut self, request: id::Request) -> Option<Item> {
        let Place { class, workspace, .. } = self.places.get(&request)?.clone();
        let flow = self.classes.get(&class)?.get(&workspace)?;
        let at = flow.items.iter().position(|item| item.ask.id == request)?;
        self.take(class, &workspace, at)
    }

    /// Puts generations that can no longer begin on time behind all others.
    ///
    /// **Load pattern** (`overload`): more is asked than fits for some seconds. **Without this** the
    /// line is served in order of arrival, so once it is longer than the objective every answer
    /// begins late, those that could have begun on time as well. A late answer is worth a sixth of
    /// one that is on time to the users, but not nothing: it waits for room, and every eighth turn
    /// is the lowest class's.
    pub fn demote(&mut self, now: Time, lead: Duration) {
        let mut late = Vec::new();
        for (class, flows) in &self.classes {
            if !matches!(class, Class::Live | Class::Overnight) {
                continue;
            }
            let items = flows.values().flat_map(|flow| &flow.items);
            let passed = items.filter(|item| item.ask.objective < now + lead);
            late.extend(passed.map(|item| item.ask.id));
        }
        for request in late {
            let since = self.places.get(&request).map_or(now, |place| place.since);
            if let Some(mut item) = self.remove(request) {
                item.ask.class = Class::Spare;
                self.push(now, item, false);
                self.places.entry(request).and_modify(|place| place.since = since);
            }
        }
    }

    /// Takes out late requests that have waited long enough: `linger` beyond the moment at which
    /// they became late. Those that were late when they came wait until their deadline.
    pub fn outstayed(&mut self, now: Time, lead: Duration, linger: Duration) -> Vec<Item> {
        let spare = self.classes.get(&Class::Spare).into_iter().flat_map(BTreeMap::values);
        let over = |item: &&Item| {
            let place = self.places.get(&item.ask.id);
            let came_late = place.is_some_and(|p| item.ask.objective < p.since + lead);
            !came_late && item.ask.objective + linger < now + lead
        };
        let over: Vec<id::Request> =
            spare.flat_map(|flow| &flow.items).filter(over).map(|item| item.ask.id).collect();
        over.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    /// Takes out all requests.
    pub fn drain(&mut self) -> Vec<Item> {
        let all: Vec<id::Request> = self.places.keys().copied().collect();
        all.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    /// Takes out requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some((class, workspace)) = self.overdue(now) {
            expired.extend(self.take(class, &workspace, 0));
        }
        expired
    }

    fn overdue(&self, now: Time) -> Option<(Class, id::Workspace)> {
        self.heads().find(|(_, _, item)| item.ask.deadline <= now).map(|(c, w, _)| (c, w.clone()))
    }

    fn heads(&self) -> impl Iterator<Item = (Class, &id::Workspace, &Item)> {
        self.classes.iter().flat_map(|(class, flows)| {
            flows.iter().filter_map(|(workspace, flow)| {
                flow.items.front().map(|item| (*class, workspace, item))
            })
        })
    }

    /// The earliest deadline among the heads.
    pub fn next_deadline(&self) -> Option<Time> {
        self.heads().map(|(_, _, item)| item.ask.deadline).min()
    }

    /// Work that would leave before a further request of this workspace with this much work:
    /// every better class, and of its own class what fair turns serve first.
    pub fn ahead(&self, class: Class, workspace: &id::Workspace, work: f64) -> f64 {
        let better: f64 =
            self.classes.range(..class).flat_map(|(_, flows)| flows.values()).map(|f| f.work).sum();
        let Some(flows) = self.classes.get(&class) else { return better };
        if !self.fair {
            return better + flows.values().map(|f| f.work).sum::<f64>();
        }
        let own = flows.get(workspace).map_or(0.0, |f| f.work);
        let received = |w| self.received(w).max(self.virtual_time);
        let end = received(workspace) + (own + work) / self.weight(workspace);
        let others = flows.iter().filter(|(w, _)| *w != workspace).map(|(w, flow)| {
            let turns = (end - received(w)).max(0.0) * self.weight(w);
            turns.min(flow.work)
        });
        let backlog = own + others.sum::<f64>();
        // Others who go on asking take their part of every turn, too.
        better + backlog.max((own + work) / self.part(class, workspace) - work)
    }

    /// How long a workspace's own line takes at the rate at which it has been draining; it may be
    /// slower than its turns, where what it asks for fits into less room than what others do.
    pub fn own_wait(
        &mut self,
        now: Time,
        class: Class,
        workspace: &id::Workspace,
        work: f64,
    ) -> Option<Duration> {
        let flow = self.classes.get(&class)?.get(workspace)?;
        let account = self.accounts.get_mut(workspace)?;
        account.drain.pass(now, true);
        account.drain.wait(flow.work + work)
    }

    /// The part of waiting workspaces' weight that this one's weight makes, itself included.
    pub fn part(&self, class: Class, workspace: &id::Workspace) -> f64 {
        let own = self.weight(workspace);
        let others = self.classes.get(&class).into_iter().flat_map(|flows| flows.keys());
        let others: f64 = others.filter(|w| *w != workspace).map(|w| self.weight(w)).sum();
        own / (own + others)
    }
}
