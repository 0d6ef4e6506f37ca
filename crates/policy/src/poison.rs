//! Requests that end the targets that run them.
//!
//! Pattern `poison`: a request makes each target that runs it crash, and comes again and
//! again at any entry. Whatever else ran there is cut with it. Entries tell each other under which
//! requests targets ended; one under which [`SUSPECT`] ended with no whole answer in between is sent
//! only as a trial, which one entry grants for all.
//!
//! What only ran beside it looks alike until it runs elsewhere: a whole answer clears it, its trial is
//! granted at once, and an end counts only for the request under which most targets ended.
//! `docs/DECISIONS.md` has what that costs those that are innocent.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::lease::Target;
use crate::resubmission::Fingerprint;
use crate::time::Time;

/// Targets that must have ended under a request before it is held back.
pub const SUSPECT: usize = 3;

/// Trials of one request, one after the other, where its ends may be chance.
pub const TRIALS: u8 = 4;

/// The same where most of its runs ended within [`BRIEF`], which is hardly chance.
pub const BRIEF_TRIALS: u8 = 2;

/// How long after the last end a further trial is granted then.
const PAUSE: Duration = Duration::from_secs(15);

/// A run that ends its target does so soon after it begins.
const BRIEF: Duration = Duration::from_millis(500);

/// Trials of one request later than [`EARLY`] after it became suspect.
pub const LATE_TRIALS: u8 = 3;

/// For how long others may not have heard yet that a request is suspect.
pub const EARLY: Duration = Duration::from_millis(1_500);

/// How much longer than twice the longest run under which a target ended a trial counts as under way.
const OUTLIVED: Duration = Duration::from_millis(500);

/// The longest that a trial without an outcome counts as under way.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a request below [`SUSPECT`] is remembered after its last end.
pub const RECENT: Duration = Duration::from_secs(600);

/// How long a request that is held back is remembered after its last end or trial.
pub const HELD: Duration = Duration::from_secs(24 * 3_600);

/// How long after a whole answer ends count for nothing: a request that many ask runs at all targets,
/// so whatever ends them, it ran there.
pub const GOOD: Duration = Duration::from_secs(10);

/// How long it stays known that a request was answered whole.
const CLEARED: Duration = Duration::from_secs(30);

/// How much more the times must differ after which targets ended under another request: one that ends
/// its targets does so after about the same time.
const STEADY: Duration = Duration::from_millis(150);

/// By how much times that entries tell each other may be off.
const TOLD: Duration = Duration::from_millis(30);

/// When to come back while a trial is under way.
const UNDER_WAY: Duration = Duration::from_secs(2);

/// The most requests that are remembered; those that are not held back go first.
pub const BOUND: usize = 8_192;

/// Ends of one request that are remembered.
const ENDS: usize = 16;

/// One start of a target, in 64 bits.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(u64);

impl Incarnation {
    /// The start of a target as it is listed.
    pub fn of(target: &Target) -> Self {
        let mut hash = Xxh3::new();
        hash.update(target.id.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(target.start.map(|start| start.to_string()).unwrap_or_default().as_bytes());
        Self(hash.digest())
    }
}

/// What is to become of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent like any other.
    Clear,
    /// It is sent where the entry that keeps its record grants a trial.
    Trial,
    /// It is not sent, and may come back after so long.
    Refuse(Duration),
}

/// What entries tell each other of one request; times are ages in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub print: Fingerprint,
    /// Targets that ended while they ran it, each with how long ago.
    pub ends: Vec<(Incarnation, u64)>,
    /// For how long its oldest run there had been under way, in the order of `ends`.
    #[serde(default)]
    pub lasted: Vec<u64>,
    /// Trials granted.
    pub trials: u8,
    /// Those among them that were granted later than [`EARLY`].
    #[serde(default)]
    pub late: u8,
    /// How long ago the latest was.
    pub trial_age: u64,
    /// How long ago it was last answered whole, if it was.
    pub whole_age: Option<u64>,
}

impl Record {
    /// Whether enough targets have ended under it for it to be held back.
    pub fn is_held(&self) -> bool {
        self.ends.len() >= SUSPECT
    }
}

/// One target that ended while it ran a request.
#[derive(Clone, Copy, Debug)]
struct End {
    incarnation: Incarnation,
    at: Time,
    /// For how long the oldest run of the request there had been under way.
    lasted: Duration,
}

impl End {
    /// Whether the target had ended, as another request saw it, before this one was sent there.
    fn is_after(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && other.at + TOLD < self.at - self.lasted
    }
}

/// One request under which a target ended.
#[derive(Clone, Debug, Default)]
struct Case {
    ends: Vec<End>,
    trials: u8,
    late: u8,
    trial: Time,
    whole: Option<Time>,
}

impl Case {
    fn is_held(&self) -> bool {
        self.ends.len() >= SUSPECT
    }

    fn latest(&self) -> Time {
        let ends = self.ends.iter().map(|end| end.at);
        ends.chain([self.trial]).chain(self.whole).max().unwrap_or_default()
    }

    fn is_over(&self, now: Time) -> bool {
        let kept = match (self.ends.is_empty(), self.is_held()) {
            (true, _) => CLEARED,
            (_, true) => HELD,
            (_, false) => RECENT,
        };
        now.since(self.latest()) >= kept
    }

    fn verdict(&self, now: Time) -> Verdict {
        let left = self.outlived().saturating_sub(now.since(self.trial));
        let under_way = self.trials > 0 && self.ends.iter().all(|end| end.at < self.trial);
        if under_way && !left.is_zero() {
            return Verdict::Refuse(left.min(UNDER_WAY));
        }
        let most = if self.may_be_chance() { TRIALS } else { BRIEF_TRIALS };
        if self.trials >= most || (self.is_late(now) && self.late >= LATE_TRIALS) {
            return Verdict::Refuse(HELD.saturating_sub(now.since(self.latest())));
        }
        let pause = self.pause().saturating_sub(now.since(self.latest()));
        if pause.is_zero() { Verdict::Trial } else { Verdict::Refuse(pause) }
    }

    /// How long after the last end the next trial is granted.
    fn pause(&self) -> Duration {
        if self.may_be_chance() || self.trials == 0 { Duration::ZERO } else { PAUSE }
    }

    /// Whether its runs had been under way for some time when their targets ended.
    fn may_be_chance(&self) -> bool {
        let brief = self.ends.iter().filter(|end| end.lasted < BRIEF).count();
        2 * brief <= self.ends.len()
    }

    /// After how long a trial has outlived the runs under which targets ended.
    fn outlived(&self) -> Duration {
        let longest = self.ends.iter().map(|end| end.lasted).max().unwrap_or_default();
        (2 * longest + OUTLIVED).min(TRIAL_TIMEOUT)
    }

    /// Whether all entries know by now that it is suspect.
    fn is_late(&self, now: Time) -> bool {
        let mut ends: Vec<Time> = self.ends.iter().map(|end| end.at).collect();
        ends.sort_unstable();
        ends.get(SUSPECT - 1).is_some_and(|third| now.since(*third) > EARLY)
    }

    fn grant(&mut self, now: Time) {
        self.late += u8::from(self.is_late(now));
        self.trials += 1;
        self.trial = now;
    }

    /// Takes in an end; returns whether it is news.
    fn end(&mut self, new: End) -> bool {
        let known = self.ends.iter_mut().find(|end| end.incarnation == new.incarnation);
        if let Some(known) = known {
            let older = new.lasted > known.lasted;
            known.lasted = known.lasted.max(new.lasted);
            return older;
        }
        let before = self.whole.is_some_and(|whole| new.at < whole + GOOD);
        if before || self.ends.len() >= ENDS {
            return false;
        }
        self.ends.push(new);
        true
    }

    /// How much the times differ after which targets ended under its runs.
    fn spread(&self) -> Duration {
        let lasted = || self.ends.iter().map(|end| end.lasted);
        lasted().max().unwrap_or_default() - lasted().min().unwrap_or_default()
    }

    /// Whether it explains an end better than another request that ran there too, and during whose runs
    /// `met` targets ended.
    fn explains(&self, other: &Self, met: usize) -> bool {
        let (own, theirs) = (self.spread(), other.spread());
        if theirs + STEADY < own {
            return false;
        }
        if own + STEADY < theirs {
            return self.ends.len() > 1 && 2 * self.ends.len() >= met;
        }
        (self.ends.len(), theirs) > (other.ends.len(), own)
    }

    /// Takes in a whole answer; returns whether it is news.
    fn clear(&mut self, at: Time) -> bool {
        if self.whole.is_some_and(|whole| whole >= at) {
            return false;
        }
        self.whole = Some(at);
        self.ends.retain(|end| end.at > at + GOOD);
        (self.trials, self.late) = (0, 0);
        true
    }
}

/// Requests under which targets ended lately, at any entry.
#[derive(Debug, Default)]
pub struct Ledger {
    cases: HashMap<Fingerprint, Case>,
    /// What to forget first: those that are not held back, the oldest of them first.
    order: BTreeSet<(bool, Time, Fingerprint)>,
    /// Requests that ran at each target that ended.
    at: HashMap<Incarnation, BTreeSet<Fingerprint>>,
    /// What others should hear of.
    news: BTreeSet<Fingerprint>,
    /// Requests that were answered whole here within [`GOOD`], and when last.
    good: HashMap<Fingerprint, Time>,
    /// The same in the order in which they were noted.
    goods: VecDeque<(Time, Fingerprint)>,
}

impl Ledger {
    /// Notes that a target ended at `at` while it ran a request, which had been under way there for
    /// `lasted`; returns how many have.
    pub fn note_end(
        &mut self,
        now: Time,
        at: Time,
        print: Fingerprint,
        incarnation: Incarnation,
        lasted: Duration,
    ) -> usize {
        self.tell_good(now, print);
        self.change(now, print, |case| case.end(End { incarnation, at, lasted }));
        self.cases.get(&print).map_or(0, |case| case.ends.len())
    }

    /// Notes that a request was answered whole.
    pub fn note_whole(&mut self, now: Time, print: Fingerprint) {
        self.good.insert(print, now);
        self.goods.push_back((now, print));
        while let Some((at, print)) = self.goods.front().copied() {
            if self.goods.len() <= BOUND && now.since(at) < GOOD {
                break;
            }
            self.goods.pop_front();
            if self.good.get(&print) == Some(&at) {
                self.good.remove(&print);
            }
        }
        if self.cases.get(&print).is_some_and(|case| !case.ends.is_empty()) {
            self.change(now, print, |case| case.clear(now));
        }
    }

    /// How many targets have ended under a request since it was last answered whole.
    pub fn ends(&self, print: Fingerprint) -> usize {
        self.cases.get(&print).map_or(0, |case| case.ends.len())
    }

    /// Requests that are held back.
    pub fn held(&self) -> usize {
        self.order.iter().rev().take_while(|(held, ..)| *held).count()
    }

    /// What is to become of a request.
    pub fn verdict(&self, now: Time, print: Fingerprint) -> Verdict {
        let case = self.cases.get(&print).filter(|case| case.is_held() && !case.is_over(now));
        match case {
            Some(case) if self.unexplained(print, case) >= SUSPECT => case.verdict(now),
            _ => Verdict::Clear,
        }
    }

    /// Ends that no other request explains better.
    fn unexplained(&self, print: Fingerprint, case: &Case) -> usize {
        let others = |end: &End| {
            let there = self.at.get(&end.incarnation).into_iter().flatten();
            let others = there.filter(move |other| **other != print);
            others.filter_map(|other| self.cases.get(other))
        };
        let was_over =
            |end: &&End| others(end).any(|other| other.ends.iter().any(|one| end.is_after(one)));
        let met: Vec<&End> = case.ends.iter().filter(|end| !was_over(end)).collect();
        let explained = |end: &End| others(end).any(|other| other.explains(case, met.len()));
        met.iter().filter(|end| !explained(end)).count()
    }

    /// Grants a trial where one is due. Only the entry that keeps the record may ask.
    pub fn try_trial(&mut self, now: Time, print: Fingerprint) -> Verdict {
        let verdict = self.verdict(now, print);
        if verdict == Verdict::Trial {
            self.change(now, print, |case| {
                case.grant(now);
                true
            });
        }
        verdict
    }

    /// Takes in what another entry told; returns the requests of which that was news.
    pub fn hear(&mut self, now: Time, records: Vec<Record>) -> Vec<Fingerprint> {
        let ago = |age: u64| now - Duration::from_millis(age);
        let mut changed = Vec::new();
        for record in records {
            if !record.ends.is_empty() {
                self.tell_good(now, record.print);
            }
            let took = self.merge(now, record.print, |case| {
                let mut news = record.whole_age.is_some_and(|age| case.clear(ago(age)));
                for (nth, (incarnation, age)) in record.ends.iter().enumerate() {
                    let lasted = record.lasted.get(nth).copied().unwrap_or_default();
                    let lasted = Duration::from_millis(lasted);
                    news |= case.end(End { incarnation: *incarnation, at: ago(*age), lasted });
                }
                if record.trials > case.trials && !case.ends.is_empty() {
                    case.trials = record.trials;
                    case.late = case.late.max(record.late);
                    case.trial = ago(record.trial_age);
                    news = true;
                }
                news
            });
            if took {
                changed.push(record.print);
            }
        }
        changed
    }

    /// What others should hear of since this was last asked.
    pub fn take_news(&mut self, now: Time) -> Vec<Record> {
        let news = std::mem::take(&mut self.news);
        self.records(now, news)
    }

    /// Marks requests as news again, for others than those that told of them.
    pub fn pass_on(&mut self, prints: Vec<Fingerprint>) {
        self.news.extend(prints);
    }

    /// The records of requests that are known.
    pub fn records(&self, now: Time, prints: impl IntoIterator<Item = Fingerprint>) -> Vec<Record> {
        prints.into_iter().filter_map(|print| self.record(now, print)).collect()
    }

    /// The records that matter most, at most `most`, for an entry that knows none.
    pub fn all(&self, now: Time, most: usize) -> Vec<Record> {
        self.records(now, self.order.iter().rev().take(most).map(|(.., print)| *print))
    }

    fn record(&self, now: Time, print: Fingerprint) -> Option<Record> {
        let case = self.cases.get(&print)?;
        let age = |at: Time| millis(now.since(at));
        Some(Record {
            print,
            ends: case.ends.iter().map(|end| (end.incarnation, age(end.at))).collect(),
            lasted: case.ends.iter().map(|end| millis(end.lasted)).collect(),
            trials: case.trials,
            late: case.late,
            trial_age: age(case.trial),
            whole_age: case.whole.map(age),
        })
    }

    /// Enters that a request was answered whole here, where targets end under it elsewhere.
    fn tell_good(&mut self, now: Time, print: Fingerprint) {
        let good = self.good.get(&print).copied().filter(|at| now.since(*at) < GOOD);
        if let Some(at) = good {
            self.change(now, print, |case| case.clear(at));
        }
    }

    /// Changes what is known of a request here, which others then should hear of.
    fn change(&mut self, now: Time, print: Fingerprint, change: impl FnOnce(&mut Case) -> bool) {
        if self.merge(now, print, change) {
            self.news.insert(print);
        }
    }

    fn merge(
        &mut self,
        now: Time,
        print: Fingerprint,
        change: impl FnOnce(&mut Case) -> bool,
    ) -> bool {
        let mut case = self.remove(print).unwrap_or_default();
        if case.is_over(now) {
            case = Case::default();
        }
        let changed = change(&mut case);
        if changed || !case.ends.is_empty() || case.whole.is_some() {
            self.insert(print, case);
        }
        self.forget(now);
        changed
    }

    fn insert(&mut self, print: Fingerprint, case: Case) {
        self.order.insert((case.is_held(), case.latest(), print));
        for end in &case.ends {
            self.at.entry(end.incarnation).or_default().insert(print);
        }
        self.cases.insert(print, case);
    }

    fn remove(&mut self, print: Fingerprint) -> Option<Case> {
        let case = self.cases.remove(&print)?;
        self.order.remove(&(case.is_held(), case.latest(), print));
        for end in &case.ends {
            if let Some(there) = self.at.get_mut(&end.incarnation) {
                there.remove(&print);
                if there.is_empty() {
                    self.at.remove(&end.incarnation);
                }
            }
        }
        Some(case)
    }

    /// Drops what is over, and the least important where there is too much.
    fn forget(&mut self, now: Time) {
        while let Some(first) = self.order.first().copied() {
            let (.., print) = first;
            let over = self.cases.get(&print).is_none_or(|case| case.is_over(now));
            if !over && self.order.len() <= BOUND {
                return;
            }
            self.order.remove(&first);
            self.remove(print);
            self.news.remove(&print);
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
