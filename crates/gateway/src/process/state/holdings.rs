//! What entries hold at targets: memory of running answers, and of copies of them.

use std::collections::HashMap;
use std::sync::Arc;

use fireflyhoist_policy::gate::{Holding, Report};
use fireflyhoist_policy::id;
use fireflyhoist_policy::unit::Tokens;

use crate::connection::frame::{Load, sum};
use crate::process::service_gate::{ServiceGate, TargetLoad};
use crate::process::state::Process;

impl Process {
    /// Counts tokens of a copy at the target that keeps it, or takes them off again.
    pub(crate) fn count_copy(&self, target: &id::Target, before: u64, after: u64) {
        let mut copies = self.copies.lock();
        let kept = copies.entry(target.clone()).or_default();
        *kept = (*kept + after).saturating_sub(before);
        if *kept == 0 {
            copies.remove(target);
        }
    }

    /// What this entry holds at each target.
    pub(crate) fn held(&self) -> Vec<Load> {
        let lanes: Vec<Arc<ServiceGate>> = self.lanes.read().values().cloned().collect();
        let mut held: Vec<Load> = Vec::new();
        for holding in lanes.iter().flat_map(|lane| lane.holdings()) {
            let Holding { target, tokens, streams, unread } = holding;
            held.push(Load { target, tokens, streams, unread, copies: Tokens::default() });
        }
        for (target, tokens) in self.copies.lock().iter() {
            held.push(Load { copies: Tokens::new(*tokens), ..Load::none(target) });
        }
        sum(held.iter())
    }

    /// What this entry and those that `with` picks of the others hold.
    pub(crate) fn held_with(&self, with: impl Fn(&id::Host) -> bool) -> Vec<Load> {
        let own = self.held();
        let others = self.others.lock();
        let picked = others.iter().filter(|(host, _)| with(host)).flat_map(|(_, held)| held);
        sum(own.iter().chain(picked))
    }

    /// Takes in what another entry holds, `None` where it is gone; returns whether that is new.
    pub(crate) fn set_other(&self, host: &id::Host, held: Option<Vec<Load>>) -> bool {
        let mut others = self.others.lock();
        if others.get(host) == held.as_ref() {
            return false;
        }
        match held {
            Some(held) => others.insert(host.clone(), held),
            None => others.remove(host),
        };
        true
    }

    /// Whether an entry has told that it holds anything.
    pub(crate) fn holds(&self, host: &id::Host) -> bool {
        self.others.lock().get(host).is_some_and(|held| !held.is_empty())
    }

    /// Tells the gates what all entries together hold at each engine.
    pub(crate) fn report(&self) {
        let Some(table) = self.table() else { return };
        let mut sums: HashMap<id::Target, Sum> = HashMap::new();
        for held in &self.held() {
            sums.entry(held.target.clone()).or_default().add(held);
        }
        for held in self.others.lock().values().flatten() {
            let sum = sums.entry(held.target.clone()).or_default();
            sum.add(held);
            sum.others_unread += held.unread.get();
        }
        for service in &table.text().services {
            let (Some(engine), Some(lane)) = (&service.engine, self.lane(&service.name)) else {
                continue;
            };
            let leases = self.leases.lock();
            let views: Vec<TargetLoad> = leases
                .ready(&service.name)
                .map(|target| {
                    let sum = sums.get(&target.id).copied().unwrap_or_default();
                    let (capacity, used) = (engine.memory, Tokens::new(sum.tokens));
                    let report =
                        Report { capacity, used, running: sum.streams, ..Report::default() };
                    let unread = Tokens::new(sum.others_unread);
                    TargetLoad { target: target.id.clone(), report, unread }
                })
                .collect();
            drop(leases);
            lane.update_loads(&views);
        }
    }
}

/// What all entries hold at one target.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    tokens: u64,
    streams: u32,
    others_unread: u64,
}

impl Sum {
    fn add(&mut self, held: &Load) {
        self.tokens += held.tokens.get() + held.copies.get();
        self.streams += held.streams;
    }
}
