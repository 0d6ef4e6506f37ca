//! Which targets a gate knows, and why each may be excluded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use crate::exclusion::Exclusion;
use crate::gate::{Gate, RETRY, refuse};
use crate::id;
use crate::newcomer::{Arrival, Order};
use crate::request::{Reason, Report, Verdict};
use crate::room::Growth;
use crate::share;
use crate::slot::Slot;
use crate::time::Time;
use crate::unit::Tokens;

/// When to come back where every target stands in a failure domain that is cordoned: operators lift cordons after
/// minutes, so whoever may ask only once more had better wait.
const CORDONED_RETRY: Duration = Duration::from_secs(10);

impl Gate {
    /// Tells how many entries the published list names, and which of them this one is.
    pub fn set_entries(&mut self, now: Time, entries: usize, own: Option<usize>) {
        let entries = if self.settings.share { entries } else { 1 };
        if (entries, own) != self.entries {
            self.entries = (entries, own);
            self.divide(now);
        }
    }

    /// Works out this entry's share of each target anew.
    fn divide(&mut self, now: Time) {
        let (entries, own) = self.entries;
        let listed = self.index.values().filter(|at| self.slots[**at].listed);
        for (order, at) in listed.copied().collect::<Vec<_>>().into_iter().enumerate() {
            let part = share::part(order, own, entries);
            self.slots[at].share.set(now, part);
        }
    }

    /// Replaces the targets; requests already sent to a removed one go on until they finish.
    pub fn set_targets(&mut self, now: Time, targets: Vec<id::Target>) {
        self.slots.iter_mut().for_each(|slot| slot.listed = false);
        self.detector.set_targets(&targets);
        for target in targets {
            let next = self.slots.len();
            let at = *self.index.entry(target.clone()).or_insert(next);
            if at == next {
                let arrival = Arrival::at(now, &self.order, &target);
                self.slots.push(Slot::open(target, arrival));
            }
            self.slots[at].listed = true;
        }
        self.forget_unused();
        self.divide(now);
    }

    /// Tells which entries send to the targets, so that each has its turn at one that has just come.
    pub fn set_order(&mut self, order: Order) {
        self.order = order;
        for slot in &mut self.slots {
            slot.arrival = slot.arrival.reordered(&self.order, &slot.name);
        }
    }

    /// Notes that a target has started again: it is as empty as one that has just come.
    pub fn restarted(&mut self, now: Time, target: &id::Target) {
        if let Some(at) = self.index.get(target) {
            self.slots[*at].arrival = Arrival::at(now, &self.order, target);
        }
    }

    /// Takes in a target's load report, which was taken `age` ago.
    pub fn report(&mut self, now: Time, target: &id::Target, report: &Report, age: Duration) {
        let Some(at) = self.index.get(target) else { return };
        let growth = Growth { own: self.all, fresh: self.fresh };
        self.slots[*at].room.report(now, now - age, report, &growth);
        self.largest = self.largest.max(report.capacity.get());
    }

    /// Takes in how many prompt tokens of other entries wait to be read at a target.
    pub fn set_unread(&mut self, target: &id::Target, tokens: Tokens) {
        if let Some(at) = self.index.get(target) {
            self.slots[*at].others_unread = tokens.get();
        }
    }

    /// Refuses where no target is listed, or all stand in failure domains that are cordoned.
    pub(super) fn without_targets(&self, rng: &mut impl Rng) -> Option<Verdict> {
        let mut listed = self.slots.iter().filter(|slot| slot.listed).peekable();
        if listed.peek().is_none() {
            return Some(refuse(rng, Reason::NoTarget, RETRY.0));
        }
        let all = listed.all(|slot| slot.cordoned);
        all.then(|| refuse(rng, Reason::Cordoned, CORDONED_RETRY))
    }

    /// Refuses where no target is up, or none takes more.
    pub(super) fn nowhere(&self, now: Time, rng: &mut impl Rng) -> Verdict {
        let listed = self.slots.iter().filter(|slot| slot.is_open());
        let closed = listed.map(|slot| slot.closed(now)).filter(|left| !left.is_zero()).min();
        match closed {
            Some(left) => refuse(rng, Reason::Limited, left),
            None => refuse(rng, Reason::NoTarget, RETRY.0),
        }
    }

    /// Sends nothing more to a target for some time: it takes no more from all entries together.
    pub fn close(&mut self, now: Time, target: &id::Target, wait: Duration, why: Exclusion) {
        if let Some(at) = self.index.get(target) {
            self.slots[*at].close(now + wait, why);
        }
    }

    /// Sends nothing new to these targets, whose failure domains are cordoned, and to all others again.
    ///
    /// Entries take turns at those that come back, as at targets that have just come: they look empty to
    /// all.
    pub fn set_cordoned(&mut self, now: Time, cordoned: &BTreeSet<id::Target>) {
        for slot in &mut self.slots {
            let before = std::mem::replace(&mut slot.cordoned, cordoned.contains(&slot.name));
            if before && !slot.cordoned {
                slot.arrival = Arrival::at(now, &self.order, &slot.name);
            }
        }
    }

    /// How many targets are excluded for which reason.
    pub fn exclusions(&self, now: Time) -> BTreeMap<Exclusion, usize> {
        let mut counts = BTreeMap::new();
        for why in self.slots.iter().filter_map(|slot| slot.exclusion(now)) {
            *counts.entry(why).or_default() += 1;
        }
        counts
    }
}
