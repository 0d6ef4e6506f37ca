//! What workspaces use at all entries together, so that a workspace that sends through many entries
//! gets one share and not one at each.
//!
//! Each entry announces, by service, the [`HEAVIEST`] workspaces that hold and received most through
//! it, and the others as one sum with their count. The receiver adds up what several entries
//! announced. The amount that it lacks for a workspace is at most the smallest one that each entry
//! lists, so the error is small where it matters: a workspace that uses much of the fleet is among
//! the heaviest of some entry.
//!
//! Work received decays, so that a workspace that was alone and used everything is not passed over
//! for long when others come, and one that was silent gains no more than the decay time allows.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Time;

/// Workspaces that an announcement lists for one service, at most.
pub const HEAVIEST: usize = 16;

/// The interval of announcements. Heartbeats are more frequent, in particular when generations are
/// sent; announcing shares in each would cost several times the bytes.
pub const INTERVAL: Duration = Duration::from_millis(450);

/// Workspaces that are listed in the sum of all entries, at most. Each heavy one has at least
/// [`MIN_PART`] of all tokens, so all of them are listed.
const LISTED: usize = 128;

/// Time constant of the decay of received work, in seconds. It is some times as long as it takes to
/// learn of the work of other entries, and short enough that the past does not delay a workspace by
/// more than its callers wait.
const DECAY_S: f64 = 8.0;

/// Time for which the latest figures of a silent entry are used in full.
const FRESH: Duration = Duration::from_secs(3);

/// Time after which the latest figures of a silent entry are dropped; from [`FRESH`] on they fade.
const DROPPED: Duration = Duration::from_secs(8);

/// Workspaces whose received work is kept for one service at one entry, at most. When there are
/// more, the half that received least is dropped.
const KEPT: usize = 1_024;

/// Part of the level that was served last at which a workspace starts that had nothing queued. At 1
/// a workspace with a single request would wait for a turn of every other one; at 0 one that was
/// silent could take all turns for several seconds.
const START: f64 = 0.5;

/// A workspace is heavy from this multiple of an equal part on, and until it is below the second.
const HEAVY: (f64, f64) = (1.5, 1.2);

/// Part of all tokens held below which no workspace is heavy. Among hundreds of workspaces a single
/// answer is more than an equal part.
const MIN_PART: f64 = 0.02;

/// What one workspace uses of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Share {
    /// The workspace.
    pub workspace: id::Workspace,
    /// How much it uses.
    pub amount: Amount,
}

/// The encoded form of a share. An array takes half of the bytes of a map.
type Wire = (id::Workspace, u64, u64, u64);

impl From<Wire> for Share {
    fn from((workspace, held, received, waiting): Wire) -> Self {
        Self { workspace, amount: Amount { held, received, waiting } }
    }
}

impl From<Share> for Wire {
    fn from(Share { workspace, amount }: Share) -> Self {
        (workspace, amount.held, amount.received, amount.waiting)
    }
}

/// Use of a service, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Tokens that running answers hold in the memory of engines.
    pub held: u64,
    /// Work received lately, decayed.
    pub received: u64,
    /// Memory that queued requests need.
    pub waiting: u64,
}

impl Amount {
    fn add(&mut self, other: Self) {
        self.held = self.held.saturating_add(other.held);
        self.received = self.received.saturating_add(other.received);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }

    /// Returns the amount that counts `age` after it was announced.
    fn faded(self, age: Duration) -> Self {
        let left = DROPPED.saturating_sub(age).as_secs_f64();
        let part = (left / DROPPED.saturating_sub(FRESH).as_secs_f64()).min(1.0);
        let scaled = |number: u64, part: f64| (number as f64 * part) as u64;
        Self {
            held: scaled(self.held, part),
            received: scaled(self.received, part * decay(age)),
            waiting: scaled(self.waiting, part),
        }
    }

    fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// Returns the sum of its parts in the total, by which workspaces are ranked.
    fn part(self, total: Self) -> f64 {
        let part = |own: u64, all: u64| own as f64 / all.max(1) as f64;
        part(self.held, total.held) + part(self.received, total.received)
    }
}

fn decay(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / DECAY_S).exp()
}

/// What all workspaces use of a service, through one or several entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// The heaviest workspaces.
    #[serde(rename = "top")]
    heaviest: Vec<Share>,
    /// The sum of the others.
    rest: Amount,
    /// The number of the others. The sum of several entries has the largest number among them, since
    /// the same workspaces may use all entries. It matters below `1.5 / MIN_PART` workspaces only.
    #[serde(rename = "n")]
    count: u32,
}

impl Shares {
    /// Returns the shares of these workspaces, listing at most [`HEAVIEST`].
    pub fn of(amounts: BTreeMap<id::Workspace, Amount>) -> Self {
        Self::listing(amounts, Amount::default(), 0, HEAVIEST)
    }

    /// Returns the sum of several shares, listing at most [`HEAVIEST`] workspaces.
    pub fn sum<'a>(parts: impl IntoIterator<Item = &'a Self>) -> Self {
        Self::sum_listing(parts, HEAVIEST)
    }

    /// Returns the sum of several shares with a longer list, for use at this entry.
    pub fn long_sum<'a>(parts: impl IntoIterator<Item = &'a Self>) -> Self {
        Self::sum_listing(parts, LISTED)
    }

    fn sum_listing<'a>(parts: impl IntoIterator<Item = &'a Self>, most: usize) -> Self {
        let (mut amounts, mut rest, mut count) =
            (BTreeMap::<_, Amount>::new(), Amount::default(), 0);
        for part in parts {
            for share in &part.heaviest {
                amounts.entry(share.workspace.clone()).or_default().add(share.amount);
            }
            rest.add(part.rest);
            count = count.max(part.count());
        }
        Self::listing(amounts, rest, count, most)
    }

    fn listing(
        mut amounts: BTreeMap<id::Workspace, Amount>,
        mut rest: Amount,
        count: usize,
        most: usize,
    ) -> Self {
        amounts.retain(|_, amount| !amount.is_zero());
        let count = count.max(amounts.len());
        let mut total = rest;
        amounts.values().for_each(|amount| total.add(*amount));
        let mut heaviest: Vec<Share> =
            amounts.into_iter().map(|(workspace, amount)| Share { workspace, amount }).collect();
        if heaviest.len() > most {
            let order =
                |a: &Share, b: &Share| b.amount.part(total).total_cmp(&a.amount.part(total));
            heaviest.select_nth_unstable_by(most, order);
            heaviest.split_off(most).iter().for_each(|share| rest.add(share.amount));
        }
        let count = u32::try_from(count - heaviest.len()).unwrap_or(u32::MAX);
        Self { heaviest, rest, count }
    }

    /// Returns the heaviest workspaces, in no order.
    pub fn heaviest(&self) -> &[Share] {
        &self.heaviest
    }

    /// Returns the number of workspaces.
    pub fn count(&self) -> usize {
        self.heaviest.len() + self.count as usize
    }

    /// Returns the sum of all workspaces.
    pub fn total(&self) -> Amount {
        let mut total = self.rest;
        self.heaviest.iter().for_each(|share| total.add(share.amount));
        total
    }

    /// Returns whether no workspace uses the service.
    pub fn is_empty(&self) -> bool {
        self.heaviest.is_empty() && self.rest.is_zero()
    }

    /// Returns the shares that count `age` after they were announced.
    fn faded(&self, age: Duration) -> Self {
        let faded = |share: &Share| Share { amount: share.amount.faded(age), ..share.clone() };
        let heaviest = self.heaviest.iter().map(faded).collect();
        Self { heaviest, rest: self.rest.faded(age), count: self.count }
    }

    /// Drops the lightest workspaces of a list that is longer than any entry announces.
    fn truncate(&mut self) {
        if self.heaviest.len() > HEAVIEST {
            self.heaviest.sort_by_key(|share| Reverse(share.amount.held));
            self.heaviest.truncate(HEAVIEST);
        }
    }
}

/// What the other entries announced, by service.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_entry: HashMap<id::Host, (Time, BTreeMap<id::Service, Shares>)>,
}

impl Peers {
    /// Replaces what an entry announced.
    pub fn replace(
        &mut self,
        now: Time,
        entry: &id::Host,
        shares: impl IntoIterator<Item = (id::Service, Shares)>,
    ) {
        let mut shares: BTreeMap<id::Service, Shares> = shares.into_iter().collect();
        shares.values_mut().for_each(Shares::truncate);
        self.by_entry.retain(|_, (at, _)| now.since(*at) < DROPPED);
        if shares.is_empty() {
            self.by_entry.remove(entry);
        } else {
            self.by_entry.insert(entry.clone(), (now, shares));
        }
    }

    /// Forgets what all entries but one announced.
    pub fn retain_only(&mut self, entry: &id::Host) {
        self.by_entry.retain(|host, _| host == entry);
    }

    /// Returns whether an entry announced any use lately.
    pub fn has_shares(&self, now: Time, entry: &id::Host) -> bool {
        self.by_entry.get(entry).is_some_and(|(at, _)| now.since(*at) < DROPPED)
    }

    /// Returns the services for which entries announced shares.
    pub fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.by_entry.values().flat_map(|(_, shares)| shares.keys())
    }

    /// Returns the shares of the entries that `is_included` selects, as they count now.
    pub fn shares(
        &self,
        now: Time,
        service: &id::Service,
        is_included: impl Fn(&id::Host) -> bool,
    ) -> Vec<Shares> {
        let included = self.by_entry.iter().filter(|(host, _)| is_included(host));
        let of =
            included.filter_map(|(_, (at, shares))| Some((now.since(*at), shares.get(service)?)));
        of.filter(|(age, _)| *age < DROPPED).map(|(age, shares)| shares.faded(age)).collect()
    }
}

/// Received work of one workspace through this entry, in units of the ledger's scale.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    received: f64,
    /// The level from which it started when it last began to wait.
    start: f64,
}

/// Work that workspaces received lately through all entries, for the fair turns of a queue.
///
/// All amounts decay at the same rate, so they are kept in units of a common scale.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    accounts: HashMap<id::Workspace, Account>,
    others: HashMap<id::Workspace, f64>,
    /// The level that was served last.
    served: f64,
    scale: f64,
    at: Time,
}

impl Default for Ledger {
    fn default() -> Self {
        let (accounts, others) = (HashMap::new(), HashMap::new());
        Self { accounts, others, served: 0.0, scale: 1.0, at: Time::ZERO }
    }
}

impl Ledger {
    /// Decays all amounts to a later time.
    pub(crate) fn advance(&mut self, now: Time) {
        self.scale *= decay(now.since(self.at));
        self.at = self.at.max(now);
        if self.scale > 1e-6 {
            return;
        }
        let scale = std::mem::replace(&mut self.scale, 1.0);
        self.served *= scale;
        self.others.values_mut().for_each(|amount| *amount *= scale);
        for account in self.accounts.values_mut() {
            *account = Account { received: account.received * scale, start: account.start * scale };
        }
        self.accounts.retain(|_, account| account.received.max(account.start) >= 0.5);
    }

    /// Charges work to a workspace, or refunds it where `work` is negative.
    pub(crate) fn charge(&mut self, workspace: &id::Workspace, work: f64) {
        if work == 0.0 {
            return;
        }
        let scale = self.scale;
        let account = self.account(workspace);
        account.received = (account.received + work / scale).max(0.0);
    }

    fn account(&mut self, workspace: &id::Workspace) -> &mut Account {
        if self.accounts.len() >= KEPT && !self.accounts.contains_key(workspace) {
            let mut amounts: Vec<f64> =
                self.accounts.values().map(|account| account.received).collect();
            let (_, median, _) = amounts.select_nth_unstable_by(KEPT / 2, f64::total_cmp);
            let median = *median;
            let mut kept = KEPT / 2;
            self.accounts.retain(|_, account| {
                let keep = account.received >= median && kept > 0;
                kept -= usize::from(keep);
                keep
            });
        }
        self.accounts.entry(workspace.clone()).or_default()
    }

    /// Replaces the work that the other entries gave to workspaces.
    pub(crate) fn set_others(&mut self, now: Time, others: &Shares) {
        self.advance(now);
        let scaled =
            |share: &Share| (share.workspace.clone(), share.amount.received as f64 / self.scale);
        self.others = others.heaviest.iter().map(scaled).collect();
    }

    /// Returns the work that a workspace received lately through all entries, or the level from which
    /// it started where that is higher.
    pub(crate) fn level(&self, workspace: &id::Workspace) -> f64 {
        let account = self.accounts.get(workspace).copied().unwrap_or_default();
        let others = self.others.get(workspace).copied().unwrap_or_default();
        (account.received + others).max(account.start) * self.scale
    }

    /// Records that a workspace begins to wait. One that was silent starts from a part of the level
    /// that was served last, so that it gains no more credit than that.
    pub(crate) fn begin(&mut self, workspace: &id::Workspace, weight: f64) {
        let start = START * self.served * weight;
        if start * self.scale >= 1.0 {
            let account = self.account(workspace);
            account.start = account.start.max(start);
        }
    }

    /// Records that a workspace with this level, divided by its weight, was served.
    pub(crate) fn served(&mut self, level: f64) {
        self.served = level / self.scale;
    }

    /// Returns the work that each workspace received through this entry.
    pub(crate) fn received(&self) -> impl Iterator<Item = (&id::Workspace, u64)> {
        self.accounts
            .iter()
            .map(|(workspace, account)| (workspace, (account.received * self.scale) as u64))
    }
}

/// A workspace became heavy, or is no longer heavy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The workspace.
    pub workspace: id::Workspace,
    /// Whether it is heavy now.
    pub is_heavy: bool,
}

/// The workspaces that hold far more than an equal part of what all hold through all entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Heavies {
    /// What each holds and received, as a multiple of an equal part; the smaller of both.
    parts: BTreeMap<id::Workspace, f64>,
    /// Memory that queued requests of other workspaces need.
    wanted: u64,
    changes: Vec<Change>,
}

impl Heavies {
    /// Determines the heavy workspaces from the sum of all entries.
    pub(crate) fn update(&mut self, shares: &Shares, weight: impl Fn(&id::Workspace) -> f64) {
        let total = shares.total();
        let listed: f64 = shares.heaviest.iter().map(|share| weight(&share.workspace)).sum();
        let weights = (listed + f64::from(shares.count)).max(1.0);
        let parts_of = |own: u64, all: u64| own as f64 * weights / all.max(1) as f64;
        let before = std::mem::take(&mut self.parts);
        let mut wanted = total.waiting;
        for share in &shares.heaviest {
            let held = parts_of(share.amount.held, total.held);
            let received = parts_of(share.amount.received, total.received);
            // What a workspace holds varies with a few answers. When it counted alone, even workspaces
            // were heavy in turn, and an eighth of the work was lost.
            let parts = held.min(received) / weight(&share.workspace);
            let was = before.contains_key(&share.workspace);
            let from = if was { HEAVY.1 } else { HEAVY.0 };
            let least = MIN_PART * from / HEAVY.0 * total.held as f64;
            if shares.count() > 1 && parts > from && share.amount.held as f64 > least {
                self.parts.insert(share.workspace.clone(), parts);
                wanted = wanted.saturating_sub(share.amount.waiting);
            }
        }
        self.wanted = wanted;
        let ended = before.keys().filter(|workspace| !self.parts.contains_key(*workspace));
        let begun = self.parts.keys().filter(|workspace| !before.contains_key(*workspace));
        let change =
            |workspace: &id::Workspace, is_heavy| Change { workspace: workspace.clone(), is_heavy };
        let changes: Vec<Change> =
            ended.map(|w| change(w, false)).chain(begun.map(|w| change(w, true))).collect();
        // Without a reader, only the latest changes are kept.
        if self.changes.len() + changes.len() > LISTED {
            self.changes.clear();
        }
        self.changes.extend(changes);
    }

    /// Returns what a heavy workspace holds as a multiple of an equal part, while requests of others
    /// wait; 0 for any other workspace.
    pub(crate) fn parts(&self, workspace: &id::Workspace) -> f64 {
        if self.wanted == 0 {
            return 0.0;
        }
        self.parts.get(workspace).copied().unwrap_or_default()
    }

    /// Returns the memory that queued requests of workspaces need that are not heavy.
    pub(crate) fn wanted(&self) -> u64 {
        self.wanted
    }

    /// Returns the number of heavy workspaces.
    pub(crate) fn len(&self) -> usize {
        self.parts.len()
    }

    /// Takes the changes since the last call, for the log.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
