//! Callers whose requests share a part of their prompts that ends targets, and callers that share the
//! other parts with them.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_gateway::native::PROMPT_PARTS_HEADER;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{sleep, timeout};

use crate::caller::{self, Answer, TIMEOUT};
use crate::ledger::{Kind, Violation, WHOLE};
use crate::seen::Seen;

/// The part that ends targets.
const BAD: &str = "bad";

/// Targets that may end before the part is held back, and sends that may follow.
const ENDS: usize = 5;
const MORE: usize = 3;

/// Time after the last of these ends from which on the bound holds, and twice which sound requests must
/// begin.
const STABLE: Duration = Duration::from_secs(3);

/// Sound requests that are enough for a comparison.
const COMPARED: usize = 20;

/// What was seen of the part.
#[derive(Clone, Debug, Default)]
pub(crate) struct Part {
    /// When targets ended on it.
    pub(crate) ends: Vec<Duration>,
    /// When all entries were killed, and with them all that they knew.
    pub(crate) forgotten: Vec<Duration>,
    /// When requests with it reached targets, and which.
    pub(crate) arrivals: Vec<(Duration, SmolStr)>,
    /// Requests: the entry, when, whether they hold the part and whether they were served.
    pub(crate) asked: Vec<Asked>,
}

/// One request with parts.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    request: SmolStr,
    entry: usize,
    from: Duration,
    to: Duration,
    bad: bool,
    served: bool,
    /// What is wrong with its answer.
    wrong: Option<String>,
}

/// Returns whether a request holds the part, which never comes last.
pub(crate) fn is_bad(parts: &str) -> bool {
    let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
    shared.split(',').any(|part| part == BAD)
}

/// Sends requests of which no two are alike, with the part or with a sound one in its place, until the
/// run ends.
pub(crate) async fn run(bad: bool, seed: u64, entries: Vec<SocketAddr>, seen: Seen) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(12) ^ u64::from(bad));
    for nth in 0.. {
        sleep(Duration::from_millis(rng.random_range(50..250))).await;
        if seen.is_over() {
            return;
        }
        let request = format_smolstr!("{}-{nth}", if bad { "b" } else { "g" });
        let part = if bad { BAD } else { "good" };
        let mut parts = [format_smolstr!("p-{}", rng.random_range(0..3)), part.into()];
        if rng.random_bool(0.5) {
            parts.reverse();
        }
        let parts = format!("{},{},own-{nth}", parts[0], parts[1]);
        let entry = rng.random_range(0..entries.len());
        let from = seen.now();
        let asked = async {
            let mut sender = caller::connect(entries[entry]).await?;
            let headers = [(PROMPT_PARTS_HEADER, parts.as_str())];
            caller::ask_with(&mut sender, &request, &format!("/again/{request}"), &headers).await
        };
        let answer = timeout(TIMEOUT, asked).await.ok().flatten();
        let answer = answer.filter(|answer| answer.status == 200);
        let wrong = answer.as_ref().and_then(|Answer { body, whole, .. }| {
            caller::wrong(body, *whole, Kind::Resumable, &request)
        });
        let served = answer.is_some_and(|answer| answer.whole);
        let to = seen.now();
        seen.asked_with_parts(Asked { request, entry, from, to, bad, served, wrong });
    }
}

/// Returns what was broken: answers that are not their own or complete before their last event, the part
/// sent on after targets ended on it, or sound requests refused that share the others.
pub(crate) fn violations(
    part: &Part,
    is_calm: impl Fn(usize, Duration, Duration) -> bool,
) -> Vec<Violation> {
    let wrong = part.asked.iter().filter_map(|asked| {
        let evidence = format!("{}: {}", asked.request, asked.wrong.as_ref()?);
        Some(Violation { promise: WHOLE, at: asked.from, evidence })
    });
    let mut broken: Vec<Violation> = wrong.collect();
    let known_from = part.forgotten.iter().max().copied().unwrap_or_default();
    let mut ends = part.ends.iter().filter(|at| **at >= known_from);
    let Some(last) = ends.nth(ENDS - 1).copied() else { return broken };
    let entry = |request: &SmolStr| part.asked.iter().find(|asked| asked.request == *request);
    let late = part.arrivals.iter().filter(|(at, request)| {
        *at > last + STABLE && entry(request).is_some_and(|asked| is_calm(asked.entry, *at, *at))
    });
    let late = late.count();
    if late > MORE {
        let evidence = format!("sent {late} times more, {} targets ended", part.ends.len());
        broken.push(Violation {
            promise: "no part is sent on that ends targets",
            at: last,
            evidence,
        });
    }
    let sound = part.asked.iter().filter(|asked| {
        !asked.bad && asked.from > last + 2 * STABLE && is_calm(asked.entry, asked.from, asked.to)
    });
    let sound: Vec<&Asked> = sound.collect();
    let served = sound.iter().filter(|asked| asked.served).count();
    if sound.len() >= COMPARED && 2 * served < sound.len() {
        let evidence = format!("{served} of {} served", sound.len());
        broken.push(Violation { promise: "sound requests are served", at: last, evidence });
    }
    broken
}
