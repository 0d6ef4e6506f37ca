//! Callers that take streams up again at any entry, and what they must and must not see.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use fireflyhoist_gateway::native::RESUMED_HEADER;
use fireflyhoist_wire::caller::LAST_EVENT_HEADER;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{sleep, timeout};

use crate::backend::length;
use crate::caller::{self, TIMEOUT};
use crate::ledger::{Violation, WHOLE};
use crate::seen::Seen;

/// Callers of streams in each run.
pub(crate) const CALLERS: u64 = 8;

/// The prefix of the names of their streams, which their paths end with.
pub(crate) const PREFIX: &str = "s-";

/// How often a stream is taken up.
const MAX_TRIES: usize = 6;

/// The most time from one try to the next.
const PAUSE: Duration = Duration::from_millis(600);

/// Streams that are taken up which are enough to compare them with new ones.
const COMPARED: usize = 12;

/// Targets of a version from which on its streams must go on as often as new ones begin.
const SERVING: usize = 2;

/// One try to begin a stream, or to take it up.
#[derive(Clone, Debug)]
pub(crate) struct Try {
    stream: SmolStr,
    entry: usize,
    from: Duration,
    to: Duration,
    /// The version that began the stream; `None` if the try is to begin it.
    version: Option<SmolStr>,
    /// Targets of that version that took requests when the try was sent.
    serving: usize,
    /// The versions of the events that came, and their ids.
    events: Vec<(u64, SmolStr)>,
    /// Whether it was answered with success, and completely.
    whole: bool,
}

impl Try {
    fn goes_on(&self) -> bool {
        !self.events.is_empty()
    }
}

/// Asks for streams until the run ends, and takes them up where they break off.
pub(crate) async fn run(number: u64, seed: u64, entries: Vec<SocketAddr>, seen: Seen) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(20) ^ number);
    for nth in 0.. {
        sleep(Duration::from_millis(rng.random_range(5..200))).await;
        if seen.is_over() {
            return;
        }
        let stream = format_smolstr!("{PREFIX}{number}-{nth}");
        let (mut last, mut first) = (0, None);
        for at in 0..MAX_TRIES {
            let entry = rng.random_range(0..entries.len());
            let id = format_smolstr!("{stream}-{at}");
            let tried = one(&stream, &id, entry, entries[entry], last, first.as_ref(), &seen).await;
            if first.is_none()
                && let Some((_, version)) = tried.events.first()
            {
                first = Some((id, version.clone()));
            }
            last = tried.events.last().map_or(last, |(id, _)| *id);
            seen.tried(tried);
            if last == length(&stream) || first.is_none() || seen.is_over() {
                break;
            }
            sleep(rng.random_range(Duration::ZERO..PAUSE)).await;
        }
    }
}

/// Tries once to begin a stream, or to take it up after the event `last` of the attempt `first`.
async fn one(
    stream: &SmolStr,
    id: &SmolStr,
    entry: usize,
    to: SocketAddr,
    last: u64,
    first: Option<&(SmolStr, SmolStr)>,
    seen: &Seen,
) -> Try {
    let from = seen.now();
    let version = first.map(|(_, version)| version.clone());
    let serving = version.as_ref().map_or(0, |version| seen.serving(version));
    let headers = first.map(|(first, _)| {
        [(RESUMED_HEADER, first.clone()), (LAST_EVENT_HEADER, format_smolstr!("{last}"))]
    });
    let headers = headers.iter().flatten().map(|(name, value)| (*name, value.as_str()));
    let headers: Vec<(&str, &str)> = headers.collect();
    let asked = async {
        let mut sender = caller::connect(to).await?;
        caller::ask_with(&mut sender, id, &format!("/again/{stream}"), &headers).await
    };
    let answer = timeout(TIMEOUT, asked).await.ok().flatten();
    let answer = answer.filter(|answer| answer.status == 200);
    let events = answer.as_ref().map(|answer| events(&answer.body)).unwrap_or_default();
    let whole = answer.is_some_and(|answer| answer.whole);
    Try { stream: stream.clone(), entry, from, to: seen.now(), version, serving, events, whole }
}

/// Reads the ids and versions of complete events.
fn events(body: &str) -> Vec<(u64, SmolStr)> {
    let (events, _) = body.rsplit_once("\n\n").unwrap_or_default();
    let read = |event: &str| {
        let mut words = event.split(['\n', ' ']);
        let id = words.nth(1)?.parse().ok()?;
        Some((id, words.next_back()?.into()))
    };
    events.split("\n\n").filter_map(read).collect()
}

/// Returns what was broken: streams of several versions, events that are missing or come twice, answers
/// given as complete before the last event, and streams that do not go on although their versions serve.
pub(crate) fn violations(
    tries: &[Try],
    is_calm: impl Fn(usize, Duration, Duration) -> bool,
) -> Vec<Violation> {
    let mut streams: BTreeMap<&SmolStr, Vec<&Try>> = BTreeMap::new();
    tries.iter().for_each(|tried| streams.entry(&tried.stream).or_default().push(tried));
    let mut broken = Vec::new();
    for (name, tries) in &streams {
        let events = || tries.iter().flat_map(|tried| &tried.events);
        let (versions, length) =
            (events().map(|(_, version)| version).collect::<BTreeSet<_>>(), length(name));
        let is_short =
            |tried: &&&Try| tried.whole && tried.events.last().is_none_or(|(id, _)| *id != length);
        if let Some(short) = tries.iter().find(is_short) {
            let last = short.events.last().map_or(0, |(id, _)| *id);
            let evidence = format!("{name}: whole with event {last} of {length}");
            broken.push(Violation { promise: WHOLE, at: short.from, evidence });
        }
        let in_order = events().enumerate().all(|(nth, (id, _))| *id == nth as u64 + 1);
        let promise = match (versions.len() > 1, in_order) {
            (true, _) => "one version a stream",
            (_, false) => "each event once and in order",
            _ => continue,
        };
        let evidence = format!("{name}: versions {versions:?} in {} tries", tries.len());
        broken.push(Violation { promise, at: tries[0].from, evidence });
    }
    let calm: Vec<&Try> =
        tries.iter().filter(|tried| is_calm(tried.entry, tried.from, tried.to)).collect();
    let share = |of: &[&&Try]| {
        let going_on = of.iter().filter(|tried| tried.goes_on()).count();
        going_on as f64 / of.len().max(1) as f64
    };
    let new: Vec<&&Try> = calm.iter().filter(|tried| tried.version.is_none()).collect();
    let again = |tried: &&&Try| tried.version.is_some() && tried.serving >= SERVING;
    let again: Vec<&&Try> = calm.iter().filter(again).collect();
    if again.len() >= COMPARED && share(&again) < share(&new) / 2.0 {
        let evidence =
            format!("{:.2} of {}, {:.2} of new ones", share(&again), again.len(), share(&new));
        let at = again[0].from;
        broken.push(Violation { promise: "streams go on", at, evidence });
    }
    broken
}

/// Tries to take streams up while engines of their versions took requests, and those that went on.
#[derive(Clone, Copy, Debug, Display)]
#[display("{went_on} of {tries} streams taken up went on")]
pub(crate) struct TakenUp {
    tries: usize,
    went_on: usize,
}

impl TakenUp {
    pub(crate) fn of(tries: &[Try]) -> Self {
        let again = || tries.iter().filter(|tried| tried.serving >= SERVING);
        let went_on = again().filter(|tried| tried.goes_on()).count();
        Self { tries: again().count(), went_on }
    }
}
