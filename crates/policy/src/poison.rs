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

use crate::comeback::Print;
use crate::lease::Target;
use crate::time::Time;

/// Targets that must have ended under a request before it is held back.
pub const SUSPECT: usize = 3;

/// How long after the last end or trial each trial is granted; no more follow.
pub const TRIALS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(15)];

/// How long a request below [`SUSPECT`] is remembered after its last end.
pub const RECENT: Duration = Duration::from_secs(600);

/// How long a request that is held back is remembered after its last end or trial.
pub const HELD: Duration = Duration::from_secs(24 * 3_600);

/// How long after a whole answer ends count for nothing: a request that many ask runs at all targets,
/// so whatever ends them, it ran there.
pub const GOOD: Duration = Duration::from_secs(10);

/// How long it stays known that a request was answered whole.
const CLEARED: Duration = Duration::from_secs(30);

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
    pub print: Print,
    /// Targets that ended while they ran it, each with how long ago.
    pub ends: Vec<(Incarnation, u64)>,
    /// Trials granted.
    pub trials: u8,
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

/// One request under which a target ended.
#[derive(Clone, Debug, Default)]
struct Case {
    ends: Vec<(Incarnation, Time)>,
    trials: u8,
    trial: Time,
    whole: Option<Time>,
}

impl Case {
    fn is_held(&self) -> bool {
        self.ends.len() >= SUSPECT
    }

    fn latest(&self) -> Time {
        let ends = self.ends.iter().map(|(_, at)| *at);
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
        let Some(wait) = TRIALS.get(usize::from(self.trials)) else {
            return Verdict::Refuse(HELD.saturating_sub(now.since(self.latest())));
        };
        let left = wait.saturating_sub(now.since(self.latest()));
        let under_way = self.trials > 0 && self.ends.iter().all(|(_, at)| *at < self.trial);
        match left {
            Duration::ZERO => Verdict::Trial,
            left if under_way => Verdict::Refuse(left.min(UNDER_WAY)),
            left => Verdict::Refuse(left),
        }
    }

    fn has(&self, incarnation: Incarnation) -> bool {
        self.ends.iter().any(|(one, _)| *one == incarnation)
    }

    /// Takes in an end; returns whether it is news.
    fn end(&mut self, incarnation: Incarnation, at: Time) -> bool {
        let known = self.has(incarnation);
        let before = self.whole.is_some_and(|whole| at < whole + GOOD);
        if known || before || self.ends.len() >= ENDS {
            return false;
        }
        self.ends.push((incarnation, at));
        true
    }

    /// Takes in a whole answer; returns whether it is news.
    fn clear(&mut self, at: Time) -> bool {
        if self.whole.is_some_and(|whole| whole >= at) {
            return false;
        }
        self.whole = Some(at);
        self.ends.retain(|(_, end)| *end > at + GOOD);
        self.trials = 0;
        true
    }
}

/// Requests under which targets ended lately, at any entry.
#[derive(Debug, Default)]
pub struct Ledger {
    cases: HashMap<Print, Case>,
    /// What to forget first: those that are not held back, the oldest of them first.
    order: BTreeSet<(bool, Time, Print)>,
    /// What others should hear of.
    news: BTreeSet<Print>,
    /// Requests that were answered whole here within [`GOOD`], and when last.
    good: HashMap<Print, Time>,
    /// The same in the order in which they were noted.
    goods: VecDeque<(Time, Print)>,
}

impl Ledger {
    /// Notes that a target ended while it ran a request; returns how many have.
    pub fn note_end(&mut self, now: Time, print: Print, incarnation: Incarnation) -> usize {
        self.tell_good(now, print);
        self.change(now, print, |case| case.end(incarnation, now));
        self.cases.get(&print).map_or(0, |case| case.ends.len())
    }

    /// Notes that a request was answered whole.
    pub fn note_whole(&mut self, now: Time, print: Print) {
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
    pub fn ends(&self, print: Print) -> usize {
        self.cases.get(&print).map_or(0, |case| case.ends.len())
    }

    /// Requests that are held back.
    pub fn held(&self) -> usize {
        self.order.iter().rev().take_while(|(held, ..)| *held).count()
    }

    /// What is to become of a request.
    pub fn verdict(&self, now: Time, print: Print) -> Verdict {
        let case = self.cases.get(&print).filter(|case| case.is_held() && !case.is_over(now));
        match case {
            Some(case) if self.unexplained(print, case) >= SUSPECT => case.verdict(now),
            _ => Verdict::Clear,
        }
    }

    /// Ends that no request explains better: where one under which more targets ended ran at the same
    /// target, that one ended it.
    fn unexplained(&self, print: Print, case: &Case) -> usize {
        let held = self.order.iter().rev().take_while(|(held, ..)| *held);
        let others: Vec<&Case> = held
            .filter(|(.., other)| *other != print)
            .filter_map(|(.., other)| self.cases.get(other))
            .filter(|other| other.ends.len() > case.ends.len())
            .collect();
        let explained = |one: &Incarnation| others.iter().any(|other| other.has(*one));
        case.ends.iter().filter(|(one, _)| !explained(one)).count()
    }

    /// Grants a trial where one is due. Only the entry that keeps the record may ask.
    pub fn try_trial(&mut self, now: Time, print: Print) -> Verdict {
        let verdict = self.verdict(now, print);
        if verdict == Verdict::Trial {
            self.change(now, print, |case| {
                case.trials += 1;
                case.trial = now;
                true
            });
        }
        verdict
    }

    /// Takes in what another entry told; returns the requests of which that was news.
    pub fn hear(&mut self, now: Time, records: Vec<Record>) -> Vec<Print> {
        let ago = |age: u64| now - Duration::from_millis(age);
        let mut changed = Vec::new();
        for record in records {
            if !record.ends.is_empty() {
                self.tell_good(now, record.print);
            }
            let took = self.merge(now, record.print, |case| {
                let mut news = record.whole_age.is_some_and(|age| case.clear(ago(age)));
                for (incarnation, age) in &record.ends {
                    news |= case.end(*incarnation, ago(*age));
                }
                if record.trials > case.trials && !case.ends.is_empty() {
                    case.trials = record.trials;
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
    pub fn pass_on(&mut self, prints: Vec<Print>) {
        self.news.extend(prints);
    }

    /// The records of requests that are known.
    pub fn records(&self, now: Time, prints: impl IntoIterator<Item = Print>) -> Vec<Record> {
        prints.into_iter().filter_map(|print| self.record(now, print)).collect()
    }

    /// The records that matter most, at most `most`, for an entry that knows none.
    pub fn all(&self, now: Time, most: usize) -> Vec<Record> {
        self.records(now, self.order.iter().rev().take(most).map(|(.., print)| *print))
    }

    fn record(&self, now: Time, print: Print) -> Option<Record> {
        let case = self.cases.get(&print)?;
        let age = |at: Time| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        Some(Record {
            print,
            ends: case.ends.iter().map(|(one, at)| (*one, age(*at))).collect(),
            trials: case.trials,
            trial_age: age(case.trial),
            whole_age: case.whole.map(age),
        })
    }

    /// Enters that a request was answered whole here, where targets end under it elsewhere.
    fn tell_good(&mut self, now: Time, print: Print) {
        let good = self.good.get(&print).copied().filter(|at| now.since(*at) < GOOD);
        if let Some(at) = good {
            self.change(now, print, |case| case.clear(at));
        }
    }

    /// Changes what is known of a request here, which others then should hear of.
    fn change(&mut self, now: Time, print: Print, change: impl FnOnce(&mut Case) -> bool) {
        if self.merge(now, print, change) {
            self.news.insert(print);
        }
    }

    fn merge(&mut self, now: Time, print: Print, change: impl FnOnce(&mut Case) -> bool) -> bool {
        let mut case = self.cases.remove(&print).unwrap_or_default();
        self.order.remove(&(case.is_held(), case.latest(), print));
        if case.is_over(now) {
            case = Case::default();
        }
        let changed = change(&mut case);
        if changed || !case.ends.is_empty() || case.whole.is_some() {
            self.order.insert((case.is_held(), case.latest(), print));
            self.cases.insert(print, case);
        }
        self.forget(now);
        changed
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
            self.cases.remove(&print);
            self.news.remove(&print);
        }
    }
}
