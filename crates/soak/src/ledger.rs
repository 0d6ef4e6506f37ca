//! What callers and back ends saw, and which promises that breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;
use smol_str::SmolStr;

use crate::backend;
use crate::parts::{self, Part};
use crate::plan::{BACKENDS, DOMAINS};
use crate::rolls::{self, Record};
use crate::streams::{self, TakenUp, Try};

/// The promise on answers of success: complete only with all that belongs to them.
pub(crate) const WHOLE: &str = "whole, ordered and its own";

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Kind {
    /// Run more than once.
    Safe,
    /// Run once at most.
    Unsafe,
    /// A stream of one generation.
    Page,
    /// A stream that another run may go on with.
    Resumable,
    /// The same, of which each run ends its target.
    Poison,
}

/// How a caller's request ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) enum End {
    /// A whole answer with this status.
    Status(u16),
    /// The connection ended before the answer did.
    Broken,
    /// No connection came about.
    Unreached,
    /// Nothing ended it in time.
    Hung,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Asked {
    pub(crate) request: SmolStr,
    pub(crate) kind: Kind,
    pub(crate) entry: usize,
    pub(crate) from: Duration,
    pub(crate) to: Duration,
    pub(crate) end: End,
    /// What is wrong with the answer itself, where anything is.
    pub(crate) wrong: Option<String>,
}

/// What a version of the text looked like at one entry.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Probed {
    /// When the question was sent; the entry judged it by a text that it had then or later.
    pub(crate) from: Duration,
    /// When its answer was there; the entry judged it by a text that it had then or earlier.
    pub(crate) to: Duration,
    pub(crate) entry: usize,
    /// Counts starts of the entry's process.
    pub(crate) start: u32,
    pub(crate) version: u64,
    /// Whether the entry knows the version's route.
    pub(crate) known: bool,
}

/// A time during which a promise with a bound is not owed by an entry.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Disturbed {
    /// `None` where it is all entries.
    pub(crate) entry: Option<usize>,
    pub(crate) from: Duration,
    pub(crate) to: Duration,
}

/// A time during which an entry was cut from all targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolated {
    pub(crate) entry: usize,
    pub(crate) from: Duration,
    pub(crate) to: Duration,
}

/// A fragile target rejected too much and ended.
#[derive(Clone, Debug)]
pub(crate) struct Overload {
    pub(crate) service: SmolStr,
    pub(crate) at: Duration,
    /// The requests that it rejected in the last second.
    pub(crate) rejected: Vec<SmolStr>,
}

/// What a target said in the answer to a request.
#[derive(Clone, Debug)]
pub(crate) struct Word {
    pub(crate) request: SmolStr,
    pub(crate) target: SmolStr,
    pub(crate) at: Duration,
    /// The rest that it asked for; `None` where it said that it leaves.
    pub(crate) rest: Option<Duration>,
}

/// First tries, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, Display)]
#[display("{served} of {asked}")]
struct Tries {
    asked: usize,
    served: usize,
}

impl Tries {
    fn add(&mut self, asked: &Asked) {
        let in_time = asked.to <= asked.from + LOOKUP;
        self.asked += 1;
        self.served += usize::from(asked.end == End::Status(200) && in_time);
    }

    fn share(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// A limit that a target named.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    pub(crate) target: SmolStr,
    pub(crate) per_s: f64,
    pub(crate) from: Duration,
    pub(crate) to: Duration,
}

/// A time during which something holds of a target or a failure domain.
#[derive(Clone, Debug)]
pub(crate) struct Span {
    pub(crate) of: SmolStr,
    pub(crate) from: Duration,
    pub(crate) to: Duration,
}

/// A promise that was broken.
#[derive(Clone, Debug, Display)]
#[display("{promise} at {:.2} s: {evidence}", at.as_secs_f64())]
pub(crate) struct Violation {
    pub(crate) promise: &'static str,
    pub(crate) at: Duration,
    pub(crate) evidence: String,
}

/// How long after a fault an entry owes no bound: links and watches are opened anew by then.
const SETTLE: Duration = Duration::from_secs(3);

/// Within which a text must be in force, and a target that leaves must get nothing new.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(2);

/// Sends of a poison that may follow once it has ended three targets.
const MORE: usize = 3;

/// The span in which a target that names a limit may get one and a half times as much, and five more.
const LIMIT_SPAN: Duration = Duration::from_secs(4);

/// After which time a rest must be known to its entry, and the requests that may still come in it.
const REST_SLACK: Duration = Duration::from_millis(500);
const RESTED: usize = 2;

/// How long callers wait for a lookup where it is compared between entries.
const LOOKUP: Duration = Duration::from_secs(1);

/// Lookups at isolated entries that are enough for a comparison.
const COMPARED: usize = 10;

/// The part of requests that must be served once all is calm again.
const SERVED: f64 = 0.95;

/// Everything seen in one run.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) asked: Vec<Asked>,
    pub(crate) probed: Vec<Probed>,
    pub(crate) disturbed: Vec<Disturbed>,
    /// Generations or runs of each request.
    pub(crate) runs: BTreeMap<SmolStr, BTreeSet<u64>>,
    /// Versions and when they were published.
    pub(crate) published: Vec<(Duration, u64)>,
    /// When each target's leaving was published.
    pub(crate) left: BTreeMap<SmolStr, Duration>,
    /// Arrivals at targets: request, target, when.
    pub(crate) arrivals: Vec<(SmolStr, SmolStr, Duration)>,
    /// When targets ended under the poison.
    pub(crate) ends: Vec<Duration>,
    /// Limits that targets named.
    pub(crate) limits: Vec<Limit>,
    /// When the links of others to an entry were cut or reset.
    pub(crate) unlinked: Vec<Disturbed>,
    /// Entries that were cut from all targets.
    pub(crate) isolations: Vec<Isolated>,
    /// What was seen of the part that ends targets.
    pub(crate) part: Part,
    /// What was seen of planned work.
    pub(crate) rolls: Record,
    /// Tries to begin streams and to take them up.
    pub(crate) tries: Vec<Try>,
    /// What targets said in answers.
    pub(crate) words: Vec<Word>,
    /// Times in which the targets of a service were fragile.
    pub(crate) fragile: Vec<Span>,
    /// Fragile targets that rejected too much.
    pub(crate) overloads: Vec<Overload>,
    /// Failure domains that were cordoned.
    pub(crate) cordons: Vec<Span>,
    /// Failure domains whose cordon the registry and its operator disagree about.
    pub(crate) strays: Vec<(Duration, SmolStr)>,
    /// Targets that were cold.
    pub(crate) cold: Vec<Span>,
    /// Entry processes in the run.
    pub(crate) entries: usize,
    /// Processes that ended by themselves.
    pub(crate) exits: Vec<(Duration, usize)>,
    /// When all must have recovered.
    pub(crate) calm: Duration,
}

impl Ledger {
    pub(crate) fn asked(&self) -> usize {
        self.asked.len()
    }

    pub(crate) fn served(&self) -> usize {
        self.asked.iter().filter(|asked| asked.end == End::Status(200)).count()
    }

    pub(crate) fn taken_up(&self) -> TakenUp {
        TakenUp::of(&self.tries)
    }

    /// Whether an entry was in touch from `from` to `to`.
    fn is_calm(&self, entry: usize, from: Duration, to: Duration) -> bool {
        let from = from.saturating_sub(SETTLE);
        let touches =
            |d: &Disturbed| d.entry.is_none_or(|one| one == entry) && d.from <= to && d.to >= from;
        !self.disturbed.iter().any(touches)
    }

    /// Every promise that was broken.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut broken = Vec::new();
        self.asked.iter().for_each(|asked| self.check(asked, &mut broken));
        self.check_texts(&mut broken);
        self.check_drains(&mut broken);
        for (at, entry) in &self.exits {
            let evidence = format!("entry {entry} ended by itself");
            broken.push(Violation { promise: "no exit of its own", at: *at, evidence });
        }
        for (at, domain) in &self.strays {
            let evidence = format!("cordon of {domain} is not as the operator wrote it last");
            broken.push(Violation { promise: "the registry is written again", at: *at, evidence });
        }
        self.check_poison(&mut broken);
        self.limits.iter().for_each(|limit| self.check_limit(limit, &mut broken));
        self.cordons.iter().for_each(|cordon| self.check_cordon(cordon, &mut broken));
        self.check_isolations(&mut broken);
        let is_calm = |entry, from, to| self.is_calm(entry, from, to);
        broken.extend(streams::violations(&self.tries, is_calm));
        broken.extend(parts::violations(&self.part, is_calm));
        broken.extend(rolls::violations(&self.rolls, self.calm));
        self.check_words(&mut broken);
        self.fragile.iter().for_each(|fragile| self.check_overload(fragile, &mut broken));
        self.cold.iter().for_each(|cold| self.check_cold(cold, &mut broken));
        let due = |asked: &&Asked| asked.from >= self.calm && asked.kind != Kind::Poison;
        let last: Vec<&Asked> = self.asked.iter().filter(due).collect();
        let served = last.iter().filter(|asked| asked.end == End::Status(200)).count();
        if last.is_empty() || (served as f64) < SERVED * last.len() as f64 {
            let evidence = format!("{served} of {} served after all was calm", last.len());
            broken.push(Violation { promise: "recovery", at: self.calm, evidence });
        }
        broken
    }

    fn check(&self, asked: &Asked, broken: &mut Vec<Violation>) {
        let runs = self.runs.get(&asked.request).map_or(0, BTreeSet::len);
        let mut note = |promise, what: String| {
            let Asked { request, kind, entry, end, .. } = asked;
            let evidence = format!("{request} ({kind:?} at entry {entry}, {end:?}): {what}");
            broken.push(Violation { promise, at: asked.from, evidence });
        };
        if matches!(asked.kind, Kind::Unsafe | Kind::Page) && runs > 1 {
            note("run once at most", format!("{runs} runs"));
        }
        if matches!(asked.end, End::Status(408 | 421 | 429 | 503)) && runs > 0 {
            note("a refusal is true", format!("{runs} runs"));
        }
        if let Some(wrong) = &asked.wrong {
            note(WHOLE, wrong.clone());
        }
        if asked.end == End::Hung && self.is_calm(asked.entry, asked.from, asked.to) {
            note("everyone is answered", "nothing came".to_owned());
        }
        if matches!(asked.end, End::Status(401 | 404)) {
            note("nobody is denied", "a proper request".to_owned());
        }
    }

    fn check_texts(&self, broken: &mut Vec<Violation>) {
        let mut known_from: BTreeMap<(usize, u32), Vec<(Duration, u64)>> = BTreeMap::new();
        for probed in &self.probed {
            let Probed { from: at, to, entry, start, version, known } = *probed;
            let known_from = known_from.entry((entry, start)).or_default();
            // A question that waits at a slow target is answered after newer texts are in force.
            let before = known_from.iter().filter(|(seen, _)| *seen <= at);
            let seen = before.map(|(_, version)| *version).max().unwrap_or_default();
            let evidence = format!("entry {entry}, version {version}, seen {seen}");
            if known && version < seen {
                let promise = "a text never goes back";
                broken.push(Violation { promise, at, evidence: evidence.clone() });
            }
            if known {
                known_from.push((to, version));
            }
            let current = self.published.iter().rfind(|(when, _)| *when + IN_FORCE <= at);
            let owed = current.is_some_and(|(_, current)| *current == version);
            // A newer text may come into force while the question is on its way.
            let newer = self.published.iter().any(|(when, v)| *v > version && *when <= to);
            if owed && !newer && !known && self.is_calm(entry, at.saturating_sub(IN_FORCE), at) {
                broken.push(Violation { promise: "a text is in force in time", at, evidence });
            }
        }
    }

    /// Arrivals that calm entries sent, from one time on.
    fn sent_calmly(&self, from: Duration) -> impl Iterator<Item = (&Asked, &SmolStr, Duration)> {
        let asked: BTreeMap<&SmolStr, &Asked> =
            self.asked.iter().map(|a| (&a.request, a)).collect();
        let arrivals = self.arrivals.iter().filter(move |(.., at)| *at >= from);
        arrivals.filter_map(move |(request, target, at)| {
            let asked = *asked.get(request)?;
            self.is_calm(asked.entry, *at, *at).then_some((asked, target, *at))
        })
    }

    fn check_poison(&self, broken: &mut Vec<Violation>) {
        let Some(third) = self.ends.get(2).copied() else { return };
        let sent = self.sent_calmly(third + SETTLE);
        let more = sent.filter(|(asked, ..)| asked.kind == Kind::Poison).count();
        if more > MORE {
            let evidence = format!("sent {more} times more, {} targets ended", self.ends.len());
            broken.push(Violation { promise: "no poison is sent on", at: third, evidence });
        }
    }

    fn check_limit(&self, limit: &Limit, broken: &mut Vec<Violation>) {
        let Limit { target, per_s, from, to } = limit;
        let sent = self.sent_calmly(*from + SETTLE);
        let here = sent.filter(|(_, at, when)| *at == target && when <= to);
        let times: Vec<Duration> = here.map(|(.., at)| at).collect();
        let allowed = 1.5 * per_s * LIMIT_SPAN.as_secs_f64() + 5.0;
        for first in &times {
            let got = times.iter().filter(|at| *at >= first && **at < *first + LIMIT_SPAN).count();
            if got as f64 > allowed {
                let evidence =
                    format!("{target} with {per_s} a second got {got}, {allowed} allowed");
                broken.push(Violation {
                    promise: "no more than a target takes",
                    at: *first,
                    evidence,
                });
                return;
            }
        }
    }

    fn check_cordon(&self, cordon: &Span, broken: &mut Vec<Violation>) {
        let domain = |target: &str| {
            let slot = target.split('-').nth(1).and_then(|slot| slot.parse::<usize>().ok());
            slot.map(|slot| backend::domain(slot % DOMAINS))
        };
        for (asked, target, at) in self.sent_calmly(cordon.from + IN_FORCE) {
            let inside = domain(target).is_some_and(|name| name.as_str() == cordon.of);
            if inside && at <= cordon.to && self.is_calm(asked.entry, cordon.from, at) {
                let evidence =
                    format!("{} at {target}, cordoned at {:?}", asked.request, cordon.from);
                let promise = "nothing new in a cordoned domain";
                broken.push(Violation { promise, at, evidence });
                return;
            }
        }
    }

    /// Counts the lookups that callers of isolated entries try first, from [`SETTLE`] after a cut began,
    /// and those at the other entries meanwhile.
    fn isolated_tries(&self) -> (Tries, Tries) {
        let (mut there, mut elsewhere) = (Tries::default(), Tries::default());
        let lookups = self.asked.iter().filter(|a| matches!(a.kind, Kind::Safe | Kind::Unsafe));
        for asked in lookups {
            let (from, until) = (asked.from, asked.from + LOOKUP);
            let touches = |d: &&Disturbed| d.from <= until && from <= d.to + SETTLE;
            let unlinked: BTreeSet<usize> =
                self.unlinked.iter().filter(touches).filter_map(|d| d.entry).collect();
            let cut = |one: &&Isolated| one.from <= until && from <= one.to + SETTLE;
            let cut: BTreeSet<usize> =
                self.isolations.iter().filter(cut).map(|one| one.entry).collect();
            // An entry that others don't reach either, or that reaches none, is not owed their help.
            let helped = (0..self.entries).any(|h| !unlinked.contains(&h) && !cut.contains(&h));
            if !self.is_calm(asked.entry, from, until) || unlinked.contains(&asked.entry) || !helped
            {
                continue;
            }
            let lasts = |one: &&Isolated| one.from + SETTLE <= from && until <= one.to;
            let own = |one: &&Isolated| one.entry == asked.entry;
            if self.isolations.iter().filter(lasts).any(|one| own(&one)) {
                there.add(asked);
            } else if self.isolations.iter().any(|one| lasts(&one)) && !cut.contains(&asked.entry) {
                elsewhere.add(asked);
            }
        }
        (there, elsewhere)
    }

    /// How many lookups at isolated entries are compared with others.
    pub(crate) fn compared(&self) -> usize {
        self.isolated_tries().0.asked
    }

    /// Compares lookups at isolated entries with those elsewhere.
    fn check_isolations(&self, broken: &mut Vec<Violation>) {
        let (there, elsewhere) = self.isolated_tries();
        if there.asked >= COMPARED && there.share() * 3.0 < elsewhere.share() * 2.0 {
            let promise = "callers of isolated entries are served";
            let evidence = format!("{there} there, {elsewhere} elsewhere");
            broken.push(Violation { promise, at: Duration::ZERO, evidence });
        }
    }

    /// Checks that entries heed what targets said in answers to them. A restart or a pause of an entry
    /// since then excuses it, and so does a cut from all targets.
    fn check_words(&self, broken: &mut Vec<Violation>) {
        let asked: BTreeMap<&SmolStr, &Asked> =
            self.asked.iter().map(|a| (&a.request, a)).collect();
        let sent: Vec<(&Asked, &SmolStr, Duration)> = self
            .arrivals
            .iter()
            .filter_map(|(request, target, at)| Some((*asked.get(request)?, target, *at)))
            .collect();
        for word in &self.words {
            let Some(told) = asked.get(&word.request).map(|asked| asked.entry) else { continue };
            let excused = |at: Duration| {
                let disturbed = self
                    .disturbed
                    .iter()
                    .any(|d| d.entry == Some(told) && d.from <= at && d.to >= word.at);
                let cut = |one: &Isolated| one.entry == told && one.from <= at && one.to >= word.at;
                disturbed || self.isolations.iter().any(cut)
            };
            let heard = |(asked, target, at): &&(&Asked, &SmolStr, Duration)| {
                asked.entry == told && **target == word.target && *at > word.at && !excused(*at)
            };
            let after = sent.iter().filter(heard);
            let (promise, at, evidence) = match word.rest {
                None => {
                    let mut late = after.filter(|(asked, ..)| asked.from > word.at + IN_FORCE);
                    let Some((asked, _, at)) = late.next() else { continue };
                    let evidence =
                        format!("{} at {}, said at {:?}", asked.request, word.target, word.at);
                    ("nothing new after its own word", *at, evidence)
                }
                Some(rest) => {
                    let within = |at: Duration| at > word.at + REST_SLACK && at < word.at + rest;
                    let count = after.filter(|(.., at)| within(*at)).count();
                    if count <= RESTED {
                        continue;
                    }
                    let evidence =
                        format!("{} of entry {told} got {count} in {rest:?}", word.target);
                    ("a target rests", word.at, evidence)
                }
            };
            broken.push(Violation { promise, at, evidence });
            return;
        }
    }

    /// Counts fragile targets that rejected too much, most of it of calm entries.
    fn check_overload(&self, fragile: &Span, broken: &mut Vec<Violation>) {
        let from = fragile.from + SETTLE;
        let asked: BTreeMap<&SmolStr, &Asked> =
            self.asked.iter().map(|a| (&a.request, a)).collect();
        let counts = |overload: &&Overload| {
            let at = overload.at;
            let calm = |request: &&SmolStr| {
                asked.get(request).is_some_and(|asked| self.is_calm(asked.entry, at, at))
            };
            let calm = overload.rejected.iter().filter(calm).count();
            let within = at >= from && at <= fragile.to && overload.service == fragile.of;
            within && calm * 2 > overload.rejected.len()
        };
        let count = self.overloads.iter().filter(counts).count();
        if count > 2 + BACKENDS / 10 {
            let promise = "fragile targets do not reject too much";
            let evidence = format!("{} ended {count} times", fragile.of);
            broken.push(Violation { promise, at: from, evidence });
        }
    }

    /// Sums over all entries, whatever happened to them.
    fn check_cold(&self, cold: &Span, broken: &mut Vec<Violation>) {
        let here =
            self.arrivals.iter().filter(|(_, target, at)| *target == cold.of && *at <= cold.to);
        let times: Vec<Duration> = here.map(|(.., at)| *at).collect();
        let second = Duration::from_secs(1);
        for first in &times {
            let got = times.iter().filter(|at| *at >= first && **at < *first + second).count();
            if got as f64 > backend::bears() {
                let evidence = format!("{} got {got} in a second", cold.of);
                let promise = "no more than a cold target bears";
                broken.push(Violation { promise, at: *first, evidence });
                return;
            }
        }
    }

    fn check_drains(&self, broken: &mut Vec<Violation>) {
        for (request, target, at) in &self.arrivals {
            let Some(left) = self.left.get(target) else { continue };
            let Some(asked) = self.asked.iter().find(|asked| asked.request == *request) else {
                continue;
            };
            let late = *at > *left + IN_FORCE && asked.from > *left + IN_FORCE;
            if late && self.is_calm(asked.entry, *left, *at) {
                let evidence = format!("{request} at {target}, which left at {left:?}");
                broken.push(Violation { promise: "nothing new after leaving", at: *at, evidence });
            }
        }
    }
}
