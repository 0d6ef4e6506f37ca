//! Which features of requests crash engines, whatever else a request holds.
//!
//! A part of a prompt may crash each engine that begins to write an answer on it. Its requests need
//! not be alike, so none of them is known from an earlier one; see [`poison`](crate::poison) for
//! those that are. Entries share which features the runs had that had written nothing when their
//! engine crashed. A feature is a suspect from [`SUSPECT_CRASHES`] such crashes on.
//!
//! What such runs share with sound ones is struck by the same crashes. Three rules keep that from
//! holding sound requests back. A first event on a feature clears it, since it would have crashed the
//! engine. A suspect holds a request back only together with all other features that account for the
//! same crashes. Crashes at the same moment, as of a failure domain, count as one.
//!
//! A request that is held back may be sent as a trial, which one entry grants for all. Trials follow
//! each other at growing intervals, and there are at most [`MAX_TRIALS`].

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::feature::Feature;
use crate::poison::{Decision, Incarnation};
use crate::time::Time;

/// Number of crashes that makes a feature a suspect.
pub const SUSPECT_CRASHES: usize = 3;

/// Crashes this close together count as one.
pub const SAME_MOMENT: Duration = Duration::from_millis(40);

/// Maximum number of trials of a feature between two first events on it.
pub const MAX_TRIALS: usize = 4;

/// Time from the latest crash or trial to each trial. All but the first two come after all entries
/// know the feature.
const TRIAL_PAUSES: [Duration; MAX_TRIALS] =
    [Duration::ZERO, Duration::from_secs(2), Duration::from_secs(4), Duration::from_secs(60)];

/// How long a trial counts as running if nothing is heard of it.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a feature that is no suspect is remembered after its last crash.
pub const CRASH_TTL: Duration = Duration::from_secs(600);

/// How long a suspect is remembered after its last crash or trial.
pub const SUSPECT_TTL: Duration = Duration::from_secs(24 * 3_600);

/// Maximum error of times that entries exchange, which they send as ages.
const TIME_ERROR: Duration = Duration::from_millis(30);

/// Longest time that a refused caller is asked to wait.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Maximum number of features with crashes; those that are not suspect are evicted first.
pub const MAX_FEATURES: usize = 4_096;

/// Maximum number of features whose latest first event is remembered.
const MAX_CLEARED: usize = 16_384;

/// Maximum number of crashes that are remembered for each feature.
const MAX_CRASHES: usize = 32;

/// What entries tell each other. Times are ages in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// An engine crashed on a run that had written nothing.
    Crash {
        /// The start of the engine.
        incarnation: Incarnation,
        /// What the run had in common with others.
        features: Vec<Feature>,
        /// When it crashed.
        age: u64,
    },
    /// A first event came of a run with a feature that had crashes.
    Cleared {
        /// The feature.
        feature: Feature,
        /// When it came.
        age: u64,
    },
    /// A trial was granted.
    Trial {
        /// The features that it tries.
        features: Vec<Feature>,
        /// When it was granted.
        age: u64,
    },
}

/// Why a request is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The features that account for the crashes.
    pub features: Vec<Feature>,
    /// The engines that crashed.
    pub crashes: usize,
    /// How long ago the first of them crashed.
    pub held_for: Duration,
}

/// A time in milliseconds by the clock of this entry, which may lie before its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Moment(i64);

impl Moment {
    fn of(at: Time) -> Self {
        Self(millis(at.since(Time::ZERO)))
    }

    fn ago(now: Time, age: u64) -> Self {
        Self(Self::of(now).0.saturating_sub(i64::try_from(age).unwrap_or(i64::MAX)))
    }

    /// Returns the time from an earlier moment until this one.
    fn since(self, earlier: Self) -> Duration {
        let elapsed = self.0.saturating_sub(earlier.0);
        Duration::from_millis(u64::try_from(elapsed).unwrap_or_default())
    }
}

/// The state of one feature.
#[derive(Clone, Debug, Default)]
struct History {
    /// The engines that crashed, each with the time.
    crashes: BTreeMap<Incarnation, Moment>,
    trials: Vec<Moment>,
}

impl History {
    /// Returns the number of crashes, where those at the same moment count as one.
    fn count(&self) -> usize {
        let mut times: Vec<Moment> = self.crashes.values().copied().collect();
        times.sort_unstable();
        let (mut count, mut counted) = (0, None);
        for at in times {
            if counted.is_none_or(|counted| at.since(counted) > SAME_MOMENT) {
                (count, counted) = (count + 1, Some(at));
            }
        }
        count
    }

    fn is_suspect(&self) -> bool {
        self.count() >= SUSPECT_CRASHES
    }

    fn latest(&self) -> Moment {
        let crashes = self.crashes.values().copied();
        crashes.chain(self.trials.iter().copied()).max().unwrap_or_default()
    }

    fn is_expired(&self, now: Moment) -> bool {
        let ttl = if self.is_suspect() { SUSPECT_TTL } else { CRASH_TTL };
        now.since(self.latest()) >= ttl
    }

    /// Returns whether this accounts for all crashes of another feature.
    fn accounts_for(&self, other: &Self) -> bool {
        other.crashes.keys().all(|crash| self.crashes.contains_key(crash))
    }

    fn decide(&self, now: Moment) -> Decision {
        let last_trial = self.trials.iter().max().copied();
        let running = last_trial.filter(|at| self.crashes.values().all(|crash| crash < at));
        if let Some(at) = running
            && now.since(at) < TRIAL_TIMEOUT
        {
            return Decision::Refuse(TRIAL_TIMEOUT - now.since(at));
        }
        let Some(pause) = TRIAL_PAUSES.get(self.trials.len()) else {
            return Decision::Refuse(MAX_WAIT);
        };
        let left = pause.saturating_sub(now.since(self.latest()));
        if left.is_zero() { Decision::Trial } else { Decision::Refuse(left.min(MAX_WAIT)) }
    }
}

/// The features that engines crashed on, as seen by all entries.
#[derive(Debug, Default)]
pub struct Ledger {
    histories: BTreeMap<Feature, History>,
    /// The features with a crash of each engine.
    by_incarnation: HashMap<Incarnation, BTreeSet<Feature>>,
    /// The latest first event on each feature at this entry.
    cleared: HashMap<Feature, Moment>,
    /// The same in the order of recording.
    cleared_order: VecDeque<(Moment, Feature)>,
    /// Changes that are still to be told to other entries.
    updates: Vec<(Moment, Change)>,
}

/// A change at its time.
#[derive(Clone, Debug)]
enum Change {
    Crash(Incarnation, Vec<Feature>),
    Cleared(Feature),
    Trial(Vec<Feature>),
}

impl Ledger {
    /// Records that an engine crashed at `at` on a run with these features that had written nothing.
    pub fn record_crash(
        &mut self,
        now: Time,
        at: Time,
        incarnation: Incarnation,
        features: &[Feature],
    ) {
        let at = Moment::of(at);
        let struck = self.strike(Moment::of(now), at, incarnation, features);
        if !struck.is_empty() {
            self.updates.push((at, Change::Crash(incarnation, struck)));
        }
    }

    /// Records the first event of a run with these features.
    pub fn record_first_event(&mut self, now: Time, features: &[Feature]) {
        let now = Moment::of(now);
        for feature in features {
            self.cleared.insert(*feature, now);
            self.cleared_order.push_back((now, *feature));
            if self.clear(now, *feature) {
                self.updates.push((now, Change::Cleared(*feature)));
            }
        }
        while self.cleared_order.len() > MAX_CLEARED {
            if let Some((at, feature)) = self.cleared_order.pop_front()
                && self.cleared.get(&feature) == Some(&at)
            {
                self.cleared.remove(&feature);
            }
        }
    }

    /// Decides whether a request with these features may be sent.
    pub fn decide(&self, now: Time, features: &[Feature]) -> Decision {
        match self.blamed(now, features) {
            Some((history, _)) => history.decide(Moment::of(now)),
            None => Decision::Allow,
        }
    }

    /// Returns why a request with these features is held back, if it is.
    pub fn evidence(&self, now: Time, features: &[Feature]) -> Option<Evidence> {
        let (history, blamed) = self.blamed(now, features)?;
        let since = history.crashes.values().min().copied().unwrap_or_default();
        let held_for = Moment::of(now).since(since);
        Some(Evidence { features: blamed, crashes: history.crashes.len(), held_for })
    }

    /// Grants a trial to a request with these features if one is due. Only the entry that decides for
    /// all may call this.
    pub fn try_trial(&mut self, now: Time, features: &[Feature]) -> Decision {
        let decision = self.decide(now, features);
        if decision == Decision::Trial
            && let Some(evidence) = self.evidence(now, features)
        {
            let now = Moment::of(now);
            self.add_trial(now, &evidence.features);
            self.updates.push((now, Change::Trial(evidence.features)));
        }
        decision
    }

    /// Applies what another entry tells; returns whether any of it was new.
    pub fn apply(&mut self, now: Time, updates: &[Update]) -> bool {
        let ago = |age: &u64| Moment::ago(now, *age);
        let mut changed = false;
        for update in updates {
            changed |= match update {
                Update::Crash { incarnation, features, age } => {
                    !self.strike(Moment::of(now), ago(age), *incarnation, features).is_empty()
                }
                Update::Cleared { feature, age } => self.clear(ago(age), *feature),
                Update::Trial { features, age } => self.add_trial(ago(age), features),
            };
        }
        changed
    }

    /// Takes what changed here since the last call, to be told to other entries.
    pub fn take_updates(&mut self, now: Time) -> Vec<Update> {
        let changes = std::mem::take(&mut self.updates);
        changes.into_iter().map(|(at, change)| update(now, at, change)).collect()
    }

    /// Returns what an entry has to know that knows nothing yet, the latest suspects first.
    pub fn snapshot(&self, now: Time, max: usize) -> Vec<Update> {
        let mut known: Vec<(&Feature, &History)> = self.histories.iter().collect();
        known.sort_by_key(|(_, history)| (!history.is_suspect(), Reverse(history.latest())));
        let of = |(feature, history): (&Feature, &History)| {
            let crashes = history.crashes.iter();
            let crashes =
                crashes.map(|(incarnation, at)| (*at, Change::Crash(*incarnation, vec![*feature])));
            let trials = history.trials.iter().map(|at| (*at, Change::Trial(vec![*feature])));
            let changes = crashes.chain(trials).collect::<Vec<_>>();
            changes.into_iter().map(|(at, change)| update(now, at, change))
        };
        known.into_iter().take(max).flat_map(of).collect()
    }

    /// Returns the number of suspects.
    pub fn suspects(&self) -> usize {
        self.histories.values().filter(|history| history.is_suspect()).count()
    }

    /// Returns the number of features with crashes.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Returns whether no feature has crashes.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Returns the suspect that holds back a request with these features, with the features that
    /// account for its crashes; of several the one with the most crashes.
    fn blamed(&self, now: Time, features: &[Feature]) -> Option<(&History, Vec<Feature>)> {
        let suspect = |feature: &Feature| {
            let history = self.histories.get(feature)?;
            let suspect = history.is_suspect() && !history.is_expired(Moment::of(now));
            suspect.then_some(history)
        };
        let blamed = features.iter().filter_map(|feature| {
            let history = suspect(feature)?;
            let accounting = self.accounting_for(history);
            accounting.iter().all(|other| features.contains(other)).then_some((history, accounting))
        });
        blamed.max_by_key(|(history, _)| history.crashes.len())
    }

    /// Returns the features that account for all crashes of a feature, itself among them.
    fn accounting_for(&self, history: &History) -> Vec<Feature> {
        let first = history.crashes.keys().next();
        let there = first.and_then(|crash| self.by_incarnation.get(crash));
        let accounts = |feature: &&Feature| {
            self.histories.get(feature).is_some_and(|other| other.accounts_for(history))
        };
        there.into_iter().flatten().filter(accounts).copied().collect()
    }

    /// Adds a crash to those features that had no first event since; returns them.
    fn strike(
        &mut self,
        now: Moment,
        at: Moment,
        incarnation: Incarnation,
        features: &[Feature],
    ) -> Vec<Feature> {
        let mut struck = Vec::new();
        for feature in features {
            let cleared = self.cleared.get(feature).copied();
            if let Some(cleared) = cleared.filter(|cleared| cleared.since(at) > TIME_ERROR) {
                // Others may not know of that event.
                self.updates.push((cleared, Change::Cleared(*feature)));
                continue;
            }
            let history = self.histories.entry(*feature).or_default();
            if history.is_expired(now) {
                *history = History::default();
            }
            if history.crashes.len() < MAX_CRASHES && !history.crashes.contains_key(&incarnation) {
                history.crashes.insert(incarnation, at);
                self.by_incarnation.entry(incarnation).or_default().insert(*feature);
                struck.push(*feature);
            }
        }
        self.evict(now);
        struck
    }

    /// Drops the crashes of a feature that came before a first event on it; returns whether there were
    /// any.
    fn clear(&mut self, at: Moment, feature: Feature) -> bool {
        let Some(mut history) = self.histories.remove(&feature) else { return false };
        let cleared = history.crashes.extract_if(.., |_, crash| at.since(*crash) > TIME_ERROR);
        let cleared: Vec<Incarnation> = cleared.map(|(incarnation, _)| incarnation).collect();
        cleared.iter().for_each(|incarnation| self.forget(*incarnation, feature));
        history.trials.retain(|trial| *trial > at);
        if !history.crashes.is_empty() {
            self.histories.insert(feature, history);
        }
        !cleared.is_empty()
    }

    fn add_trial(&mut self, at: Moment, features: &[Feature]) -> bool {
        let mut changed = false;
        for feature in features {
            let Some(history) = self.histories.get_mut(feature) else { continue };
            let known = |trial: &Moment| trial.since(at).max(at.since(*trial)) <= TIME_ERROR;
            if !history.trials.iter().any(known) {
                history.trials.push(at);
                changed = true;
            }
        }
        changed
    }

    fn forget(&mut self, incarnation: Incarnation, feature: Feature) {
        if let Some(there) = self.by_incarnation.get_mut(&incarnation) {
            there.remove(&feature);
            if there.is_empty() {
                self.by_incarnation.remove(&incarnation);
            }
        }
    }

    /// Evicts expired features, and the oldest that are not suspect while there are too many.
    fn evict(&mut self, now: Moment) {
        if self.histories.len() <= MAX_FEATURES {
            return;
        }
        let order = |(_, history): &(&Feature, &History)| {
            (!history.is_expired(now), history.is_suspect(), history.latest())
        };
        while self.histories.len() > MAX_FEATURES {
            let Some(first) = self.histories.iter().min_by_key(order).map(|(feature, _)| *feature)
            else {
                return;
            };
            let history = self.histories.remove(&first).unwrap_or_default();
            for incarnation in history.crashes.keys() {
                self.forget(*incarnation, first);
            }
        }
    }
}

fn update(now: Time, at: Moment, change: Change) -> Update {
    let age = u64::try_from(Moment::of(now).since(at).as_millis()).unwrap_or(u64::MAX);
    match change {
        Change::Crash(incarnation, features) => Update::Crash { incarnation, features, age },
        Change::Cleared(feature) => Update::Cleared { feature, age },
        Change::Trial(features) => Update::Trial { features, age },
    }
}

fn millis(span: Duration) -> i64 {
    i64::try_from(span.as_millis()).unwrap_or(i64::MAX)
}
