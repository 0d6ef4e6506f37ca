//! Requests that may run once at most at entries that lose their path, end, or know of each other.

mod support;

use std::time::Duration;

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::cold::Warmup;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::route::{Kind, Route, Text};
use fireflyhoist_policy::unit::RequestRate;
use fireflyhoist_standin::registry::Registry;
use futures_util::future::join_all;
use support::bodies::{BODIES, Body, PAUSE, request, send};
use support::caller::{Answer, Request};
use support::counting::{Counting, Fault, Ledger, Point, STALL};
use support::forwarder::{Forwarder, Mode};
use support::{eventually, route, settings, text, until_ready};
use tokio::task::spawn_local;
use tokio::time::sleep;
use yare::parameterized;

const STREAM: Kind = Kind::Stream { resumable: false };

/// How long a cold target takes few requests.
const COLD_PERIOD: Duration = Duration::from_secs(3);

/// Entries that know each other, each with a forwarder of its own, before targets that count.
struct Fleet {
    registry: Registry,
    ledger: Ledger,
    entries: Vec<Gateway>,
    forwarders: Vec<Forwarder>,
}

impl Fleet {
    async fn open(text: Text, entries: usize) -> Self {
        let (registry, ledger) = (Registry::open().await, Ledger::default());
        registry.publish(text);
        for nth in 0..3 {
            let target = Counting::open(&format!("t-{nth}"), "once", &ledger).await;
            registry.put(target.listed.clone());
        }
        let mut fleet = Self { registry, ledger, entries: Vec::new(), forwarders: Vec::new() };
        for nth in 0..entries {
            let seeds: Vec<_> = fleet.entries.iter().map(Gateway::peers).collect();
            let forwarder = Forwarder::open().await;
            let own = settings(&format!("entry-{nth}"), fleet.registry.address(), &seeds);
            let mut settings = Settings { forwarder: Some(forwarder.address), ..own };
            (settings.bounds.cold_excess, settings.bounds.cold_margin) = (1.5, 1.0);
            let entry = Gateway::bind::<Native>(settings, "none".into()).await.expect("an entry");
            until_ready(&entry).await;
            fleet.entries.push(entry);
            fleet.forwarders.push(forwarder);
        }
        let known = Request::get("/v1/entries?domain=hala-a");
        for entry in &fleet.entries {
            let listed =
                async || known.send(entry.directory()).await.body.matches("entry-").count();
            eventually(async || listed().await == entries).await;
        }
        fleet
    }

    async fn send(&self, nth: usize, kind: Kind, id: &str, body: Body) -> Answer {
        send(self.entries[nth].callers(), &request(kind, id), id, body).await
    }

    /// Checks that a request ran at most once, and not if its answer says so.
    fn check(&self, id: &str, answer: &Answer) {
        let runs = self.ledger.runs(id);
        assert!(runs.len() <= 1, "{id} ran at {runs:?}, answer {answer:?}");
        assert!(runs.is_empty() || !answer.body.contains("\"ran\":\"no\""), "{id}: {answer:?}");
    }
}

/// Returns the text with one route of this kind, whose engines move no runs and keep no backups.
fn single_route(kind: Kind, attempts: u32) -> Text {
    let mut text = text(1, vec![Route { attempts, ..route("once", kind) }]);
    for engine in text.services.iter_mut().filter_map(|service| service.engine.as_mut()) {
        (engine.moves, engine.backups) = (false, false);
    }
    text
}

/// What becomes of the entry through which a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relay {
    /// It loses its own path.
    Cut,
    /// It drains.
    Drains,
}

/// Guards against a request that is sent again since the entry that relays its connection ends or is
/// cut off, although its target has it.
#[parameterized(
    call_cut_unread = { Kind::Unsafe, Point::Arrived, Relay::Cut },
    call_cut_while_it_runs = { Kind::Unsafe, Point::Body, Relay::Cut },
    call_cut_in_its_answer = { Kind::Unsafe, Point::Answer, Relay::Cut },
    stream_cut_unread = { STREAM, Point::Arrived, Relay::Cut },
    stream_cut_while_it_runs = { STREAM, Point::Body, Relay::Cut },
    stream_cut_in_its_answer = { STREAM, Point::Answer, Relay::Cut },
    call_drained_unread = { Kind::Unsafe, Point::Arrived, Relay::Drains },
    stream_drained_unread = { STREAM, Point::Arrived, Relay::Drains },
    stream_drained_in_its_answer = { STREAM, Point::Answer, Relay::Drains },
)]
#[test_macro(ntex::test)]
async fn a_relay_that_ends_sends_nothing_again(kind: Kind, point: Point, relay: Relay) {
    let mut fleet = Fleet::open(single_route(kind, 2), 3).await;
    fleet.forwarders[0].set_mode(Mode::Refuse);
    eventually(async || fleet.send(0, kind, "first", Body::Length).await.status == 200).await;
    fleet.ledger.arm(Fault::StandStill(point));
    let entry = fleet.entries[0].callers();
    let sent =
        spawn_local(async move { send(entry, &request(kind, "r-1"), "r-1", Body::Chunks).await });
    eventually(async || !fleet.ledger.is_armed()).await;
    match relay {
        Relay::Cut => fleet.forwarders[1..].iter().for_each(Forwarder::reset),
        Relay::Drains => fleet.entries.drain(1..).for_each(|entry| {
            spawn_local(entry.drain());
        }),
    }
    let answer = sent.await.expect("it ends");
    sleep(STALL).await;
    fleet.check("r-1", &answer);
    let is_whole = answer.status == 200 && answer.whole;
    assert_eq!(is_whole, relay == Relay::Drains, "{answer:?}");
}

/// Guards against requests that a draining entry refuses as not run although their targets, which
/// stand still, have them.
#[parameterized(call = { Kind::Unsafe }, stream = { STREAM })]
#[test_macro(ntex::test)]
async fn a_draining_entry_refuses_nothing_that_runs(kind: Kind) {
    let mut fleet = Fleet::open(single_route(kind, 2), 2).await;
    let (entry, ledger) = (fleet.entries[0].callers(), fleet.ledger.clone());
    let sent: Vec<_> = (0..60)
        .map(|nth: usize| {
            let ledger = ledger.clone();
            spawn_local(async move {
                sleep(PAUSE / 2 * u32::try_from(nth).expect("few")).await;
                if nth.is_multiple_of(4) {
                    ledger.arm(Fault::StandStill(Point::Body));
                }
                let id = format!("r-{nth}");
                // A process that has ended accepts no connection.
                let Ok(probe) = tokio::net::TcpStream::connect(entry).await else { return None };
                drop(probe);
                let body = BODIES[nth % BODIES.len()];
                Some((send(entry, &request(kind, &id), &id, body).await, id))
            })
        })
        .collect();
    sleep(PAUSE * 3).await;
    fleet.entries.remove(0).drain().await;
    let mut answers = Vec::new();
    for sent in sent {
        answers.extend(sent.await.ok().flatten());
    }
    sleep(STALL).await;
    let whole = answers.iter().filter(|(answer, _)| answer.status == 200 && answer.whole).count();
    answers.iter().for_each(|(answer, id)| fleet.check(id, answer));
    assert!(whole >= 10, "{whole} of {} answered", answers.len());
}

/// Guards against a request that is given up or sent twice since the permit for its cold target was
/// outdated once the connection was open.
#[parameterized(call = { Kind::Unsafe }, stream = { STREAM })]
#[test_macro(ntex::test)]
async fn a_request_goes_elsewhere_after_its_permit(kind: Kind) {
    let mut text = single_route(kind, 1);
    text.services[0].warmup = Some(Warmup { lasts: COLD_PERIOD, per_s: RequestRate::new(2.0) });
    let fleet = Fleet::open(text, 1).await;
    // An entry that has just started grants nothing for cold targets.
    sleep(Duration::from_secs(2)).await;
    let cold = Ledger::default();
    let target = Counting::open("t-cold", "once", &cold).await;
    let cold_ms = u64::try_from(COLD_PERIOD.as_millis()).expect("milliseconds");
    fleet.registry.put(Target { cold_ms, ..target.listed.clone() });
    fleet.forwarders[0].set_mode(Mode::Late(Duration::from_millis(200)));
    sleep(Duration::from_millis(300)).await;
    let ids: Vec<String> = (0..24).map(|nth| format!("r-{nth}")).collect();
    let entry = &fleet;
    let sent = ids.iter().enumerate().map(|(nth, id)| async move {
        sleep(PAUSE / 2 * u32::try_from(nth).expect("few")).await;
        entry.send(0, kind, id, BODIES[nth % BODIES.len()]).await
    });
    let answers = join_all(sent).await;
    for (id, answer) in ids.iter().zip(&answers) {
        fleet.check(id, answer);
        assert!(answer.status == 200 && answer.whole, "{id}: {answer:?}");
    }
    assert_eq!(cold.count(), 0);
    let metrics = Request::get("/metrics").send(fleet.entries[0].metrics()).await;
    assert!(metrics.body.contains("permit-expired"), "no permit was outdated");
}

/// Two requests under one id are two requests: an entry neither joins them nor sends either again, and
/// each caller gets an answer of its own.
#[parameterized(
    call_at_one_entry = { Kind::Unsafe, 0, false },
    call_at_another_entry = { Kind::Unsafe, 1, false },
    call_after_the_first = { Kind::Unsafe, 1, true },
    stream_at_one_entry = { STREAM, 0, false },
    stream_at_another_entry = { STREAM, 1, false },
    stream_after_the_first = { STREAM, 1, true },
)]
#[test_macro(ntex::test)]
async fn requests_under_one_id_run_once_each(kind: Kind, second: usize, after: bool) {
    let fleet = Fleet::open(single_route(kind, 2), 2).await;
    fleet.ledger.arm(Fault::StandStill(Point::Body));
    let first = fleet.send(0, kind, "r-1", Body::Length);
    let answers = match after {
        true => vec![first.await, fleet.send(second, kind, "r-1", Body::Chunks).await],
        false => {
            let second = async {
                sleep(PAUSE).await;
                fleet.send(second, kind, "r-1", Body::Chunks).await
            };
            let (first, second) = futures_util::future::join(first, second).await;
            vec![first, second]
        }
    };
    for answer in &answers {
        assert!(answer.status == 200 && answer.whole, "{answer:?}");
    }
    let bodies: Vec<String> = fleet.ledger.runs("r-1").into_iter().map(|ran| ran.body).collect();
    assert_eq!(bodies.len(), 2, "{bodies:?}");
    assert_ne!(bodies[0], bodies[1], "each of the two ran");
}
