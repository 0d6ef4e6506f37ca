//! Observation of the pace of targets, and placement by the pauses that prompts cause; see
//! [`crate::pace`].

use std::time::Duration;

use rand::Rng;

use crate::gate::{Gate, Running, is_lookup};
use crate::id;
use crate::pace::{Bound, Figures, RECENT, Regime, Sighting, UNEVEN_RATIO};
use crate::placement::{self, Candidate};
use crate::rank::Level;
use crate::request::{Class, Request, Verdict};
use crate::target;
use crate::time::Time;

/// Targets compared while some are at risk. Among six there is often none without risk, and
/// announcements of slowdowns spread the sends of entries that compare the same ones.
const CHOICES_AT_RISK: usize = 40;

/// Time to its objective above which a request waits rather than interrupt others. It covers a
/// prompt of ordinary length at a slow target and one before it. With 900 ms, more requests begin
/// late; with 1,300 ms, more answers are interrupted.
const WAIT_LEAD: Duration = Duration::from_millis(1_100);

/// Load that one answer at risk counts for.
const RISK_LOAD: f64 = 0.3;

/// Load added for a long answer to a target where later prompts can interrupt it. With it, a long
/// answer goes to an idle target of this kind only where the others are fuller by half.
const SLOW_LOAD: f64 = 0.5;

/// Events left of an answer, at most, for which it counts as nearly complete.
const NEARLY_COMPLETE: u64 = 3;

/// Requests behind those that wait for a target without risk that are tried in one turn.
const MAX_BEHIND: usize = 8;

/// How long targets count as uneven after they were last seen to be.
const UNEVEN_PERIOD: Duration = Duration::from_secs(5);

/// The choice of a target for a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// The target at this index.
    At(usize),
    /// It fits on no target.
    Full,
    /// It fits, but would interrupt answers and can still wait.
    Held,
}

impl Choice {
    pub(super) fn of(chosen: Option<usize>) -> Self {
        chosen.map_or(Self::Full, Self::At)
    }
}

impl Gate {
    /// Sets the longest pause that the routes of the service allow; `None` if none has a bound.
    pub fn set_longest_pause(&mut self, longest_pause: Option<Duration>) {
        self.longest_pause = longest_pause;
    }

    /// Sets the number of tokens in one event of an answer.
    pub fn set_event_tokens(&mut self, tokens: u32) {
        self.event_tokens = tokens.max(1);
    }

    /// Sets what other entries observe at a target.
    pub fn set_pace(&mut self, now: Time, target: &id::Target, others: Figures) {
        if self.pause_bound().is_some()
            && let Some(at) = self.index.get(target)
        {
            self.targets[*at].estimate.set_others(now, others);
        }
    }

    /// Forgets the pace of a target, because it is another one from now on.
    pub fn reset_pace(&mut self, target: &id::Target) {
        if let Some(at) = self.index.get(target) {
            self.targets[*at].estimate.reset();
            self.observed.remove(target);
        }
    }

    /// Returns the number of targets where a prompt would put running answers at risk.
    pub fn targets_at_risk(&self, now: Time) -> usize {
        let Some(bound) = self.pause_bound() else { return 0 };
        let listed = self.targets.iter().filter(|state| state.is_in_service());
        listed.filter(|state| bound.risk(now, &self.usual, &state.estimate) > 0).count()
    }

    /// Returns the bound of pauses; `None` if placement has none.
    pub(super) fn pause_bound(&self) -> Option<Bound> {
        let longest_pause = self.longest_pause.filter(|_| self.settings.pause_aware)?;
        Some(Bound { longest_pause, event_tokens: self.event_tokens })
    }

    /// Takes what events have shown since the last call.
    pub fn take_sighting(&mut self) -> Sighting {
        std::mem::take(&mut self.sighting)
    }

    /// Records the interval before an event, which brings its answer to `produced` tokens.
    pub(super) fn observe(&mut self, now: Time, request: id::Request, produced: u64) {
        let is_bound = self.pause_bound().is_some();
        let Some(running) = self.running.get_mut(&request) else { return };
        let whole = now.since(running.latest);
        let is_first = running.first.is_none();
        let long_pause = !is_first && self.longest_pause.is_some_and(|longest| whole > longest);
        running.interrupted |= long_pause;
        self.sighting.long_pause |= long_pause;
        let state = &mut self.targets[running.target];
        let waiting = state.all_unread() > 0;
        let waited = running.prompts_waited.replace(waiting);
        // Events that arrive together are not as far apart as their engine produced them.
        let is_single = produced - running.produced == u64::from(self.event_tokens);
        if let Some(waited) = waited
            && is_bound
            && is_single
            && !is_first
        {
            let regime = Regime::between(waited, waiting);
            let interval = whole / self.event_tokens;
            self.sighting.slowdown_changed |=
                state.estimate.record(now, &mut self.usual, regime, interval);
            self.observed.insert(state.name.clone(), now);
        }
    }

    /// Counts a running answer among those that can be interrupted at its target, or no longer.
    pub(super) fn count_interruptible(&mut self, request: id::Request) {
        let Some(running) = self.running.get_mut(&request) else { return };
        let is = is_interruptible(running, self.event_tokens);
        let was = std::mem::replace(&mut running.interruptible, is);
        let change = i32::from(is) - i32::from(was);
        self.targets[running.target].estimate.add_interruptible(change);
    }

    /// Updates whether targets are uneven, and drops observations that are too old to announce.
    pub(super) fn refresh_paces(&mut self, now: Time) {
        let Some(bound) = self.pause_bound() else {
            self.observed.clear();
            self.uneven_until = Time::ZERO;
            return;
        };
        self.observed.retain(|_, at| now.since(*at) < RECENT);
        let (mut fastest, mut slowest, mut slowed) = (f64::INFINITY, 0.0_f64, false);
        let mut paces = Vec::new();
        for state in self.targets.iter_mut().filter(|state| state.is_in_service()) {
            self.sighting.slowdown_changed |= state.estimate.refresh_slowdown(now);
            let Some(pace) = state.estimate.observed(now, &self.usual) else { continue };
            paces.push(pace);
            (fastest, slowest) = (fastest.min(pace), slowest.max(pace));
            slowed |= state.estimate.is_slowed(now) && bound.is_exceeded(&self.usual, pace);
        }
        self.usual.set_targets(paces);
        let is_uneven = slowest >= UNEVEN_RATIO * fastest;
        if slowed || is_uneven && bound.is_exceeded(&self.usual, slowest) {
            self.uneven_until = now + UNEVEN_PERIOD;
        }
    }

    /// Returns the bound of pauses if it decides on placements now: targets are uneven, so that some
    /// may be at risk.
    pub(super) fn deciding_bound(&self, now: Time) -> Option<Bound> {
        self.pause_bound().filter(|_| now < self.uneven_until)
    }

    /// Returns the time per token and the risk of a target for the log.
    pub(super) fn pace_and_risk(&self, now: Time, at: usize) -> (Option<Duration>, u32) {
        let Some(bound) = self.pause_bound() else { return (None, 0) };
        let estimate = &self.targets[at].estimate;
        let pace = estimate.pace(now, &self.usual).map(Duration::from_secs_f64);
        (pace, bound.risk(now, &self.usual, estimate))
    }

    /// Sends a queued request that stands behind others which wait for a target without risk.
    ///
    /// At most [`MAX_BEHIND`] are tried, so that the cost does not depend on the length of the
    /// queue.
    pub(super) fn send_behind_held(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        tried: &[(Level, id::Workspace)],
    ) -> Option<(id::Request, Verdict)> {
        self.queue.release_until(now + WAIT_LEAD);
        for request in self.queue.behind_held(tried, MAX_BEHIND) {
            let curve = self.curve(&request, 0);
            match self.place(now, rng, &request, &curve) {
                Choice::At(at) => {
                    let item = self.queue.pop_request(now, request.id)?;
                    return Some((request.id, self.send_waited(now, at, item)));
                }
                Choice::Held => {
                    let level = self.queue.level(&request);
                    self.queue.hold(request.id, level, request.objective);
                }
                Choice::Full => self.queue.release(request.id),
            }
        }
        None
    }

    /// Chooses among targets drawn at random for which `load` returns a value, so that as few answers
    /// as possible are interrupted.
    pub(super) fn choose_by_risk(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        request: &Request,
        bound: &Bound,
        load: impl Fn(&target::State) -> Option<f64>,
    ) -> Choice {
        let usual_choices = self.settings.choices;
        self.draw_up_to(rng, usual_choices.max(CHOICES_AT_RISK), load);
        self.prefer_near_candidates();
        let risks: Vec<u32> = self
            .candidate_targets
            .iter()
            .map(|at| bound.risk(now, &self.usual, &self.targets[*at].estimate))
            .collect();
        let choose = |candidates: &[Candidate], targets: &[usize]| {
            Choice::of(placement::choose_drawn(candidates).map(|at| targets[at]))
        };
        // Later prompts interrupt long answers.
        let prefers_fast = request.class == Class::Overnight;
        if risks.iter().all(|risk| *risk == 0) && !prefers_fast {
            let drawn = self.candidates.len().min(usual_choices);
            return choose(&self.candidates[..drawn], &self.candidate_targets[..drawn]);
        }
        let safe_only = risks.contains(&0);
        let can_wait = request.objective > now + WAIT_LEAD;
        if !safe_only && can_wait && !risks.is_empty() {
            return Choice::Held;
        }
        let mut candidates = Vec::with_capacity(risks.len());
        let mut targets = Vec::with_capacity(risks.len());
        for (nth, risk) in risks.into_iter().enumerate() {
            if safe_only && risk > 0 {
                continue;
            }
            let at = self.candidate_targets[nth];
            let mut candidate = self.candidates[nth];
            candidate.load += RISK_LOAD * f64::from(risk);
            if prefers_fast {
                let pace = self.targets[at].estimate.pace(now, &self.usual);
                let is_slow = pace.is_some_and(|pace| bound.is_exceeded(&self.usual, pace));
                candidate.load += if is_slow { SLOW_LOAD } else { 0.0 };
            }
            candidates.push(candidate);
            targets.push(at);
        }
        choose(&candidates, &targets)
    }
}

/// Returns whether a pause could still make an answer late, which would be on time without it.
fn is_interruptible(running: &Running, event_tokens: u32) -> bool {
    let left = running.request.limit.get().saturating_sub(running.produced);
    let began_late = match running.first {
        Some(first) => first > running.request.objective,
        None => running.request.class == Class::Spare,
    };
    !is_lookup(&running.request)
        && !running.interrupted
        && !began_late
        && left > NEARLY_COMPLETE * u64::from(event_tokens)
}
