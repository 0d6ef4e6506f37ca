//! Ejection of slow and failing targets.
//!
//! **Load pattern.** One engine of many becomes several times slower than its peers (a throttled
//! accelerator, a noisy neighbour) or fails every request at once, and its load report does not
//! say so: a target that fails fast even looks idle.
//!
//! **Without it.** Each request sent there waits several times as long, and a target that fails
//! at once attracts ever more requests because it is always the least loaded.
//!
//! **Figures.** A target is slow at [`SLOW`] times the median of its peers, twice the spread of
//! healthy engines with different batches. It must stay so for [`GRACE`], since a long prompt
//! alone slows an engine for about a second. At most [`CAP`] of the targets are out at once: the
//! rest must be able to carry the load. When more than [`MOST`] look bad the fault lies elsewhere
//! (a link, a bad text), and ejection would only pile the load on the few, so it is ignored. The
//! first ejection lasts [`EJECTION`] and each that follows soon twice as long, up to
//! [`LONGEST`]. A target that returns ramps up over [`RAMP`] so that its cold cache is not
//! flooded. `docs/DECISIONS.md`, section "Slow targets", has the runs.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;

use crate::id;
use crate::observation::{Observations, Observer, Outcome};
use crate::time::Time;

/// How many times the median of its peers a slow target's latency is.
pub const SLOW: f64 = 3.0;
/// How long a target must look slow before it is ejected.
pub const GRACE: Duration = Duration::from_secs(1);
/// The largest share of targets that may be out at once; one of two or more always may.
pub const CAP: f64 = 0.34;
/// Above this share of bad targets, ejection is ignored.
pub const MOST: f64 = 0.5;
/// Failures in a row that eject a target without grace.
pub const FAILURES: u32 = 3;
/// How long the first ejection lasts.
pub const EJECTION: Duration = Duration::from_secs(10);
/// How long an ejection lasts at most.
pub const LONGEST: Duration = Duration::from_secs(80);
/// How long a target that returns takes to reach its full weight.
pub const RAMP: Duration = Duration::from_secs(10);
/// The weight at which a target returns: at 0.1 a target that is still slow drew enough to raise
/// the 99th percentile of `slow-target` by 32 in 100 on one seed of seven, at 0.05 by 21 at most.
pub const RETURN_WEIGHT: f64 = 0.05;

/// Samples before a target is judged; fewer are mostly noise, more are more slow answers.
const SAMPLES: u32 = 4;
/// Samples that suffice for one that has just returned, so that it is sent little while slow.
const PROBE_SAMPLES: u32 = 1;
/// The part of each new sample in the moving average: about the last ten count.
const SMOOTHING: f64 = 0.2;
/// After this long without ejection a target's record is clean again.
const FORGIVEN: Duration = Duration::from_secs(300);

/// One observation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// It answered; time to the first token, between tokens, or to a plain response. One detector
    /// takes only one of these kinds.
    Latency(Duration),
    /// It failed or could not be reached.
    Failed,
}

/// Why a target was ejected, for operators.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// It answers far more slowly than its peers.
    #[display("slower than its peers")]
    Slow,
    /// Calls to it fail one after another.
    #[display("its calls fail")]
    Failing,
}

/// A target that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ejection {
    /// Why.
    pub cause: Cause,
    /// When it is tried again.
    pub until: Time,
}

#[derive(Clone, Debug, Default)]
struct Track {
    witnesses: Observations,
    latency: f64,
    samples: u32,
    failures: u32,
    slow_since: Option<Time>,
    out_until: Option<Time>,
    cause: Option<Cause>,
    ejections: u32,
}

impl Track {
    fn is_failing(&self, now: Time) -> bool {
        self.failures >= FAILURES || self.witnesses.is_failing(now)
    }

    fn is_out(&self, now: Time) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    fn known(&self) -> bool {
        let needed = if self.ejections > 0 { PROBE_SAMPLES } else { SAMPLES };
        self.samples >= needed
    }

    fn record(&mut self, sample: Sample) {
        match sample {
            Sample::Failed => self.failures += 1,
            Sample::Latency(span) => {
                let seconds = span.as_secs_f64();
                let part = if self.samples == 0 { 1.0 } else { SMOOTHING };
                self.latency += part * (seconds - self.latency);
                self.samples = self.samples.saturating_add(1);
                self.failures = 0;
            }
        }
    }

    fn eject(&mut self, now: Time, cause: Cause) {
        let last_end = self.out_until.unwrap_or(Time::ZERO);
        if now.since(last_end) > FORGIVEN {
            self.ejections = 0;
        }
        let span = EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        let ejections = self.ejections + 1;
        // What was measured before says nothing of the target that returns.
        *self = Self {
            out_until: Some(now + span.min(LONGEST)),
            cause: Some(cause),
            ejections,
            ..Self::default()
        };
    }

    fn weight(&self, now: Time) -> f64 {
        let Some(until) = self.out_until else { return 1.0 };
        if now < until {
            return 0.0;
        }
        let ramp = now.since(until).as_secs_f64() / RAMP.as_secs_f64();
        (RETURN_WEIGHT + (1.0 - RETURN_WEIGHT) * ramp).min(1.0)
    }
}

/// Watches the targets of one service.
///
/// Recording one sample costs a scan of the targets, and weights move slowly, so a gate samples
/// once for each attempt and reads [`Detector::weight`] a few times a second, not once for each
/// placement.
#[derive(Debug, Default)]
pub struct Detector {
    tracks: HashMap<id::Target, Track>,
    /// Outcomes that other entries should hear of.
    news: Vec<(id::Target, Outcome)>,
}

impl Detector {
    /// Opens a detector that knows no target.
    pub fn open() -> Self {
        Self::default()
    }

    /// Keeps these targets and forgets all others.
    pub fn set_targets<'a>(&mut self, targets: impl IntoIterator<Item = &'a id::Target>) {
        let mut kept = HashMap::new();
        for target in targets {
            kept.insert(target.clone(), self.tracks.remove(target).unwrap_or_default());
        }
        self.tracks = kept;
    }

    /// Takes in one sample and ejects the target if it is due; a target not set is ignored.
    pub fn record(&mut self, now: Time, target: &id::Target, sample: Sample) {
        let Some(track) = self.tracks.get_mut(target) else { return };
        if track.is_out(now) {
            // Sent before the ejection: it must not count against the target that returns.
            return;
        }
        track.record(sample);
        if sample == Sample::Failed && track.witnesses.record_own(now, Outcome::Failed) {
            self.news.push((target.clone(), Outcome::Failed));
        }
        self.judge(now, target);
    }

    /// Notes that a target has begun to answer a request.
    pub fn answered(&mut self, now: Time, target: &id::Target) {
        let Some(track) = self.tracks.get_mut(target) else { return };
        if track.witnesses.record_own(now, Outcome::Answered) {
            self.news.push((target.clone(), Outcome::Answered));
        }
    }

    /// Takes in how a request of another entry ended at a target.
    pub fn hear(&mut self, now: Time, target: &id::Target, observer: Observer, outcome: Outcome) {
        let Some(track) = self.tracks.get_mut(target) else { return };
        if track.is_out(now) {
            return;
        }
        track.witnesses.record_peer(now, observer, outcome);
        self.judge(now, target);
    }

    /// Ejects targets that are due by what was seen before; called a few times a second.
    pub fn poll(&mut self, now: Time) {
        let known = |track: &Track| !track.witnesses.is_empty() && !track.is_out(now);
        let known = self.tracks.iter().filter(|(_, track)| known(track));
        let targets: Vec<id::Target> = known.map(|(target, _)| target.clone()).collect();
        targets.iter().for_each(|target| self.judge(now, target));
    }

    /// What other entries should hear of, since this was last asked.
    pub fn take_news(&mut self) -> Vec<(id::Target, Outcome)> {
        std::mem::take(&mut self.news)
    }

    /// Ejects a target if it is due.
    fn judge(&mut self, now: Time, target: &id::Target) {
        let Some(track) = self.tracks.get(target).cloned() else { return };
        let slow = self.is_slow(target, &track);
        let slow_since = slow.then(|| track.slow_since.unwrap_or(now));
        // One that returned and is slow again has had its grace; more would only be sent to wait.
        let grace = if track.ejections > 0 { Duration::ZERO } else { GRACE };
        let due = slow_since.is_some_and(|since| now.since(since) >= grace);
        let failing = track.is_failing(now);
        let eject = (due || failing) && self.may_eject(now);
        let Some(track) = self.tracks.get_mut(target) else { return };
        track.slow_since = slow_since;
        if eject {
            let cause = if failing { Cause::Failing } else { Cause::Slow };
            track.eject(now, cause);
        }
    }

    /// How far a target is to be used now, from 0 (ejected) to 1.
    pub fn weight(&self, now: Time, target: &id::Target) -> f64 {
        if self.most_look_bad(now) {
            return 1.0;
        }
        self.tracks.get(target).map_or(1.0, |track| track.weight(now))
    }

    /// The weights of all targets, in no order; one scan instead of one for each target.
    pub fn weights(&self, now: Time) -> impl Iterator<Item = (&id::Target, f64)> {
        let ignored = self.most_look_bad(now);
        let weight = move |track: &Track| if ignored { 1.0 } else { track.weight(now) };
        self.tracks.iter().map(move |(target, track)| (target, weight(track)))
    }

    /// Why a target gets no new work now; `None` where it does.
    pub fn ejection(&self, now: Time, target: &id::Target) -> Option<Ejection> {
        let track = self.tracks.get(target).filter(|track| track.is_out(now))?;
        if self.most_look_bad(now) {
            return None;
        }
        Some(Ejection { cause: track.cause?, until: track.out_until? })
    }

    /// How many targets are out now.
    pub fn ejected(&self, now: Time) -> usize {
        self.tracks.values().filter(|track| track.is_out(now)).count()
    }

    fn is_slow(&self, target: &id::Target, track: &Track) -> bool {
        if !track.known() {
            return false;
        }
        let peers = self.tracks.iter().filter(|(name, peer)| *name != target && peer.known());
        let mut latencies: Vec<f64> = peers.map(|(_, peer)| peer.latency).collect();
        if latencies.is_empty() {
            return false;
        }
        let middle = latencies.len() / 2;
        let (_, median, _) = latencies.select_nth_unstable_by(middle, f64::total_cmp);
        track.latency > SLOW * *median
    }

    fn may_eject(&self, now: Time) -> bool {
        let count = self.tracks.len();
        let cap = ((count as f64 * CAP) as usize).max(1);
        count > 1 && self.ejected(now) < cap && !self.most_look_bad(now)
    }

    /// Whether so many targets look bad that the fault must lie elsewhere.
    fn most_look_bad(&self, now: Time) -> bool {
        let bad = |track: &&Track| {
            track.is_out(now) || track.is_failing(now) || track.slow_since.is_some()
        };
        let bad = self.tracks.values().filter(bad).count();
        bad as f64 > MOST * self.tracks.len() as f64
    }
}
