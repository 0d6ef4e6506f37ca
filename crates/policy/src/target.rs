//! The state of one target at one entry.

use std::time::Duration;

use crate::concurrency::Limiter;
use crate::exclusion::Exclusion;
use crate::id;
use crate::locality;
use crate::memory::Memory;
use crate::pace::Estimate;
use crate::placement;
use crate::share::Share;
use crate::stagger::Delay;
use crate::time::Time;

/// How long a target receives nothing after a failure; after that, outlier ejection decides. It
/// covers the reconnection of a link, and is short compared with the patience of callers.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Streams of one entry at a target, for each unit of its weight, while the weight is below 1. At
/// the weight at which a target returns from ejection this allows one stream.
const RAMP_STREAMS: f64 = 10.0;

/// Prompt tokens waiting for prefill that count as much as the whole memory of a target in use.
///
/// Prompts of several entries can meet at an engine that has room. They are computed one after the
/// other at some 14 tokens per millisecond, and the last of them begins a second late while other
/// engines are idle. A typical prompt has 3,000 tokens, so that one waiting prompt counts as a
/// quarter of an engine.
const PREFILL_LOAD: f64 = 12_000.0;

/// Prompts of mean length that may wait for prefill at one target, the new one included.
///
/// A prompt that waits inside an engine can neither be taken back, however late it gets, nor be
/// overtaken by a later one; at the entry both are possible. The bound is a little above two since
/// one prompt is computed while the next arrives, and since prompt lengths differ by a third.
/// Together with [`crate::stagger`] it lowers the long answers of a busy day that begin late from
/// 258 to 157; neither of the two alone serves callers better.
const MAX_PREFILL_PROMPTS: f64 = 2.25;

/// Load that breaks ties between targets by the time of the last send; far below the load of one
/// answer.
const TIE_BREAK: f64 = 1e-6;

/// The state of one target.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) name: id::Target,
    pub(crate) key: u64,
    pub(crate) listed: bool,
    /// Whether its failure domain is cordoned.
    pub(crate) cordoned: bool,
    pub(crate) weight: f64,
    pub(crate) share: Share,
    pub(crate) memory: Memory,
    pub(crate) pace: Limiter,
    /// What is known of its time per token.
    pub(crate) estimate: Estimate,
    /// Streams that have not produced their first token.
    pub(crate) unstarted: u32,
    /// Prompt tokens of these streams.
    pub(crate) unread: u64,
    /// Prompt tokens of such streams of other entries, as last announced.
    pub(crate) others_unread: u64,
    /// The gate's count of sends at the last send to this target.
    pub(crate) last_send: u64,
    /// Delay before this entry sends to it after it has joined.
    pub(crate) stagger: Delay,
    /// Until when no prompt is placed there, since its owner has deferred one.
    pub(crate) deferred_until: Time,
    failed_until: Time,
    /// Until when it receives nothing more from this entry.
    suspended_until: Time,
    /// Why it receives nothing more.
    suspension: Exclusion,
    /// Whether few targets have its version of software.
    pub(crate) scarce: bool,
    /// Its failure domain, if known.
    pub(crate) domain: Option<id::Domain>,
    /// Mean time of its answers to plain requests.
    pub(crate) answers: locality::Mean,
}

impl State {
    pub(crate) fn open(name: id::Target, stagger: Delay) -> Self {
        let key = placement::key(&name);
        Self {
            name,
            key,
            listed: true,
            cordoned: false,
            weight: 1.0,
            share: Share::default(),
            memory: Memory::default(),
            pace: Limiter::default(),
            estimate: Estimate::default(),
            unstarted: 0,
            unread: 0,
            others_unread: 0,
            last_send: 0,
            stagger,
            deferred_until: Time::ZERO,
            failed_until: Time::ZERO,
            suspended_until: Time::ZERO,
            suspension: Exclusion::Limited,
            scarce: false,
            domain: None,
            answers: locality::Mean::default(),
        }
    }

    /// Returns the prompt tokens of all entries that wait for prefill there.
    pub(crate) fn all_unread(&self) -> u64 {
        self.unread + self.others_unread
    }

    /// Returns whether a prompt would start prefill there without waiting behind more prompts than
    /// the bound allows, where `mean_prompt` is the mean prompt length in tokens.
    pub(crate) fn has_prefill_room(&self, prompt: u64, mean_prompt: f64) -> bool {
        is_within_prefill_bound(self.all_unread(), prompt, mean_prompt)
    }

    /// Records that a prompt was sent.
    pub(crate) fn add_unstarted(&mut self, prompt: u64) {
        self.unstarted += 1;
        self.unread += prompt;
    }

    /// Records that an answer has begun or has ended without a token.
    pub(crate) fn remove_unstarted(&mut self, prompt: u64) {
        self.unstarted = self.unstarted.saturating_sub(1);
        self.unread = self.unread.saturating_sub(prompt);
    }

    /// Records a failure at `now`.
    pub(crate) fn record_failure(&mut self, now: Time) {
        self.failed_until = now + FAILURE_PAUSE;
    }

    /// Suspends the target until a time, unless it is already suspended for longer.
    pub(crate) fn suspend(&mut self, until: Time, why: Exclusion) {
        if until > self.suspended_until {
            (self.suspended_until, self.suspension) = (until, why);
        }
    }

    /// Returns how long it remains suspended and why; `None` if it is not.
    pub(crate) fn suspension(&self, now: Time) -> Option<(Duration, Exclusion)> {
        let left = self.suspended_until.since(now);
        (!left.is_zero()).then_some((left, self.suspension))
    }

    /// Ends its rest, which an earlier start asked for, and the suspension because that crashed.
    pub(crate) fn end_suspension_of_start(&mut self) {
        if matches!(self.suspension, Exclusion::Resting | Exclusion::Crashed) {
            self.suspended_until = Time::ZERO;
        }
    }

    /// Returns its load for placement: memory, prompts that wait for prefill, and a tie-breaker by
    /// the time of the last send. With the tie-breaker, targets that are otherwise equal take
    /// turns, so that each target of a nearly idle fleet keeps getting requests that show whether
    /// it works.
    pub(crate) fn load(&self, sends: u64) -> f64 {
        let unread = self.all_unread() as f64 / PREFILL_LOAD;
        self.memory.load() + unread + TIE_BREAK * self.last_send as f64 / sends.max(1) as f64
    }

    /// Returns why it may receive nothing now; `None` if it may.
    pub(crate) fn exclusion(&self, now: Time) -> Option<Exclusion> {
        let hard = self.hard_exclusion(now);
        let suspicions = [
            (now < self.failed_until, Exclusion::Failed),
            (!self.is_within_ramp(), Exclusion::Ejected),
        ];
        let suspicion = || suspicions.into_iter().find(|(holds, _)| *holds).map(|(_, why)| why);
        hard.or_else(suspicion)
    }

    /// Returns why it may receive nothing even if no better target is left; `None` if it may.
    /// Recent failures and ejection do not count here, since a suspect target is better than no
    /// answer.
    pub(crate) fn hard_exclusion(&self, now: Time) -> Option<Exclusion> {
        let reasons = [
            (!self.listed, Exclusion::Drains),
            (self.cordoned, Exclusion::Cordoned),
            (now < self.suspended_until, self.suspension),
        ];
        reasons.into_iter().find(|(holds, _)| *holds).map(|(_, why)| why)
    }

    /// Returns whether it may receive requests now.
    pub(crate) fn is_up(&self, now: Time) -> bool {
        self.exclusion(now).is_none()
    }

    /// Returns whether it is listed and not cordoned.
    pub(crate) fn is_in_service(&self) -> bool {
        self.listed && !self.cordoned
    }

    /// Returns whether its weight allows one more stream. A target that returns from ejection is
    /// empty and would attract all requests at once, however slow it still is, so its streams are
    /// bounded until it has its full weight.
    fn is_within_ramp(&self) -> bool {
        let bound = f64::from(self.memory.streams()) < self.weight * RAMP_STREAMS;
        self.weight >= 1.0 || bound
    }

    /// Returns whether the bound on streams allows one more stream of this entry.
    pub(crate) fn has_stream_room(&self, now: Time, share: f64) -> bool {
        let bound = self.pace.limit(now);
        let all = f64::from(self.memory.all_streams());
        let own = f64::from(self.memory.streams());
        // An entry below its share of the bound may always send.
        all < bound || own < bound * share
    }
}

/// Returns whether a prompt may be sent where `waiting` prompt tokens wait for prefill; see
/// [`MAX_PREFILL_PROMPTS`].
pub(crate) fn is_within_prefill_bound(waiting: u64, prompt: u64, mean_prompt: f64) -> bool {
    waiting == 0 || (waiting + prompt) as f64 <= MAX_PREFILL_PROMPTS * mean_prompt
}
