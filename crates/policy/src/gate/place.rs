//! Candidate targets for a request, and the reserve that a heavy workspace must leave free on them.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::curve::Curve;
use crate::gate::Gate;
use crate::gate::pace::Choice;
use crate::id;
use crate::locality;
use crate::placement::{self, Candidate};
use crate::request::{Class, Request};
use crate::shedding;
use crate::target;
use crate::time::Time;

/// Part of every engine's memory that a heavy workspace leaves to the others. The share of one
/// entry in it must hold one ordinary answer, or the reserve stays free and no entry may use it.
pub(super) const HEAVY_RESERVE: f64 = 0.36;

/// A workspace is heavy if it holds more than so many times this entry's equal part of all tokens
/// held. Without this factor, two ordinary workspaces that share an entry would alternate in being
/// heavy.
const HEAVY_FROM: f64 = 1.3;

/// The multiple of the equal part above which a workspace must leave the whole reserve free.
const HEAVY_FULL: f64 = 1.6;

/// Streams without a first token that one entry may have at a target when it sends a live
/// generation there: while a prompt is computed, all streams of the engine stall.
const MAX_UNSTARTED: u32 = 1;

/// Shortest prompt, in tokens, that is placed by prefix affinity. A shorter one is computed in
/// about 3 ms, less than one step of an engine, so it goes by load alone.
const MIN_AFFINITY_PROMPT: u64 = 64;

/// Interval at which target weights are read from the outlier detector.
const WEIGHTS_INTERVAL: Duration = Duration::from_millis(200);

impl Gate {
    /// Refreshes the weights of targets, and the tokens held at all of them, if the last refresh is
    /// older than [`WEIGHTS_INTERVAL`].
    pub(super) fn refresh_weights(&mut self, now: Time) {
        self.queue.advance(now);
        if now.since(self.weights_read) < WEIGHTS_INTERVAL {
            return;
        }
        self.weights_read = now;
        let listed = self.targets.iter().filter(|state| state.is_in_service());
        self.held = listed.map(|state| state.memory.held().1).sum();
        self.refresh_paces(now);
        if !self.settings.outlier {
            return;
        }
        self.detector.poll(now);
        for (target, weight) in self.detector.weights(now) {
            if let Some(at) = self.index.get(target) {
                self.targets[*at].weight = weight;
            }
        }
    }

    /// Returns how far a workspace is above this entry's equal part of all tokens held, from 0 (not
    /// heavy) to 1 (the whole reserve applies). Where other entries are counted, it is how far what it
    /// holds through all entries is above an equal part of what all workspaces hold through them.
    fn excess(&self, workspace: &id::Workspace) -> f64 {
        if self.settings.fleet_shares {
            return excess_of(self.heavies.parts(workspace));
        }
        let part = self.held / self.entries.0.max(1) as f64;
        if !self.usage.is_heavy(workspace, HEAVY_FROM * part) {
            return 0.0;
        }
        excess_of(self.usage.held(workspace) / part.max(1.0))
    }

    /// Chooses a target for a lookup, which never waits for the memory of an engine.
    pub(super) fn place_lookup(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: &Request,
    ) -> Option<usize> {
        let (sends, usual) = (self.sends, self.answers);
        let is_up = |state: &target::State| {
            let up = state.is_up(now) && Some(&state.name) != request.avoid.as_ref();
            up.then(|| state.load(sends))
        };
        if self.settings.locality {
            self.draw_by_domain(rng, is_up, |state| !state.answers.is_slow(&usual));
        } else {
            self.draw(rng, is_up);
        }
        if self.candidates.is_empty() {
            // A suspect target is better than none, and one that failed another request is better
            // than the one that has just failed this request.
            self.draw(rng, |state| {
                let other = Some(&state.name) != request.avoid.as_ref();
                (state.hard_exclusion(now).is_none() && other).then_some(0.0)
            });
        }
        if self.candidates.is_empty() {
            self.draw(rng, |state| state.hard_exclusion(now).is_none().then_some(0.0));
        }
        placement::choose_drawn(&self.candidates).map(|at| self.candidate_targets[at])
    }

    /// Chooses a target for a generation.
    pub(super) fn place(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: &Request,
        curve: &Curve,
    ) -> Choice {
        let (settings, order) = (self.settings.clone(), Arc::clone(&self.order));
        let (sends, mean_prompt) = (self.sends, self.mean_prompt);
        let live = request.class == Class::Live;
        let reserve = match request.class {
            Class::Live if settings.reserve => HEAVY_RESERVE * self.excess(&request.workspace),
            Class::Spare if settings.shed_late => shedding::RESERVE,
            _ => 0.0,
        };
        let reserved = if request.class == Class::Live { self.reserved } else { 1.0 };
        let live = settings.pace && live;
        let candidate = |state: &target::State| {
            if !state.is_up(now) || Some(&state.name) == request.avoid.as_ref() {
                return None;
            }
            if settings.stagger && !state.stagger.is_over(now, &order, &state.name) {
                return None;
            }
            if now < state.deferred_until {
                return None;
            }
            if settings.prefill_bound && !state.has_prefill_room(request.prompt.get(), mean_prompt)
            {
                return None;
            }
            let (share, part) = (state.share, state.share.get(now));
            if live && (state.unstarted >= MAX_UNSTARTED || !state.has_stream_room(now, part)) {
                return None;
            }
            // All entries leave the reserve free at the same targets. A part of it at each target would
            // hold no answer.
            let is_reserved = reserved >= 1.0 || (state.key as f64) < reserved * u64::MAX as f64;
            let reserve = if is_reserved { reserve } else { 0.0 };
            let (own, total) = state.memory.held();
            let claim = state.memory.claim(
                now,
                request.class,
                part,
                share.retained(now, own, total),
                reserve,
            );
            let fits = !settings.memory || state.memory.fits(request.class, &claim, curve);
            fits.then(|| state.load(sends))
        };
        let has_affinity = settings.affinity && request.prompt.get() >= MIN_AFFINITY_PROMPT;
        let prefix = if has_affinity { request.prefix } else { placement::NO_PREFIX };
        let common = |state: &target::State| if state.scarce { None } else { candidate(state) };
        let bound = self.deciding_bound(now).filter(|_| prefix == placement::NO_PREFIX);
        if let Some(bound) = bound {
            let chosen = match self.scarce.is_empty() {
                true => Choice::Full,
                false => self.choose_by_risk(now, rng, request, &bound, common),
            };
            return match chosen {
                Choice::Full => self.choose_by_risk(now, rng, request, &bound, candidate),
                chosen => chosen,
            };
        }
        let chosen = match self.scarce.is_empty() {
            true => None,
            false => self.choose(rng, prefix, common),
        };
        Choice::of(chosen.or_else(|| self.choose(rng, prefix, candidate)))
    }

    /// Chooses one of the targets for which `load` returns a value, for a prompt with this prefix.
    fn choose(
        &mut self,
        rng: &mut impl Rng,
        prefix: u64,
        load: impl Fn(&target::State) -> Option<f64>,
    ) -> Option<usize> {
        let chosen = if prefix == placement::NO_PREFIX {
            if self.settings.locality {
                self.draw_by_domain(rng, load, |_| true);
            } else {
                self.draw(rng, load);
            }
            placement::choose_drawn(&self.candidates)
        } else {
            self.collect(load);
            placement::choose(rng, prefix, &self.candidates, self.settings.choices)
        };
        chosen.map(|at| self.candidate_targets[at])
    }

    /// Draws targets at random for which `load` returns a value, as candidates with that load, until
    /// there are as many as a placement without a prefix compares.
    ///
    /// Where most targets have room, the cost does not depend on how many there are.
    fn draw(&mut self, rng: &mut impl Rng, load: impl Fn(&target::State) -> Option<f64>) {
        self.draw_up_to(rng, self.settings.choices, load);
    }

    /// Draws up to so many targets at random for which `load` returns a value.
    pub(super) fn draw_up_to(
        &mut self,
        rng: &mut impl Rng,
        choices: usize,
        load: impl Fn(&target::State) -> Option<f64>,
    ) {
        self.candidates.clear();
        self.candidate_targets.clear();
        self.draw_more(rng, choices, load);
    }

    /// Draws targets as [`Gate::draw`] does, half of them in the failure domain of this entry. A
    /// target in another domain counts with more load, and so does a near one for which
    /// `is_preferred` returns false; see [`crate::locality`].
    fn draw_by_domain(
        &mut self,
        rng: &mut impl Rng,
        load: impl Fn(&target::State) -> Option<f64>,
        is_preferred: impl Fn(&target::State) -> bool,
    ) {
        if self.near.len() == 0 {
            return self.draw(rng, load);
        }
        self.candidates.clear();
        self.candidate_targets.clear();
        let own = self.domain.clone();
        let load = |state: &target::State| {
            let near = state.domain == own && state.weight >= 1.0 && is_preferred(state);
            load(state).map(|load| if near { load } else { load + locality::REMOTE_LOAD })
        };
        let choices = locality::near_choices(self.settings.choices);
        for nth in 0..locality::near_tries(choices).min(self.near.len()) {
            if self.candidates.len() >= choices {
                break;
            }
            let at = self.near.draw(rng, nth);
            self.add_candidate(at, &load);
        }
        self.draw_more(rng, self.settings.choices, load);
    }

    /// Draws further targets at random, without those that are candidates already, until there are
    /// `choices` candidates.
    fn draw_more(
        &mut self,
        rng: &mut impl Rng,
        choices: usize,
        load: impl Fn(&target::State) -> Option<f64>,
    ) {
        let before = self.candidates.len();
        let count = self.targets.len();
        if self.draw_order.len() != count {
            self.draw_order = (0..count).collect();
        }
        // A partial shuffle: whatever the order before it, the drawn part is uniform.
        for nth in 0..count {
            if self.candidates.len() >= choices {
                return;
            }
            self.draw_order.swap(nth, rng.random_range(nth..count));
            let at = self.draw_order[nth];
            if !self.candidate_targets[..before].contains(&at) {
                self.add_candidate(at, &load);
            }
        }
    }

    /// Adds load to the candidates in other failure domains than that of this entry; see
    /// [`crate::locality`].
    pub(super) fn prefer_near_candidates(&mut self) {
        if !self.settings.locality || self.domain.is_none() {
            return;
        }
        for (candidate, at) in self.candidates.iter_mut().zip(&self.candidate_targets) {
            if self.targets[*at].domain != self.domain {
                candidate.load += locality::REMOTE_LOAD;
            }
        }
    }

    fn add_candidate(&mut self, at: usize, load: &impl Fn(&target::State) -> Option<f64>) {
        let state = &self.targets[at];
        if state.weight > 0.0
            && let Some(load) = load(state)
        {
            self.candidates.push(Candidate { key: state.key, load, weight: state.weight });
            self.candidate_targets.push(at);
        }
    }

    /// Collects the targets for which `load` returns a value, as candidates with that load.
    fn collect(&mut self, load: impl Fn(&target::State) -> Option<f64>) {
        self.candidates.clear();
        self.candidate_targets.clear();
        for (at, state) in self.targets.iter().enumerate() {
            if let Some(load) = load(state) {
                self.candidates.push(Candidate { key: state.key, load, weight: state.weight });
                self.candidate_targets.push(at);
            }
        }
    }
}

/// Returns how much of the reserve a workspace leaves free that holds so many times an equal part.
fn excess_of(parts: f64) -> f64 {
    ((parts - HEAVY_FROM) / (HEAVY_FULL - HEAVY_FROM)).clamp(0.0, 1.0)
}
