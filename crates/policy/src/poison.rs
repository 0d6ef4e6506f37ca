//! Quarantine of poison requests: requests that crash the targets that run them.
//!
//! A poison request crashes each target that runs it, which also aborts everything else that runs
//! there, and its caller retries it at any entry. Entries share which requests were running on a
//! target when it crashed. A request with [`SUSPECT_CRASHES`] crashes and no complete answer in
//! between is a suspect, and with [`SUSPECT_BRIEF_CRASHES`] if its runs were brief: it is sent only
//! as a trial, and one entry grants trials for the whole fleet.
//!
//! Nothing of this outlasts the processes, so a fleet whose entries all lose power learns about a
//! poison request anew. For brief runs, what it may crash until then is bounded such that two fleets
//! which know nothing of each other stay within what one may send.
//!
//! A request that merely ran beside a poison request looks the same until it has run elsewhere.
//! Three rules limit what this costs: a complete answer clears a request, a suspect's first trial
//! is granted at once, and a crash counts only against the request that explains it best. That is
//! the request whose runs lasted about equally long before each crash, and among similar ones the
//! request with the most crashes.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::lease::Target;
use crate::resubmission::Fingerprint;
use crate::time::Time;

/// Number of crashed targets that makes a request a suspect.
pub const SUSPECT_CRASHES: usize = 3;

/// The same for a request most of whose runs crashed within [`BRIEF_RUN`], which is hardly a
/// coincidence.
pub const SUSPECT_BRIEF_CRASHES: usize = 2;

/// Maximum number of consecutive trials of a request whose crashes may be a coincidence.
pub const MAX_TRIALS: u8 = 4;

/// Maximum number of trials of a request most of whose runs crashed within [`BRIEF_RUN`]. The second
/// one is granted only if the first one crashed no target: its entry may have ended with it.
pub const MAX_BRIEF_TRIALS: u8 = 2;

/// Time from such a trial to the second one. A crash that nobody saw is confirmed by then, since the
/// target's lease has lapsed or its next start is listed.
const TRIAL_PAUSE: Duration = Duration::from_secs(10);

/// A run of a poison request crashes its target within this time.
const BRIEF_RUN: Duration = Duration::from_millis(500);

/// Maximum number of trials that are granted later than [`PROPAGATION`] after a request became
/// suspect.
pub const MAX_LATE_TRIALS: u8 = 3;

/// Time until all entries know that a request is suspect.
pub const PROPAGATION: Duration = Duration::from_millis(1_500);

/// A trial counts as running for twice the longest run that crashed a target, plus this margin, in
/// which it waits at its target until it begins.
const TRIAL_MARGIN: Duration = Duration::from_secs(2);

/// Upper bound on the time for which a trial without an outcome counts as running.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a request that is no suspect is remembered after its last crash.
pub const CRASH_TTL: Duration = Duration::from_secs(600);

/// How long a suspect is remembered after its last crash or trial.
pub const SUSPECT_TTL: Duration = Duration::from_secs(24 * 3_600);

/// How long after a complete answer crashes do not count: a frequent request runs on all targets,
/// so it was running on any target that crashes, whatever the cause.
pub const COMPLETION_GRACE: Duration = Duration::from_secs(10);

/// How long a complete answer to a request without crashes is remembered.
const COMPLETION_TTL: Duration = Duration::from_secs(30);

/// Spreads of run times count as different from this difference on. A poison request crashes its
/// targets after about the same run time each.
const SPREAD_TOLERANCE: Duration = Duration::from_millis(150);

/// Maximum error of times that entries exchange, which they send as ages.
const TIME_ERROR: Duration = Duration::from_millis(30);

/// Maximum time after which a refused caller may retry while a trial is running.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(2);

/// Maximum number of requests that are remembered; requests that are not suspect are evicted first.
pub const MAX_REQUESTS: usize = 8_192;

/// Maximum number of crashes that are remembered for each request.
const MAX_CRASHES: usize = 16;

/// One start of a target, identified by a 64-bit hash of its name and start time.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Returns the incarnation of a target as the registry lists it.
    pub fn of(target: &Target) -> Self {
        let mut hash = Xxh3::new();
        hash.update(target.id.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(target.start.map(|start| start.to_string()).unwrap_or_default().as_bytes());
        Self(hash.digest())
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Allow,
    /// It may be sent if the entry that owns its record grants a trial.
    Trial,
    /// It may not be sent; the caller may retry after this time.
    Refuse(Duration),
}

/// The state of one request as entries exchange it. Times are ages in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Targets that crashed while they ran the request, each with the age of the crash.
    #[serde(rename = "ends")]
    pub crashes: Vec<(Incarnation, u64)>,
    /// How long the oldest run of the request on each of these targets had lasted, in milliseconds
    /// and in the order of `crashes`.
    #[serde(rename = "lasted", default)]
    pub run_times: Vec<u64>,
    /// Number of trials granted.
    pub trials: u8,
    /// Number of those trials that were granted later than [`PROPAGATION`] after the request became
    /// suspect.
    #[serde(rename = "late", default)]
    pub late_trials: u8,
    /// Age of the latest trial.
    pub trial_age: u64,
    /// Age of the latest complete answer, if there was one.
    #[serde(rename = "whole_age")]
    pub completion_age: Option<u64>,
}

impl Record {
    /// Returns whether enough targets have crashed for the request to be a suspect.
    pub fn is_suspect(&self) -> bool {
        let run_time = |nth| self.run_times.get(nth).copied().unwrap_or_default();
        let run_times = (0..self.crashes.len()).map(run_time).map(Duration::from_millis);
        let coincidence = may_be_coincidence(run_times);
        let needed = if coincidence { SUSPECT_CRASHES } else { SUSPECT_BRIEF_CRASHES };
        self.crashes.len() >= needed
    }
}

/// A target that crashed while it ran a request.
#[derive(Clone, Copy, Debug)]
struct Crash {
    incarnation: Incarnation,
    at: Time,
    /// How long the oldest run of the request there had lasted.
    run_time: Duration,
}

impl Crash {
    /// Returns whether the run began after the same target had crashed according to `other`.
    fn began_after(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && other.at + TIME_ERROR < self.at - self.run_time
    }
}

/// The state of one request that was running on a target when it crashed.
#[derive(Clone, Debug, Default)]
struct History {
    crashes: Vec<Crash>,
    trials: u8,
    late_trials: u8,
    last_trial: Time,
    completed: Option<Time>,
}

impl History {
    fn is_suspect(&self) -> bool {
        self.crashes.len() >= self.suspect_crashes()
    }

    /// Returns the number of crashes that makes the request a suspect.
    fn suspect_crashes(&self) -> usize {
        if self.may_be_coincidence() { SUSPECT_CRASHES } else { SUSPECT_BRIEF_CRASHES }
    }

    fn last_event(&self) -> Time {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        crashes.chain([self.last_trial]).chain(self.completed).max().unwrap_or_default()
    }

    fn is_expired(&self, now: Time) -> bool {
        let ttl = match (self.crashes.is_empty(), self.is_suspect()) {
            (true, _) => COMPLETION_TTL,
            (_, true) => SUSPECT_TTL,
            (_, false) => CRASH_TTL,
        };
        now.since(self.last_event()) >= ttl
    }

    fn decide(&self, now: Time) -> Decision {
        let left = self.trial_timeout().saturating_sub(now.since(self.last_trial));
        let running = self.trials > 0 && !self.has_failed_trial();
        if running && !left.is_zero() {
            return Decision::Refuse(left.min(MAX_TRIAL_WAIT));
        }
        let exhausted = match self.may_be_coincidence() {
            true => {
                let late = self.is_propagated(now) && self.late_trials >= MAX_LATE_TRIALS;
                self.trials >= MAX_TRIALS || late
            }
            false => self.trials >= MAX_BRIEF_TRIALS || self.has_failed_trial(),
        };
        if exhausted {
            return Decision::Refuse(SUSPECT_TTL.saturating_sub(now.since(self.last_event())));
        }
        let pause = self.trial_pause().saturating_sub(now.since(self.last_event()));
        if pause.is_zero() { Decision::Trial } else { Decision::Refuse(pause) }
    }

    /// Returns whether a target has crashed since the last trial.
    fn has_failed_trial(&self) -> bool {
        self.trials > 0 && self.crashes.iter().any(|crash| crash.at >= self.last_trial)
    }

    /// Returns the time from the last crash or trial to the next trial.
    fn trial_pause(&self) -> Duration {
        if self.may_be_coincidence() || self.trials == 0 { Duration::ZERO } else { TRIAL_PAUSE }
    }

    /// Returns whether at least half of the runs had lasted for [`BRIEF_RUN`] when their targets
    /// crashed.
    fn may_be_coincidence(&self) -> bool {
        may_be_coincidence(self.crashes.iter().map(|crash| crash.run_time))
    }

    /// Returns the time after which a trial has outlasted the runs that crashed targets.
    fn trial_timeout(&self) -> Duration {
        let longest = self.crashes.iter().map(|crash| crash.run_time).max().unwrap_or_default();
        (2 * longest + TRIAL_MARGIN).min(TRIAL_TIMEOUT)
    }

    /// Returns whether all entries know by now that the request is suspect.
    fn is_propagated(&self, now: Time) -> bool {
        let mut crashes: Vec<Time> = self.crashes.iter().map(|crash| crash.at).collect();
        crashes.sort_unstable();
        crashes.get(SUSPECT_CRASHES - 1).is_some_and(|third| now.since(*third) > PROPAGATION)
    }

    fn grant_trial(&mut self, now: Time) {
        self.late_trials += u8::from(self.is_propagated(now));
        self.trials += 1;
        self.last_trial = now;
    }

    /// Adds a crash; returns whether that changed anything.
    fn add_crash(&mut self, new: Crash) -> bool {
        let known = self.crashes.iter_mut().find(|crash| crash.incarnation == new.incarnation);
        if let Some(known) = known {
            let longer = new.run_time > known.run_time;
            known.run_time = known.run_time.max(new.run_time);
            return longer;
        }
        let excused = self.completed.is_some_and(|completed| new.at < completed + COMPLETION_GRACE);
        if excused || self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.push(new);
        true
    }

    /// Returns the difference between the longest and the shortest run time before a crash.
    fn spread(&self) -> Duration {
        let run_times = || self.crashes.iter().map(|crash| crash.run_time);
        run_times().max().unwrap_or_default() - run_times().min().unwrap_or_default()
    }

    /// Returns whether this request explains a crash better than another request that ran on the
    /// same target and whose runs saw `other_crashes` crashes in all.
    fn explains_better(&self, other: &Self, other_crashes: usize) -> bool {
        let (own, theirs) = (self.spread(), other.spread());
        if theirs + SPREAD_TOLERANCE < own {
            return false;
        }
        if own + SPREAD_TOLERANCE < theirs {
            return self.crashes.len() > 1 && 2 * self.crashes.len() >= other_crashes;
        }
        (self.crashes.len(), theirs) > (other.crashes.len(), own)
    }

    /// Adds a complete answer, which clears the request; returns whether that changed anything.
    fn add_completion(&mut self, at: Time) -> bool {
        if self.completed.is_some_and(|completed| completed >= at) {
            return false;
        }
        self.completed = Some(at);
        self.crashes.retain(|crash| crash.at > at + COMPLETION_GRACE);
        (self.trials, self.late_trials) = (0, 0);
        true
    }
}

/// Requests that were running on targets that crashed recently, as seen by all entries.
#[derive(Debug, Default)]
pub struct Ledger {
    histories: HashMap<Fingerprint, History>,
    /// The order of eviction: requests that are not suspect first, the oldest of them first.
    eviction: BTreeSet<(bool, Time, Fingerprint)>,
    /// The requests that ran on each target that crashed.
    by_incarnation: HashMap<Incarnation, BTreeSet<Fingerprint>>,
    /// Requests whose records are still to be sent to other entries.
    updates: BTreeSet<Fingerprint>,
    /// When each request was last answered completely by this entry, for [`COMPLETION_GRACE`].
    completions: HashMap<Fingerprint, Time>,
    /// The same in the order of recording.
    completion_order: VecDeque<(Time, Fingerprint)>,
}

impl Ledger {
    /// Records that a target crashed at `at` while it ran a request, whose run there had lasted for
    /// `run_time`. Returns the number of targets that the request has crashed.
    pub fn record_crash(
        &mut self,
        now: Time,
        at: Time,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        run_time: Duration,
    ) -> usize {
        self.announce_completion(now, fingerprint);
        self.update(now, fingerprint, |history| {
            history.add_crash(Crash { incarnation, at, run_time })
        });
        self.histories.get(&fingerprint).map_or(0, |history| history.crashes.len())
    }

    /// Records that a request was answered completely.
    pub fn record_completion(&mut self, now: Time, fingerprint: Fingerprint) {
        self.completions.insert(fingerprint, now);
        self.completion_order.push_back((now, fingerprint));
        while let Some((at, fingerprint)) = self.completion_order.front().copied() {
            if self.completion_order.len() <= MAX_REQUESTS && now.since(at) < COMPLETION_GRACE {
                break;
            }
            self.completion_order.pop_front();
            if self.completions.get(&fingerprint) == Some(&at) {
                self.completions.remove(&fingerprint);
            }
        }
        if self.histories.get(&fingerprint).is_some_and(|history| !history.crashes.is_empty()) {
            self.update(now, fingerprint, |history| history.add_completion(now));
        }
    }

    /// Returns the number of targets that have crashed while they ran a request, since its last
    /// complete answer.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.histories.get(&fingerprint).map_or(0, |history| history.crashes.len())
    }

    /// Returns the number of suspects.
    pub fn suspects(&self) -> usize {
        self.eviction.iter().rev().take_while(|(suspect, ..)| *suspect).count()
    }

    /// Decides whether a request may be sent.
    pub fn decide(&self, now: Time, fingerprint: Fingerprint) -> Decision {
        let history = self.histories.get(&fingerprint);
        let suspect = history.filter(|history| history.is_suspect() && !history.is_expired(now));
        match suspect {
            Some(history)
                if self.unexplained(fingerprint, history) >= history.suspect_crashes() =>
            {
                history.decide(now)
            }
            _ => Decision::Allow,
        }
    }

    /// Returns the number of a request's crashes that no other request explains better.
    fn unexplained(&self, fingerprint: Fingerprint, history: &History) -> usize {
        let others = |crash: &Crash| {
            let there = self.by_incarnation.get(&crash.incarnation).into_iter().flatten();
            let others = there.filter(move |other| **other != fingerprint);
            others.filter_map(|other| self.histories.get(other))
        };
        let already_crashed = |crash: &&Crash| {
            others(crash).any(|other| other.crashes.iter().any(|one| crash.began_after(one)))
        };
        let seen: Vec<&Crash> =
            history.crashes.iter().filter(|crash| !already_crashed(crash)).collect();
        let explained =
            |crash: &Crash| others(crash).any(|other| other.explains_better(history, seen.len()));
        seen.iter().filter(|crash| !explained(crash)).count()
    }

    /// Grants a trial if one is due. Only the entry that owns the record may call this.
    pub fn try_trial(&mut self, now: Time, fingerprint: Fingerprint) -> Decision {
        let decision = self.decide(now, fingerprint);
        if decision == Decision::Trial {
            self.update(now, fingerprint, |history| {
                history.grant_trial(now);
                true
            });
        }
        decision
    }

    /// Merges records of another entry; returns the requests whose state changed.
    pub fn apply(&mut self, now: Time, records: Vec<Record>) -> Vec<Fingerprint> {
        let ago = |age: u64| now - Duration::from_millis(age);
        let mut changed = Vec::new();
        for record in records {
            if !record.crashes.is_empty() {
                self.announce_completion(now, record.fingerprint);
            }
            let merged = self.merge(now, record.fingerprint, |history| {
                let mut changed =
                    record.completion_age.is_some_and(|age| history.add_completion(ago(age)));
                for (nth, (incarnation, age)) in record.crashes.iter().enumerate() {
                    let run_time = record.run_times.get(nth).copied().unwrap_or_default();
                    let run_time = Duration::from_millis(run_time);
                    changed |= history.add_crash(Crash {
                        incarnation: *incarnation,
                        at: ago(*age),
                        run_time,
                    });
                }
                if record.trials > history.trials && !history.crashes.is_empty() {
                    history.trials = record.trials;
                    history.late_trials = history.late_trials.max(record.late_trials);
                    history.last_trial = ago(record.trial_age);
                    changed = true;
                }
                changed
            });
            if merged {
                changed.push(record.fingerprint);
            }
        }
        changed
    }

    /// Takes the records that changed here since the last call, to be sent to other entries.
    pub fn take_updates(&mut self, now: Time) -> Vec<Record> {
        let updates = std::mem::take(&mut self.updates);
        self.records(now, updates)
    }

    /// Adds requests that another entry reported to the next updates, for entries that it does not
    /// report to.
    pub fn forward(&mut self, fingerprints: Vec<Fingerprint>) {
        self.updates.extend(fingerprints);
    }

    /// Returns the records of those requests that are known.
    pub fn records(
        &self,
        now: Time,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Record> {
        let fingerprints = fingerprints.into_iter();
        fingerprints.filter_map(|fingerprint| self.record(now, fingerprint)).collect()
    }

    /// Returns at most `max` records for an entry that has none: suspects first, the latest of them
    /// first.
    pub fn snapshot(&self, now: Time, max: usize) -> Vec<Record> {
        let latest_first = self.eviction.iter().rev().take(max);
        self.records(now, latest_first.map(|(.., fingerprint)| *fingerprint))
    }

    fn record(&self, now: Time, fingerprint: Fingerprint) -> Option<Record> {
        let history = self.histories.get(&fingerprint)?;
        let age = |at: Time| millis(now.since(at));
        Some(Record {
            fingerprint,
            crashes: history.crashes.iter().map(|one| (one.incarnation, age(one.at))).collect(),
            run_times: history.crashes.iter().map(|crash| millis(crash.run_time)).collect(),
            trials: history.trials,
            late_trials: history.late_trials,
            trial_age: age(history.last_trial),
            completion_age: history.completed.map(age),
        })
    }

    /// Adds this entry's latest complete answer to the history of a request for which crashes are
    /// reported, and announces it.
    fn announce_completion(&mut self, now: Time, fingerprint: Fingerprint) {
        let completed = self.completions.get(&fingerprint).copied();
        if let Some(at) = completed.filter(|at| now.since(*at) < COMPLETION_GRACE) {
            self.update(now, fingerprint, |history| history.add_completion(at));
        }
    }

    /// Changes the state of a request and announces the change to other entries.
    fn update(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        change: impl FnOnce(&mut History) -> bool,
    ) {
        if self.merge(now, fingerprint, change) {
            self.updates.insert(fingerprint);
        }
    }

    /// Changes the state of a request without an announcement; returns whether it changed.
    fn merge(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        change: impl FnOnce(&mut History) -> bool,
    ) -> bool {
        let mut history = self.remove(fingerprint).unwrap_or_default();
        if history.is_expired(now) {
            history = History::default();
        }
        let changed = change(&mut history);
        if changed || !history.crashes.is_empty() || history.completed.is_some() {
            self.insert(fingerprint, history);
        }
        self.evict(now);
        changed
    }

    fn insert(&mut self, fingerprint: Fingerprint, history: History) {
        self.eviction.insert((history.is_suspect(), history.last_event(), fingerprint));
        for crash in &history.crashes {
            self.by_incarnation.entry(crash.incarnation).or_default().insert(fingerprint);
        }
        self.histories.insert(fingerprint, history);
    }

    fn remove(&mut self, fingerprint: Fingerprint) -> Option<History> {
        let history = self.histories.remove(&fingerprint)?;
        self.eviction.remove(&(history.is_suspect(), history.last_event(), fingerprint));
        for crash in &history.crashes {
            if let Some(there) = self.by_incarnation.get_mut(&crash.incarnation) {
                there.remove(&fingerprint);
                if there.is_empty() {
                    self.by_incarnation.remove(&crash.incarnation);
                }
            }
        }
        Some(history)
    }

    /// Evicts expired requests, and the first in the order of eviction while there are more than
    /// [`MAX_REQUESTS`].
    fn evict(&mut self, now: Time) {
        while let Some(first) = self.eviction.first().copied() {
            let (.., fingerprint) = first;
            let history = self.histories.get(&fingerprint);
            let expired = history.is_none_or(|history| history.is_expired(now));
            if !expired && self.eviction.len() <= MAX_REQUESTS {
                return;
            }
            self.eviction.remove(&first);
            self.remove(fingerprint);
            self.updates.remove(&fingerprint);
        }
    }
}

/// Returns whether at least half of the runs had lasted for [`BRIEF_RUN`] when their targets crashed.
fn may_be_coincidence(run_times: impl Iterator<Item = Duration>) -> bool {
    let (mut brief, mut all) = (0, 0);
    for run_time in run_times {
        brief += usize::from(run_time < BRIEF_RUN);
        all += 1;
    }
    2 * brief <= all
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
