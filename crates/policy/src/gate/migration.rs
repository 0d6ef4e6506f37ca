//! Targets to which a running answer can be migrated when its target leaves, and what this entry
//! holds at each target.
//!
//! Borrowed engines are reclaimed every few seconds, one or two seconds after a notice, each with
//! several running answers. If no destination is chosen before the engine is gone, every answer
//! there is cut off, and its prompt and all that was generated are lost.

use std::collections::BTreeSet;

use rand::Rng;

use crate::gate::Gate;
use crate::id;
use crate::pace::Figures;
use crate::request::Request;
use crate::time::Time;
use crate::unit::Tokens;

/// Load above which a target in the same failure domain is no longer preferred to targets
/// elsewhere: an answer of ordinary length no longer fits.
const NEARLY_FULL: f64 = 0.85;

/// Load added to every target's before destinations are drawn, so that an empty target is drawn
/// first only a few times as often as a full one.
///
/// Without it a target that was just added, which is empty, is the first choice for every copy of
/// every entry. The copies share its one link, and migrations that take 0.2 s take 1.5 s and more,
/// by which time their source is gone.
const BASE_LOAD: f64 = 0.25;

/// Mean load of all targets below which it pays to look for targets that leave unannounced.
///
/// While the registry is unavailable, replacements of reclaimed engines cannot be seen either. On
/// full engines, answers that are migrated displace others and new ones wait: with engines nine
/// tenths full, looking for such targets costs callers more than it saves, and the higher this
/// limit, the more. With engines a third to half full, looking helps.
const MAX_MEAN_LOAD: f64 = 0.6;

/// Preference for a target as the destination of a migrating answer, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// In the same failure domain, with room for one more ordinary answer.
    Near,
    /// In another failure domain, or nearly full.
    Far,
    /// Without room for what the answer holds now.
    Full,
}

/// What the running answers of one entry hold at one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// The target.
    pub target: id::Target,
    /// Tokens that they hold in its memory.
    pub tokens: Tokens,
    /// Answers that it generates for the entry.
    pub streams: u32,
    /// Prompt tokens of answers that have not produced their first token.
    pub unread: Tokens,
    /// The pace of the target as observed, and the answers that prompts can interrupt there.
    pub pace: Figures,
}

impl Gate {
    /// Returns what the running answers of this entry hold at each target where it has any, or where
    /// it had some lately that showed the target's pace.
    pub fn holdings(&self) -> impl Iterator<Item = Holding> {
        let mut busy: BTreeSet<usize> =
            self.running.values().map(|running| running.target).collect();
        busy.extend(self.observed.keys().filter_map(|target| self.index.get(target)));
        let has_pace = self.pause_bound().is_some();
        busy.into_iter().map(move |at| {
            let state = &self.targets[at];
            Holding {
                target: state.name.clone(),
                tokens: Tokens::new(state.memory.held().0 as u64),
                streams: state.memory.streams(),
                unread: Tokens::new(state.unread),
                pace: if has_pace { state.estimate.figures() } else { Figures::default() },
            }
        })
    }

    /// Returns whether the targets as a whole have room for the answers of targets that leave.
    pub fn has_spare_capacity(&self) -> bool {
        let listed = self.targets.iter().filter(|state| state.is_in_service());
        let (count, load) = listed
            .fold((0.0, 0.0), |(count, load), state| (count + 1.0, load + state.memory.load()));
        load < MAX_MEAN_LOAD * count
    }

    /// Returns the targets to which the memory of a running answer is best copied or migrated, the
    /// best first.
    ///
    /// They are drawn at random in favour of those with the lowest load, among the targets that are
    /// up and not ejected, since what is copied must fit there until the answer ends. Targets in
    /// `near` precede others: a copy to another failure domain takes twice as long, and the
    /// bandwidth of the engine's link is the bottleneck.
    ///
    /// `reserve` is the part of a target's memory that copies made ahead must leave free. With it,
    /// only targets are returned where the answer fits until its end, and none if the targets as a
    /// whole are too full: an engine that has just joined is empty, but needed for answers. In a
    /// fleet that is eight tenths full, copies made ahead do more harm than good. If engines crash,
    /// they help where there is room and do not help where there is none.
    ///
    /// Without `reserve`, every target that is up is returned: how long the answer becomes is only
    /// predicted, and an answer that is preempted at its new target is late, while one that stays
    /// is lost. Targets on which the answer's present memory does not fit come last: they refuse,
    /// and each refusal uses up part of the notice period.
    pub fn migration_targets(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: id::Request,
        near: &BTreeSet<id::Target>,
        reserve: Option<f64>,
    ) -> Vec<id::Target> {
        self.refresh_weights(now);
        if reserve.is_some() && !self.has_spare_capacity() {
            return Vec::new();
        }
        let Some(running) = self.running.get(&request) else { return Vec::new() };
        let (own, curve, class) = (running.target, running.curve, running.request.class);
        let mut ranked: Vec<(Rank, f64, &id::Target)> = Vec::new();
        for (at, state) in self.targets.iter().enumerate() {
            if at == own || !state.is_up(now) {
                continue;
            }
            if let Some(reserve) = reserve {
                let claim = state.memory.claim(now, class, 1.0, 1.0, reserve);
                // `fits` accepts any answer on an engine without answers, but that engine may be
                // full of copies.
                if state.memory.load() > 1.0 - reserve || !state.memory.fits(class, &claim, &curve)
                {
                    continue;
                }
            }
            let cost = (state.memory.load() + BASE_LOAD) * rng.random_range(0.0..1.0);
            let load = state.memory.load();
            let rank = match state.memory.load_with(&curve) > 1.0 {
                true => Rank::Full,
                false if load <= NEARLY_FULL && near.contains(&state.name) => Rank::Near,
                false => Rank::Far,
            };
            ranked.push((rank, cost, &state.name));
        }
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(_, _, name)| name.clone()).collect()
    }

    /// Chooses among the targets in `allowed` for an answer that goes on after events of an earlier
    /// run; `None` if none of them is up.
    ///
    /// Like one that leaves its target it is sent although it may not fit: it can go on nowhere else,
    /// and a target that is full declines it.
    pub(super) fn place_resumed(
        &self,
        now: Time,
        rng: &mut impl Rng,
        request: &Request,
        allowed: &BTreeSet<id::Target>,
    ) -> Option<usize> {
        let curve = self.curve(request, 0);
        let indexes = || allowed.iter().filter_map(|name| self.index.get(name).copied());
        let up: Vec<usize> = indexes().filter(|at| self.targets[*at].is_up(now)).collect();
        let usable = |at: &usize| self.targets[*at].hard_exclusion(now).is_none();
        // A suspect target is tried once.
        let try_suspects = up.is_empty() && request.avoid.is_none();
        let candidates = if try_suspects { indexes().filter(usable).collect() } else { up };
        let mut ranked: Vec<_> = candidates
            .into_iter()
            .map(|at| {
                let state = &self.targets[at];
                let failed = Some(&state.name) == request.avoid.as_ref();
                let full = state.memory.load_with(&curve) > 1.0;
                let cost = (state.memory.load() + BASE_LOAD) * rng.random_range(0.0..1.0);
                (failed, full, cost, at)
            })
            .collect();
        ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        ranked.first().map(|(.., at)| *at)
    }

    /// Records that a running answer was migrated to another target.
    pub fn transfer(&mut self, now: Time, request: id::Request, to: &id::Target) {
        let Some(&to) = self.index.get(to) else { return };
        let Some(running) = self.running.get_mut(&request) else { return };
        let from = std::mem::replace(&mut running.target, to);
        let curve = running.curve;
        let unstarted = running.first.is_none();
        self.targets[from].memory.remove(now, &curve);
        if unstarted {
            let prompt = running.request.prompt.get();
            self.targets[from].remove_unstarted(prompt);
            self.targets[to].add_unstarted(prompt);
        }
        // A sample that spans two engines says nothing about either.
        if let Some(running) = self.running.get_mut(&request) {
            running.sampled = (running.produced, now);
            running.prompts_waited = None;
            let interruptible = i32::from(running.interruptible);
            self.targets[from].estimate.add_interruptible(-interruptible);
            self.targets[to].estimate.add_interruptible(interruptible);
        }
        self.targets[to].memory.add(now, &curve);
        self.remove_if_unused(from);
    }

    /// Removes the target at an index if it is neither listed nor in use. The last target takes its
    /// index.
    pub(super) fn remove_if_unused(&mut self, at: usize) {
        let state = &self.targets[at];
        if state.listed || state.memory.streams() > 0 {
            return;
        }
        let removed = self.targets.swap_remove(at);
        self.index.remove(&removed.name);
        self.near.swap_remove(at, self.targets.len());
        let Some(moved) = self.targets.get(at) else { return };
        self.index.insert(moved.name.clone(), at);
        let from = self.targets.len();
        for running in self.running.values_mut().filter(|running| running.target == from) {
            running.target = at;
        }
    }

    /// Removes targets that are neither listed nor in use.
    ///
    /// Borrowed targets join and leave all day, each under a new name. Without this the gate would
    /// grow, and every placement would scan all targets that ever existed.
    pub(super) fn remove_unused(&mut self) {
        let mut moved: Vec<Option<usize>> = Vec::with_capacity(self.targets.len());
        let mut kept = Vec::with_capacity(self.targets.len());
        for state in self.targets.drain(..) {
            let keep = state.listed || state.memory.streams() > 0;
            moved.push(keep.then_some(kept.len()));
            if keep {
                kept.push(state);
            }
        }
        self.targets = kept;
        self.index = self.targets.iter().enumerate().map(|(at, s)| (s.name.clone(), at)).collect();
        for running in self.running.values_mut() {
            running.target = moved[running.target].unwrap_or_default();
        }
        self.index_domains();
    }
}
