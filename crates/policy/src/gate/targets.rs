//! The targets of a gate: their list, reports, cordons and reasons for exclusion.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::exclusion::Exclusion;
use crate::gate::{Gate, RETRY_AFTER, refuse};
use crate::id;
use crate::memory::Growth;
use crate::request::{Reason, Refusal, Report, Verdict};
use crate::rest;
use crate::share;
use crate::stagger::{Delay, Order};
use crate::target;
use crate::time::Time;
use crate::unit::Tokens;

/// Retry delay if all targets stand in cordoned failure domains. Operators lift cordons after
/// minutes, so a caller that can retry only once should wait longer than after other refusals.
const CORDONED_RETRY_AFTER: Duration = Duration::from_secs(10);

/// A target that was added, removed, or whose failure domain was cordoned or reopened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetUpdate {
    /// The target.
    pub target: id::Target,
    /// How it is listed; `None` if it takes no new work any more.
    pub listed: Option<Listing>,
}

/// A target that takes new work unless its failure domain is cordoned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Whether its failure domain is cordoned.
    pub cordoned: bool,
    /// Its failure domain, if known.
    pub domain: Option<id::Domain>,
}

impl Gate {
    /// Sets the length of the published list of entries, and the position of this entry in it, if
    /// it is listed.
    pub fn set_entries(&mut self, now: Time, entries: usize, own: Option<usize>) {
        let entries = if self.settings.share { entries } else { 1 };
        if (entries, own) != self.entries {
            self.entries = (entries, own);
            self.update_shares(now);
        }
    }

    /// Recomputes this entry's share of each listed target.
    fn update_shares(&mut self, now: Time) {
        let (entries, own) = self.entries;
        let listed = self.index.values().filter(|at| self.targets[**at].listed);
        for (order, at) in listed.copied().collect::<Vec<_>>().into_iter().enumerate() {
            let part = share::part(order, own, entries);
            self.targets[at].share.set(now, part);
        }
    }

    /// Replaces the list of targets. Requests that were sent to a removed target continue until
    /// they finish.
    pub fn set_targets(&mut self, now: Time, targets: Vec<id::Target>) {
        self.targets.iter_mut().for_each(|state| state.listed = false);
        self.detector.set_targets(&targets);
        for target in targets {
            let next = self.targets.len();
            let at = *self.index.entry(target.clone()).or_insert(next);
            if at == next {
                self.targets.push(target::State::open(target, Delay::since(now)));
            }
            self.targets[at].listed = true;
        }
        self.remove_unused();
        self.update_shares(now);
    }

    /// Adds and removes single targets, at a cost that does not depend on the number of targets that
    /// are listed. Requests that were sent to a removed target continue until they finish.
    pub fn update_targets(&mut self, now: Time, updates: &[TargetUpdate]) {
        for TargetUpdate { target, listed } in updates {
            match listed {
                Some(listing) => self.add_target(now, target, listing),
                None => self.remove_target(target),
            }
        }
        if self.entries.0 > 1 {
            self.update_shares(now);
        }
    }

    fn add_target(&mut self, now: Time, target: &id::Target, listing: &Listing) {
        self.detector.add_target(target);
        let next = self.targets.len();
        let at = *self.index.entry(target.clone()).or_insert(next);
        if at == next {
            self.targets.push(target::State::open(target.clone(), Delay::since(now)));
        }
        self.targets[at].listed = true;
        self.set_target_cordoned(now, at, listing.cordoned);
        self.set_target_domain(at, listing.domain.clone());
    }

    fn remove_target(&mut self, target: &id::Target) {
        self.detector.remove_target(target);
        if let Some(&at) = self.index.get(target) {
            self.targets[at].listed = false;
            self.remove_if_unused(at);
        }
    }

    fn set_target_cordoned(&mut self, now: Time, at: usize, cordoned: bool) {
        let state = &mut self.targets[at];
        let before = std::mem::replace(&mut state.cordoned, cordoned);
        if before && !cordoned {
            state.stagger = Delay::since(now);
        }
    }

    /// Sets the failure domain of this entry; see [`crate::locality`].
    pub fn set_own_domain(&mut self, domain: Option<id::Domain>) {
        self.domain = domain;
        self.index_domains();
    }

    /// Sets the failure domains of targets. That of a target which is not in `domains` is unknown.
    pub fn set_domains(&mut self, domains: &BTreeMap<id::Target, id::Domain>) {
        for at in 0..self.targets.len() {
            let domain = domains.get(&self.targets[at].name).cloned();
            self.set_target_domain(at, domain);
        }
    }

    fn set_target_domain(&mut self, at: usize, domain: Option<id::Domain>) {
        self.near.set(at, self.domain.is_some() && domain == self.domain);
        self.targets[at].domain = domain;
    }

    /// Indexes the targets in the failure domain of this entry again.
    pub(super) fn index_domains(&mut self) {
        let is_near = |state: &target::State| state.domain.is_some() && state.domain == self.domain;
        let near = self.targets.iter().enumerate().filter(|(_, state)| is_near(state));
        self.near = near.map(|(at, _)| at).collect();
    }

    /// Sets the targets whose version of software few have. New generations are placed there only
    /// where no other target has room: streams that began there can go on nowhere else.
    pub fn set_scarce(&mut self, scarce: BTreeSet<id::Target>) {
        let before = std::mem::replace(&mut self.scarce, scarce);
        let changes = before.iter().map(|name| (name, false));
        for (name, is_scarce) in changes.chain(self.scarce.iter().map(|name| (name, true))) {
            if let Some(at) = self.index.get(name) {
                self.targets[*at].scarce = is_scarce;
            }
        }
    }

    /// Sets the entries that send to the targets, and with them when this entry may begin to send
    /// to a target that has just joined.
    pub fn set_order(&mut self, order: Order) {
        self.order = Arc::new(order);
    }

    /// Records that a target has restarted: it is as empty as one that has just joined.
    pub fn restarted(&mut self, now: Time, target: &id::Target) {
        if let Some(at) = self.index.get(target) {
            self.targets[*at].stagger = Delay::since(now);
            self.targets[*at].end_suspension_of_start();
        }
        self.reset_pace(target);
    }

    /// Applies a load report of a target that was taken `age` ago.
    pub fn report(&mut self, now: Time, target: &id::Target, report: &Report, age: Duration) {
        let Some(at) = self.index.get(target) else { return };
        let growth = Growth { own: self.own, typical: self.typical };
        self.targets[*at].memory.apply_report(now, now - age, report, &growth);
        self.largest_capacity = self.largest_capacity.max(report.capacity.get());
    }

    /// Sets the prompt tokens of other entries that wait for prefill at a target.
    pub fn set_unread(&mut self, target: &id::Target, tokens: Tokens) {
        if let Some(at) = self.index.get(target) {
            self.targets[*at].others_unread = tokens.get();
        }
    }

    /// Returns a refusal if no target is listed or all stand in cordoned failure domains.
    pub(super) fn refuse_without_targets(&self, rng: &mut impl Rng) -> Option<Verdict> {
        let mut listed = self.targets.iter().filter(|state| state.listed).peekable();
        if listed.peek().is_none() {
            return Some(refuse(rng, Reason::NoTarget, RETRY_AFTER.0));
        }
        let all = listed.all(|state| state.cordoned);
        all.then(|| refuse(rng, Reason::Cordoned, CORDONED_RETRY_AFTER))
    }

    /// Returns a refusal for a lookup that no target can take: all are down or suspended.
    pub(super) fn refuse_unavailable(&self, now: Time, rng: &mut impl Rng) -> Verdict {
        let listed = self.targets.iter().filter(|state| state.is_in_service());
        match listed.filter_map(|state| state.suspension(now)).min() {
            Some(suspension) => refuse_suspended(rng, suspension),
            None => refuse(rng, Reason::NoTarget, RETRY_AFTER.0),
        }
    }

    /// Returns the suspension that ends first if all targets in service are suspended.
    pub(super) fn first_suspension(&self, now: Time) -> Option<(Duration, Exclusion)> {
        let listed = self.targets.iter().filter(|state| state.is_in_service());
        // Ends with the first target that is not suspended.
        let suspensions: Option<Vec<_>> = listed.map(|state| state.suspension(now)).collect();
        suspensions?.into_iter().min()
    }

    /// Suspends a target for `wait`, because it accepts no more requests from all entries together, or
    /// none from this one.
    pub fn suspend(&mut self, now: Time, target: &id::Target, wait: Duration, why: Exclusion) {
        if let Some(at) = self.index.get(target) {
            self.targets[*at].suspend(now + wait, why);
        }
    }

    /// Sets the targets in cordoned failure domains. They receive nothing new; all others may
    /// receive requests again.
    ///
    /// Entries begin one after another to send to targets whose cordon is lifted, as to targets
    /// that have just joined, since these look empty to all entries.
    pub fn set_cordoned(&mut self, now: Time, cordoned: &BTreeSet<id::Target>) {
        for at in 0..self.targets.len() {
            let cordoned = cordoned.contains(&self.targets[at].name);
            self.set_target_cordoned(now, at, cordoned);
        }
    }

    /// Counts the targets that are excluded for each reason.
    pub fn exclusions(&self, now: Time) -> BTreeMap<Exclusion, usize> {
        let mut counts = BTreeMap::new();
        for why in self.targets.iter().filter_map(|state| state.exclusion(now)) {
            *counts.entry(why).or_default() += 1;
        }
        counts
    }
}

/// Returns the refusal of a request while all targets are suspended, by the suspension that ends
/// first.
pub(super) fn refuse_suspended(rng: &mut impl Rng, (left, why): (Duration, Exclusion)) -> Verdict {
    match why {
        Exclusion::Resting => {
            let retry_after = rest::return_after(rng, left);
            Verdict::Refuse(Refusal { reason: Reason::Resting, retry_after })
        }
        Exclusion::Crowded => {
            Verdict::Refuse(Refusal { reason: Reason::Crowded, retry_after: left })
        }
        Exclusion::Crashed => refuse(rng, Reason::NoTarget, left),
        _ => refuse(rng, Reason::Limited, left),
    }
}
